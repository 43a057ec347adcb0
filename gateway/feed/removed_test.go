package feed

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// deleteHistory makes the source forget all records but the newest of each key.
func (s *fakeSource) deleteHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.firstOffset = uint64(len(s.records))
}

// startFollowing starts a follower that reads the source, and waits until it has a snapshot.
func startFollowing(ctx context.Context, id ID, source Source) (*Follower, *snapshotSink) {
	sink := &snapshotSink{newSink()}
	f := NewFollower(id, source, sink, testPollPolicy)
	go f.Run(ctx)
	time.Sleep(time.Second)
	return f, sink
}

// A key is removed, and the store deletes its history before the next read. Guards against a follower that removes the key from
// its sink, after a snapshot, and goes on to pass its record on: a router that starts with a copy takes the copy for as complete
// as a snapshot and would never hear of the removal. A removed worker would get requests, and a domain that is no longer
// evacuated none.
func TestCopyAfterASnapshotHoldsNoRemovedKeys(t *testing.T) {
	for _, id := range []ID{Configuration, Instances} {
		t.Run(id.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				source := &fakeSource{}
				source.put("gone", "1")
				source.put("kept", "1")
				reader, sink := startFollowing(ctx, id, source)
				cutOffSink := &snapshotSink{newSink()}
				cutOff := NewFollower(id, source, cutOffSink, testPollPolicy)
				cutOff.ApplyDelta(reader.Since(0))
				source.put("gone", "")
				source.deleteHistory()
				time.Sleep(time.Second)
				is.Equal(reader.Position(), uint64(3))
				is.Equal(sink.get("gone"), "")

				copySink, second := &snapshotSink{newSink()}, &snapshotSink{newSink()}
				copied := NewFollower(id, source, copySink, testPollPolicy)
				copied.ApplyDelta(reader.Since(0))
				copyOfCopy := NewFollower(id, source, second, testPollPolicy)
				copyOfCopy.ApplyDelta(copied.Since(0))
				for _, s := range []*snapshotSink{copySink, second} {
					is.Equal(s.get("gone"), "")
					is.Equal(s.get("kept"), "1")
				}
				// A peer that can't read the store is told, and its position stays where it is.
				cutOff.ApplyDelta(reader.Since(cutOff.Position()))
				is.Equal(cutOffSink.get("gone"), "")
				is.Equal(cutOff.Position(), uint64(2))

				source.put("gone", "2")
				time.Sleep(time.Second)
				copied.ApplyDelta(reader.Since(copied.Position()))
				copyOfCopy.ApplyDelta(copied.Since(copyOfCopy.Position()))
				for _, s := range []*snapshotSink{sink, copySink, second} {
					is.Equal(s.get("gone"), "2") // a key that is written again counts
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against a copy that is made while a snapshot is applied, between the new position and the removal of the keys that the
// snapshot lacks: it holds removed keys, and who takes it reads on from beyond their removal.
func TestNoCopyIsMadeInTheMiddleOfASnapshot(t *testing.T) {
	is := is.New(t)
	// So many keys take a while to be gone through.
	const keys = 20_000
	source := &fakeSource{}
	for n := range keys {
		source.put(fmt.Sprint("key-", n), "1")
	}
	f := NewFollower(Instances, source, newSink(), testPollPolicy)
	is.NoErr(f.readNext(t.Context()))
	source.put("key-0", "")
	source.deleteHistory()
	read := make(chan error, 1)
	go func() { read <- f.readNext(t.Context()) }()
	for f.Position() <= keys {
		runtime.Gosched()
	}
	sink := newSink()
	copied := NewFollower(Instances, source, sink, testPollPolicy)
	copied.ApplyDelta(f.Since(0))
	is.Equal(copied.Position(), uint64(keys+1))
	is.Equal(sink.get("key-0"), "")
	is.NoErr(<-read)
}

// Guards against a record of a peer that is behind, of a key that was written again and removed again in the history that the
// store has deleted: the follower knows an older record of the key, so the peer's looks new.
func TestRecordFromDeletedHistoryIsNotNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		source := &fakeSource{}
		source.put("gone", "1")
		source.put("gone", "")
		source.put("kept", "1")
		reader, sink := startFollowing(ctx, Instances, source)
		copySink := &snapshotSink{newSink()}
		copied := NewFollower(Instances, source, copySink, testPollPolicy)
		source.put("gone", "2")
		time.Sleep(time.Second)
		is.Equal(sink.get("gone"), "2")
		source.put("gone", "")
		time.Sleep(time.Second)
		source.put("gone", "3")
		behind := NewFollower(Instances, source, newSink(), testPollPolicy)
		is.NoErr(behind.readNext(t.Context()))
		source.put("gone", "")
		source.deleteHistory()
		time.Sleep(time.Second)
		is.Equal(reader.Position(), uint64(7))
		copied.ApplyDelta(reader.Since(0))
		for _, f := range []*Follower{reader, copied} {
			f.ApplyDelta(behind.Since(0))
			f.ApplyDelta(behind.Since(f.Position()))
		}
		is.Equal(sink.get("gone"), "")
		is.Equal(copySink.get("gone"), "")
		cancel()
		synctest.Wait()
	})
}

// Guards against a follower that takes records of removed keys from a peer that is behind while it waits for a snapshot: the store
// has deleted its history and does not answer now.
func TestRemovedKeyStaysGoneWhileASnapshotIsAwaited(t *testing.T) {
	is := is.New(t)
	source := &fakeSource{}
	source.put("gone", "1")
	source.put("kept", "1")
	behind := NewFollower(Instances, source, newSink(), testPollPolicy)
	is.NoErr(behind.readNext(t.Context()))
	source.put("gone", "")
	sink := &snapshotSink{newSink()}
	f := NewFollower(Instances, source, sink, testPollPolicy)
	is.NoErr(f.readNext(t.Context()))
	source.put("kept", "2")
	source.deleteHistory()
	unserved := &unservedSnapshots{fakeSource: source}
	f.source = unserved
	is.True(f.readNext(t.Context()) != nil)
	f.ApplyDelta(behind.Since(0))
	is.Equal(sink.get("gone"), "")
	is.Equal(sink.get("kept"), "1")
}

// unservedSnapshots is a source that serves reads only.
type unservedSnapshots struct{ *fakeSource }

func (*unservedSnapshots) Newest(context.Context, ID) ([]Record, uint64, error) {
	return nil, 0, errors.New("status 503")
}

// Guards against a copy that is taken on top of an empty snapshot and passes for one that knows all removals: a peer that is behind
// adopts the position and keeps what was removed before the copy.
func TestCopyOnAnEmptySnapshotKnowsNoEarlierRemovals(t *testing.T) {
	is := is.New(t)
	source := &fakeSource{}
	early := NewFollower(Instances, source, newSink(), testPollPolicy)
	is.NoErr(early.readNext(t.Context())) // nothing was written yet
	source.put("gone", "1")
	source.put("kept", "1")
	sink := newSink()
	behind := NewFollower(Instances, source, sink, testPollPolicy)
	is.NoErr(behind.readNext(t.Context()))
	source.put("gone", "")
	peer := NewFollower(Instances, source, newSink(), testPollPolicy)
	is.NoErr(peer.readNext(t.Context()))
	early.ApplyDelta(peer.Since(0))
	is.Equal(early.Position(), uint64(3))
	behind.ApplyDelta(early.Since(behind.Position()))
	is.Equal(behind.Position(), uint64(2)) // the removal at offset 2 has yet to be read
	is.NoErr(behind.readNext(t.Context()))
	is.Equal(sink.get("gone"), "")
}

// A key is removed and written again with the same content. Guards against a router that learns both at once from a peer, finds
// that nothing has changed, and leaves the key out of what it passes on: a router that has seen the removal would miss the key for
// as long as it takes its updates from that one. A worker whose entry lapsed and is back would get no requests from it.
func TestKeyThatIsBackIsPassedOn(t *testing.T) {
	is := is.New(t)
	source := &fakeSource{}
	source.put("back", "1")
	reader := NewFollower(Instances, source, newSink(), testPollPolicy)
	is.NoErr(reader.readNext(t.Context()))
	between := NewFollower(Instances, source, newSink(), testPollPolicy)
	between.ApplyDelta(reader.Since(0))
	sink := newSink()
	removed := NewFollower(Instances, source, sink, testPollPolicy)
	removed.ApplyDelta(reader.Since(0))
	source.put("back", "")
	is.NoErr(removed.readNext(t.Context()))
	is.Equal(sink.get("back"), "")
	source.put("back", "1")
	is.NoErr(reader.readNext(t.Context()))
	between.ApplyDelta(reader.Since(between.Position()))
	removed.ApplyDelta(between.Since(removed.Position()))
	is.Equal(removed.Position(), uint64(3))
	is.Equal(sink.get("back"), "1")
}

// The same, learned from a snapshot whose later pages are newer than its end.
func TestKeyThatIsBackInASnapshotIsPassedOn(t *testing.T) {
	is := is.New(t)
	source := &pagedSource{}
	source.put("key", "1")
	f := NewFollower(Instances, source, newSink(), testPollPolicy)
	is.NoErr(f.readNext(t.Context()))
	source.put("key", "2")
	sink := newSink()
	peer := NewFollower(Instances, source, sink, testPollPolicy)
	is.NoErr(peer.readNext(t.Context()))
	is.Equal(sink.get("key"), "2")
	source.deleteHistory()
	source.beforeLastPage = func() { source.put("key", "1") }
	is.NoErr(f.readNext(t.Context()))
	is.Equal(f.Position(), uint64(2))
	is.NoErr(f.readNext(t.Context()))
	peer.ApplyDelta(f.Since(peer.Position()))
	is.Equal(peer.Position(), uint64(3))
	is.Equal(sink.get("key"), "1")
}

// pagedSource is a source whose snapshots have an empty first page and a last one that is read after beforeLastPage.
type pagedSource struct {
	fakeSource
	beforeLastPage func()
}

func (s *pagedSource) Newest(ctx context.Context, id ID) ([]Record, uint64, error) {
	_, next, err := s.fakeSource.Newest(ctx, id)
	if s.beforeLastPage != nil {
		s.beforeLastPage()
	}
	records, _, _ := s.fakeSource.Newest(ctx, id)
	return records, next, err
}

// Guards against a late snapshot that removes a key: it was removed when the snapshot was taken, and is back in the copy that
// arrived meanwhile, which holds its content with the record of before.
func TestLateSnapshotKeepsAKeyThatIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source := &lateSource{delay: time.Second}
		source.put("back", "1")
		peer := NewFollower(Instances, &source.fakeSource, newSink(), testPollPolicy)
		is.NoErr(peer.readNext(t.Context()))
		source.put("back", "")
		source.put("other", "1")
		sink := &snapshotSink{newSink()}
		started := NewFollower(Instances, source, sink, testPollPolicy)
		go func() { is.NoErr(started.readNext(t.Context())) }()
		time.Sleep(source.delay / 2)
		source.put("back", "1")
		source.deleteHistory()
		is.NoErr(peer.readNext(t.Context()))
		started.ApplyDelta(peer.Since(0))
		is.Equal(started.Position(), uint64(4))
		is.Equal(sink.get("back"), "1")
		time.Sleep(source.delay)
		is.Equal(sink.get("back"), "1")
		is.Equal(started.Position(), uint64(4))
	})
}

