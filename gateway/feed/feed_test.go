package feed

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

var testPollPolicy = PollPolicy{MaxAge: 700 * time.Millisecond}

// Guards against a follower that stops after an outage, after its records have expired, or both, and against
// a recovery of the store that its sink is not told of.
func TestFollowerRecoversFromOutageAndExpiredRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source, sink := &fakeSource{}, newSink()
		source.put("a", "1")
		f := NewFollower(Instances, source, sink, testPollPolicy)
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(time.Second)
		is.Equal(sink.get("a"), "1")
		source.fail(errors.New("down"))
		time.Sleep(6 * time.Second)
		is.True(f.Failing())
		source.put("a", "2")
		source.put("b", "1")
		source.firstOffset = 3
		source.fail(nil)
		time.Sleep(2 * time.Second)
		is.Equal(sink.get("a"), "2")
		is.Equal(sink.get("b"), "1")
		is.Equal(sink.recoveries, 1)
		is.True(sink.snapshots >= 2) // a second snapshot was read after the records had expired
		is.True(!f.Failing())
		cancel()
		synctest.Wait()
	})
}

// hangingSource answers no read while it hangs, nor later the reads that were in progress then.
type hangingSource struct {
	fakeSource
	hanging bool
}

func (s *hangingSource) setHanging(hanging bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hanging = hanging
}

func (s *hangingSource) Read(ctx context.Context, id ID, from uint64, wait time.Duration) ([]Record, uint64, error) {
	for end := time.Now().Add(wait); ; time.Sleep(10 * time.Millisecond) {
		s.mu.Lock()
		hanging, more := s.hanging, uint64(len(s.records)) > from
		s.mu.Unlock()
		if hanging {
			<-ctx.Done()
			return nil, 0, ctx.Err()
		}
		if more || ctx.Err() != nil || !time.Now().Before(end) {
			return s.fakeSource.Read(ctx, id, from, 0)
		}
	}
}

// Guards against a configuration that is seen late because the long poll waiting for it was lost: a change is
// in force three seconds after an outage of any length.
func TestLostLongPollIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source, sink := &hangingSource{}, newSink()
		source.put("config", "0")
		f := NewFollower(Configuration, source, sink, PollPolicy{Wait: 2 * time.Second})
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		for n, outage := range []time.Duration{50 * time.Millisecond, 900 * time.Millisecond, 3 * time.Second, 8 * time.Second, 8100 * time.Millisecond} {
			time.Sleep(time.Duration(n) * 700 * time.Millisecond)
			source.setHanging(true)
			time.Sleep(outage)
			source.setHanging(false)
			source.put("config", fmt.Sprint(n))
			time.Sleep(3 * crowdRetryDelay)
			is.Equal(sink.get("config"), fmt.Sprint(n))
		}
		cancel()
		time.Sleep(time.Second) // the read in progress sees the cancellation
		synctest.Wait()
	})
}

// Guards against store calls that grow with the number of routers: followers that exchange positions read
// about as often as a single one, and each knows of a change within the maximum age and one exchange.
func TestFleetSharesStoreReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const routers, span = 30, 20 * time.Second
		source := &fakeSource{}
		ctx, cancel := context.WithCancel(t.Context())
		var followers []*Follower
		var sinks []*fakeSink
		for n := range routers {
			sink := newSink()
			f := NewFollower(Instances, source, sink, testPollPolicy)
			f.SetRank(n)
			followers, sinks = append(followers, f), append(sinks, sink)
			go f.Run(ctx)
		}
		go func() {
			for ctx.Err() == nil {
				time.Sleep(150 * time.Millisecond)
				for _, from := range followers {
					for _, to := range followers {
						to.ApplyDelta(from.Since(to.Position()))
					}
				}
			}
		}()
		time.Sleep(2 * time.Second)
		before := source.readCount()
		for n := range int(span / time.Second) {
			source.put("a", fmt.Sprint(n))
			time.Sleep(time.Second)
		}
		source.put("a", "last")
		time.Sleep(1500 * time.Millisecond)
		for _, s := range sinks {
			is.Equal(s.get("a"), "last")
		}
		// Thirty independent routers would make 540 calls or more, a single one would make 30.
		is.True(source.readCount()-before < 60)
		cancel()
		time.Sleep(time.Second)
		synctest.Wait()
	})
}

