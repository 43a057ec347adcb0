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

func newKeeper(t *testing.T, opts Options) *Keeper {
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

// service counts the executions of a plain service.
type service struct {
	runs atomic.Int64
	// delay is the duration of one execution.
	delay time.Duration
	// err is returned instead of running when its verdict is not-run, and after running otherwise.
	err  error
	size int
}

func (s *service) dispatch(ctx context.Context) (Outcome, error) {
	if s.err != nil && verdict.Of(s.err) == verdict.NotRun {
		return Outcome{}, s.err
	}
	n := s.runs.Add(1)
	sleep(ctx, s.delay)
	body := append([]byte(fmt.Sprintf("order %d", n)), make([]byte, s.size)...)
	return Outcome{Status: 201, Headers: []Header{{"Location", "/orders/1"}}, Body: body}, s.err
}

// bubble runs f in virtual time with a log and a service of its own.
func bubble(t *testing.T, f func(t *testing.T, is *is.I, log *memLog, svc *service)) {
	synctest.Test(t, func(t *testing.T) { f(t, is.New(t), newMemLog(), &service{}) })
}

// within runs an action with a deadline.
func within(k *Keeper, d time.Duration, a Action, s *service) (Outcome, bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	return k.Run(ctx, a, s.dispatch)
}

// A repeat at the same and at another instance must get the original answer without a second run.
func TestRepeatGetsOriginalAnswer(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, log *memLog, svc *service) {
		a, b := newKeeper(t, testOptions(log, "a")), newKeeper(t, testOptions(log, "b"))
		action := testAction(1, "100 sheets")
		first, replayed, err := within(a, time.Second, action, svc)
		is.NoErr(err)
		is.True(!replayed)
		is.NoErr(a.Flush(t.Context()))
		for _, k := range []*Keeper{a, b} {
			again, replayed, err := within(k, time.Second, action, svc)
			is.NoErr(err)
			is.True(replayed)
			is.Equal(again, first)
			clear(again.Body) // a caller's change must not reach the next answer
			clear(again.Headers)
			again, _, err = within(k, time.Second, action, svc)
			is.NoErr(err)
			is.Equal(again, first)
		}
		is.Equal(svc.runs.Load(), int64(1))
		is.Equal(log.appends, 3) // layout, claim, outcome
	})
}

func expect(t *testing.T, err error, v verdict.Verdict, reason verdict.Reason) {
	t.Helper()
	if e := verdict.As(err); e == nil || e.Verdict != v || e.Reason != reason {
		t.Fatalf("got %v, want %s (%s)", err, reason, v)
	}
}

// Options under which a key is accepted after its record expired must be refused.
func TestOptionsRefuseWindowOverRetention(t *testing.T) {
	is := is.New(t)
	opts := testOptions(newMemLog(), "a")
	opts.Retention = opts.Window + opts.Skew + opts.ClockError
	_, err := New(opts)
	is.True(err != nil)
	_, err = New(Options{})
	is.True(strings.Contains(err.Error(), "Log is missing"))
	is.True(strings.Contains(err.Error(), "Partitions"))
}

// Only UUIDv7 text may pass as a key, and its notation must not select another scope.
func TestKeyNotation(t *testing.T) {
	is := is.New(t)
	k := newKeeper(t, testOptions(newMemLog(), "a"))
	good := keyAt(time.Now(), 1)
	first, err := k.hash(Action{Key: good})
	is.NoErr(err)
	for _, text := range []string{`"` + good + `"`, strings.ToUpper(good)} {
		h, err := k.hash(Action{Key: text})
		is.NoErr(err)
		is.Equal(h.key, first.key)
	}
	for _, text := range []string{"", `"`, "x", "{" + good + "}", "urn:uuid:" + good, uuid.NewString()} {
		_, err := k.hash(Action{Key: text})
		expect(t, err, verdict.NotRun, verdict.ReasonKeyInvalid)
	}
	moved, err := k.hash(Action{Organisation: "o", Method: "rg", Key: good})
	is.NoErr(err)
	other, err := k.hash(Action{Organisation: "or", Method: "g", Key: good})
	is.NoErr(err)
	is.True(moved.key != other.key)
}

