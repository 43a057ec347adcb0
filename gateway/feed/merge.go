package feed

import (
	"time"
)

// merge applies records and a position. freshAt is when the store had nothing beyond the position. It reports whether the
// router had no position before. The caller holds mu.
func (f *Follower) merge(records []Record, next uint64, freshAt time.Time, origin Origin, from source) (first bool) {
	if next < f.next {
		// The sender lags behind: its records are compared one by one, and its freshness is ignored.
		freshAt = f.freshAt
	}
	if !f.freshAt.IsZero() && freshAt.Sub(f.freshAt) > outageThreshold+f.pollPolicy.Wait {
		f.sink.StoreRecovered()
	}
	first = f.next == 0 && !f.synced
	f.applyEach(records, origin)
	if first {
		f.historyFrom = next
		// A copy from a peer is as complete as a snapshot: this router reads on from it. If it took a snapshot of its own
		// instead, it would know no removals before that, and nobody who is behind could follow it.
		f.synced = from != ownRead
	}
	f.next = max(f.next, next)
	if freshAt.After(f.freshAt) {
		f.freshAt, f.freshFrom = freshAt, from
	}
	return first
}

// applyEach applies those records that are newer than the known ones of their keys. The caller holds mu.
func (f *Follower) applyEach(records []Record, from Origin) {
	for _, r := range records {
		known, ok := f.offsets[r.Key]
		if ok && known >= r.Offset {
			continue
		}
		if !ok && f.synced && r.Offset < f.historyFrom {
			// The snapshot at historyFrom does not have the key, so the record was removed before it was taken.
			continue
		}
		f.offsets[r.Key] = r.Offset
		if f.sink.Apply(r, from) {
			f.records[r.Key] = r
		}
	}
}

// applyRecords applies records without a position. A router that has no position takes none: they may be old.
func (f *Follower) applyRecords(records []Record, from Origin) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.next > 0 {
		f.applyEach(records, from)
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
	n := Delta{Base: from, HistoryFrom: f.historyFrom, Next: f.next, FreshAt: f.freshAt, FromParent: f.freshFrom == parent}
	if from >= f.next {
		return n
	}
	for _, r := range f.records {
		if r.Offset >= from {
			n.Records = append(n.Records, r)
		}
	}
	return n
}

// ApplyDelta applies an update from a peer. It adopts the peer's position if the update covers the gap between this
// router's position and the peer's; otherwise removals that the peer does not know would be skipped. A router without a position has nothing
// that could have been removed; it takes an old copy only after it has failed to read the store itself, because
// instances that have left and keys that were withdrawn since are still in the copy.
func (f *Follower) ApplyDelta(n Delta) {
	position := f.Position()
	origin := Origin{Peer: n.Sender, Complete: n.Next, RemovalsFrom: n.HistoryFrom}
	if n.Base > position || (position > 0 && position < n.HistoryFrom) {
		f.applyRecords(n.Records, origin)
		return
	}
	if position == 0 && f.now().Sub(n.FreshAt) > outageThreshold && !f.Failing() {
		return
	}
	from := otherPeer
	if n.FromParent {
		from = parent
	}
	f.mu.Lock()
	first := f.merge(n.Records, n.Next, n.FreshAt, origin, from)
	f.mu.Unlock()
	if first {
		f.loaded(origin, len(n.Records))
	}
}
