package pool

import (
	"container/list"
	"time"
)

// member is one instance with what this router knows of it.
type member struct {
	Instance
	hash uint64
	own  Load
	peer Load
	// ejectedByPeers is the number of other routers that have ejected the instance. Their next trial decides
	// for this router too, so that a failing instance is not tried by each router of the fleet.
	ejectedByPeers int
	// lapsedAt is set while the entry is missing and the store was unavailable.
	lapsedAt time.Time
	// progressAt is the time of the last byte from the instance, idleSince that of the last moment
	// without a request of this router there.
	progressAt time.Time
	health     health
	cache      *promptCache
}

func (m *member) addPeer(load Load) {
	m.peer.Requests += load.Requests
	m.peer.Tokens += load.Tokens
	if load.Ejected {
		m.ejectedByPeers++
	}
}

func (m *member) removePeer(load Load) {
	m.peer.Requests = max(0, m.peer.Requests-load.Requests)
	m.peer.Tokens = max(0, m.peer.Tokens-load.Tokens)
	if load.Ejected {
		m.ejectedByPeers = max(0, m.ejectedByPeers-1)
	}
}

// requests is the number of requests in flight from all routers.
func (m *member) requests() int { return m.own.Requests + m.peer.Requests }

// stalled reports whether the instance has work of this router and has sent nothing for a while.
func (m *member) stalled(now time.Time, after time.Duration) bool {
	return m.own.Requests > 0 && now.Sub(m.progressAt) > after
}

// Part is a piece of a prompt that requests share.
type Part struct {
	ID     uint64
	Tokens int
}

// promptCache estimates which parts of prompts an instance holds. The least recently used part goes
// first, as in the engines.
type promptCache struct {
	capacity int
	used     int
	order    *list.List
	parts    map[uint64]*list.Element
}

func newPromptCache(capacity int) *promptCache {
	return &promptCache{capacity: capacity, order: list.New(), parts: make(map[uint64]*list.Element)}
}

// cached returns how many tokens at the beginning of a prompt are held.
func (c *promptCache) cached(parts []Part) int {
	tokens := 0
	for _, p := range parts {
		if _, ok := c.parts[p.ID]; !ok {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// add notes that a prompt was read. The last part becomes the most recently used one.
func (c *promptCache) add(parts []Part) {
	for _, p := range parts {
		if at, ok := c.parts[p.ID]; ok {
			c.order.MoveToFront(at)
			continue
		}
		c.parts[p.ID] = c.order.PushFront(p)
		c.used += p.Tokens
	}
	for c.used > c.capacity && c.order.Len() > 0 {
		last := c.order.Back()
		p := last.Value.(Part)
		c.order.Remove(last)
		delete(c.parts, p.ID)
		c.used -= p.Tokens
	}
}
