package gateway

import (
	"math"
	"sync"
	"time"
)

const (
	// minFullTime and maxFullTime bound the time for which the refusal of a keeper limits what this router asks, which is its
	// Retry-After. In a large fleet, the requests of one router that ask are refused a few times a second, and a burst that ends is
	// forgotten after maxFullTime.
	minFullTime = 50 * time.Millisecond
	maxFullTime = 400 * time.Millisecond
	// asksPerGrant is the number of requests that may ask for each one that was granted. More than one lets a router that is
	// granted everything double its requests within a few answers, and keeps the queues at the keepers filled.
	asksPerGrant = 1.25
	// arrivalsAsksPerGrant is the same for the share of the arrivals. Each level must be served a quarter as often as the average.
	arrivalsAsksPerGrant = 0.35
	// urgencyAsksPerGrant is the same in pools whose keepers order by urgency. They reserve places for
	// less urgent levels by what asks them: at 4 times the capacity, a level with 30% of the arrivals was answered a tenth as often
	// as the average with 1.25, an eighth to a third as often with 2.5.
	urgencyAsksPerGrant = 4.0
	// fleetSampleInterval is the time between two requests of one level in the whole fleet that ask although none is granted, so that
	// free places are found. Each router takes its turn, at minSampleInterval at least.
	fleetSampleInterval = 20 * time.Millisecond
	minSampleInterval   = 20 * time.Millisecond
	// decayInterval is the time between two reductions of the counts of organisations.
	decayInterval = 100 * time.Millisecond
	// maxAsks bounds the requests that may ask at once after a time with few.
	maxAsks = 8
	// maxAskDebt is how many more may ask of the organisations that are below their share.
	maxAskDebt = 4
	// arrivalsWeight is the part of the share of an organisation that follows its arrivals. Keepers give 0.35 of the places by what
	// asks them, and by equal shares alone a busy organisation would be served less than a quarter as often as the average.
	arrivalsWeight = 0.5
	// shareWindow is the time over which the shares of organisations and levels are counted.
	shareWindow = time.Second
	// minShareCount is the decayed number of arrivals at which an organisation is forgotten.
	minShareCount = 0.05
	// limitLevels is the number of levels of urgency, those of the priorities 0 to 9.
	limitLevels = 10
	// retrySpread spreads the Retry-After of local refusals, from the one that a keeper said to this many times it.
	retrySpread = 2
	// retryPatience is the part of the time that a caller has left for which it waits before it comes back.
	retryPatience = 1. / 3
	// spreadStep spreads successive points evenly over an interval, however many there will be: the golden ratio.
	spreadStep = 0.6180339887
)

// askLimits decides which requests are refused at this router without asking a keeper. It does no I/O. The zero value is valid.
//
// It answers a load pattern: for some seconds a pool gets several times the requests that it can run, and refused callers come
// back at once. A refusal after questions costs a small router about as much processor time as a served request. Keepers then
// answer late, places are held while messages wait, and the pool runs a third of what it could.
//
// After a keeper has refused a request because its queue is too long, requests of this level of urgency and less urgent ones that
// may wait no longer are limited. For each granted request, asksPerGrant more may ask: those of the most urgent level of which one
// was refused here, if any is as urgent as the granted one, so that no request is refused because less urgent ones have asked.
// Beyond that, each level asks for a part of its share of the arrivals, which keeps the shares true that keepers reserve for less
// urgent levels, and a few requests ask as samples. Organisations below their share ask first.
type askLimits struct {
	mu    sync.Mutex
	pools map[string]*askLimit
	// routers is the number of routers of the fleet, 0 if it is not known.
	routers int
}

// askLimit is the state of one pool.
type askLimit struct {
	levels [limitLevels]askLevel
	// shares are the requests of each organisation, and total and levels those of all, with less weight the older they are.
	shares map[string]*askShare
	total  askShare
	// countedAt is when the counts were reduced last.
	countedAt time.Time
	// spread is where in its spread the next caller is told to come back, between 0 and 1.
	spread float64
	// refusedAt is when a request was last refused here.
	refusedAt time.Time
}

