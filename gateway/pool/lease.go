package pool

import "time"

// Lease is one request in flight at one instance. Release must be called once.
type Lease struct {
	Instance Instance
	// CachedTokens is the estimated number of prompt tokens that the instance has cached.
	CachedTokens int
	// FetchFrom is the address of an instance that has cached more of the prompt, or may have, because other
	// routers prefer it for the prompt. It may be empty.
	FetchFrom string
	// Load is the estimated number of requests in flight at the instance, Mean the mean of its pool.
	Load, Mean float64
	// Keeper is the router that counts the requests in flight at the instance, "" if it is this one. Forced is set
	// if it need not be asked, because no healthy instance was left to choose from. Denied is set if it has just refused
	// a place.
	Keeper string
	Forced bool
	Denied bool
	// Cold is set if the instance is cold and bears a limited rate of requests. Its keeper then decides whether the request may be sent there.
	Cold bool
	// LoadAge is the age of what is known about the requests of other routers at the instance, -1 if nothing is.
	LoadAge time.Duration

	registry *Registry
	member   *member
	// prefillTokens is the number of prompt tokens that the instance has to compute.
	prefillTokens int
	request       *Request
	startedAt     time.Time
	// prefilled is set by the first call of RecordProgress.
	prefilled bool
	released  bool
	// waiting is set while BeginWait keeps the request out of the count.
	waiting bool
	// highestRatio is that of RecordWait, highestAt the time at which that wait began. judged is set once it counts.
	highestRatio float64
	highestAt    time.Time
	judged       bool
	// kept is set by Keep.
	kept bool
}

func (r *Registry) newLease(q *Request, m *member, e loadEstimate, now time.Time) *Lease {
	l := &Lease{
		Instance:  m.Instance,
		Load:      e.load(m, now),
		Mean:      e.mean,
		LoadAge:   -1,
		startedAt: now,
		registry:  r,
		member:    m,
		request:   q,
	}
	l.Keeper, l.Cold = m.keeper, r.cold(m, now)
	l.Forced = m.unavailable(now) || r.degraded(m, now)
	l.Denied = now.Before(m.deniedUntil)
	switch {
	case m.keeper == "":
		l.LoadAge = 0
	case !m.toldAt.IsZero():
		l.LoadAge = now.Sub(m.toldAt)
	}
	l.setCached(m.cache.cachedTokens(q.Parts), now)
	if m.running() == 0 {
		m.progressAt = now
	}
	m.local.Requests++
	if m.keeper == "" {
		r.recordColdStart(m, now)
	}
	if !q.Tentative {
		m.cache.insert(q.Parts)
	}
	return l
}

// setCached sets the prompt tokens that the instance has cached, and by them where it fetches the rest from and how
// many it has to compute. The caller holds the registry's lock.
func (l *Lease) setCached(cached int, now time.Time) {
	l.CachedTokens, l.FetchFrom = cached, ""
	if source, sourceCached := l.registry.fetchSource(l.request, l.member, cached, now); source != nil {
		l.FetchFrom = source.Address
		cached = max(cached, sourceCached)
	}
	l.setPrefill(cached)
}

// setPrefill sets the tokens of the prompt that the instance need not compute. The caller holds the registry's lock.
func (l *Lease) setPrefill(cached int) {
	l.member.local.Tokens -= l.prefillTokens
	l.prefillTokens = max(0, l.request.Tokens-cached)
	l.member.local.Tokens += l.prefillTokens
}

// Confirm applies the answer of the keeper and reports whether the place is granted. Otherwise the lease is withdrawn
// and must not be used.
func (l *Lease) Confirm(a Answer) bool {
	r := l.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for _, load := range a.Loads {
		for _, m := range r.byKey[load.Instance] {
			m.told, m.toldAt = load.Requests, now
			r.recordTold(m, load, now)
		}
	}
	m := l.member
	if a.Ejected > 0 {
		m.ejectedByKeeperUntil = now.Add(min(a.Ejected, maxEjection))
	}
	if a.Granted && !(a.Unknown && l.Cold) {
		l.endWait()
		if !a.Unknown {
			l.Load, l.LoadAge = float64(m.inFlight()-1), 0
			if len(l.request.Parts) > 0 {
				l.setCached(a.CachedTokens, now)
			}
		}
		return true
	}
	l.withdraw(now.Add(denialBackoff))
	return false
}

// RecordProgress records that the instance sent a response header or a complete event. The first call marks the
// prompt as processed.
func (l *Lease) RecordProgress() { l.RecordProgressAt(l.registry.now()) }

// RecordProgressAt is RecordProgress for what arrived at a time, which a caller that needs it too has read already.
func (l *Lease) RecordProgressAt(now time.Time) {
	r := l.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.After(l.member.progressAt) {
		l.member.progressAt = now
	}
	if !l.prefilled {
		l.prefilled = true
		l.member.local.Tokens -= l.prefillTokens
	}
}

// Stalled reports whether no request of this router at the instance has made progress for longer than timeout.
func (l *Lease) Stalled(timeout time.Duration) bool {
	r := l.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	return l.member.stalled(r.now(), timeout)
}

// StalledAfter returns the time until which Stalled does not report a stall, whatever happens.
func (l *Lease) StalledAfter(timeout time.Duration) time.Time {
	r := l.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	return l.member.progressAt.Add(timeout)
}

// Release ends the lease and records the outcome of the request. It reports whether the instance is ejected
// because of the outcome, also if an earlier outcome had already ejected it. Only the first call has an effect.
func (l *Lease) Release(o Outcome) (ejected bool) {
	r := l.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.released {
		return false
	}
	l.endWait()
	l.released = true
	m := l.member
	r.judge(l, r.now())
	m.local.Requests--
	if l.kept {
		m.kept--
	}
	if !l.prefilled {
		m.local.Tokens -= l.prefillTokens
	}
	now := r.now()
	if o == Replaced {
		if r.members[m.ID] == m {
			r.evictReplaced(m)
		}
		return false
	}
	if o == Served || o == Errored || o == Refused {
		m.progressAt = now
	}
	if o == Served {
		r.recordServiceTime(m.Pool, now.Sub(l.startedAt))
	}
	return r.recordHealth(m, o, now)
}

// serviceTimeWeight is the weight of the newest request in the moving average of the service time.
const serviceTimeWeight = 0.02

// recordServiceTime adds the duration of one request to the mean of its pool.
func (r *Registry) recordServiceTime(pool string, duration time.Duration) {
	if r.meanServiceTime[pool] == 0 {
		r.meanServiceTime[pool] = duration
		return
	}
	r.meanServiceTime[pool] += time.Duration(serviceTimeWeight * float64(duration-r.meanServiceTime[pool]))
}

// recordOutcome adds an outcome to the failure rate of a pool and returns the new rate.
func (r *Registry) recordOutcome(pool string, o Outcome) float64 {
	rate := r.failureRate[pool]
	switch o {
	case Served:
		rate *= 1 - failureRateWeight
	case Broken, Errored:
		rate = rate*(1-failureRateWeight) + failureRateWeight
	}
	r.failureRate[pool] = rate
	return rate
}

// Overloaded reports whether the instance has more requests in flight than slots. It is then slow because of
// its load, and another attempt would only add to the load.
func (l *Lease) Overloaded() bool {
	r := l.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	return l.member.Slots > 0 && l.member.inFlight() > l.member.Slots
}
