package pool

import (
	"math"
	"time"
)

const (
	// contendedShare is the part of what the engines of a pool serve in time from which on the pool is contended. The rest is
	// for the requests that arrive before the totals of the fleet show them, about half a second later.
	contendedShare = 0.75
	// relievedShare is the part below which a contended pool is relieved. The distance to contendedShare keeps the state from
	// changing with each change of the load or of a limit.
	relievedShare = 0.5
	// relievedTime is how long the load must be below relievedShare. It spans several exchanges of the totals.
	relievedTime = time.Second
	// contentionInterval is the time between two looks at the load. The totals change every few 100 ms, but the requests of this
	// gateway and at the engines that it keeps change sooner.
	contentionInterval = 20 * time.Millisecond
)

// contention decides whether a pool has so many requests in flight that its engines must be limited. It does no I/O.
//
// It answers two load patterns. On a usual day some engines are full or slow for a moment: a limit would send prompts away from
// the engine that holds them, and their cache would be copied. In a burst the whole pool is full: no engine is better than
// the next, and without limits all of them are late.
type contention struct {
	contended bool
	// relievedSince is since when the load of a contended pool has been below relievedShare, zero if it is not.
	relievedSince time.Time
	// checkedAt is when the load was last looked at.
	checkedAt time.Time
	// pinned keeps the state as it is.
	pinned bool
}

// due reports whether the load is to be looked at.
func (c *contention) due(now time.Time) bool {
	return !c.pinned && (c.checkedAt.IsZero() || now.Sub(c.checkedAt) >= contentionInterval)
}

// update changes the state by the requests in flight and what the engines serve in time. A pool that serves nothing, because
// its instances or their slots are not known, is not contended: there is nothing to wait for.
func (c *contention) update(inFlight, serves float64, now time.Time) {
	c.checkedAt = now
	switch {
	case serves <= 0:
		c.contended, c.relievedSince = false, time.Time{}
	case inFlight >= contendedShare*serves:
		c.contended, c.relievedSince = true, time.Time{}
	case !c.contended:
	case inFlight >= relievedShare*serves:
		c.relievedSince = time.Time{}
	case c.relievedSince.IsZero():
		c.relievedSince = now
	case now.Sub(c.relievedSince) >= relievedTime:
		c.contended, c.relievedSince = false, time.Time{}
	}
}

// Contended reports whether a pool is paced and has so many requests in flight that its engines are limited to what they serve
// in time. Gateways may disagree until the totals of the fleet arrive.
func (r *Registry) Contended(pool string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.contendedNow(pool, r.now())
}

// contendedNow is called for each candidate of a request, so it looks at the load, and whether the pool is paced still, only
// when that is due.
func (r *Registry) contendedNow(pool string, now time.Time) bool {
	p := r.paced[pool]
	if p == nil {
		return false
	}
	if p.contention.due(now) {
		inFlight, serves := 0.0, 0.0
		if r.pacedNow(pool, now) {
			// The limits are stepped on the way, also while nobody asks for places.
			inFlight, serves = r.contentionLoad(pool, now)
		}
		p.contention.update(inFlight, serves, now)
	}
	return p.contention.contended
}

// contentionLoad returns the requests in flight of a pool and the number that its usable engines serve in time: their slots
// less the reductions that the totals of the fleet say, or those of the engines that this router keeps if they say less.
func (r *Registry) contentionLoad(pool string, now time.Time) (inFlight, serves float64) {
	known, slots, reduced := 0, 0, 0
	for _, m := range r.pools[pool] {
		if m.keeper == "" {
			known += m.inFlight()
		} else {
			known += m.local.Requests
		}
		if !r.usable(m, now) {
			continue
		}
		slots += max(0, m.Slots)
		reduced += r.reduction(m, now)
	}
	total := r.fleetLoad[PoolHash(pool)]
	inFlight = max(float64(known), float64(total.Requests))
	// Totals that say more than all limits at their minimum are false.
	serves = max(leastBase*float64(slots), float64(slots)-max(float64(reduced), float64(total.Reduced)))
	return inFlight, serves
}

// usable reports whether an instance counts among those that serve its pool.
func (r *Registry) usable(m *member, now time.Time) bool {
	return !r.closed(m) && !m.health.ejected(now)
}

// reduction returns by how many requests the limit of a kept instance is below its slots, as it counts in the decision on
// contention: to leastBase of the slots at most. An engine that is late with fewer requests is not late because of its load,
// and would make a quiet pool contended.
func (r *Registry) reduction(m *member, now time.Time) int {
	if m.keeper != "" || m.Slots <= 0 {
		return 0
	}
	return m.Slots - max(r.measuredLimit(m, now), int(math.Ceil(leastBase*float64(m.Slots))))
}

// SetContended keeps a pool contended, or not contended, whatever its load. It is for tests of what follows from that; the pool
// must be paced.
func (r *Registry) SetContended(pool string, contended bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.paced[pool].contention = contention{contended: contended, pinned: true}
}
