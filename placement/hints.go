package placement

import (
	"sync"
	"time"
)

// CacheHints records which instances recently cached a document, from responses that the router
// forwarded, from placement tokens and from engine cache events. Any of these may be late or missing,
// so a hint affects only the preference between instances and never excludes one. Memory is bounded:
// the table is set-associative, and a new group evicts the least recently seen group of its set. It is
// safe for concurrent use.
type CacheHints struct {
	mu    sync.Mutex
	start time.Time
	sets  [][hintWays]hintEntry
}

// MaxHolders is the largest number of instances that CacheHints returns for a document.
const MaxHolders = 16

// hintWays is the number of groups in each set of the table.
const hintWays = 4

type hintEntry struct {
	group   uint64
	holders [MaxHolders]holder
}

// holder is an instance hash with the time of its last hint in milliseconds since CacheHints.start. A
// lastSeen of 0 marks a free entry.
type holder struct {
	instance uint64
	lastSeen int64
}

// NewCacheHints returns an empty table for about the given number of groups. now must not be later
// than the first hint. The table's start is one second earlier, so that a hint at now has a lastSeen above
// 0, which marks free entries.
func NewCacheHints(groups int, now time.Time) *CacheHints {
	sets := max(1, (groups+hintWays-1)/hintWays)
	return &CacheHints{start: now.Add(-time.Second), sets: make([][hintWays]hintEntry, sets)}
}

// Add records that the instance with the given hash cached the group's document at the given time. If the
// group already has MaxHolders instances, the one with the oldest hint is replaced.
func (h *CacheHints) Add(group, instance uint64, at time.Time) {
	if group == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.find(group)
	if e == nil {
		e = h.evictOldest(group)
	}
	slot := &e.holders[0]
	for i := range e.holders {
		if e.holders[i].instance == instance {
			slot = &e.holders[i]
			break
		}
		if e.holders[i].lastSeen < slot.lastSeen {
			slot = &e.holders[i]
		}
	}
	*slot = holder{instance, max(slot.lastSeenOf(instance), at.Sub(h.start).Milliseconds())}
}

// lastSeenOf returns the time of the last hint if the entry belongs to the instance, otherwise 0.
func (s *holder) lastSeenOf(instance uint64) int64 {
	if s.instance == instance {
		return s.lastSeen
	}
	return 0
}

// Remove records that the instance no longer caches the document.
func (h *CacheHints) Remove(group, instance uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.find(group)
	if e == nil {
		return
	}
	for i := range e.holders {
		if e.holders[i].instance == instance {
			e.holders[i] = holder{}
		}
	}
}

// Holders appends to dst[:0] the hashes of the instances whose last hint for the document is younger
// than maxAge. It does not allocate when dst has capacity for MaxHolders.
func (h *CacheHints) Holders(dst []uint64, group uint64, now time.Time, maxAge time.Duration) []uint64 {
	dst = dst[:0]
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.find(group)
	if e == nil {
		return dst
	}
	oldest := now.Add(-maxAge).Sub(h.start).Milliseconds()
	for _, s := range e.holders {
		if s.lastSeen > max(oldest, 0) {
			dst = append(dst, s.instance)
		}
	}
	return dst
}

func (h *CacheHints) set(group uint64) *[hintWays]hintEntry {
	return &h.sets[Score(group, 0)%uint64(len(h.sets))]
}

func (h *CacheHints) find(group uint64) *hintEntry {
	set := h.set(group)
	for i := range set {
		if set[i].group == group {
			return &set[i]
		}
	}
	return nil
}

// evictOldest replaces the least recently seen group of the new group's set by the new group.
func (h *CacheHints) evictOldest(group uint64) *hintEntry {
	set := h.set(group)
	oldest := &set[0]
	for i := range set {
		if set[i].lastSeen() < oldest.lastSeen() {
			oldest = &set[i]
		}
	}
	*oldest = hintEntry{group: group}
	return oldest
}

// lastSeen returns the time of the latest hint for the group.
func (e *hintEntry) lastSeen() int64 {
	latest := int64(0)
	for _, s := range e.holders {
		latest = max(latest, s.lastSeen)
	}
	return latest
}
