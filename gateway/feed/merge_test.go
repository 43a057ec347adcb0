package feed

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against an update from a peer that reverts a value, or that advances the position past records not
// yet applied.
func TestMergeIgnoresOlderRecords(t *testing.T) {
	is := is.New(t)
	sink := newSink()
	f := NewFollower(Instances, &fakeSource{}, sink, testPollPolicy)
	now := time.Now()
	f.Merge([]Record{{Key: "a", Offset: 5, Value: []byte("new")}}, 6, now)
	f.Merge([]Record{{Key: "a", Offset: 2, Value: []byte("old")}}, 3, now.Add(time.Second))
	is.Equal(sink.get("a"), "new")
	is.Equal(f.Position(), uint64(6))
	is.True(f.Age() >= 0) // the freshness of a peer that lags behind is ignored
	f.Merge([]Record{{Key: "a", Offset: 7, Value: []byte("new")}}, 8, now)
	delta := f.Since(0)
	is.Equal(delta.Next, uint64(8))
	is.Equal(len(delta.Records), 1)
	is.Equal(delta.Records[0].Offset, uint64(5)) // the later record changed nothing
	is.Equal(len(f.Since(6).Records), 0)
}

// Guards against a missed removal: a router that starts after the removal does not know of it, and another
// router that adopted its position would skip the removal.
func TestRestartedPeerDoesNotHideRemovals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source := &fakeSource{}
		source.put("a", "1")
		source.put("b", "1")
		source.put("a", "")
		restarted := NewFollower(Instances, source, newSink(), testPollPolicy)
		ctx, cancel := context.WithCancel(t.Context())
		go restarted.Run(ctx)
		time.Sleep(time.Second)
		for _, base := range []uint64{0, 2} { // a sender that does not know the receiver's position sends 0
			sink := newSink()
			old := NewFollower(Instances, source, sink, testPollPolicy)
			old.Merge([]Record{{"a", 0, []byte("1")}, {"b", 1, []byte("1")}}, 2, time.Now())
			old.ApplyDelta(restarted.Since(base))
			is.Equal(old.Position(), uint64(2)) // the removal of a at offset 2 has yet to be read
		}
		sink := newSink()
		fresh := NewFollower(Instances, source, sink, testPollPolicy)
		fresh.ApplyDelta(restarted.Since(0))
		is.Equal(fresh.Position(), uint64(3)) // a new follower has nothing to remove
		is.Equal(sink.get("b"), "1")
		cancel()
		synctest.Wait()
	})
}

// slowSink signals when it begins to apply a record, and takes a while to apply it.
type slowSink struct {
	applying chan struct{}
	applied  int
}

func (s *slowSink) Apply(Record, Origin) bool {
	s.applying <- struct{}{}
	time.Sleep(10 * time.Millisecond)
	s.applied++
	return true
}

func (s *slowSink) StoreRecovered() {}

func (s *slowSink) SnapshotApplied(map[string]bool, Origin) {}

// Guards against a router that becomes ready with only part of the instances that one read returned.
func TestBetweenDoesNotSeePartialMerge(t *testing.T) {
	is := is.New(t)
	sink := &slowSink{applying: make(chan struct{}, 2)}
	f := NewFollower(Instances, &fakeSource{}, sink, testPollPolicy)
	go f.Merge([]Record{{Key: "a", Offset: 1}, {Key: "b", Offset: 2}}, 3, time.Now())
	<-sink.applying
	applied := 0
	f.WithLock(func() { applied = sink.applied })
	is.Equal(applied, 2)
}

// A router restarts and reads a snapshot without a key that was removed before. Guards against the record of the key
// coming back from a peer that has not followed the removal and still sends to the position of the router's
// predecessor: an instance that had left, or a withdrawn API key, would be in use again.
func TestRemovedRecordsDoNotReturnFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source := &fakeSource{}
		source.put("a", "1")
		source.put("b", "1")
		lagging := NewFollower(Instances, source, newSink(), testPollPolicy)
		lagging.Merge([]Record{{"a", 0, []byte("1")}, {"b", 1, []byte("1")}}, 2, time.Now())
		source.put("a", "")
		sink := newSink()
		restarted := NewFollower(Instances, source, sink, testPollPolicy)
		ctx, cancel := context.WithCancel(t.Context())
		go restarted.Run(ctx)
		time.Sleep(time.Second)
		is.Equal(restarted.Position(), uint64(3))
		restarted.ApplyDelta(lagging.Since(0))
		is.Equal(sink.get("a"), "")
		is.Equal(sink.get("b"), "1")
		cancel()
		synctest.Wait()
	})
}

