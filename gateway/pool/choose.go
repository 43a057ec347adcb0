package pool

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Request describes a request for which an instance is chosen.
type Request struct {
	Pool string
	// Parts are the parts of the prompt of a model request. It is empty for a plain service.
	Parts []PromptPart
	// Tokens is the length of the prompt.
	Tokens int
	// Exclude lists the instances that were already tried, including unreachable ones.
	Exclude []string
}

// Acquire takes a lease on an instance, or returns nil when no instance of the pool is eligible.
func (r *Registry) Acquire(q *Request) *Lease {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	candidates := r.candidates(q, now)
	if len(candidates) == 0 {
		return nil
	}
	e := r.estimateLoad(q.Pool, now)
	var best *member
	if len(q.Parts) > 0 {
		best = r.chooseByPrompt(q, candidates, e)
	} else {
		best = r.chooseByLoad(candidates, e)
	}
	return r.newLease(q, best, e, now)
}

// HasAlternative reports whether another healthy instance than those excluded could take the request.
func (r *Registry) HasAlternative(q *Request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for _, m := range r.candidates(q, now) {
		if !m.health.ejected(now) && !m.stalled(now, r.settings.StallTimeout) {
			return true
		}
	}
	return false
}

// candidates returns the eligible members of the best class that is not empty: healthy ones, then those that
// are degraded or have just refused a request, then ejected ones.
func (r *Registry) candidates(q *Request, now time.Time) []*member {
	var healthy, degraded, unavailable []*member
	for _, m := range r.pools[q.Pool] {
		if m.Leaving || slices.Contains(q.Exclude, m.ID) {
			continue
		}
		switch {
		case m.health.unavailable(now, m.local.Requests):
			unavailable = append(unavailable, m)
		case r.degraded(m, now), now.Before(m.health.backoffUntil):
			degraded = append(degraded, m)
		default:
			healthy = append(healthy, m)
		}
	}
	if len(healthy) > 0 {
		return healthy
	}
	if len(degraded) > 0 {
		return degraded
	}
	return unavailable
}

// degraded reports whether an instance has stalled, its entry has expired, or another router has ejected it.
func (r *Registry) degraded(m *member, now time.Time) bool {
	return m.ejectedByPeers > 0 || m.stalled(now, r.settings.StallTimeout) || !m.expiredAt.IsZero()
}

// Capacity is the capacity of the instances of a pool that are not leaving, unavailable or degraded. Ejected
// and degraded instances get requests only when no instance is healthy, so their slots do not count. Instances
// that have just refused a request do count.
type Capacity struct {
	Slots int
	// Peers is the number of requests that the other routers have in flight at these instances.
	Peers int
	// MeanServiceTime is the mean time that a request takes, 0 before the first one.
	MeanServiceTime time.Duration
}

// Capacity returns the capacity of a pool.
func (r *Registry) Capacity(pool string) Capacity {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	c := Capacity{MeanServiceTime: r.meanServiceTime[pool]}
	for _, m := range r.pools[pool] {
		if m.Leaving || m.health.unavailable(now, m.local.Requests) || r.degraded(m, now) {
			continue
		}
		c.Slots += m.Slots
		c.Peers += m.peer.Requests
	}
	return c
}

// loadEstimate is the estimated current load of a pool.
type loadEstimate struct {
	// mean is the number of requests in flight per instance that is not leaving, peerMean the part of mean
	// that comes from the other routers, in requests.
	mean, peerMean float64
	// peerWeight is the weight of the load that the other routers reported for one instance. It falls with
	// the age of the reports and is 0 after one mean service time: the reported requests have ended by then,
	// and even a small weight would make all routers avoid the instance that was busy when the reports were
	// made and overload another one.
	peerWeight float64
}

func (r *Registry) estimateLoad(pool string, now time.Time) loadEstimate {
	var own, peer, instances int
	for _, m := range r.pools[pool] {
		if m.Leaving {
			continue
		}
		own += m.local.Requests
		peer += m.peer.Requests
		instances++
	}
	e := loadEstimate{mean: float64(own+peer) / float64(max(1, instances)), peerMean: float64(peer) / float64(max(1, instances)), peerWeight: 1}
	if serviceTime := r.meanServiceTime[pool]; serviceTime > 0 && len(r.peers) > 0 {
		var age time.Duration
		for _, p := range r.peers {
			age += now.Sub(p.receivedAt)
		}
		e.peerWeight = max(0, 1-float64(age)/float64(len(r.peers))/float64(serviceTime))
	}
	return e
}

// load returns the estimated number of requests in flight at an instance.
func (e loadEstimate) load(m *member) float64 {
	return float64(m.local.Requests) + e.peerWeight*float64(m.peer.Requests) + (1-e.peerWeight)*e.peerMean
}

// loadBound returns the number of requests in flight above which an instance gets no prompt while another
// instance is below it.
func (r *Registry) loadBound(mean float64) float64 {
	return mean*r.settings.BoundFactor + r.settings.BoundExtra
}

// chooseByLoad returns the instance with the fewest requests in flight per slot. Ties go to the own failure
// domain and are then broken at random, so that routers do not all choose the same instance.
func (r *Registry) chooseByLoad(candidates []*member, e loadEstimate) *member {
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
