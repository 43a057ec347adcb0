package admission

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"jacinthfork.example/jacinthfork/verdict"
)

// Controller admits work to one engine. It is safe for concurrent use.
type Controller struct {
	settings Settings
	pool     Pool
	limiter  *Limiter
	now      func() time.Time
	// onGrant is a test hook that runs before each grant is counted.
	onGrant func(c *Controller, isolate bool, work uint64)

	// publishedTokens is a copy of inFlightTokens that Work reads without the lock.
	publishedTokens atomic.Uint64

	mu               sync.Mutex
	inFlightTokens   uint64
	inFlightRequests int
	// epoch is the number of resets. A grant of an earlier epoch has no effect.
	epoch           uint64
	resetAt         time.Time
	notReady        bool
	leaving         bool
	drained         chan struct{}
	drainedOnce     sync.Once
	isolated        bool
	pendingIsolated *waiter
	queuedRequests  int
	virtualTime     float64
	organisations   map[string]*organisation
	weights         map[string]float64
	activeWeight    float64
	sweptAt         time.Time
	history         history
	correction      correction
	completion      completionInterval
	service         serviceTime
	urgency         urgency
	counts          Counts
}

// Counts are totals since the controller was created, exported as counters.
type Counts struct {
	Granted uint64
	Queued  uint64
	// Refused counts refusals by reason.
	Refused map[verdict.Reason]uint64
}

// Load is a snapshot of a Controller.
type Load struct {
	// Work is the counted work in flight in tokens. The sidecar must publish this value to its pool, not
	// Corrected.
	Work uint64
	// Corrected is Work plus the weighted correction from the last engine report, used for placement.
	Corrected uint64
	// InFlight and Waiting are numbers of requests.
	InFlight int
	Waiting  int
	Leaving  bool
	Ready    bool
}

// NewController returns a controller that is ready to admit. limiter may be nil.
func NewController(settings Settings, pool Pool, limiter *Limiter) (*Controller, error) {
	if errs := settings.Validate(); len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return &Controller{
		settings:      settings,
		pool:          pool,
		limiter:       limiter,
		now:           time.Now,
		drained:       make(chan struct{}),
		organisations: make(map[string]*organisation),
		counts:        Counts{Refused: make(map[verdict.Reason]uint64)},
	}, nil
}

// Load returns a snapshot of the load.
func (c *Controller) Load() Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Load{
		Work:      c.inFlightTokens,
		Corrected: c.correctedTokens(c.now()),
		InFlight:  c.inFlightRequests,
		Waiting:   c.queuedRequests,
		Leaving:   c.leaving,
		Ready:     !c.notReady,
	}
}

// Work returns the counted work in flight in tokens. It takes no lock, because the pool view may call it
// while Admit holds the lock and asks the pool view for the mean.
func (c *Controller) Work() uint64 { return c.publishedTokens.Load() }

// Counts returns a snapshot of the totals.
func (c *Controller) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.counts
	out.Refused = make(map[verdict.Reason]uint64, len(c.counts.Refused))
	for reason, n := range c.counts.Refused {
		out.Refused[reason] = n
	}
	return out
}

// Admit returns a grant, possibly after a wait in the queue, or a *verdict.Error with verdict.NotRun.
// The caller must call Done on the grant.
func (c *Controller) Admit(ctx context.Context, req Request) (*Grant, error) {
	c.mu.Lock()
	g, w, err := c.admitOrEnqueue(ctx, &req)
	c.mu.Unlock()
	if w == nil {
		return g, asError(err)
	}
	return c.awaitResult(ctx, w)
}

// Count returns a grant for a request that runs already, whatever the capacity. The caller must call Done on it.
func (c *Controller) Count(req Request) *Grant {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newGrant(c.activeOrganisation(req.Organisation), &req, req.Work())
}

// asError returns a nil interface for a nil pointer, so that callers can compare the result with nil.
func asError(err *verdict.Error) error {
	if err == nil {
		return nil
	}
	return err
}

// admitOrEnqueue returns a grant, a waiter in the queue or an error.
func (c *Controller) admitOrEnqueue(ctx context.Context, req *Request) (*Grant, *waiter, *verdict.Error) {
	work := req.Work()
	if err := c.precheck(ctx, req, work); err != nil {
		return nil, nil, c.countRefusal(err)
	}
	o := c.activeOrganisation(req.Organisation)
	if c.settings.ByUrgency {
		c.arrived(o, req)
	}
	if err := c.acquireLimit(o, work); err != nil {
		return nil, nil, c.countRefusal(err)
	}
	if c.runsNow(o, req, work) {
		return c.newGrant(o, req, work), nil, nil
	}
	if req.MaxWait < 0 {
		c.refundLimit(o)
		return nil, nil, c.countRefusal(noCapacityError())
	}
	w, err := c.enqueue(ctx, o, req, work)
	if err != nil {
		return nil, nil, c.countRefusal(err)
	}
	c.dispatch()
	return nil, w, nil
}

