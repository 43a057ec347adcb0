package pool

import (
	"maps"
	"slices"
	"time"
)

// Rehearsal decides what Acquire would do now, with the same code, on a copy of what the registry knows of one pool. Nothing
// of the registry changes: the places that it takes, and the limits, holds and back-offs that a choice updates, are those of
// the copy. The prompt caches, which are large, are shared and only read.
type Rehearsal struct {
	original *Registry
	copy     *Registry
	pool     string
	at       time.Time
}

// Rehearse returns a Rehearsal for a pool. It is valid for a moment: the copy does not follow the registry.
func (r *Registry) Rehearse(pool string) *Rehearsal {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	return &Rehearsal{original: r, copy: r.copyPool(pool, now), pool: pool, at: now}
}

// copyPool returns a registry with copies of the members of one pool, and all that the choice of an instance reads. The maps
// that it shares with r are read only in a choice.
func (r *Registry) copyPool(pool string, now time.Time) *Registry {
	out := &Registry{
		settings:        r.settings,
		domain:          r.domain,
		now:             func() time.Time { return now },
		pools:           make(map[string][]*member, 1),
		self:            r.self,
		routers:         r.routers,
		lost:            r.lost,
		fleetLoad:       r.fleetLoad,
		fleetLoadAt:     r.fleetLoadAt,
		cacheTokens:     r.cacheTokens,
		coldRates:       r.coldRates,
		evacuated:       r.evacuated,
		paced:           make(map[string]*poolPace, 1),
		meanServiceTime: r.meanServiceTime,
	}
	if p := r.paced[pool]; p != nil {
		pace := *p
		out.paced[pool] = &pace
	}
	for _, m := range r.pools[pool] {
		c := *m
		c.coldStarts = slices.Clone(m.coldStarts)
		c.holds = maps.Clone(m.holds)
		out.pools[pool] = append(out.pools[pool], &c)
	}
	return out
}

// maxTies bounds the instances named that a random choice might have been.
const maxTies = 8

// Considered is an instance as it counts in the choice for one request.
type Considered struct {
	Instance Instance
	// Class and Rule say why it is chosen. Ties are up to maxTies other instances that the same random choice may give.
	Class Class
	Rule  Rule
	Ties  []string
	// Load, Mean, LoadAge, Keeper, Forced, Denied, Cold and CachedTokens are as in Lease. FetchFrom is the ID of the instance
	// from which the rest of the prompt would be copied, as far as this router knows.
	Load, Mean           float64
	LoadAge              time.Duration
	Keeper               string
	Forced, Denied, Cold bool
	CachedTokens         int
	FetchFrom            string
	// Own is the number of requests of this router there, Bound the load above which it gets no prompts.
	Own   int
	Bound float64
	// Limit is the number of requests that it may have in flight: its slots, or what it serves in time in a contended pool.
	Limit     int
	Contended bool
	// Pace is its smoothed pace in percent and PaceFactor the factor of its work in placement, 1 in a pool that is not contended.
	// PaceAge is the age of the last report, -1 without one.
	Pace, PaceFactor float64
	PaceAge          time.Duration
	// EjectedFor is how much longer it is ejected by this router, EjectedByKeeperFor by its keeper. Unreachable is set if no
	// connection could be made, Probing if it is tried with one request at a time, Stalled if it makes no progress, Lapsed if its
	// entry is missing from the store.
	EjectedFor, EjectedByKeeperFor        time.Duration
	Unreachable, Probing, Stalled, Lapsed bool
	// ColdFor is how much longer it is cold, 0 if that does not limit its requests.
	ColdFor time.Duration

	lease *Lease
}

// Full reports whether the instance has no place for one more request, as far as this router knows.
func (c *Considered) Full() bool { return c.Limit > 0 && c.Load >= float64(c.Limit) }

