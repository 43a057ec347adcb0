package pool

import "time"

// SetPaced sets whether the instances of a pool report how long work takes on their machines. It is for tests; otherwise
// that is learned from the responses of the instances.
func (r *Registry) SetPaced(pool string, paced bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !paced {
		delete(r.paced, pool)
		return
	}
	r.recordReportedPace(pool, r.now())
}

// PoolLimit returns the number of requests that the usable engines of a pool can serve in time now, as far as this router
// knows. In a pool that is not paced these are its slots.
func (r *Registry) PoolLimit(pool string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.poolLimit(pool, r.now())
}

func (r *Registry) poolLimit(pool string, now time.Time) (total int) {
	for _, m := range r.pools[pool] {
		if r.usable(m, now) {
			total += r.measuredLimit(m, now)
		}
	}
	return total
}

// AtBound reports whether an instance that this router keeps is at the load bound, so that it takes no more prompts even if it
// has free places.
func (r *Registry) AtBound(instance Key) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := r.byKey[instance]
	return len(kept) > 0 && r.atBound(kept[0])
}

// atBound reports whether one more request would exceed the load bound.
func (r *Registry) atBound(m *member) bool {
	return float64(m.inFlight()+1) > r.loadBound(r.estimateLoad(m.Pool, r.now()).poolMean)
}

// refuses reports whether a kept instance has no place for the prompt of a reservation.
func (r *Registry) refuses(q *Reservation, m *member) bool {
	return len(q.Parts) > 0 && !q.Placed && r.full(m)
}

// UntoldTime is how long a new keeper counts the requests of other routers that its predecessor reported. The others tell it of
// their requests once they know of the change, which takes a few hops of the tree.
const UntoldTime = 500 * time.Millisecond

// Untold returns the number of requests that other routers have in flight at an instance, as its former keeper said last, and
// have not told this router of yet, which has just become its keeper. left is how long that counts.
func (r *Registry) Untold(instance Key) (requests int, left time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.byKey[instance] {
		left = UntoldTime - r.now().Sub(m.keptSince)
		if m.keeper == "" && left > 0 && m.keptSince.Sub(m.toldAt) < UntoldTime {
			return max(0, m.told-len(m.holds)), left
		}
	}
	return 0, 0
}

// BeginWait takes the request out of the count of those in flight while it waits for a place: the load bound, the sums of the
// fleet and the keeper's own count would take those who wait for requests that the instance holds. EndWait, a granted
// Confirm, or the end of the lease ends that.
func (l *Lease) BeginWait() {
	l.registry.mu.Lock()
	defer l.registry.mu.Unlock()
	if !l.released && !l.waiting {
		l.waiting = true
		l.member.local.Requests--
		l.member.local.Tokens -= l.prefillTokens
	}
}

// EndWait counts the request again, unless the lease has ended.
func (l *Lease) EndWait() {
	l.registry.mu.Lock()
	defer l.registry.mu.Unlock()
	l.endWait()
}

func (l *Lease) endWait() {
	if !l.waiting {
		return
	}
	l.waiting = false
	if l.member.running() == 0 {
		l.member.progressAt = l.registry.now()
	}
	l.member.local.Requests++
	l.member.local.Tokens += l.prefillTokens
}

// RecordPrompt records that the request of a tentative lease has its place, so that its prompt will be cached at the instance.
func (l *Lease) RecordPrompt() {
	l.registry.mu.Lock()
	defer l.registry.mu.Unlock()
	l.member.cache.insert(l.request.Parts)
}
