package placement

import (
	"math"
	"sync"
	"time"
)

// ShareSketch estimates the share of a pool's recent work that belongs to each document group, from the
// requests of one router. It is a count-min sketch with exponentially decaying counts, so its memory
// does not depend on the number of groups. It is safe for concurrent use.
type ShareSketch struct {
	mu       sync.Mutex
	halfLife time.Duration
	counts   [sketchRows][sketchColumns]float64
	total    float64
	// start is the time at which one token of work has weight 1. Later work weighs more, which has the
	// same effect as decaying all counts on each request.
	start time.Time
}

const (
	sketchRows    = 3
	sketchColumns = 512
	// rescaleHalfLives is the number of half-lives after which the counts are scaled down, long before
	// they would exceed the range of float64.
	rescaleHalfLives = 64
)

// NewShareSketch returns an empty estimate. now must not be later than the first observation.
func NewShareSketch(halfLife time.Duration, now time.Time) *ShareSketch {
	return &ShareSketch{halfLife: halfLife, start: now}
}

// Observe adds the work of a request, in tokens, to its group and returns the group's share of all
// recent work, in (0, 1]. For group 0 (no document) it adds to the total only and returns 0.
func (h *ShareSketch) Observe(group uint64, work int64, now time.Time) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	weight := h.currentWeight(now) * float64(max(work, 1))
	h.total += weight
	if group == 0 {
		return 0
	}
	minCount := math.Inf(1)
	for row := range h.counts {
		column := Score(group, uint64(row)) % sketchColumns
		h.counts[row][column] += weight
		minCount = min(minCount, h.counts[row][column])
	}
	return minCount / h.total
}

// currentWeight returns the weight of one token of work at the given time, and rescales the counts when
// the weight has grown too large.
func (h *ShareSketch) currentWeight(now time.Time) float64 {
	halfLives := float64(now.Sub(h.start)) / float64(h.halfLife)
	if halfLives < rescaleHalfLives {
		return math.Exp2(halfLives)
	}
	scale := math.Exp2(-halfLives)
	for row := range h.counts {
		for column := range h.counts[row] {
			h.counts[row][column] *= scale
		}
	}
	h.total *= scale
	h.start = now
	return 1
}
