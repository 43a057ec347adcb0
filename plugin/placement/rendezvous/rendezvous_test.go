package rendezvous

import (
	"testing"

	"github.com/matryer/is"
	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/placement"
)

// The idempotency key takes precedence over the document group, and the group over the chat.
func TestKeyPrecedence(t *testing.T) {
	is := is.New(t)
	p, err := kernel.Load[placement.Policy](kernel.NewContext("r", nil), kernel.KindPlacement, "rendezvous", nil)
	is.NoErr(err)
	list := []placement.Candidate{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}, {ID: "e"}}
	pool := placement.NewPool("p", list, 0)
	req := &placement.Request{Chat: 1, Group: 2, KeyHash: 3}
	is.Equal(p.Order(nil, req, pool), placement.KeyOrder(nil, 3, pool))
	req.KeyHash = 0
	is.Equal(p.Order(nil, req, pool), placement.KeyOrder(nil, 2, pool))
	req.Group = 0
	is.Equal(p.Order(nil, req, pool), placement.KeyOrder(nil, 1, pool))
}
