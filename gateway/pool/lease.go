package pool

import "time"

// Lease is one request at one instance. Release must be called once.
type Lease struct {
	Instance Instance
	// Cached is how many prompt tokens the instance is thought to hold.
	Cached int
	// FetchFrom is the address of an instance that holds more of the prompt, or empty.
	FetchFrom string
	// Load and Mean are the estimated requests in flight at the instance and at the mean of its pool.
	Load, Mean float64

	registry *Registry
	member   *member
	tokens   int
	parts    []Part
	begin    time.Time
	started  bool
	released bool
}

func (r *Registry) lease(q *Request, m *member, e estimate, now time.Time) *Lease {
	l := &Lease{
		Instance: m.Instance,
		Cached:   m.cache.cached(q.Parts),
		Load:     e.load(m),
		Mean:     e.mean,
		begin:    now,
		registry: r,
		member:   m,
		parts:    q.Parts,
	}
	held := l.Cached
	if source, more := r.source(q, m, now); source != nil {
		l.FetchFrom = source.Address
		held = more
	}
	l.tokens = max(0, q.Tokens-held)
	if m.own.Requests == 0 {
		m.progressAt = now
	}
	m.own.Requests++
	m.own.Tokens += l.tokens
	if len(q.Parts) > 0 {
		r.notePlacement(q, m, l.Cached, now)
		m.cache.add(q.Parts)
	}
	return l
}

// Progress notes that the instance sent something. The first call says that the prompt was read.
func (l *Lease) Progress() {
	r := l.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	l.member.progressAt = r.now()
	if !l.started {
		l.started = true
		l.member.own.Tokens -= l.tokens
	}
}

// Stalled reports whether the instance has sent nothing to any request of this router for a while.
func (l *Lease) Stalled(after time.Duration) bool {
	r := l.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	return l.member.stalled(r.now(), after)
}

// Release frees the place and notes how the request ended. It reports whether the instance is
// ejected by it. Only the first call has an effect.
func (l *Lease) Release(o Outcome) (ejected bool) {
	r := l.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.released {
		return false
	}
	l.released = true
	m := l.member
	m.own.Requests--
	if !l.started {
		m.own.Tokens -= l.tokens
	}
	now := r.now()
	if o == Served || o == Errored || o == Full {
		m.progressAt = now
	}
	if o == Served {
		r.noteHeld(m.Pool, now.Sub(l.begin))
	}
	if !m.health.note(o, r.noteFailures(m.Pool, o), now) {
		return false
	}
	if !m.health.hard && !r.mayEject(m, now) {
		return false
	}
	m.health.startEjection(now)
	return true
}

// heldWeight is the weight of the newest request in the mean time that requests take.
const heldWeight = 0.02

// noteHeld takes the time of one request into the mean of its pool.
func (r *Registry) noteHeld(pool string, took time.Duration) {
	if r.held[pool] == 0 {
		r.held[pool] = took
		return
	}
	r.held[pool] += time.Duration(heldWeight * float64(took-r.held[pool]))
}

// noteFailures takes an outcome into the pool's share of failures and returns it.
func (r *Registry) noteFailures(pool string, o Outcome) float64 {
	normal := r.failures[pool]
	switch o {
	case Served:
		normal *= 1 - normalWeight
	case Broken, Errored:
		normal = normal*(1-normalWeight) + normalWeight
	}
	r.failures[pool] = normal
	return normal
}

// Overloaded reports whether the instance has more requests in flight than it runs at once. It is then
// slow for a reason that another attempt would only add to.
func (l *Lease) Overloaded() bool {
	r := l.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	return l.member.Slots > 0 && l.member.requests() > l.member.Slots
}

// mayEject reports whether at least half of the pool stays when one more instance is ejected.
func (r *Registry) mayEject(m *member, now time.Time) bool {
	ejected, all := 1, 0
	for _, other := range r.pools[m.Pool] {
		if other.Leaving {
			continue
		}
		all++
		if other != m && other.health.ejected(now) {
			ejected++
		}
	}
	return ejected*2 <= all || m.health.ejected(now)
}
