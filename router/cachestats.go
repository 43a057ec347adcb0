package router

import (
	"time"

	"jacinthfork.example/jacinthfork/placement"
	"jacinthfork.example/jacinthfork/wire"
)

const (
	// popularityHalfLife is the half-life of the document popularity estimate.
	popularityHalfLife = time.Minute
	// maxHintGroups is the number of document groups per pool for which the instances that have the document
	// in their cache are remembered.
	maxHintGroups = 4096
	// initialRetention is the assumed cache lifetime of a chat until responses give a measured value.
	initialRetention = time.Hour
	// cacheHitDivisor defines a cache hit: at least 1/cacheHitDivisor of the chat history of a prompt
	// that continues a chat was cached.
	cacheHitDivisor = 2
)

// cacheStats holds what the router has learned about the prompt caches of one pool: the popularity of
// documents from requests, and the cache contents and lifetimes from responses. Its size does not depend on the
// number of chats.
type cacheStats struct {
	popularity *placement.ShareSketch
	hints      *placement.CacheHints
	retention  *placement.RetentionEstimator
}

func (r *Router) cacheStatsFor(pool string) *cacheStats {
	r.cacheStatsMu.Lock()
	defer r.cacheStatsMu.Unlock()
	s, ok := r.cacheStats[pool]
	if !ok {
		now := time.Now()
		s = &cacheStats{
			popularity: placement.NewShareSketch(popularityHalfLife, now), hints: placement.NewCacheHints(maxHintGroups, now),
			retention: placement.NewRetentionEstimator(initialRetention),
		}
		r.cacheStats[pool] = s
	}
	return s
}

// fillRequest counts a placement request in the popularity estimate and adds the cache estimates to it.
func (s *cacheStats) fillRequest(req *placement.Request) {
	now := time.Now()
	req.GroupShare = s.popularity.Observe(req.Group, max(req.Work-req.ChatWork, 1), now)
	req.Retention = s.retention.Estimate()
	if req.Group != 0 {
		req.Holders = s.hints.Holders(make([]uint64, 0, placement.MaxHolders), req.Group, now, req.Retention)
	}
	if req.Token != nil {
		req.TokenAge = now.Sub(req.Token.Issued)
	}
}

// recordResponse updates the estimates with the cache usage that a complete response reports.
func (s *cacheStats) recordResponse(req *placement.Request, instance string, end *wire.End) {
	if req.Group != 0 {
		s.hints.Add(req.Group, placement.HashID(instance), time.Now())
	}
	if req.Token != nil && req.Token.Instance == instance && req.ChatWork > 0 {
		s.retention.Observe(req.TokenAge, int64(end.GetCachedTokens())*cacheHitDivisor >= req.ChatWork)
	}
}
