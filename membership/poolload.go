package membership

import "time"

// meanCacheTTL is how long a computed mean is reused. The age of a load is therefore checked up to this much
// too late, which MaxAge includes.
const meanCacheTTL = 100 * time.Millisecond

// PoolLoad is the known load of the other members of the pool, used for the load bound.
type PoolLoad struct {
	// OtherWork is the total work of the other members in tokens. A member whose newest load is older than
	// StaleAge counts as zero.
	OtherWork uint64
	// Members is the number of members that are neither leaving nor expired. It always includes this sidecar, and
	// also members that are not ready.
	Members int
	// Stale is the number of members counted as zero because their load is too old or unknown.
	Stale int
	// MaxAge is the upper bound on the age of the counted loads: by the local clock, each was the true load
	// of its sidecar at some time within this duration.
	MaxAge time.Duration

	computedAt time.Time
}

// PerMember returns the mean work per member, given the work that this sidecar has in flight.
func (m PoolLoad) PerMember(own uint64) float64 {
	return float64(m.OtherWork+own) / float64(max(1, m.Members))
}

// Mean returns the load of the other members. Leaving members are excluded: they take no work and would lower
// the bound of a small pool unnecessarily.
func (p *Pool) Mean() PoolLoad {
	now := time.Now()
	if mean := p.mean.Load(); mean != nil && now.Sub(mean.computedAt) < meanCacheTTL {
		return *mean
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	mean := p.computeMean(now)
	p.mean.Store(&mean)
	return mean
}

func (p *Pool) computeMean(now time.Time) PoolLoad {
	p.expire(now)
	mean := PoolLoad{Members: 1, computedAt: now}
	for _, m := range p.members {
		age := now.Sub(m.sampledAt)
		if m.state.GetLeaving() || age > p.expireAfter(m.listed) {
			continue
		}
		mean.Members++
		if m.version == 0 || age >= p.options.StaleAge {
			mean.Stale++
			continue
		}
		mean.OtherWork += m.work
		mean.MaxAge = max(mean.MaxAge, age+meanCacheTTL)
	}
	return mean
}
