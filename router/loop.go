package router

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"jacinthfork.example/jacinthfork/membership"
	"jacinthfork.example/jacinthfork/placement"
	"jacinthfork.example/jacinthfork/retry"
	"jacinthfork.example/jacinthfork/suspect"
	"jacinthfork.example/jacinthfork/verdict"
)

// serve tries the candidates in order until one serves the call, the verdict or the retry policy forbids
// another attempt, the rounds at the load bound are used up or the deadline passes.
func (r *Router) serve(ctx context.Context, c *call) {
	err := r.tryCandidates(ctx, c)
	if err != nil && c.resuming && err.Verdict == verdict.NotRun {
		// This attempt did not run, but the earlier request that the caller resumes may have.
		unknown := *err
		unknown.Verdict = verdict.Unknown
		err = &unknown
	}
	r.recordOutcome(c, err)
	if err == nil {
		return
	}
	headers := make(http.Header)
	headers.Set(headerRequestID, c.id)
	headers.Set(headerRoute, c.route("none"))
	c.response.writeError(err, headers)
}

// attemptLoop holds the state of one call across its attempts.
type attemptLoop struct {
	router      *Router
	call        *call
	members     *membership.Snapshot
	pool        *placement.Pool
	retryPolicy *retry.Policy
	attempts    retry.Attempts
	deadline    time.Time
	// remaining holds the candidates that have not been tried yet, best first.
	remaining []int
	// loadBoundRounds counts the rounds in which every candidate was at its load bound.
	loadBoundRounds int
	// lastErr is the error of the latest attempt, with the verdict that holds for all attempts so far.
	lastErr *verdict.Error
}

func (r *Router) tryCandidates(ctx context.Context, c *call) *verdict.Error {
	l := &attemptLoop{router: r, call: c, retryPolicy: r.retryPolicy(c.pool)}
	l.deadline, _ = ctx.Deadline()
	l.retryPolicy.Budget().Deposit(time.Now())
	if err := l.orderCandidates(); err != nil {
		return err
	}
	for {
		if ctx.Err() != nil {
			return l.deadlineError()
		}
		err := l.tryNext(ctx)
		if err == nil {
			return nil
		}
		l.lastErr = mergeVerdict(l.lastErr, err)
		if !l.prepareRetry(ctx, err) {
			return l.lastErr
		}
	}
}

// orderCandidates computes the candidate order from the current view of the pool.
func (l *attemptLoop) orderCandidates() *verdict.Error {
	c, r := l.call, l.router
	l.pool, l.members = r.placementPool(c.pool)
	if l.pool == nil {
		return verdict.New(verdict.NotRun, verdict.ReasonUnknownPool, fmt.Sprintf("there is no pool %q", c.pool))
	}
	policy := r.placementPolicy(c.pool)
	order := policy.Order(make([]int, 0, l.pool.Len()), &c.placementReq, l.pool)
	c.explanation = policy.Explain(&c.placementReq, l.pool, order)
	l.remaining = limitExposure(order, c, l.pool, r.settings.Suspects)
	if len(l.remaining) == 0 {
		return mergeVerdict(l.lastErr, verdict.New(verdict.NotRun, verdict.ReasonNoCandidate, fmt.Sprintf("pool %q has no instance to try", c.pool)))
	}
	return l.checkSuspects()
}

// checkSuspects puts the only instance that may run a suspected request first, or returns the refusal.
func (l *attemptLoop) checkSuspects() *verdict.Error {
	r, c := l.router, l.call
	names := make([]string, l.pool.Len())
	for i := range names {
		names[i] = l.pool.At(i).ID
	}
	r.suspects.SetMembers(names)
	decision := r.suspects.Check(suspect.Request{Fingerprint: c.template.GetFingerprint(), Isolate: c.template.GetIsolate()})
	if decision.Err != nil {
		return decision.Err
	}
	c.template.Isolate = c.template.GetIsolate() || decision.Isolate
	l.tryFirst(decision.RedirectTo)
	return nil
}

// tryFirst puts an instance at the head of the candidates if it is a member of the pool.
func (l *attemptLoop) tryFirst(instance string) {
	if i := l.pool.Find(instance); instance != "" && i >= 0 {
		l.remaining = append([]int{i}, l.remaining...)
	}
}

// tryNext makes one attempt at the best remaining candidate.
func (l *attemptLoop) tryNext(ctx context.Context) *verdict.Error {
	c, r := l.call, l.router
	candidate := l.pool.At(l.remaining[0])
	member, _ := l.members.Find(candidate.ID)
	c.attempts++
	l.attempts.Made++
	target, _ := placement.TokenTarget(&c.placementReq, l.pool)
	c.template.ByToken = target == l.remaining[0]
	sidecar, err := r.sidecars.get(member.Instance, member.Address)
	if err != nil {
		return verdict.Wrap(verdict.NotRun, verdict.ReasonUnreachable, err)
	}
	failure := verdict.As(r.attempt(ctx, c, sidecar))
	if failure == nil {
		return nil
	}
	c.addFailure(member.Instance, string(failure.Reason))
	if failure.Reason == verdict.ReasonUnreachable || failure.Reason == verdict.ReasonConnectionBroken {
		r.membershipView.ObserveRefusal(member.Instance, member.Incarnation)
	}
	return failure
}

