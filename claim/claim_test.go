package claim

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"jacinthfork.example/jacinthfork/verdict"
)

const testOrganisation = "org"

func testOptions(log *memLog, instance string) Options {
	return Options{
		Log: log, Pool: "pedidos", Instance: instance, Incarnation: 1,
		Window: 24 * time.Hour, Skew: time.Minute, ClockError: time.Second, Retention: 48 * time.Hour,
		Partitions: 4, Bucket: 10 * time.Minute,
	}
}

func newExecutor(t *testing.T, opts Options) *Executor {
	t.Helper()
	k, err := New(opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(k.Close)
	return k
}

// keyAt returns a UUIDv7 of the given time.
func keyAt(at time.Time, n uint16) string {
	var u uuid.UUID
	ms := uint64(at.UnixMilli())
	for i := range 6 {
		u[i] = byte(ms >> (40 - 8*i))
	}
	u[6], u[7], u[8], u[15] = 0x70|byte(n>>12), byte(n>>4), 0x80, byte(n)
	return u.String()
}

func testAction(n uint16, body string) Action {
	return Action{Organisation: testOrganisation, Method: "POST", Path: "/print", Key: keyAt(time.Now(), n), Body: []byte(body)}
}

// countingService is a backend server that counts its executions.
type countingService struct {
	runs atomic.Int64
	// runTime is the duration of one execution.
	runTime time.Duration
	// err is returned instead of running when its verdict is not-run, and after running otherwise.
	err        error
	extraBytes int
}

func (s *countingService) dispatch(ctx context.Context) (Outcome, error) {
	if s.err != nil && verdict.Of(s.err) == verdict.NotRun {
		return Outcome{}, s.err
	}
	n := s.runs.Add(1)
	sleep(ctx, s.runTime)
	body := append([]byte(fmt.Sprintf("order %d", n)), make([]byte, s.extraBytes)...)
	return Outcome{Status: 201, Headers: []Header{{"Location", "/orders/1"}}, Body: body}, s.err
}

// inVirtualTime runs f in a synctest bubble with a new log and service.
func inVirtualTime(t *testing.T, f func(t *testing.T, is *is.I, log *memLog, svc *countingService)) {
	synctest.Test(t, func(t *testing.T) { f(t, is.New(t), newMemLog(), &countingService{}) })
}

// runWithTimeout runs an action with a deadline.
func runWithTimeout(k *Executor, d time.Duration, a Action, s *countingService) (Outcome, bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	return k.Run(ctx, a, s.dispatch)
}

// Guards against a second execution, or a different response, for a duplicate at the same or another instance.
func TestDuplicateGetsOriginalResponse(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, is *is.I, log *memLog, svc *countingService) {
		a, b := newExecutor(t, testOptions(log, "a")), newExecutor(t, testOptions(log, "b"))
		action := testAction(1, "100 sheets")
		first, replayed, err := runWithTimeout(a, time.Second, action, svc)
		is.NoErr(err)
		is.True(!replayed)
		is.NoErr(a.Flush(t.Context()))
		for _, k := range []*Executor{a, b} {
			again, replayed, err := runWithTimeout(k, time.Second, action, svc)
			is.NoErr(err)
			is.True(replayed)
			is.Equal(again, first)
			clear(again.Body) // a caller's change must not affect the next response
			clear(again.Headers)
			again, _, err = runWithTimeout(k, time.Second, action, svc)
			is.NoErr(err)
			is.Equal(again, first)
		}
		is.Equal(svc.runs.Load(), int64(1))
		is.Equal(log.appends, 3) // layout, claim, outcome
	})
}

func expectVerdict(t *testing.T, err error, v verdict.Verdict, reason verdict.Reason) {
	t.Helper()
	if e := verdict.As(err); e == nil || e.Verdict != v || e.Reason != reason {
		t.Fatalf("got %v, want %s (%s)", err, reason, v)
	}
}

// Guards against options under which a key is accepted after its record has expired.
func TestNewRejectsWindowOverRetention(t *testing.T) {
	is := is.New(t)
	opts := testOptions(newMemLog(), "a")
	opts.Retention = opts.Window + opts.Skew + opts.ClockError
	_, err := New(opts)
	is.True(err != nil)
	_, err = New(Options{})
	is.True(strings.Contains(err.Error(), "Log is missing"))
	is.True(strings.Contains(err.Error(), "Partitions"))
}

// Guards against keys that are not a UUIDv7, against a notation of the same key that selects another scope,
// and against two scopes with the same concatenation of fields.
func TestKeyNotationDoesNotChangeScope(t *testing.T) {
	is := is.New(t)
	k := newExecutor(t, testOptions(newMemLog(), "a"))
	good := keyAt(time.Now(), 1)
	first, err := k.parseAction(Action{Key: good})
	is.NoErr(err)
	for _, text := range []string{`"` + good + `"`, strings.ToUpper(good)} {
		h, err := k.parseAction(Action{Key: text})
		is.NoErr(err)
		is.Equal(h.keyHash, first.keyHash)
	}
	for _, text := range []string{"", `"`, "x", "{" + good + "}", "urn:uuid:" + good, uuid.NewString()} {
		_, err := k.parseAction(Action{Key: text})
		expectVerdict(t, err, verdict.NotRun, verdict.ReasonKeyInvalid)
	}
	moved, err := k.parseAction(Action{Organisation: "o", Method: "rg", Key: good})
	is.NoErr(err)
	other, err := k.parseAction(Action{Organisation: "or", Method: "g", Key: good})
	is.NoErr(err)
	is.True(moved.keyHash != other.keyHash)
}

