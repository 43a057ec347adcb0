package claim

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jacinthfork.example/jacinthfork/services"
	"jacinthfork.example/jacinthfork/verdict"
)

// In an outage a request must fail at once with not-run, loaded stream or not.
func TestOutageIsNotRunAtOnce(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, log *memLog, svc *service) {
		loaded, fresh := newKeeper(t, testOptions(log, "a")), newKeeper(t, testOptions(log, "b"))
		action := testAction(1, "pay")
		_, err := loaded.State(t.Context(), action)
		is.NoErr(err)
		log.set(func(l *memLog) { l.down = true })
		start := time.Now()
		for _, k := range []*Keeper{loaded, loaded, fresh, fresh} {
			_, _, err := within(k, time.Minute, action, svc)
			expect(t, err, verdict.NotRun, verdict.ReasonLogUnavailable)
		}
		is.Equal(time.Since(start), time.Duration(0))
		log.set(func(l *memLog) { l.down = false })
		time.Sleep(time.Second)
		_, _, err = within(fresh, time.Minute, action, svc)
		is.NoErr(err)
		is.Equal(svc.runs.Load(), int64(1))
	})
}

// Requests that wait for a log that hangs must share one timeout, not queue up behind each other's.
func TestHangingLogFailsAllWaitersTogether(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, log *memLog, svc *service) {
		log.latency = time.Hour
		k := newKeeper(t, testOptions(log, "a"))
		start := time.Now()
		var wg sync.WaitGroup
		for i := range 50 {
			action := testAction(uint16(i), "pay")
			action.Key = keyAt(start, 7)
			wg.Go(func() {
				_, _, err := within(k, time.Minute, action, svc)
				expect(t, err, verdict.NotRun, verdict.ReasonLogUnavailable)
			})
		}
		wg.Wait()
		is.Equal(time.Since(start), DefaultAppendTimeout)
	})
}

// A lost append answer must neither fail the action nor make it run twice.
func TestLostAppendAnswer(t *testing.T) {
	for name, lose := range map[string]func(l *memLog){
		"stored":     func(l *memLog) { l.loseAnswers = 1 },
		"not stored": func(l *memLog) { l.loseAppends = 1 },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				log, svc := newMemLog(), &service{}
				k, action := newKeeper(t, testOptions(log, "a")), testAction(1, "pay")
				_, err := k.State(t.Context(), action)
				is.NoErr(err)
				log.set(lose)
				_, _, err = within(k, time.Second, action, svc)
				is.NoErr(err)
				is.Equal(svc.runs.Load(), int64(1))
			})
		})
	}
}

// A claim that could not be confirmed must be released, so that it does not block the key for good
// when a copy of it shows up, whatever the appends after the lost answer return.
func TestAbandonedClaimIsReleased(t *testing.T) {
	for name, refuse := range map[string]bool{"answers lost": false, "then refused": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testAbandonedClaim(t, refuse) })
		})
	}
}

func testAbandonedClaim(t *testing.T, refuse bool) {
	is := is.New(t)
	log, svc := newMemLog(), &service{}
	a, b := newKeeper(t, testOptions(log, "a")), newKeeper(t, testOptions(log, "b"))
	action := testAction(1, "pay")
	stream, err := a.layout.Stream(action)
	is.NoErr(err)
	_, err = a.State(t.Context(), action)
	is.NoErr(err)
	log.set(func(l *memLog) { l.readsDown, l.loseAnswers = true, 1000 })
	go func() {
		time.Sleep(time.Millisecond)
		log.set(func(l *memLog) { l.down = refuse })
	}()
	_, _, err = within(a, 5*time.Second, action, svc)
	expect(t, err, verdict.NotRun, verdict.ReasonDeadline)
	log.set(func(l *memLog) { l.readsDown, l.loseAnswers, l.down = false, 0, false })
	is.NoErr(a.Flush(t.Context()))
	is.Equal(a.pending.Load(), int64(0))
	log.set(func(l *memLog) { l.store(stream, l.streams[stream].records[0].Payload) })
	_, _, err = within(b, time.Second, action, svc)
	is.NoErr(err)
	is.Equal(svc.runs.Load(), int64(1))
}

// Duplicates at one instance must not spend log records.
func TestLocalDuplicatesShareOneClaim(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, log *memLog, svc *service) {
		svc.delay = time.Second
		log.latency = 5 * time.Millisecond
		k := newKeeper(t, testOptions(log, "a"))
		action := testAction(1, "pay")
		var wg sync.WaitGroup
		for range 10 {
			wg.Go(func() {
				_, _, err := within(k, time.Minute, action, svc)
				is.NoErr(err)
			})
		}
		wg.Wait()
		is.NoErr(k.Flush(t.Context()))
		is.Equal(k.counts.Get("append_entries").String(), "2")
	})
}

