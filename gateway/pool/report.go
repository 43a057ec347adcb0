package pool

import "time"

const (
	// breakWindow is the time within which broken connections to an instance count once: a crash, or a fault of the
	// network that has nothing to do with the instance, breaks all of them.
	breakWindow = 150 * time.Millisecond
	// probeInterval is the time between two test connections to an instance that cannot be reached.
	probeInterval = 300 * time.Millisecond
	// unreachableEjection is how long an instance stays ejected after a test connection has failed. The next one has
	// ended by then.
	unreachableEjection = time.Second
)

// recordReport adds the outcome of another router's request to the health of an instance that this router keeps, and
// reports whether the instance is ejected because of it. It answers a load pattern of large fleets: each router sends
// an instance a request in half a minute, so that none of them would find out alone that it fails.
//
// Failures that one router reports in a row count once, because its own links may be the cause.
func (r *Registry) recordReport(m *member, router string, o Outcome) (ejected bool) {
	now := r.now()
	switch o {
	case Served:
		m.failedBy = ""
	case Broken, Errored:
		repeated := m.failedBy == router
		m.failedBy = router
		if repeated {
			return false
		}
	}
	return r.recordHealth(m, o, now)
}

// recordHealth adds an outcome to the health of an instance and reports whether it is ejected because of it, also if an
// earlier outcome had already ejected it.
func (r *Registry) recordHealth(m *member, o Outcome, now time.Time) (ejected bool) {
	if o == Broken {
		if now.Sub(m.brokenAt) < breakWindow {
			return false
		}
		m.brokenAt = now
	}
	d := ownDetector
	if m.keeper == "" && len(r.routers) > 1 {
		d = keeperDetector
	}
	if !m.health.record(o, d, r.recordOutcome(m.Pool, o), now) {
		return false
	}
	if !m.health.unreachable && !r.canEject(m, now) {
		return false
	}
	m.health.startEjection(now)
	r.endWaits(m.incarnation(), allWaits)
	return true
}

// RecordCrash records that the instance broke its connections and refuses new ones. It is ejected like one that cannot be
// reached.
func (r *Registry) RecordCrash(i Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.members[i.ID]; m != nil && m.incarnation() == i.incarnation() {
		r.recordHealth(m, Unreachable, r.now())
	}
}

// canEject reports whether at least half of the pool remains when one more instance is ejected, by what this router and
// the keepers of all instances have ejected.
func (r *Registry) canEject(m *member, now time.Time) bool {
	ejected, total := 1, 0
	for _, other := range r.pools[m.Pool] {
		if r.closed(other) {
			continue
		}
		total++
		if other != m && other.health.ejected(now) {
			ejected++
		}
	}
	ejected = max(ejected, 1+int(r.fleetLoad[PoolHash(m.Pool)].Ejected))
	return ejected*2 <= total || m.health.ejected(now)
}

// DueProbes returns the instances that this router keeps, that could not be reached, and to which a test connection is to
// be made now. There are none to instances that turn this router away. RecordProbe must be called for each of them.
func (r *Registry) DueProbes() []Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	var due []Instance
	for _, m := range r.members {
		if m.keeper == "" && m.health.unreachable && !m.announced.turnsAway(now) && !m.probeRunning && !now.Before(m.probeAt) {
			m.probeRunning = true
			due = append(due, m.Instance)
		}
	}
	return due
}

// RecordProbe records the result of a test connection. An instance that can be reached is used again at once: the router
// that could not may have a fault of its own. One that cannot stays ejected, so that no request waits for it.
func (r *Registry) RecordProbe(i Instance, reachable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.members[i.ID]
	if !ok || m.StartedAt != i.StartedAt {
		return
	}
	m.probeRunning = false
	if !m.health.unreachable {
		return
	}
	now := r.now()
	if reachable {
		m.health.readmit(now)
		return
	}
	m.probeAt = now.Add(probeInterval)
	m.health.ejectedUntil = now.Add(unreachableEjection)
}