// Guards against a rule that refuses what is sound: a copy lacks a key whose record the peer could not use, as one of another
// version, and the next snapshot has it with a record below the position.
func TestSnapshotAddsWhatACopyLacked(t *testing.T) {
	is := is.New(t)
	source := &fakeSource{}
	source.put("lacking", "1")
	source.put("kept", "1")
	sink := &snapshotSink{newSink()}
	f := NewFollower(Instances, source, sink, testPollPolicy)
	f.ApplyDelta(Delta{Next: 2, FreshAt: time.Now(), Records: []Record{{Key: "kept", Offset: 1, Value: []byte("1")}}})
	is.Equal(f.Position(), uint64(2))
	source.put("kept", "2")
	source.deleteHistory()
	is.NoErr(f.readNext(t.Context()))
	is.Equal(sink.get("lacking"), "1")
	is.Equal(sink.get("kept"), "2")
}

// A crashed worker's entry stays for some seconds, and its successor at the address takes its place with a later record. Guards
// against a copy or a snapshot whose records are applied in another order: the successor would be applied first, and both be used.
func TestRecordsAreAppliedInTheOrderOfOffsets(t *testing.T) {
	is := is.New(t)
	source := &fakeSource{}
	const keys = 50
	for n := range keys {
		source.put(fmt.Sprint("key-", n), "1")
	}
	snapshot, copied, read := &orderSink{}, &orderSink{}, &orderSink{}
	f := NewFollower(Instances, source, snapshot, testPollPolicy)
	is.NoErr(f.readNext(t.Context()))
	NewFollower(Instances, source, copied, testPollPolicy).ApplyDelta(f.Since(0))
	behind := NewFollower(Instances, source, read, testPollPolicy)
	behind.Merge(nil, 0, time.Now())
	behind.synced = true
	is.NoErr(behind.readNext(t.Context()))
	for _, s := range []*orderSink{snapshot, copied, read} {
		is.Equal(len(s.offsets), keys)
		is.True(slices.IsSorted(s.offsets))
	}
}

