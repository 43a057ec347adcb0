package pool

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"jacinthfork.example/jacinthfork/internal/proptest"
)

// anyRegistry returns a registry in a state that requests, keepers, instances and operators can bring about.
func anyRegistry(t *rapid.T) *Registry {
	r, c := testRegistry()
	r.settings.LimitEngines = rapid.Bool().Draw(t, "limit engines")
	r.SetCacheTokens(map[string]int{"llm": 40_000})
	r.SetColdRates(map[string]float64{"llm": 2})
	routers := rapid.IntRange(1, 3).Draw(t, "routers")
	r.SetFleet(routerName(0), fleetMembers(routers))
	// No more than maxTies instances can tie with another one.
	instances := rapid.IntRange(1, maxTies+1).Draw(t, "instances")
	for n := range instances {
		i := testInstance(n)
		i.Slots = rapid.SampledFrom([]int{0, 1, 2, 64}).Draw(t, "slots")
		i.FailureDomain = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain")
		i.Leaving = rapid.IntRange(0, 9).Draw(t, "leaving") == 0
		if rapid.IntRange(0, 4).Draw(t, "cold") == 0 {
			i.ColdLeft = 2 * time.Second
		}
		r.ApplyEntry(i)
	}
	var open []*Lease
	for range rapid.IntRange(0, 40).Draw(t, "steps") {
		step := rapid.SampledFrom([]string{"acquire", "acquire", "acquire", "release", "advance", "confirm", "hold off", "leave", "pace", "wait", "evacuate", "reserve", "loads"}).Draw(t, "step")
		if l := len(open); l == 0 && slices.Contains([]string{"release", "confirm", "hold off", "leave", "pace", "wait"}, step) {
			step = "acquire"
		}
		pick := func() *Lease { return open[rapid.IntRange(0, len(open)-1).Draw(t, "lease")] }
		switch step {
		case "acquire":
			if l := r.Acquire(anyRequest(t)); l != nil {
				open = append(open, l)
			}
		case "release":
			pick().Release(rapid.SampledFrom([]Outcome{Served, Abandoned, Refused, Unreachable, Broken, Errored}).Draw(t, "outcome"))
		case "advance":
			c.advance(time.Duration(rapid.SampledFrom([]int{1, 60, 150, 700}).Draw(t, "ms")) * time.Millisecond)
		case "confirm":
			l, a := pick(), Answer{Granted: rapid.Bool().Draw(t, "granted"), CachedTokens: 500}
			a.Ejected = time.Duration(rapid.SampledFrom([]int{0, 0, 300}).Draw(t, "ejected ms")) * time.Millisecond
			a.Loads = []KeeperLoad{{Instance: KeyOf(l.Instance.ID), Requests: rapid.IntRange(0, 70).Draw(t, "told"),
				Pace: rapid.SampledFrom([]int{0, 100, 400}).Draw(t, "told pace"), Limit: rapid.IntRange(0, 3).Draw(t, "told limit")}}
			if !l.released {
				l.Confirm(a)
			}
		case "hold off":
			pick().RecordHoldOff(300 * time.Millisecond)
		case "leave":
			pick().RecordLeaving()
		case "pace":
			pick().RecordPace(rapid.SampledFrom([]int{100, 400}).Draw(t, "pace"))
		case "wait":
			pick().RecordWait(time.Duration(rapid.IntRange(1, 900).Draw(t, "waited"))*time.Millisecond, 300*time.Millisecond)
		case "evacuate":
			r.SetEvacuated("b", rapid.Bool().Draw(t, "evacuated"))
		case "reserve":
			q := anyRequest(t)
			r.Reserve(&Reservation{Router: routerName(1), Sequence: uint64(rapid.IntRange(1, 50).Draw(t, "sequence")), Parts: q.Parts, TTL: time.Minute,
				Instance: KeyOf(testInstance(rapid.IntRange(0, instances-1).Draw(t, "instance")).ID), Forced: rapid.Bool().Draw(t, "forced")})
		case "loads":
			r.SetFleetLoad(map[uint32]PoolLoad{PoolHash("llm"): {Requests: uint32(rapid.IntRange(0, 200).Draw(t, "requests"))}})
		}
	}
	return r
}

