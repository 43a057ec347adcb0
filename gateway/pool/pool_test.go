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

// maxAsks is the number of keepers that a simulated router asks before it takes an instance in any case.
const maxAsks = 4

// fleet is a set of routers that reserve places with each other as gateways do, without delay and without loss.
type fleet struct {
	clock    *clock
	routers  []*Registry
	sequence uint64
	asked    int
	// silent are the routers that do not answer.
	silent map[int]bool
	// down holds the instances that cannot be reached.
	down map[string]bool
	// limitedUntil holds by router until when it limits its requests because a keeper had no place for one.
	limitedUntil map[int]time.Time
}

func newFleet(engines int) *fleet {
	return newFleetOf(fleetRouters, engines, testInstance)
}

func newFleetOf(routers, engines int, instance func(n int) Instance) *fleet {
	f := &fleet{clock: &clock{at: time.Unix(1_000_000, 0)}, silent: make(map[int]bool), down: make(map[string]bool), limitedUntil: make(map[int]time.Time)}
	for n := range routers {
		r, _ := testRegistry()
		r.now = f.clock.now
		f.routers = append(f.routers, r)
		r.SetFleet(routerName(n), fleetMembers(routers))
		for n := range engines {
			r.ApplyEntry(instance(n))
		}
	}
	return f
}

// split cuts the fleet into two parts, each of which has declared the routers of the other one lost.
func (f *fleet) split() {
	var parts [2][]Router
	for n, router := range fleetMembers(len(f.routers)) {
		parts[n%2] = append(parts[n%2], router)
	}
	for n, r := range f.routers {
		r.SetFleet(routerName(n), parts[n%2])
		r.SetLost(len(parts[1-n%2]))
	}
}

func routerName(n int) string { return fmt.Sprintf("r-%03d", n) }

func fleetMembers(routers int) []Router {
	var out []Router
	for n := range routers {
		out = append(out, Router{Name: routerName(n), Incarnation: 1})
	}
	return out
}

func (f *fleet) router(name string) int {
	n := 0
	_, _ = fmt.Sscanf(name, "r-%d", &n)
	return n
}

// held is a lease of a simulated request together with its reservation.
type held struct {
	*Lease
	router   int
	keeper   int
	sequence uint64
}

// acquire chooses an instance for a request of a router, and the source of its document, as a gateway does.
func (f *fleet) acquire(router int, q *Request) *held {
	h := f.reserve(router, q)
	if h == nil {
		return nil
	}
	if id, ok := h.MissingDocument(); ok {
		directory := router
		if name := f.routers[router].DirectoryOf(id); name != "" {
			directory = f.router(name)
		}
		if !f.silent[directory] {
			h.CopyFrom(f.routers[directory].Locate(id, KeyOf(h.Instance.ID)))
		}
	}
	return h
}

// reserve chooses an instance for a request of a router.
func (f *fleet) reserve(router int, q *Request) *held {
	for n := 1; ; n++ {
		q.ExcludeCold = n > maxAsks
		l := f.routers[router].Acquire(q)
		if l == nil {
			return nil
		}
		f.sequence++
		h := &held{Lease: l, router: router, keeper: -1, sequence: f.sequence}
		if l.Keeper == "" {
			return h
		}
		h.keeper = f.router(l.Keeper)
		if f.silent[h.keeper] && l.Cold {
			l.Withdraw()
			continue
		}
		if f.silent[h.keeper] {
			return h
		}
		f.asked++
		forced := n > maxAsks || ((l.Forced || l.Denied) && !l.Cold)
		f.observe(h)
		a := f.routers[h.keeper].Reserve(&Reservation{
			Router: routerName(router), Sequence: h.sequence, Instance: KeyOf(l.Instance.ID), Parts: q.Parts, TTL: time.Minute, Forced: forced,
		})
		if forced || l.Confirm(a) {
			return h
		}
		if f.routers[h.keeper].Contended(q.Pool) {
			// The keeper has no place, and the requests of this router are not forced onto full engines.
			f.limitedUntil[router] = f.clock.at.Add(limitedTime)
			return f.tryReserve(router, q, true)
		}
	}
}

// release ends a request, tells the keepers and makes the test connections that are due.
func (f *fleet) release(h *held, o Outcome) {
	f.end(h, o)
	f.probe()
}

