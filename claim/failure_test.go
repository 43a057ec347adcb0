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

// Guards against requests that wait during a log outage instead of failing immediately with not-run, whether or
// not the stream is loaded.
func TestLogOutageFailsImmediatelyAsNotRun(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, is *is.I, log *memLog, svc *countingService) {
		loaded, fresh := newExecutor(t, testOptions(log, "a")), newExecutor(t, testOptions(log, "b"))
		action := testAction(1, "pay")
		_, err := loaded.State(t.Context(), action)
		is.NoErr(err)
		log.update(func(l *memLog) { l.down = true })
		start := time.Now()
		for _, k := range []*Executor{loaded, loaded, fresh, fresh} {
			_, _, err := runWithTimeout(k, time.Minute, action, svc)
			expectVerdict(t, err, verdict.NotRun, verdict.ReasonLogUnavailable)
		}
		is.Equal(time.Since(start), time.Duration(0))
		log.update(func(l *memLog) { l.down = false })
		time.Sleep(time.Second)
		_, _, err = runWithTimeout(fresh, time.Minute, action, svc)
		is.NoErr(err)
		is.Equal(svc.runs.Load(), int64(1))
	})
}

// Guards against requests with the same key waiting one timeout after another when the log hangs.
func TestHangingLogFailsAllWaitersTogether(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, is *is.I, log *memLog, svc *countingService) {
		log.latency = time.Hour
		k := newExecutor(t, testOptions(log, "a"))
		start := time.Now()
		var wg sync.WaitGroup
		for i := range 50 {
			action := testAction(uint16(i), "pay")
			action.Key = keyAt(start, 7)
			wg.Go(func() {
				_, _, err := runWithTimeout(k, time.Minute, action, svc)
				expectVerdict(t, err, verdict.NotRun, verdict.ReasonLogUnavailable)
			})
		}
		wg.Wait()
		is.Equal(time.Since(start), DefaultAppendTimeout)
	})
}

// Guards against a lost append reply that fails the action or makes it run twice.
func TestLostAppendReplyExecutesOnce(t *testing.T) {
	for name, lose := range map[string]func(l *memLog){
		"stored":     func(l *memLog) { l.loseReplies = 1 },
		"not stored": func(l *memLog) { l.loseAppends = 1 },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				log, svc := newMemLog(), &countingService{}
				k, action := newExecutor(t, testOptions(log, "a")), testAction(1, "pay")
				_, err := k.State(t.Context(), action)
				is.NoErr(err)
				log.update(lose)
				_, _, err = runWithTimeout(k, time.Second, action, svc)
				is.NoErr(err)
				is.Equal(svc.runs.Load(), int64(1))
			})
		})
	}
}

// Guards against a key that stays blocked because a copy of an unconfirmed claim is stored later, whatever the
// appends after the lost reply return.
func TestAbandonedClaimIsReleased(t *testing.T) {
	for name, reject := range map[string]bool{"replies lost": false, "then rejected": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testAbandonedClaim(t, reject) })
		})
	}
}

func testAbandonedClaim(t *testing.T, reject bool) {
	is := is.New(t)
	log, svc := newMemLog(), &countingService{}
	a, b := newExecutor(t, testOptions(log, "a")), newExecutor(t, testOptions(log, "b"))
	action := testAction(1, "pay")
	stream, err := a.layout.Stream(action)
	is.NoErr(err)
	_, err = a.State(t.Context(), action)
	is.NoErr(err)
	log.update(func(l *memLog) { l.readsDown, l.loseReplies = true, 1000 })
	go func() {
		time.Sleep(time.Millisecond)
		log.update(func(l *memLog) { l.down = reject })
	}()
	_, _, err = runWithTimeout(a, 5*time.Second, action, svc)
	expectVerdict(t, err, verdict.NotRun, verdict.ReasonDeadline)
	log.update(func(l *memLog) { l.readsDown, l.loseReplies, l.down = false, 0, false })
	is.NoErr(a.Flush(t.Context()))
	is.Equal(a.pendingSlots.Load(), int64(0))
	log.update(func(l *memLog) { l.store(stream, l.streams[stream].records[0].Payload) })
	_, _, err = runWithTimeout(b, time.Second, action, svc)
	is.NoErr(err)
	is.Equal(svc.runs.Load(), int64(1))
}

// Guards against duplicates at one instance that each append their own claim.
func TestLocalDuplicatesShareOneClaim(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, is *is.I, log *memLog, svc *countingService) {
		svc.runTime = time.Second
		log.latency = 5 * time.Millisecond
		k := newExecutor(t, testOptions(log, "a"))
		action := testAction(1, "pay")
		var wg sync.WaitGroup
		for range 10 {
			wg.Go(func() {
				_, _, err := runWithTimeout(k, time.Minute, action, svc)
				is.NoErr(err)
			})
		}
		wg.Wait()
		is.NoErr(k.Flush(t.Context()))
		is.Equal(k.counts.Get("append_entries").String(), "2")
	})
}

