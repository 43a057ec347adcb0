package router

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"jacinthfork.example/jacinthfork/burn"
	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/verdict"
)

// counted returns the events of each objective in the shortest window.
func counted(r *Router) [3]burn.Count {
	counts := r.burn.Snapshot().Organisations["a"]
	return [3]burn.Count{counts[0][0], counts[1][0], counts[2][0]}
}

// A caller's mistake must not use up the error budget, and a failure of the fleet must.
func TestCallersFaultsAreLeftOut(t *testing.T) {
	for _, c := range []struct {
		verdict verdict.Verdict
		reason  verdict.Reason
		counts  bool
	}{
		{verdict.NotRun, verdict.ReasonTooLarge, false},
		{verdict.NotRun, verdict.ReasonOrganisationRate, false},
		{verdict.Unknown, verdict.ReasonKeyExpired, false},
		{verdict.Ran, verdict.ReasonCancelled, false},
		{verdict.NotRun, verdict.ReasonOverBound, true},
		{verdict.NotRun, verdict.ReasonOverShare, true},
		{verdict.Unknown, verdict.ReasonBroken, true},
		{verdict.Unknown, verdict.ReasonBadRequest, true},
	} {
		is := is.New(t)
		r := &Router{burn: burn.NewRecorder(4), count: kernel.NewCounters()}
		r.observe(&call{organisation: "a"}, verdict.New(c.verdict, c.reason, ""))
		r.observeRejected("a", verdict.New(c.verdict, c.reason, ""))
		want := uint64(0)
		if c.counts {
			want = 2
		}
		is.Equal(counted(r)[2].Bad, want) // c.reason
	}
}

// A stream that never began would look good if only first tokens that came were counted.
func TestStreamWithoutTokensMissesTheFirstToken(t *testing.T) {
	is := is.New(t)
	r := &Router{burn: burn.NewRecorder(4), count: kernel.NewCounters()}
	c := &call{organisation: "a", started: time.Now().Add(-2 * burn.FirstTokenLimit)}
	c.latency = &latencyProbe{router: r, call: c, last: time.Now()}
	r.observe(c, verdict.New(verdict.Unknown, verdict.ReasonCancelled, ""))
	is.Equal(counted(r), [3]burn.Count{{Bad: 1}, {}, {}})
	c.latency.token()
	c.latency.token()
	r.observe(c, nil)
	is.Equal(counted(r), [3]burn.Count{{Good: 1, Bad: 1}, {Good: 1}, {Good: 1}})
}
