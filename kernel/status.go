package kernel

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
)

// Status is the state of a node, that is a router or a sidecar, as served under /debug/fleet.
type Status struct {
	Instance       string  `json:"instance"`
	Role           string  `json:"role"`
	Pool           string  `json:"pool,omitempty"`
	Incarnation    uint64  `json:"incarnation"`
	ConfigRevision uint64  `json:"config_revision"`
	ConfigAsOf     uint64  `json:"config_as_of"`
	Ready          bool    `json:"ready"`
	Leaving        bool    `json:"leaving"`
	Work           uint64  `json:"work_tokens"`
	PoolMean       float64 `json:"pool_mean_tokens,omitempty"`
	PoolMembers    int     `json:"pool_members,omitempty"`
	StaleMembers   int     `json:"stale_members,omitempty"`
	// Members are the instances in the view of a router. Sidecars leave it empty.
	Members []MemberStatus `json:"members,omitempty"`
}

// MemberStatus is the state of one instance in the view of a router.
type MemberStatus struct {
	Instance    string `json:"instance"`
	Pool        string `json:"pool"`
	Incarnation uint64 `json:"incarnation"`
	Ready       bool   `json:"ready"`
	Leaving     bool   `json:"leaving"`
	Work        uint64 `json:"work_tokens"`
}

// WriteJSON writes value as the JSON response of an operator endpoint.
func WriteJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// dialerSetter is implemented by adapters whose dial function can be replaced.
type dialerSetter interface {
	SetDialer(dial func(ctx context.Context, network, address string) (net.Conn, error))
}

// SetDialer makes an adapter open its connections with dial, so that their traffic is counted. It has
// no effect on an adapter without a SetDialer method.
func SetDialer(adapter any, dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	if a, ok := adapter.(dialerSetter); ok {
		a.SetDialer(dial)
	}
}
