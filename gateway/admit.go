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
)

const (
	// maxQueuedRequests bounds the requests that wait for one pool of engines at one router.
	maxQueuedRequests = 64
	// queueWaitFraction is the part of a pool's tightest latency objective that a request may spend in the
	// queue.
	queueWaitFraction = 0.5
	// defaultQueueWait bounds the wait for a pool whose routes set no objective.
	defaultQueueWait = 250 * time.Millisecond
	// minRouterShare is the part of its even share that a router may always use, whatever the other routers
	// use, because its view of their load is slightly out of date.
	minRouterShare = 0.5
)

// admissionControllers holds one admission controller per pool of engines. A queue inside an engine delays the first
// event by the duration of whole responses, so requests wait at the router instead, ordered by fair shares. A
// controller's capacity is the pool's slots minus what other routers use, so a router can use the capacity that the
// others leave unused. What it uses is available to them again once they are told of the fleet's load after its
// requests have ended.
//
// Requests to plain services and to the engines of contended pools wait at the keepers of the instances, see places. Requests
// that were admitted there do not count here. In a pool that is paced but not contended hardly any request waits here: it
// is contended before its slots are full.
type admissionControllers struct {
	registry *pool.Registry
	mu       sync.Mutex
	engines  map[string]*admission.Controller
	// waits holds the times for which requests wait, by pool.
	waits map[string]time.Duration
}

func newAdmissionControllers(registry *pool.Registry) *admissionControllers {
	return &admissionControllers{registry: registry, engines: make(map[string]*admission.Controller), waits: make(map[string]time.Duration)}
}

// configure creates controllers for new pools and removes those of deleted pools.
func (a *admissionControllers) configure(t *routes.Table) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name := range a.engines {
		if p := t.Pools[name]; p == nil || p.Engine == nil {
			delete(a.engines, name)
		}
	}
	clear(a.waits)
	for name, p := range t.Pools {
		a.waits[name] = queueWait(t.TightestObjective(name))
		if p.Engine != nil && a.engines[name] == nil {
			a.engines[name] = newEngineAdmission(a.waits[name])
		}
	}
}

// queueWait returns how long a request may wait for a pool with a latency objective, which may be 0.
func queueWait(objective time.Duration) time.Duration {
	if objective <= 0 {
		return defaultQueueWait
	}
	return time.Duration(float64(objective) * queueWaitFraction)
}

// placeWait returns how long a request may wait for a place at an instance of a plain service.
func (a *admissionControllers) placeWait(name string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if wait, ok := a.waits[name]; ok {
		return wait
	}
	return defaultQueueWait
}

func newEngineAdmission(wait time.Duration) *admission.Controller {
	s := admission.DefaultSettings()
	s.QueueRequests = maxQueuedRequests
	s.QueueWait = wait
	// The settings are valid by construction, so NewController cannot fail.
	controller, err := admission.NewController(s, admission.SingleMember{}, nil)
	if err != nil {
		panic(err)
	}
	return controller
}

// refresh recomputes all capacities from the current state of the pools.
func (a *admissionControllers) refresh() {
	a.mu.Lock()
	defer a.mu.Unlock()
	routers := 1 + a.registry.PeerCount()
	for name, controller := range a.engines {
		requests := engineCapacity(a.registry.Summary(name), routers)
		controller.SetCapacity(uint64(requests), requests)
	}
}

// engineCapacity returns the number of requests that this router may have in flight in a pool. Slots of instances
// that only another router has ejected still count: ejections are short, and without these slots more
// requests would be refused.
func engineCapacity(s pool.Summary, routers int) int {
	least := int(float64(s.Slots) / float64(routers) * minRouterShare)
	return max(1, least, s.Slots-s.Peers)
}

// admit waits until the pool's controller admits the request. A request that waits at a keeper needs no grant. The error is a
// *verdict.Error with verdict.NotRun.
func (a *admissionControllers) admit(ctx context.Context, p *routes.Pool, organisation string, priority int) (*admission.Grant, error) {
	if !a.admits(p) {
		return nil, nil
	}
	return a.controller(p.Name).Admit(ctx, engineRequest(organisation, priority))
}

