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
// An instance that fails: it is ejected for a time that doubles, and readmitted by a single request. At
// most half of a pool is ejected at a time for failed requests, because a cause that all instances
// share must not empty the pool.
package pool

import (
	"sync"
	"time"
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

// Registry is the knowledge of one router. It is safe for concurrent use.
type Registry struct {
	mu       sync.Mutex
	settings Settings
	domain   string
	now      func() time.Time
	members  map[string]*member
	pools    map[string][]*member
	byKey    map[Key][]*member
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

// NewRegistry returns an empty registry of a router in the given failure domain.
func NewRegistry(settings Settings, domain string) *Registry {
	return &Registry{
		settings:    settings,
		domain:      domain,
		now:         time.Now,
		members:     make(map[string]*member),
		pools:       make(map[string][]*member),
		byKey:       make(map[Key][]*member),
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
		case m.health.ejected(now):
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
