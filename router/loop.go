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

// serve sends the call to candidates in order until one serves it, the verdict forbids another
// attempt, or the deadline passes.
func (r *Router) serve(ctx context.Context, c *call) {
	err := r.tryCandidates(ctx, c)
	if err != nil && c.resuming && err.Verdict == verdict.NotRun {
		// This attempt did not run, but the earlier one that the caller asks for may have.
		unsure := *err
		unsure.Verdict = verdict.Unknown
		err = &unsure
	}
	r.record(c, err)
	if err == nil {
		return
	}
	headers := make(http.Header)
	headers.Set(headerRequestID, c.id)
	headers.Set(headerRoute, c.route("none"))
	c.answer.fail(err, headers)
}

// walk is the way of one call through its candidates.
type walk struct {
	router   *Router
	call     *call
	members  *membership.Snapshot
	pool     *placement.Pool
	retry    *retry.Policy
	attempts retry.Attempts
	deadline time.Time
	// order holds the candidates that were not asked yet, best first.
	order []int
	// rounds counts how often all candidates were at their load bound.
	rounds int
	// last is the error of the attempts so far, with the verdict that holds for all of them.
	last *verdict.Error
}

func (r *Router) tryCandidates(ctx context.Context, c *call) *verdict.Error {
	w := &walk{router: r, call: c, retry: r.retryPolicy(c.pool)}
	w.deadline, _ = ctx.Deadline()
	w.retry.Budget().Request(time.Now())
	if err := w.plan(); err != nil {
		return err
	}
	for {
		if ctx.Err() != nil {
			return w.expired()
		}
		err := w.next(ctx)
		if err == nil {
			return nil
		}
		w.last = worse(w.last, err)
		if !w.again(ctx, err) {
			return w.last
		}
	}
}

// plan orders the candidates anew.
func (w *walk) plan() *verdict.Error {
	c, r := w.call, w.router
	w.pool, w.members = r.pool(c.pool)
	if w.pool == nil {
		return verdict.New(verdict.NotRun, verdict.ReasonUnknownPool, fmt.Sprintf("there is no pool %q", c.pool))
	}
	policy := r.policy(c.pool)
	order := policy.Order(make([]int, 0, w.pool.Len()), &c.place, w.pool)
	c.explain = policy.Explain(&c.place, w.pool, order)
	w.order = exposed(order, c, w.pool, r.settings.Suspects)
	if len(w.order) == 0 {
		return worse(w.last, verdict.New(verdict.NotRun, verdict.ReasonNoCandidate, fmt.Sprintf("pool %q has no instance to try", c.pool)))
	}
	return w.suspected()
}

// suspected puts the only instance that may run a suspected request first.
func (w *walk) suspected() *verdict.Error {
	r, c := w.router, w.call
	names := make([]string, w.pool.Len())
	for i := range names {
		names[i] = w.pool.At(i).ID
	}
	r.suspects.SetMembers(names)
	decision := r.suspects.Check(suspect.Request{Fingerprint: c.message.GetFingerprint(), Isolate: c.message.GetIsolate()})
	if decision.Err != nil {
		return decision.Err
	}
	c.message.Isolate = c.message.GetIsolate() || decision.Isolate
	w.ask(decision.Ask)
	return nil
}

// ask puts an instance first, if it is known.
func (w *walk) ask(instance string) {
	if i := w.pool.Find(instance); instance != "" && i >= 0 {
		w.order = append([]int{i}, w.order...)
	}
}

// next makes one attempt at the best candidate.
func (w *walk) next(ctx context.Context) *verdict.Error {
	c, r := w.call, w.router
	candidate := w.pool.At(w.order[0])
	member, _ := w.members.Find(candidate.ID)
	c.attempts++
	w.attempts.Made++
	target, _ := placement.TokenTarget(&c.place, w.pool)
	c.message.ByToken = target == w.order[0]
	p, err := r.peers.get(member.Instance, member.Address)
	if err != nil {
		return verdict.Wrap(verdict.NotRun, verdict.ReasonUnreachable, err)
	}
	failure := verdict.As(r.attempt(ctx, c, p))
	if failure == nil {
		return nil
	}
	c.refuse(member.Instance, string(failure.Reason))
	if failure.Reason == verdict.ReasonUnreachable || failure.Reason == verdict.ReasonBroken {
		r.view.Refused(member.Instance, member.Incarnation)
	}
	return failure
}