// A log that skips records or returns none below its end must not pass for a complete stream, and
// must not be read in a busy loop.
func TestIncompletePage(t *testing.T) {
	is := is.New(t)
	k := newKeeper(t, testOptions(newMemLog(), "a"))
	_, err := newStream(k, "empty").absorb(0, services.Page{Next: 3})
	expect(t, err, verdict.NotRun, verdict.ReasonLogUnavailable)
	_, err = newStream(k, "gap").absorb(0, services.Page{Next: 3, Records: []services.Record{{Offset: 2}}})
	expect(t, err, verdict.Unknown, verdict.ReasonKeyHistoryLost)
	_, err = newStream(k, "shorter").absorb(5, services.Page{Next: 3})
	expect(t, err, verdict.Unknown, verdict.ReasonKeyHistoryLost)
	is.Equal(k.counts.Get("stream_faults").String(), "2")
}

// A proven not-run must free the key for a retry at another sidecar.
func TestReleaseAfterNotRun(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, log *memLog, svc *service) {
		svc.err = verdict.New(verdict.NotRun, verdict.ReasonLeaving, "leaving")
		a, b := newKeeper(t, testOptions(log, "a")), newKeeper(t, testOptions(log, "b"))
		action := testAction(1, "pay")
		_, _, err := within(a, time.Second, action, svc)
		expect(t, err, verdict.NotRun, verdict.ReasonLeaving)
		svc.err = nil
		_, replayed, err := within(b, time.Second, action, svc)
		is.NoErr(err)
		is.True(!replayed)
	})
}

// A dispatch that panics must leave unknown, not a key that waits forever.
func TestPanicLeavesUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, svc := newMemLog(), &service{}
		k := newKeeper(t, testOptions(log, "a"))
		action := testAction(1, "pay")
		func() {
			defer func() { _ = recover() }()
			_, _, _ = k.Run(t.Context(), action, nil)
		}()
		_, _, err := within(k, time.Second, action, svc)
		expect(t, err, verdict.Unknown, verdict.ReasonKeyOutcomeLost)
	})
}

// An outcome that cannot be appended must not delay the caller, and must reach the log later.
func TestOutcomeIsAppendedAfterOutage(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, log *memLog, svc *service) {
		svc.delay = time.Second
		a, b := newKeeper(t, testOptions(log, "a")), newKeeper(t, testOptions(log, "b"))
		action := testAction(1, "pay")
		go func() {
			time.Sleep(500 * time.Millisecond)
			log.set(func(l *memLog) { l.down = true })
		}()
		first, _, err := within(a, time.Minute, action, svc)
		is.NoErr(err)
		again, replayed, err := within(a, time.Minute, action, svc)
		is.NoErr(err)
		is.True(replayed)
		is.Equal(again, first)
		time.Sleep(time.Hour)
		log.set(func(l *memLog) { l.down = false })
		is.NoErr(a.Flush(t.Context()))
		again, replayed, err = within(b, time.Minute, action, svc)
		is.NoErr(err)
		is.True(replayed)
		is.Equal(again, first)
	})
}

// Whatever waits for the log in an outage must stay within its bounds.
func TestOutageIsBounded(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, log *memLog, svc *service) {
		svc.size, svc.delay = 1000, time.Second
		opts := testOptions(log, "a")
		opts.Partitions, opts.MaxPendingBytes = 1, 2500
		k := newKeeper(t, opts)
		var wg sync.WaitGroup
		for i := range 5 {
			wg.Go(func() {
				_, _, err := within(k, time.Minute, testAction(uint16(i), "pay"), svc)
				is.NoErr(err)
			})
		}
		time.Sleep(500 * time.Millisecond)
		log.set(func(l *memLog) { l.down = true })
		wg.Wait()
		time.Sleep(time.Minute)
		is.Equal(k.pending.Load(), int64(5))
		is.True(k.pendingBytes.Load() <= opts.MaxPendingBytes)
		log.set(func(l *memLog) { l.down = false })
		is.NoErr(k.Flush(t.Context()))
		is.Equal(k.pending.Load(), int64(0))
		is.Equal(k.pendingBytes.Load(), int64(0))
	})
}

// Claims over MaxPending must be refused with not-run instead of queued.
func TestTooManyClaims(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, log *memLog, svc *service) {
		svc.delay = time.Second
		opts := testOptions(log, "a")
		opts.MaxPending = 10
		k := newKeeper(t, opts)
		var wg sync.WaitGroup
		for i := range 50 {
			wg.Go(func() {
				if _, _, err := within(k, time.Minute, testAction(uint16(i), "pay"), svc); err != nil {
					expect(t, err, verdict.NotRun, verdict.ReasonOverCapacity)
				}
			})
		}
		wg.Wait()
		is.Equal(svc.runs.Load(), int64(10))
	})
}