// Guards against a second execution of a key near or outside the limits of the acceptance window, and against
// acceptance of a key from a client whose clock is wrong.
func TestWrongClientClockNeverExecutesTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := newMemLog()
		a, b := newExecutor(t, testOptions(log, "a")), newExecutor(t, testOptions(log, "b"))
		for i, offset := range []time.Duration{-25 * time.Hour, -24*time.Hour - time.Millisecond, -23 * time.Hour, 0, time.Minute, time.Minute + time.Millisecond, 2 * time.Hour} {
			svc, action := &countingService{}, testAction(uint16(i), "pay")
			at := time.Now().Add(offset)
			action.Key = keyAt(at, uint16(i))
			for _, k := range []*Executor{a, b, a, b} {
				ahead := time.Until(at)
				_, _, err := runWithTimeout(k, time.Second, action, svc)
				switch {
				case ahead < -24*time.Hour-2*time.Second:
					// No sidecar accepts the key any more and its stream has no claim.
					expectVerdict(t, err, verdict.NotRun, verdict.ReasonKeyExpired)
				case ahead < -24*time.Hour:
					expectVerdict(t, err, verdict.Unknown, verdict.ReasonKeyExpired)
				case ahead > time.Minute+time.Second:
					expectVerdict(t, err, verdict.NotRun, verdict.ReasonKeyFromFuture)
				case ahead > time.Minute:
					expectVerdict(t, err, verdict.Unknown, verdict.ReasonKeyFromFuture)
				default:
					is.NoErr(err)
				}
				time.Sleep(100 * time.Millisecond)
			}
			is.True(svc.runs.Load() <= 1)
		}
	})
}

// Guards against use of a stream that lost records: whatever the clocks show, it must reject every key.
func TestStreamWithExpiredRecordsRejectsEveryKey(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, is *is.I, log *memLog, svc *countingService) {
		opts := testOptions(log, "a")
		opts.Partitions = 1
		log.retention = time.Minute // shorter than Options.Retention
		old, fresh := testAction(1, "pay"), testAction(2, "pay")
		_, _, err := runWithTimeout(newExecutor(t, opts), time.Second, old, svc)
		is.NoErr(err)
		time.Sleep(2 * time.Minute)
		opts.Instance = "b"
		k := newExecutor(t, opts)
		for _, action := range []Action{old, fresh} {
			_, _, err := runWithTimeout(k, time.Second, action, svc)
			expectVerdict(t, err, verdict.Unknown, verdict.ReasonKeyHistoryLost)
		}
		is.Equal(svc.runs.Load(), int64(1))
	})
}

// Guards against the dispatch of an expired key by a process that was paused after the first window check.
func TestWindowIsCheckedAgainBeforeDispatch(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, is *is.I, log *memLog, svc *countingService) {
		k, action := newExecutor(t, testOptions(log, "a")), testAction(1, "pay")
		time.Sleep(24*time.Hour - time.Second/2)
		_, err := k.State(t.Context(), action)
		is.NoErr(err)
		log.update(func(l *memLog) { l.latency = time.Second })
		_, _, err = runWithTimeout(k, time.Minute, action, svc)
		expectVerdict(t, err, verdict.Unknown, verdict.ReasonKeyExpired)
		is.Equal(svc.runs.Load(), int64(0))
	})
}

// Guards against execution, or replay of the first response, for a key that was used with another body.
func TestDifferentBodyIsRejected(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, is *is.I, log *memLog, svc *countingService) {
		a, b := newExecutor(t, testOptions(log, "a")), newExecutor(t, testOptions(log, "b"))
		action := testAction(1, "100 sheets")
		_, _, err := runWithTimeout(a, time.Second, action, svc)
		is.NoErr(err)
		is.NoErr(a.Flush(t.Context()))
		action.Body = []byte("200 sheets")
		for _, k := range []*Executor{a, b} {
			_, _, err = runWithTimeout(k, time.Second, action, svc)
			expectVerdict(t, err, verdict.NotRun, verdict.ReasonKeyMismatch)
		}
		is.Equal(svc.runs.Load(), int64(1))
	})
}

