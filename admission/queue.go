package admission

import (
	"context"
	"slices"
	"time"

	"jacinthfork.example/jacinthfork/verdict"
)

// waiter is a queued request.
type waiter struct {
	ctx          context.Context
	organisation *organisation
	req          Request
	work         uint64
	// arrival is a sequence number that orders requests by arrival.
	arrival uint64
	// until is when its time to wait is over.
	until time.Time
	// result receives exactly one value.
	result chan admitResult
	// queued is false once the waiter has left the queue.
	queued bool
}

type admitResult struct {
	grant *Grant
	err   *verdict.Error
}

// Bounds of RetryAfter in refusals.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// enqueue adds a request to the queue. When the queue is full, it refuses either this request or a queued one.
func (c *Controller) enqueue(ctx context.Context, o *organisation, req *Request, work uint64) (*waiter, *verdict.Error) {
	c.refuseExpired()
	w := c.newWaiter(ctx, o, req, work)
	if c.settings.ByUrgency {
		if err := c.refuseTooLate(w); err != nil {
			c.refundLimit(o)
			return nil, err
		}
	}
	if victim := c.displacedBy(w); victim == w {
		c.refundLimit(o)
		return nil, c.queueFullError(w)
	} else if victim != nil {
		c.evict(victim)
	}
	c.join(w)
	if c.settings.ByUrgency {
		c.notify(QueueEntered, levelOf(req))
		c.refuseOvertaken()
	}
	return w, nil
}

// join adds a request to the queue.
func (c *Controller) join(w *waiter) {
	o := w.organisation
	w.queued = true
	at := len(o.waiting)
	for at > 0 && o.waiting[at-1].req.Priority < w.req.Priority {
		at--
	}
	o.waiting = slices.Insert(o.waiting, at, w)
	o.queuedTokens += w.work
	c.queuedRequests++
	c.counts.Queued++
	if w.req.Isolate {
		c.pendingIsolated = w
	}
	if c.settings.ByUrgency {
		c.urgency.levels[levelOf(&w.req)].queued++
	}
}

// newWaiter returns a request that is about to enter the queue.
func (c *Controller) newWaiter(ctx context.Context, o *organisation, req *Request, work uint64) *waiter {
	return &waiter{
		ctx: ctx, organisation: o, req: *req, work: work, arrival: c.counts.Queued, result: make(chan admitResult, 1),
		until: c.now().Add(c.waitLimit(req)),
	}
}

// displacedBy returns the request that is refused when another one arrives, nil if the queue has room: the last queued request
// of the organisation that is furthest over its share, or the arriving request itself.
func (c *Controller) displacedBy(arriving *waiter) *waiter {
	switch {
	case c.queuedRequests < c.queueLimit():
		return nil
	case c.settings.QueueRequests == 0:
		return arriving
	case c.settings.ByUrgency:
		return c.leastUrgent(arriving)
	}
	worst := c.mostOverShare(arriving.organisation)
	if len(worst.waiting) == 0 {
		return arriving
	}
	last := worst.waiting[len(worst.waiting)-1]
	if worst == arriving.organisation && last.req.Priority >= arriving.req.Priority {
		return arriving
	}
	return last
}

// dequeue removes a waiter from the queue.
func (c *Controller) dequeue(w *waiter) {
	o := w.organisation
	for i, other := range o.waiting {
		if other == w {
			o.waiting = append(o.waiting[:i], o.waiting[i+1:]...)
			break
		}
	}
	o.queuedTokens -= w.work
	w.queued = false
	c.queuedRequests--
	if c.settings.ByUrgency {
		c.urgency.levels[levelOf(&w.req)].queued--
		c.notify(QueueLeft, levelOf(&w.req))
	}
	if c.pendingIsolated == w {
		c.pendingIsolated = nil
	}
}

// refuseQueued removes a request from the queue and refuses it.
func (c *Controller) refuseQueued(w *waiter, err *verdict.Error) {
	c.dequeue(w)
	c.refundLimit(w.organisation)
	w.result <- admitResult{err: c.countRefusal(err)}
}

// refuseAllQueued refuses all queued requests.
func (c *Controller) refuseAllQueued(err *verdict.Error) {
	for _, o := range c.organisations {
		for len(o.waiting) > 0 {
			c.refuseQueued(o.waiting[0], err)
		}
	}
}

