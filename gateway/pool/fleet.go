package pool

import (
	"maps"
	"slices"
	"time"

	"jacinthfork.example/jacinthfork/internal/rendezvous"
)

// Key identifies an instance between routers in 4 bytes. The probability that any two of 600 instances share a
// key is 1 in 24,000; their loads then count for both.
type Key uint32

// KeyOf returns the key of the instance with the given ID.
func KeyOf(id string) Key { return keyOf(rendezvous.Hash(id)) }

func keyOf(hash uint64) Key { return Key(hash >> 32) }

// Load is what one router has in flight at one instance.
type Load struct {
	Requests int
	// Tokens is the number of prompt tokens that are still to be processed.
	Tokens int
}

// Router is a router of the fleet. Its incarnation changes when it restarts.
type Router struct {
	Name        string
	Incarnation uint64
}

// SetFleet sets the routers that are alive, this one included, and by them the keeper of each instance. It drops the
// reservations of routers that are gone or have restarted since the last call. Those of routers that are leaving stay, until
// they are released or their time is over: the requests are still in flight. It returns the names
// of those that are gone or have restarted.
func (r *Registry) SetFleet(self string, routers []Router, leaving ...Router) (gone []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, before := r.self == self && len(r.routers) > 0, make(map[string]bool, len(r.routers))
	for _, router := range r.routers {
		before[router.name] = true
	}
	r.self = self
	r.routers = r.routers[:0]
	var added []rankedRouter
	incarnations := make(map[string]uint64, len(routers))
	for _, router := range routers {
		ranked := rankedRouter{name: router.Name, hash: rendezvous.Hash(router.Name)}
		if r.routers = append(r.routers, ranked); !before[router.Name] {
			added = append(added, ranked)
		}
		delete(before, router.Name)
		incarnations[router.Name] = router.Incarnation
	}
	for _, router := range leaving {
		incarnations[router.Name] = router.Incarnation
	}
	// A router that was not known before is not gone: its first reservations may come before its membership.
	for name, before := range r.incarnations {
		if incarnation, ok := incarnations[name]; !ok || incarnation != before {
			gone = append(gone, name)
		}
	}
	for _, m := range r.members {
		former := m.keeper
		changed := false
		if left := former == "" && before[self] || before[former]; !known || left {
			changed = r.setKeeper(m)
		} else {
			// Each instance before each router, at each join of a start of 300 routers, takes most of a second.
			changed = r.moveKeeper(m, added)
		}
		if changed || slices.Contains(gone, former) {
			r.endWaits(m.incarnation(), allWaits)
		}
		maps.DeleteFunc(m.holds, func(h holder, _ time.Time) bool { return slices.Contains(gone, h.router) })
	}
	for _, t := range r.tombstones {
		maps.DeleteFunc(t.member.holds, func(h holder, _ time.Time) bool { return slices.Contains(gone, h.router) })
	}
	maps.DeleteFunc(r.early, func(h holder, _ earlyHold) bool { return slices.Contains(gone, h.router) })
	r.incarnations = incarnations
	return gone
}

// SetLost sets the number of routers that cannot be reached, which may have stopped or be cut off from this one.
func (r *Registry) SetLost(routers int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost = routers
}

type rankedRouter struct {
	name string
	hash uint64
}

// setKeeper sets the keeper of an instance: the first of its rendezvous order among the routers. It reports whether that is
// another one. What this router knows of an instance that it kept so far stays as the last thing it was told.
func (r *Registry) setKeeper(m *member) (changed bool) {
	keeper, score := firstOf(m.hash, r.routers)
	return r.assignKeeper(m, keeper, score)
}

// moveKeeper is setKeeper after some routers were added and the keeper has stayed.
func (r *Registry) moveKeeper(m *member, added []rankedRouter) (changed bool) {
	if keeper, score := firstOf(m.hash, added); keeper != "" && score > m.keeperScore {
		return r.assignKeeper(m, keeper, score)
	}
	return false
}

func (r *Registry) assignKeeper(m *member, keeper string, score uint64) (changed bool) {
	if m.keeperScore = score; keeper == r.self {
		keeper = ""
	}
	if m.keeper == "" && keeper != "" {
		m.told, m.toldAt = len(m.holds), r.now()
	}
	if m.keeper != "" && keeper == "" {
		m.keptSince = r.now()
		r.inheritLimit(m, r.now())
	}
	changed = m.keeper != keeper
	m.keeper = keeper
	return changed
}

// KeeperOf returns the router that keeps an instance and its incarnation. The name is "" if it is this one.
func (r *Registry) KeeperOf(id string) Router {
	r.mu.Lock()
	defer r.mu.Unlock()
	keeper := r.firstRouter(rendezvous.Hash(id))
	return Router{Name: keeper, Incarnation: r.incarnations[keeper]}
}

// PoolLoad is what one or all routers have in one pool.
type PoolLoad struct {
	// Requests are in flight.
	Requests uint32
	// Ejected is the number of ejected instances among those that the routers keep.
	Ejected uint32
	// Reduced is by how many requests the limits of the engines that the routers keep are below the slots.
	Reduced uint32
}

// Add returns the sum of two loads.
func (l PoolLoad) Add(o PoolLoad) PoolLoad {
	return PoolLoad{Requests: l.Requests + o.Requests, Ejected: l.Ejected + o.Ejected, Reduced: l.Reduced + o.Reduced}
}

// SetFleetLoad sets the load by pool of all routers together, this one included.
func (r *Registry) SetFleetLoad(byPool map[uint32]PoolLoad) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fleetLoad, r.fleetLoadAt = byPool, r.now()
}

// PoolHash identifies a pool between routers.
func PoolHash(pool string) uint32 { return uint32(rendezvous.Hash(pool) >> 32) }

// LocalLoad returns this router's load by pool.
func (r *Registry) LocalLoad() map[uint32]PoolLoad {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	out := make(map[uint32]PoolLoad)
	for _, m := range r.members {
		load := PoolLoad{Requests: uint32(max(0, m.local.Requests))}
		if m.keeper == "" && m.health.ejected(now) {
			load.Ejected = 1
		}
		if r.usable(m, now) {
			load.Reduced = uint32(r.reduction(m, now))
		}
		if load == (PoolLoad{}) {
			continue
		}
		out[PoolHash(m.Pool)] = out[PoolHash(m.Pool)].Add(load)
	}
	return out
}

// peerRequests returns the number of requests that the other routers have in flight in a pool.
func (r *Registry) peerRequests(pool string) int {
	own := 0
	for _, m := range r.pools[pool] {
		own += m.local.Requests
	}
	return max(0, int(r.fleetLoad[PoolHash(pool)].Requests)-own)
}

// PeerCount returns the number of other routers that are alive.
func (r *Registry) PeerCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(0, len(r.routers)-1)
}
