package pool

import (
	"time"

	"jacinthfork.example/jacinthfork/internal/rendezvous"
)

// Key identifies an instance between routers in 4 bytes. The probability that any two of 600 instances share a
// key is 1 in 24,000; the loads that other routers report then count for both.
type Key uint32

// KeyOf returns the key of the instance with the given ID.
func KeyOf(id string) Key { return keyOf(rendezvous.Hash(id)) }

func keyOf(hash uint64) Key { return Key(hash >> 32) }

// Load is what one router has in flight at one instance.
type Load struct {
	Requests int
	// Tokens is the number of prompt tokens that are still to be processed.
	Tokens int
	// Ejected is set while the router has ejected the instance.
	Ejected bool
}

// peerReport is the last load report of another router.
type peerReport struct {
	receivedAt time.Time
	loads      map[Key]Load
}

// SetPeerLoads replaces the loads reported by another router.
func (r *Registry) SetPeerLoads(peer string, loads map[Key]Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removePeer(peer)
	if r.likelyIsolated(loads) {
		for key, load := range loads {
			load.Ejected = false
			loads[key] = load
		}
	}
	r.peers[peer] = &peerReport{receivedAt: r.now(), loads: loads}
	for key, load := range loads {
		for _, m := range r.byKey[key] {
			m.addPeerLoad(load)
		}
	}
}

// likelyIsolated reports whether a router has ejected so many instances that its own network links are the
// likely cause.
func (r *Registry) likelyIsolated(loads map[Key]Load) bool {
	ejected := 0
	for _, load := range loads {
		if load.Ejected {
			ejected++
		}
	}
	return ejected*isolationDivisor > len(r.members)
}

// isolationDivisor sets the limit above which a router is taken to be isolated itself: it has ejected more
// than one in isolationDivisor of all instances.
const isolationDivisor = 3

func (r *Registry) removePeer(peer string) {
	report, ok := r.peers[peer]
	if !ok {
		return
	}
	delete(r.peers, peer)
	for key, load := range report.loads {
		for _, m := range r.byKey[key] {
			m.subtractPeerLoad(load)
		}
	}
}

// LocalLoads returns the load that this router has in flight and the instances that it has ejected. Instances
// without either are left out.
func (r *Registry) LocalLoads() map[Key]Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[Key]Load)
	now := r.now()
	for _, m := range r.members {
		load := m.local
		load.Ejected = m.health.ejected(now)
		if load != (Load{}) {
			out[keyOf(m.hash)] = load
		}
	}
	return out
}

// PeerCount returns the number of other routers that have reported recently.
func (r *Registry) PeerCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.peers)
}
