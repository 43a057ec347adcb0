package admission

import (
	"math"
	"time"

	"jacinthfork.example/jacinthfork/verdict"
)

// organisation is the state of one organisation at this engine. It is kept while the organisation has
// queued or running requests here, and for ActiveWindow after its last request.
type organisation struct {
	name             string
	weight           float64
	inFlightTokens   uint64
	inFlightRequests int
	// waiting is ordered by priority, then by arrival; queuedTokens is its total work.
	waiting      []*waiter
	queuedTokens uint64
	// virtualFinish is the virtual finish time of the work granted so far, as in weighted fair queueing.
	virtualFinish float64
	// lastRequest is the arrival time of the last request.
	lastRequest time.Time
	// arrivals is kept with Settings.ByUrgency.
	arrivals decayingRate
}

// fitResult says whether a request can run now.
type fitResult int

const (
	// fitsNow means that the request can run.
	fitsNow fitResult = iota
	// overShare means that the request would use the reserve or exceed the capacity, and that the
	// organisation is over its share.
	overShare
	// overCapacity means that the request has to wait for capacity or isolation.
	overCapacity
)

// sweepInterval is the minimum time between sweeps of inactive organisations.
const sweepInterval = time.Second

// activeOrganisation returns the state of an organisation and marks it as active.
func (c *Controller) activeOrganisation(name string) *organisation {
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
	o.lastRequest = now
	return o
}

// sweep removes organisations without requests whose ActiveWindow has passed.
func (c *Controller) sweep(now time.Time) {
	c.sweptAt = now
	c.activeWeight = 0
	for name, o := range c.organisations {
		busy := o.inFlightRequests > 0 || len(o.waiting) > 0
		if !busy && now.Sub(o.lastRequest) > c.settings.ActiveWindow {
			delete(c.organisations, name)
			continue
		}
		c.activeWeight += o.weight
	}
}

// SetWeights replaces the weights of organisations. An organisation that is not listed, or whose weight is
// not positive, has weight 1.
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

// capacityFraction returns the larger of the fractions of the token and request capacities in use.
func (c *Controller) capacityFraction(tokens uint64, requests int) float64 {
	byTokens := float64(tokens) / float64(c.settings.CapacityTokens)
	byRequests := float64(requests) / float64(c.settings.CapacityRequests)
	return max(byTokens, byRequests)
}

// fairShare returns the fraction of the capacity that an organisation is entitled to.
func (c *Controller) fairShare(o *organisation) float64 {
	return o.weight / c.activeWeight
}

// withinShare reports whether an organisation stays within its share with one more request. An
// organisation that has recently used less than its share may exceed it briefly: with random arrivals at
// three quarters of the share, the work in flight exceeds the share about a tenth of the time, and a strict
// limit would hold these requests back.
func (c *Controller) withinShare(o *organisation, work uint64) bool {
	return c.capacityFraction(o.inFlightTokens+work, o.inFlightRequests+1) <= c.fairShare(o) || o.virtualFinish < c.virtualTime
}

// checkFit checks isolation, reserve and capacity. An engine with nothing in flight takes any request.
func (c *Controller) checkFit(o *organisation, req *Request, work uint64) fitResult {
	if c.inFlightRequests == 0 {
		return fitsNow
	}
	if c.isolated || req.Isolate {
		return overCapacity
	}
	after := c.capacityFraction(c.inFlightTokens+c.reportedExcess(c.now())+work, c.inFlightRequests+1)
	reserve := float64(c.settings.ReservePercent) / 100
	if after > 1-reserve && !c.withinShare(o, work) {
		return overShare
	}
	if after > 1 {
		return overCapacity
	}
	return fitsNow
}

// virtualStart returns the virtual start time of the next request of an organisation. An organisation that
// used less than its share keeps a credit of at most its share of the capacity, so that a burst of its
// requests does not queue behind an organisation with a backlog.
func (c *Controller) virtualStart(o *organisation) float64 {
	return max(c.virtualTime-1/c.activeWeight, o.virtualFinish)
}

// chargeVirtualTime advances the virtual time of an organisation by the work of a request. An isolated
// request is charged the whole capacity, because nothing else can run at the same time. It also counts the
// grant in Counts.Granted.
func (c *Controller) chargeVirtualTime(o *organisation, req *Request, work uint64) {
	cost := c.capacityFraction(work, 1)
	if req.Isolate {
		cost = max(cost, 1)
	}
	start := c.virtualStart(o)
	c.virtualTime = max(c.virtualTime, start)
	o.virtualFinish = start + cost/c.shareWeight(o)
	c.counts.Granted++
}

// nextOrganisation returns the queued organisation with the smallest virtual start time if its first
// request can run now, otherwise nil. Organisations that only the reserve could serve are skipped, even
// when the reserve is full, because their requests would otherwise block organisations within their share.
// A request within its share that does not fit blocks everything behind it, so that small requests do not
// starve large ones.
func (c *Controller) nextOrganisation() *organisation {
	var best *organisation
	first := math.Inf(1)
	for _, o := range c.organisations {
		if len(o.waiting) == 0 || c.virtualStart(o) > first {
			continue
		}
		if c.virtualStart(o) == first && o.waiting[0].arrival > best.waiting[0].arrival {
			continue
		}
		w := o.waiting[0]
		if c.checkFit(o, &w.req, w.work) == overShare {
			continue
		}
		best = o
		first = c.virtualStart(o)
	}
	if best == nil {
		return nil
	}
	w := best.waiting[0]
	if c.checkFit(best, &w.req, w.work) != fitsNow {
		return nil
	}
	return best
}

// weightedUsage returns the fraction of the capacity plus the fraction of the queue that an organisation
// holds, divided by its weight.
func (c *Controller) weightedUsage(o *organisation, waiting int) float64 {
	queued := float64(waiting) / float64(max(1, c.settings.QueueRequests))
	return (c.capacityFraction(o.inFlightTokens, o.inFlightRequests) + queued) / c.shareWeight(o)
}

// mostOverShare returns the organisation with the highest weightedUsage among those with a queued request and
// the arriving one. It may be within its share.
func (c *Controller) mostOverShare(arriving *organisation) *organisation {
	worst := arriving
	highest := c.weightedUsage(arriving, len(arriving.waiting)+1)
	for _, o := range c.organisations {
		if o == arriving || len(o.waiting) == 0 {
			continue
		}
		p := c.weightedUsage(o, len(o.waiting))
		if p > highest || (p == highest && o.name < worst.name) {
			worst = o
			highest = p
		}
	}
	return worst
}

// queueFullError is the refusal of a request for which the queue has no room.
func (c *Controller) queueFullError(w *waiter) *verdict.Error {
	o := w.organisation
	if len(c.organisations) > 1 && c.weightedUsage(o, len(o.waiting))*c.shareWeight(o) > c.fairShare(o) {
		return newRetryAfterError(verdict.ReasonOverShare, "the organisation is furthest over its share", c.retryAfter(&w.req))
	}
	return newRetryAfterError(verdict.ReasonOverCapacity, "the engine and its queue are full", c.retryAfter(&w.req))
}
