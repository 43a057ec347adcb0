package retry

import (
	"math/rand/v2"
	"time"

	"jacinthfork.example/jacinthfork/verdict"
)

// Class says whether and how a failed attempt may be retried.
type Class uint8

// The zero value is Never, so that a reason unknown to this version is not retried.
const (
	// Never means that another attempt cannot succeed or is not safe.
	Never Class = iota
	// Redirect means that another candidate should be tried, at once and uncharged up to MaxRedirects. Further
	// redirects, and those of a request that must wait for its only target, are delayed and charged.
	Redirect
	// Charged means that another attempt is charged to the budget and sent after a backoff.
	Charged
)

// classByReason lists the reasons that may be retried. All others are Never: the request itself is invalid, its
// deadline has passed, or every candidate would give the same answer.
var classByReason = map[verdict.Reason]Class{
	verdict.ReasonOverBound:          Redirect,
	verdict.ReasonLeaving:            Redirect,
	verdict.ReasonNotReady:           Redirect,
	verdict.ReasonIsolation:          Redirect,
	verdict.ReasonNotATarget:         Redirect,
	verdict.ReasonCrashSuspect:       Redirect,
	verdict.ReasonIncarnationChanged: Redirect,
	verdict.ReasonOverCapacity:       Charged,
	verdict.ReasonOverShare:          Charged,
	verdict.ReasonUnreachable:        Charged,
	verdict.ReasonConnectionBroken:   Charged,
	verdict.ReasonForeignChunk:       Charged,
	verdict.ReasonTruncated:          Charged,
	verdict.ReasonEngineCrash:        Charged,
	verdict.ReasonEngineError:        Charged,
}

// Classify returns the class of a failed attempt from its verdict and reason alone. A request may be sent again
// only if the attempt was not run or the request is repeatable. An attempt that ran and whose response was
// lost is treated like one with an unknown outcome.
func Classify(err *verdict.Error, repeatable bool) Class {
	if err == nil {
		return Never
	}
	if err.Verdict != verdict.NotRun && !repeatable {
		return Never
	}
	class := classByReason[err.Reason]
	if class == Redirect && err.Verdict != verdict.NotRun {
		return Charged
	}
	return class
}

// Decision says whether to retry a request, and after which delay.
type Decision struct {
	Retry bool
	Delay time.Duration
	// Denied is set when only the exhausted budget prevented the retry. The caller should then get
	// verdict.ReasonRetryBudget with the verdict of the last attempt.
	Denied bool
}

// Attempts is the retry state of one request. The zero value is a request without attempts. It is not safe for
// concurrent use: the router keeps one per request.
type Attempts struct {
	// Made is the number of attempts sent so far, including the first.
	Made int
	// Redirected is the number of uncharged redirects used.
	Redirected int
	// chargedRetries is the number of charged retries, which determines the backoff.
	chargedRetries int
	// Streamed is set when a part of the response has reached the caller. The router does not retry such a
	// request, because the caller would get the beginning of the response twice.
	Streamed bool
}

// Policy is the retry policy of one pool. It is safe for concurrent use.
type Policy struct {
	settings Settings
	budget   *Budget
	// random returns a uniformly distributed number in [0, 1).
	random func() float64
}

// NewPolicy returns a policy with its own budget, which is full.
func NewPolicy(settings Settings) *Policy {
	return &Policy{settings: settings, budget: NewBudget(settings), random: rand.Float64}
}

// Budget returns the budget of the policy.
func (p *Policy) Budget() *Budget { return p.budget }

// Next decides whether to retry after a failed attempt. deadline is that of the caller; zero means none. The
// delay always ends before the deadline. Next counts the free redirect or the charged retry in a, and charges
// the latter to the budget. The caller increments Made for each attempt.
func (p *Policy) Next(a *Attempts, err *verdict.Error, repeatable bool, now, deadline time.Time) Decision {
	class := Classify(err, repeatable)
	if class == Never || a.Streamed || a.Made >= p.settings.MaxAttempts {
		return Decision{}
	}
	free := class == Redirect && a.Redirected < p.settings.MaxRedirects && !mustWaitForTarget(err)
	delay := time.Duration(0)
	if !free {
		delay = p.backoff(a.chargedRetries, err.RetryAfter)
	}
	if !deadline.IsZero() && !now.Add(delay).Before(deadline) {
		return Decision{}
	}
	if free {
		a.Redirected++
		return Decision{Retry: true}
	}
	if !p.budget.Withdraw(now) {
		return Decision{Denied: true}
	}
	a.chargedRetries++
	return Decision{Retry: true, Delay: delay}
}

// mustWaitForTarget reports whether no other candidate can run the request before RetryAfter has passed: a
// request suspected of crashing engines may run on one instance only; see package suspect.
func mustWaitForTarget(err *verdict.Error) bool {
	return err.Reason == verdict.ReasonCrashSuspect && err.RetryAfter > 0
}

// backoff returns the backoff with full jitter: uniform between the RetryAfter of the refusing sidecar and that
// plus an upper limit that doubles with each charged retry.
func (p *Policy) backoff(chargedRetries int, retryAfter time.Duration) time.Duration {
	limit := p.settings.BackoffMax
	if chargedRetries < 16 {
		limit = min(limit, p.settings.BackoffBase<<chargedRetries)
	}
	return retryAfter + time.Duration(p.random()*float64(limit))
}