// Guards against a router that detects the recovery of the store only at the end of a long poll: while reads
// fail, they do not wait.
func TestReadsAfterFailureDoNotLongPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source, sink := &hangingSource{}, newSink()
		source.put("config", "0")
		f := NewFollower(Configuration, source, sink, PollPolicy{Wait: 5 * time.Second})
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(time.Second)
		source.setHanging(true)
		time.Sleep(8 * time.Second)
		source.setHanging(false)
		source.put("config", "1")
		time.Sleep(3 * crowdRetryDelay)
		is.Equal(sink.get("config"), "1")
		cancel()
		time.Sleep(time.Second) // the read in progress sees the cancellation
		synctest.Wait()
	})
}

// Guards against a router that has just started and uses the old copy of a peer that is cut off from the store: an
// instance that has left since, or a withdrawn key, would be in use again. Without the store an old copy is better than
// none.
func TestOldCopyIsUsedOnlyWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for _, down := range []bool{false, true} {
			source := &fakeSource{}
			source.put("a", "1")
			cutOff := NewFollower(Instances, source, newSink(), testPollPolicy)
			cutOff.Merge([]Record{{"a", 0, []byte("1")}}, 1, time.Now())
			time.Sleep(5 * time.Second)
			source.put("a", "")
			if down {
				source.fail(errors.New("down"))
			}
			sink := newSink()
			started := NewFollower(Instances, source, sink, testPollPolicy)
			started.SetRank(1)
			ctx, cancel := context.WithCancel(t.Context())
			go started.Run(ctx)
			seen := ""
			for range 30 {
				started.ApplyDelta(cutOff.Since(started.Position()))
				seen += sink.get("a")
				time.Sleep(50 * time.Millisecond)
			}
			is.Equal(seen != "", down)
			cancel()
			synctest.Wait()
		}
	})
}

// Guards against a large fleet that presses on a store that is down: each router that waits for others to read makes at
// most one call a second. It also guards against one that, the only one that the store serves again, does not find out.
func TestLargeFleetReadsSeldomDuringAnOutage(t *testing.T) {
	const (
		routers = 100
		outage  = 8 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		sources := make([]*fakeSource, routers)
		followers := make([]*Follower, routers)
		for n := range routers {
			sources[n] = &fakeSource{}
			sources[n].put("a", "1")
			followers[n] = NewFollower(Configuration, sources[n], newSink(), PollPolicy{MaxAge: 700 * time.Millisecond})
			followers[n].SetRank(n)
			go followers[n].Run(ctx)
		}
		time.Sleep(5 * time.Second)
		before := 0
		for _, s := range sources {
			s.fail(errors.New("down"))
			before += s.readCount()
		}
		time.Sleep(outage)
		calls := -before
		for _, s := range sources {
			calls += s.readCount()
		}
		is.True(calls <= routers*int(outage/time.Second))
		served := sources[routers-1]
		served.put("a", "2")
		served.fail(nil)
		time.Sleep(3 * crowdRetryDelay)
		is.Equal(followers[routers-1].Position(), uint64(2))
		cancel()
		synctest.Wait()
	})
}

// Guards against a router that waits for a copy of a feed although it is known that no peer has one.
func TestEndOfStartWaitReadsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		source := &fakeSource{}
		source.put("a", "1")
		f := NewFollower(Configuration, source, newSink(), PollPolicy{MaxAge: time.Hour})
		f.StartWait = time.Hour
		f.SetRank(5)
		go f.Run(ctx)
		time.Sleep(time.Second)
		is.Equal(source.readCount(), 0)
		f.EndStartWait()
		synctest.Wait()
		is.Equal(f.Position(), uint64(1))
		cancel()
		synctest.Wait()
	})
}

