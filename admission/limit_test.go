package admission

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"jacinthfork.example/jacinthfork/internal/proptest"
	"jacinthfork.example/jacinthfork/verdict"
)

// limitFleet is a set of limiters with one home and a virtual clock.
type limitFleet struct {
	at       time.Time
	limit    Quota
	home     *Home
	limiters []*Limiter
	messages int
	// late holds answers that have not arrived yet.
	late []lateAnswer
}

type lateAnswer struct {
	to    *Limiter
	lease LimitLease
}

func newLimitFleet(members int, limit Quota) *limitFleet {
	f := &limitFleet{at: time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC), limit: limit}
	limits := map[string]Quota{"o": limit}
	now := func() time.Time { return f.at }
	f.home = NewHome(DefaultLimitSettings())
	f.home.now = now
	f.home.SetLimits(limits)
	f.home.SetMembers(members)
	for i := range members {
		l := NewLimiter(fmt.Sprint("i", i), DefaultLimitSettings())
		l.now = now
		l.SetLimits(limits)
		l.SetMembers(members)
		f.limiters = append(f.limiters, l)
	}
	return f
}

// exchange carries the due reports of one sidecar to the home and the answers back.
func (f *limitFleet) exchange(l *Limiter) {
	f.report(l)
	for _, answer := range f.late {
		answer.to.Apply(answer.lease)
	}
	f.late = nil
}

// report carries the due reports of one sidecar to the home and keeps the answers.
func (f *limitFleet) report(l *Limiter) {
	for _, report := range l.Due() {
		f.messages += 2
		if lease, ok := f.home.Handle(report); ok {
			f.late = append(f.late, lateAnswer{to: l, lease: lease})
		}
	}
}

// allowed is the sum of what all sidecars may use now, and how many of them are in their grace.
func (f *limitFleet) allowed() (total Quota, inGrace int) {
	for _, l := range f.limiters {
		l.mu.Lock()
		s := l.state("o", f.at)
		if f.at.Before(s.graceUntil) && !f.at.Before(s.leaseUntil) {
			inGrace++
		}
		q := l.allowed(s, f.limit, f.at)
		l.mu.Unlock()
		total.MilliRequests += q.MilliRequests
		total.Tokens += q.Tokens
	}
	return total, inGrace
}

// The leases and silent shares of all sidecars must never add up to more than the limit, whatever
// is asked for, lost or late; only a sidecar in its grace may add GracePercent.
func TestLeasesStayWithinLimit(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		limit := Quota{MilliRequests: rapid.Uint64Range(1000, 1e6).Draw(t, "rate"), Tokens: rapid.Uint64Range(100, 1e6).Draw(t, "tokens")}
		f := newLimitFleet(rapid.IntRange(1, 20).Draw(t, "members"), limit)
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			l := f.limiters[rapid.IntRange(0, len(f.limiters)-1).Draw(t, "sidecar")]
			switch rapid.SampledFrom([]string{"ask", "ask", "report", "report", "answer", "answer", "wait"}).Draw(t, "step") {
			case "ask":
				for range rapid.IntRange(1, 50).Draw(t, "requests") {
					_ = l.take("o", limit.Tokens-rapid.Uint64Range(0, limit.Tokens).Draw(t, "free"), 1)
				}
			case "report":
				f.report(l)
			case "answer":
				f.deliver(rapid.IntRange(0, max(0, len(f.late)-1)).Draw(t, "answer"), rapid.Bool().Draw(t, "arrives"))
			default:
				f.at = f.at.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * time.Millisecond)
			}
			total, inGrace := f.allowed()
			grace := DefaultLimitSettings().graceQuota(limit)
			if total.Tokens > limit.Tokens+uint64(inGrace)*grace.Tokens || total.MilliRequests > limit.MilliRequests+uint64(inGrace)*grace.MilliRequests {
				t.Fatalf("allowed %+v with %d in grace, limit %+v", total, inGrace, limit)
			}
		}
	})
}

// deliver lets one answer arrive, or get lost.
func (f *limitFleet) deliver(at int, arrives bool) {
	if at >= len(f.late) {
		return
	}
	answer := f.late[at]
	f.late = append(f.late[:at], f.late[at+1:]...)
	if arrives {
		answer.to.Apply(answer.lease)
	}
}

