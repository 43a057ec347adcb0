package pool

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

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
