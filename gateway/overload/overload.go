// Package overload decides which new requests a gateway refuses because its process has no processor time left. It does no
// I/O.
//
// It answers a load pattern: for some seconds a gateway gets more requests than its processor can handle while other gateways
// have processor time to spare. Accepting all of them makes everything late at the same time, also what was accepted before.
// Refused callers come back on a new connection, which often ends at another gateway.
package overload

import (
	"math"
	"slices"
	"sync"
	"time"
)

// Settings are the settings of a gateway.
type Settings struct {
	// Refuse is set if a part of the new requests is refused while the process has no processor time left.
	Refuse bool
}

const (
	// waitsPerObjective is how many delays at the bound fit in the shortest objective. A request waits for the processor about five
	// times before its first event, which may take a third of the objective.
	waitsPerObjective = 15
	// minMaxDelay is the lowest bound, above the delays of a process that gets its processor time in slices of some ms. Keepers must
	// answer within twice as long.
	minMaxDelay = 20 * time.Millisecond
	// maxMaxDelay is the highest bound. The delay may exceed the bound four times until refusals have an effect; within 500 ms after
	// a caller has left, the gateway must be able to notice that and to tell the instance.
	maxMaxDelay = 50 * time.Millisecond
)

const (
	// SampleInterval is the time between two measurements of the delay. 50 per second take an idle
	// process 3 ms of processor time.
	SampleInterval = 20 * time.Millisecond
	// window is the time, and minSamples the number of measurements, in which a delay must last. A process with a quota of its
	// processor runs at the beginning of each period, usually of 100 ms, and two of them tell a lasting delay from a single one.
	window     = 200 * time.Millisecond
	minSamples = 3
	// lastingPart is the part of the window for which the process must have been late. A quota of 0.144 that is used up leaves
	// it late for 0.86 of the time.
	lastingPart = 0.75
	// minPause is the delay from which on the process counts as frozen, unless the measurement before was late as well: a process
	// short of processor time may be delayed for longer than that again and again.
	minPause = 200 * time.Millisecond
	// pauseGrace is how long after a pause no delay counts: what has arrived meanwhile is handled then.
	pauseGrace = 500 * time.Millisecond

	// shrinkRate is the part of the limit by which it shrinks per second for each maxDelay by which the delay exceeds it,
	// growRate the part by which it grows per second while there is no delay.
	shrinkRate = 2.0
	growRate   = 0.5
	// refuseFrom is the number of requests in progress, as a part of the limit, from which on some are refused, refuseAll that at
	// which maxShare of them are. A limit lower than that has no effect, and would have to grow again.
	refuseFrom = 0.8
	refuseAll  = 1.2
	// forgetAfter is the time without delay and with fewer requests in progress than refuseFrom after which the limit is
	// forgotten.
	forgetAfter = time.Second
	// minLimit is the smallest limit. It keeps a gateway that is slowed down by other programs measured.
	minLimit = 4
	// maxExcess bounds what one measurement counts, as a multiple of maxDelay.
	maxExcess = 3
	// maxStep is the longest time that counts between two measurements.
	maxStep = 100 * time.Millisecond
	// maxShare is the largest share of requests that is refused.
	maxShare = 0.9
	// servedPerSecond is the number of requests per second of which none is refused, and maxServed how many of them may arrive
	// at once. A gateway with 0.1 of a core serves some 70 per second. If a gateway with so few requests is short of processor
	// time, refusing them changes nothing.
	servedPerSecond = 10
	maxServed       = 3

	// levelFloor is the least chance of a level of urgency as a part of the average chance, organisationFloor that of an
	// organisation as a part of the chance of its level. Together they are above a quarter.
	levelFloor        = 0.4
	organisationFloor = 0.7
	// arrivalsWeight is the part of the share of an organisation that follows its arrivals; the rest is equal shares.
	arrivalsWeight = 0.5
	// levels is the number of levels of urgency, those of the priorities 0 to 9.
	levels = 10
	// countWindow is the time over which arrivals are counted, decayInterval the time between two reductions of the counts.
	countWindow   = time.Second
	decayInterval = 100 * time.Millisecond
	// minCount is the decayed number of arrivals at which an organisation is forgotten.
	minCount = 0.05

	// minRetryAfter and retrySpread give the Retry-After: from minRetryAfter to retrySpread times the refused share later. The
	// longest is about half of a tight objective, and other gateways get the callers spread over it.
	minRetryAfter = 30 * time.Millisecond
	retrySpread   = 200 * time.Millisecond
	// spreadStep spreads successive points evenly over an interval, however many there will be: the golden ratio.
	spreadStep = 0.6180339887
)