// orderSink notes the offsets of the records that it is given.
type orderSink struct{ offsets []uint64 }

func (s *orderSink) Apply(r Record, _ Origin) bool {
	s.offsets = append(s.offsets, r.Offset)
	return true
}

func (s *orderSink) StoreRecovered() {}

func (s *orderSink) SnapshotApplied(map[string]bool, Origin) {}

// 200 workers a day leave for good. Guards against tables and copies that grow with each of them: a gateway that starts takes no
// copy above some size. A peer that has heard of nobody for longer than removals are kept must not adopt the position of one that
// has forgotten them, and reads the store.
func TestRemovalsAreForgotten(t *testing.T) {
	const (
		perDay = 200
		days   = 30
		kept   = 2 * perDay / 24 // within two hours
	)
	is := is.New(t)
	now := time.Unix(1000, 0)
	source := &fakeSource{}
	follow := func() (*Follower, *snapshotSink) {
		sink := &snapshotSink{newSink()}
		f := NewFollower(Instances, source, sink, testPollPolicy)
		f.now = func() time.Time { return now }
		return f, sink
	}
	reader, _ := follow()
	cutOff, cutOffSink := follow()
	source.put("kept", "1")
	for n := range days * perDay {
		key := fmt.Sprint("worker-", n)
		source.put(key, "1")
		is.NoErr(reader.readNext(t.Context()))
		if n == perDay {
			cutOff.ApplyDelta(reader.Since(0))
			is.Equal(cutOffSink.get(key), "1")
		}
		source.put(key, "")
		now = now.Add(24 * time.Hour / perDay)
		is.NoErr(reader.readNext(t.Context()))
	}
	is.Equal(reader.Summary().InForce, 1)
	is.True(reader.Summary().Removed <= kept)
	is.True(len(reader.Since(0).Records) <= 1+kept)
	is.True(len(reader.table.newest) <= 1+kept)

	gone := fmt.Sprint("worker-", perDay)
	position := cutOff.Position()
	cutOff.ApplyDelta(reader.Since(position))
	is.Equal(cutOff.Position(), position)
	is.NoErr(cutOff.readNext(t.Context()))
	is.Equal(cutOffSink.get(gone), "")
	// A peer that is behind by less than removals are kept needs no store.
	recent, recentSink := follow()
	source.put("leaves", "1")
	is.NoErr(reader.readNext(t.Context()))
	recent.ApplyDelta(reader.Since(0))
	is.Equal(recentSink.get("leaves"), "1")
	source.put("leaves", "")
	is.NoErr(reader.readNext(t.Context()))
	now = now.Add(removalsKept - time.Minute)
	is.NoErr(reader.readNext(t.Context()))
	recent.ApplyDelta(reader.Since(recent.Position()))
	is.Equal(recentSink.get("leaves"), "")
	is.Equal(recent.Position(), reader.Position())
	// What is older than the forgotten removal of a key is not newer than it.
	reader.ApplyDelta(Delta{Records: []Record{{Key: gone, Offset: position - 1, Value: []byte("1")}}, Next: position, FreshAt: now})
	is.Equal(reader.Summary().InForce, 1)
}