// refuseExpired refuses queued requests whose deadline has passed or that were cancelled.
func (c *Controller) refuseExpired() {
	for _, o := range c.organisations {
		for i := len(o.waiting) - 1; i >= 0; i-- {
			w := o.waiting[i]
			if w.ctx.Err() != nil || c.expired(w.ctx) {
				c.refuseQueued(w, contextError(w.ctx))
			}
		}
	}
}

// dispatch grants queued requests until none may run. A request that has come to exceed the load bound in the
// meantime is refused.
func (c *Controller) dispatch() {
	if c.queuedRequests == 0 {
		return
	}
	c.refuseExpired()
	for c.queuedRequests > 0 {
		w := c.nextWaiter()
		if w == nil {
			return
		}
		if !w.req.Isolate && !c.boundAllows(w.work, w.req.AtMean) {
			c.refuseQueued(w, verdict.New(verdict.NotRun, verdict.ReasonOverBound, "the load bound is reached"))
			continue
		}
		c.dequeue(w)
		if c.settings.ByUrgency {
			c.urgency.settle(levelOf(&w.req), c.now())
		}
		w.result <- admitResult{grant: c.newGrant(w.organisation, &w.req, w.work)}
	}
}

// nextWaiter returns the next request to grant, or nil when none may run now. A queued isolated request
// blocks all others until it has run.
func (c *Controller) nextWaiter() *waiter {
	if c.pendingIsolated != nil {
		if c.inFlightRequests > 0 {
			return nil
		}
		return c.pendingIsolated
	}
	if c.settings.ByUrgency {
		return c.nextByUrgency()
	}
	o := c.nextOrganisation()
	if o == nil {
		return nil
	}
	return o.waiting[0]
}

// waitLimit returns how long a request may wait in the queue.
func (c *Controller) waitLimit(req *Request) time.Duration {
	switch {
	case req.Isolate:
		return c.settings.IsolationWait
	case req.MaxWait > 0:
		return min(c.settings.QueueWait, req.MaxWait)
	default:
		return c.settings.QueueWait
	}
}

// awaitResult blocks until the request is granted or refused, its context ends or its queue wait is exhausted.
func (c *Controller) awaitResult(ctx context.Context, w *waiter) (*Grant, error) {
	timer := time.NewTimer(w.until.Sub(c.now()))
	defer timer.Stop()
	select {
	case out := <-w.result:
		return out.grant, asError(out.err)
	case <-ctx.Done():
		return c.abandonWait(w, contextError(ctx))
	case <-timer.C:
		return c.abandonWait(w, c.waitTimeoutError(w))
	}
}

// abandonWait refuses the request if it is still queued. If it was granted concurrently, the caller gets the
// grant, unless its context has ended: then the grant is released and err is returned.
func (c *Controller) abandonWait(w *waiter, err *verdict.Error) (*Grant, error) {
	c.mu.Lock()
	if w.queued {
		c.refuseQueued(w, err)
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

func (c *Controller) waitTimeoutError(w *waiter) *verdict.Error {
	if w.req.Isolate {
		return newRetryAfterError(verdict.ReasonIsolation, "the engine did not become free", isolationRetryAfter)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return newRetryAfterError(verdict.ReasonOverCapacity, "no capacity became free in time", c.retryAfter(&w.req))
}

// completionInterval is an exponential moving average of the time between completions.
type completionInterval struct {
	last time.Time
	mean time.Duration
}

// completionSmoothing is the number of completions over which the average adapts.
const completionSmoothing = 8

func (c *Controller) observeCompletion() {
	now := c.now()
	if !c.completion.last.IsZero() {
		gap := min(now.Sub(c.completion.last), maxRetryAfter)
		c.completion.mean += (gap - c.completion.mean) / completionSmoothing
	}
	c.completion.last = now
}

// retryAfter estimates the time until the requests that are now queued have run.
func (c *Controller) retryAfter(req *Request) time.Duration {
	if c.settings.ByUrgency {
		return min(max(c.returnByUrgency(req), minRetryAfter), maxRetryAfter)
	}
	estimate := c.completion.mean * time.Duration(c.queuedRequests+1)
	if c.settings.ByServiceTime {
		estimate = c.service.nextReturn(c.now(), c.queuedRequests, c.settings.CapacityRequests, req.Patience)
	}
	return min(max(estimate, minRetryAfter), maxRetryAfter)
}