// askShare counts requests that have arrived, and those of them that have asked.
type askShare struct{ arrived, asked float64 }

func (s *askShare) scale(factor float64) { s.arrived, s.asked = s.arrived*factor, s.asked*factor }

// askLevel is the state of the requests of one level of urgency.
type askLevel struct {
	// fullUntil is the end of the time for which requests are limited that may wait for a place no longer than wait.
	fullUntil time.Time
	wait      time.Duration
	// retryAfter is what the last keeper said.
	retryAfter time.Duration
	// byGrants and byArrivals are the numbers of requests that may ask now for what was granted, and for the level's share of the
	// arrivals. Each request that asks counts in both. They may be negative.
	byGrants, byArrivals float64
	// refused is set if a request of the level was refused here since the last grant that counted for it.
	refused bool
	// sampledAt is when byGrants was last increased without a grant.
	sampledAt time.Time
	// arrived counts the requests of the level, with less weight the older they are.
	arrived float64
}

func limitLevel(priority int) int { return min(max(0, priority), limitLevels-1) }

// setRouters sets the number of routers of the fleet.
func (a *askLimits) setRouters(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.routers = n
}

// sampleInterval returns the time between two samples of one level at this router.
func (a *askLimits) sampleInterval() time.Duration {
	return max(minSampleInterval, time.Duration(a.routers)*fleetSampleInterval)
}

// pool returns the state of a pool. The caller holds the lock.
func (a *askLimits) pool(name string) *askLimit {
	p := a.pools[name]
	if p == nil {
		p = &askLimit{shares: make(map[string]*askShare)}
		if a.pools == nil {
			a.pools = make(map[string]*askLimit)
		}
		a.pools[name] = p
	}
	return p
}

// placeQuestion describes a request that is about to ask the keepers of a pool for a place.
type placeQuestion struct {
	pool         string
	priority     int
	organisation string
	// wait is how long the request may wait for a place.
	wait time.Duration
	// byUrgency is set if the keepers of the pool order requests by urgency.
	byUrgency bool
	// timeLeft is how long its caller waits in all, 0 without a limit.
	timeLeft time.Duration
}

// mayAsk reports whether a request may ask, and otherwise after what time its caller is to come back.
func (a *askLimits) mayAsk(now time.Time, q *placeQuestion) (ok bool, retryAfter time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pool(q.pool)
	p.decay(now)
	l := &p.levels[limitLevel(q.priority)]
	own := p.arrive(l, q.organisation)
	if l.limits(now, q.wait) {
		if now.Sub(l.sampledAt) >= a.sampleInterval() {
			l.sampledAt = now
			l.byGrants = min(maxAsks, l.byGrants+1)
		}
		least := 1.0
		if p.belowShare(own) {
			least = 1 - maxAskDebt
		}
		if max(l.byGrants, l.byArrivals) < least {
			p.refusedAt, l.refused = now, true
			return false, p.retryAfter(l, q.timeLeft)
		}
		l.byGrants, l.byArrivals = max(-maxAskDebt, l.byGrants-1), max(-maxAskDebt, l.byArrivals-1)
	}
	own.asked++
	p.total.asked++
	return true, 0
}

// wouldAsk returns what mayAsk would, decided on a copy of the state of the pool.
func (a *askLimits) wouldAsk(now time.Time, q *placeQuestion) (ok bool, retryAfter time.Duration) {
	a.mu.Lock()
	trial := &askLimits{routers: a.routers}
	if p := a.pools[q.pool]; p != nil {
		c := *p
		c.shares = make(map[string]*askShare, len(p.shares))
		for organisation, share := range p.shares {
			counts := *share
			c.shares[organisation] = &counts
		}
		trial.pools = map[string]*askLimit{q.pool: &c}
	}
	a.mu.Unlock()
	return trial.mayAsk(now, q)
}

// arrive counts a request and returns the counts of its organisation.
func (p *askLimit) arrive(l *askLevel, organisation string) *askShare {
	own := p.shares[organisation]
	if own == nil {
		own = &askShare{}
		p.shares[organisation] = own
	}
	own.arrived++
	p.total.arrived++
	l.arrived++
	return own
}

