package pool

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Request is what the choice depends on.
type Request struct {
	Pool string
	// Parts is the prompt of a model request, empty for a plain service.
	Parts []Part
	// Tokens is the length of the prompt.
	Tokens int
	// Exclude lists instances that have had the request.
	Exclude []string
}

// Choose takes a place at an instance, or returns nil when no instance of the pool may be asked.
func (r *Registry) Choose(q *Request) *Lease {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	candidates := r.candidates(q, now)
	if len(candidates) == 0 {
		return nil
	}
	e := r.estimate(q.Pool, now)
	var best *member
	if len(q.Parts) > 0 {
		best = r.byPrompt(q, candidates, e)
	} else {
		best = r.byLoad(candidates, e)
	}
	return r.lease(q, best, e, now)
}

// HasOther reports whether a healthy instance could take the request besides those that had it.
func (r *Registry) HasOther(q *Request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for _, m := range r.candidates(q, now) {
		if !m.health.ejected(now) && !m.stalled(now, r.settings.StallAfter) {
			return true
		}
	}
	return false
}

// candidates returns the members that may be asked, the best kind that is not empty: healthy ones,
// then those that are avoided or have just refused, then ejected ones.
func (r *Registry) candidates(q *Request, now time.Time) []*member {
	var healthy, doubtful, rest []*member
	for _, m := range r.pools[q.Pool] {
		if m.Leaving || slices.Contains(q.Exclude, m.ID) {
			continue
		}
		switch {
		case m.health.away(now, m.own.Requests):
			rest = append(rest, m)
		case r.avoided(m, now), now.Before(m.health.fullUntil):
			doubtful = append(doubtful, m)
		default:
			healthy = append(healthy, m)
		}
	}
	if len(healthy) > 0 {
		return healthy
	}
	if len(doubtful) > 0 {
		return doubtful
	}
	return rest
}

// avoided reports whether an instance stalls, has lapsed or is ejected by another router.
func (r *Registry) avoided(m *member, now time.Time) bool {
	return m.ejectedByPeers > 0 || m.stalled(now, r.settings.StallAfter) || !m.lapsedAt.IsZero()
}

// Capacity is what the instances of a pool that get requests now can hold. Those that are ejected or avoided get
// none, so that their slots are no capacity.
type Capacity struct {
	Slots int
	// Peers is what the other routers have in flight at these instances.
	Peers int
	// Held is the mean time that a request takes, 0 before the first one.
	Held time.Duration
}

// Capacity returns the capacity of a pool.
func (r *Registry) Capacity(pool string) Capacity {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	c := Capacity{Held: r.held[pool]}
	for _, m := range r.pools[pool] {
		if m.Leaving || m.health.away(now, m.own.Requests) || r.avoided(m, now) {
			continue
		}
		c.Slots += m.Slots
		c.Peers += m.peer.Requests
	}
	return c
}

// estimate is what the requests in flight at instances are taken to be now.
type estimate struct {
	// mean is the number for one instance of the pool that takes work, peerMean the part of the others.
	mean, peerMean float64
	// peerWeight is the weight of what the other routers had in flight at one instance. It falls with the age
	// of their news and is 0 after one service time: what was in flight then is over, and however little
	// it counted, routers that all avoid the instance that was busy then would bury another one.
	peerWeight float64
}

func (r *Registry) estimate(pool string, now time.Time) estimate {
	var own, peer, n int
	for _, m := range r.pools[pool] {
		if m.Leaving {
			continue
		}
		own += m.own.Requests
		peer += m.peer.Requests
		n++
	}
	e := estimate{mean: float64(own+peer) / float64(max(1, n)), peerMean: float64(peer) / float64(max(1, n)), peerWeight: 1}
	if held := r.held[pool]; held > 0 && len(r.peers) > 0 {
		var age time.Duration
		for _, p := range r.peers {
			age += now.Sub(p.at)
		}
		e.peerWeight = max(0, 1-float64(age)/float64(len(r.peers))/float64(held))
	}
	return e
}

// load is the estimated number of requests in flight at an instance.
func (e estimate) load(m *member) float64 {
	return float64(m.own.Requests) + e.peerWeight*float64(m.peer.Requests) + (1-e.peerWeight)*e.peerMean
}

// bound is the number of requests in flight that no instance exceeds.
func (r *Registry) bound(mean float64) float64 {
	return mean*r.settings.BoundFactor + r.settings.BoundExtra
}

// byLoad chooses the instance with the fewest requests in flight per slot, the own failure domain
// first among equals and then at random, so that routers do not all choose the same one.
func (r *Registry) byLoad(candidates []*member, e estimate) *member {
	start := rand.IntN(len(candidates))
	best := candidates[start]
	for n := range candidates {
		m := candidates[(start+n)%len(candidates)]
		a, b := e.load(m)*float64(max(1, best.Slots)), e.load(best)*float64(max(1, m.Slots))
		switch {
		case a < b:
			best = m
		case a == b && m.FailureDomain == r.domain && best.FailureDomain != r.domain:
			best = m
		}
	}
	return best
}
