package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// clock is a time that tests move.
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

func engine(n int) Instance {
	return Instance{ID: fmt.Sprintf("i-%02d", n), Pool: "llm", Address: fmt.Sprintf("10.0.0.%d:80", n), FailureDomain: "a", Slots: 64, Born: 1, Sequence: 1}
}

func prompt(doc uint64) *Request {
	return &Request{Pool: "llm", Parts: []Part{{ID: 1, Tokens: 500}, {ID: 100 + doc, Tokens: 10_000}, {ID: rand.Uint64(), Tokens: 1300}}, Tokens: 11_800}
}

// Guards against an entry that is written late and brings an instance back into use, and against a
// new start that is taken for the old one.
func TestPublicationsAreOrdered(t *testing.T) {
	is := is.New(t)
	r, _ := testRegistry()
	i := engine(1)
	i.Sequence = 5
	is.Equal(r.Publish(i), Joined)
	leaving := i
	leaving.Leaving, leaving.Sequence = true, 6
	is.Equal(r.Publish(leaving), Left)
	is.Equal(r.Publish(i), Stale)
	is.True(r.Choose(prompt(1)) == nil)
	is.Equal(r.Remove(i.ID), Removed)
	is.Equal(r.Publish(i), Stale)
	restarted := i
	restarted.Born, restarted.Sequence = 2, 1
	is.Equal(r.Publish(restarted), Joined)
	again := restarted
	again.Born = 3
	is.Equal(r.Publish(again), Restarted)
	is.Equal(r.Publish(restarted), Stale)
}

// Guards against a pool that is emptied because entries lapse while the store is away, and against
// instances that stay in use although they did not come back.
func TestLapsedEntriesHaveAGrace(t *testing.T) {
	is := is.New(t)
	r, c := testRegistry()
	is.Equal(r.Publish(engine(1)), Joined)
	is.Equal(r.Publish(engine(2)), Joined)
	r.StoreReturned()
	is.Equal(r.Remove("i-01"), Unchanged)
	is.Equal(r.Remove("i-02"), Unchanged)
	is.True(r.Choose(prompt(1)) != nil)
	back := engine(1)
	back.Sequence = 9
	is.Equal(r.Publish(back), Returned) // peers that know of the lapse are told
	read := c.now()
	c.advance(DefaultSettings().LapseGrace)
	is.Equal(len(r.Sweep(read)), 0) // nothing was read since, the entry may be back
	is.Equal(r.Sweep(c.now()), []string{"i-02"})
	is.Equal(r.Choose(prompt(1)).Instance.ID, "i-01")
	is.Equal(r.Remove("i-01"), Removed) // the store is sound, so that the removal counts at once
}

// Guards against a pool that is emptied by failures that all its instances share.
func TestHalfOfThePoolStays(t *testing.T) {
	is := is.New(t)
	r, _ := testRegistry()
	for n := range 6 {
		r.Publish(engine(n))
	}
	for range 200 {
		r.Choose(prompt(rand.Uint64())).Release(Errored)
	}
	s := r.Summary("llm")
	is.Equal(s.Ejected, 3)
	is.Equal(s.Usable, 3)
}

// Guards against instances that are ejected for errors that their service makes in normal
// operation, one in seven here, and against one that keeps its work although it fails half of it.
func TestOrdinaryErrorsEjectNobody(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(5, 6))
	ejections := func(share, normal float64) int {
		var h health
		n := 0
		now := time.Unix(0, 0)
		for range 1000 {
			outcome := Served
			if random.Float64() < share {
				outcome = Errored
			}
			if h.note(outcome, normal, now) {
				n++
				h = health{}
			}
		}
		return n
	}
	is.True(ejections(0.14, 0.14) <= 10)
	is.True(ejections(0.5, 0.05) >= 30)
}

// Guards against a fleet in which each router must find the same failing instance, and against one
// router with broken links that takes all instances away from the others.
func TestEjectionsAreShared(t *testing.T) {
	is := is.New(t)
	f := newFleet(12)
	failing := f.routers[0].Choose(prompt(1))
	failing.Release(Unreachable)
	f.exchange()
	for range 20 {
		l := f.routers[1].Choose(prompt(1))
		is.True(l.Instance.ID != failing.Instance.ID)
		l.Release(Served)
	}
	f.clock.advance(longestEjection)
	f.exchange()
	is.Equal(f.routers[1].Summary("llm").Usable, 12)
	for range 12 {
		f.routers[0].Choose(prompt(rand.Uint64())).Release(Unreachable)
	}
	f.exchange()
	healthy := 0
	for _, m := range f.routers[1].pools["llm"] {
		if m.ejectedByPeers == 0 {
			healthy++
		}
	}
	is.Equal(healthy, 12)
}

