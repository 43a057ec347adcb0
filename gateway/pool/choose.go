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
	// ExcludeCold leaves out cold instances, which a request may not take without the consent of their keeper.
	ExcludeCold bool
	// Tentative is set if the instance may have no place for the request. Its prompt then counts as cached there only after
	// Lease.RecordPrompt.
	Tentative bool
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
		best = r.chooseByPrompt(q, candidates, e, now)
	} else {
		best = r.chooseByLoad(candidates, e, now)
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

// HasOther reports whether an instance other than those excluded, healthy or not, could take the request.
func (r *Registry) HasOther(q *Request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.candidates(q, r.now())) > 0
}

// candidates returns the eligible members of the best class that is not empty: healthy ones, then those that have just
// refused a request or whose keeper has just refused a reservation, then degraded ones, then ejected ones.
//
// It answers a load pattern: most engines of a pool turn this router away for a time, while requests arrive as before. The
// engines that are left are then eligible only while they have a free slot, so that they do not get all requests.
func (r *Registry) candidates(q *Request, now time.Time) []*member {
	var healthy, full, degraded, unavailable []*member
	var e loadEstimate
	bounded := len(q.Parts) > 0 && r.holdsOff(q.Pool, now)
	if bounded {
		e = r.estimateLoad(q.Pool, now)
	}
	for _, m := range r.pools[q.Pool] {
		if r.closed(m) || m.announced.turnsAway(now) || slices.Contains(q.Exclude, m.ID) || r.coldFull(m, now) || (q.ExcludeCold && r.cold(m, now)) {
			continue
		}
		if bounded && r.atLimit(m, e.load(m, now), now) {
			continue
		}
		switch {
		case m.unavailable(now):
			unavailable = append(unavailable, m)
		case r.degraded(m, now):
			degraded = append(degraded, m)
		case now.Before(m.health.backoffUntil), now.Before(m.deniedUntil):
			full = append(full, m)
		default:
			healthy = append(healthy, m)
		}
	}
	for _, class := range [][]*member{healthy, full, degraded} {
		if len(class) > 0 {
			return class
		}
	}
	return unavailable
}

// holdsOff reports whether an instance of a pool turns this router away for a time.
func (r *Registry) holdsOff(pool string, now time.Time) bool {
	for _, m := range r.pools[pool] {
		if !r.closed(m) && m.announced.turnsAway(now) {
			return true
		}
	}
	return false
}

// degraded reports whether an instance has stalled, its entry has expired, or its keeper has ejected it.
func (r *Registry) degraded(m *member, now time.Time) bool {
	return m.ejectedByKeeper(now) || m.stalled(now, r.settings.StallTimeout) || !m.expiredAt.IsZero()
}

// loadEstimate is the estimated current load of a pool.
type loadEstimate struct {
	// mean is the number of requests in flight per instance that is not leaving, peerMean the part of mean
	// that comes from the other routers, in requests.
	mean, peerMean float64
	// poolMean is mean over the instances of evacuated failure domains as well. They finish what they have, and count in
	// the mean that the load bound refers to: without them the bound rises for the others when a domain is evacuated.
	poolMean float64
	// serviceTime is the mean time that a request takes, 0 before the first one. What a router was told about an
	// instance loses its weight within it: the requests of then have ended, and even a small weight would make all
	// routers avoid the instance that was busy then and overload another one.
	serviceTime time.Duration
}

func (r *Registry) estimateLoad(pool string, now time.Time) loadEstimate {
	var own, instances, evacuated int
	for _, m := range r.pools[pool] {
		if r.closed(m) {
			if !m.leaving() {
				evacuated++
			}
			continue
		}
		own += m.local.Requests
		instances++
	}
	peer := r.peerRequests(pool)
	n := float64(max(1, instances))
	sum := float64(own + peer)
	return loadEstimate{
		mean: sum / n, peerMean: float64(peer) / n, poolMean: sum / float64(max(1, instances+evacuated)), serviceTime: r.meanServiceTime[pool],
	}
}

// load returns the estimated number of requests in flight at an instance.
func (e loadEstimate) load(m *member, now time.Time) float64 {
	if m.keeper == "" {
		return float64(m.inFlight())
	}
	weight := e.weight(m, now)
	return float64(m.local.Requests) + weight*float64(m.told) + (1-weight)*e.peerMean
}

// weight returns the weight of what the keeper of an instance said last, between 0 and 1.
func (e loadEstimate) weight(m *member, now time.Time) float64 {
	switch {
	case m.toldAt.IsZero():
		return 0
	case e.serviceTime == 0:
		return 1
	}
	return max(0, 1-float64(now.Sub(m.toldAt))/float64(e.serviceTime))
}

// loadBound returns the number of requests in flight above which an instance gets no prompt while another
// instance is below it.
func (r *Registry) loadBound(mean float64) float64 {
	return mean*r.settings.BoundFactor + r.settings.BoundExtra
}

// pacedLoad returns the load of an instance once it has one more request, multiplied by its pace. In a pool that is not
// contended it is the load.
func (r *Registry) pacedLoad(m *member, e loadEstimate, now time.Time) float64 {
	if !r.contendedNow(m.Pool, now) {
		return e.load(m, now)
	}
	return (e.load(m, now) + 1) * r.paceFactor(m, now)
}

// chooseByLoad returns the instance with the fewest requests in flight per slot, with its pace. Ties go to the own failure
// domain and are then broken at random, so that routers do not all choose the same instance.
func (r *Registry) chooseByLoad(candidates []*member, e loadEstimate, now time.Time) *member {
	start := rand.IntN(len(candidates))
	best := candidates[start]
	for n := range candidates {
		m := candidates[(start+n)%len(candidates)]
		a, b := r.pacedLoad(m, e, now)*float64(max(1, best.Slots)), r.pacedLoad(best, e, now)*float64(max(1, m.Slots))
		switch {
		case a < b:
			best = m
		case a == b && m.FailureDomain == r.domain && best.FailureDomain != r.domain:
			best = m
		}
	}
	return best
}
