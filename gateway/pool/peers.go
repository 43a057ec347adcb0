package pool

import "time"

// Load is what one router has in flight at one instance.
type Load struct {
	Requests int
	// Tokens are prompt tokens still to be read.
	Tokens int
	// Ejected is set while the router sends the instance nothing.
	Ejected bool
}

// peerLoad is what one other router told last.
type peerLoad struct {
	at    time.Time
	loads map[string]Load
}

// SetPeer replaces what another router has in flight.
func (r *Registry) SetPeer(peer string, loads map[string]Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgetPeer(peer)
	if r.isolated(loads) {
		for id, load := range loads {
			load.Ejected = false
			loads[id] = load
		}
	}
	r.peers[peer] = &peerLoad{at: r.now(), loads: loads}
	for id, load := range loads {
		if m, ok := r.members[id]; ok {
			m.addPeer(load)
		}
	}
}

// isolated reports whether a router has ejected so many instances that its own links are the likely cause.
func (r *Registry) isolated(loads map[string]Load) bool {
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
	for id, load := range p.loads {
		if m, ok := r.members[id]; ok {
			m.removePeer(load)
		}
	}
}

// Own returns what this router has in flight and which instances it has ejected, without instances of
// which there is nothing to tell.
func (r *Registry) Own() map[string]Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]Load)
	now := r.now()
	for id, m := range r.members {
		load := m.own
		load.Ejected = m.health.ejected(now)
		if load != (Load{}) {
			out[id] = load
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
