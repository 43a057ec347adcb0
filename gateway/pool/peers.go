package pool

import (
	"time"

	"jacinthfork.example/jacinthfork/internal/rendezvous"
)

// Key names an instance between routers in 4 bytes. Two of 600 instances share a key in one fleet of 24,000; their
// loads at other routers then count for both.
type Key uint32

// KeyOf returns the key of an instance.
func KeyOf(id string) Key { return keyOf(rendezvous.Hash(id)) }

func keyOf(hash uint64) Key { return Key(hash >> 32) }

// Load is what one router has in flight at one instance.
type Load struct {
	Requests int
	// Tokens are prompt tokens still to be read.
	Tokens int
	// Ejected is set while the router keeps requests from the instance.
	Ejected bool
}

// peerLoad is what one other router told last.
type peerLoad struct {
	at    time.Time
	loads map[Key]Load
}

// SetPeer replaces what another router has in flight.
func (r *Registry) SetPeer(peer string, loads map[Key]Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgetPeer(peer)
	if r.isolated(loads) {
		for key, load := range loads {
			load.Ejected = false
			loads[key] = load
		}
	}
	r.peers[peer] = &peerLoad{at: r.now(), loads: loads}
	for key, load := range loads {
		for _, m := range r.byKey[key] {
			m.addPeer(load)
		}
	}
}

// isolated reports whether a router has ejected so many instances that its own links are the likely cause.
func (r *Registry) isolated(loads map[Key]Load) bool {
	ejected := 0
	for _, load := range loads {
		if load.Ejected {
			ejected++
		}
	}
	return ejected*isolatedShare > len(r.members)
}

// isolatedShare is the part of all instances, one in so many, above which a router that has ejected them is
// taken to be cut off itself.
const isolatedShare = 3

func (r *Registry) forgetPeer(peer string) {
	p, ok := r.peers[peer]
	if !ok {
		return
	}
	delete(r.peers, peer)
	for key, load := range p.loads {
		for _, m := range r.byKey[key] {
			m.removePeer(load)
		}
	}
}

// Own returns what this router has in flight and which instances it has ejected, without instances of
// which there is nothing to tell.
func (r *Registry) Own() map[Key]Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[Key]Load)
	now := r.now()
	for _, m := range r.members {
		load := m.own
		load.Ejected = m.health.ejected(now)
		if load != (Load{}) {
			out[keyOf(m.hash)] = load
		}
	}
	return out
}

// Peers returns the number of other routers heard lately.
func (r *Registry) Peers() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.peers)
}
