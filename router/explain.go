package router

import (
	"fmt"
	"strings"

	"jacinthfork.example/jacinthfork/kernel/journal"
	"jacinthfork.example/jacinthfork/verdict"
)

// route describes the routing decision in one line: the serving instance, the candidate order and the
// failed attempts.
func (c *call) route(served string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "served=%s; attempts=%d; %s", served, c.attempts, c.explanation)
	for _, failed := range c.failedAttempts {
		fmt.Fprintf(&b, "; refused=%s:%s", failed.instance, failed.reason)
	}
	return b.String()
}

// recordOutcome counts the outcome and stores the decision for "jacinthfork explain".
func (r *Router) recordOutcome(c *call, err *verdict.Error) {
	r.observeOutcome(c, err)
	v, reason, detail := verdict.Ran, "ok", ""
	if err != nil {
		v, reason, detail = err.Verdict, string(err.Reason), err.Detail
	}
	r.counters.Map("verdicts").Add(v.String(), 1)
	r.counters.Map("outcomes").Add(reason, 1)
	r.journal.Add(journal.KindRoute, c.id, c.route(c.servedBy),
		journal.Field{Name: "verdict", Value: v.String()},
		journal.Field{Name: "outcome", Value: reason},
		journal.Field{Name: "detail", Value: detail},
		journal.Field{Name: "pool", Value: c.pool},
		journal.Field{Name: "organisation", Value: c.organisation},
		journal.Field{Name: journal.KeyField, Value: c.template.GetIdempotencyKey()})
}
