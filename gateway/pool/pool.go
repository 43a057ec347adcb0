// Package pool selects the backend server for each request that a router sends directly, without a sidecar. A
// Registry holds what one router knows about the instances of each pool: their published entries, the load
// that this router and the other routers have in flight there, which prompts each instance has cached, and how
// recent requests ended. The package does no I/O.
//
// An engine is an instance of a model pool. A worker, in the tests, is an instance of a plain service.
//
// # Load patterns
//
// Multi-turn chats with long prompts: a request goes to the instance with the lowest cost among those that have
// cached at least half of its prompt. A prompt that no instance has cached to that extent goes to the first
// instances of its rendezvous order, so that routers choose the same ones without coordination.
//
// One prompt that makes up much of the traffic: an instance gets no model request above Settings.BoundFactor
// times the pool's mean plus Settings.BoundExtra, counted over all routers, as long as another instance is
// below this bound and has a free slot. The next instance of the rendezvous order then serves the prompt as
// well. Requests to plain services go to the least loaded instance, without a bound.
//
// A failing instance: it is ejected for a period that doubles each time, and readmitted through a single
// probe request. At most half of a pool is ejected for failed requests at a time, because a cause that all
// instances share must not empty the pool.
package pool

import (
	"sync"
	"time"
)

// Settings configures a Registry. Start from DefaultSettings.
type Settings struct {
	// BoundFactor and BoundExtra set the load bound for model requests: an instance with more requests in
	// flight than BoundFactor times the mean of its pool plus BoundExtra is chosen only if no other instance
	// is below the bound and has a free slot.
	BoundFactor float64
	BoundExtra  float64
	// RequestTokens is the cost of one request in flight, in prompt tokens, when instances are compared.
	RequestTokens int
	// SecondChoiceTokens is by how many prompt tokens the first instance of the rendezvous order must cost
	// more than the second before the second gets a prompt that no instance has cached.
	SecondChoiceTokens int
	// MinFetchTokens is the number of prompt tokens above which an instance fetches what another instance has
	// cached instead of computing it.
	MinFetchTokens int
	// StallTimeout is how long an instance with requests in flight may send neither a response header nor a
	// complete event before it is degraded, so that it gets requests only when no instance is healthy.
	StallTimeout time.Duration
	// ExpiryGrace is how long an entry that expired while the store was unavailable stays usable after the
	// store has recovered.
	ExpiryGrace time.Duration
	// LimitEngines makes all pools of engines paced: the keeper of an engine measures what it serves in time and, while the
	// pool is contended, bounds its requests by that, and requests wait there. The pace that instances report is used as
	// well.
	LimitEngines bool
}

// DefaultSettings returns settings for pools of a few to a few hundred instances.
func DefaultSettings() Settings {
	return Settings{
		BoundFactor:        1.9,
		BoundExtra:         3,
		RequestTokens:      200,
		SecondChoiceTokens: 4096,
		MinFetchTokens:     256,
		StallTimeout:       time.Second,
		ExpiryGrace:        2200 * time.Millisecond,
	}
}

// Instance is one backend server as published in the store.
type Instance struct {
	ID            string
	Pool          string
	Address       string
	FailureDomain string
	// Slots is the number of requests that the instance runs concurrently.
	Slots int
	// Leaving is set once the instance has announced its departure.
	Leaving bool
	// ColdLeft is how much longer the instance is cold, as of the publication.
	ColdLeft time.Duration
	// StartedAt is the start time of the instance in Unix milliseconds, by its own clock. It names the incarnation, because
	// an instance may restart under its old ID, and says nothing about the order of incarnations.
	StartedAt int64
	// Sequence increases with each publication of one incarnation.
	Sequence int64
	// Offset is the position of the publication in the feed.
	Offset uint64
}