// admits reports whether requests to a pool need a grant.
func (a *admissionControllers) admits(p *routes.Pool) bool {
	return p.Engine != nil && !a.registry.Contended(p.Name)
}

// engineRequest describes a request to the controller of a pool.
func engineRequest(organisation string, priority int) admission.Request {
	return admission.Request{Organisation: organisation, DecodeTokens: 1, Priority: -priority}
}

// outlook returns what admit would do. ok is false if the request needs no grant, or is the first one to the pool.
func (a *admissionControllers) outlook(p *routes.Pool, organisation string, priority int) (out admission.Outlook, ok bool) {
	if !a.admits(p) {
		return out, false
	}
	a.mu.Lock()
	controller := a.engines[p.Name]
	a.mu.Unlock()
	if controller == nil {
		return out, false
	}
	return controller.Outlook(engineRequest(organisation, priority)), true
}

// controller returns the controller of a pool of engines. It creates one for a request whose configuration is not
// applied here yet, or not any more; the next configuration removes it if it is not needed.
func (a *admissionControllers) controller(name string) *admission.Controller {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.engines[name] == nil {
		wait, ok := a.waits[name]
		if !ok {
			wait = defaultQueueWait
		}
		a.engines[name] = newEngineAdmission(wait)
	}
	return a.engines[name]
}

// retryBudgets holds the retry budget of each pool. The fleet may retry a ratio of the requests in a window
// plus a fixed slack. The ratio is spent by the router that received the requests. The slack is divided
// evenly among the routers, because a message per retry would cost more than unused parts are worth.
type retryBudgets struct {
	settings Settings
	mu       sync.Mutex
	routers  int
	pools    map[string]*poolBudget
}

// poolBudget is the retry budget of one pool, with the number of requests in about one window.
type poolBudget struct {
	*retry.Budget
	newRequests    atomic.Int64
	windowRequests float64
}

// How the retry allowance is split between steady accrual and burst. Of the ratio, ratioAccrual accrues with
// each request and ratioBurst can be saved up, so that retries are available when many backend servers crash
// at once. Of the fixed slack, slackBurst can be saved up and slackAccrual accrues within a window. Both sums
// stay below 1 to leave a margin while routers disagree about the size of the fleet.
const (
	ratioAccrual = 0.5
	ratioBurst   = 0.4
	slackBurst   = 0.6
	slackAccrual = 0.2
	// minBurst allows a router of a large fleet to retry at all.
	minBurst = 1
)

func newRetryBudgets(settings Settings) *retryBudgets {
	return &retryBudgets{settings: settings, routers: 1, pools: make(map[string]*poolBudget)}
}

// recordRequest counts one request to a pool and returns the pool's budget.
func (b *retryBudgets) recordRequest(name string, now time.Time) *poolBudget {
	b.mu.Lock()
	budget := b.pools[name]
	if budget == nil {
		budget = &poolBudget{}
		budget.Budget = retry.NewBudget(b.retrySettings(0))
		b.pools[name] = budget
	}
	b.mu.Unlock()
	budget.newRequests.Add(1)
	budget.Deposit(now)
	return budget
}

func (b *retryBudgets) retrySettings(window float64) retry.Settings {
	s := retry.DefaultSettings()
	fixed := b.settings.RetrySlack / float64(b.routers)
	s.SharePercent = int(b.settings.RetryRatio * ratioAccrual * 100)
	s.Burst = max(minBurst, fixed*slackBurst+b.settings.RetryRatio*ratioBurst*window)
	s.MinPerSecond = fixed * slackAccrual / b.settings.RetryWindow.Seconds()
	return s
}

// refresh divides the allowance among the given number of routers and adds the requests counted since the
// last call to the window.
func (b *retryBudgets) refresh(routers int, since time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.routers = routers
	decay := math.Exp(-since.Seconds() / b.settings.RetryWindow.Seconds())
	for _, budget := range b.pools {
		budget.windowRequests = budget.windowRequests*decay + float64(budget.newRequests.Swap(0))
		budget.UpdateSettings(b.retrySettings(budget.windowRequests))
	}
}
