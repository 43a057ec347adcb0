package feed

import (
	"cmp"
	"slices"
	"time"
)

// merge applies records and a position. freshAt is when the store had nothing beyond the position. The caller holds mu.
func (f *Follower) merge(records []Record, next uint64, freshAt time.Time, origin Origin, from source) {
	if next < f.table.next {
		// The sender lags behind: its freshness is ignored.
		freshAt = f.freshAt
	}
	f.checkRecovery(freshAt)
	// A read of the store has each record of a key, an update of a peer only the newest one.
	passOn := next
	if from != ownRead {
		passOn = 0
	}
	f.apply(records, f.table.isNewer, passOn, origin)
	f.table.advance(next)
	f.table.forgetRemovals(f.now())
	f.refresh(freshAt, from)
}

// applySnapshot applies a snapshot of the store that ends at next. It is one step: a copy that a peer was sent between the new
// position and the removal of what the snapshot lacks would hold removed keys for good.
func (f *Follower) applySnapshot(records []Record, next uint64, freshAt time.Time) {
	origin := Origin{Snapshot: true, Complete: next, RemovalsFrom: next}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.synced = true
	if next < f.table.next {
		// A peer's update was adopted while the snapshot was on its way. It is known what has become of the keys since.
		f.merge(records, next, freshAt, origin, ownRead)
		return
	}
	f.checkRecovery(freshAt)
	// The store is authoritative for a key below the position too: a peer's copy may have lacked it.
	f.apply(records, f.table.isNewest, next, origin)
	keys := f.table.finishSnapshot(records, next)
	f.table.forgetRemovals(f.now())
	f.refresh(freshAt, ownRead)
	f.sink.SnapshotApplied(keys, origin)
	f.loaded(origin, len(records))
}

// checkRecovery tells the sink if the store had not been heard of for long before freshAt. The caller holds mu.
func (f *Follower) checkRecovery(freshAt time.Time) {
	if !f.freshAt.IsZero() && freshAt.Sub(f.freshAt) > outageThreshold+f.pollPolicy.Wait {
		f.sink.StoreRecovered()
	}
}

// apply applies those records that are newer than what is known. Those from the offset passOn on are passed on to peers although
// they change nothing here: this router has not seen all records of the key since the known one, and a peer may have seen its removal.
// The caller holds mu.
func (f *Follower) apply(records []Record, isNewer func(Record) bool, passOn uint64, from Origin) {
	for _, r := range inOrder(records) {
		if isNewer(r) {
			changed := f.sink.Apply(r, from)
			f.table.record(r, changed || r.Offset >= passOn)
		}
	}
}

// inOrder returns records in the order of their offsets. Those of snapshots and of peers come in any order.
func inOrder(records []Record) []Record {
	byOffset := func(a, b Record) int { return cmp.Compare(a.Offset, b.Offset) }
	if slices.IsSortedFunc(records, byOffset) {
		return records
	}
	return slices.SortedFunc(slices.Values(records), byOffset)
}

// refresh records that the store had nothing beyond the position at freshAt. The caller holds mu.
func (f *Follower) refresh(freshAt time.Time, from source) {
	if freshAt.After(f.freshAt) {
		f.freshAt, f.freshFrom = freshAt, from
	}
}

// Delta is an update of a feed that one router sends to another.
type Delta struct {
	// Sender is the name of the router that has sent the update.
	Sender string
	// Base is the offset from which Records holds all records that changed something. HistoryFrom is the offset
	// from which removals are among them.
	Base, HistoryFrom uint64
	Records           []Record
	// Next is the position of the sender, and FreshAt when the store had nothing beyond it.
	Next    uint64
	FreshAt time.Time
	// FromParent is set in an update from the router from which this one takes its updates. At the sender it is set
	// if FreshAt came that way: it must then not be passed back, because each hop underestimates the age by its
	// delay, and a router that hears its own estimate again would never find the feed old.
	FromParent bool
}

// Since returns the update for a peer at the given position.
func (f *Follower) Since(from uint64) Delta {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := Delta{Base: from, HistoryFrom: f.table.removalsFrom, Next: f.table.next, FreshAt: f.freshAt, FromParent: f.freshFrom == parent}
	if from < f.table.next {
		n.Records = f.table.since(from)
	}
	return n
}

// ApplyDelta applies an update from a peer. It adopts the peer's position if the update covers the gap between this
// router's position and the peer's; otherwise removals that the peer does not know would be skipped. A router without a position has nothing
// that could have been removed; it takes an old copy only after it has failed to read the store itself, because
// instances that have left and keys that were withdrawn since are still in the copy.
func (f *Follower) ApplyDelta(n Delta) {
	f.mu.Lock()
	defer f.mu.Unlock()
	origin := Origin{Peer: n.Sender, Complete: n.Next, RemovalsFrom: n.HistoryFrom}
	position := f.table.next
	if n.Base > position || (position > 0 && position < n.HistoryFrom) {
		// A router that has no position takes no records without one: they may be old.
		if position > 0 {
			f.apply(n.Records, f.table.isNewer, 0, origin)
		}
		return
	}
	if position == 0 && f.now().Sub(n.FreshAt) > outageThreshold && f.lastErr == nil {
		return
	}
	from := otherPeer
	if n.FromParent {
		from = parent
	}
	f.merge(n.Records, n.Next, n.FreshAt, origin, from)
	copied := position == 0 && (n.Next > 0 || !f.synced)
	if copied {
		// The copy holds only some of the removals before it.
		f.table.removalsFrom = n.Next
		f.loaded(origin, len(n.Records))
	}
	if copied || n.Next > position {
		// This router reads on from the peer's position. If it took a snapshot of its own instead, it would know no removals
		// before that, and nobody who is behind could follow it.
		f.synced = true
	}
}

// loaded tells OnLoad of a snapshot or a copy. The caller holds mu.
func (f *Follower) loaded(from Origin, records int) {
	if f.OnLoad != nil {
		f.OnLoad(f.id, from, records)
	}
}
