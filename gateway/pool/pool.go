// Package pool decides which backend server runs a request that a router sends itself. It holds what
// one router knows of the instances of each pool: what is published, what this router and the others
// have in flight there, which prompts were read where, and how the last requests ended. It does no
// input or output.
//
// # Load patterns
//
// Returning chats with long prompts: a request goes where most of its prompt was read before, and a
// prompt that nobody read yet goes to the first instances of its rendezvous order, so that routers
// that know nothing of each other choose the same ones.
//
// One prompt that takes much of the traffic: no instance gets a request above Settings.BoundFactor
// times the pool's mean plus Settings.BoundExtra, counted over all routers. The next instance of the
// order then becomes another home.
//
// An instance that fails: it is left for a while that doubles, and taken back by a single request.
// At most half of a pool is left at a time for failed requests, because a cause that all instances
// share must not empty the pool.
package pool

import (
	"sync"
	"time"

	"jacinthfork.example/jacinthfork/internal/rendezvous"
)

// Settings of a Registry. Start from DefaultSettings.
type Settings struct {
	// BoundFactor and BoundExtra bound the requests in flight at one instance: factor times the mean
	// of its pool plus extra.
	BoundFactor float64
	BoundExtra  float64
	// RequestTokens is the cost of one request in flight in prompt tokens, when instances are compared.
	RequestTokens int
	// SecondHomeTokens is how many more prompt tokens must wait at the first instance of a prompt's order
	// than at the second for a prompt that nobody holds to be read by the second.
	SecondHomeTokens int
	// FetchTokens is the number of prompt tokens above which an instance fetches what another one holds
	// instead of reading it.
	FetchTokens int
	// PeerLoadAge is the age at which what another router has in flight no longer counts.
	PeerLoadAge time.Duration
	// StallAfter is the time without any byte from an instance with work after which it gets no more.
	StallAfter time.Duration
	// LapseGrace is how long an entry that vanished while the store was unavailable stays usable after
	// the store's return.
	LapseGrace time.Duration
}

// DefaultSettings returns the settings for pools of a few to a few hundred instances.
func DefaultSettings() Settings {
	return Settings{
		BoundFactor:      1.9,
		BoundExtra:       2,
		RequestTokens:    200,
		SecondHomeTokens: 4096,
		FetchTokens:      256,
		PeerLoadAge:      3 * time.Second,
		StallAfter:       time.Second,
		LapseGrace:       2200 * time.Millisecond,
	}
}

// Instance is one backend server as published.
type Instance struct {
	ID            string
	Pool          string
	Address       string
	FailureDomain string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Leaving is set from the announcement of its departure.
	Leaving bool
	// Born is the Unix millisecond of its start. An instance may start again under its old ID.
	Born int64
	// Sequence grows with each publication of one start.
	Sequence int64
}

// sameContent reports whether a newer publication says nothing new.
func (i Instance) sameContent(o Instance) bool {
	i.Sequence = o.Sequence
	return i == o
}

// Load is what one router has in flight at one instance.
type Load struct {
	Requests int
	// Tokens are prompt tokens still to be read.
	Tokens int
	// Left is set while the router leaves the instance alone.
	Left bool
}

// Registry is the knowledge of one router. It is safe for concurrent use.
type Registry struct {
	mu       sync.Mutex
	settings Settings
	domain   string
	now      func() time.Time
	members  map[string]*member
	pools    map[string][]*member
	peers    map[string]*peerLoad
	// removed holds the last publication of instances that are gone, so that one that arrives late
	// does not bring them back.
	removed map[string]removal
	// cacheTokens is the prompt memory of an instance by pool.
	cacheTokens map[string]int
	// failures is the share of requests that fail by pool.
	failures map[string]float64
	// held is the mean time that requests take by pool.
	held map[string]time.Duration
	// returnedAt is when the store answered again after an outage.
	returnedAt time.Time
	// placed are the prompts placed lately, oldest first, for the other routers.
	placed []Placement
}

type removal struct {
	last Instance
	at   time.Time
}

// removalMemory is how long a removed instance is remembered; late publications are seconds old.
const removalMemory = time.Minute

type peerLoad struct {
	at    time.Time
	loads map[string]Load
}

// NewRegistry returns an empty registry of a router in the given failure domain.
func NewRegistry(settings Settings, domain string) *Registry {
	return &Registry{
		settings:    settings,
		domain:      domain,
		now:         time.Now,
		members:     make(map[string]*member),
		pools:       make(map[string][]*member),
		peers:       make(map[string]*peerLoad),
		removed:     make(map[string]removal),
		cacheTokens: make(map[string]int),
		failures:    make(map[string]float64),
		held:        make(map[string]time.Duration),
	}
}

// SetCacheTokens sets the prompt memory of each instance by pool, in tokens.
func (r *Registry) SetCacheTokens(byPool map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cacheTokens = byPool
	for _, m := range r.members {
		m.cache.capacity = byPool[m.Pool]
	}
}

// Change says what a publication changed.
type Change uint8

// Changes.
const (
	Unchanged Change = iota
	Joined
	Restarted
	Left
	Updated
	Removed
	// Returned is a publication of an instance whose entry had lapsed. Peers that were told of the lapse
	// must be told of it.
	Returned
	// Stale is a publication that was written before a known one.
	Stale
)

// String returns the change as logged.
func (c Change) String() string {
	return [...]string{"unchanged", "joined", "restarted", "leaving", "updated", "removed", "returned", "stale"}[c]
}

