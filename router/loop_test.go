package router

import (
	"testing"

	"github.com/matryer/is"
	"jacinthfork.example/jacinthfork/verdict"
)

// A call must not end as not-run when one attempt may have run, even if a later attempt did not run or no
// candidate is left. Once an attempt is known to have run, the verdict stays ran.
func TestVerdictCoversAllAttempts(t *testing.T) {
	is := is.New(t)
	newError := func(v verdict.Verdict) *verdict.Error { return verdict.New(v, verdict.ReasonConnectionBroken, "") }
	for _, c := range []struct{ previous, latest, want verdict.Verdict }{
		{verdict.NotRun, verdict.NotRun, verdict.NotRun},
		{verdict.NotRun, verdict.Unknown, verdict.Unknown},
		{verdict.Unknown, verdict.NotRun, verdict.Unknown},
		{verdict.Unknown, verdict.Ran, verdict.Ran},
		{verdict.Ran, verdict.NotRun, verdict.Ran},
		{verdict.Ran, verdict.Unknown, verdict.Ran},
	} {
		is.Equal(mergeVerdict(newError(c.previous), newError(c.latest)).Verdict, c.want)
	}
	is.Equal(mergeVerdict(nil, newError(verdict.NotRun)).Verdict, verdict.NotRun)

	// Ordering the candidates fails after an attempt that may have run.
	loop := &attemptLoop{router: newTestRouter(t), call: &call{pool: "none"}, lastErr: newError(verdict.Unknown)}
	loop.remaining = []int{0}
	is.True(!loop.advance(newError(verdict.Unknown)))
	is.Equal(loop.lastErr.Verdict, verdict.Unknown)
}
