package feed

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// fakeSource is a store in memory.
type fakeSource struct {
	mu      sync.Mutex
	records []Record
	first   uint64
	err     error
	reads   int
}

func (s *fakeSource) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, Record{Key: key, Offset: uint64(len(s.records)), Value: []byte(value)})
}

func (s *fakeSource) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
}

func (s *fakeSource) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

func (s *fakeSource) Newest(context.Context, ID) ([]Record, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.err != nil {
		return nil, 0, s.err
	}
	newest := map[string]Record{}
	for _, r := range s.records {
		newest[r.Key] = r
	}
	var out []Record
	for _, r := range newest {
		if len(r.Value) > 0 {
			out = append(out, r)
		}
	}
	return out, uint64(len(s.records)), nil
}

func (s *fakeSource) Read(_ context.Context, _ ID, from uint64, _ time.Duration) ([]Record, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.err != nil {
		return nil, 0, s.err
	}
	if from < s.first {
		return nil, 0, ErrExpired
	}
	return slices.Clone(s.records[from:]), uint64(len(s.records)), nil
}

// fakeSink keeps what it is given.
type fakeSink struct {
	mu       sync.Mutex
	values   map[string]string
	complete int
	returned int
}

func newSink() *fakeSink { return &fakeSink{values: map[string]string{}} }

func (s *fakeSink) Apply(r Record) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.values[r.Key] != string(r.Value)
	s.values[r.Key] = string(r.Value)
	return changed
}

func (s *fakeSink) Complete(map[string]bool) { s.mu.Lock(); s.complete++; s.mu.Unlock() }
func (s *fakeSink) Returned()                { s.mu.Lock(); s.returned++; s.mu.Unlock() }

func (s *fakeSink) get(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[key]
}

var instancesPace = Pace{MaxAge: 700 * time.Millisecond}

// Guards against a follower that stands still after an outage, a forgotten history or both, and
// against a return of the store that its sink does not learn of.
func TestFollowsThroughOutages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source, sink := &fakeSource{}, newSink()
		source.put("a", "1")
		f := NewFollower(Instances, source, sink, instancesPace)
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(time.Second)
		is.Equal(sink.get("a"), "1")
		source.fail(errors.New("down"))
		time.Sleep(6 * time.Second)
		is.True(f.Failing())
		source.put("a", "2")
		source.put("b", "1")
		source.first = 3
		source.fail(nil)
		time.Sleep(2 * time.Second)
		is.Equal(sink.get("a"), "2")
		is.Equal(sink.get("b"), "1")
		is.Equal(sink.returned, 1)
		is.True(sink.complete >= 2) // read as a whole after the history was forgotten
		is.True(!f.Failing())
		cancel()
		synctest.Wait()
	})
}

// hangingSource answers no read while it is silent, and none of those that began then.
type hangingSource struct {
	fakeSource
	silent bool
}

func (s *hangingSource) hang(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

func (s *hangingSource) Read(ctx context.Context, id ID, from uint64, wait time.Duration) ([]Record, uint64, error) {
	for end := time.Now().Add(wait); ; time.Sleep(10 * time.Millisecond) {
		s.mu.Lock()
		silent, more := s.silent, uint64(len(s.records)) > from
		s.mu.Unlock()
		if silent {
			<-ctx.Done()
			return nil, 0, ctx.Err()
		}
		if more || ctx.Err() != nil || !time.Now().Before(end) {
			return s.fakeSource.Read(ctx, id, from, 0)
		}
	}
}

// Guards against a configuration that is seen late because the read that waits for it was lost: three
// seconds after an outage of any length a change is in force.
func TestLostWaitIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source, sink := &hangingSource{}, newSink()
		source.put("config", "0")
		f := NewFollower(Configuration, source, sink, Pace{Wait: 2 * time.Second})
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		for n, outage := range []time.Duration{50 * time.Millisecond, 900 * time.Millisecond, 3 * time.Second, 8 * time.Second, 8100 * time.Millisecond} {
			time.Sleep(time.Duration(n) * 700 * time.Millisecond)
			source.hang(true)
			time.Sleep(outage)
			source.hang(false)
			source.put("config", fmt.Sprint(n))
			time.Sleep(3 * time.Second)
			is.Equal(sink.get("config"), fmt.Sprint(n))
		}
		cancel()
		time.Sleep(time.Second) // the read in progress sees the end
		synctest.Wait()
	})
}

