package membership

import "time"

// meanAge is how long a computed mean is used. The age of loads is checked this much too late at
// most, which Oldest includes.
const meanAge = 100 * time.Millisecond

// Mean is the load of the other members of the pool as far as it is known, for the load bound.
type Mean struct {
	// Others is the sum of the work of the other members in tokens. A member whose newest load is
	// older than StaleAge counts as zero.
	Others uint64
	// Members is the number of members that take work, this sidecar included.
	Members int
	// Stale is the number of members that count as zero because their load is too old or unknown.
	Stale int
	// Oldest is the age of the oldest load that is counted. Each counted load was the true load of
	// its sidecar at some time not longer than this ago, by the local clock.
	Oldest time.Duration

	at time.Time
}

// Of returns the mean work per member when this sidecar has the given work in flight.
func (m Mean) Of(own uint64) float64 {
	return float64(m.Others+own) / float64(max(1, m.Members))
}

// Mean returns the load of the other members. Members that leave are not counted, because they take
// no work and would lower the bound of a small pool without need.
func (p *Pool) Mean() Mean {
	now := time.Now()
	if mean := p.mean.Load(); mean != nil && now.Sub(mean.at) < meanAge {
		return *mean
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	mean := p.compute(now)
	p.mean.Store(&mean)
	return mean
}

func (p *Pool) compute(now time.Time) Mean {
	p.forget(now)
	mean := Mean{Members: 1, at: now}
	for _, m := range p.members {
		age := now.Sub(m.born)
		if m.news.GetLeaving() || age > p.lifetime(m.listed) {
			continue
		}
		mean.Members++
		if m.version == 0 || age >= p.rules.StaleAge {
			mean.Stale++
			continue
		}
		mean.Others += m.work
		mean.Oldest = max(mean.Oldest, age+meanAge)
	}
	return mean
}
