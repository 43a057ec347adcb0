package pool

import "time"

const (
	// maxHolds bounds the reservations of other routers at one instance.
	maxHolds = 4096
	// denialBackoff is how long an instance is left out after its keeper has refused a reservation.
	denialBackoff = 50 * time.Millisecond
	// closedBackoff is how long other routers leave an instance out that gets no new requests. They know of it by then.
	closedBackoff = time.Second
	// maxToldLoads bounds the loads in one answer. In a small fleet, where a router keeps many instances, the
	// answers then tell the others most of the loads.
	maxToldLoads = 8
)

// holder identifies one reservation of another router.
type holder struct {
	router   string
	sequence uint64
}

// Reservation asks the keeper of an instance for a place.
type Reservation struct {
	Router   string
	Sequence uint64
	Instance Key
	// Parts are the parts of the prompt. It is empty for a plain service.
	Parts []PromptPart
	// TTL is the time after which the reservation ends if it is not released.
	TTL time.Duration
	// Placed is set if the request has waited for one of the places that its keeper gives in turn. The load bound does not
	// refuse it then: other instances have no place for it.
	Placed bool
	// Forced takes the place even if the instance is at its load bound.
	Forced bool
}

// Answer is a keeper's answer to a reservation.
type Answer struct {
	Granted bool
	// Unknown is set if the keeper does not know the instance yet. The reservation is then granted, and counts once the
	// keeper does.
	Unknown bool
	// CachedTokens is the number of tokens at the beginning of the prompt that the instance has cached.
	CachedTokens int
	// Ejected is the remaining time for which the keeper has ejected the instance.
	Ejected time.Duration
	// RetryAfter is the time after which a refused caller is to come back, 0 if the keeper does not say.
	RetryAfter time.Duration
	// Loads are the requests in flight, other than those of the router that asks, at the instance asked for, which is
	// the first, and at others that the keeper keeps.
	Loads []KeeperLoad
}

// KeeperLoad is the load of one instance as its keeper knows it.
type KeeperLoad struct {
	Instance Key
	Requests int
}

// Reserve decides on the reservation of another router. It answers one load pattern, a document that makes up much of
// the traffic: its first instance is refused at the load bound, so that the next one of its rendezvous order serves
// it too, with all routers counted together however many they are. The places at an instance of a plain service are
// bounded by its keeper before.
func (r *Registry) Reserve(q *Reservation) Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := r.byKey[q.Instance]
	now := r.now()
	if len(kept) == 0 {
		if left := r.replaced[q.Instance].Sub(now); left > 0 {
			return Answer{Ejected: left}
		}
		r.early.add(q, now)
		return Answer{Granted: true, Unknown: true}
	}
	m := kept[0]
	a := Answer{Granted: true, CachedTokens: m.cache.cachedTokens(q.Parts), Ejected: m.ejectionLeft(now)}
	_, held := m.holds[holder{q.Router, q.Sequence}]
	if !held && !q.Forced {
		if a.Ejected == 0 && r.closed(m) {
			// This router knows of the departure or evacuation before the one that asks.
			a.Ejected = closedBackoff
		}
		a.Granted = a.Ejected == 0 && !r.refuses(q, m) && !r.coldFull(m, now)
	}
	if a.Granted {
		for _, m := range kept {
			if !held {
				r.recordColdStart(m, now)
			}
			m.hold(holder{q.Router, q.Sequence}, now.Add(q.TTL))
			m.cache.insert(q.Parts)
		}
	}
	a.Loads = r.toldLoads(m, q.Router)
	return a
}

// full reports whether an instance that this router keeps has no place for one more prompt: it is at the load bound, or
// has no free slot.
func (r *Registry) full(m *member) bool {
	load := float64(m.inFlight())
	if m.Slots > 0 && load >= float64(m.Slots) {
		return true
	}
	return load+1 > r.loadBound(r.estimateLoad(m.Pool, r.now()).poolMean)
}