// Controller decides for all requests of one gateway. It is safe for concurrent use.
type Controller struct {
	random func() float64

	mu sync.Mutex
	// maxDelay is the bound on the delay.
	maxDelay time.Duration
	// samples are the delays that were measured last, oldest first.
	samples []sample
	// sorted is used by sustained.
	sorted []time.Duration
	// graceUntil is the end of the time after a pause in which delays do not count.
	graceUntil time.Time
	// lastDelay is the delay that was measured last.
	lastDelay time.Duration
	// observedAt is the time of the last measurement.
	observedAt time.Time
	// limit is the number of requests in progress above which requests are refused, 0 if there is none. neededAt is when it was
	// needed last.
	limit      float64
	neededAt   time.Time
	inProgress int
	delay      time.Duration
	pauses     int
	// served is the number of requests that are accepted whatever the share is, as of servedAt.
	served   float64
	servedAt time.Time
	// byLevel and byOrganisation are the arrivals, with less weight the older they are, and total their sum.
	byLevel        [levels]float64
	byOrganisation map[string]float64
	total          float64
	decayedAt      time.Time
	// spread is where in its spread the next caller is told to come back, between 0 and 1.
	spread    float64
	refusedAt time.Time
}

type sample struct {
	at    time.Time
	delay time.Duration
}

// New returns a controller that refuses nothing until delays are observed. random returns numbers from 0 to below 1.
func New(random func() float64) *Controller {
	return &Controller{maxDelay: maxMaxDelay, random: random, byOrganisation: make(map[string]float64), served: maxServed}
}

// SetObjective derives the bound on the delay from the shortest objective of the routes, 0 if there is none.
func (c *Controller) SetObjective(shortest time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxDelay = maxMaxDelay
	if shortest > 0 {
		c.maxDelay = min(maxMaxDelay, max(minMaxDelay, shortest/waitsPerObjective))
	}
}

// Observe takes a measurement: the process ran delay later than it should have. Measurements must be taken one after the
// other, each SampleInterval after the one before.
func (c *Controller) Observe(now time.Time, delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delay = max(0, delay)
	step := min(max(0, now.Sub(c.observedAt)), maxStep)
	c.observedAt = now
	if delay >= minPause && c.lastDelay <= c.maxDelay {
		c.pauses++
		c.graceUntil = now.Add(pauseGrace)
	}
	c.lastDelay = delay
	if now.Before(c.graceUntil) {
		// Delays that last after the grace count as if they began then.
		c.samples = c.samples[:0]
		c.delay = 0
		return
	}
	c.samples = append(c.samples, sample{now, delay})
	c.delay = c.sustained(now)
	c.adjust(now, step)
}

// sustained returns the delay that the process had for lastingPart of window at least, of minSamples measurements, and forgets
// older ones. The longest one does not count: it may be the end of a short pause.
func (c *Controller) sustained(now time.Time) time.Duration {
	first := 0
	for len(c.samples)-first > minSamples && now.Sub(c.samples[first].at) > window {
		first++
	}
	c.samples = slices.Delete(c.samples, 0, first)
	if len(c.samples) < minSamples {
		return 0
	}
	c.sorted = c.sorted[:0]
	total := time.Duration(0)
	for _, s := range c.samples {
		c.sorted = append(c.sorted, s.delay)
		total += s.delay + SampleInterval
	}
	slices.Sort(c.sorted)
	longest := len(c.sorted) - 1
	total -= c.sorted[longest] + SampleInterval
	before := time.Duration(0)
	for _, delay := range c.sorted[:longest] {
		// A measurement stands for the time since the one before it.
		if before += delay + SampleInterval; float64(before) > (1-lastingPart)*float64(total) {
			return delay
		}
	}
	return 0
}

