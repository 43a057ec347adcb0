package admission

import (
	"context"
	"maps"
	"slices"
	"time"

	"jacinthfork.example/jacinthfork/verdict"
)

// Outlook is what a controller would do with a request that arrived now.
type Outlook struct {
	// Runs is set if it would be granted at once, and Refusal if it would be refused at once. Otherwise it would wait.
	Runs    bool
	Refusal *verdict.Error
	// Wait is the estimated time until a waiting request is granted, 0 if that is not known, and Longest how long it may wait.
	Wait, Longest time.Duration
	// InFlight and Waiting are numbers of requests, and Capacity is that of InFlight.
	InFlight, Waiting, Capacity int
}

// Outlook decides on a request as Admit does, without granting, queueing, counting or refusing anything. The limits of
// organisations do not count, because only taking from them shows what is left. earlier are the same request as it has come
// before and been refused: each refusal counts when the next caller is told to come back.
func (c *Controller) Outlook(req Request, earlier ...Request) Outlook {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.rollback(req.Organisation)()
	for _, before := range earlier {
		if out := c.outlook(before); out.Refusal == nil {
			return out
		}
	}
	return c.outlook(req)
}

// outlook is Outlook for one request. It changes what rollback takes back.
func (c *Controller) outlook(req Request) Outlook {
	out := Outlook{InFlight: c.inFlightRequests, Waiting: c.queuedRequests, Capacity: c.settings.CapacityRequests}
	work := req.Work()
	if out.Refusal = c.precheck(context.Background(), &req, work); out.Refusal != nil {
		return out
	}
	o := c.activeOrganisation(req.Organisation)
	if c.settings.ByUrgency {
		c.arrived(o, &req)
	}
	if c.runsNow(o, &req, work) {
		out.Runs = true
		return out
	}
	if req.MaxWait < 0 {
		out.Refusal = noCapacityError()
		return out
	}
	w := c.newWaiter(context.Background(), o, &req, work)
	if c.settings.ByUrgency {
		if out.Refusal = c.refuseTooLate(w); out.Refusal != nil {
			return out
		}
	}
	if c.displacedBy(w) == w {
		out.Refusal = c.queueFullError(w)
		return out
	}
	out.Longest = w.until.Sub(c.now())
	out.Wait = min(c.waitEstimate(w), out.Longest)
	// Those that wait may be over their share, so that it is granted before them.
	o.waiting = slices.Clone(o.waiting)
	c.join(w)
	out.Runs = c.nextWaiter() == w
	return out
}

// waitEstimate returns the estimated time until a request is granted that enters the queue, 0 if that is not known.
func (c *Controller) waitEstimate(w *waiter) time.Duration {
	switch level := levelOf(&w.req); {
	case c.settings.ByUrgency:
		return c.grantTime(level, c.fairPosition(w.organisation, level), c.now())
	case c.settings.ByServiceTime:
		return c.service.interval(c.settings.CapacityRequests) * time.Duration(c.queuedRequests+1)
	}
	return c.completion.mean * time.Duration(c.queuedRequests+1)
}

// rollback returns a function that takes back what deciding on a request of an organisation changes: the organisations that are
// active, the rates of arrivals, the queue and the times at which refused callers are told to come back. Nobody is told of events
// until then.
func (c *Controller) rollback(name string) (undo func()) {
	organisations, weight, swept, urgency, service, notify := maps.Clone(c.organisations), c.activeWeight, c.sweptAt, c.urgency, c.service, c.settings.OnQueue
	queued, counted, isolated := c.queuedRequests, c.counts.Queued, c.pendingIsolated
	c.settings.OnQueue = nil
	known := c.organisations[name]
	var before organisation
	if known != nil {
		before = *known
	}
	return func() {
		c.organisations, c.activeWeight, c.sweptAt, c.urgency, c.service, c.settings.OnQueue = organisations, weight, swept, urgency, service, notify
		c.queuedRequests, c.counts.Queued, c.pendingIsolated = queued, counted, isolated
		if known != nil {
			*known = before
		}
	}
}