// drive offers rate requests per second to each of the first busy sidecars for a minute, with
// exchanges every 250 ms, and returns the granted requests per second of the last half minute.
func (f *limitFleet) drive(busy int, rate float64) float64 {
	const tick = 10 * time.Millisecond
	granted := 0
	for step := range 6000 {
		for i := range busy {
			before := int(float64(step) * rate * tick.Seconds())
			for range int(float64(step+1)*rate*tick.Seconds()) - before {
				if f.limiters[i].take("o", 0, 1) == nil && step >= 3000 {
					granted++
				}
			}
		}
		if step%25 == 0 {
			for _, l := range f.limiters {
				f.exchange(l)
			}
		}
		f.at = f.at.Add(tick)
	}
	return float64(granted) / 30
}

// A surging organisation must be held to its limit and must get most of it, on few sidecars or on
// many; one within its silent shares must cause no message at all.
func TestLimitInForce(t *testing.T) {
	is := is.New(t)
	limit := Quota{MilliRequests: 100_000}
	for _, busy := range []int{1, 5, 50} {
		f := newLimitFleet(50, limit)
		got := f.drive(busy, 1000/float64(busy))
		t.Logf("1000/s on %d of 50 sidecars, limit 100/s: %.1f/s granted, %d messages a minute", busy, got, f.messages)
		is.True(got <= 101)
		is.True(got >= 85)
	}
	within := newLimitFleet(50, limit)
	got := within.drive(50, 0.15)
	t.Logf("7.5/s on 50 sidecars: %.1f/s granted, %d messages a minute", got, within.messages)
	is.Equal(within.messages, 0)
	wide := newLimitFleet(300, Quota{MilliRequests: 1_000_000})
	got = wide.drive(300, 20)
	t.Logf("6000/s on 300 sidecars, limit 1000/s: %.1f/s granted, %d messages a minute", got, wide.messages)
	is.True(got <= 1010)
	is.True(got >= 850)
	near := newLimitFleet(50, limit)
	got = near.drive(2, 20)
	t.Logf("40/s on 2 sidecars: %.1f/s granted, %d messages a minute", got, near.messages)
	is.True(got >= 39)
}

// The refusal of a limited organisation must be not-run and give advice.
func TestLimitRefusal(t *testing.T) {
	is := is.New(t)
	f := newLimitFleet(1, Quota{Tokens: 100})
	c := newController(t, nil, Alone{}, f.limiters[0])
	var last error
	for range 4 {
		_, last = c.Admit(t.Context(), decode("o", 20))
	}
	is.Equal(verdict.As(last).Reason, verdict.ReasonOrganisationRate)
	is.Equal(verdict.Of(last), verdict.NotRun)
	is.True(verdict.As(last).RetryAfter > 0)
}

// An answer to an earlier report must not replace a newer lease.
func TestLateAnswerIsIgnored(t *testing.T) {
	is := is.New(t)
	f := newLimitFleet(10, Quota{Tokens: 1000})
	l := f.limiters[0]
	for _, inFlight := range []uint64{400, 30} {
		for range 2 {
			_ = l.take("o", inFlight, 1)
		}
		f.at = f.at.Add(time.Second)
		f.report(l)
	}
	is.Equal(len(f.late), 2)
	l.Apply(f.late[1].lease)
	l.Apply(f.late[0].lease)
	is.True(f.late[0].lease.Allowed != f.late[1].lease.Allowed)
	is.Equal(l.local["o"].lease, f.late[1].lease.Allowed)
}

// Work in the queue must count against the tokens in flight, or a full queue would exceed the limit
// once it is granted.
func TestQueuedWorkCountsAgainstLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := NewLimiter("i0", DefaultLimitSettings())
		l.SetLimits(map[string]Quota{"o": {Tokens: 200}}) // 50 in the grace
		c := newController(t, func(s *Settings) { s.CapacityRequests = 1 }, Alone{}, l)
		running, err := c.Admit(t.Context(), decode("o", 20))
		is.NoErr(err)
		go func() {
			g, err := c.Admit(context.Background(), decode("o", 20))
			is.NoErr(err)
			g.Done()
		}()
		synctest.Wait()
		_, err = c.Admit(t.Context(), decode("o", 20))
		is.Equal(verdict.As(err).Reason, verdict.ReasonOrganisationRate)
		running.Done()
		synctest.Wait()
	})
}