// Guards against news of a peer that takes a value back, or a position over that skips records.
func TestMergeOnlyAdvances(t *testing.T) {
	is := is.New(t)
	sink := newSink()
	f := NewFollower(Instances, &fakeSource{}, sink, instancesPace)
	now := time.Now()
	f.Merge([]Record{{Key: "a", Offset: 5, Value: []byte("new")}}, 6, now)
	f.Merge([]Record{{Key: "a", Offset: 2, Value: []byte("old")}}, 3, now.Add(time.Second))
	is.Equal(sink.get("a"), "new")
	is.Equal(f.Position(), uint64(6))
	is.True(f.Age() >= 0) // the age of news that are behind does not count
	f.Merge([]Record{{Key: "a", Offset: 7, Value: []byte("new")}}, 8, now)
	news := f.Since(0)
	is.Equal(news.Next, uint64(8))
	is.Equal(len(news.Records), 1)
	is.Equal(news.Records[0].Offset, uint64(5)) // the later one says nothing new
	is.Equal(len(f.Since(6).Records), 0)
}

// Guards against a router that starts after a removal and whose position, taken over by another one,
// hides the removal from it.
func TestRestartedPeerDoesNotHideRemovals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source := &fakeSource{}
		source.put("a", "1")
		source.put("b", "1")
		source.put("a", "")
		restarted := NewFollower(Instances, source, newSink(), instancesPace)
		ctx, cancel := context.WithCancel(t.Context())
		go restarted.Run(ctx)
		time.Sleep(time.Second)
		for _, base := range []uint64{0, 2} { // a sender that does not know the receiver's position says 0
			sink := newSink()
			old := NewFollower(Instances, source, sink, instancesPace)
			old.Merge([]Record{{"a", 0, []byte("1")}, {"b", 1, []byte("1")}}, 2, time.Now())
			old.Learn(restarted.Since(base))
			is.Equal(old.Position(), uint64(2)) // the removal of a at 2 is still to be read
		}
		sink := newSink()
		fresh := NewFollower(Instances, source, sink, instancesPace)
		fresh.Learn(restarted.Since(0))
		is.Equal(fresh.Position(), uint64(3)) // nothing to be removed there
		is.Equal(sink.get("b"), "1")
		cancel()
		synctest.Wait()
	})
}

// Guards against store calls that grow with the routers: followers that pass their positions on read
// about as often as one, and each knows a change within the age and one exchange.
func TestFleetReadsAsOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const routers, span = 30, 20 * time.Second
		source := &fakeSource{}
		ctx, cancel := context.WithCancel(t.Context())
		var followers []*Follower
		var sinks []*fakeSink
		for n := range routers {
			sink := newSink()
			f := NewFollower(Instances, source, sink, instancesPace)
			f.SetRank(n)
			followers, sinks = append(followers, f), append(sinks, sink)
			go f.Run(ctx)
		}
		go func() {
			for ctx.Err() == nil {
				time.Sleep(150 * time.Millisecond)
				for _, from := range followers {
					for _, to := range followers {
						to.Learn(from.Since(to.Position()))
					}
				}
			}
		}()
		time.Sleep(2 * time.Second)
		before := source.count()
		for n := range int(span / time.Second) {
			source.put("a", fmt.Sprint(n))
			time.Sleep(time.Second)
		}
		source.put("a", "last")
		time.Sleep(1500 * time.Millisecond)
		for _, s := range sinks {
			is.Equal(s.get("a"), "last")
		}
		// Thirty routers that read alone would make 540 calls and more, one would make 30.
		is.True(source.count()-before < 60)
		cancel()
		time.Sleep(time.Second)
		synctest.Wait()
	})
}

// Guards against a router that finds the store's return only at the end of a long wait: while reads
// fail, they do not wait.
func TestFailingReadsDoNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source, sink := &hangingSource{}, newSink()
		source.put("config", "0")
		f := NewFollower(Configuration, source, sink, Pace{Wait: 5 * time.Second})
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(time.Second)
		source.hang(true)
		time.Sleep(8 * time.Second)
		source.hang(false)
		source.put("config", "1")
		time.Sleep(3 * time.Second)
		is.Equal(sink.get("config"), "1")
		cancel()
		time.Sleep(time.Second) // the read in progress sees the end
		synctest.Wait()
	})
}

// slowSink says when it begins to take a record in, and takes a while.
type slowSink struct {
	begun chan struct{}
	taken int
}

func (s *slowSink) Apply(Record) bool {
	s.begun <- struct{}{}
	time.Sleep(10 * time.Millisecond)
	s.taken++
	return true
}
func (s *slowSink) Returned()                {}
func (s *slowSink) Complete(map[string]bool) {}

// Guards against a router that is ready with a part of the instances that one read brought.
func TestBetweenSeesWholeReads(t *testing.T) {
	is := is.New(t)
	sink := &slowSink{begun: make(chan struct{}, 2)}
	f := &Follower{sink: sink, seen: make(map[string]uint64), records: make(map[string]Record)}
	go f.Merge([]Record{{Key: "a", Offset: 1}, {Key: "b", Offset: 2}}, 3, time.Now())
	<-sink.begun
	taken := 0
	f.Between(func() { taken = sink.taken })
	is.Equal(taken, 2)
}
