package feed

import "time"

// removalsKept is the least time for which a removal is kept for peers. One that has heard of nobody for longer reads the store.
const removalsKept = time.Hour

// table is what a follower knows of the records of its feed. It alone decides whether a record is newer than what is
// known, whatever the feed and the source of the record. It does no input or output and is not safe for concurrent use.
type table struct {
	// next is the position: a record below it is known, or superseded, or its key was removed.
	next uint64
	// removalsFrom is the offset from which on all removals are among records. Keys removed before it leave no trace, because
	// a snapshot holds no removals.
	removalsFrom uint64
	// newest holds the offset of the newest known record of each key. records holds those that changed something, which
	// are sent to peers.
	newest  map[string]uint64
	records map[string]Record
	// mark is the position that was reached by markedAt. Removals below it are forgotten removalsKept later.
	mark     uint64
	markedAt time.Time
}

func newTable() table {
	return table{newest: make(map[string]uint64), records: make(map[string]Record)}
}

// isNewer reports whether a record is newer than what is known. One below the position is not, even if its key is unknown: the
// key was removed.
func (t *table) isNewer(r Record) bool {
	return r.Offset >= t.next && t.isNewest(r)
}

// isNewest reports whether a record is newer than the known one of its key.
func (t *table) isNewest(r Record) bool {
	known, ok := t.newest[r.Key]
	return !ok || r.Offset > known
}

// record notes that r is the newest known record of its key. forPeers is set if peers are to be sent it.
func (t *table) record(r Record, forPeers bool) {
	t.newest[r.Key] = r.Offset
	if forPeers {
		t.records[r.Key] = r
	}
}

// advance moves the position, if it is behind.
func (t *table) advance(next uint64) { t.next = max(t.next, next) }

// finishSnapshot moves the position to the end of a snapshot of the store whose records have been recorded. end is at the position
// or above it. Keys that the snapshot lacks are recorded as removed, because peers take this table for as complete as its position.
// It returns the keys that are left: those of the snapshot, and those with a record beyond its end.
func (t *table) finishSnapshot(records []Record, end uint64) (keys map[string]bool) {
	t.next, t.removalsFrom = end, end
	keys = make(map[string]bool, len(records))
	for _, r := range records {
		keys[r.Key] = true
	}
	for key, offset := range t.newest {
		switch {
		case offset >= end:
			keys[key] = true
		case !keys[key] && len(t.records[key].Value) > 0:
			// The offset of the removal is not known. Peers that are behind the position must take it for newer than the record.
			t.record(Record{Key: key, Offset: end - 1}, true)
		}
	}
	return keys
}

// forgetRemovals forgets removals that have been known for removalsKept, at the latest after twice that. What it forgets is below
// the position, so no record of these keys from before counts as newer.
func (t *table) forgetRemovals(now time.Time) {
	if now.Sub(t.markedAt) < removalsKept {
		return
	}
	for key, r := range t.records {
		if len(r.Value) == 0 && r.Offset < t.mark {
			delete(t.records, key)
			delete(t.newest, key)
			t.removalsFrom = max(t.removalsFrom, r.Offset+1)
		}
	}
	t.mark, t.markedAt = t.next, now
}

// since returns the records for a peer from an offset on.
func (t *table) since(from uint64) (records []Record) {
	for _, r := range t.records {
		if r.Offset >= from {
			records = append(records, r)
		}
	}
	return records
}