// anyRequest returns a request of a chat, or one without a prompt.
func anyRequest(t *rapid.T) *Request {
	q := testPrompt(uint64(rapid.IntRange(0, 2).Draw(t, "document")))
	if rapid.IntRange(0, 2).Draw(t, "plain") == 0 {
		q = &Request{Pool: "llm"}
	}
	if rapid.IntRange(0, 3).Draw(t, "tried") == 0 {
		q.Exclude = []string{testInstance(0).ID}
	}
	q.ExcludeCold = rapid.IntRange(0, 3).Draw(t, "exclude cold") == 0
	return q
}

// dump returns all that a registry knows of its instances, for comparison.
func dump(r *Registry) string {
	var b strings.Builder
	for _, m := range r.pools["llm"] {
		fmt.Fprintf(&b, "%+v\ncache %d:", *m, m.cache.used)
		for e := m.cache.lru.Front(); e != nil; e = e.Next() {
			fmt.Fprintf(&b, " %v", e.Value)
		}
		if m.announced != nil {
			fmt.Fprintf(&b, "\nannounced %+v", *m.announced)
		}
		b.WriteString("\n")
	}
	for name, p := range r.paced {
		fmt.Fprintf(&b, "pace of %s: %+v\n", name, *p)
	}
	fmt.Fprintln(&b, r.meanServiceTime, r.failureRate, r.fleetLoad, r.evacuated, r.coldRates, len(r.announcements), len(r.waits), len(r.tombstones),
		r.directory.order.Len())
	return b.String()
}

// Guards against an explanation that names another instance than the next request gets, or gives reasons that did not lead
// to it, and against a question that changes a load, a limit, a back-off or a prompt cache.
func TestRehearsalIsWhatTheNextRequestGets(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		r := anyRegistry(t)
		q := anyRequest(t)
		q.Tentative = rapid.Bool().Draw(t, "tentative")
		p := r.Rehearse("llm")
		before := dump(r)
		over := p.PassedOver(q)
		// The second round is after the refusal of a keeper.
		var predicted [2]Considered
		var ok [2]bool
		for n := range predicted {
			if predicted[n], ok[n] = p.Choose(q); ok[n] {
				p.Refuse(predicted[n])
			}
		}
		if after := dump(r); after != before {
			t.Fatalf("the question changes the registry from\n%s\nto\n%s", before, after)
		}
		for n, want := range predicted {
			l := r.Acquire(q)
			if (l != nil) != ok[n] {
				t.Fatalf("choice %d: an instance was foretold: %v, and got: %v", n, ok[n], l != nil)
			}
			if l == nil {
				return
			}
			got := l.Instance.ID
			if got != want.Instance.ID && !slices.Contains(want.Ties, got) {
				t.Fatalf("choice %d: %s was foretold (%s, tied with %v), and %s chosen", n, want.Instance.ID, want.Rule, want.Ties, got)
			}
			if n == 0 && slices.ContainsFunc(over, func(o PassedOver) bool { return o.Instance == got }) {
				t.Fatalf("%s is chosen and was passed over: %+v", got, over)
			}
			if got != want.Instance.ID {
				return // what follows depends on the random choice
			}
			source := ""
			if l.FetchFrom != "" {
				source = r.byAddress[l.FetchFrom][0].ID
			}
			foretold := []any{want.Load, want.Mean, want.LoadAge, want.Keeper, want.Forced, want.Denied, want.Cold, want.CachedTokens, want.FetchFrom}
			actual := []any{l.Load, l.Mean, l.LoadAge, l.Keeper, l.Forced, l.Denied, l.Cold, l.CachedTokens, source}
			if !reflect.DeepEqual(foretold, actual) {
				t.Fatalf("choice %d: foretold %v, got %v", n, foretold, actual)
			}
			if !q.Tentative && len(q.Parts) > 0 {
				return // the prompt counts as cached there, which a refusal does not take back
			}
			l.Confirm(Answer{})
		}
	})
}

