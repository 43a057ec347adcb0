package pool

import (
	"slices"
	"time"

	"jacinthfork.example/jacinthfork/internal/rendezvous"
)

// Change is the effect of a publication or removal on the registry.
type Change uint8

// Effects of a publication or removal.
const (
	Unchanged Change = iota
	Joined
	Restarted
	Leaving
	Updated
	Removed
	// Returned is a publication with unchanged content of an instance whose entry had expired. Peers that were
	// told of the expiry must be told of the return too. With changed content it is Updated, Leaving or
	// Restarted.
	Returned
	// Resumed is a publication of a lifetime that goes on although another one was taken for its successor.
	Resumed
	// Stale is a publication that was made before a known one of the same lifetime. It has no effect.
	Stale
	// Ended is a publication of a lifetime that has ended. It has no effect.
	Ended
	// Unconfirmed is a publication of a lifetime that began before and is not known. It has no effect until another one follows.
	Unconfirmed
)

// Ignored reports whether the publication has had no effect, because it was or may have been made before a known one.
func (c Change) Ignored() bool { return c == Stale || c == Ended || c == Unconfirmed }

// String returns the change as it appears in logs.
func (c Change) String() string {
	return [...]string{"unchanged", "joined", "restarted", "leaving", "updated", "removed", "returned", "resumed", "stale", "ended", "unconfirmed"}[c]
}

// Begins reports whether the publication brings an instance into use that was not, or another lifetime of it.
func (c Change) Begins() bool { return c == Joined || c == Restarted || c == Resumed }

// ApplyEntry applies a published entry that this router has read. The entries of an instance must be applied in the order of the
// feed, which says what lifetime of the instance is in force, see succession.
func (r *Registry) ApplyEntry(i Instance) Change { return r.apply(i, false) }

// ApplyTakenEntry is ApplyEntry for one that another router has taken. Routers are not told of entries that change nothing, so
// nothing may follow that confirms it.
func (r *Registry) ApplyTakenEntry(i Instance) Change { return r.apply(i, true) }

func (r *Registry) apply(i Instance, taken bool) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, known := r.lastEntry(i.ID)
	if !known {
		return r.take(i, false)
	}
	switch r.succession(i, last, taken) {
	case earlierEntry:
		if !last.sameContent(i) {
			r.repeat(i.ID)
		}
		return Stale
	case endedLifetime:
		r.repeat(i.ID)
		return Ended
	case unconfirmedLifetime:
		r.repeat(i.ID)
		return Unconfirmed
	case nextLifetime:
		r.beginLifetime(i, last)
		return r.take(i, true)
	case resumedLifetime:
		r.beginLifetime(i, last)
		change := r.take(i, true)
		r.repeat(i.ID)
		if change == Restarted {
			return Resumed
		}
		return change
	}
	return r.take(i, false)
}

// take applies an entry that is not refused. begins is set if its lifetime follows another one.
func (r *Registry) take(i Instance, begins bool) Change {
	delete(r.refused, i.ID)
	m, ok := r.members[i.ID]
	switch {
	case !ok:
		r.join(i, begins)
		return Joined
	case begins || i.Address != m.Address || i.Pool != m.Pool:
		r.drop(m)
		r.add(i)
		return Restarted
	}
	return r.update(m, i)
}

// join adds an instance that is not in use. One that goes on in the same lifetime has its load and its cache.
func (r *Registry) join(i Instance, begins bool) {
	t := r.tombstones[i.ID]
	delete(r.tombstones, i.ID)
	delete(r.replaced, KeyOf(i.ID))
	if t.member != nil && !begins && t.last.Address == i.Address && t.last.Pool == i.Pool {
		r.insert(t.member.returned(i, r.now()))
		return
	}
	r.add(i)
}

// update applies a later entry of the same lifetime of a member.
func (r *Registry) update(m *member, i Instance) Change {
	now := r.now()
	m.coldUntil = now.Add(i.ColdLeft)
	expired := !m.expiredAt.IsZero()
	m.expiredAt = time.Time{}
	if m.sameContent(i) {
		m.Instance = i
		if !expired && !now.Before(m.repeatUntil) && now.Sub(m.changedAt) < refreshEvery {
			return Unchanged
		}
		m.changedAt = now
		if expired {
			return Returned
		}
		return Updated
	}
	m.changedAt = now
	leaving := i.Leaving && !m.Leaving
	m.Instance = i
	if r.closed(m) {
		// It leaves, or has moved to a failure domain that is evacuated.
		r.endWaits(i.incarnation(), allWaits)
	}
	if leaving {
		return Leaving
	}
	return Updated
}

