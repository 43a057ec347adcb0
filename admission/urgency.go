package admission

import (
	"math"
	"time"

	"jacinthfork.example/jacinthfork/verdict"
)

const (
	// urgencyLevels is the number of levels of urgency. Level 0 is the most urgent; it is that of Request.Priority 0 and above.
	urgencyLevels = 10
	// arrivalsReserve is the part of its share of the arrivals that each level is granted at least, while more urgent requests
	// wait, and each organisation while others have used less. Every kind of request and every organisation must be served
	// a quarter as often as the average; the rest is for those that end late.
	arrivalsReserve = 0.35
	// maxLevelCredit bounds the grants that a level can claim at once, so that it gets no burst after a quiet time.
	maxLevelCredit = 1.5
	// rateWindow is the time over which the rates of arrivals, grants and completions adapt. A few hundred events fall into
	// it at a busy engine, and a machine that has become slow is noticed before its callers have lost their patience.
	rateWindow = time.Second
	// evictionSlack is how much longer than it may still wait a queued request would have to wait before it is refused
	// for that. Estimates vary by about a third, and a request that has waited should not be refused for their noise.
	evictionSlack = 1.5
	// waitedPatience is the part of the time that a caller has left for which it waits before it comes back.
	waitedPatience = 1. / 3
	// returnSpread is the part of a caller's patience over which the most urgent callers are spread that cannot all be served
	// within it. The later part of it is left to less urgent ones.
	returnSpread = 0.5
	// goldenRatio spreads successive points evenly over an interval, however many there will be.
	goldenRatio = 0.6180339887
)

// QueueEvent is what happens to a request in the queue of a controller with Settings.ByUrgency.
type QueueEvent int

const (
	// QueueEntered and QueueLeft count the requests that wait.
	QueueEntered QueueEvent = iota
	QueueLeft
	// QueueRefused is a request that was refused at once, because it would have had to wait too long.
	QueueRefused
	// QueueEvicted is a request that was refused while it waited, because others went before it.
	QueueEvicted
)

// decayingRate is the rate of some event. Older events lose weight within rateWindow.
type decayingRate struct {
	count float64
	at    time.Time
}

func (r *decayingRate) add(now time.Time) {
	r.count = r.value(now) + 1
	r.at = now
}

// value returns the number of events in about one rateWindow.
func (r *decayingRate) value(now time.Time) float64 {
	if r.count == 0 {
		return 0
	}
	return r.count * math.Exp(-now.Sub(r.at).Seconds()/rateWindow.Seconds())
}

// urgencyLevel is the state of the requests of one level of urgency.
type urgencyLevel struct {
	queued            int
	arrivals, granted decayingRate
	// credit is the number of grants that the level may claim before more urgent ones.
	credit float64
	// lastReturn is when the caller that was refused last is told to come back.
	lastReturn time.Time
}

// urgency orders the queue by urgency across all organisations.
//
// It answers a load pattern: for some seconds an engine gets several times the requests that it can serve in time, of all
// levels of urgency and from many organisations, one of which sends many times its usual. Shares of organisations alone
// serve the urgent requests of a busy organisation after the others' less urgent ones, and a queue that is full of requests
// which cannot be served in time keeps all callers waiting for a refusal.
type urgency struct {
	levels      [urgencyLevels]urgencyLevel
	arrivals    decayingRate
	completions decayingRate
	// returns is where in its spread the next caller is told to come back, between 0 and 1.
	returns float64
}

// levelOf returns the level of a request.
func levelOf(req *Request) int { return min(max(0, -req.Priority), urgencyLevels-1) }

func (c *Controller) notify(event QueueEvent, level int) {
	if c.settings.OnQueue != nil {
		c.settings.OnQueue(event, level)
	}
}

// arrived counts a request that asks for a place.
func (c *Controller) arrived(o *organisation, req *Request) {
	now := c.now()
	c.urgency.levels[levelOf(req)].arrivals.add(now)
	c.urgency.arrivals.add(now)
	o.arrivals.add(now)
}

// shareWeight returns the weight by which an organisation shares. With Settings.ByUrgency a part of it follows the
// arrivals: with equal weights alone, one that sends a quarter of all requests would be served hardly at all while twenty
// others send theirs.
func (c *Controller) shareWeight(o *organisation) float64 {
	if !c.settings.ByUrgency {
		return o.weight
	}
	now := c.now()
	total := c.urgency.arrivals.value(now)
	if total == 0 {
		return o.weight
	}
	size := float64(len(c.organisations)) * o.arrivals.value(now) / total
	return o.weight * (1 - arrivalsReserve + arrivalsReserve*size)
}

// reserved returns the part of the grants that a level gets at least while it has requests waiting.
func (u *urgency) reserved(level int, now time.Time) float64 {
	total := u.arrivals.value(now)
	if total == 0 {
		return 0
	}
	return arrivalsReserve * u.levels[level].arrivals.value(now) / total
}

