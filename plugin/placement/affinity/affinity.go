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
	// MinSpread is the least number of instances for a document; the less loaded goes first. A second
	// copy of every document pushes chats out of the caches where documents are many.
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
	// width is the number of instances that share the document.
	width int
	// threshold is the lowest rendezvous score of those instances.
	threshold uint64
	// soft and hard are the highest loads after admission without and with a token.
	soft, hard int64
	mean       int64
	loadScale  float64
	domain     int
	// homeWork and spillWork are the expected work where the document is cached and elsewhere.
	homeWork, spillWork int64
	// byChat is set for a chat that returns without a token, useHolders when the instances of the
	// document are known from hints.
	byChat, useHolders bool
	// holderBits has bit Hash mod 64 set for each holder, which spares most searches.
	holderBits uint64
}

func (p *Policy) decide(req *placement.Request, pool *placement.Pool) decision {
	d := decision{
		width:     p.width(req, pool),
		soft:      pool.Bound(1+(p.BoundFactor-1)*(1-p.Headroom), req.Work),
		hard:      pool.Bound(p.BoundFactor, req.Work),
		mean:      pool.Mean(),
		domain:    pool.Domain(req.FailureDomain),
		byChat:    req.Returning && req.Token == nil,
		homeWork:  req.Work - req.DocumentWork,
		spillWork: req.Work,
	}
	d.loadScale = loadSteps / float64(max(d.hard, 1))
	d.target, d.token = placement.TokenTarget(req, pool)
	d.useHolders = !d.byChat && len(req.Holders) > 0
	if d.useHolders {
		d.holderBits, d.threshold = holders(req, d.width)
	} else {
		d.threshold = placement.Threshold(req.Group, d.width, pool)
	}
	return d
}

// holders returns a bit set of the hashes of the document's instances, and the rendezvous score that
// the first width of them have at least.
func holders(req *placement.Request, width int) (bits, threshold uint64) {
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
		home, rank := p.rank(&d, req, c, pool.Near(i, d.domain))
		class := p.class(&d, c, home)
		if i == d.target {
			class = classToken
		}
		r.Add(class, rank, i)
	}
	return r.Append(dst[:0])
}

func (p *Policy) unknown(c *placement.Candidate) bool {
	return c.LoadAge < 0 || c.LoadAge > p.HintMaxAge
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
	case p.unknown(c) || after <= d.soft:
		return withRoom
	case after <= d.hard:
		return classTight
	}
	return classFull
}

// Layout of a rank: the instances of the document go before the others of their class, then the
// near failure domain when there is no document whose reuse that would cost, then the lower load,
// then the rendezvous score.
const (
	homeBit   = 1 << 63
	nearBit   = 1 << 62
	loadBits  = 14
	loadShift = 62 - loadBits
	maxLoad   = 1<<loadBits - 1
	// loadSteps is the number of steps that a load equal to the bound is divided into.
	loadSteps = 4096
)

// rank says whether the instance is one of the document's, and ranks it within its class. Of the
// instances known to hold the document the first width go first, so that the other copies are no
// longer used and leave their caches; instances that do not hold it are ranked by load, because
// routers learn where a chat went. When no holders are known the others are ranked in the rendezvous
// order of the document.
func (p *Policy) rank(d *decision, req *placement.Request, c *placement.Candidate, near bool) (home bool, rank uint64) {
	score := placement.Score(req.Group, c.Hash)
	if d.useHolders {
		switch {
		case d.holderBits>>(c.Hash%64)&1 == 0 || !slices.Contains(req.Holders, c.Hash):
			return false, p.loadRank(d, c, score)
		case score < d.threshold:
			return true, homeBit>>1 | p.loadRank(d, c, score)
		}
		return true, homeBit | p.loadRank(d, c, score)
	}
	if score < d.threshold {
		return false, score >> 2
	}
	rank = homeBit
	if req.Group == 0 && near {
		rank |= nearBit
	}
	if d.byChat {
		return true, rank | placement.Score(req.Chat, c.Hash)>>2
	}
	return true, rank | p.loadRank(d, c, score)
}

// loadRank ranks lower loads higher, and equal loads by the score. An instance without a recent
// report counts as having the mean load, or every router would send it all new chats.
func (p *Policy) loadRank(d *decision, c *placement.Candidate, score uint64) uint64 {
	tokens := c.Load
	if p.unknown(c) {
		tokens = d.mean
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
		d.token, req.Group, d.width, len(req.Holders), d.hard, d.soft, req.Work)
	return placement.Explain("affinity", details, pool, order)
}
