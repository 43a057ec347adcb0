package placement

import (
	"sync"
	"time"
)

// Retention estimates how long the engines of a pool keep a chat's prefix cached, from the cached
// tokens that responses report. It is safe for concurrent use.
type Retention struct {
	mu       sync.Mutex
	estimate time.Duration
}

const (
	// The gains are the parts of the difference by which one response moves the estimate. A hit
	// weighs more, because leaving an instance that still caches a chat costs its whole prefix,
	// while returning to one that does not costs little more than any other instance.
	gainOfHit  = 0.08
	gainOfMiss = 0.002
	// minRetention keeps a run of restarts from switching tokens off.
	minRetention = 30 * time.Second
)

// NewRetention returns an estimate that starts at the given value.
func NewRetention(initial time.Duration) *Retention {
	return &Retention{estimate: initial}
}

// Observe notes that a chat returned to the instance of its token after the given time, and
// whether its prefix was still cached there. A hit beyond the estimate raises it, a miss below it
// lowers it.
func (r *Retention) Observe(age time.Duration, cached bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case cached && age > r.estimate:
		r.estimate += time.Duration(gainOfHit * float64(age-r.estimate))
	case !cached && age < r.estimate:
		r.estimate -= time.Duration(gainOfMiss * float64(r.estimate-age))
	}
	r.estimate = max(r.estimate, minRetention)
}

// Estimate returns the current estimate, for Request.Retention.
func (r *Retention) Estimate() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.estimate
}
