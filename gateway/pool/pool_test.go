package pool

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jacinthfork.example/jacinthfork/internal/proptest"
)

// clock is a manually advanced clock.
type clock struct{ at time.Time }

func (c *clock) now() time.Time          { return c.at }
func (c *clock) advance(d time.Duration) { c.at = c.at.Add(d) }

func testRegistry() (*Registry, *clock) {
	c := &clock{at: time.Unix(1_000_000, 0)}
	r := NewRegistry(DefaultSettings(), "a")
	r.now = c.now
	r.SetCacheTokens(map[string]int{"llm": 500_000})
	return r, c
}

func testInstance(n int) Instance {
	return Instance{ID: fmt.Sprintf("i-%02d", n), Pool: "llm", Address: fmt.Sprintf("10.0.0.%d:80", n), FailureDomain: "a", Slots: 64, StartedAt: 1, Sequence: 1}
}

// promptCount makes the last part of each test prompt unique.
var promptCount atomic.Uint64

func testPrompt(doc uint64) *Request {
	return &Request{Pool: "llm", Parts: []PromptPart{{ID: 1, Tokens: 500}, {ID: 100 + doc, Tokens: 10_000}, {ID: 1<<32 + promptCount.Add(1), Tokens: 1300}}, Tokens: 11_800}
}

// fleetRouters is the number of routers in a simulated fleet.
const fleetRouters = 4

// fleet is a set of routers that choose independently and exchange loads and placements from time to time.
type fleet struct {
	clock   *clock
	routers []*Registry
}

func newFleet(engines int) *fleet {
	f := &fleet{clock: &clock{at: time.Unix(1_000_000, 0)}}
	for range fleetRouters {
		r, _ := testRegistry()
		r.now = f.clock.now
		for n := range engines {
			r.ApplyEntry(testInstance(n))
		}
		f.routers = append(f.routers, r)
	}
	return f
}

func (f *fleet) exchange() {
	for i, from := range f.routers {
		for j, to := range f.routers {
			if i != j {
				to.SetPeerLoads(fmt.Sprint(i), from.LocalLoads())
				to.ApplyPlacements(from.Placements(time.Second))
			}
		}
	}
}

// Guards against load counters that drift: after any sequence of events, the load in flight is that of the
// leases not released yet, and no request goes to an instance that is leaving or excluded.
func TestRegistryInvariants(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		r, c := testRegistry()
		var open []*Lease
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				i := testInstance(rapid.IntRange(0, 5).Draw(t, "n"))
				i.Sequence = rapid.Int64Range(1, 20).Draw(t, "sequence")
				i.Leaving = rapid.Bool().Draw(t, "leaving")
				r.ApplyEntry(i)
			},
			"remove":  func(t *rapid.T) { r.Remove(testInstance(rapid.IntRange(0, 5).Draw(t, "n")).ID) },
			"advance": func(t *rapid.T) { c.advance(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond) },
			"peer": func(t *rapid.T) {
				r.SetPeerLoads("p", map[Key]Load{KeyOf(testInstance(rapid.IntRange(0, 5).Draw(t, "n")).ID): {Requests: rapid.IntRange(0, 50).Draw(t, "load")}})
			},
			"sweep": func(*rapid.T) { r.Sweep(c.now()) },
			"choose": func(t *rapid.T) {
				q := testPrompt(rapid.Uint64Range(0, 9).Draw(t, "doc"))
				q.Exclude = []string{testInstance(rapid.IntRange(0, 5).Draw(t, "excluded")).ID}
				if l := r.Acquire(q); l != nil {
					if l.Instance.Leaving || l.Instance.ID == q.Exclude[0] {
						t.Fatalf("chose a leaving or excluded instance: %+v", l.Instance)
					}
					open = append(open, l)
				}
			},
			"release": func(t *rapid.T) {
				if len(open) == 0 {
					return
				}
				n := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				open[n].Release(Outcome(rapid.IntRange(0, int(Errored)).Draw(t, "outcome")))
				open[n].Release(Served) // a second release has no effect
				open = append(open[:n], open[n+1:]...)
			},
			"": func(t *rapid.T) {
				want := make(map[*member]int)
				for _, l := range open {
					want[l.member]++
				}
				for _, m := range r.members {
					if m.local.Requests != want[m] {
						t.Fatalf("%s: %d in flight, want %d", m.ID, m.local.Requests, want[m])
					}
					if m.local.Tokens < 0 || m.peer.Requests < 0 {
						t.Fatalf("%s: negative load: local %+v, peers %+v", m.ID, m.local, m.peer)
					}
				}
			},
		})
	})
}