// Eviction must keep the memory bound and must not forget a key.
func TestEviction(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, log *memLog, svc *service) {
		svc.size = 1000
		opts := testOptions(log, "a")
		opts.MaxMemory = 20_000
		k := newKeeper(t, opts)
		var actions []Action
		for i := range 100 {
			actions = append(actions, testAction(uint16(i), "pay"))
			_, _, err := within(k, time.Second, actions[i], svc)
			is.NoErr(err)
			time.Sleep(time.Minute)
			is.True(k.memory.Load() <= opts.MaxMemory+3000)
		}
		for i, action := range actions {
			out, replayed, err := within(k, time.Second, action, svc)
			is.NoErr(err)
			is.True(replayed)
			is.Equal(string(out.Body[:len(fmt.Sprintf("order %d\x00", i+1))]), fmt.Sprintf("order %d\x00", i+1))
		}
		is.Equal(svc.runs.Load(), int64(100))
		is.True(k.counts.Get("evictions") != nil)
	})
}

// An answer that was dropped from memory must be read from the log, and an outage must then give
// ran and not a second run.
func TestDroppedAnswerIsRead(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, log *memLog, svc *service) {
		k := newKeeper(t, testOptions(log, "a"))
		action := testAction(1, "pay")
		first, _, err := within(k, time.Second, action, svc)
		is.NoErr(err)
		is.NoErr(k.Flush(t.Context()))
		for _, s := range k.all() {
			s.dropAnswers()
		}
		again, replayed, err := within(k, time.Second, action, svc)
		is.NoErr(err)
		is.True(replayed)
		is.Equal(again, first)
		log.set(func(l *memLog) { l.down = true })
		_, _, err = within(k, time.Second, action, svc)
		expect(t, err, verdict.Ran, verdict.ReasonLogUnavailable)
	})
}

// A record that this version cannot read may hold a claim, so its stream must refuse every key.
func TestUnreadableRecord(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, log *memLog, svc *service) {
		k := newKeeper(t, testOptions(log, "a"))
		action := testAction(1, "pay")
		stream, err := k.layout.Stream(action)
		is.NoErr(err)
		log.set(func(l *memLog) { l.store(stream, []byte{0x0a, 0x02, 0x7a, 0x00}) })
		_, _, err = within(k, time.Second, action, svc)
		expect(t, err, verdict.Unknown, verdict.ReasonKeyHistoryLost)
	})
}

// Header values need not be UTF-8. An entry that cannot be encoded would block its stream.
func TestForeignBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		k := newKeeper(t, testOptions(newMemLog(), "a"))
		action := testAction(1, "pay")
		action.Path = "/\xff"
		want := Outcome{Status: 200, Headers: []Header{{"Name", "caf\xe9"}}, Body: []byte("\xfe")}
		svc := &fixed{want}
		_, _, err := k.Run(t.Context(), action, svc.dispatch)
		is.NoErr(err)
		is.NoErr(k.Flush(t.Context()))
		out, replayed, err := k.Run(t.Context(), action, svc.dispatch)
		is.NoErr(err)
		is.True(replayed)
		is.Equal(out, want)
	})
}

// Concurrent claims must share appends, and a sole writer must not read.
func TestGroupAppend(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, log *memLog, svc *service) {
		svc.delay = 100 * time.Millisecond
		log.latency = 5 * time.Millisecond
		opts := testOptions(log, "a")
		opts.Partitions = 1
		k := newKeeper(t, opts)
		var wg sync.WaitGroup
		for i := range 100 {
			wg.Go(func() {
				_, _, err := within(k, time.Minute, testAction(uint16(i), "pay"), svc)
				is.NoErr(err)
			})
		}
		wg.Wait()
		is.NoErr(k.Flush(t.Context()))
		is.True(log.appends <= 7)
		is.Equal(log.reads, 3) // the layout twice and the stream once
	})
}

// Every error of Run must carry a verdict, also when dispatch returns a plain error.
func TestPlainDispatchError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		k := newKeeper(t, testOptions(newMemLog(), "a"))
		_, _, err := within(k, time.Second, testAction(1, "pay"), &service{err: errOutage})
		var e *verdict.Error
		is.True(errors.As(err, &e))
		is.True(errors.Is(err, errOutage))
		is.Equal(e.Verdict, verdict.Unknown)
	})
}
