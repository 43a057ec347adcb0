package router

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"jacinthfork.example/jacinthfork/burn"
	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/verdict"
)

// shortestWindowCounts returns the counts of each objective in the shortest window, in the order of
// burn.Objectives: first token, between tokens, whole answer.
func shortestWindowCounts(r *Router) [3]burn.Count {
	counts := r.burn.Snapshot().Organisations["a"]
	return [3]burn.Count{counts[0][0], counts[1][0], counts[2][0]}
}

// A caller's error must not consume the error budget; a failure of the fleet must.
func TestCallerErrorsDoNotUseErrorBudget(t *testing.T) {
	for _, c := range []struct {
		verdict verdict.Verdict
		reason  verdict.Reason
		counts  bool
	}{
		{verdict.NotRun, verdict.ReasonTooLarge, false},
		{verdict.NotRun, verdict.ReasonOrganisationLimit, false},
		{verdict.Unknown, verdict.ReasonKeyExpired, false},
		{verdict.Ran, verdict.ReasonCancelled, false},
		{verdict.NotRun, verdict.ReasonOverBound, true},
		{verdict.NotRun, verdict.ReasonOverShare, true},
		{verdict.Unknown, verdict.ReasonConnectionBroken, true},
		{verdict.Unknown, verdict.ReasonBadRequest, true},
	} {
		is := is.New(t)
		r := &Router{burn: burn.NewRecorder(4), counters: kernel.NewCounters()}
		r.observeOutcome(&call{organisation: "a"}, verdict.New(c.verdict, c.reason, ""))
		r.observeRejected("a", verdict.New(c.verdict, c.reason, ""))
		want := uint64(0)
		if c.counts {
			want = 2
		}
		is.Equal(shortestWindowCounts(r)[2].Bad, want) // failures of the whole-answer objective
	}
}

// A stream that never delivers a token must count as a missed first token. It would not if only the
// latencies of delivered tokens were counted.
func TestStreamWithoutTokensCountsAsFirstTokenMiss(t *testing.T) {
	is := is.New(t)
	r := &Router{burn: burn.NewRecorder(4), counters: kernel.NewCounters()}
	c := &call{organisation: "a", started: time.Now().Add(-2 * burn.FirstTokenLimit)}
	c.latency = &latencyProbe{router: r, call: c, lastToken: time.Now()}
	r.observeOutcome(c, verdict.New(verdict.Unknown, verdict.ReasonCancelled, ""))
	is.Equal(shortestWindowCounts(r), [3]burn.Count{{Bad: 1}, {}, {}})
	c.latency.observeToken()
	c.latency.observeToken()
	r.observeOutcome(c, nil)
	is.Equal(shortestWindowCounts(r), [3]burn.Count{{Good: 1, Bad: 1}, {Good: 1}, {Good: 1}})
}