// Refusal returns the answer to a reservation for which there is no place.
func (r *Registry) Refusal(q *Reservation) Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	var a Answer
	for _, m := range r.byKey[q.Instance] {
		a.Ejected = m.ejectionLeft(r.now())
		a.Loads = r.toldLoads(m, q.Router)
	}
	return a
}

// Closed reports whether an instance gets no new requests.
func (r *Registry) Closed(instance Key) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := r.byKey[instance]
	return len(kept) > 0 && r.closed(kept[0])
}

// Kept returns an instance that this router keeps.
func (r *Registry) Kept(instance Key) (i Instance, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.byKey[instance] {
		if m.keeper == "" {
			return m.Instance, true
		}
	}
	return Instance{}, false
}

// Holds reports whether a reservation of another router is counted.
func (r *Registry) Holds(router string, sequence uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.members {
		if _, ok := m.holds[holder{router, sequence}]; ok {
			return true
		}
	}
	return false
}

// Held returns the reservations of other routers at an instance.
func (r *Registry) Held(instance Key) (held []Reservation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.byKey[instance] {
		for h := range m.holds {
			held = append(held, Reservation{Router: h.router, Sequence: h.sequence, Instance: instance})
		}
	}
	return held
}

func (m *member) hold(h holder, until time.Time) {
	if m.holds == nil {
		m.holds = make(map[holder]time.Time)
	}
	if len(m.holds) < maxHolds {
		m.holds[h] = until
	}
}

// toldLoads returns the loads for an answer to a router: that of m, then those of other instances of the pool that this
// router keeps.
func (r *Registry) toldLoads(m *member, router string) []KeeperLoad {
	out := []KeeperLoad{m.loadWithout(router)}
	for _, other := range r.pools[m.Pool] {
		if len(out) == maxToldLoads {
			break
		}
		if other != m && other.keeper == "" {
			out = append(out, other.loadWithout(router))
		}
	}
	return out
}

// loadWithout returns the load of a kept instance without the requests of one router.
func (m *member) loadWithout(router string) KeeperLoad {
	requests := m.local.Requests
	for h := range m.holds {
		if h.router != router {
			requests++
		}
	}
	return KeeperLoad{Instance: keyOf(m.hash), Requests: requests}
}

// EndReservation ends a reservation of another router with the outcome of its request. It returns the instance, and
// reports whether it is ejected because of that.
func (r *Registry) EndReservation(router string, sequence uint64, o Outcome) (i Instance, ejected bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := holder{router, sequence}
	delete(r.early, h)
	for _, t := range r.tombstones {
		delete(t.member.holds, h)
	}
	for _, m := range r.members {
		if _, ok := m.holds[h]; !ok {
			continue
		}
		delete(m.holds, h)
		i = m.Instance
		if o == Replaced {
			r.evictReplaced(m)
			continue
		}
		ejected = r.recordReport(m, router, o)
	}
	return i, ejected
}

// HoldCount returns the number of reservations of other routers at known instances.
func (r *Registry) HoldCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, m := range r.members {
		n += len(m.holds)
	}
	return n
}

// sweepHolds ends reservations whose time is over.
func (m *member) sweepHolds(now time.Time) {
	for h, until := range m.holds {
		if now.After(until) {
			delete(m.holds, h)
		}
	}
}

// earlyHolds are reservations at instances that this router does not know yet. A router that has just started gets them
// before the entries of the instances that it keeps.
type earlyHolds map[holder]earlyHold

type earlyHold struct {
	instance Key
	until    time.Time
}

func (e earlyHolds) add(q *Reservation, now time.Time) {
	if len(e) < maxHolds {
		e[holder{q.Router, q.Sequence}] = earlyHold{instance: q.Instance, until: now.Add(q.TTL)}
	}
}

// move makes the reservations at an instance that has become known count there.
func (e earlyHolds) move(m *member) {
	for h, early := range e {
		if early.instance == keyOf(m.hash) {
			m.hold(h, early.until)
			delete(e, h)
		}
	}
}

// sweep ends reservations whose time is over.
func (e earlyHolds) sweep(now time.Time) {
	for h, early := range e {
		if now.After(early.until) {
			delete(e, h)
		}
	}
}
