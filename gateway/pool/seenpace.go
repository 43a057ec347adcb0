package pool

import "time"

// RecordSeenPace records the pace that the instance has reported, for RelativePace alone: it makes no pool paced and changes
// neither placement nor limits. It returns whether the pace is plausible. Others are ignored.
func (l *Lease) RecordSeenPace(pace int) (plausible bool) {
	if pace < minPace || pace > maxPace {
		return false
	}
	r := l.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	l.member.engine.seen.record(pace, r.now())
	return true
}

// RelativePace returns the pace of the instance relative to the mean of its pool, as this router knows it from its own
// responses and, in a paced pool, from the keeper. It is 0 if it is not known, and between minPaceFactor and maxPaceFactor
// otherwise.
func (l *Lease) RelativePace() float64 {
	r := l.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if r.pacedNow(l.member.Pool, now) {
		return r.paceFactor(l.member, now)
	}
	if at := l.member.engine.seen.at; at.IsZero() || now.Sub(at) >= pacedTTL {
		return 0
	}
	pace := l.member.engine.seen.get(now)
	return min(maxPaceFactor, max(minPaceFactor, pace/r.meanSeenPace(l.member.Pool, now)))
}

// meanSeenPace is meanPace for the paces that this router has seen itself.
func (r *Registry) meanSeenPace(pool string, now time.Time) float64 {
	p := r.seenPaces[pool]
	if p == nil {
		p = &poolPace{}
		r.seenPaces[pool] = p
	}
	if !p.meanAt.IsZero() && now.Sub(p.meanAt) < meanPaceInterval {
		return p.mean
	}
	sum, n := 0.0, 0
	for _, m := range r.pools[pool] {
		sum += m.engine.seen.get(now)
		n++
	}
	p.mean, p.meanAt = max(minPace, sum/float64(max(1, n))), now
	return p.mean
}
