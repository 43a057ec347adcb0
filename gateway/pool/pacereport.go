package pool

// PaceSummary is the state of the engines of a paced pool: over those that this router keeps, except for the pace, which it
// knows of all.
type PaceSummary struct {
	// Contended is set while the limits apply. InFlight is the number of requests in flight in the pool, and Serves what its
	// engines serve in time together, as this router knows them.
	Contended        bool
	InFlight, Serves float64
	// Kept is the number of engines that this router keeps, Reduced that of those whose limit is below their slots.
	Kept, Reduced int
	// LimitLowest and LimitMean are in requests.
	LimitLowest int
	LimitMean   float64
	// PaceLowest, PaceMean and PaceHighest are in percent of the usual time for some work.
	PaceLowest, PaceMean, PaceHighest float64
	// PressureLowest, PressureMean and PressureHighest are relative to the objective. Engines without a response lately have
	// no pressure and do not count.
	PressureLowest, PressureMean, PressureHighest float64
}

// PaceSummary returns the state of the engines of a pool. ok is false if it is not paced.
func (r *Registry) PaceSummary(pool string) (s PaceSummary, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if !r.pacedNow(pool, now) {
		return s, false
	}
	s.Contended = r.contendedNow(pool, now)
	s.InFlight, s.Serves = r.contentionLoad(pool, now)
	var limits, paces, pressures spread
	for _, m := range r.pools[pool] {
		paces.add(m.engine.pace.get(now))
		if m.keeper != "" {
			continue
		}
		s.Kept++
		limit := r.measuredLimit(m, now)
		if limit < m.Slots {
			s.Reduced++
		}
		limits.add(float64(limit))
		if p := m.engine.limit.pressure(now); p > 0 {
			pressures.add(p)
		}
	}
	s.LimitLowest, s.LimitMean = int(limits.lowest), limits.mean()
	s.PaceLowest, s.PaceMean, s.PaceHighest = paces.lowest, paces.mean(), paces.highest
	s.PressureLowest, s.PressureMean, s.PressureHighest = pressures.lowest, pressures.mean(), pressures.highest
	return s, true
}

// spread collects values.
type spread struct {
	n                    int
	lowest, highest, sum float64
}

func (s *spread) add(v float64) {
	if s.n == 0 {
		s.lowest, s.highest = v, v
	}
	s.lowest, s.highest = min(s.lowest, v), max(s.highest, v)
	s.sum += v
	s.n++
}

func (s *spread) mean() float64 { return s.sum / float64(max(1, s.n)) }

// LimitChange is a limit that has fallen below the slots of an engine, or is back at them.
type LimitChange struct {
	Instance Instance
	// Limit is in requests, Pressure relative to the objective, Pace in percent.
	Limit          int
	Pressure, Pace float64
}

// LimitChanges returns the changes since the last call among the engines that this router keeps.
func (r *Registry) LimitChanges() (changes []LimitChange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for _, m := range r.members {
		if m.keeper != "" {
			m.engine.reduced = false
			continue
		}
		limit := r.measuredLimit(m, now)
		if reduced := limit < m.Slots; reduced != m.engine.reduced {
			m.engine.reduced = reduced
			changes = append(changes, LimitChange{Instance: m.Instance, Limit: limit, Pressure: m.engine.limit.pressure(now), Pace: m.engine.pace.get(now)})
		}
	}
	return changes
}