// A caller whose clock is wrong gets its key refused, and no key of any time can run twice.
func TestCallerClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := newMemLog()
		a, b := newKeeper(t, testOptions(log, "a")), newKeeper(t, testOptions(log, "b"))
		for i, offset := range []time.Duration{-25 * time.Hour, -24*time.Hour - time.Millisecond, -23 * time.Hour, 0, time.Minute, time.Minute + time.Millisecond, 2 * time.Hour} {
			svc, action := &service{}, testAction(uint16(i), "pay")
			at := time.Now().Add(offset)
			action.Key = keyAt(at, uint16(i))
			for _, k := range []*Keeper{a, b, a, b} {
				ahead := time.Until(at)
				_, _, err := within(k, time.Second, action, svc)
				switch {
				case ahead < -24*time.Hour-2*time.Second:
					// Nobody accepts the key any more and its stream shows no claim.
					expect(t, err, verdict.NotRun, verdict.ReasonKeyExpired)
				case ahead < -24*time.Hour:
					expect(t, err, verdict.Unknown, verdict.ReasonKeyExpired)
				case ahead > time.Minute+time.Second:
					expect(t, err, verdict.NotRun, verdict.ReasonKeyFuture)
				case ahead > time.Minute:
					expect(t, err, verdict.Unknown, verdict.ReasonKeyFuture)
				default:
					is.NoErr(err)
				}
				time.Sleep(100 * time.Millisecond)
			}
			is.True(svc.runs.Load() <= 1)
		}
	})
}

// A stream that lost records must refuse every key, whatever the clocks say.
func TestExpiredRecordsRefuseEveryKey(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, log *memLog, svc *service) {
		opts := testOptions(log, "a")
		opts.Partitions = 1
		log.retention = time.Minute // shorter than the options say
		old, fresh := testAction(1, "pay"), testAction(2, "pay")
		_, _, err := within(newKeeper(t, opts), time.Second, old, svc)
		is.NoErr(err)
		time.Sleep(2 * time.Minute)
		opts.Instance = "b"
		k := newKeeper(t, opts)
		for _, action := range []Action{old, fresh} {
			_, _, err := within(k, time.Second, action, svc)
			expect(t, err, verdict.Unknown, verdict.ReasonKeyHistoryLost)
		}
		is.Equal(svc.runs.Load(), int64(1))
	})
}

// A holder that is paused between the window check and the dispatch must check the window again.
func TestWindowIsCheckedAgainBeforeDispatch(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, log *memLog, svc *service) {
		k, action := newKeeper(t, testOptions(log, "a")), testAction(1, "pay")
		time.Sleep(24*time.Hour - time.Second/2)
		_, err := k.State(t.Context(), action)
		is.NoErr(err)
		log.set(func(l *memLog) { l.latency = time.Second })
		_, _, err = within(k, time.Minute, action, svc)
		expect(t, err, verdict.Unknown, verdict.ReasonKeyExpired)
		is.Equal(svc.runs.Load(), int64(0))
	})
}

// A key that was used with another body must not run, and must not get the other body's answer.
func TestOtherBodyIsRefused(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, log *memLog, svc *service) {
		a, b := newKeeper(t, testOptions(log, "a")), newKeeper(t, testOptions(log, "b"))
		action := testAction(1, "100 sheets")
		_, _, err := within(a, time.Second, action, svc)
		is.NoErr(err)
		is.NoErr(a.Flush(t.Context()))
		action.Body = []byte("200 sheets")
		for _, k := range []*Keeper{a, b} {
			_, _, err = within(k, time.Second, action, svc)
			expect(t, err, verdict.NotRun, verdict.ReasonKeyMismatch)
		}
		is.Equal(svc.runs.Load(), int64(1))
	})
}

