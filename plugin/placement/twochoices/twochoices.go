// Package twochoices tries the less loaded of two random instances first. It is a baseline in the
// comparison of policies.
package twochoices

import (
	"math/rand/v2"

	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/placement"
)

func init() {
	kernel.Register(kernel.KindPlacement, "twochoices", func() any { return &Policy{draw: rand.Uint64} })
}

// Policy has no settings.
type Policy struct {
	draw func() uint64
}

// New returns a policy that draws from the given source, for runs that must repeat.
func New(draw func() uint64) *Policy { return &Policy{draw: draw} }

// Order implements placement.Policy. Consecutive pairs of a random order are put in order of load,
// so that each further attempt is again the better of two. A pair is left alone when one of the
// two is not ready.
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
