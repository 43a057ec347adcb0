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

// limitFleet is a set of limiters with one coordinator and a virtual clock.
type limitFleet struct {
	at          time.Time
	limit       Quota
	coordinator *LimitCoordinator
	limiters    []*Limiter
	messages    int
	// pending holds leases that have not been delivered yet.
	pending []pendingLease
}

type pendingLease struct {
	to    *Limiter
	lease LimitLease
}

func newLimitFleet(members int, limit Quota) *limitFleet {
	f := &limitFleet{at: time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC), limit: limit}
	limits := map[string]Quota{"o": limit}
	now := func() time.Time { return f.at }
	f.coordinator = NewLimitCoordinator(DefaultLimitSettings())
	f.coordinator.now = now
	f.coordinator.SetLimits(limits)
	f.coordinator.SetMembers(members)
	for i := range members {
		l := NewLimiter(fmt.Sprint("i", i), DefaultLimitSettings())
		l.now = now
		l.SetLimits(limits)
		l.SetMembers(members)
		f.limiters = append(f.limiters, l)
	}
	return f
}

// exchange sends the due reports of one sidecar to the coordinator and delivers all pending leases.
func (f *limitFleet) exchange(l *Limiter) {
	f.report(l)
	for _, p := range f.pending {
		p.to.Apply(p.lease)
	}
	f.pending = nil
}

// report sends the due reports of one sidecar to the coordinator and keeps the leases as pending.
func (f *limitFleet) report(l *Limiter) {
	for _, report := range l.TakeDueReports() {
		f.messages += 2
		if lease, ok := f.coordinator.Handle(report); ok {
			f.pending = append(f.pending, pendingLease{to: l, lease: lease})
		}
	}
}

// allowed returns the sum of the current quotas of all sidecars, and how many of them are in a grace period.
func (f *limitFleet) allowed() (total Quota, inGrace int) {
	for _, l := range f.limiters {
		l.mu.Lock()
		s := l.localState("o", f.at)
		if f.at.Before(s.graceUntil) && !f.at.Before(s.leaseUntil) {
			inGrace++
		}
		q := l.currentQuota(s, f.limit, f.at)
		l.mu.Unlock()
		total.MilliRequests += q.MilliRequests
		total.Tokens += q.Tokens
	}
	return total, inGrace
}

// The leases and base shares of all sidecars must never add up to more than the limit, whatever the demand and
// whichever leases are lost or delayed. Only a sidecar in its grace period may add GracePercent.
func TestLeasesStayWithinLimit(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		limit := Quota{MilliRequests: rapid.Uint64Range(1000, 1e6).Draw(t, "rate"), Tokens: rapid.Uint64Range(100, 1e6).Draw(t, "tokens")}
		f := newLimitFleet(rapid.IntRange(1, 20).Draw(t, "members"), limit)
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			l := f.limiters[rapid.IntRange(0, len(f.limiters)-1).Draw(t, "sidecar")]
			switch rapid.SampledFrom([]string{"ask", "ask", "report", "report", "answer", "answer", "wait"}).Draw(t, "step") {
			case "ask":
				for range rapid.IntRange(1, 50).Draw(t, "requests") {
					_ = l.acquire("o", limit.Tokens-rapid.Uint64Range(0, limit.Tokens).Draw(t, "free"), 1)
				}
			case "report":
				f.report(l)
			case "answer":
				f.deliver(rapid.IntRange(0, max(0, len(f.pending)-1)).Draw(t, "answer"), rapid.Bool().Draw(t, "arrives"))
			default:
				f.at = f.at.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * time.Millisecond)
			}
			total, inGrace := f.allowed()
			grace := DefaultLimitSettings().graceQuota(limit)
			if total.Tokens > limit.Tokens+uint64(inGrace)*grace.Tokens || total.MilliRequests > limit.MilliRequests+uint64(inGrace)*grace.MilliRequests {
				t.Fatalf("quotas add up to %+v with %d sidecars in a grace period, limit %+v", total, inGrace, limit)
			}
		}
	})
}

// deliver delivers or drops one pending lease.
func (f *limitFleet) deliver(at int, arrives bool) {
	if at >= len(f.pending) {
		return
	}
	p := f.pending[at]
	f.pending = append(f.pending[:at], f.pending[at+1:]...)
	if arrives {
		p.to.Apply(p.lease)
	}
}