// Guards against an instance that gets a burst at the end of its time away, and against one that is
// never tried again.
func TestReadmissionIsByOneRequest(t *testing.T) {
	is := is.New(t)
	r, c := testRegistry()
	r.Publish(engine(1))
	l := r.Choose(prompt(1))
	is.True(l.Release(Unreachable))
	r.Publish(engine(2))
	for range 8 {
		l := r.Choose(prompt(1))
		is.Equal(l.Instance.ID, "i-02")
		l.Release(Served)
	}
	c.advance(firstEjection)
	atFirst := 0
	var open []*Lease
	for n := range 8 {
		l := r.Choose(prompt(uint64(n)))
		open = append(open, l)
		if l.Instance.ID == "i-01" {
			atFirst++
		}
	}
	is.True(atFirst <= 1)
	for _, l := range open {
		l.Release(Served)
	}
	served := false
	for n := range 50 {
		l := r.Choose(prompt(uint64(n)))
		served = served || l.Instance.ID == "i-01"
		l.Release(Served)
	}
	is.True(served)
}

// Guards against requests that go to an instance that has gone silent while others answer.
func TestStalledInstanceGetsNoMore(t *testing.T) {
	is := is.New(t)
	r, c := testRegistry()
	r.Publish(engine(1))
	r.Publish(engine(2))
	first := r.Choose(prompt(7))
	c.advance(2 * DefaultSettings().StallAfter)
	is.True(first.Stalled(DefaultSettings().StallAfter))
	for range 4 {
		l := r.Choose(prompt(7))
		is.True(l.Instance.ID != first.Instance.ID)
		is.Equal(l.FetchFrom, "") // a silent holder gives nothing
		l.Release(Served)
	}
	first.Progress()
	is.True(!first.Stalled(DefaultSettings().StallAfter))
}

// fleetRouters is the number of routers in the replays.
const fleetRouters = 4

// fleet is several routers that decide on their own and exchange loads and placements now and then.
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
			r.Publish(engine(n))
		}
		f.routers = append(f.routers, r)
	}
	return f
}

func (f *fleet) exchange() {
	for i, from := range f.routers {
		for j, to := range f.routers {
			if i != j {
				to.SetPeer(fmt.Sprint(i), from.Own())
				to.Learn(from.Placements(time.Second))
			}
		}
	}
}

// Replays one document that takes much of the traffic, at routers that hear from each other every
// 150 ms. Guards against one engine that is buried while others idle (the platform's bound is twice
// the mean plus 3 for 97 in 100 requests) and against reading the document at most of them.
func TestHotPromptIsBounded(t *testing.T) {
	is := is.New(t)
	const engines, perSecond, seconds, stay = 18, 40, 20, 2500 * time.Millisecond
	f := newFleet(engines)
	random := rand.New(rand.NewPCG(1, 2))
	type running struct {
		lease *Lease
		until time.Time
	}
	var open []running
	load := make(map[string]int)
	over, all, reads := 0, 0, 0
	step := time.Second / perSecond
	for n := range perSecond * seconds {
		f.clock.advance(step)
		if n%6 == 0 {
			f.exchange()
		}
		kept := open[:0]
		for _, o := range open {
			if f.clock.at.After(o.until) {
				o.lease.Release(Served)
				load[o.lease.Instance.ID]--
				continue
			}
			kept = append(kept, o)
		}
		open = kept
		doc := uint64(0) // the hot one takes three tenths
		if random.IntN(10) >= 3 {
			doc = 1 + random.Uint64N(45)
		}
		l := f.routers[random.IntN(fleetRouters)].Choose(prompt(doc))
		l.Progress()
		mean := float64(len(open)) / engines
		if float64(load[l.Instance.ID]) > 2*mean+3 {
			over++
		}
		all++
		if doc == 0 && l.Cached < 10_000 && l.FetchFrom == "" {
			reads++
		}
		load[l.Instance.ID]++
		open = append(open, running{l, f.clock.at.Add(stay)})
	}
	is.True(over*100 <= 3*all)
	is.True(reads <= 2) // the other homes fetch it
}

