package router

import (
	"slices"

	"jacinthfork.example/jacinthfork/placement"
	"jacinthfork.example/jacinthfork/suspect"
)

// exposed keeps the candidates that may run a request that is not suspected of crashing engines.
// Sidecars enforce the same set; asking others would only be refused.
func exposed(order []int, c *call, pool *placement.Pool, s suspect.Settings) []int {
	if s.ExposureGroup == 0 && s.ExposureFingerprint == 0 {
		return order
	}
	allowed := make([]bool, pool.Len())
	markFirst(allowed, c.exposureKey(), pool, s.ExposureGroup)
	markFirst(allowed, c.message.GetFingerprint(), pool, s.ExposureFingerprint)
	if target, _ := placement.TokenTarget(&c.place, pool); target >= 0 {
		allowed[target] = true
	}
	return slices.DeleteFunc(order, func(i int) bool { return !allowed[i] })
}

// markFirst marks the n candidates with the highest scores for a key.
func markFirst(allowed []bool, key uint64, pool *placement.Pool, n int) {
	for range min(n, pool.Len()) {
		best, highest := -1, uint64(0)
		for i := range pool.Len() {
			if score := placement.Score(key, pool.At(i).Hash); !allowed[i] && (best < 0 || score > highest) {
				best, highest = i, score
			}
		}
		if best < 0 {
			return
		}
		allowed[best] = true
	}
}

// exposureKey is the key by which the placement policy orders the instances for this call.
func (c *call) exposureKey() uint64 {
	switch {
	case c.place.KeyHash != 0:
		return c.place.KeyHash
	case c.place.Group != 0:
		return c.place.Group
	}
	return c.place.Chat
}
