package router

import (
	"cmp"
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
	if n <= 0 {
		return
	}
	highest := make([]uint64, 0, n)
	for i := range pool.Len() {
		highest = keepHighest(highest, placement.Score(key, pool.At(i).Hash), n)
	}
	for i := range pool.Len() {
		if placement.Score(key, pool.At(i).Hash) >= highest[len(highest)-1] {
			allowed[i] = true
		}
	}
}

// keepHighest adds a score to a list of at most n scores in falling order.
func keepHighest(list []uint64, score uint64, n int) []uint64 {
	at, _ := slices.BinarySearchFunc(list, score, func(a, b uint64) int { return cmp.Compare(b, a) })
	if at == n {
		return list
	}
	list = slices.Insert(list, at, score)
	return list[:min(len(list), n)]
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