// runsNow reports whether a request is granted without a wait.
func (c *Controller) runsNow(o *organisation, req *Request, work uint64) bool {
	return c.queuedRequests == 0 && c.checkFit(o, req, work) == fitsNow
}

// noCapacityError is the refusal of a request that does not wait.
func noCapacityError() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonOverCapacity, "no capacity is free")
}

// precheck returns the refusal of a request that may not enter the queue, or nil.
func (c *Controller) precheck(ctx context.Context, req *Request, work uint64) *verdict.Error {
	switch {
	case c.leaving:
		return verdict.New(verdict.NotRun, verdict.ReasonLeaving, "the instance is leaving")
	case c.notReady:
		return verdict.New(verdict.NotRun, verdict.ReasonNotReady, "the engine is not ready")
	case ctx.Err() != nil || c.expired(ctx):
		return contextError(ctx)
	case c.isolated || c.pendingIsolated != nil:
		return newRetryAfterError(verdict.ReasonIsolation, "a request runs alone on this engine", isolationRetryAfter)
	case !req.Isolate && !c.boundAllows(work, req.AtMean):
		return verdict.New(verdict.NotRun, verdict.ReasonOverBound, "the load bound is reached")
	}
	return nil
}

// isolationRetryAfter is the RetryAfter of refusals while an isolated request is queued or running.
const isolationRetryAfter = time.Second

func (c *Controller) expired(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ok && !deadline.After(c.now())
}

// contextError is the refusal of a request that was cancelled or whose deadline has passed.
func contextError(ctx context.Context) *verdict.Error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return verdict.New(verdict.NotRun, verdict.ReasonCancelled, "cancelled before it ran")
	}
	return verdict.New(verdict.NotRun, verdict.ReasonDeadline, "the deadline passed before it ran")
}

func newRetryAfterError(reason verdict.Reason, detail string, after time.Duration) *verdict.Error {
	err := verdict.New(verdict.NotRun, reason, detail)
	err.RetryAfter = after
	return err
}

// countRefusal adds a refusal to the totals and returns it unchanged.
func (c *Controller) countRefusal(err *verdict.Error) *verdict.Error {
	c.counts.Refused[err.Reason]++
	return err
}

// SetCapacity replaces the capacity. A router that admits for a whole pool calls it when the instances or
// the load from other routers change. Work in flight that exceeds a smaller capacity continues.
func (c *Controller) SetCapacity(tokens uint64, requests int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settings.CapacityTokens = max(1, tokens)
	c.settings.CapacityRequests = max(1, requests)
	c.dispatch()
}

// Reset sets the counted work and requests in flight to zero after the engine crashed or restarted, and refuses
// queued and new requests with ReasonNotReady until Resume is called. Earlier grants no longer have any effect.
func (c *Controller) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.epoch++
	c.inFlightTokens = 0
	c.publishedTokens.Store(0)
	c.inFlightRequests = 0
	c.isolated = false
	c.notReady = true
	c.resetAt = c.now()
	c.correction = correction{}
	c.history = history{}
	for _, o := range c.organisations {
		o.inFlightTokens = 0
		o.inFlightRequests = 0
	}
	c.refuseAllQueued(verdict.New(verdict.NotRun, verdict.ReasonNotReady, "the engine stopped"))
	c.closeIfDrained()
}

// Resume resumes admission after Reset or Suspend.
func (c *Controller) Resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notReady = false
}

// Drain refuses queued and new requests with ReasonLeaving from now on. The returned channel is closed
// when nothing is in flight.
func (c *Controller) Drain() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
	c.refuseAllQueued(verdict.New(verdict.NotRun, verdict.ReasonLeaving, "the instance is leaving"))
	c.closeIfDrained()
	return c.drained
}

// closeIfDrained closes the channel of Drain once nothing is in flight.
func (c *Controller) closeIfDrained() {
	if c.leaving && c.inFlightRequests == 0 {
		c.drainedOnce.Do(func() { close(c.drained) })
	}
}