// Guards against a duplicate that does not wait for the first request, waits beyond its own deadline, or does
// not get the first response when that arrives in time.
func TestDuplicateWaitsForFirstRequest(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, is *is.I, log *memLog, svc *countingService) {
		svc.runTime = 3 * time.Second
		a, b := newExecutor(t, testOptions(log, "a")), newExecutor(t, testOptions(log, "b"))
		action := testAction(1, "pay")
		go func() { _, _, _ = runWithTimeout(a, time.Minute, action, svc) }()
		time.Sleep(time.Second)
		for _, k := range []*Executor{a, b} {
			start := time.Now()
			_, _, err := runWithTimeout(k, 500*time.Millisecond, action, svc)
			expectVerdict(t, err, verdict.Unknown, verdict.ReasonKeyInProgress)
			is.True(verdict.As(err).RetryAfter > 0)
			var elsewhere *HeldError
			is.Equal(errors.As(err, &elsewhere), k == b)
			is.Equal(time.Since(start), 500*time.Millisecond)
		}
		out, replayed, err := runWithTimeout(b, time.Minute, action, svc)
		is.NoErr(err)
		is.True(replayed)
		is.Equal(out.Status, 201)
		is.Equal(svc.runs.Load(), int64(1))
	})
}

// Guards against execution of a key whose holder ended without recording an outcome: it must stay unknown, also
// after a settlement.
func TestEndedHolderLeavesOutcomeUnknown(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, is *is.I, log *memLog, svc *countingService) {
		svc.runTime = time.Hour
		a := newExecutor(t, testOptions(log, "a"))
		opts := testOptions(log, "b")
		liveness := LivenessAlive
		opts.HolderLiveness = func(string, uint64) Liveness { return liveness }
		b := newExecutor(t, opts)
		action := testAction(1, "pay")
		go func() { _, _, _ = runWithTimeout(a, 2*time.Hour, action, svc) }()
		time.Sleep(time.Second)
		finding := Settlement{Operator: "ana", Executed: true, Note: "in the ledger"}
		expectVerdict(t, b.Settle(t.Context(), action, finding), verdict.Unknown, verdict.ReasonBadRequest)
		a.Close()
		liveness = LivenessEnded
		_, _, err := runWithTimeout(b, time.Minute, action, svc)
		expectVerdict(t, err, verdict.Unknown, verdict.ReasonKeyOutcomeUnknown)
		found, err := b.Unresolved(t.Context(), time.Now().Add(-time.Hour), time.Now())
		is.NoErr(err)
		is.Equal(len(found), 1)
		is.Equal(found[0].Key, action.Key)
		is.True(!found[0].InProgress)
		is.NoErr(b.Settle(t.Context(), action, finding))
		state, err := b.State(t.Context(), action)
		is.NoErr(err)
		is.Equal(state.Settlement.Operator, "ana")
		is.Equal(state.Claims[0].Instance, "a")
		_, _, err = runWithTimeout(b, time.Minute, action, svc)
		expectVerdict(t, err, verdict.Unknown, verdict.ReasonKeyOutcomeUnknown)
		is.True(strings.Contains(err.Error(), "in the ledger"))
		is.Equal(svc.runs.Load(), int64(1))
		time.Sleep(2 * time.Hour)
	})
}

// Guards against a duplicate being told that the action did not run when only its response was not recorded.
func TestOversizedResponseIsReportedAsRan(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, is *is.I, log *memLog, svc *countingService) {
		svc.extraBytes = DefaultMaxResponseBytes
		k := newExecutor(t, testOptions(log, "a"))
		out, _, err := runWithTimeout(k, time.Second, testAction(1, "pay"), svc)
		is.NoErr(err)
		is.True(len(out.Body) > DefaultMaxResponseBytes)
		_, _, err = runWithTimeout(k, time.Second, testAction(1, "pay"), svc)
		expectVerdict(t, err, verdict.Ran, verdict.ReasonKeyAnswerNotKept)
		is.Equal(svc.runs.Load(), int64(1))
	})
}

// fixedService is a backend server with a fixed response.
type fixedService struct{ outcome Outcome }

func (f *fixedService) dispatch(context.Context) (Outcome, error) { return f.outcome, nil }

// Guards against not-run for an expired key that was claimed or whose records may be gone: its client could
// then send the action again with a new key.
func TestExpiredKeyIsNotRunOnlyWhenProved(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, is *is.I, log *memLog, svc *countingService) {
		k, used, unused := newExecutor(t, testOptions(log, "a")), testAction(1, "pay"), testAction(2, "pay")
		_, _, err := runWithTimeout(k, time.Second, used, svc)
		is.NoErr(err)
		time.Sleep(25 * time.Hour)
		_, _, err = runWithTimeout(k, time.Second, used, svc)
		expectVerdict(t, err, verdict.Unknown, verdict.ReasonKeyExpired)
		_, _, err = runWithTimeout(k, time.Second, unused, svc)
		expectVerdict(t, err, verdict.NotRun, verdict.ReasonKeyExpired)
		time.Sleep(23 * time.Hour)
		_, _, err = runWithTimeout(k, time.Second, unused, svc)
		expectVerdict(t, err, verdict.Unknown, verdict.ReasonKeyExpired)
		is.Equal(svc.runs.Load(), int64(1))
	})
}
