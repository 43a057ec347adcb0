package pool

import (
	"container/list"
	"time"
)

// member is one instance together with what this router knows about it.
type member struct {
	Instance
	// hash is the rendezvous hash of the ID.
	hash uint64
	// local is the load in flight from this router, peer that from all other routers together.
	local Load
	peer  Load
	// ejectedByPeers is the number of other routers that report the instance as ejected. While it is above 0,
	// this router uses the instance only when none is healthy, so that a failing instance is not tried by
	// every router of the fleet. A router reports an ejection until its period ends, not until a probe has
	// succeeded.
	ejectedByPeers int
	// expiredAt is set while the entry is missing from the store because it expired during an outage of the
	// store.
	expiredAt time.Time
	// progressAt is the time of the last progress of a request of this router: a response header, a complete
	// event or the end of a response. It is also set by the first request after a time without requests in
	// flight from this router.
	progressAt time.Time
	health     health
	cache      *promptCache
}

func (m *member) addPeerLoad(load Load) {
	m.peer.Requests += load.Requests
	m.peer.Tokens += load.Tokens
	if load.Ejected {
		m.ejectedByPeers++
	}
}

func (m *member) subtractPeerLoad(load Load) {
	m.peer.Requests = max(0, m.peer.Requests-load.Requests)
	m.peer.Tokens = max(0, m.peer.Tokens-load.Tokens)
	if load.Ejected {
		m.ejectedByPeers = max(0, m.ejectedByPeers-1)
	}
}

// inFlight returns the number of requests in flight from all routers.
func (m *member) inFlight() int { return m.local.Requests + m.peer.Requests }

// stalled reports whether the instance has requests of this router in flight and none has made progress for
// longer than timeout.
func (m *member) stalled(now time.Time, timeout time.Duration) bool {
	return m.local.Requests > 0 && now.Sub(m.progressAt) > timeout
}

// PromptPart is a segment of a prompt. Requests that share a prefix have the same parts at the beginning.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// promptCache estimates which prompt parts an instance has cached. It evicts the least recently used part
// first, as the engines do.
type promptCache struct {
	// capacity and used are in tokens.
	capacity int
	used     int
	lru      *list.List
	parts    map[uint64]*list.Element
}

func newPromptCache(capacity int) *promptCache {
	return &promptCache{capacity: capacity, lru: list.New(), parts: make(map[uint64]*list.Element)}
}

// cachedTokens returns how many tokens at the beginning of a prompt are cached.
func (c *promptCache) cachedTokens(parts []PromptPart) int {
	tokens := 0
	for _, p := range parts {
		if _, ok := c.parts[p.ID]; !ok {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// insert records that a prompt was processed. Its last part becomes the most recently used one.
func (c *promptCache) insert(parts []PromptPart) {
	for _, p := range parts {
		if elem, ok := c.parts[p.ID]; ok {
			c.lru.MoveToFront(elem)
			continue
		}
		c.parts[p.ID] = c.lru.PushFront(p)
		c.used += p.Tokens
	}
	for c.used > c.capacity && c.lru.Len() > 0 {
		oldest := c.lru.Back()
		p := oldest.Value.(PromptPart)
		c.lru.Remove(oldest)
		delete(c.parts, p.ID)
		c.used -= p.Tokens
	}
}
