package soak

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"jacinthfork.example/jacinthfork/platform/standin"
)

func executionsOf(ids ...string) []standin.Arrival {
	var out []standin.Arrival
	for _, id := range ids {
		out = append(out, standin.NewExecutedArrival(id))
	}
	return out
}

// Guards against a checker that misses violations: each case violates one invariant and must be reported, and
// a correct run must report none.
func TestViolationsAreReported(t *testing.T) {
	once, stream := Request{"a", AtMostOnce}, Request{"s", Stream}
	for name, violate := range map[string]func(c *Checker){
		"response to another request": func(c *Checker) {
			c.CheckReply(once, standin.CallerResponse{Status: 200, Signed: true, Body: Answer("b")})
		},
		"unsigned response": func(c *Checker) { c.CheckReply(once, standin.CallerResponse{Status: 200, Body: Answer("a")}) },
		"truncated stream ends cleanly": func(c *Checker) {
			c.CheckReply(stream, standin.CallerResponse{Status: 200, Signed: true, Body: standin.FormatEvent(1)})
		},
		"duplicate event in a broken stream": func(c *Checker) {
			c.CheckReply(stream, standin.CallerResponse{Status: 200, Body: standin.FormatEvent(1) + standin.FormatEvent(1), Err: http.ErrBodyReadAfterClose})
		},
		"rejected caller":                  func(c *Checker) { c.CheckReply(once, standin.CallerResponse{Status: 401}) },
		"non-idempotent request ran twice": func(c *Checker) { c.RecordRequest(once); c.CheckExecutions(executionsOf("a", "a")) },
		"refused request ran": func(c *Checker) {
			c.RecordRequest(once)
			c.CheckReply(once, standin.CallerResponse{Status: 503})
			c.CheckExecutions(executionsOf("a"))
		},
		"request ran that was not sent": func(c *Checker) { c.CheckExecutions(executionsOf("a")) },
		"older configuration version":   func(c *Checker) { c.CheckVersion("n", 5); c.CheckVersion("n", 4) },
		"request to a withdrawn worker": func(c *Checker) { c.CheckWithdrawal("w", time.Unix(10, 0), time.Second, []time.Time{time.Unix(12, 0)}) },
		"no recovery":                   func(c *Checker) { c.CheckRecovery(8, 10) },
	} {
		t.Run(name, func(t *testing.T) {
			c := NewChecker()
			violate(c)
			is.New(t).Equal(len(c.Violations()), 1)
		})
	}
	c := NewChecker()
	c.RecordRequest(once)
	c.CheckReply(once, standin.CallerResponse{Status: 200, Signed: true, Body: Answer("a")})
	c.CheckReply(stream, standin.CallerResponse{Status: 200, Signed: true, Body: expectedBody(stream)})
	c.CheckExecutions(executionsOf("a"))
	c.CheckVersion("n", 4)
	c.CheckVersion("n", 5)
	c.CheckWithdrawal("w", time.Unix(10, 0), time.Second, []time.Time{time.Unix(9, 0)})
	c.CheckRecovery(10, 10)
	is.New(t).Equal(len(c.Violations()), 0)
}
