package router

import (
	"cmp"
	"slices"

	"jacinthfork.example/jacinthfork/placement"
	"jacinthfork.example/jacinthfork/suspect"
)

// limitExposure keeps the candidates that may run a request that is not suspected of crashing engines: the
// ExposureGroup ones with the highest scores for the request's key, the ExposureFingerprint ones with the
// highest scores for its fingerprint, and the instance that its placement token names. A request that crashes
// engines thus reaches only a few of them. Sidecars enforce the same limit, so any other candidate would refuse
// the request. If both settings are 0, there is no limit.
func limitExposure(order []int, c *call, pool *placement.Pool, s suspect.Settings) []int {
	if s.ExposureGroup == 0 && s.ExposureFingerprint == 0 {
		return order
	}
	allowed := make([]bool, pool.Len())
	allowTopScored(allowed, c.rankingKey(), pool, s.ExposureGroup)
	allowTopScored(allowed, c.template.GetFingerprint(), pool, s.ExposureFingerprint)
	if target, _ := placement.TokenTarget(&c.placementReq, pool); target >= 0 {
		allowed[target] = true
	}
	return slices.DeleteFunc(order, func(i int) bool { return !allowed[i] })
}

// allowTopScored allows the n candidates with the highest scores for a key.
func allowTopScored(allowed []bool, key uint64, pool *placement.Pool, n int) {
	if n <= 0 {
		return
	}
	highest := make([]uint64, 0, n)
	for i := range pool.Len() {
		highest = insertTopScore(highest, placement.Score(key, pool.At(i).Hash), n)
	}
	for i := range pool.Len() {
		if placement.Score(key, pool.At(i).Hash) >= highest[len(highest)-1] {
			allowed[i] = true
		}
	}
}

// insertTopScore inserts a score into a descending list of at most n scores.
func insertTopScore(list []uint64, score uint64, n int) []uint64 {
	at, _ := slices.BinarySearchFunc(list, score, func(a, b uint64) int { return cmp.Compare(b, a) })
	if at == n {
		return list
	}
	list = slices.Insert(list, at, score)
	return list[:min(len(list), n)]
}

// rankingKey returns the key by which the placement policy orders the instances for this call: that of the
// claim stream, the document group or the chat. It is sent as the document group, because the sidecar checks the
// exposure limit with it.
func (c *call) rankingKey() uint64 {
	switch {
	case c.placementReq.KeyHash != 0:
		return c.placementReq.KeyHash
	case c.placementReq.Group != 0:
		return c.placementReq.Group
	}
	return c.placementReq.Chat
}
