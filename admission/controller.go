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
	// onGrant is called by tests before each grant is counted.
	onGrant func(c *Controller, isolate bool, work uint64)

	// work mirrors own for Work.
	work atomic.Uint64

	mu            sync.Mutex
	own           uint64
	inFlight      int
	epoch         uint64
	resetAt       time.Time
	notReady      bool
	leaving       bool
	drained       chan struct{}
	drainedOnce   sync.Once
	isolated      bool
	pending       *waiter
	waiting       int
	virtual       float64
	organisations map[string]*organisation
	weights       map[string]float64
	activeWeight  float64
	sweptAt       time.Time
	history       history
	correction    correction
	completion    completionRate
	pace          pace
	counts        Counts
}

// Counts are totals since the start, for counters.
type Counts struct {
	Granted uint64
	Queued  uint64
	// Refused is by reason.
	Refused map[verdict.Reason]uint64
}

// Load is the state of a Controller at one instant.
type Load struct {
	// Work is the counted work in flight in tokens. It is what the pool view must be given.
	Work uint64
	// Corrected is Work with the weighted correction of the last engine report, for placement.
	Corrected uint64
	// InFlight and Waiting are numbers of requests.
	InFlight int
	Waiting  int
	Leaving  bool
	Ready    bool
}

// NewController returns a controller that admits at once. limiter may be nil.
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

// Load returns the current load.
func (c *Controller) Load() Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Load{
		Work:      c.own,
		Corrected: c.corrected(c.now()),
		InFlight:  c.inFlight,
		Waiting:   c.waiting,
		Leaving:   c.leaving,
		Ready:     !c.notReady,
	}
}

// Work returns the counted work in flight in tokens. It takes no lock, so that the pool view may
// call it while Admit, which holds the lock, asks the pool view for the mean.
func (c *Controller) Work() uint64 { return c.work.Load() }

// Counts returns a copy of the totals.
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

// Admit returns a grant at once, after a wait in the queue, or an error that is a *verdict.Error
// with verdict.NotRun. The caller must call Done on the grant.
func (c *Controller) Admit(ctx context.Context, req Request) (*Grant, error) {
	c.mu.Lock()
	g, w, err := c.arrive(ctx, &req)
	c.mu.Unlock()
	if w == nil {
		return g, asError(err)
	}
	return c.wait(ctx, w)
}

// asError avoids a non-nil error interface that holds a nil pointer.
func asError(err *verdict.Error) error {
	if err == nil {
		return nil
	}
	return err
}

// arrive decides one request: a grant, a waiter or an error.
func (c *Controller) arrive(ctx context.Context, req *Request) (*Grant, *waiter, *verdict.Error) {
	work := req.Work()
	if err := c.refusal(ctx, req, work); err != nil {
		return nil, nil, c.count(err)
	}
	o := c.organisation(req.Organisation)
	if err := c.takeLimit(o, work); err != nil {
		return nil, nil, c.count(err)
	}
	if c.waiting == 0 && c.fits(o, req, work) == fitsNow {
		return c.grant(o, req, work), nil, nil
	}
	w, err := c.enqueue(ctx, o, req, work)
	if err != nil {
		return nil, nil, c.count(err)
	}
	c.dispatch()
	return nil, w, nil
}

// refusal returns the error of a request that may not even wait, or nil.
func (c *Controller) refusal(ctx context.Context, req *Request, work uint64) *verdict.Error {
	switch {
	case c.leaving:
		return verdict.New(verdict.NotRun, verdict.ReasonLeaving, "the instance is leaving")
	case c.notReady:
		return verdict.New(verdict.NotRun, verdict.ReasonNotReady, "the engine is not ready")
	case ctx.Err() != nil || c.expired(ctx):
		return contextError(ctx)
	case c.isolated || c.pending != nil:
		return retryLater(verdict.ReasonIsolation, "a request runs alone on this engine", isolationRetry)
	case !req.Isolate && !c.boundHolds(work, req.AtMean):
		return verdict.New(verdict.NotRun, verdict.ReasonOverBound, "the load bound is reached")
	}
	return nil
}

// isolationRetry is the advice to callers while an isolated request waits or runs.
const isolationRetry = time.Second

func (c *Controller) expired(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ok && !deadline.After(c.now())
}

// contextError is the refusal of a request whose caller no longer waits.
func contextError(ctx context.Context) *verdict.Error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return verdict.New(verdict.NotRun, verdict.ReasonCancelled, "cancelled before it ran")
	}
	return verdict.New(verdict.NotRun, verdict.ReasonDeadline, "the deadline passed before it ran")
}

func retryLater(reason verdict.Reason, detail string, after time.Duration) *verdict.Error {
	err := verdict.New(verdict.NotRun, reason, detail)
	err.RetryAfter = after
	return err
}

// count adds a refusal to the totals and returns it.
func (c *Controller) count(err *verdict.Error) *verdict.Error {
	c.counts.Refused[err.Reason]++
	return err
}

// SetCapacity replaces the capacity. A router that admits for a whole pool calls it when instances or
// the work of other routers change. Work in flight above a smaller capacity stays.
func (c *Controller) SetCapacity(tokens uint64, requests int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settings.CapacityTokens = max(1, tokens)
	c.settings.CapacityRequests = max(1, requests)
	c.dispatch()
}

// Reset forgets all work in flight, because the engine crashed or restarted, and refuses waiting
// and new work with ReasonNotReady until Ready. Grants from before have no effect any more.
func (c *Controller) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.epoch++
	c.own = 0
	c.work.Store(0)
	c.inFlight = 0
	c.isolated = false
	c.notReady = true
	c.resetAt = c.now()
	c.correction = correction{}
	c.history = history{}
	for _, o := range c.organisations {
		o.tokens = 0
		o.requests = 0
	}
	c.refuseWaiting(verdict.New(verdict.NotRun, verdict.ReasonNotReady, "the engine stopped"))
	c.reportDrained()
}

// Ready admits work again after Reset.
func (c *Controller) Ready() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notReady = false
}

// Drain refuses waiting and new work with ReasonLeaving from now on. The returned channel is
// closed when nothing is in flight.
func (c *Controller) Drain() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
	c.refuseWaiting(verdict.New(verdict.NotRun, verdict.ReasonLeaving, "the instance is leaving"))
	c.reportDrained()
	return c.drained
}

// reportDrained closes the channel of Drain once nothing is in flight.
func (c *Controller) reportDrained() {
	if c.leaving && c.inFlight == 0 {
		c.drainedOnce.Do(func() { close(c.drained) })
	}
}
