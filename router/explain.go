package router

import (
	"fmt"
	"strings"

	"jacinthfork.example/jacinthfork/kernel/journal"
	"jacinthfork.example/jacinthfork/verdict"
)

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
	r.observe(c, err)
	v, reason, detail := verdict.Ran, "ok", ""
	if err != nil {
		v, reason, detail = err.Verdict, string(err.Reason), err.Detail
	}
	r.count.Map("verdicts").Add(v.String(), 1)
	r.count.Map("outcomes").Add(reason, 1)
	r.journal.Add(journal.KindRoute, c.id, c.route(c.served),
		journal.Field{Name: "verdict", Value: v.String()},
		journal.Field{Name: "outcome", Value: reason},
		journal.Field{Name: "detail", Value: detail},
		journal.Field{Name: "pool", Value: c.pool},
		journal.Field{Name: "organisation", Value: c.organisation})
}
