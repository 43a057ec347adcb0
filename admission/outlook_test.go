package admission

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jacinthfork.example/jacinthfork/internal/proptest"
	"jacinthfork.example/jacinthfork/verdict"
)

// dump returns the state of a controller, for comparison.
func (c *Controller) dump() string {
	var names []string
	for name := range c.organisations {
		names = append(names, name)
	}
	slices.Sort(names)
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, "%+v\n", *c.organisations[name])
	}
	fmt.Fprintf(&b, "%+v %+v %+v %+v", c.urgency, c.service, c.completion, c.counts)
	fmt.Fprint(&b, c.inFlightRequests, c.inFlightTokens, c.queuedRequests, c.activeWeight, c.virtualTime, c.sweptAt, c.pendingIsolated)
	return b.String()
}

// Guards against an outlook that differs from what becomes of the next request, and against one that leaves a trace.
func TestOutlookIsWhatTheNextRequestGets(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		s := DefaultSettings()
		s.CapacityRequests = rapid.IntRange(1, 4).Draw(t, "capacity")
		s.CapacityTokens = uint64(s.CapacityRequests)
		s.QueueRequests = rapid.IntRange(0, 5).Draw(t, "queue")
		s.QueueWait = time.Second
		if s.ByUrgency = rapid.Bool().Draw(t, "by urgency"); s.ByUrgency {
			s.ReservePercent = 0
			s.OnQueue = func(QueueEvent, int) {}
		} else {
			s.ByServiceTime = rapid.Bool().Draw(t, "by service time")
		}
		c, err := NewController(s, SingleMember{}, nil)
		if err != nil {
			t.Fatal(err)
		}
		c.now = func() time.Time { return now }
		anyRequest := func() Request {
			return Request{
				Organisation: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation"), DecodeTokens: 1,
				Priority: -rapid.IntRange(0, 2).Draw(t, "priority"),
				MaxWait:  time.Duration(rapid.SampledFrom([]int{-1, 0, 50, 500}).Draw(t, "wait")) * time.Millisecond,
				Patience: time.Duration(rapid.SampledFrom([]int{0, 300}).Draw(t, "patience")) * time.Millisecond,
			}
		}
		var running []*Grant
		var waiting []*waiter
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			case 1:
				if len(running) > 0 {
					running[0].Done()
					running = running[1:]
				}
			default:
				req := anyRequest()
				if g, w, _ := c.admitOrEnqueue(context.Background(), &req); g != nil {
					running = append(running, g)
				} else if w != nil {
					waiting = append(waiting, w)
				}
			}
			for _, w := range waiting {
				select {
				case out := <-w.result:
					if out.grant != nil {
						running = append(running, out.grant)
					}
				default:
				}
			}
		}
		req := anyRequest()
		// The request may have come before, without the time to wait.
		var earlier []Request
		if rapid.Bool().Draw(t, "comes again") {
			earlier = append(earlier, req)
			earlier[0].MaxWait = time.Duration(rapid.SampledFrom([]int{-1, 50}).Draw(t, "earlier wait")) * time.Millisecond
		}
		before := c.dump()
		got := c.Outlook(req, earlier...)
		if after := c.dump(); after != before {
			t.Fatalf("the outlook changes the controller from\n%s\nto\n%s", before, after)
		}
		var g *Grant
		var w *waiter
		var refusal *verdict.Error
		for _, r := range append(earlier, req) {
			if g, w, refusal = c.admitOrEnqueue(context.Background(), &r); refusal == nil {
				break
			}
		}
		switch {
		case refusal != nil:
			if got.Refusal == nil || got.Refusal.Reason != refusal.Reason || got.Refusal.RetryAfter != refusal.RetryAfter {
				t.Fatalf("outlook %+v, and the request is refused: %+v", got, refusal)
			}
		case g != nil || !w.queued:
			if !got.Runs {
				t.Fatalf("outlook %+v, and the request runs", got)
			}
		case got.Runs || got.Refusal != nil:
			t.Fatalf("outlook %+v, and the request waits", got)
		}
	})
}
