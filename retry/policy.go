package retry

import (
	"math/rand/v2"
	"time"

	"jacinthfork.example/jacinthfork/verdict"
)

// Class says how a failed attempt may be repeated.
type Class uint8

// The zero value is Never, so that a reason unknown to this version is not retried.
const (
	// Never means that another attempt is useless or wrong.
	Never Class = iota
	// Redirect means that another candidate should be asked at once.
	Redirect
	// Charged means that another attempt is charged to the budget and waits for a backoff.
	Charged
)

// classes lists the reasons that may be retried. All others are Never: the request itself is at
// fault, its time is over, or every candidate would answer the same.
var classes = map[verdict.Reason]Class{
	verdict.ReasonOverBound:    Redirect,
	verdict.ReasonLeaving:      Redirect,
	verdict.ReasonNotReady:     Redirect,
	verdict.ReasonIsolation:    Redirect,
	verdict.ReasonNotTarget:    Redirect,
	verdict.ReasonCrashSuspect: Redirect,
	verdict.ReasonIncarnation:  Redirect,
	verdict.ReasonOverCapacity: Charged,
	verdict.ReasonOverShare:    Charged,
	verdict.ReasonUnreachable:  Charged,
	verdict.ReasonBroken:       Charged,
	verdict.ReasonForeignChunk: Charged,
	verdict.ReasonTruncated:    Charged,
	verdict.ReasonEngineCrash:  Charged,
	verdict.ReasonEngineError:  Charged,
}

// Classify decides from verdict and reason alone. Only an attempt that was not run, or a request
// that is repeatable, may be sent again. An attempt that ran and whose response was lost counts
// like an unknown one.
func Classify(err *verdict.Error, repeatable bool) Class {
	if err == nil {
		return Never
	}
	if err.Verdict != verdict.NotRun && !repeatable {
		return Never
	}
	class := classes[err.Reason]
	if class == Redirect && err.Verdict != verdict.NotRun {
		return Charged
	}
	return class
}

// Decision says whether to send a request again, and after which pause.
type Decision struct {
	Retry bool
	Pause time.Duration
	// Denied is set when the budget alone prevented the retry. The caller should then be told
	// verdict.ReasonRetryBudget with the verdict of the last attempt.
	Denied bool
}

// Attempts is the history of one request. The zero value is a request without attempts; the router
// keeps one per request and does not share it.
type Attempts struct {
	// Made is the number of attempts sent so far, the first included.
	Made int
	// Redirected is the number of free redirects used.
	Redirected int
	// charged is the number of charged retries, which sets the backoff.
	charged int
	// Streamed is set when a part of the response has reached the caller; such a request is not
	// retried by the router, because the caller would get the beginning twice.
	Streamed bool
}

// Policy decides retries for one pool. It is safe for concurrent use.
type Policy struct {
	settings Settings
	budget   *Budget
	// uniform returns a number in [0, 1).
	uniform func() float64
}

// NewPolicy returns a policy with its own full budget.
func NewPolicy(settings Settings) *Policy {
	return &Policy{settings: settings, budget: NewBudget(settings), uniform: rand.Float64}
}

// Budget returns the budget of the policy.
func (p *Policy) Budget() *Budget { return p.budget }

// Next decides after a failed attempt. deadline is that of the caller; zero means none. The pause
// always ends before the deadline. A retry that is decided is counted in a and charged.
func (p *Policy) Next(a *Attempts, err *verdict.Error, repeatable bool, now, deadline time.Time) Decision {
	class := Classify(err, repeatable)
	if class == Never || a.Streamed || a.Made >= p.settings.MaxAttempts {
		return Decision{}
	}
	free := class == Redirect && a.Redirected < p.settings.MaxRedirects && !mustWait(err)
	pause := time.Duration(0)
	if !free {
		pause = p.pause(a.charged, err.RetryAfter)
	}
	if !deadline.IsZero() && !now.Add(pause).Before(deadline) {
		return Decision{}
	}
	if free {
		a.Redirected++
		return Decision{Retry: true}
	}
	if !p.budget.Withdraw(now) {
		return Decision{Denied: true}
	}
	a.charged++
	return Decision{Retry: true, Pause: pause}
}

// mustWait reports whether no other candidate can run the request before the advised time: a crash
// suspect has one target only.
func mustWait(err *verdict.Error) bool {
	return err.Reason == verdict.ReasonCrashSuspect && err.RetryAfter > 0
}

// pause is the backoff with full jitter: uniform between the advice of the refusing sidecar and
// that plus an upper limit that doubles with each charged retry.
func (p *Policy) pause(charged int, advice time.Duration) time.Duration {
	limit := p.settings.BackoffMax
	if charged < 16 {
		limit = min(limit, p.settings.BackoffBase<<charged)
	}
	return advice + time.Duration(p.uniform()*float64(limit))
}