// end ends a request and tells the keepers.
func (f *fleet) end(h *held, o Outcome) {
	h.Release(o)
	if h.keeper >= 0 && !f.silent[h.keeper] {
		f.observe(h)
		f.routers[h.keeper].EndReservation(routerName(h.router), h.sequence, o)
	}
}

// observe tells the keeper of a lease's instance what its router has observed.
func (f *fleet) observe(h *held) {
	instance := KeyOf(h.Instance.ID)
	f.routers[h.keeper].Observe(instance, f.routers[h.router].TakeObservation(instance))
}

// probe makes the test connections that are due. They fail for the instances in f.down.
func (f *fleet) probe() {
	for _, r := range f.routers {
		for _, i := range r.DueProbes() {
			r.RecordProbe(i, !f.down[i.ID])
		}
	}
}

// exchange tells all routers the load of the fleet.
func (f *fleet) exchange() {
	total := make(map[uint32]PoolLoad)
	for _, r := range f.routers {
		for pool, load := range r.LocalLoad() {
			total[pool] = total[pool].Add(load)
		}
	}
	for _, r := range f.routers {
		r.SetFleetLoad(total)
	}
}

// Guards against load counters that drift: after any sequence of events, the load in flight is that of the
// leases not released yet, and no request goes to an instance that is leaving or excluded.
func TestRegistryInvariants(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		r, c := testRegistry()
		var open []*Lease
		sequence := uint64(0)
		// known is the incarnation of router b, 0 if it is not a member, and gone the last reservation of those that ended
		// with it.
		var known, gone uint64
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				i := testInstance(rapid.IntRange(0, 5).Draw(t, "n"))
				i.Sequence = rapid.Int64Range(1, 20).Draw(t, "sequence")
				i.Leaving = rapid.Bool().Draw(t, "leaving")
				r.ApplyEntry(i)
			},
			"remove":  func(t *rapid.T) { r.Remove(testInstance(rapid.IntRange(0, 5).Draw(t, "n")).ID) },
			"advance": func(t *rapid.T) { c.advance(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond) },
			"hold": func(t *rapid.T) {
				sequence++
				a := r.Reserve(&Reservation{
					Router: "b", Sequence: sequence, Instance: KeyOf(testInstance(rapid.IntRange(0, 5).Draw(t, "n")).ID),
					TTL: time.Duration(rapid.IntRange(0, 3000).Draw(t, "ttl")) * time.Millisecond, Forced: rapid.Bool().Draw(t, "forced"),
				})
				if a.Granted && !a.Unknown && len(a.Loads) == 0 {
					t.Fatal("an answer without the load of the instance")
				}
			},
			"release hold": func(t *rapid.T) {
				r.EndReservation("b", rapid.Uint64Range(0, sequence).Draw(t, "sequence"), Outcome(rapid.IntRange(int(Served), int(Errored)).Draw(t, "outcome")))
			},
			"fleet": func(t *rapid.T) {
				routers := []Router{{"a", 1}, {"b", rapid.Uint64Range(1, 2).Draw(t, "incarnation")}, {"c", 1}}
				r.SetFleet("a", routers[:rapid.IntRange(1, 3).Draw(t, "routers")])
				before := known
				if known = 0; len(r.routers) > 1 {
					known = routers[1].Incarnation
				}
				if before != 0 && known != before {
					gone = sequence
				}
			},
			"confirm": func(t *rapid.T) {
				if len(open) == 0 {
					return
				}
				n := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				if open[n].released {
					return
				}
				if !open[n].Confirm(Answer{Granted: rapid.Bool().Draw(t, "granted"), CachedTokens: rapid.IntRange(0, 20_000).Draw(t, "cached")}) {
					open = append(open[:n], open[n+1:]...)
				}
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
					if m.local.Tokens < 0 || m.others() < 0 {
						t.Fatalf("%s: negative load: local %+v, others %d", m.ID, m.local, m.others())
					}
					for h := range m.holds {
						if h.sequence <= gone {
							t.Fatalf("%s: a router that is gone or has restarted still holds place %d", m.ID, h.sequence)
						}
					}
				}
			},
		})
	})
}
