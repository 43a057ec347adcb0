package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jacinthfork.example/jacinthfork/verdict"
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// A request that ran or may have run must not be sent again unless it is repeatable.
func TestUnknownOutcomeIsRetriedOnlyWhenRepeatable(t *testing.T) {
	is := is.New(t)
	for reason := range classByReason {
		unknown := verdict.New(verdict.Unknown, reason, "")
		ran := verdict.New(verdict.Ran, reason, "")
		is.Equal(Classify(unknown, false), Never) // may have run
		is.Equal(Classify(ran, false), Never)     // has run
	}
	broken := verdict.New(verdict.Unknown, verdict.ReasonConnectionBroken, "")
	is.Equal(Classify(broken, true), Charged)
	is.Equal(Classify(verdict.New(verdict.NotRun, verdict.ReasonOverBound, ""), false), Redirect)
	is.Equal(Classify(verdict.New(verdict.NotRun, verdict.ReasonCrashRefused, ""), true), Never)
	is.Equal(Classify(verdict.New(verdict.NotRun, verdict.ReasonOrganisationLimit, ""), true), Never)
	is.Equal(Classify(verdict.New(verdict.NotRun, "reason-of-a-later-version", ""), true), Never)
}

// A retry whose delay would end at or after the caller's deadline must not be made, and must not be charged.
func TestNoRetryPastDeadline(t *testing.T) {
	is := is.New(t)
	p := NewPolicy(DefaultSettings())
	p.random = func() float64 { return 0.5 }
	err := verdict.New(verdict.NotRun, verdict.ReasonOverCapacity, "")
	err.RetryAfter = time.Second
	a := Attempts{Made: 1}
	is.Equal(p.Next(&a, err, true, epoch, epoch.Add(time.Second)), Decision{})
	spent, _ := p.Budget().Totals()
	is.Equal(spent, uint64(0))
	d := p.Next(&a, err, true, epoch, epoch.Add(2*time.Second))
	is.True(d.Retry)
	is.True(d.Delay >= time.Second)
}

// A request must not be retried after MaxAttempts attempts, or while the budget is exhausted.
func TestRetriesEndAtMaxAttemptsAndExhaustedBudget(t *testing.T) {
	is := is.New(t)
	s := DefaultSettings()
	s.MinPerSecond = 0
	s.Burst = 2
	p := NewPolicy(s)
	err := verdict.New(verdict.NotRun, verdict.ReasonUnreachable, "")
	a := Attempts{Made: s.MaxAttempts}
	is.Equal(p.Next(&a, err, true, epoch, time.Time{}), Decision{})
	a = Attempts{Made: 1}
	is.True(p.Next(&a, err, true, epoch, time.Time{}).Retry)
	is.True(p.Next(&a, err, true, epoch, time.Time{}).Retry)
	is.Equal(p.Next(&a, err, true, epoch, time.Time{}), Decision{Denied: true})
	for range 10 {
		p.Budget().Deposit(epoch)
	}
	is.True(p.Next(&a, err, true, epoch, time.Time{}).Retry) // ten requests add one retry to the budget
}

// A redirect must be free and immediate. A crash suspect that must wait for its only target must not use up its
// redirects without delay.
func TestRedirectsAreFreeExceptForWaitingSuspect(t *testing.T) {
	is := is.New(t)
	s := DefaultSettings()
	p := NewPolicy(s)
	a := Attempts{Made: 1}
	suspect := verdict.New(verdict.NotRun, verdict.ReasonCrashSuspect, "")
	suspect.RetryAfter = 2 * time.Second
	is.True(p.Next(&a, suspect, false, epoch, time.Time{}).Delay >= 2*time.Second)
	for range s.MaxRedirects {
		is.Equal(p.Next(&a, verdict.New(verdict.NotRun, verdict.ReasonOverBound, ""), false, epoch, time.Time{}), Decision{Retry: true})
	}
	spent, _ := p.Budget().Totals()
	is.Equal(spent, uint64(1)) // only the retry that waits is charged
	p.Next(&a, verdict.New(verdict.NotRun, verdict.ReasonOverBound, ""), false, epoch, time.Time{})
	spent, _ = p.Budget().Totals()
	is.Equal(spent, uint64(2)) // redirects beyond MaxRedirects are charged
}
