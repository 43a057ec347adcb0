// Package affinity places a request where its prefix is cached, within the load bound of the
// sidecars: first the instance named by the placement token, then rendezvous order by document
// group, spread over more instances the more of the pool's work the document carries.
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

// Policy holds the settings of one pool.
type Policy struct {
	// BoundFactor is the factor of the sidecars' load bound. It must equal theirs.
	BoundFactor float64 `toml:"bound_factor" min:"1" max:"16"`
	// Headroom is the part of the room between mean and bound that a request without a token
	// leaves to returning chats. Higher values favour cache reuse of returning chats and lower
	// skew; lower values keep the chats of a document on fewer instances.
	Headroom float64 `toml:"headroom" min:"0" max:"1"`
	// Spread scales the number of instances that a document is spread over: its share of the
	// pool's work, times instances, times Spread.
	Spread float64 `toml:"spread" min:"0" max:"16"`
	// MinSpread is the least number of instances for a document.
	MinSpread int `toml:"min_spread" min:"1"`
	// HintMaxAge is the age from which a load report is ignored.
	HintMaxAge time.Duration `toml:"hint_max_age" min:"100ms" max:"1m"`
}

// New returns a policy with default settings.
func New() *Policy {
	return &Policy{BoundFactor: 1.25, Headroom: 0, Spread: 2, MinSpread: 1, HintMaxAge: 5 * time.Second}
}

// Classes of candidates, best first.
const (
	classToken = iota
	// classHome are the instances of the document with room, classSpill the others with room.
	classHome
	classSpill
	// classTight have room for chats with a token only.
	classTight
	// classFull have no room by their last report, which may be old, so they are still tried.
	classFull
	classNotReady
)

// decision is what Order derives from request and pool before it ranks candidates.
type decision struct {
	target int
	token  placement.TokenState
	// width is the number of instances that share the document when its holders are not known.
	width int
	// threshold is the lowest score of those instances.
	threshold uint64
	// soft and hard are the highest loads after admission without and with a token.
	soft, hard int64
	domain     int
	// homeWork and spillWork are the expected work where the document is cached and elsewhere.
	homeWork, spillWork int64
	// byChat is set for a chat that returns without a token, useHolders when the instances of the
	// document are known from hints.
	byChat, useHolders bool
}

func (p *Policy) decide(req *placement.Request, pool *placement.Pool) decision {
	d := decision{
		width:     p.width(req, pool),
		soft:      pool.Bound(1+(p.BoundFactor-1)*(1-p.Headroom), req.Work),
		hard:      pool.Bound(p.BoundFactor, req.Work),
		domain:    pool.Domain(req.FailureDomain),
		byChat:    req.Returning && req.Token == nil,
		homeWork:  req.Work - req.DocumentWork,
		spillWork: req.Work,
	}
	d.target, d.token = placement.TokenTarget(req, pool)
	d.useHolders = !d.byChat && len(req.Holders) > 0
	if !d.useHolders {
		d.threshold = placement.Threshold(req.Group, d.width, pool)
	}
	return d
}

// width returns the number of instances that share the group's chats.
func (p *Policy) width(req *placement.Request, pool *placement.Pool) int {
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
		rank := placement.Score(req.Group, c.Hash)
		home := rank >= d.threshold
		if d.useHolders {
			home = slices.Contains(req.Holders, c.Hash)
		}
		rank >>= 1
		if home {
			rank = homeRank(&d, req, c, pool.Near(i, d.domain))
		}
		class := p.class(&d, c, home)
		if i == d.target {
			class = classToken
		}
		r.Add(class, rank, i)
	}
	return r.Append(dst[:0])
}

func (p *Policy) class(d *decision, c *placement.Candidate, home bool) int {
	if !c.Ready {
		return classNotReady
	}
	after, withRoom := c.Load+d.spillWork, classSpill
	if home {
		after, withRoom = c.Load+d.homeWork, classHome
	}
	switch {
	case c.LoadAge < 0 || c.LoadAge > p.HintMaxAge || after <= d.soft:
		return withRoom
	case after <= d.hard:
		return classTight
	}
	return classFull
}

// Layout of a rank: the instances of the document go before the others of their class, then the
// near failure domain when there is no document whose reuse that would cost, then the lower load.
const (
	homeBit = 1 << 63
	nearBit = 1 << 62
	// loadUnit is the number of tokens by which loads must differ to count, as a power of two.
	loadUnit  = 6
	loadBits  = 31 - loadUnit
	loadShift = 62 - loadBits
)

// homeRank ranks an instance of the document by load, and among equal loads by the chat. A chat
// that returns without a token is ranked by the chat alone, so that it finds the same instance on
// every later turn.
func homeRank(d *decision, req *placement.Request, c *placement.Candidate, near bool) uint64 {
	rank := uint64(homeBit)
	if req.Group == 0 && near {
		rank |= nearBit
	}
	byChat := placement.Score(req.Chat, c.Hash) >> 2
	if d.byChat {
		return rank | byChat
	}
	room := uint64(math.MaxInt32-min(c.Load, math.MaxInt32)) >> loadUnit
	return rank | room<<loadShift | byChat>>loadBits
}

// Explain implements placement.Policy.
func (p *Policy) Explain(req *placement.Request, pool *placement.Pool, order []int) string {
	if req.KeyHash != 0 {
		return placement.Explain("affinity", fmt.Sprintf("key=%016x", req.KeyHash), pool, order)
	}
	d := p.decide(req, pool)
	details := fmt.Sprintf("token=%s; group=%016x; spread=%d; holders=%d; bound=%d; bound without token=%d; work=%d",
		d.token, req.Group, d.width, len(req.Holders), d.hard, d.soft, req.Work)
	return placement.Explain("affinity", details, pool, order)
}