// drive sends rate requests per second to each of the first busy sidecars for a minute, with exchanges every
// 250 ms, and returns the granted requests per second over the last half minute.
func (f *limitFleet) drive(busy int, rate float64) float64 {
	const tick = 10 * time.Millisecond
	granted := 0
	for step := range 6000 {
		for i := range busy {
			before := int(float64(step) * rate * tick.Seconds())
			for range int(float64(step+1)*rate*tick.Seconds()) - before {
				if f.limiters[i].acquire("o", 0, 1) == nil && step >= 3000 {
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

// An organisation with excess demand must be held to its limit and must get most of it, whether its requests
// arrive at few sidecars or at many. An organisation within its base shares must cause no messages.
func TestLimitInForceAcrossSidecars(t *testing.T) {
	is := is.New(t)
	limit := Quota{MilliRequests: 100_000}
	for _, busy := range []int{1, 5, 50} {
		f := newLimitFleet(50, limit)
		got := f.drive(busy, 1000/float64(busy))
		t.Logf("1000/s on %d of 50 sidecars, limit 100/s: %.1f/s granted, %d messages a minute", busy, got, f.messages)
		is.True(got <= 101) // demand of 10 times the limit
		is.True(got >= 85)  // demand of 10 times the limit
	}
	withinBaseShares := newLimitFleet(50, limit)
	got := withinBaseShares.drive(50, 0.15)
	t.Logf("7.5/s on 50 sidecars: %.1f/s granted, %d messages a minute", got, withinBaseShares.messages)
	is.Equal(withinBaseShares.messages, 0) // 50 sidecars with demand within their base shares
	largeFleet := newLimitFleet(300, Quota{MilliRequests: 1_000_000})
	got = largeFleet.drive(300, 20)
	t.Logf("6000/s on 300 sidecars, limit 1000/s: %.1f/s granted, %d messages a minute", got, largeFleet.messages)
	is.True(got <= 1010) // 300 sidecars, demand of 6 times the limit
	is.True(got >= 850)  // 300 sidecars, demand of 6 times the limit
	belowLimit := newLimitFleet(50, limit)
	got = belowLimit.drive(2, 20)
	t.Logf("40/s on 2 sidecars: %.1f/s granted, %d messages a minute", got, belowLimit.messages)
	is.True(got >= 39) // 2 of 50 sidecars, demand below the limit
}

// A refusal by a limit must have verdict not-run and a RetryAfter.
func TestLimitRefusalIsNotRunWithRetryAfter(t *testing.T) {
	is := is.New(t)
	f := newLimitFleet(1, Quota{Tokens: 100})
	c := newController(t, nil, SingleMember{}, f.limiters[0])
	var last error
	for range 4 {
		_, last = c.Admit(t.Context(), decodeRequest("o", 20))
	}
	is.Equal(verdict.As(last).Reason, verdict.ReasonOrganisationLimit)
	is.Equal(verdict.Of(last), verdict.NotRun)
	is.True(verdict.As(last).RetryAfter > 0)
}

// A delayed answer to an earlier report must not replace a newer lease.
func TestLateLeaseIsIgnored(t *testing.T) {
	is := is.New(t)
	f := newLimitFleet(10, Quota{Tokens: 1000})
	l := f.limiters[0]
	for _, inFlight := range []uint64{400, 30} {
		for range 2 {
			_ = l.acquire("o", inFlight, 1)
		}
		f.at = f.at.Add(time.Second)
		f.report(l)
	}
	is.Equal(len(f.pending), 2)
	l.Apply(f.pending[1].lease)
	l.Apply(f.pending[0].lease)
	is.True(f.pending[0].lease.Allowed != f.pending[1].lease.Allowed)
	is.Equal(l.local["o"].lease, f.pending[1].lease.Allowed)
}

// Queued work must count as tokens in flight. Otherwise a full queue would exceed the limit once it is granted.
func TestQueuedWorkCountsAgainstLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := NewLimiter("i0", DefaultLimitSettings())
		l.SetLimits(map[string]Quota{"o": {Tokens: 200}}) // quota of 50 in the grace period
		c := newController(t, func(s *Settings) { s.CapacityRequests = 1 }, SingleMember{}, l)
		running, err := c.Admit(t.Context(), decodeRequest("o", 20))
		is.NoErr(err)
		go func() {
			g, err := c.Admit(context.Background(), decodeRequest("o", 20))
			is.NoErr(err)
			g.Done()
		}()
		synctest.Wait()
		_, err = c.Admit(t.Context(), decodeRequest("o", 20))
		is.Equal(verdict.As(err).Reason, verdict.ReasonOrganisationLimit)
		running.Done()
		synctest.Wait()
	})
}