// again decides whether to make another attempt and prepares it.
func (w *walk) again(ctx context.Context, err *verdict.Error) bool {
	c := w.call
	if c.answer.begun() {
		return w.resume(ctx, err)
	}
	c.answer.reset()
	if c.resuming && err.Reason == verdict.ReasonKeyAnswerGone {
		return w.searchOn()
	}
	if err.Reason == verdict.ReasonEngineCrash {
		// The request may have caused the crash, so its next run is alone.
		c.message.Isolate = true
	}
	if err.Reason == verdict.ReasonOverBound && err.Verdict == verdict.NotRun {
		return w.overBound(ctx, err)
	}
	decision := w.retry.Next(&w.attempts, err, c.repeatable, time.Now(), w.deadline)
	if decision.Denied {
		w.last = worse(w.last, verdict.New(w.last.Verdict, verdict.ReasonRetryBudget, "the retry budget is used up; last error: "+err.Detail))
		w.last.RetryAfter = err.RetryAfter
	}
	if !decision.Retry || !pause(ctx, decision.Pause) {
		return false
	}
	return w.advance(err)
}

// searchOn moves to the next candidate when this one does not have the run that a caller wants to
// continue: the first router may have sent the request past a candidate at its load bound. It is not
// charged to the retry budget, because a sidecar without the run refuses at once.
func (w *walk) searchOn() bool {
	w.order = w.order[1:]
	return len(w.order) > 0
}

const (
	// boundRounds is how often all candidates are asked while each is at its load bound.
	boundRounds = 6
	// boundPause is the longest pause after the first round; it doubles with each round.
	boundPause = 40 * time.Millisecond
)

// overBound moves on after a refusal for the load bound. It is not charged to the retry budget,
// because it costs no engine time: at each moment some engine is at or below the mean and takes
// the request, and only news of the loads may be late.
func (w *walk) overBound(ctx context.Context, err *verdict.Error) bool {
	if len(w.order) > 1 {
		return w.advance(err)
	}
	if w.rounds++; w.rounds >= boundRounds {
		return false
	}
	w.call.message.AtMean = true
	return pause(ctx, rand.N(boundPause<<w.rounds)) && w.advance(err)
}

// advance moves to the next candidate. A refusal that names another instance leads there; after
// the last candidate the order is computed anew from the newest view.
func (w *walk) advance(err *verdict.Error) bool {
	if err.Reason != verdict.ReasonIncarnation {
		w.order = w.order[1:]
	}
	if w.call.message.GetIsolate() || len(w.order) == 0 {
		if planErr := w.plan(); planErr != nil {
			w.last = worse(w.last, planErr)
			return false
		}
	}
	w.ask(w.call.askNext)
	w.call.askNext = ""
	return true
}

// resumeAttempts bounds the attempts to continue a stream that has begun.
const resumeAttempts = 3

// resume continues a broken stream at the sidecar that runs it; any other would run it anew.
func (w *walk) resume(ctx context.Context, err *verdict.Error) bool {
	if err.Reason != verdict.ReasonBroken || w.call.answer.delivered() == 0 || w.call.resumes >= resumeAttempts {
		return false
	}
	w.call.resumes++
	return pause(ctx, resumePause)
}

// resumePause is the wait before a broken stream is continued.
const resumePause = 100 * time.Millisecond

// expired is the error of a call whose time is over or whose caller is gone.
func (w *walk) expired() *verdict.Error {
	return worse(w.last, verdict.New(verdict.NotRun, verdict.ReasonDeadline, "the deadline passed before a sidecar took the request"))
}

// worse returns the newer error with the verdict that is true for the whole call: once an attempt
// may have run, the call may have run.
func worse(before, now *verdict.Error) *verdict.Error {
	if before == nil || before.Verdict == verdict.NotRun || now.Verdict == verdict.Ran {
		return now
	}
	merged := *now
	merged.Verdict = before.Verdict
	return &merged
}

// pause waits and returns false when ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
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

// retryPolicy returns the retry policy of a pool with its budget.
func (r *Router) retryPolicy(pool string) *retry.Policy {
	r.retryLock.Lock()
	defer r.retryLock.Unlock()
	p, ok := r.retries[pool]
	if !ok {
		p = retry.NewPolicy(r.settings.Retry)
		r.retries[pool] = p
	}
	return p
}
