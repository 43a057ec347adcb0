// Package random orders instances at random. It is a baseline in the comparison of placement policies.
package random

import (
	"math/rand/v2"

	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/placement"
)

func init() {
	kernel.Register(kernel.KindPlacement, "random", func() any { return &Policy{draw: rand.Uint64} })
}

// Policy orders instances at random. It has no settings.
type Policy struct {
	draw func() uint64
}

// New returns a policy that uses the given random source, for reproducible runs.
func New(draw func() uint64) *Policy { return &Policy{draw: draw} }

// Order implements placement.Policy. It returns the rendezvous order of a random key.
func (p *Policy) Order(dst []int, req *placement.Request, pool *placement.Pool) []int {
	if req.KeyHash != 0 {
		return placement.KeyOrder(dst, req.KeyHash, pool)
	}
	return placement.KeyOrder(dst, p.draw(), pool)
}

// Explain implements placement.Policy.
func (*Policy) Explain(_ *placement.Request, pool *placement.Pool, order []int) string {
	return placement.Explain("random", "order drawn at random", pool, order)
}
