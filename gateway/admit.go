package gateway

import (
	"context"
	"sync"
	"time"

	"jacinthfork.example/jacinthfork/admission"
	"jacinthfork.example/jacinthfork/gateway/pool"
	"jacinthfork.example/jacinthfork/gateway/routes"
	"jacinthfork.example/jacinthfork/retry"
	"jacinthfork.example/jacinthfork/verdict"
)

const (
	// plainDepth is how many requests for each slot a plain service may hold, running and queued. A
	// queue as long as the slots costs one service time, which callers' objectives allow.
	plainDepth = 2
	// engineDepth is the same for model engines. A queue at an engine delays the first event by whole
	// generations, so that waiting here, ordered by fair shares, is better.
	engineDepth = 1
	// queueRequests bounds the requests that wait for one pool at one router.
	queueRequests = 64
	// objectiveShare is the part of the tightest objective of a pool that a request may wait.
	objectiveShare = 0.5
	// defaultQueueWait is the wait for a pool whose routes name no objective.
	defaultQueueWait = 250 * time.Millisecond
	// minimumShare is the part of its even share that a router always has, however much the others
	// use, because what it knows of them is a moment old.
	minimumShare = 0.5
)

// admissions holds one admission controller for each pool. Its capacity is what the pool has less
// what other routers use, so that idle shares are lent and busy ones come back within one exchange.
type admissions struct {
	registry *pool.Registry
	mu       sync.Mutex
	pools    map[string]*poolAdmission
}

type poolAdmission struct {
	controller *admission.Controller
	depth      int
}

func newAdmissions(registry *pool.Registry) *admissions {
	return &admissions{registry: registry, pools: make(map[string]*poolAdmission)}
}

// configure creates controllers for new pools and drops those of pools that are gone.
func (a *admissions) configure(t *routes.Table) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name := range a.pools {
		if t.Pools[name] == nil {
			delete(a.pools, name)
		}
	}
	for name, p := range t.Pools {
		if a.pools[name] != nil {
			continue
		}
		a.pools[name] = newPoolAdmission(p, t.TightestObjective(name))
	}
}

func newPoolAdmission(p *routes.Pool, objective time.Duration) *poolAdmission {
	s := admission.DefaultSettings()
	s.QueueRequests = queueRequests
	s.QueueWait = defaultQueueWait
	if objective > 0 {
		s.QueueWait = time.Duration(float64(objective) * objectiveShare)
	}
	depth := plainDepth
	if p.Engine != nil {
		depth = engineDepth
	}
	// The settings are the defaults with valid values, so that there is no error.
	controller, err := admission.NewController(s, admission.Alone{}, nil)
	if err != nil {
		panic(err)
	}
	return &poolAdmission{controller: controller, depth: depth}
}

// refresh sets the capacities from what is known of the pools now.
func (a *admissions) refresh() {
	a.mu.Lock()
	defer a.mu.Unlock()
	routers := 1 + a.registry.Peers()
	for name, p := range a.pools {
		s := a.registry.Summary(name)
		capacity := p.capacity(s, routers)
		p.controller.SetCapacity(uint64(capacity), capacity)
	}
}

// capacity is the number of requests that this router may have in flight at a pool.
func (p *poolAdmission) capacity(s pool.Summary, routers int) int {
	total := s.Slots * p.depth
	least := int(float64(total) / float64(routers) * minimumShare)
	return max(1, least, total-s.Peers)
}

// admit waits for a place. The error is a *verdict.Error with verdict.NotRun.
func (a *admissions) admit(ctx context.Context, name string, organisation string, priority int) (*admission.Grant, error) {
	a.mu.Lock()
	p := a.pools[name]
	a.mu.Unlock()
	if p == nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonUnknownPool, "the pool is not configured")
	}
	return p.controller.Admit(ctx, admission.Request{Organisation: organisation, DecodeTokens: 1, Priority: -priority})
}

// budgets holds the retry budget of each pool. The allowance of the fleet is divided evenly, because
// repeats are rare and a message for each would cost more than what unused shares are worth.
type budgets struct {
	settings Settings
	mu       sync.Mutex
	routers  int
	pools    map[string]*retry.Budget
}

// budgetMargin keeps the fleet below its allowance while routers disagree about their number.
const budgetMargin = 0.7

func newBudgets(settings Settings) *budgets {
	return &budgets{settings: settings, routers: 1, pools: make(map[string]*retry.Budget)}
}

// of returns the budget of a pool.
func (b *budgets) of(name string) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.pools[name]
	if budget == nil {
		budget = retry.NewBudget(b.retrySettings())
		b.pools[name] = budget
	}
	return budget
}

func (b *budgets) retrySettings() retry.Settings {
	s := retry.DefaultSettings()
	s.SharePercent = int(b.settings.RepeatShare * budgetMargin * 100)
	s.Burst = max(1, b.settings.RepeatBurst*budgetMargin/2/float64(b.routers))
	s.MinPerSecond = s.Burst / b.settings.RepeatWindow.Seconds()
	return s
}

// share divides the allowance among the given number of routers.
func (b *budgets) share(routers int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if routers == b.routers {
		return
	}
	b.routers = routers
	for _, budget := range b.pools {
		budget.Resize(b.retrySettings())
	}
}
