package pool

import (
	"cmp"
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
	c := r.choose(q, now)
	if c.member == nil {
		return nil
	}
	return r.newLease(q, c.member, c.load, now)
}

// choice is the instance chosen for a request, nil if none is eligible.
type choice struct {
	member *member
	// candidates are the instances that it was chosen from, all of one class, and rule says why it was chosen among them.
	candidates []*member
	class      Class
	rule       Rule
	// load is the estimate that the choice was made by.
	load loadEstimate
}

// choose decides which instance a request gets, for Acquire and for Rehearsal.
func (r *Registry) choose(q *Request, now time.Time) (c choice) {
	if c.candidates, c.class = r.candidates(q, now); len(c.candidates) == 0 {
		return c
	}
	c.load = r.estimateLoad(q.Pool, now)
	if len(q.Parts) > 0 {
		c.member, c.rule = r.chooseByPrompt(q, c.candidates, c.load, now)
	} else {
		c.member, c.rule = r.chooseByLoad(c.candidates, c.load, now), LeastLoaded
	}
	return c
}

// HasAlternative reports whether another healthy instance than those excluded could take the request.
func (r *Registry) HasAlternative(q *Request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	candidates, _ := r.candidates(q, now)
	for _, m := range candidates {
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
	candidates, _ := r.candidates(q, r.now())
	return len(candidates) > 0
}

// Class orders the eligible instances of a pool: those of a class are chosen only if the classes before it are empty.
type Class uint8

// The classes of eligible instances.
const (
	// Healthy instances are chosen first.
	Healthy Class = iota
	// RefusedLately is the class of those that have just refused a request, or whose keeper has just refused a reservation.
	RefusedLately
	// Degraded instances have stalled, their entry has expired, or their keeper has ejected them.
	Degraded
	// Unavailable instances are ejected.
	Unavailable
	classCount
)

// Exclusion says why an instance is not eligible for a request.
type Exclusion string

// The reasons for which an instance is not eligible. The empty string means that it is.
const (
	AlreadyTried  Exclusion = "tried"
	IsLeaving     Exclusion = "leaving"
	IsEvacuated   Exclusion = "evacuated"
	IsHeldOff     Exclusion = "held-off"
	ColdFull      Exclusion = "cold-full"
	ColdExcluded  Exclusion = "cold"
	FullRemainder Exclusion = "full-while-others-held-off"
)

// candidates returns the eligible members of the best class that is not empty.
//
// It answers a load pattern: most engines of a pool turn this router away for a time, while requests arrive as before. The
// engines that are left are then eligible only while they have a free slot, so that they do not get all requests.
func (r *Registry) candidates(q *Request, now time.Time) ([]*member, Class) {
	var classes [classCount][]*member
	bound := r.slotBound(q, now)
	for _, m := range r.pools[q.Pool] {
		if r.excluded(q, m, bound, now) != "" {
			continue
		}
		class := r.classOf(m, now)
		classes[class] = append(classes[class], m)
	}
	for class, members := range classes {
		if len(members) > 0 {
			return members, Class(class)
		}
	}
	return nil, Unavailable
}

// slotBound returns the load estimate by which the instances of a pool are eligible only while they have a free slot, nil if
// they need none.
func (r *Registry) slotBound(q *Request, now time.Time) *loadEstimate {
	if len(q.Parts) == 0 || !r.holdsOff(q.Pool, now) {
		return nil
	}
	e := r.estimateLoad(q.Pool, now)
	return &e
}

// excluded returns why an instance is not eligible for a request, "" if it is.
func (r *Registry) excluded(q *Request, m *member, bound *loadEstimate, now time.Time) Exclusion {
	switch {
	case m.leaving():
		return IsLeaving
	case r.closed(m):
		return IsEvacuated
	case m.announced.turnsAway(now):
		return IsHeldOff
	case slices.Contains(q.Exclude, m.ID):
		return AlreadyTried
	case r.coldFull(m, now):
		return ColdFull
	case q.ExcludeCold && r.cold(m, now):
		return ColdExcluded
	case bound != nil && r.atLimit(m, bound.load(m, now), now):
		return FullRemainder
	}
	return ""
}

// classOf returns the class of an eligible instance.
func (r *Registry) classOf(m *member, now time.Time) Class {
	switch {
	case m.unavailable(now):
		return Unavailable
	case r.degraded(m, now):
		return Degraded
	case now.Before(m.health.backoffUntil), now.Before(m.deniedUntil):
		return RefusedLately
	}
	return Healthy
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
	return (e.load(m, now) + 1) * r.placementFactor(m, now)
}

// placementFactor returns the factor by which the work at an instance counts in the choice by load.
func (r *Registry) placementFactor(m *member, now time.Time) float64 {
	if !r.contendedNow(m.Pool, now) {
		return 1
	}
	return r.paceFactor(m, now)
}

// Rule says why an instance is chosen among the candidates.
type Rule string

// The rules by which an instance is chosen.
const (
	// LeastLoaded is the instance with the fewest requests in flight per slot, see chooseByLoad.
	LeastLoaded Rule = "least-loaded"
	// AllFull is the same for a prompt, because all instances are at the load bound or have no free slot.
	AllFull Rule = "all-full"
	// Holder has cached at least half of the prompt at the lowest cost.
	Holder Rule = "cached"
	// First and Second are the first two instances of the rendezvous order of the prompt.
	First  Rule = "first-of-order"
	Second Rule = "second-of-order"
	// Cheaper is the least loaded instance, which is cheaper by more than the whole prompt.
	Cheaper Rule = "cheaper"
)

// chooseByLoad returns the instance with the fewest requests in flight per slot, with its pace. Ties go to the own failure
// domain and are then broken at random, so that routers do not all choose the same instance.
func (r *Registry) chooseByLoad(candidates []*member, e loadEstimate, now time.Time) *member {
	start := rand.IntN(len(candidates))
	best := candidates[start]
	for n := range candidates {
		if m := candidates[(start+n)%len(candidates)]; r.compareLoad(m, best, e, now) < 0 {
			best = m
		}
	}
	return best
}

// compareLoad returns a negative number if chooseByLoad prefers a to b, and 0 if it chooses one of them at random.
func (r *Registry) compareLoad(a, b *member, e loadEstimate, now time.Time) int {
	loadA, loadB := r.pacedLoad(a, e, now)*float64(max(1, b.Slots)), r.pacedLoad(b, e, now)*float64(max(1, a.Slots))
	if loadA != loadB {
		return cmp.Compare(loadA, loadB)
	}
	switch ownA, ownB := a.FailureDomain == r.domain, b.FailureDomain == r.domain; {
	case ownA && !ownB:
		return -1
	case ownB && !ownA:
		return 1
	}
	return 0
}