// available returns the part of the grants that more urgent levels leave to a level, and at least the reserved part.
func (u *urgency) available(level int, now time.Time) float64 {
	urgent, total := 0.0, 0.0
	for n := range u.levels {
		granted := u.levels[n].granted.value(now)
		total += granted
		if n < level {
			urgent += granted
		}
	}
	if total == 0 {
		return 1
	}
	return max(1-urgent/total, u.reserved(level, now))
}

// order returns the levels in the order in which they may claim the next grant: one that has the credit for it, then
// by urgency.
func (u *urgency) order() [urgencyLevels + 1]int {
	var out [urgencyLevels + 1]int
	most := 0.0
	for n := range u.levels {
		out[n+1] = n
		if l := &u.levels[n]; l.queued > 0 && l.credit >= 1 && l.credit > most {
			out[0], most = n, l.credit
		}
	}
	return out
}

// settle accounts for a grant from the queue to a request of a level.
func (u *urgency) settle(level int, now time.Time) {
	for n := range u.levels {
		if l := &u.levels[n]; l.queued > 0 || n == level {
			l.credit = min(maxLevelCredit, l.credit+u.reserved(n, now))
		}
	}
	u.levels[level].credit = max(0, u.levels[level].credit-1)
}

// completionRate returns the completions per second to expect while all places are taken, 0 if that is not known yet. The
// count of completions is too low while places were free just before, and the time that requests take is too high when the
// news of some ends is late.
func (c *Controller) completionRate(now time.Time) float64 {
	rate := c.urgency.completions.value(now) / rateWindow.Seconds()
	if c.service.mean > 0 {
		rate = max(rate, float64(c.inFlightRequests)/c.service.mean.Seconds())
	}
	return rate
}

