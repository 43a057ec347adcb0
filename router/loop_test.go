package router

import (
	"testing"

	"github.com/matryer/is"
	"jacinthfork.example/jacinthfork/verdict"
)

// A call of which one attempt may have run must not end as not-run because a later attempt, or the
// lack of a candidate, is one; that it ran is never forgotten.
func TestVerdictOfAllAttempts(t *testing.T) {
	is := is.New(t)
	e := func(v verdict.Verdict) *verdict.Error { return verdict.New(v, verdict.ReasonBroken, "") }
	for _, c := range []struct{ before, now, want verdict.Verdict }{
		{verdict.NotRun, verdict.NotRun, verdict.NotRun},
		{verdict.NotRun, verdict.Unknown, verdict.Unknown},
		{verdict.Unknown, verdict.NotRun, verdict.Unknown},
		{verdict.Unknown, verdict.Ran, verdict.Ran},
		{verdict.Ran, verdict.NotRun, verdict.Ran},
		{verdict.Ran, verdict.Unknown, verdict.Ran},
	} {
		is.Equal(worse(e(c.before), e(c.now)).Verdict, c.want)
	}
	is.Equal(worse(nil, e(verdict.NotRun)).Verdict, verdict.NotRun)

	// The plan of the next attempt fails after one that may have run.
	w := &walk{router: testRouter(t), call: &call{pool: "none"}, last: e(verdict.Unknown)}
	w.order = []int{0}
	is.True(!w.advance(e(verdict.Unknown)))
	is.Equal(w.last.Verdict, verdict.Unknown)
}