// Guards against treating a stream as complete when the log skips records or returns none below its end, and
// against reading it in a busy loop.
func TestIncompletePageIsRejected(t *testing.T) {
	is := is.New(t)
	k := newExecutor(t, testOptions(newMemLog(), "a"))
	_, err := newStream(k, "empty").applyPage(0, services.Page{Next: 3})
	expectVerdict(t, err, verdict.NotRun, verdict.ReasonLogUnavailable)
	_, err = newStream(k, "gap").applyPage(0, services.Page{Next: 3, Records: []services.Record{{Offset: 2}}})
	expectVerdict(t, err, verdict.Unknown, verdict.ReasonKeyHistoryLost)
	_, err = newStream(k, "shorter").applyPage(5, services.Page{Next: 3})
	expectVerdict(t, err, verdict.Unknown, verdict.ReasonKeyHistoryLost)
	is.Equal(k.counts.Get("stream_faults").String(), "2")
}

// Guards against a key that stays blocked after a proven not-run, which prevents a retry at another sidecar.
func TestNotRunReleasesKey(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, is *is.I, log *memLog, svc *countingService) {
		svc.err = verdict.New(verdict.NotRun, verdict.ReasonLeaving, "leaving")
		a, b := newExecutor(t, testOptions(log, "a")), newExecutor(t, testOptions(log, "b"))
		action := testAction(1, "pay")
		_, _, err := runWithTimeout(a, time.Second, action, svc)
		expectVerdict(t, err, verdict.NotRun, verdict.ReasonLeaving)
		svc.err = nil
		_, replayed, err := runWithTimeout(b, time.Second, action, svc)
		is.NoErr(err)
		is.True(!replayed)
	})
}

// Guards against requests that wait forever for a key whose dispatch panicked.
func TestPanicInDispatchLeavesOutcomeUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, svc := newMemLog(), &countingService{}
		k := newExecutor(t, testOptions(log, "a"))
		action := testAction(1, "pay")
		func() {
			defer func() { _ = recover() }()
			_, _, _ = k.Run(t.Context(), action, nil)
		}()
		_, _, err := runWithTimeout(k, time.Second, action, svc)
		expectVerdict(t, err, verdict.Unknown, verdict.ReasonKeyOutcomeUnknown)
	})
}

// Guards against a log outage that delays the response of a dispatched action or loses its outcome.
func TestOutcomeIsAppendedAfterOutage(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, is *is.I, log *memLog, svc *countingService) {
		svc.runTime = time.Second
		a, b := newExecutor(t, testOptions(log, "a")), newExecutor(t, testOptions(log, "b"))
		action := testAction(1, "pay")
		go func() {
			time.Sleep(500 * time.Millisecond)
			log.update(func(l *memLog) { l.down = true })
		}()
		first, _, err := runWithTimeout(a, time.Minute, action, svc)
		is.NoErr(err)
		again, replayed, err := runWithTimeout(a, time.Minute, action, svc)
		is.NoErr(err)
		is.True(replayed)
		is.Equal(again, first)
		time.Sleep(time.Hour)
		log.update(func(l *memLog) { l.down = false })
		is.NoErr(a.Flush(t.Context()))
		again, replayed, err = runWithTimeout(b, time.Minute, action, svc)
		is.NoErr(err)
		is.True(replayed)
		is.Equal(again, first)
	})
}

// Guards against unbounded memory for outcomes that wait for the log in an outage.
func TestPendingEntriesStayWithinLimitsInOutage(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, is *is.I, log *memLog, svc *countingService) {
		svc.extraBytes, svc.runTime = 1000, time.Second
		opts := testOptions(log, "a")
		opts.Partitions, opts.MaxPendingBytes = 1, 2500
		k := newExecutor(t, opts)
		var wg sync.WaitGroup
		for i := range 5 {
			wg.Go(func() {
				_, _, err := runWithTimeout(k, time.Minute, testAction(uint16(i), "pay"), svc)
				is.NoErr(err)
			})
		}
		time.Sleep(500 * time.Millisecond)
		log.update(func(l *memLog) { l.down = true })
		wg.Wait()
		time.Sleep(time.Minute)
		is.Equal(k.pendingSlots.Load(), int64(5))
		is.True(k.pendingBytes.Load() <= opts.MaxPendingBytes)
		log.update(func(l *memLog) { l.down = false })
		is.NoErr(k.Flush(t.Context()))
		is.Equal(k.pendingSlots.Load(), int64(0))
		is.Equal(k.pendingBytes.Load(), int64(0))
	})
}

// Guards against an unbounded queue: claims over MaxPending must be rejected with not-run.
func TestClaimsOverMaxPendingAreRejected(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, is *is.I, log *memLog, svc *countingService) {
		svc.runTime = time.Second
		opts := testOptions(log, "a")
		opts.MaxPending = 10
		k := newExecutor(t, opts)
		var wg sync.WaitGroup
		for i := range 50 {
			wg.Go(func() {
				if _, _, err := runWithTimeout(k, time.Minute, testAction(uint16(i), "pay"), svc); err != nil {
					expectVerdict(t, err, verdict.NotRun, verdict.ReasonOverCapacity)
				}
			})
		}
		wg.Wait()
		is.Equal(svc.runs.Load(), int64(10))
	})
}

