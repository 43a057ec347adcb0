package random

import (
	"slices"
	"testing"

	"github.com/matryer/is"
	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/placement"
)

// Settings select the policy by name. Its order must be random except for requests with an idempotency key,
// because a random order would run a repeated action on several instances.
func TestOrderIsRandomWithoutKey(t *testing.T) {
	is := is.New(t)
	p, err := kernel.Load[placement.Policy](kernel.NewContext("r", nil), kernel.KindPlacement, "random", nil)
	is.NoErr(err)
	pool := placement.NewPool("p", []placement.Candidate{{ID: "a", Ready: true}, {ID: "b", Ready: true}}, 0)
	req := &placement.Request{KeyHash: 9}
	is.Equal(p.Order(nil, req, pool), placement.KeyOrder(nil, 9, pool))
	firsts := map[int]bool{}
	for range 100 {
		firsts[p.Order(nil, &placement.Request{}, pool)[0]] = true
	}
	is.Equal(len(firsts), 2)
	is.True(slices.Contains(kernel.Names(kernel.KindPlacement), "random"))
}