// Guards against a follower that starts before anything was written and skips the first record as one that was removed
// before its snapshot.
func TestFirstRecordAfterEmptySnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source, sink := &fakeSource{}, newSink()
		f := NewFollower(Configuration, source, sink, testPollPolicy)
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(time.Second)
		source.put("config", "1")
		time.Sleep(2 * time.Second)
		is.Equal(sink.get("config"), "1")
		peer := newSink()
		other := NewFollower(Configuration, source, peer, testPollPolicy)
		other.ApplyDelta(f.Since(other.Position()))
		is.Equal(peer.get("config"), "1")
		cancel()
		synctest.Wait()
	})
}

// Two routers pass their updates on to each other over a slow link, and the one that reads the store stops. Guards
// against a feed that both find fresh for ever, because each hop underestimates the age by its delay: departures of
// instances would be missed for seconds.
func TestFreshnessIsNotPassedBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const delay, accounted = 120 * time.Millisecond, 10 * time.Millisecond
		parent := NewFollower(Instances, &fakeSource{}, newSink(), testPollPolicy)
		child := NewFollower(Instances, &fakeSource{}, newSink(), testPollPolicy)
		parent.Merge(nil, 5, time.Now())
		stopped := time.Now()
		for range 20 {
			down := parent.Since(child.Position())
			time.Sleep(delay)
			down.FromParent = true
			down.FreshAt = down.FreshAt.Add(delay - accounted)
			child.ApplyDelta(down)
			up := child.Since(parent.Position())
			time.Sleep(delay)
			if !up.FromParent {
				up.FreshAt = up.FreshAt.Add(delay - accounted)
				parent.ApplyDelta(up)
			}
		}
		is.True(parent.FreshAt().Equal(stopped))
		is.True(child.FreshAt().Sub(stopped) <= delay)
	})
}

// lateSource answers Newest with what it held when it was asked, after a delay.
type lateSource struct {
	fakeSource
	delay time.Duration
}

func (s *lateSource) Newest(ctx context.Context, id ID) ([]Record, uint64, error) {
	records, next, err := s.fakeSource.Newest(ctx, id)
	time.Sleep(s.delay)
	return records, next, err
}

// snapshotSink drops the values that a snapshot does not have.
type snapshotSink struct{ *fakeSink }

func (s *snapshotSink) SnapshotApplied(keys map[string]bool, _ Origin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.values {
		if !keys[key] {
			delete(s.values, key)
		}
	}
}

// Guards against a snapshot of the store that arrives late and takes back what a peer has sent meanwhile: an evacuation
// that is in force would end for good, as its record is known, and an instance that has joined would be gone.
func TestLateSnapshotTakesNothingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		source, sink := &lateSource{delay: time.Second}, &snapshotSink{newSink()}
		source.put("gone", "1")
		source.put("kept", "1")
		f := NewFollower(Configuration, source, sink, testPollPolicy)
		go f.Run(ctx)
		time.Sleep(source.delay / 2)
		source.put("joined", "1")
		source.put("gone", "")
		f.ApplyDelta(Delta{Next: 4, HistoryFrom: 2, FreshAt: time.Now(), Records: []Record{
			{Key: "kept", Offset: 1, Value: []byte("1")}, {Key: "joined", Offset: 2, Value: []byte("1")}, {Key: "gone", Offset: 3},
		}})
		is.Equal(sink.get("joined"), "1")
		time.Sleep(source.delay)
		is.Equal(sink.get("joined"), "1")
		is.Equal(sink.get("kept"), "1")
		is.Equal(sink.get("gone"), "")
		is.Equal(f.Position(), uint64(4))
		is.Equal(f.Since(4).HistoryFrom, uint64(4)) // what was removed before it took the copy is not all known
		cancel()
		synctest.Wait()
	})
}
