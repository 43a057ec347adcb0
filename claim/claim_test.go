package claim

import (
	"context"
	"fmt"
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

// within runs an action with a deadline.
func within(k *Keeper, d time.Duration, a Action, s *service) (Outcome, bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	return k.Run(ctx, a, s.dispatch)
}

// A repeat at the same and at another instance must get the original answer without a second run.
func TestRepeatGetsOriginalAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log, svc := newMemLog(), &service{}
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
		}
		is.Equal(svc.runs.Load(), int64(1))
		is.Equal(log.appends, 2)
	})
}
