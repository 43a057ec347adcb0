package pool

import (
	"slices"
	"time"
)

// coldWindow is the time over which the requests to a cold instance are counted.
const coldWindow = time.Second

// SetColdRates sets the number of requests a second that a cold instance bears, by pool. 0 sets no limit.
func (r *Registry) SetColdRates(byPool map[string]float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.coldRates = byPool
}

// SetEvacuated starts or ends the evacuation of a failure domain, and reports whether that changed anything. The
// instances of an evacuated domain get no new requests and finish those that they have.
func (r *Registry) SetEvacuated(domain string, evacuated bool) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.evacuated[domain] == evacuated {
		return false
	}
	if evacuated {
		r.evacuated[domain] = true
	} else {
		delete(r.evacuated, domain)
	}
	return true
}

// Evacuated returns the failure domains that are evacuated.
func (r *Registry) Evacuated() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]string, 0, len(r.evacuated))
	for domain := range r.evacuated {
		out = append(out, domain)
	}
	return out
}

// closed reports whether an instance gets no new requests: it is leaving, by its entry or its own word, or its failure
// domain is evacuated.
func (r *Registry) closed(m *member) bool { return m.leaving() || r.evacuated[m.FailureDomain] }

// leaving reports whether an instance is leaving, by its entry or its own word.
func (m *member) leaving() bool { return m.Leaving || (m.announced != nil && m.announced.leaving) }

// cold reports whether an instance is cold and its pool has a rate for that: it bears that many requests a second and
// crashes well above.
func (r *Registry) cold(m *member, now time.Time) bool {
	return now.Before(m.coldUntil) && r.coldRates[m.Pool] > 0
}

// coldFull reports whether a cold instance has no place for one more request now. If this router keeps the instance, it
// has granted as many requests within coldWindow as it bears; otherwise its keeper has refused a place just before.
func (r *Registry) coldFull(m *member, now time.Time) bool {
	if !r.cold(m, now) {
		return false
	}
	if m.keeper != "" {
		return now.Before(m.deniedUntil)
	}
	m.coldStarts = slices.DeleteFunc(m.coldStarts, func(at time.Time) bool { return now.Sub(at) >= coldWindow })
	return len(m.coldStarts) >= r.coldLimit(m.Pool)
}

// coldLimit returns the number of requests within coldWindow that this router grants at a cold instance which it keeps.
// A part of the fleet without contact to the rest, which has keepers of its own, grants its share.
func (r *Registry) coldLimit(pool string) int {
	alive := float64(max(1, len(r.routers)))
	return max(1, int(r.coldRates[pool]*alive/(alive+float64(r.lost))))
}

// recordColdStart counts a request to a cold instance that this router keeps.
func (r *Registry) recordColdStart(m *member, now time.Time) {
	if r.cold(m, now) && len(m.coldStarts) < maxHolds {
		m.coldStarts = append(m.coldStarts, now)
	}
}

// Withdraw gives a lease back that must not be used, and leaves the instance out for a while.
func (l *Lease) Withdraw() {
	r := l.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	l.withdraw(r.now().Add(withdrawalBackoff))
}

// withdrawalBackoff is how long an instance is left out after its keeper has not answered. The keeper is not asked
// sooner either.
const withdrawalBackoff = 500 * time.Millisecond

// withdraw gives a lease back and leaves the instance out until the given time. The caller holds the registry's lock.
func (l *Lease) withdraw(deniedUntil time.Time) {
	if l.released {
		return
	}
	l.endWait()
	l.released = true
	l.member.deniedUntil = deniedUntil
	l.member.local.Requests--
	l.member.local.Tokens -= l.prefillTokens
}
