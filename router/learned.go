package router

import (
	"time"

	"jacinthfork.example/jacinthfork/placement"
	"jacinthfork.example/jacinthfork/wire"
)

const (
	// heatHalfLife is how fast the estimate of hot documents forgets.
	heatHalfLife = time.Minute
	// hintGroups is the number of documents whose holders are remembered for a pool.
	hintGroups = 4096
	// initialRetention is how long a chat is taken to stay cached until responses tell.
	initialRetention = time.Hour
	// cachedShare is the part of a returning prompt that must be cached to count as a hit.
	cachedShare = 2
)

// learned is what a router has learned of the caches of one pool. Its size does not depend on the
// number of chats.
type learned struct {
	heat      *placement.Heat
	hints     *placement.CacheHints
	retention *placement.Retention
}

func (r *Router) learnedOf(pool string) *learned {
	r.learnedLock.Lock()
	defer r.learnedLock.Unlock()
	l, ok := r.learned[pool]
	if !ok {
		now := time.Now()
		l = &learned{
			heat: placement.NewHeat(heatHalfLife, now), hints: placement.NewCacheHints(hintGroups, now),
			retention: placement.NewRetention(initialRetention),
		}
		r.learned[pool] = l
	}
	return l
}

// fill puts what is known of the caches into a placement request.
func (l *learned) fill(req *placement.Request) {
	now := time.Now()
	req.GroupShare = l.heat.Observe(req.Group, max(req.Work-req.ChatWork, 1), now)
	req.Retention = l.retention.Estimate()
	if req.Group != 0 {
		req.Holders = l.hints.Holders(make([]uint64, 0, placement.MaxHolders), req.Group, now, req.Retention)
	}
	if req.Token != nil {
		req.TokenAge = now.Sub(req.Token.Issued)
	}
}

// ran takes what a whole response says about the cache of the instance that ran it.
func (l *learned) ran(req *placement.Request, instance string, end *wire.End) {
	if req.Group != 0 {
		l.hints.Add(req.Group, placement.HashID(instance), time.Now())
	}
	if req.Token != nil && req.Token.Instance == instance && req.ChatWork > 0 {
		l.retention.Observe(req.TokenAge, int64(end.GetCachedTokens())*cachedShare >= req.ChatWork)
	}
}
