package pool

import (
	"container/list"
	"time"
)

// member is one instance together with what this router knows about it.
type member struct {
	Instance
	// firstOffset is the offset of the first entry of this lifetime that was taken, and firstReadAt is when that was.
	firstOffset uint64
	firstReadAt time.Time
	// repeatUntil is the end of the time for which each entry counts as a change, and changedAt is when one did last.
	repeatUntil, changedAt time.Time
	// announced is what this incarnation has said of itself, nil if nothing.
	announced *announcement
	// hash is the rendezvous hash of the ID.
	hash uint64
	// local is the load in flight from this router, and kept the number of its requests that were cancelled and keep their
	// place, see Lease.Keep.
	local Load
	kept  int
	// keeper is the router that counts the requests in flight at this instance, "" if it is this router.
	keeper string
	// keeperScore is that of the keeper in the rendezvous order of the instance.
	keeperScore uint64
	// told is the number of requests that the other routers have in flight, as the keeper said at toldAt. It is not
	// used for an instance that this router keeps.
	told   int
	toldAt time.Time
	// keptSince is when this router became the keeper after another one was.
	keptSince time.Time
	// deniedUntil is the end of the time for which a refused reservation excludes the instance.
	deniedUntil time.Time
	// coldUntil is the end of the time for which the instance is cold, and coldStarts are the times of the requests
	// within coldWindow, if this router keeps it.
	coldUntil  time.Time
	coldStarts []time.Time
	// holds are the requests in flight of the other routers, if this router keeps the instance.
	holds map[holder]time.Time
	// ejectedByKeeperUntil is the end of an ejection by the keeper. Until then this router uses the instance only when
	// none is healthy, so that a failing instance is not tried by every router of the fleet.
	ejectedByKeeperUntil time.Time
	// failedBy is the router whose report of a failure was the last one, "" after a success, if this router keeps the
	// instance.
	failedBy string
	// brokenAt is when a broken connection was counted last.
	brokenAt time.Time
	// probeAt is when the next test connection to an instance that cannot be reached is due, and probeRunning is set
	// while one is made, if this router keeps the instance.
	probeAt      time.Time
	probeRunning bool
	// expiredAt is set while the entry is missing from the store because it expired during an outage of the
	// store.
	expiredAt time.Time
	// progressAt is the time of the last progress of a request of this router: a response header, a complete
	// event or the end of a response. It is also set by the first request after a time without requests in
	// flight from this router.
	progressAt time.Time
	// engine is used in paced pools only.
	engine engineState
	health health
	cache  *promptCache
}

// returned makes a member of the same incarnation ready to be used again. Its load and its cache stay.
func (m *member) returned(i Instance, now time.Time) *member {
	m.Instance, m.coldUntil, m.expiredAt = i, now.Add(i.ColdLeft), time.Time{}
	m.health, m.failedBy, m.probeRunning = health{}, "", false
	m.engine = engineState{}
	m.deniedUntil, m.ejectedByKeeperUntil = time.Time{}, time.Time{}
	return m
}

// others returns the number of requests that the other routers have in flight, as far as this router knows.
func (m *member) others() int {
	if m.keeper == "" {
		return len(m.holds)
	}
	return m.told
}

// inFlight returns the number of requests in flight from all routers.
func (m *member) inFlight() int { return m.local.Requests + m.others() }

// running returns the number of requests of this router that the instance works on.
func (m *member) running() int { return m.local.Requests - m.kept }

// ejectedByKeeper reports whether the keeper has ejected the instance.
func (m *member) ejectedByKeeper(now time.Time) bool { return now.Before(m.ejectedByKeeperUntil) }

// unavailable reports whether the instance is ejected or its probe request is still running.
func (m *member) unavailable(now time.Time) bool {
	if m.keeper == "" {
		return m.health.unavailable(now, m.inFlight()-m.kept)
	}
	return m.health.unavailable(now, m.running())
}

// probeBackoff is how long other routers leave an instance out while its probe request is running.
const probeBackoff = 100 * time.Millisecond

// ejectionLeft returns the remaining time for which the instance is unavailable, as far as that is known, and 0 if it is
// available.
func (m *member) ejectionLeft(now time.Time) time.Duration {
	if !m.unavailable(now) {
		return 0
	}
	return max(probeBackoff, m.health.ejectedUntil.Sub(now))
}

// stalled reports whether the instance has requests of this router in flight and none has made progress for
// longer than timeout.
func (m *member) stalled(now time.Time, timeout time.Duration) bool {
	return m.running() > 0 && now.Sub(m.progressAt) > timeout
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