// A duplicate must wait for the first request: up to its deadline and no longer, and with the
// first one's answer when that comes in time.
func TestDuplicateWaits(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, log *memLog, svc *service) {
		svc.delay = 3 * time.Second
		a, b := newKeeper(t, testOptions(log, "a")), newKeeper(t, testOptions(log, "b"))
		action := testAction(1, "pay")
		go func() { _, _, _ = within(a, time.Minute, action, svc) }()
		time.Sleep(time.Second)
		for _, k := range []*Keeper{a, b} {
			start := time.Now()
			_, _, err := within(k, 500*time.Millisecond, action, svc)
			expect(t, err, verdict.Unknown, verdict.ReasonKeyInProgress)
			is.True(verdict.As(err).RetryAfter > 0)
			var elsewhere *HeldError
			is.Equal(errors.As(err, &elsewhere), k == b)
			is.Equal(time.Since(start), 500*time.Millisecond)
		}
		out, replayed, err := within(b, time.Minute, action, svc)
		is.NoErr(err)
		is.True(replayed)
		is.Equal(out.Status, 201)
		is.Equal(svc.runs.Load(), int64(1))
	})
}

// A holder that vanished must leave unknown for good, also after a settlement.
func TestVanishedHolder(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, log *memLog, svc *service) {
		svc.delay = time.Hour
		a := newKeeper(t, testOptions(log, "a"))
		opts := testOptions(log, "b")
		gone := Alive
		opts.Holder = func(string, uint64) Liveness { return gone }
		b := newKeeper(t, opts)
		action := testAction(1, "pay")
		go func() { _, _, _ = within(a, 2*time.Hour, action, svc) }()
		time.Sleep(time.Second)
		finding := Settlement{Operator: "ana", Executed: true, Note: "in the ledger"}
		expect(t, b.Settle(t.Context(), action, finding), verdict.Unknown, verdict.ReasonBadRequest)
		a.Close()
		gone = Gone
		_, _, err := within(b, time.Minute, action, svc)
		expect(t, err, verdict.Unknown, verdict.ReasonKeyOutcomeLost)
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
		_, _, err = within(b, time.Minute, action, svc)
		expect(t, err, verdict.Unknown, verdict.ReasonKeyOutcomeLost)
		is.True(strings.Contains(err.Error(), "in the ledger"))
		is.Equal(svc.runs.Load(), int64(1))
		time.Sleep(2 * time.Hour)
	})
}

// An answer over the limit must not be confused with an action that did not run.
func TestAnswerOverLimit(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, log *memLog, svc *service) {
		svc.size = DefaultMaxAnswer
		k := newKeeper(t, testOptions(log, "a"))
		out, _, err := within(k, time.Second, testAction(1, "pay"), svc)
		is.NoErr(err)
		is.True(len(out.Body) > DefaultMaxAnswer)
		_, _, err = within(k, time.Second, testAction(1, "pay"), svc)
		expect(t, err, verdict.Ran, verdict.ReasonKeyAnswerGone)
		is.Equal(svc.runs.Load(), int64(1))
	})
}

// fixed is a service with a fixed answer.
type fixed struct{ out Outcome }

func (f *fixed) dispatch(context.Context) (Outcome, error) { return f.out, nil }

// An expired key that was claimed, or whose records may be gone, must not be answered with not-run:
// its caller could send the action again under a new key.
func TestExpiredKeyIsNotRunOnlyWhenProved(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, log *memLog, svc *service) {
		k, used, unused := newKeeper(t, testOptions(log, "a")), testAction(1, "pay"), testAction(2, "pay")
		_, _, err := within(k, time.Second, used, svc)
		is.NoErr(err)
		time.Sleep(25 * time.Hour)
		_, _, err = within(k, time.Second, used, svc)
		expect(t, err, verdict.Unknown, verdict.ReasonKeyExpired)
		_, _, err = within(k, time.Second, unused, svc)
		expect(t, err, verdict.NotRun, verdict.ReasonKeyExpired)
		time.Sleep(23 * time.Hour)
		_, _, err = within(k, time.Second, unused, svc)
		expect(t, err, verdict.Unknown, verdict.ReasonKeyExpired)
		is.Equal(svc.runs.Load(), int64(1))
	})
}