// Choose returns the instance that Acquire would choose. ok is false if none is eligible. The place counts in the copy until
// Refuse.
func (p *Rehearsal) Choose(q *Request) (c Considered, ok bool) {
	p.original.mu.Lock()
	defer p.original.mu.Unlock()
	r, now := p.copy, p.at
	chosen := r.choose(q, now)
	if chosen.member == nil {
		return c, false
	}
	m := chosen.member
	c = p.consider(m, chosen)
	tentative := *q
	tentative.Tentative = true
	l := r.newLease(&tentative, m, chosen.load, now)
	c.lease = l
	c.Load, c.Mean, c.LoadAge, c.Keeper = l.Load, l.Mean, l.LoadAge, l.Keeper
	c.Forced, c.Denied, c.Cold, c.CachedTokens = l.Forced, l.Denied, l.Cold, l.CachedTokens
	for _, other := range r.pools[p.pool] {
		if l.FetchFrom != "" && other.Address == l.FetchFrom {
			c.FetchFrom = other.ID
		}
	}
	return c, true
}

// Refuse makes the copy one in which the instance has just refused the request.
func (p *Rehearsal) Refuse(c Considered) {
	p.original.mu.Lock()
	defer p.original.mu.Unlock()
	c.lease.withdraw(p.at.Add(denialBackoff))
}

// consider returns what is known of an instance that has been chosen, before it has the request.
func (p *Rehearsal) consider(m *member, chosen choice) Considered {
	r, now := p.copy, p.at
	c := Considered{
		Instance: m.Instance, Class: chosen.class, Rule: chosen.rule, Own: m.local.Requests, Bound: r.loadBound(chosen.load.poolMean),
		Limit: r.placeLimit(m, now), Contended: r.contendedNow(m.Pool, now), Pace: m.engine.pace.get(now), PaceFactor: r.placementFactor(m, now), PaceAge: -1,
		EjectedFor: m.ejectionLeft(now), EjectedByKeeperFor: max(0, m.ejectedByKeeperUntil.Sub(now)),
		Unreachable: m.health.unreachable, Probing: m.health.probing, Stalled: m.stalled(now, r.settings.StallTimeout), Lapsed: !m.expiredAt.IsZero(),
	}
	if at := m.engine.pace.at; !at.IsZero() {
		c.PaceAge = now.Sub(at)
	}
	if r.cold(m, now) {
		c.ColdFor = m.coldUntil.Sub(now)
	}
	if chosen.rule == LeastLoaded || chosen.rule == AllFull {
		for _, other := range chosen.candidates {
			if other != m && len(c.Ties) < maxTies && r.compareLoad(other, m, chosen.load, now) == 0 {
				c.Ties = append(c.Ties, other.ID)
			}
		}
	}
	return c
}

// PassedOver is an instance that is not among the candidates, with the reason, or with its class if that comes after the class
// of the candidates.
type PassedOver struct {
	Instance  string
	Exclusion Exclusion
	Class     Class
}

// PassedOver returns the instances of the pool that a choice for the request leaves out.
func (p *Rehearsal) PassedOver(q *Request) (out []PassedOver) {
	p.original.mu.Lock()
	defer p.original.mu.Unlock()
	r, now := p.copy, p.at
	_, best := r.candidates(q, now)
	bound := r.slotBound(q, now)
	for _, m := range r.pools[p.pool] {
		why, class := r.excluded(q, m, bound, now), r.classOf(m, now)
		if why != "" || class != best {
			out = append(out, PassedOver{Instance: m.ID, Exclusion: why, Class: class})
		}
	}
	return out
}

// PoolLimit returns what Registry.PoolLimit would, for the pool.
func (p *Rehearsal) PoolLimit(string) int {
	p.original.mu.Lock()
	defer p.original.mu.Unlock()
	return p.copy.poolLimit(p.pool, p.at)
}

// TotalsAge returns the age of the last totals of all routers, -1 without any.
func (p *Rehearsal) TotalsAge() time.Duration {
	if p.copy.fleetLoadAt.IsZero() {
		return -1
	}
	return p.at.Sub(p.copy.fleetLoadAt)
}