// limits reports whether requests that may wait for a place for a time are limited.
func (l *askLevel) limits(now time.Time, wait time.Duration) bool {
	return now.Before(l.fullUntil) && wait <= l.wait
}

// full reports whether the requests like this one are limited.
func (a *askLimits) full(now time.Time, q *placeQuestion) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pools[q.pool]
	return p != nil && p.levels[limitLevel(q.priority)].limits(now, q.wait)
}

// granted records that a request was granted its place.
func (a *askLimits) granted(q *placeQuestion) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p, forArrivals := a.pool(q.pool), arrivalsAsksPerGrant
	if q.byUrgency {
		forArrivals = urgencyAsksPerGrant
	}
	for n := range p.levels {
		l := &p.levels[n]
		if p.total.arrived > 0 {
			l.byArrivals = min(maxAsks, l.byArrivals+forArrivals*l.arrived/p.total.arrived)
		}
	}
	// What an urgent level can use goes to it first, whichever level was granted.
	for n := range limitLevel(q.priority) + 1 {
		if l := &p.levels[n]; n == limitLevel(q.priority) || (l.refused && l.byGrants < 1) {
			l.byGrants = min(maxAsks, l.byGrants+asksPerGrant)
			l.refused = false
			break
		}
	}
}

// refused records that a keeper has refused a request because its queue is too long.
func (a *askLimits) refused(now time.Time, q *placeQuestion, retryAfter time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pool(q.pool)
	until := now.Add(min(max(retryAfter, minFullTime), maxFullTime))
	for n := limitLevel(q.priority); n < limitLevels; n++ {
		l := &p.levels[n]
		if !now.Before(l.fullUntil) {
			l.wait, l.retryAfter = 0, 0
		}
		if n == limitLevel(q.priority) || l.retryAfter == 0 {
			l.retryAfter = retryAfter
		}
		l.wait = max(l.wait, q.wait)
		if until.After(l.fullUntil) {
			l.fullUntil = until
		}
	}
}

// refusing returns the pools of which requests were refused here within a time.
func (a *askLimits) refusing(now time.Time, within time.Duration) map[string]bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[string]bool)
	for name, p := range a.pools {
		if !p.refusedAt.IsZero() && now.Sub(p.refusedAt) < within {
			out[name] = true
		}
	}
	return out
}

// keep forgets the pools that are not configured any more.
func (a *askLimits) keep(configured func(name string) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name := range a.pools {
		if !configured(name) {
			delete(a.pools, name)
		}
	}
}

// decay reduces the counts.
func (p *askLimit) decay(now time.Time) {
	if now.Sub(p.countedAt) < decayInterval {
		return
	}
	factor := math.Exp(-now.Sub(p.countedAt).Seconds() / shareWindow.Seconds())
	p.countedAt = now
	p.total = askShare{}
	for organisation, s := range p.shares {
		if s.scale(factor); s.arrived < minShareCount {
			delete(p.shares, organisation)
			continue
		}
		p.total.arrived += s.arrived
		p.total.asked += s.asked
	}
	for n := range p.levels {
		p.levels[n].arrived *= factor
	}
}

// belowShare reports whether an organisation has asked less than its share of the requests that have asked here.
func (p *askLimit) belowShare(own *askShare) bool {
	if len(p.shares) < 2 || p.total.arrived == 0 {
		return false
	}
	share := (1-arrivalsWeight)/float64(len(p.shares)) + arrivalsWeight*own.arrived/p.total.arrived
	return own.asked < share*p.total.asked
}

// retryAfter returns when the caller of a refused request is to come back: spread after the time that a keeper said, or over the
// later half of the time that the caller waits at most.
func (p *askLimit) retryAfter(l *askLevel, timeLeft time.Duration) time.Duration {
	p.spread = math.Mod(p.spread+spreadStep, 1)
	after := time.Duration(float64(l.retryAfter) * (1 + (retrySpread-1)*p.spread))
	if limit := time.Duration(retryPatience * float64(timeLeft)); limit > 0 && after > limit {
		return time.Duration(float64(limit) * (1 + p.spread) / 2)
	}
	return after
}