// Publish takes a publication over. One that is older than what is known is ignored.
func (r *Registry) Publish(i Instance) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	if gone, ok := r.removed[i.ID]; ok && older(i, gone.last) {
		return Stale
	}
	m, ok := r.members[i.ID]
	if !ok {
		delete(r.removed, i.ID)
		r.add(i)
		return Joined
	}
	if older(i, m.Instance) {
		return Stale
	}
	lapsed := !m.lapsedAt.IsZero()
	m.lapsedAt = time.Time{}
	if m.sameContent(i) {
		m.Instance = i
		if lapsed {
			return Returned
		}
		return Unchanged
	}
	if i.Born != m.Born || i.Address != m.Address || i.Pool != m.Pool {
		r.drop(m)
		r.add(i)
		return Restarted
	}
	leaves := i.Leaving && !m.Leaving
	m.Instance = i
	if leaves {
		return Left
	}
	return Updated
}

// older reports whether a publication was written before another one of the same instance. Entries
// of one start are ordered by sequence, and an equal sequence is the entry that is known.
func older(i, known Instance) bool {
	if i.Born != known.Born {
		return i.Born < known.Born
	}
	return i.Sequence < known.Sequence
}

func (r *Registry) add(i Instance) {
	m := &member{Instance: i, hash: rendezvous.Hash(i.ID), cache: newPromptCache(r.cacheTokens[i.Pool])}
	r.members[i.ID] = m
	r.pools[i.Pool] = append(r.pools[i.Pool], m)
	for _, p := range r.peers {
		m.addPeer(p.loads[i.ID])
	}
}

func (r *Registry) drop(m *member) {
	delete(r.members, m.ID)
	list := r.pools[m.Pool]
	for at, other := range list {
		if other == m {
			r.pools[m.Pool] = append(list[:at:at], list[at+1:]...)
			break
		}
	}
}

// Remove takes the removal of an entry over. While the store is unavailable entries lapse although
// their instances live; such an entry stays usable until LapseGrace after the store's return.
func (r *Registry) Remove(id string) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.members[id]
	if !ok || !m.lapsedAt.IsZero() {
		return Unchanged
	}
	now := r.now()
	if now.Sub(r.returnedAt) < r.settings.LapseGrace {
		m.lapsedAt = now
		return Unchanged
	}
	r.removeNow(m, now)
	return Removed
}

func (r *Registry) removeNow(m *member, now time.Time) {
	r.drop(m)
	r.removed[m.ID] = removal{last: m.Instance, at: now}
}

// Keep removes all instances whose IDs are not listed, as a complete list of entries says.
func (r *Registry) Keep(ids map[string]bool) (removed []string) {
	r.mu.Lock()
	var missing []string
	for id := range r.members {
		if !ids[id] {
			missing = append(missing, id)
		}
	}
	r.mu.Unlock()
	for _, id := range missing {
		if r.Remove(id) == Removed {
			removed = append(removed, id)
		}
	}
	return removed
}

// StoreReturned notes that the store answers again after an outage.
func (r *Registry) StoreReturned() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.returnedAt = r.now()
}

// Sweep ends the grace of lapsed entries and forgets old removals and silent peers. freshAt is the time
// up to which all publications are known: an entry counts as missing only when it is missing from what
// was published after its grace. It returns the instances that are now gone.
func (r *Registry) Sweep(freshAt time.Time) (gone []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for _, m := range r.members {
		if !m.lapsedAt.IsZero() && freshAt.Sub(r.returnedAt) >= r.settings.LapseGrace {
			gone = append(gone, m.ID)
			r.removeNow(m, now)
		}
	}
	for id, gone := range r.removed {
		if now.Sub(gone.at) > removalMemory {
			delete(r.removed, id)
		}
	}
	for peer, p := range r.peers {
		if now.Sub(p.at) > r.settings.PeerLoadAge {
			r.forgetPeer(peer)
		}
	}
	return gone
}

// Mismatch notes that the address of an instance belongs to another one. It gets no more requests
// until it is published again.
func (r *Registry) Mismatch(id string, born int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m, ok := r.members[id]; ok && m.Born == born {
		r.removeNow(m, r.now())
	}
}

// SetPeer replaces what another router has in flight.
func (r *Registry) SetPeer(peer string, loads map[string]Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgetPeer(peer)
	if r.isolated(loads) {
		for id, load := range loads {
			load.Left = false
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

// isolated reports whether a router leaves so many instances that its own links are the likely cause.
func (r *Registry) isolated(loads map[string]Load) bool {
	left := 0
	for _, load := range loads {
		if load.Left {
			left++
		}
	}
	return left*isolatedShare > len(r.members)
}

// isolatedShare is the part of all instances, one in so many, above which a router that leaves them is
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

// Own returns what this router has in flight and which instances it leaves alone, without instances of
// which there is nothing to tell.
func (r *Registry) Own() map[string]Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]Load)
	now := r.now()
	for id, m := range r.members {
		load := m.own
		load.Left = m.health.left(now)
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

// Summary is the state of one pool.
type Summary struct {
	Members, Usable, Leaving, Ejected int
	// Slots is summed over usable instances; Own and Peers are requests in flight.
	Slots, Own, Peers int
}

// Summary returns the state of a pool.
func (r *Registry) Summary(pool string) Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	var s Summary
	for _, m := range r.pools[pool] {
		s.Members++
		s.Own += m.own.Requests
		s.Peers += m.peer.Requests
		switch {
		case m.Leaving:
			s.Leaving++
		case m.health.left(now):
			s.Ejected++
		default:
			s.Usable++
			s.Slots += m.Slots
		}
	}
	return s
}

// Known reports whether any instance is known.
func (r *Registry) Known() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.members) > 0
}