// Guards against memory above the limit, and against a second execution of a key whose stream was evicted.
func TestEvictionKeepsMemoryLimitAndKeys(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, is *is.I, log *memLog, svc *countingService) {
		svc.extraBytes = 1000
		opts := testOptions(log, "a")
		opts.MaxMemory = 20_000
		k := newExecutor(t, opts)
		var actions []Action
		for i := range 100 {
			actions = append(actions, testAction(uint16(i), "pay"))
			_, _, err := runWithTimeout(k, time.Second, actions[i], svc)
			is.NoErr(err)
			time.Sleep(time.Minute)
			is.True(k.memoryBytes.Load() <= opts.MaxMemory+3000)
		}
		for i, action := range actions {
			out, replayed, err := runWithTimeout(k, time.Second, action, svc)
			is.NoErr(err)
			is.True(replayed)
			is.Equal(string(out.Body[:len(fmt.Sprintf("order %d\x00", i+1))]), fmt.Sprintf("order %d\x00", i+1))
		}
		is.Equal(svc.runs.Load(), int64(100))
		is.True(k.counts.Get("evictions") != nil)
	})
}

// Guards against losing a response that was dropped from memory, and against a second execution if the log
// cannot be read at that time.
func TestDroppedResponseIsReadFromLog(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, is *is.I, log *memLog, svc *countingService) {
		k := newExecutor(t, testOptions(log, "a"))
		action := testAction(1, "pay")
		first, _, err := runWithTimeout(k, time.Second, action, svc)
		is.NoErr(err)
		is.NoErr(k.Flush(t.Context()))
		for _, s := range k.allStreams() {
			s.dropResponses()
		}
		again, replayed, err := runWithTimeout(k, time.Second, action, svc)
		is.NoErr(err)
		is.True(replayed)
		is.Equal(again, first)
		log.update(func(l *memLog) { l.down = true })
		_, _, err = runWithTimeout(k, time.Second, action, svc)
		expectVerdict(t, err, verdict.Ran, verdict.ReasonLogUnavailable)
	})
}

// Guards against use of a stream with a record that this version cannot decode: it may contain a claim.
func TestUndecodableRecordRejectsStream(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, is *is.I, log *memLog, svc *countingService) {
		k := newExecutor(t, testOptions(log, "a"))
		action := testAction(1, "pay")
		stream, err := k.layout.Stream(action)
		is.NoErr(err)
		// The encoding of a batch with one entry that has the unknown field 15.
		log.update(func(l *memLog) { l.store(stream, []byte{0x0a, 0x02, 0x7a, 0x00}) })
		_, _, err = runWithTimeout(k, time.Second, action, svc)
		expectVerdict(t, err, verdict.Unknown, verdict.ReasonKeyHistoryLost)
	})
}

// Guards against an entry that cannot be encoded, which would block its stream: paths and header values may
// contain bytes that are not UTF-8.
func TestNonUTF8BytesAreRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		k := newExecutor(t, testOptions(newMemLog(), "a"))
		action := testAction(1, "pay")
		action.Path = "/\xff"
		want := Outcome{Status: 200, Headers: []Header{{"Name", "caf\xe9"}}, Body: []byte("\xfe")}
		svc := &fixedService{want}
		_, _, err := k.Run(t.Context(), action, svc.dispatch)
		is.NoErr(err)
		is.NoErr(k.Flush(t.Context()))
		out, replayed, err := k.Run(t.Context(), action, svc.dispatch)
		is.NoErr(err)
		is.True(replayed)
		is.Equal(out, want)
	})
}

// Guards against one append per claim under concurrency, and against reads by a stream's only writer.
func TestConcurrentClaimsShareAppends(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, is *is.I, log *memLog, svc *countingService) {
		svc.runTime = 100 * time.Millisecond
		log.latency = 5 * time.Millisecond
		opts := testOptions(log, "a")
		opts.Partitions = 1
		k := newExecutor(t, opts)
		var wg sync.WaitGroup
		for i := range 100 {
			wg.Go(func() {
				_, _, err := runWithTimeout(k, time.Minute, testAction(uint16(i), "pay"), svc)
				is.NoErr(err)
			})
		}
		wg.Wait()
		is.NoErr(k.Flush(t.Context()))
		is.True(log.appends <= 7)
		is.Equal(log.reads, 3) // the layout stream twice and the key's stream once
	})
}

// Guards against an error of Run without a verdict when dispatch returns an error without one.
func TestDispatchErrorWithoutVerdictIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		k := newExecutor(t, testOptions(newMemLog(), "a"))
		_, _, err := runWithTimeout(k, time.Second, testAction(1, "pay"), &countingService{err: errOutage})
		var e *verdict.Error
		is.True(errors.As(err, &e))
		is.True(errors.Is(err, errOutage))
		is.Equal(e.Verdict, verdict.Unknown)
	})
}