// Replays the start of a day: many long documents that nobody holds arrive at once. Guards against
// several of them that wait for one engine while others are idle.
func TestColdDocumentsSpread(t *testing.T) {
	is := is.New(t)
	r, _ := testRegistry()
	const engines = 18
	for n := range engines {
		r.Publish(engine(n))
	}
	waiting := make(map[string]int)
	most := 0
	for doc := range uint64(engines) {
		l := r.Choose(prompt(doc))
		waiting[l.Instance.ID]++
		most = max(most, waiting[l.Instance.ID])
	}
	is.True(most <= 2)
}

// Guards against documents that each router takes to another engine, without a hot one.
func TestDocumentsKeepOneHome(t *testing.T) {
	is := is.New(t)
	f := newFleet(18)
	random := rand.New(rand.NewPCG(3, 4))
	homes := make(map[uint64]map[string]bool)
	for n := range 3000 {
		if n%10 == 0 {
			f.clock.advance(50 * time.Millisecond)
			f.exchange()
		}
		doc := random.Uint64N(46)
		l := f.routers[random.IntN(fleetRouters)].Choose(prompt(doc))
		if homes[doc] == nil {
			homes[doc] = make(map[string]bool)
		}
		homes[doc][l.Instance.ID] = true
		l.Progress()
		l.Release(Served)
	}
	total := 0
	for _, h := range homes {
		total += len(h)
	}
	is.True(total <= len(homes)*11/10)
}

// Guards against loads that drift: after any sequence of events, what is in flight is what was taken
// and not released, and no request goes to an instance that leaves or that had it.
func TestRegistryModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, c := testRegistry()
		var open []*Lease
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				i := engine(rapid.IntRange(0, 5).Draw(t, "n"))
				i.Sequence = rapid.Int64Range(1, 20).Draw(t, "sequence")
				i.Leaving = rapid.Bool().Draw(t, "leaving")
				r.Publish(i)
			},
			"remove":  func(t *rapid.T) { r.Remove(engine(rapid.IntRange(0, 5).Draw(t, "n")).ID) },
			"advance": func(t *rapid.T) { c.advance(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond) },
			"peer": func(t *rapid.T) {
				r.SetPeer("p", map[Key]Load{KeyOf(engine(rapid.IntRange(0, 5).Draw(t, "n")).ID): {Requests: rapid.IntRange(0, 50).Draw(t, "load")}})
			},
			"sweep": func(*rapid.T) { r.Sweep(c.now()) },
			"choose": func(t *rapid.T) {
				q := prompt(rapid.Uint64Range(0, 9).Draw(t, "doc"))
				q.Exclude = []string{engine(rapid.IntRange(0, 5).Draw(t, "excluded")).ID}
				if l := r.Choose(q); l != nil {
					if l.Instance.Leaving || l.Instance.ID == q.Exclude[0] {
						t.Fatalf("chose %+v", l.Instance)
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
					if m.own.Requests != want[m] {
						t.Fatalf("%s: %d in flight, want %d", m.ID, m.own.Requests, want[m])
					}
					if m.own.Tokens < 0 || m.peer.Requests < 0 {
						t.Fatalf("%s: negative load %+v %+v", m.ID, m.own, m.peer)
					}
				}
			},
		})
	})
}

// Guards against a cache estimate that outgrows the engine's memory.
func TestPromptCacheIsBounded(t *testing.T) {
	is := is.New(t)
	c := newPromptCache(1000)
	for n := range uint64(50) {
		c.add([]Part{{ID: 1, Tokens: 100}, {ID: 100 + n, Tokens: 200}})
		is.True(c.used <= 1000)
	}
	is.Equal(c.cached([]Part{{ID: 1, Tokens: 100}, {ID: 149, Tokens: 200}}), 300)
	is.Equal(c.cached([]Part{{ID: 100, Tokens: 200}, {ID: 1, Tokens: 100}}), 0) // the first part is gone
}

