package router

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"jacinthfork.example/jacinthfork/journal"
	"jacinthfork.example/jacinthfork/placement"
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

func (r *Router) tryCandidates(ctx context.Context, c *call) *verdict.Error {
	pool := r.view.pool(c.pool)
	if pool == nil {
		return verdict.New(verdict.NotRun, verdict.ReasonUnknownPool, fmt.Sprintf("there is no pool %q", c.pool))
	}
	policy := r.policy(c.pool)
	order := policy.Order(make([]int, 0, pool.Len()), &c.place, pool)
	c.explain = policy.Explain(&c.place, pool, order)
	if len(order) == 0 {
		return verdict.New(verdict.NotRun, verdict.ReasonNoCandidate, fmt.Sprintf("pool %q has no instance to try", c.pool))
	}
	return r.walk(ctx, c, pool, order)
}

// walk goes through the candidates. A broken stream that has begun is continued at the same one.
func (r *Router) walk(ctx context.Context, c *call, pool *placement.Pool, order []int) *verdict.Error {
	var last *verdict.Error
	for position := 0; position < len(order) && c.attempts < r.settings.Callers.MaxAttempts; {
		if ctx.Err() != nil {
			return r.expired(c, last)
		}
		instance := pool.At(order[position]).ID
		err := r.once(ctx, c, instance)
		if err == nil {
			return nil
		}
		c.refuse(instance, string(err.Reason))
		last = r.worse(last, err)
		if !r.mayRetry(c, err) {
			return last
		}
		if !c.answer.begun() && err.Reason != verdict.ReasonIncarnation {
			position++
		}
		c.answer.reset()
	}
	return last
}

func (r *Router) once(ctx context.Context, c *call, instance string) *verdict.Error {
	c.attempts++
	p, err := r.peers.get(instance, r.view.address(instance))
	if err != nil {
		return verdict.Wrap(verdict.NotRun, verdict.ReasonUnreachable, err)
	}
	failure := verdict.As(r.attempt(ctx, c, p))
	if failure == nil {
		return nil
	}
	if failure.Reason == verdict.ReasonUnreachable || failure.Reason == verdict.ReasonBroken {
		r.view.failed(instance)
	}
	return failure
}

// worse keeps the verdict that is true for the whole call: once an attempt may have run, the call
// may have run.
func (r *Router) worse(before, now *verdict.Error) *verdict.Error {
	if before == nil || now.Verdict == before.Verdict || before.Verdict == verdict.NotRun {
		return now
	}
	merged := *now
	merged.Verdict = before.Verdict
	return &merged
}

// expired is the error of a call whose time is over or whose caller is gone.
func (r *Router) expired(c *call, last *verdict.Error) *verdict.Error {
	err := verdict.New(verdict.NotRun, verdict.ReasonDeadline, "the deadline passed before a sidecar took the request")
	if last == nil {
		return err
	}
	return r.worse(last, err)
}

// final are reasons that another sidecar would give as well.
var final = map[verdict.Reason]bool{
	verdict.ReasonBadRequest: true, verdict.ReasonTooLarge: true, verdict.ReasonOrganisationRate: true,
	verdict.ReasonCrashRefused: true, verdict.ReasonKeyInvalid: true, verdict.ReasonKeyExpired: true,
	verdict.ReasonKeyFuture: true, verdict.ReasonKeyMismatch: true, verdict.ReasonKeyInProgress: true,
	verdict.ReasonKeyOutcomeLost: true, verdict.ReasonDeadline: true,
}

// mayRetry says whether the call may be sent again after err.
func (r *Router) mayRetry(c *call, err *verdict.Error) bool {
	if final[err.Reason] || err.Verdict == verdict.Ran {
		return false
	}
	if c.answer.begun() {
		return err.Reason == verdict.ReasonBroken && c.answer.delivered() > 0
	}
	return err.Verdict == verdict.NotRun || c.repeatable
}

// route says in one line why the call went where it did.
func (c *call) route(served string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "served=%s; attempts=%d; %s", served, c.attempts, c.explain)
	for _, refusal := range c.refusals {
		fmt.Fprintf(&b, "; refused=%s:%s", refusal.instance, refusal.reason)
	}
	return b.String()
}

// record counts the outcome and keeps the decision for "jacinthfork explain".
func (r *Router) record(c *call, err *verdict.Error) {
	v, reason := verdict.Ran, "ok"
	if err != nil {
		v, reason = err.Verdict, string(err.Reason)
	}
	r.count.Map("verdicts").Add(v.String(), 1)
	r.count.Map("outcomes").Add(reason, 1)
	r.journal.Add(journal.KindRoute, c.id, c.route("see outcome"),
		journal.Field{Name: "verdict", Value: v.String()},
		journal.Field{Name: "outcome", Value: reason},
		journal.Field{Name: "pool", Value: c.pool},
		journal.Field{Name: "organisation", Value: c.organisation})
}
