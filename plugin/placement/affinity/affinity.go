// Package affinity places a request on an instance that caches its prefix, within the load bound of the
// sidecars: first the instance named by the placement token, then the instances in rendezvous order of
// the document group. A document is spread over more instances the larger its share of the pool's work.
package affinity

import (
	"fmt"
	"math"
	"slices"
	"time"

	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/placement"
)

func init() {
	kernel.Register(kernel.KindPlacement, "affinity", func() any { return New() })
}

// Policy is the cache affinity policy with the settings of one pool.
type Policy struct {
	// BoundFactor is the factor of the sidecars' load bound. It must equal the sidecars' setting.
	BoundFactor float64 `toml:"bound_factor" min:"1" max:"16"`
	// Headroom is the fraction of the capacity between mean and bound that requests without a token
	// leave free for returning chats. Higher values favour cache reuse by returning chats and lower
	// skew; lower values keep the chats of a document on fewer instances.
	Headroom float64 `toml:"headroom" min:"0" max:"1"`
	// Spread scales the number of instances that share a document: the document's share of the pool's
	// work, times the number of instances, times Spread.
	Spread float64 `toml:"spread" min:"0" max:"16"`
	// MinSpread is the minimum number of instances for a document; the least loaded of them is tried
	// first. In pools with many documents, a second copy of each document evicts chats from the caches.
	MinSpread int `toml:"min_spread" min:"1"`
	// MaxLoadAge is the age above which a load report is ignored.
	MaxLoadAge time.Duration `toml:"hint_max_age" min:"100ms" max:"1m"`
}

// New returns a policy with default settings.
func New() *Policy {
	return &Policy{BoundFactor: 1.25, Headroom: 0, Spread: 2, MinSpread: 1, MaxLoadAge: 5 * time.Second}
}

// Classes of candidates, best first.
const (
	classToken = iota
	// classPreferred contains the instances that share the document, or are known to cache it, and that
	// are within the bound for requests without a token or whose load is unknown. classSpillover contains
	// the other instances that are within that bound or whose load is unknown.
	classPreferred
	classSpillover
	// classHeadroom contains instances whose remaining capacity is reserved for chats with a token.
	classHeadroom
	// classOverBound contains instances that exceed the bound by their last report. They are still tried,
	// because the report may be outdated.
	classOverBound
	classNotReady
)

// decision holds the values that Order derives from request and pool before it ranks the candidates.
type decision struct {
	tokenTarget int
	tokenState  placement.TokenState
	// width is the number of instances that share the document.
	width int
	// threshold is the lowest rendezvous score among those instances.
	threshold uint64
	// newChatBound and bound are the highest loads after admission for requests without and with a token.
	newChatBound, bound int64
	meanLoad            int64
	// loadScale is the number of quantisation steps per token of load, see loadSteps.
	loadScale   float64
	localDomain int
	// cachedWork and uncachedWork are the expected work on instances that do and do not cache the
	// document.
	cachedWork, uncachedWork int64
	// rankByChat is set for a chat that returns without a token: instances are ranked by the hash of the
	// chat, so that its turns reach the same instance. useHolders is set for other requests if cache hints
	// tell which instances cache the document.
	rankByChat, useHolders bool
	// holderBits has bit Hash mod 64 set for each holder, which avoids most searches of the holder list.
	holderBits uint64
}

func (p *Policy) decide(req *placement.Request, pool *placement.Pool) decision {
	d := decision{
		width:        p.spreadWidth(req, pool),
		newChatBound: pool.LoadBound(1+(p.BoundFactor-1)*(1-p.Headroom), req.Work),
		bound:        pool.LoadBound(p.BoundFactor, req.Work),
		meanLoad:     pool.MeanLoad(),
		localDomain:  pool.DomainIndex(req.FailureDomain),
		rankByChat:   req.Returning && req.Token == nil,
		cachedWork:   req.Work - req.DocumentWork,
		uncachedWork: req.Work,
	}
	d.loadScale = loadSteps / float64(max(d.bound, 1))
	d.tokenTarget, d.tokenState = placement.TokenTarget(req, pool)
	d.useHolders = !d.rankByChat && len(req.Holders) > 0
	if d.useHolders {
		d.holderBits, d.threshold = summariseHolders(req, d.width)
	} else {
		d.threshold = placement.Threshold(req.Group, d.width, pool)
	}
	return d
}

// summariseHolders returns a bit set of the hashes of the instances that cache the document, and the
// lowest rendezvous score among the width highest-scoring of them, or 0 if there are no more than width.
func summariseHolders(req *placement.Request, width int) (bits, threshold uint64) {
	var buffer [placement.MaxHolders]uint64
	scores := buffer[:0]
	for _, hash := range req.Holders[:min(len(req.Holders), placement.MaxHolders)] {
		bits |= 1 << (hash % 64)
		scores = append(scores, placement.Score(req.Group, hash))
	}
	if width >= len(scores) {
		return bits, 0
	}
	slices.Sort(scores)
	return bits, scores[len(scores)-width]
}

