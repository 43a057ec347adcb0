package admission

import (
	"context"
	"time"

	"jacinthfork.example/jacinthfork/verdict"
)

// waiter is a request in the queue.
type waiter struct {
	ctx          context.Context
	organisation *organisation
	req          Request
	work         uint64
	// order is the arrival number.
	order uint64
	// result receives exactly one outcome.
	result chan outcome
	// queued is false once the outcome is sent.
	queued bool
}

type outcome struct {
	grant *Grant
	err   *verdict.Error
}

// Bounds of the advice in RetryAfter.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// enqueue adds a request to the queue, or refuses it or another one when the queue is full.
func (c *Controller) enqueue(ctx context.Context, o *organisation, req *Request, work uint64) (*waiter, *verdict.Error) {
	c.dropExpired()
	w := &waiter{ctx: ctx, organisation: o, req: *req, work: work, order: c.counts.Queued, result: make(chan outcome, 1)}
	if c.waiting >= c.settings.QueueRequests && !c.makeRoom(w) {
		c.returnLimit(o)
		return nil, c.overflowError(o)
	}
	w.queued = true
	at := len(o.waiting)
	for at > 0 && o.waiting[at-1].req.Priority < req.Priority {
		at--
	}
	o.waiting = append(o.waiting, nil)
	copy(o.waiting[at+1:], o.waiting[at:])
	o.waiting[at] = w
	o.queued += work
	c.waiting++
	c.counts.Queued++
	if req.Isolate {
		c.pending = w
	}
	return w, nil
}

// makeRoom refuses the last waiting request of the organisation furthest over its share. It
// reports false when the arriving request itself is the one to refuse.
func (c *Controller) makeRoom(arriving *waiter) bool {
	if c.settings.QueueRequests == 0 {
		return false
	}
	worst := c.mostOverShare(arriving.organisation)
	if len(worst.waiting) == 0 {
		return false
	}
	last := worst.waiting[len(worst.waiting)-1]
	if worst == arriving.organisation && last.req.Priority >= arriving.req.Priority {
		return false
	}
	c.refuse(last, c.overflowError(worst))
	return true
}

// remove takes a waiter out of the queue.
func (c *Controller) remove(w *waiter) {
	o := w.organisation
	for i, other := range o.waiting {
		if other == w {
			o.waiting = append(o.waiting[:i], o.waiting[i+1:]...)
			break
		}
	}
	o.queued -= w.work
	w.queued = false
	c.waiting--
	if c.pending == w {
		c.pending = nil
	}
}

// refuse ends the wait of a queued request with an error.
func (c *Controller) refuse(w *waiter, err *verdict.Error) {
	c.remove(w)
	c.returnLimit(w.organisation)
	w.result <- outcome{err: c.count(err)}
}

// refuseWaiting refuses all waiting requests.
func (c *Controller) refuseWaiting(err *verdict.Error) {
	for _, o := range c.organisations {
		for len(o.waiting) > 0 {
			c.refuse(o.waiting[0], err)
		}
	}
}

// dropExpired refuses waiting requests whose deadline has passed or whose caller has gone.
func (c *Controller) dropExpired() {
	for _, o := range c.organisations {
		for i := len(o.waiting) - 1; i >= 0; i-- {
			w := o.waiting[i]
			if w.ctx.Err() != nil || c.expired(w.ctx) {
				c.refuse(w, contextError(w.ctx))
			}
		}
	}
}

// dispatch grants waiting requests for as long as one may run.
func (c *Controller) dispatch() {
	if c.waiting == 0 {
		return
	}
	c.dropExpired()
	for c.waiting > 0 {
		w := c.nextWaiter()
		if w == nil {
			c.awaitPace()
			return
		}
		if !w.req.Isolate && !c.boundHolds(w.work, w.req.AtMean) {
			c.refuse(w, verdict.New(verdict.NotRun, verdict.ReasonOverBound, "the load bound is reached"))
			continue
		}
		c.remove(w)
		w.result <- outcome{grant: c.grant(w.organisation, &w.req, w.work)}
	}
}

// nextWaiter returns the request to grant next, or nil when none may run now. An isolated request
// goes first: everything else waits until it has run.
func (c *Controller) nextWaiter() *waiter {
	if c.pending != nil {
		if c.inFlight > 0 {
			return nil
		}
		return c.pending
	}
	o := c.next()
	if o == nil {
		return nil
	}
	return o.waiting[0]
}

// wait blocks until the request is granted or refused, or its time is over.
func (c *Controller) wait(ctx context.Context, w *waiter) (*Grant, error) {
	limit := c.settings.QueueWait
	if w.req.Isolate {
		limit = c.settings.IsolationWait
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case out := <-w.result:
		return out.grant, asError(out.err)
	case <-ctx.Done():
		return c.giveUp(w, contextError(ctx))
	case <-timer.C:
		return c.giveUp(w, c.waitError(w))
	}
}

// giveUp takes the request out of the queue. When it was granted at the same instant, a caller
// that has gone gets the error and the grant is freed.
func (c *Controller) giveUp(w *waiter, err *verdict.Error) (*Grant, error) {
	c.mu.Lock()
	if w.queued {
		c.refuse(w, err)
		c.dispatch()
	}
	c.mu.Unlock()
	out := <-w.result
	if out.grant != nil && w.ctx.Err() != nil {
		out.grant.Done()
		return nil, err
	}
	return out.grant, asError(out.err)
}

func (c *Controller) waitError(w *waiter) *verdict.Error {
	if w.req.Isolate {
		return retryLater(verdict.ReasonIsolation, "the engine did not become free", isolationRetry)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return retryLater(verdict.ReasonOverCapacity, "no capacity became free in time", c.retryAfter())
}

// completionRate is a moving mean of the time between completions.
type completionRate struct {
	last     time.Time
	interval time.Duration
}

// completionSmoothing is the number of completions over which the mean adapts.
const completionSmoothing = 8

func (c *Controller) observeCompletion() {
	now := c.now()
	if !c.completion.last.IsZero() {
		gap := min(now.Sub(c.completion.last), maxRetryAfter)
		c.completion.interval += (gap - c.completion.interval) / completionSmoothing
	}
	c.completion.last = now
}

// retryAfter estimates when the requests that wait now will have run.
func (c *Controller) retryAfter() time.Duration {
	estimate := c.completion.interval * time.Duration(c.waiting+1)
	return min(max(estimate, minRetryAfter), maxRetryAfter)
}
