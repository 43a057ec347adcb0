// Package twochoices implements the power of two random choices: the less loaded of two random instances
// is tried first. It is a baseline in the comparison of placement policies.
package twochoices

import (
	"math/rand/v2"

	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/placement"
)

func init() {
	kernel.Register(kernel.KindPlacement, "twochoices", func() any { return &Policy{draw: rand.Uint64} })
}

// Policy orders pairs of random instances by load. It has no settings.
type Policy struct {
	draw func() uint64
}

// New returns a policy that uses the given random source, for reproducible runs.
func New(draw func() uint64) *Policy { return &Policy{draw: draw} }

// Order implements placement.Policy. It sorts each consecutive pair of a random order by load, so that
// every further attempt also goes to the less loaded of two. A pair of which only one is ready keeps its
// order, which has the ready one first.
func (p *Policy) Order(dst []int, req *placement.Request, pool *placement.Pool) []int {
	if req.KeyHash != 0 {
		return placement.KeyOrder(dst, req.KeyHash, pool)
	}
	dst = placement.KeyOrder(dst, p.draw(), pool)
	for i := 0; i+1 < len(dst); i += 2 {
		a, b := pool.At(dst[i]), pool.At(dst[i+1])
		if a.Ready == b.Ready && b.Load < a.Load {
			dst[i], dst[i+1] = dst[i+1], dst[i]
		}
	}
	return dst
}

// Explain implements placement.Policy.
func (*Policy) Explain(_ *placement.Request, pool *placement.Pool, order []int) string {
	return placement.Explain("twochoices", "less loaded of two random instances first", pool, order)
}