// Registry holds what one router knows about the instances. It is safe for concurrent use.
type Registry struct {
	mu       sync.Mutex
	settings Settings
	domain   string
	now      func() time.Time
	members  map[string]*member
	pools    map[string][]*member
	byKey    map[Key][]*member
	// byAddress holds the members by address: more than one until the entry of a predecessor is removed.
	byAddress map[string][]*member
	// self is this router's name, routers are those that are alive, and incarnations the incarnations of these and of those
	// that are leaving, by name.
	self         string
	routers      []rankedRouter
	incarnations map[string]uint64
	// early holds reservations at instances that are not known yet.
	early earlyHolds
	// lost is the number of routers that cannot be reached and may be a part of the fleet without contact to this one.
	lost int
	// fleetLoad is the load of all routers, by PoolHash, as told at fleetLoadAt.
	fleetLoad   map[uint32]PoolLoad
	fleetLoadAt time.Time
	// tombstones holds the last publication of each removed instance, so that an earlier publication that
	// arrives late does not bring the instance back. The last publication itself does if it arrives again.
	tombstones map[string]tombstone
	// ended holds the lifetimes that others have followed. refused holds the entries of an instance that were refused since
	// one was last taken.
	ended   map[incarnation]ending
	refused map[string]refusedEntries
	// announcements hold what instances have said of themselves in their responses.
	announcements map[incarnation]*announcement
	// waits holds the requests that wait for places.
	waits map[incarnation]map[*wait]bool
	// replaced holds the ends of the times for which places at instances whose addresses belong to others are refused.
	replaced map[Key]time.Time
	// directory names the instances that hold a document, for those documents that are in this router's directory.
	directory *directory
	// cacheTokens is the prompt cache capacity of an instance in tokens, by pool.
	cacheTokens map[string]int
	// coldRates is the number of requests a second that a cold instance bears, by pool. evacuated are the failure
	// domains whose instances get no new requests.
	coldRates map[string]float64
	evacuated map[string]bool
	// paced holds the pace of the pools whose instances report how long work takes on their machines now.
	paced map[string]*poolPace
	// seenPaces holds the mean paces of Lease.RecordSeenPace by pool.
	seenPaces map[string]*poolPace
	// failureRate is the moving average of the share of requests that fail, by pool.
	failureRate map[string]float64
	// meanServiceTime is the moving average of the time that a request takes, by pool.
	meanServiceTime map[string]time.Duration
	// storeRecoveredAt is when the store last answered again after an outage.
	storeRecoveredAt time.Time
}

// NewRegistry returns an empty registry for a router in the given failure domain.
func NewRegistry(settings Settings, domain string) *Registry {
	return &Registry{
		settings:        settings,
		domain:          domain,
		now:             time.Now,
		members:         make(map[string]*member),
		pools:           make(map[string][]*member),
		byKey:           make(map[Key][]*member),
		byAddress:       make(map[string][]*member),
		early:           make(earlyHolds),
		tombstones:      make(map[string]tombstone),
		ended:           make(map[incarnation]ending),
		refused:         make(map[string]refusedEntries),
		announcements:   make(map[incarnation]*announcement),
		waits:           make(map[incarnation]map[*wait]bool),
		directory:       newDirectory(),
		replaced:        make(map[Key]time.Time),
		cacheTokens:     make(map[string]int),
		failureRate:     make(map[string]float64),
		evacuated:       make(map[string]bool),
		paced:           make(map[string]*poolPace),
		seenPaces:       make(map[string]*poolPace),
		meanServiceTime: make(map[string]time.Duration),
	}
}

// SetCacheTokens sets the prompt cache capacity of each instance in tokens, by pool.
func (r *Registry) SetCacheTokens(byPool map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cacheTokens = byPool
	for pool := range byPool {
		if r.settings.LimitEngines && r.paced[pool] == nil {
			r.paced[pool] = &poolPace{}
		}
	}
	for _, m := range r.members {
		m.cache.capacity = byPool[m.Pool]
	}
}

// Summary holds the instance counts and the load of one pool.
type Summary struct {
	Members, Usable, Leaving, Ejected int
	// Slots is the total over the usable instances. Own and Peers count the requests in flight from this
	// router and from the other routers.
	Slots, Own, Peers int
}

// Summary returns the instance counts and the load of a pool.
func (r *Registry) Summary(pool string) Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	s := Summary{Peers: r.peerRequests(pool)}
	for _, m := range r.pools[pool] {
		s.Members++
		s.Own += m.local.Requests
		switch {
		case r.closed(m):
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

// HasInstances reports whether the registry holds any instance.
func (r *Registry) HasInstances() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.members) > 0
}