// Replays a plain service behind many routers whose news of each other are four service times old.
// Guards against routers that all avoid the worker that was busy then: the busiest worker would hold
// far more than the mean.
func TestStaleNewsDoNotHerd(t *testing.T) {
	is := is.New(t)
	const workers, routers, perSecond, seconds = 3, 30, 200, 30
	const service, exchange = 75 * time.Millisecond, 300 * time.Millisecond
	random := rand.New(rand.NewPCG(7, 8))
	c := &clock{at: time.Unix(1_000_000, 0)}
	var all []*Registry
	for range routers {
		r, _ := testRegistry()
		r.now = c.now
		for n := range workers {
			i := engine(n)
			i.Pool, i.Slots = "plain", 6
			r.Publish(i)
		}
		all = append(all, r)
	}
	type running struct {
		lease *Lease
		until time.Time
	}
	var open []running
	load := make(map[string]int)
	var excess float64
	sent := 0
	news := c.at
	for range perSecond * seconds {
		c.advance(time.Second / perSecond)
		if c.at.Sub(news) >= exchange {
			news = c.at
			for i, from := range all {
				for j, to := range all {
					if i != j {
						to.SetPeer(fmt.Sprint(i), from.Own())
					}
				}
			}
		}
		kept := open[:0]
		for _, o := range open {
			if c.at.Before(o.until) {
				kept = append(kept, o)
				continue
			}
			o.lease.Release(Served)
			load[o.lease.Instance.ID]--
		}
		open = kept
		l := all[random.IntN(routers)].Choose(&Request{Pool: "plain"})
		excess += float64(load[l.Instance.ID]) - float64(len(open))/workers
		sent++
		load[l.Instance.ID]++
		open = append(open, running{l, c.at.Add(time.Duration(random.ExpFloat64() * float64(service)))})
	}
	// Choosing at random has no excess: a request finds the mean. Herding finds more.
	t.Logf("excess %.2f", excess/float64(sent))
	is.True(excess/float64(sent) < 0.5)
}

// Guards against a load bound that fades with the news: an instance at the bound by what another router
// told gets no prompt, although short requests make that news old.
func TestBoundDoesNotFade(t *testing.T) {
	is := is.New(t)
	r, c := testRegistry()
	for n := range 4 {
		r.Publish(engine(n))
	}
	home := r.Choose(prompt(1))
	c.advance(200 * time.Millisecond)
	home.Release(Served) // requests take 0.2 s
	r.SetPeer("p", map[Key]Load{KeyOf(home.Instance.ID): {Requests: 12}})
	c.advance(400 * time.Millisecond)
	for range 3 {
		l := r.Choose(prompt(1))
		is.True(l.Instance.ID != home.Instance.ID) // the mean is 3, the bound 7.7
		l.Release(Abandoned)
	}
}

// Guards against loads of another router that are lost when two instances share a key, and against what
// remains of them after one of the two is gone.
func TestInstancesThatShareAKey(t *testing.T) {
	is := is.New(t)
	r, _ := testRegistry()
	r.Publish(engine(0))
	r.Publish(engine(1))
	first, second := r.members[engine(0).ID], r.members[engine(1).ID]
	second.hash = first.hash
	delete(r.byKey, KeyOf(engine(1).ID))
	key := keyOf(first.hash)
	r.byKey[key] = append(r.byKey[key], second)

	r.SetPeer("p", map[Key]Load{key: {Requests: 3}})
	is.Equal(first.peer.Requests, 3)
	is.Equal(second.peer.Requests, 3)
	r.drop(first)
	r.SetPeer("p", map[Key]Load{key: {Requests: 1}})
	is.Equal(second.peer.Requests, 1)
	r.drop(second)
	is.Equal(len(r.byKey), 0)
}

// Replays a plain service of three workers of which one is ejected here and one by another router. Guards against
// requests that are admitted for slots which get none: all of them wait at the third worker, longer than their
// callers' objective.
func TestCapacityIsWhatGetsRequests(t *testing.T) {
	is := is.New(t)
	r, c := testRegistry()
	for n := range 3 {
		i := engine(n)
		i.Slots = 6
		r.Publish(i)
	}
	is.Equal(r.Capacity("llm").Slots, 18)
	r.SetPeer("p", map[Key]Load{KeyOf("i-00"): {Requests: 5, Ejected: true}, KeyOf("i-01"): {Requests: 2}, KeyOf("i-02"): {Requests: 3}})
	is.Equal(r.Capacity("llm"), Capacity{Slots: 12, Peers: 5})
	is.True(r.Choose(&Request{Pool: "llm", Exclude: []string{"i-00", "i-02"}}).Release(Unreachable))
	is.Equal(r.Capacity("llm"), Capacity{Slots: 6, Peers: 3})
	r.Choose(&Request{Pool: "llm", Exclude: []string{"i-00", "i-01"}}).Release(Full)
	is.Equal(r.Capacity("llm").Slots, 6) // full, but not out of use
	c.advance(longestEjection)
	r.SetPeer("p", nil)
	is.Equal(r.Capacity("llm").Slots, 18)
}
