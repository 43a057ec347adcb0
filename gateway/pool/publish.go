package pool

import (
	"slices"
	"time"

	"jacinthfork.example/jacinthfork/internal/rendezvous"
)

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
	key := keyOf(m.hash)
	r.byKey[key] = append(r.byKey[key], m)
	for _, p := range r.peers {
		m.addPeer(p.loads[key])
	}
}

func (r *Registry) drop(m *member) {
	delete(r.members, m.ID)
	r.pools[m.Pool] = without(r.pools[m.Pool], m)
	key := keyOf(m.hash)
	if r.byKey[key] = without(r.byKey[key], m); len(r.byKey[key]) == 0 {
		delete(r.byKey, key)
	}
}

func without(list []*member, m *member) []*member {
	at := slices.Index(list, m)
	return append(list[:at:at], list[at+1:]...)
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

// sameContent reports whether a newer publication says nothing new.
func (i Instance) sameContent(o Instance) bool {
	i.Sequence = o.Sequence
	return i == o
}

// removal is the last publication of an instance that is gone.
type removal struct {
	last Instance
	at   time.Time
}

// removalMemory is how long a removed instance is remembered; late publications are seconds old.
const removalMemory = time.Minute
