package placement

import (
	"sync"
	"time"
)

// RetentionEstimator estimates how long the engines of a pool keep a chat's prefix cached, from the numbers of
// cached tokens that responses report. It is safe for concurrent use.
type RetentionEstimator struct {
	mu       sync.Mutex
	estimate time.Duration
}

const (
	// The gains are the fractions of the difference between a chat's age and the estimate by which one
	// response moves the estimate. A hit has the larger gain, because abandoning an instance that still
	// caches a chat costs recomputing the whole prefix, while returning to one that does not costs little
	// more than using any other instance.
	hitGain  = 0.08
	missGain = 0.002
	// minRetention prevents a series of engine restarts from disabling placement tokens.
	minRetention = 30 * time.Second
)

// NewRetentionEstimator returns an estimator with the given initial estimate.
func NewRetentionEstimator(initial time.Duration) *RetentionEstimator {
	return &RetentionEstimator{estimate: initial}
}

// Observe records that a chat returned to the instance of its token after the given time, and whether
// its prefix was still cached there. A hit at an age above the estimate raises the estimate; a miss
// below it lowers it.
func (r *RetentionEstimator) Observe(age time.Duration, cached bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case cached && age > r.estimate:
		r.estimate += time.Duration(hitGain * float64(age-r.estimate))
	case !cached && age < r.estimate:
		r.estimate -= time.Duration(missGain * float64(r.estimate-age))
	}
	r.estimate = max(r.estimate, minRetention)
}

// Estimate returns the current estimate, for Request.Retention.
func (r *RetentionEstimator) Estimate() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.estimate
}