// prepareRetry reports whether another attempt may be made, after any backoff, and selects its candidate.
func (l *attemptLoop) prepareRetry(ctx context.Context, err *verdict.Error) bool {
	c := l.call
	if c.response.started() {
		return l.resumeStream(ctx, err)
	}
	c.response.discard()
	if c.resuming && err.Reason == verdict.ReasonKeyAnswerNotKept {
		return l.skipCandidate()
	}
	if err.Reason == verdict.ReasonEngineCrash {
		// The request may have caused the crash, so its next attempt runs isolated.
		c.template.Isolate = true
	}
	if err.Reason == verdict.ReasonOverBound && err.Verdict == verdict.NotRun {
		return l.retryOverBound(ctx, err)
	}
	decision := l.retryPolicy.Next(&l.attempts, err, c.repeatable, time.Now(), l.deadline)
	if decision.Denied {
		l.lastErr = mergeVerdict(l.lastErr, verdict.New(l.lastErr.Verdict, verdict.ReasonRetryBudget, "the retry budget is used up; last error: "+err.Detail))
		l.lastErr.RetryAfter = err.RetryAfter
	}
	if !decision.Retry || !sleep(ctx, decision.Delay) {
		return false
	}
	return l.advance(err)
}

// skipCandidate moves on when a candidate does not have the run that the caller resumes, or no longer keeps the
// start of its response. The router that served the earlier request may have skipped a candidate at its load
// bound. It is not charged to the retry budget, because such a sidecar refuses at once.
func (l *attemptLoop) skipCandidate() bool {
	l.remaining = l.remaining[1:]
	return len(l.remaining) > 0
}

const (
	// maxLoadBoundRounds is how many rounds are made while every candidate is at its load bound.
	maxLoadBoundRounds = 6
	// loadBoundBackoff sets the jittered pause between these rounds. Its upper limit is twice this value
	// after the first round and doubles with each further round.
	loadBoundBackoff = 40 * time.Millisecond
)

// retryOverBound continues after a refusal at the load bound. It is not charged to the retry budget,
// because the sidecar refuses before the engine is involved. Another round usually succeeds, because at any
// moment some engine is at or below the mean load and accepts the request; only the load reports may lag.
func (l *attemptLoop) retryOverBound(ctx context.Context, err *verdict.Error) bool {
	if len(l.remaining) > 1 {
		return l.advance(err)
	}
	if l.loadBoundRounds++; l.loadBoundRounds >= maxLoadBoundRounds {
		return false
	}
	l.call.template.AtMean = true
	return sleep(ctx, rand.N(loadBoundBackoff<<l.loadBoundRounds)) && l.advance(err)
}

// advance moves to the next candidate, or tries the same one again after ReasonIncarnationChanged. A refusal
// that names another instance leads to that instance. The order is computed anew from the latest view after
// the last candidate, and for an isolated request after every failure.
func (l *attemptLoop) advance(err *verdict.Error) bool {
	if err.Reason != verdict.ReasonIncarnationChanged {
		l.remaining = l.remaining[1:]
	}
	if l.call.template.GetIsolate() || len(l.remaining) == 0 {
		if orderErr := l.orderCandidates(); orderErr != nil {
			l.lastErr = mergeVerdict(l.lastErr, orderErr)
			return false
		}
	}
	l.tryFirst(l.call.redirectTo)
	l.call.redirectTo = ""
	return true
}

// maxResumeAttempts bounds the attempts to resume a stream that broke after its start.
const maxResumeAttempts = 3

// resumeStream resumes a broken stream at the sidecar that runs it; any other sidecar would run the
// request again.
func (l *attemptLoop) resumeStream(ctx context.Context, err *verdict.Error) bool {
	if err.Reason != verdict.ReasonConnectionBroken || l.call.response.deliveredEvents() == 0 || l.call.resumeAttempts >= maxResumeAttempts {
		return false
	}
	l.call.resumeAttempts++
	return sleep(ctx, resumeDelay)
}

// resumeDelay is the pause before a broken stream is resumed.
const resumeDelay = 100 * time.Millisecond

// deadlineError returns the error of a call whose deadline has passed or whose caller has disconnected.
func (l *attemptLoop) deadlineError() *verdict.Error {
	return mergeVerdict(l.lastErr, verdict.New(verdict.NotRun, verdict.ReasonDeadline, "the deadline passed before a sidecar took the request"))
}

// mergeVerdict returns the latest error with the verdict that holds for the whole call: once one attempt
// may have run, the call may have run.
func mergeVerdict(previous, latest *verdict.Error) *verdict.Error {
	if previous == nil || previous.Verdict == verdict.NotRun || latest.Verdict == verdict.Ran {
		return latest
	}
	merged := *latest
	merged.Verdict = previous.Verdict
	return &merged
}

// sleep waits for d and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// retryPolicy returns the retry policy of a pool, which holds its retry budget.
func (r *Router) retryPolicy(pool string) *retry.Policy {
	r.retryMu.Lock()
	defer r.retryMu.Unlock()
	p, ok := r.retryPolicies[pool]
	if !ok {
		p = retry.NewPolicy(r.settings.Retry)
		r.retryPolicies[pool] = p
	}
	return p
}