// spreadWidth returns the number of instances that share the group's chats.
func (p *Policy) spreadWidth(req *placement.Request, pool *placement.Pool) int {
	if req.Group == 0 {
		return pool.Members()
	}
	want := math.Ceil(req.GroupShare * float64(pool.Members()) * p.Spread)
	return min(max(int(want), p.MinSpread), pool.Members())
}

// Order implements placement.Policy.
func (p *Policy) Order(dst []int, req *placement.Request, pool *placement.Pool) []int {
	if req.KeyHash != 0 {
		return placement.KeyOrder(dst, req.KeyHash, pool)
	}
	d := p.decide(req, pool)
	r := placement.NewRanking()
	defer r.Release()
	for i := range pool.Len() {
		c := pool.At(i)
		if c.Leaving {
			continue
		}
		preferred, rank := p.rank(&d, req, c, pool.InDomain(i, d.localDomain))
		class := p.class(&d, c, preferred)
		if i == d.tokenTarget {
			class = classToken
		}
		r.Add(class, rank, i)
	}
	return r.Append(dst[:0])
}

// loadUnknown reports whether there is no recent load report of the candidate.
func (p *Policy) loadUnknown(c *placement.Candidate) bool {
	return c.LoadAge < 0 || c.LoadAge > p.MaxLoadAge
}

// class returns the class of a candidate other than the token's instance.
func (p *Policy) class(d *decision, c *placement.Candidate, preferred bool) int {
	if !c.Ready {
		return classNotReady
	}
	after, admissible := c.Load+d.uncachedWork, classSpillover
	if preferred {
		after, admissible = c.Load+d.cachedWork, classPreferred
	}
	switch {
	case p.loadUnknown(c) || after <= d.newChatBound:
		return admissible
	case after <= d.bound:
		return classHeadroom
	}
	return classOverBound
}

// Layout of a rank, from the highest bits: the document's instances come before the others of their
// class; then instances in the router's failure domain, for requests without a document only because it
// would cost cache reuse of a document; then lower loads; then higher rendezvous scores. If holders of the
// document are known, the bit for the failure domain marks holders that are not among the highest-scoring
// ones, and the highest bit marks only those that are.
const (
	preferredBit   = 1 << 63
	localDomainBit = 1 << 62
	loadBits       = 14
	loadShift      = 62 - loadBits
	maxLoad        = 1<<loadBits - 1
	// loadSteps is the number of quantisation steps from zero load to the bound.
	loadSteps = 4096
)

// rank reports whether the instance shares the document or is known to cache it, and returns its rank within
// its class. If holders of the document are known, the width highest-scoring of them rank first, so that the
// other copies are no longer used and get evicted. Instances that do not cache the document are then
// ranked by load instead of a common order, because routers learn from responses where a chat was placed.
// If no holders are known, the instances that do not share the document are ranked in its rendezvous order.
func (p *Policy) rank(d *decision, req *placement.Request, c *placement.Candidate, local bool) (preferred bool, rank uint64) {
	score := placement.Score(req.Group, c.Hash)
	if d.useHolders {
		switch {
		case d.holderBits>>(c.Hash%64)&1 == 0 || !slices.Contains(req.Holders, c.Hash):
			return false, p.loadRank(d, c, score)
		case score < d.threshold:
			return true, preferredBit>>1 | p.loadRank(d, c, score)
		}
		return true, preferredBit | p.loadRank(d, c, score)
	}
	if score < d.threshold {
		return false, score >> 2
	}
	rank = preferredBit
	if req.Group == 0 && local {
		rank |= localDomainBit
	}
	if d.rankByChat {
		return true, rank | placement.Score(req.Chat, c.Hash)>>2
	}
	return true, rank | p.loadRank(d, c, score)
}

// loadRank ranks lower loads higher, and equal loads by score. An instance without a recent report is
// assigned the mean load, because routers would otherwise send all new chats to it.
func (p *Policy) loadRank(d *decision, c *placement.Candidate, score uint64) uint64 {
	tokens := c.Load
	if p.loadUnknown(c) {
		tokens = d.meanLoad
	}
	load := min(uint64(float64(tokens)*d.loadScale), maxLoad)
	return (maxLoad-load)<<loadShift | score>>(2+loadBits)
}

// Explain implements placement.Policy.
func (p *Policy) Explain(req *placement.Request, pool *placement.Pool, order []int) string {
	if req.KeyHash != 0 {
		return placement.Explain("affinity", fmt.Sprintf("key=%016x", req.KeyHash), pool, order)
	}
	d := p.decide(req, pool)
	details := fmt.Sprintf("token=%s; group=%016x; spread=%d; holders=%d; bound=%d; bound without token=%d; work=%d",
		d.tokenState, req.Group, d.width, len(req.Holders), d.bound, d.newChatBound, req.Work)
	return placement.Explain("affinity", details, pool, order)
}