func (r *Registry) add(i Instance) {
	now := r.now()
	r.insert(&member{
		Instance: i, firstOffset: i.Offset, firstReadAt: now, changedAt: now, hash: rendezvous.Hash(i.ID), coldUntil: now.Add(i.ColdLeft),
		cache: newPromptCache(r.cacheTokens[i.Pool]),
	})
}

func (r *Registry) insert(m *member) {
	r.inheritHoldOff(m, r.now())
	m.announced = r.announcements[m.incarnation()]
	m.cache.capacity = r.cacheTokens[m.Pool]
	r.members[m.ID] = m
	r.pools[m.Pool] = append(r.pools[m.Pool], m)
	key := keyOf(m.hash)
	r.byKey[key] = append(r.byKey[key], m)
	r.byAddress[m.Address] = append(r.byAddress[m.Address], m)
	r.early.move(m)
	r.setKeeper(m)
}

func (r *Registry) drop(m *member) {
	r.endWaits(m.incarnation(), allWaits)
	delete(r.members, m.ID)
	r.pools[m.Pool] = without(r.pools[m.Pool], m)
	key := keyOf(m.hash)
	if r.byKey[key] = without(r.byKey[key], m); len(r.byKey[key]) == 0 {
		delete(r.byKey, key)
	}
	if r.byAddress[m.Address] = without(r.byAddress[m.Address], m); len(r.byAddress[m.Address]) == 0 {
		delete(r.byAddress, m.Address)
	}
}

func without(list []*member, m *member) []*member {
	at := slices.Index(list, m)
	return append(list[:at:at], list[at+1:]...)
}

// Remove applies the removal of an entry. While the store is unavailable, entries expire although their
// instances are running; such an entry stays usable until ExpiryGrace after the recovery of the store.
func (r *Registry) Remove(id string) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.members[id]
	if !ok || !m.expiredAt.IsZero() {
		return Unchanged
	}
	now := r.now()
	if now.Sub(r.storeRecoveredAt) < r.settings.ExpiryGrace {
		m.expiredAt = now
		return Unchanged
	}
	r.evict(m, now)
	return Removed
}

func (r *Registry) evict(m *member, now time.Time) {
	r.drop(m)
	r.tombstones[m.ID] = tombstone{last: m.Instance, member: m, removedAt: now}
}

// RemoveMissing removes all instances whose IDs are not in ids, the keys of a complete snapshot of the store.
func (r *Registry) RemoveMissing(ids map[string]bool) (removed []string) {
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

// RecordStoreRecovery records that the store answers again after an outage.
func (r *Registry) RecordStoreRecovery() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeRecoveredAt = r.now()
}

// Sweep removes instances whose entries are still missing after the grace period, and discards old tombstones
// and reservations. freshAt is the time up to which the feed has been read: expired entries are
// removed only once it has been read up to ExpiryGrace after the recovery of the store, because they may have
// been published again until then. Sweep returns the IDs of the removed instances.
func (r *Registry) Sweep(freshAt time.Time) (removed []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for _, m := range r.members {
		m.sweepHolds(now)
		if !m.expiredAt.IsZero() && freshAt.Sub(r.storeRecoveredAt) >= r.settings.ExpiryGrace {
			removed = append(removed, m.ID)
			r.evict(m, now)
		}
	}
	r.early.sweep(now)
	r.sweepAnnouncements(now)
	r.sweepLifetimes(now)
	for key, until := range r.replaced {
		if now.After(until) {
			delete(r.replaced, key)
		}
	}
	for id, t := range r.tombstones {
		t.member.sweepHolds(now)
		if now.Sub(t.removedAt) > tombstoneTTL {
			delete(r.tombstones, id)
		}
	}
	return removed
}

// replacedTTL is how long the keeper of an instance whose address belongs to another one refuses places there. The
// others have its successor's entry by then.
const replacedTTL = 4 * time.Second

// evictReplaced records that the address of an instance belongs to another one. The instance gets no more requests until
// it is published again, from the other routers either if this one is its keeper.
func (r *Registry) evictReplaced(m *member) {
	if m.keeper == "" {
		r.replaced[keyOf(m.hash)] = r.now().Add(replacedTTL)
	}
	r.evict(m, r.now())
}

// sameContent reports whether another publication differs at most in its place in the order of publications and in how much
// longer the instance is cold.
func (i Instance) sameContent(o Instance) bool {
	i.Sequence, i.Offset = o.Sequence, o.Offset
	if (i.ColdLeft > 0) == (o.ColdLeft > 0) {
		i.ColdLeft = o.ColdLeft
	}
	return i == o
}

// tombstone is the last publication of a removed instance, and the member that counts the requests in flight there: an
// instance whose entry has lapsed while it ran still has them when it is back.
type tombstone struct {
	last      Instance
	member    *member
	removedAt time.Time
}

// tombstoneTTL is how long a removed instance is remembered. Late publications arrive within seconds.
const tombstoneTTL = time.Minute
