package placement

import (
	"math"
	"sync"
	"time"
)

// Heat estimates which share of a pool's recent work each document group carries, from the
// requests that one router sees. It is a count-min sketch whose counts decay with time, so its
// memory does not depend on the number of groups. It is safe for concurrent use.
type Heat struct {
	mu       sync.Mutex
	halfLife time.Duration
	counts   [heatRows][heatColumns]float64
	total    float64
	// unit is the weight of one token now, relative to start. It grows instead of all counts
	// being decayed on each request.
	start time.Time
}

const (
	heatRows    = 3
	heatColumns = 512
	// heatRescale is the number of half-lives after which the counts are scaled down, far below
	// the range of float64.
	heatRescale = 64
)

// NewHeat returns an empty estimate; now is the time of the first observation or earlier.
func NewHeat(halfLife time.Duration, now time.Time) *Heat {
	return &Heat{halfLife: halfLife, start: now}
}

// Observe adds a request of the given work in tokens to its group and returns the group's share of
// all recent work, in (0, 1]. It returns 0 for group 0.
func (h *Heat) Observe(group uint64, work int64, now time.Time) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	weight := h.weight(now) * float64(max(work, 1))
	h.total += weight
	if group == 0 {
		return 0
	}
	least := math.Inf(1)
	for row := range h.counts {
		column := Score(group, uint64(row)) % heatColumns
		h.counts[row][column] += weight
		least = min(least, h.counts[row][column])
	}
	return least / h.total
}

func (h *Heat) weight(now time.Time) float64 {
	lives := float64(now.Sub(h.start)) / float64(h.halfLife)
	if lives < heatRescale {
		return math.Exp2(lives)
	}
	scale := math.Exp2(-lives)
	for row := range h.counts {
		for column := range h.counts[row] {
			h.counts[row][column] *= scale
		}
	}
	h.total *= scale
	h.start = now
	return 1
}