// Guards against a hundred routers that read in turn, and a third of them in vain, while the store turns the first ones
// of the fleet away: the others follow the one that was served first.
func TestFleetFollowsTheRouterThatIsServed(t *testing.T) {
	const (
		routers, refused = 100, 36
		spread           = 150 * time.Millisecond
		outage           = 8 * time.Second
		// callsPerSecond is a half of the calls that a fleet of a hundred may make: there are two feeds.
		callsPerSecond = 5
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		sources := make([]*fakeSource, routers)
		followers := make([]*Follower, routers)
		for n := range routers {
			sources[n] = &fakeSource{}
			sources[n].put("a", "1")
			followers[n] = NewFollower(Instances, sources[n], newSink(), PollPolicy{MaxAge: 700 * time.Millisecond})
			followers[n].SetRank(n)
			followers[n].OnAdvance = func() {
				time.AfterFunc(spread, func() {
					update := followers[n].Since(0)
					update.FromParent = true
					for other, f := range followers {
						if other != n {
							f.ApplyDelta(update)
						}
					}
				})
			}
			go followers[n].Run(ctx)
		}
		calls := func() int {
			sum := 0
			for _, s := range sources {
				sum += s.readCount()
			}
			return sum
		}
		time.Sleep(5 * time.Second)
		for _, s := range sources[:refused] {
			s.fail(errors.New("refused"))
		}
		time.Sleep(3 * time.Second) // until one of the others was served
		before := calls()
		time.Sleep(outage)
		t.Logf("%d calls in %s", calls()-before, outage)
		is.True(calls()-before <= callsPerSecond*int(outage/time.Second))
		for _, f := range followers {
			is.True(f.Age() < 2*time.Second)
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against a router whose updates nobody can follow: it has its position from a peer, reads the store for the first
// time, and takes a snapshot, so that it knows no removals before it. While the store serves only such routers, each of
// the others had to read for itself.
func TestFirstReadAfterACopyGoesOnFromIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		source := &fakeSource{}
		source.put("a", "1")
		source.put("b", "1")
		first := NewFollower(Instances, source, newSink(), testPollPolicy)
		go first.Run(ctx)
		time.Sleep(time.Second)
		sink, reader := newSink(), NewFollower(Instances, source, newSink(), testPollPolicy)
		behind := NewFollower(Instances, source, sink, testPollPolicy)
		reader.ApplyDelta(first.Since(0))
		behind.ApplyDelta(first.Since(0))
		source.put("a", "")
		source.put("b", "2")
		reader.SetRank(0)
		go reader.Run(ctx)
		time.Sleep(2 * time.Second)
		behind.ApplyDelta(reader.Since(behind.Position()))
		is.Equal(behind.Position(), uint64(4))
		is.Equal(sink.get("a"), "")
		is.Equal(sink.get("b"), "2")
		cancel()
		synctest.Wait()
	})
}

// Guards against a router that neither hears of a change from its peers, because the records are too large to be passed on
// unasked, nor reads it from the store, because it rests after failed reads while peers keep its feed up to date.
func TestRestEndsWhenAPeerIsAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		source, sink := &fakeSource{}, newSink()
		source.put("config", "0")
		f := NewFollower(Configuration, source, sink, testPollPolicy)
		f.SetRank(1)
		f.EndStartWait()
		go f.Run(ctx)
		synctest.Wait()
		source.fail(errors.New("down"))
		const beat = 50 * time.Millisecond
		// It goes on reading until two reads in a row have failed.
		time.Sleep(testPollPolicy.MaxAge + readStagger + maxRetryDelay)
		before := source.readCount()
		is.True(before > 2)
		for range freshRetryDelay / beat / 2 {
			time.Sleep(beat)
			f.ApplyDelta(Delta{Base: 1, Next: 1, FreshAt: time.Now()})
		}
		is.Equal(source.readCount(), before) // it rests
		source.put("config", "1")
		source.fail(nil)
		f.RecordPeerPosition(2)
		time.Sleep(maxRetryDelay + agePollInterval)
		is.Equal(sink.get("config"), "1")
		cancel()
		synctest.Wait()
	})
}
