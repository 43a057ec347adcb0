package admission

import (
	"math"
	"time"

	"jacinthfork.example/jacinthfork/verdict"
)

// organisation is the state of one organisation at this engine. It is kept while the organisation
// has work here and for ActiveWindow after its last request.
type organisation struct {
	name     string
	weight   float64
	tokens   uint64
	requests int
	// waiting is ordered by priority, then arrival; queued is its work in tokens.
	waiting []*waiter
	queued  uint64
	// finish is the virtual time at which the work granted so far is paid for.
	finish float64
	// seen is the time of the last request.
	seen time.Time
}

// fit says whether work can run now.
type fit int

const (
	// fitsNow means that it can run.
	fitsNow fit = iota
	// overShare means that only the reserve is free, which its organisation may not use.
	overShare
	// overCapacity means that the engine is full.
	overCapacity
)

// sweepInterval is the pause between searches for inactive organisations.
const sweepInterval = time.Second

// organisation returns the state of an organisation and notes that it is active.
func (c *Controller) organisation(name string) *organisation {
	now := c.now()
	if now.Sub(c.sweptAt) >= sweepInterval {
		c.sweep(now)
	}
	o, ok := c.organisations[name]
	if !ok {
		o = &organisation{name: name, weight: c.weight(name)}
		c.organisations[name] = o
		c.activeWeight += o.weight
	}
	o.seen = now
	return o
}

// sweep forgets organisations without work whose ActiveWindow has passed.
func (c *Controller) sweep(now time.Time) {
	c.sweptAt = now
	c.activeWeight = 0
	for name, o := range c.organisations {
		busy := o.requests > 0 || len(o.waiting) > 0
		if !busy && now.Sub(o.seen) > c.settings.ActiveWindow {
			delete(c.organisations, name)
			continue
		}
		c.activeWeight += o.weight
	}
}

// SetWeights sets the weights of organisations. An organisation that is not listed has weight 1,
// and so has one with a weight that is not positive.
func (c *Controller) SetWeights(weights map[string]float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.weights = weights
	c.activeWeight = 0
	for name, o := range c.organisations {
		o.weight = c.weight(name)
		c.activeWeight += o.weight
	}
}

func (c *Controller) weight(name string) float64 {
	if w, ok := c.weights[name]; ok && w > 0 {
		return w
	}
	return 1
}

// usage is the larger part that tokens and requests take of the capacity.
func (c *Controller) usage(tokens uint64, requests int) float64 {
	byTokens := float64(tokens) / float64(c.settings.CapacityTokens)
	byRequests := float64(requests) / float64(c.settings.CapacityRequests)
	return max(byTokens, byRequests)
}

// share is the part of the capacity that an organisation is entitled to.
func (c *Controller) share(o *organisation) float64 {
	return o.weight / c.activeWeight
}

// withinShare reports whether an organisation is within its share after one more request. One that
// has used less than its share of late may hold more for a moment, because random arrivals at three
// quarters of a share are above it about a tenth of the time.
func (c *Controller) withinShare(o *organisation, work uint64) bool {
	return c.usage(o.tokens+work, o.requests+1) <= c.share(o) || o.finish < c.virtual
}

// fits decides pace, capacity, reserve and isolation. An engine with nothing in flight takes any request.
func (c *Controller) fits(o *organisation, req *Request, work uint64) fit {
	if c.untilPace() > 0 {
		return overCapacity
	}
	if c.inFlight == 0 {
		return fitsNow
	}
	if c.isolated || req.Isolate {
		return overCapacity
	}
	after := c.usage(c.own+c.excess(c.now())+work, c.inFlight+1)
	reserve := float64(c.settings.ReservePercent) / 100
	if after > 1-reserve && !c.withinShare(o, work) {
		return overShare
	}
	if after > 1 {
		return overCapacity
	}
	return fitsNow
}

// start is the virtual start time of the next request of an organisation. An organisation that used
// less than its share keeps a credit of at most its share of the capacity, so that it need not
// queue behind an organisation with a backlog when its requests come in a burst.
func (c *Controller) start(o *organisation) float64 {
	return max(c.virtual-1/c.activeWeight, o.finish)
}

// charge advances the virtual time of an organisation by its work. An isolated request is charged
// with the whole capacity, because nothing else can run beside it.
func (c *Controller) charge(o *organisation, req *Request, work uint64) {
	cost := c.usage(work, 1)
	if req.Isolate {
		cost = max(cost, 1)
	}
	start := c.start(o)
	c.virtual = max(c.virtual, start)
	o.finish = start + cost/o.weight
	c.counts.Granted++
}

// next returns the waiting organisation with the smallest virtual start time that may run now.
// Organisations that only the reserve could serve are passed over, also when even the reserve is
// full, because their request would otherwise hold back organisations within their share. A request
// within its share that does not fit holds everything behind it back, so that small requests do not
// starve large ones.
func (c *Controller) next() *organisation {
	var best *organisation
	first := math.Inf(1)
	for _, o := range c.organisations {
		if len(o.waiting) == 0 || c.start(o) > first {
			continue
		}
		if c.start(o) == first && o.waiting[0].order > best.waiting[0].order {
			continue
		}
		w := o.waiting[0]
		if c.fits(o, &w.req, w.work) == overShare {
			continue
		}
		best = o
		first = c.start(o)
	}
	if best == nil {
		return nil
	}
	w := best.waiting[0]
	if c.fits(best, &w.req, w.work) != fitsNow {
		return nil
	}
	return best
}

// pressure is the part of capacity and queue that an organisation holds, relative to its weight.
func (c *Controller) pressure(o *organisation, waiting int) float64 {
	queued := float64(waiting) / float64(max(1, c.settings.QueueRequests))
	return (c.usage(o.tokens, o.requests) + queued) / o.weight
}

// mostOverShare returns the organisation with a waiting request, or the arriving one, that is
// furthest over its share.
func (c *Controller) mostOverShare(arriving *organisation) *organisation {
	worst := arriving
	highest := c.pressure(arriving, len(arriving.waiting)+1)
	for _, o := range c.organisations {
		if o == arriving || len(o.waiting) == 0 {
			continue
		}
		p := c.pressure(o, len(o.waiting))
		if p > highest || (p == highest && o.name < worst.name) {
			worst = o
			highest = p
		}
	}
	return worst
}

// overflowError is the refusal of a request that finds no place in the queue.
func (c *Controller) overflowError(o *organisation) *verdict.Error {
	if len(c.organisations) > 1 && c.pressure(o, len(o.waiting))*o.weight > c.share(o) {
		return retryLater(verdict.ReasonOverShare, "the organisation is furthest over its share", c.retryAfter())
	}
	return retryLater(verdict.ReasonOverCapacity, "the engine and its queue are full", c.retryAfter())
}
