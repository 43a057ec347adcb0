package twochoices

import (
	"testing"

	"github.com/matryer/is"
	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/placement"
)

// The less loaded of two instances must come first, but never before a ready one if it is not ready itself.
// Requests with an idempotency key must ignore loads.
func TestLessLoadedComesFirstWithoutKey(t *testing.T) {
	is := is.New(t)
	p, err := kernel.Load[placement.Policy](kernel.NewContext("r", nil), kernel.KindPlacement, "twochoices", nil)
	is.NoErr(err)
	list := []placement.Candidate{{ID: "a", Ready: true, Load: 9}, {ID: "b", Ready: true, Load: 1}}
	pool := placement.NewPool("p", list, 5)
	list[1].Ready = false
	notReady := placement.NewPool("p", list, 5)
	for range 50 {
		is.Equal(pool.At(p.Order(nil, &placement.Request{}, pool)[0]).ID, "b")
		is.Equal(notReady.At(p.Order(nil, &placement.Request{}, notReady)[0]).ID, "a")
	}
	is.Equal(p.Order(nil, &placement.Request{KeyHash: 9}, pool), placement.KeyOrder(nil, 9, pool))
}