// grantTime returns the estimated time until the request at a position among the queued ones of a level, from 1, is granted.
func (c *Controller) grantTime(level, position int, now time.Time) time.Duration {
	rate := c.completionRate(now)
	if rate == 0 {
		return 0
	}
	ahead := position
	for n := range level {
		ahead += c.urgency.levels[n].queued
	}
	grants := float64(ahead) / max(c.urgency.available(level, now), math.SmallestNonzeroFloat32)
	if reserved := c.urgency.reserved(level, now); reserved > 0 {
		grants = min(grants, float64(position)/reserved)
	}
	excess := max(0, c.inFlightRequests-c.settings.CapacityRequests)
	return seconds(min((float64(excess)+grants)/rate, maxRetryAfter.Seconds()))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// waitingAt returns an organisation's queued requests of a level, in the order of arrival.
func (o *organisation) waitingAt(level int) []*waiter {
	first, end := 0, 0
	for _, w := range o.waiting {
		l := levelOf(&w.req)
		if l < level {
			first++
		}
		if l <= level {
			end++
		}
	}
	return o.waiting[first:end]
}

// virtualStep returns the advance of an organisation's virtual time by one small request.
func (c *Controller) virtualStep(o *organisation) float64 {
	return c.capacityFraction(1, 1) / c.shareWeight(o)
}

// fairPosition returns the position that a new request of an organisation has among the queued ones of its level.
func (c *Controller) fairPosition(arriving *organisation, level int) int {
	own := len(arriving.waitingAt(level))
	start := c.virtualStart(arriving) + float64(own)*c.virtualStep(arriving)
	position := 1 + own
	for _, o := range c.organisations {
		if o == arriving || len(o.waiting) == 0 {
			continue
		}
		if before := start - c.virtualStart(o); before >= 0 {
			position += int(min(before/c.virtualStep(o)+1, float64(len(o.waitingAt(level)))))
		}
	}
	return position
}

// refuseTooLate returns the refusal of a request that cannot be granted within the time that it may wait, or nil. One request
// may always wait, so that the next place is not left free.
func (c *Controller) refuseTooLate(w *waiter) *verdict.Error {
	now, level := c.now(), levelOf(&w.req)
	if c.queuedRequests == 0 || w.req.Isolate {
		return nil
	}
	if c.grantTime(level, c.fairPosition(w.organisation, level), now) <= w.until.Sub(now) {
		return nil
	}
	c.notify(QueueRefused, level)
	return newRetryAfterError(verdict.ReasonOverCapacity, "the queue is longer than the request may wait", c.retryAfter(&w.req))
}

// refuseOvertaken refuses the queued requests that cannot be granted in time any more, because others went before them.
func (c *Controller) refuseOvertaken() {
	now := c.now()
	for level := urgencyLevels - 1; level >= 0; level-- {
		for c.urgency.levels[level].queued > 1 {
			last := c.lastAt(level)
			left := time.Duration(evictionSlack * float64(last.until.Sub(now)))
			if c.grantTime(level, c.urgency.levels[level].queued, now) <= left {
				break
			}
			c.evict(last)
		}
	}
}

// lastAt returns the queued request of a level that is granted last.
func (c *Controller) lastAt(level int) *waiter {
	var last *waiter
	latest := 0.0
	for _, o := range c.organisations {
		waiting := o.waitingAt(level)
		if len(waiting) == 0 {
			continue
		}
		w := waiting[len(waiting)-1]
		start := c.virtualStart(o) + float64(len(waiting)-1)*c.virtualStep(o)
		if last == nil || start > latest || (start == latest && w.arrival > last.arrival) {
			last, latest = w, start
		}
	}
	return last
}

func (c *Controller) evict(w *waiter) {
	if c.settings.ByUrgency {
		c.notify(QueueEvicted, levelOf(&w.req))
	}
	c.refuseQueued(w, c.queueFullError(w))
}

// protected returns the number of queued requests of a level that more urgent ones do not displace from a full queue: without
// them its reserved grants would be lost.
func (c *Controller) protected(level int) int {
	return max(1, int(c.urgency.reserved(level, c.now())*float64(c.settings.QueueRequests)))
}

// leastUrgent returns a queued request of the least urgent level that has more than its protected number, of the organisation
// that is furthest over its share, or the arriving request if that must be refused.
func (c *Controller) leastUrgent(arriving *waiter) *waiter {
	own := levelOf(&arriving.req)
	for level := urgencyLevels - 1; level >= 0; level-- {
		queued := c.urgency.levels[level].queued
		if level == own {
			queued++
		}
		if queued <= c.protected(level) {
			continue
		}
		worst := c.mostOverShareAt(level, arriving)
		if worst == nil || (level == own && worst == arriving.organisation) {
			return arriving
		}
		waiting := worst.waitingAt(level)
		return waiting[len(waiting)-1]
	}
	return arriving
}

// mostOverShareAt returns the organisation with the highest weightedUsage among those with a queued request of a level and,
// if it is of that level, the arriving one.
func (c *Controller) mostOverShareAt(level int, arriving *waiter) *organisation {
	var worst *organisation
	highest := 0.0
	for _, o := range c.organisations {
		waiting := len(o.waiting)
		if o == arriving.organisation && levelOf(&arriving.req) == level {
			waiting++
		} else if len(o.waitingAt(level)) == 0 {
			continue
		}
		usage := c.weightedUsage(o, waiting)
		if worst == nil || usage > highest || (usage == highest && o.name < worst.name) {
			worst, highest = o, usage
		}
	}
	return worst
}

// nextByUrgency returns the next request to grant, or nil when none may run now.
func (c *Controller) nextByUrgency() *waiter {
	for _, level := range c.urgency.order() {
		if c.urgency.levels[level].queued == 0 {
			continue
		}
		var best *waiter
		first := math.Inf(1)
		for _, o := range c.organisations {
			waiting := o.waitingAt(level)
			if len(waiting) == 0 {
				continue
			}
			w, start := waiting[0], c.virtualStart(o)
			if start > first || (start == first && w.arrival > best.arrival) || c.checkFit(o, &w.req, w.work) == overShare {
				continue
			}
			best, first = w, start
		}
		if best == nil {
			continue
		}
		if c.checkFit(best.organisation, &best.req, best.work) != fitsNow {
			return nil
		}
		return best
	}
	return nil
}

// returnByUrgency returns the time after which the next refused caller of a level is to come back: when the queue before it
// has run, after the one that was refused before it and after those of more urgent levels. Callers that come back get half of
// the grants that are left to their level. If that is beyond the caller's patience, no place is kept for it, and callers are
// spread over the later part of their patience.
func (c *Controller) returnByUrgency(req *Request) time.Duration {
	now, level := c.now(), levelOf(req)
	l := &c.urgency.levels[level]
	next := now.Add(c.grantTime(level, l.queued+1, now))
	if rate := c.completionRate(now) * c.urgency.available(level, now) * returnShare; rate > 0 {
		if after := l.lastReturn.Add(seconds(min(1/rate, maxRetryAfter.Seconds()))); after.After(next) {
			next = after
		}
	}
	for n := range level {
		if before := c.urgency.levels[n].lastReturn; before.After(next) {
			next = before
		}
	}
	after, patience := next.Sub(now), time.Duration(waitedPatience*float64(req.Patience))
	if after <= maxRetryAfter && (patience == 0 || after <= patience) {
		l.lastReturn = next
		return after
	}
	c.urgency.returns = math.Mod(c.urgency.returns+goldenRatio, 1)
	limit := maxRetryAfter
	if patience > 0 {
		limit = min(limit, patience)
	}
	return seconds(limit.Seconds() * (1 - returnSpread/float64(level+1)*c.urgency.returns))
}