// Guards against a field of the registry that the choice of an instance reads and a rehearsal lacks, or shares and changes: a
// new field must be copied by copyPool, or be one that no choice reads.
func TestRehearsalCopiesWhatAChoiceReads(t *testing.T) {
	is := is.New(t)
	copied := []string{"settings", "domain", "now", "pools", "self", "routers", "lost", "fleetLoad", "fleetLoadAt", "cacheTokens", "coldRates", "evacuated", "paced", "meanServiceTime"}
	unread := []string{"mu", "members", "seenPaces", "byKey", "byAddress", "incarnations", "early", "tombstones", "ended", "refused", "announcements", "waits", "replaced", "directory", "failureRate", "storeRecoveredAt"}
	for _, f := range reflect.VisibleFields(reflect.TypeFor[Registry]()) {
		is.True(slices.Contains(copied, f.Name) != slices.Contains(unread, f.Name)) // a field is in one of the lists
	}
	is.Equal(reflect.TypeFor[Registry]().NumField(), len(copied)+len(unread))
	r, _ := testRegistry()
	r.ApplyEntry(testInstance(0))
	r.SetPaced("llm", true)
	r.SetFleetLoad(map[uint32]PoolLoad{1: {}})
	r.SetColdRates(map[string]float64{"llm": 1})
	r.SetLost(1)
	r.SetFleet(routerName(0), fleetMembers(2))
	c := reflect.ValueOf(r.copyPool("llm", r.now())).Elem()
	for _, name := range copied {
		is.True(!c.FieldByName(name).IsZero()) // the copy has the field
	}
}

// Guards against a rehearsal that reads what requests change at the same time. The race detector finds it.
func TestRehearsalBesideRequests(t *testing.T) {
	r, _ := testRegistry()
	r.settings.LimitEngines = true
	r.SetFleet(routerName(0), fleetMembers(2))
	for n := range 4 {
		r.ApplyEntry(testInstance(n))
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := range 300 {
			l := r.Acquire(testPrompt(uint64(n % 3)))
			if l == nil {
				continue
			}
			r.Reserve(&Reservation{Router: routerName(1), Sequence: uint64(n), Instance: KeyOf(l.Instance.ID), TTL: time.Minute})
			r.SetEvacuated("b", n%2 == 0)
			r.SetFleetLoad(map[uint32]PoolLoad{PoolHash("llm"): {Requests: uint32(n)}})
			l.RecordHoldOff(0)
			l.RecordPace(100 + n%50)
			l.Release(Served)
		}
	}()
	for {
		select {
		case <-done:
			return
		default:
		}
		p := r.Rehearse("llm")
		q := testPrompt(1)
		p.PassedOver(q)
		p.PoolLimit("llm")
		p.TotalsAge()
		if c, ok := p.Choose(q); ok {
			p.Refuse(c)
		}
	}
}

// benchmarkRegistry returns a registry of 600 engines with 3,000 chats about 40 documents.
func benchmarkRegistry() *Registry {
	r, _ := testRegistry()
	for n := range 600 {
		r.ApplyEntry(testInstance(n))
	}
	for n := range 3000 {
		r.Acquire(testPrompt(uint64(n % 40)))
	}
	return r
}

// BenchmarkRehearsal is one question about a pool of 600 engines: a copy, the choice of an instance and of the next two.
func BenchmarkRehearsal(b *testing.B) {
	r := benchmarkRegistry()
	for b.Loop() {
		q := testPrompt(1)
		p := r.Rehearse("llm")
		p.PassedOver(q)
		for range 3 {
			c, _ := p.Choose(q)
			q.Exclude = append(q.Exclude, c.Instance.ID)
		}
	}
}

// BenchmarkAcquire is one request to the same pool.
func BenchmarkAcquire(b *testing.B) {
	r := benchmarkRegistry()
	for b.Loop() {
		r.Acquire(testPrompt(1)).Release(Served)
	}
}
