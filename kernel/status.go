package kernel

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
)

// Status is what a node says about itself under /debug/fleet.
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
	// Members are the instances that a router knows.
	Members []MemberStatus `json:"members,omitempty"`
}

// MemberStatus is one instance as a router sees it.
type MemberStatus struct {
	Instance    string `json:"instance"`
	Pool        string `json:"pool"`
	Incarnation uint64 `json:"incarnation"`
	Ready       bool   `json:"ready"`
	Leaving     bool   `json:"leaving"`
	Work        uint64 `json:"work_tokens"`
}

// WriteJSON writes value as the answer of an operators' page.
func WriteJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// dialerSetter is implemented by adapters that let the kernel open their connections.
type dialerSetter interface {
	SetDialer(dial func(ctx context.Context, network, address string) (net.Conn, error))
}

// CountConnections makes an adapter use dial, so that its bytes are counted. An adapter without
// SetDialer is left as it is.
func CountConnections(adapter any, dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	if a, ok := adapter.(dialerSetter); ok {
		a.SetDialer(dial)
	}
}
