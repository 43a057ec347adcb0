package gateway

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
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
		requests, pause := p.capacity(s, routers), p.pause(a.registry.Capacity(name), routers)
		p.controller.SetCapacity(uint64(requests), requests)
		p.controller.SetPace(pause)
	}
}

// capacity is the number of requests that this router may have in flight at a pool. The slots of instances that only
// another router has ejected count, because their time away is short and more requests are refused without them.
func (p *poolAdmission) capacity(s pool.Summary, routers int) int {
	total := s.Slots * p.depth
	least := int(float64(total) / float64(routers) * minimumShare)
	return max(1, least, total-s.Peers)
}

// pause is the time between two requests of this router to a pool that holds more than it has places for, counted
// over the instances that get requests now.
//
// Each router may always have one request in flight, because what it knows of the others is a moment old. Where
// there are more routers than places, all of them together then hold more than the pool, and each request waits
// there longer than its caller's objective. At the full pause they start as many as end.
func (p *poolAdmission) pause(c pool.Capacity, routers int) time.Duration {
	total := float64(c.Slots * p.depth)
	if total == 0 || total >= float64(routers) {
		return 0
	}
	excess := min(max(0, float64(c.Peers)/total-1), 1)
	return time.Duration(excess * float64(c.Held) * float64(routers) / total)
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

// budgets holds the retry budget of each pool. The allowance of the fleet is a share of the requests
// of a window and a fixed number. The share is spent by the router that has the requests; the fixed
// number is divided evenly, because a message for each repeat would cost more than unused parts are
// worth.
type budgets struct {
	settings Settings
	mu       sync.Mutex
	routers  int
	pools    map[string]*poolBudget
}

// poolBudget is the budget of one pool with the requests of about one window.
type poolBudget struct {
	*retry.Budget
	requests atomic.Int64
	window   float64
}

// Of the allowance, accrueShare of the share comes with each request and burstShare of it can be saved
// up, so that a crash of many backend servers finds repeats. Of the fixed number, fixedBurst can be
// saved up and fixedRate accrues within a window. Both sums stay below 1 while routers disagree about
// their number.
const (
	accrueShare = 0.5
	burstShare  = 0.4
	fixedBurst  = 0.6
	fixedRate   = 0.2
	// leastBurst lets a router of a large fleet repeat at all.
	leastBurst = 1
)

func newBudgets(settings Settings) *budgets {
	return &budgets{settings: settings, routers: 1, pools: make(map[string]*poolBudget)}
}

// request counts one request to a pool and returns its budget.
func (b *budgets) request(name string, now time.Time) *poolBudget {
	b.mu.Lock()
	budget := b.pools[name]
	if budget == nil {
		budget = &poolBudget{}
		budget.Budget = retry.NewBudget(b.retrySettings(0))
		b.pools[name] = budget
	}
	b.mu.Unlock()
	budget.requests.Add(1)
	budget.Request(now)
	return budget
}

func (b *budgets) retrySettings(window float64) retry.Settings {
	s := retry.DefaultSettings()
	fixed := b.settings.RepeatBurst / float64(b.routers)
	s.SharePercent = int(b.settings.RepeatShare * accrueShare * 100)
	s.Burst = max(leastBurst, fixed*fixedBurst+b.settings.RepeatShare*burstShare*window)
	s.MinPerSecond = fixed * fixedRate / b.settings.RepeatWindow.Seconds()
	return s
}

// refresh divides the allowance among the given number of routers and takes in the requests of the
// time since the last call.
func (b *budgets) refresh(routers int, since time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.routers = routers
	kept := math.Exp(-since.Seconds() / b.settings.RepeatWindow.Seconds())
	for _, budget := range b.pools {
		budget.window = budget.window*kept + float64(budget.requests.Swap(0))
		budget.Resize(b.retrySettings(budget.window))
	}
}
