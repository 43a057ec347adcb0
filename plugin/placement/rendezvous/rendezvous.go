// Package rendezvous places requests by rendezvous hashing of the document group, regardless of load. It
// is the baseline without a load bound in the comparison of placement policies.
package rendezvous

import (
	"fmt"

	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/placement"
)

func init() {
	kernel.Register(kernel.KindPlacement, "rendezvous", func() any { return new(Policy) })
}

// Policy orders instances by rendezvous hashing. It has no settings.
type Policy struct{}

// Order implements placement.Policy.
func (*Policy) Order(dst []int, req *placement.Request, pool *placement.Pool) []int {
	return placement.KeyOrder(dst, key(req), pool)
}

// key returns the hash to place by: the idempotency key if there is one, else the document group, else
// the chat.
func key(req *placement.Request) uint64 {
	if req.KeyHash != 0 {
		return req.KeyHash
	}
	if req.Group != 0 {
		return req.Group
	}
	return req.Chat
}

// Explain implements placement.Policy.
func (*Policy) Explain(req *placement.Request, pool *placement.Pool, order []int) string {
	return placement.Explain("rendezvous", fmt.Sprintf("key=%016x", key(req)), pool, order)
}
