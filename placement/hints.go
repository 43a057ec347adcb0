package placement

import (
	"sync"
	"time"
)

// CacheHints remembers which instances recently held a document, from responses that the router
// passed on, from tokens that it saw and from engine cache events. Any of these may be late or
// missing, so a hint only decides between instances and never excludes one. Memory is bounded: a
// new group replaces the group of its set that was seen longest ago. It is safe for concurrent use.
type CacheHints struct {
	mu    sync.Mutex
	start time.Time
	sets  [][hintWays]hintEntry
}

// MaxHolders is the largest number of instances that CacheHints returns for a document.
const MaxHolders = 16

const hintWays = 4

type hintEntry struct {
	group   uint64
	holders [MaxHolders]holder
}

// holder is an instance hash with the time of the last hint in milliseconds since start; 0 is free.
type holder struct {
	instance uint64
	seen     int64
}

// NewCacheHints returns an empty table for about the given number of groups; now is the time of
// the first hint or earlier.
func NewCacheHints(groups int, now time.Time) *CacheHints {
	sets := max(1, (groups+hintWays-1)/hintWays)
	return &CacheHints{start: now.Add(-time.Second), sets: make([][hintWays]hintEntry, sets)}
}

// Add notes that the instance with the given hash held the group's document at the given time.
func (h *CacheHints) Add(group, instance uint64, at time.Time) {
	if group == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.find(group)
	if e == nil {
		e = h.replace(group)
	}
	slot := &e.holders[0]
	for i := range e.holders {
		if e.holders[i].instance == instance {
			slot = &e.holders[i]
			break
		}
		if e.holders[i].seen < slot.seen {
			slot = &e.holders[i]
		}
	}
	*slot = holder{instance, max(slot.seenBy(instance), at.Sub(h.start).Milliseconds())}
}

func (s *holder) seenBy(instance uint64) int64 {
	if s.instance == instance {
		return s.seen
	}
	return 0
}

// Remove notes that the instance no longer holds the document.
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

// Holders appends the hashes of the instances that held the document less than maxAge before now
// to dst[:0]. It does not allocate when dst has room for MaxHolders.
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
		if s.seen > max(oldest, 0) {
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

func (h *CacheHints) replace(group uint64) *hintEntry {
	set := h.set(group)
	oldest := &set[0]
	for i := range set {
		if set[i].latest() < oldest.latest() {
			oldest = &set[i]
		}
	}
	*oldest = hintEntry{group: group}
	return oldest
}

func (e *hintEntry) latest() int64 {
	latest := int64(0)
	for _, s := range e.holders {
		latest = max(latest, s.seen)
	}
	return latest
}
