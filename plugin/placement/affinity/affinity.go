// Package affinity places a request where its prefix is cached, within the load bound of the
// sidecars: first the instance named by the placement token, then rendezvous order by document
// group, spread over more instances the more of the pool's work the document carries.
package affinity

import (
	"fmt"
	"math"
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
	return &Policy{BoundFactor: 1.25, Headroom: 0.5, Spread: 1.5, MinSpread: 1, HintMaxAge: 5 * time.Second}
}

// Classes of candidates, best first.
const (
	classToken = iota
	// classHome are the instances of the document with room for a chat without a token.
	classHome
	// classSpill are the other instances with such room.
	classSpill
	// classFull have room under the bound only for chats with a token, or no room by their hint.
	// The hint may be old, so they are still tried.
	classTight
	classFull
	classNotReady
)

// decision is what Order derives from request and pool before it ranks candidates.
type decision struct {
	target int
	token  placement.TokenState
	width  int
	// soft and hard are the highest loads after admission without and with a token.
	soft, hard int64
	domain     int
	// homeWork and spillWork are the expected work where the document is cached and elsewhere.
	homeWork, spillWork int64
}

func (p *Policy) decide(req *placement.Request, pool *placement.Pool) decision {
	d := decision{
		width:  p.width(req, pool),
		soft:   pool.Bound(1+(p.BoundFactor-1)*(1-p.Headroom), req.Work),
		hard:   pool.Bound(p.BoundFactor, req.Work),
		domain: pool.Domain(req.FailureDomain),

		homeWork:  req.Work - req.DocumentWork,
		spillWork: req.Work,
	}
	d.target, d.token = placement.TokenTarget(req, pool)
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
	dst = placement.KeyOrder(dst, req.Group, pool)
	r := placement.NewRanking()
	defer r.Release()
	for position, i := range dst {
		class := p.class(&d, pool.At(i), position)
		if i == d.target {
			class = classToken
		}
		r.Add(class, score(&d, req, pool, position, i), i)
	}
	return r.Append(dst[:0])
}

func (p *Policy) class(d *decision, c *placement.Candidate, position int) int {
	if !c.Ready {
		return classNotReady
	}
	after, withRoom := c.Load+d.spillWork, classSpill
	if position < d.width {
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

// firstBit puts the instances of the document before the others of their class, and for a request
// without a document the near failure domain before the others.
const firstBit = 1 << 63

// score ranks the instances of the document by the chat, so that chats are spread evenly and a
// chat without a token finds the same instance again, and the others by their position in the
// order of the document.
func score(d *decision, req *placement.Request, pool *placement.Pool, position, i int) uint64 {
	if position >= d.width {
		return firstBit - 1 - uint64(position)<<32
	}
	s := placement.Score(req.Chat, pool.At(i).Hash) >> 1
	if req.Group != 0 || pool.Near(i, d.domain) {
		s |= firstBit
	}
	return s
}

// Explain implements placement.Policy.
func (p *Policy) Explain(req *placement.Request, pool *placement.Pool, order []int) string {
	if req.KeyHash != 0 {
		return placement.Explain("affinity", fmt.Sprintf("key=%016x", req.KeyHash), pool, order)
	}
	d := p.decide(req, pool)
	details := fmt.Sprintf("token=%s; group=%016x; spread=%d; bound=%d; bound without token=%d; work=%d",
		d.token, req.Group, d.width, d.hard, d.soft, req.Work)
	return placement.Explain("affinity", details, pool, order)
}