// adjust sets the limit after a delay that has lasted for step longer.
func (c *Controller) adjust(now time.Time, step time.Duration) {
	excess := min(maxExcess, float64(c.delay)/float64(c.maxDelay)-1)
	if c.limit == 0 {
		if excess <= 0 {
			return
		}
		c.limit, c.neededAt = float64(c.inProgress), now
	}
	rate := growRate
	if excess > 0 {
		rate = shrinkRate
	}
	c.limit = max(minLimit, float64(c.inProgress)/refuseAll, c.limit*(1-rate*excess*step.Seconds()))
	if excess > 0 || float64(c.inProgress) > refuseFrom*c.limit {
		c.neededAt = now
	}
	if now.Sub(c.neededAt) >= forgetAfter {
		c.limit = 0
	}
}

// share returns the part of the new requests that is refused.
func (c *Controller) share() float64 {
	if c.limit == 0 {
		return 0
	}
	return min(maxShare, max(0, maxShare*(float64(c.inProgress)/c.limit-refuseFrom)/(refuseAll-refuseFrom)))
}

// Admit counts a new request and reports whether it is accepted, and otherwise after what time its caller is to come back. Done
// must be called at the end of each accepted request.
func (c *Controller) Admit(now time.Time, priority int, organisation string) (accepted bool, retryAfter time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decay(now)
	level := min(max(0, priority), levels-1)
	c.byLevel[level]++
	c.byOrganisation[organisation]++
	c.total++
	c.served = min(maxServed, c.served+servedPerSecond*now.Sub(c.servedAt).Seconds())
	c.servedAt = now
	share := c.share()
	if share == 0 || c.served >= 1 || c.random() < c.chance(share, level, organisation) {
		c.served = max(0, c.served-1)
		c.inProgress++
		return true, 0
	}
	c.refusedAt = now
	c.spread = math.Mod(c.spread+spreadStep, 1)
	return false, minRetryAfter + time.Duration(c.spread*share*float64(retrySpread))
}

// Done ends a request that was accepted.
func (c *Controller) Done() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inProgress--
}

// chance returns the chance of a request to be accepted while a share of all is refused.
func (c *Controller) chance(refused float64, level int, organisation string) float64 {
	// Each level keeps its floor. The rest goes to the most urgent levels.
	average := 1 - refused
	floor := levelFloor * average
	left := (average - floor) * c.total
	chance := floor
	for n := range level + 1 {
		extra := min(left, c.byLevel[n]*(1-floor))
		left -= extra
		if n == level {
			chance += extra / c.byLevel[n]
		}
	}
	// Organisations with more requests than others have a lower chance, those with fewer a higher one.
	own := c.byOrganisation[organisation]
	share := (1-arrivalsWeight)/float64(len(c.byOrganisation)) + arrivalsWeight*own/c.total
	return min(1, chance*max(organisationFloor, share*c.total/own))
}

// decay reduces the counts.
func (c *Controller) decay(now time.Time) {
	if now.Sub(c.decayedAt) < decayInterval {
		return
	}
	factor := math.Exp(-now.Sub(c.decayedAt).Seconds() / countWindow.Seconds())
	c.decayedAt = now
	for n := range c.byLevel {
		c.byLevel[n] *= factor
	}
	c.total = 0
	for name, n := range c.byOrganisation {
		if n *= factor; n < minCount {
			delete(c.byOrganisation, name)
			continue
		}
		c.byOrganisation[name] = n
		c.total += n
	}
}

// State is the state of a controller.
type State struct {
	// Delay is the scheduling delay that has lasted, Share the part of the new requests that is refused.
	// MaxDelay is the bound on the delay.
	Delay, MaxDelay time.Duration
	Share           float64
	// Limit is the limit of requests in progress, 0 if there is none.
	Limit      float64
	InProgress int
	// Pauses counts the times in which the process was frozen.
	Pauses int
	// RefusedAt is when a request was last refused, zero if none was.
	RefusedAt time.Time
}

// State returns the current state.
func (c *Controller) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return State{Delay: c.delay, MaxDelay: c.maxDelay, Share: c.share(), Limit: c.limit, InProgress: c.inProgress, Pauses: c.pauses, RefusedAt: c.refusedAt}
}
