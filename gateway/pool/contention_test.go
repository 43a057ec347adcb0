package pool

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"jacinthfork.example/jacinthfork/internal/proptest"
)

// Guards against a state that changes with each request at a threshold, or that ends in a short lull.
func TestContentionHasHysteresis(t *testing.T) {
	is := is.New(t)
	var c contention
	at := time.Unix(1_000_000, 0)
	look := func(inFlight float64, after time.Duration) bool {
		at = at.Add(after)
		c.update(inFlight, 100, at)
		return c.contended
	}
	is.True(!look(74, 0))
	is.True(look(75, contentionInterval))
	is.True(look(51, time.Hour)) // between the shares
	is.True(look(49, time.Second))
	is.True(look(49, relievedTime-time.Millisecond))
	is.True(look(51, time.Millisecond)) // the lull was too short
	is.True(look(0, relievedTime))
	is.True(!look(0, relievedTime))
	is.True(!look(74, contentionInterval))
}

// Guards against flapping under any load: between an end and a begin of the contention, the load has been below relievedShare for
// relievedTime, and each begin is at contendedShare.
func TestContentionDoesNotFlap(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		var c contention
		at := time.Unix(1_000_000, 0)
		lowSince := at
		for range rapid.IntRange(1, 200).Draw(t, "looks") {
			at = at.Add(time.Duration(rapid.IntRange(20, 700).Draw(t, "ms")) * time.Millisecond)
			serves := float64(rapid.IntRange(0, 100).Draw(t, "serves"))
			inFlight := float64(rapid.IntRange(0, 120).Draw(t, "in flight"))
			before := c.contended
			c.update(inFlight, serves, at)
			switch {
			case serves == 0:
				if c.contended {
					t.Fatal("a pool that serves nothing is contended")
				}
			case !before && c.contended && inFlight < contendedShare*serves:
				t.Fatal("contended below the share")
			case before && !c.contended && at.Sub(lowSince) < relievedTime:
				t.Fatal("relieved too soon")
			}
			if inFlight >= relievedShare*serves {
				lowSince = at.Add(time.Millisecond)
			}
		}
	})
}

// Guards against a pool without instances that counts as contended: its requests would wait for keepers that do not exist.
func TestPoolWithoutInstancesIsNotContended(t *testing.T) {
	is := is.New(t)
	r, c := testRegistry()
	r.SetPaced("llm", true)
	is.True(!r.Contended("llm"))
	r.SetFleetLoad(map[uint32]PoolLoad{PoolHash("llm"): {Requests: 9, Reduced: 3}})
	c.advance(contentionInterval)
	is.True(!r.Contended("llm"))
	r.ApplyEntry(Instance{ID: "e", Pool: "llm", StartedAt: 1, Sequence: 1}) // its slots are not known
	c.advance(contentionInterval)
	is.True(!r.Contended("llm"))
}

// Guards against gateways that do not learn of a contention from the totals, against a keeper that knows it only from them, and
// against false totals that make a quiet pool contended.
func TestContentionFollowsTheTotalsOfTheFleet(t *testing.T) {
	is := is.New(t)
	other, keeper, c := pacedFleet() // 3 engines of 64 slots
	other.SetPaced("llm", true)
	keeper.SetPaced("llm", true)
	totals := func(load PoolLoad) (contended bool) {
		c.advance(contentionInterval)
		other.SetFleetLoad(map[uint32]PoolLoad{PoolHash("llm"): load})
		return other.Contended("llm")
	}
	is.True(!totals(PoolLoad{Requests: 143}))
	is.True(totals(PoolLoad{Requests: 144})) // 0.75 of 192
	for range 3 {
		totals(PoolLoad{})
		c.advance(relievedTime)
	}
	is.True(!totals(PoolLoad{Requests: 70}))
	is.True(totals(PoolLoad{Requests: 70, Reduced: 100})) // 0.75 of 92
	for range 3 {
		totals(PoolLoad{})
		c.advance(relievedTime)
	}
	is.True(!totals(PoolLoad{Requests: 17, Reduced: 1 << 31})) // at the minimum of all limits it would be 24
	is.True(totals(PoolLoad{Requests: 18, Reduced: 1 << 31}))

	// The keeper counts what it has granted, before the totals say so.
	key := KeyOf(testInstance(0).ID)
	for n := range uint64(150) {
		keeper.Reserve(&Reservation{Router: other.self, Sequence: n + 1, Instance: key, TTL: time.Minute, Forced: true})
	}
	c.advance(contentionInterval)
	is.True(keeper.Contended("llm"))
}

// Guards against a quiet pool that becomes contended because its engines were late with few requests, and against totals that
// do not say what limits have fallen to.
func TestLimitsOfAlmostIdleEnginesDoNotMakeAPoolContended(t *testing.T) {
	is := is.New(t)
	r, c := testRegistry()
	for n := range 3 {
		r.ApplyEntry(testInstance(n))
	}
	r.SetPaced("llm", true)
	for n := range 3 {
		r.members[testInstance(n).ID].engine.limit = placeLimit{limit: 1, steppedAt: c.at}
	}
	var open []*Lease
	for range 12 {
		open = append(open, r.Acquire(testPrompt(1)))
	}
	is.Equal(r.LocalLoad()[PoolHash("llm")], PoolLoad{Requests: 12, Reduced: 3 * (64 - 8)}) // an eighth of the slots counts
	is.True(!r.Contended("llm"))
	for range 6 {
		open = append(open, r.Acquire(testPrompt(1)))
	}
	c.advance(contentionInterval)
	is.True(r.Contended("llm"))
	for _, l := range open {
		l.Release(Served)
	}
}

// Guards against a limit that stays low while it does not apply: engines that hold more than it and are in time show that it is
// too low, and a contention would begin with it.
func TestLimitRecoversWhileThePoolIsNotContended(t *testing.T) {
	is := is.New(t)
	r, c := testRegistry()
	for n := range 3 {
		r.ApplyEntry(testInstance(n))
	}
	r.SetPaced("llm", true)
	m := r.members[testInstance(0).ID]
	m.engine.limit = placeLimit{limit: 8, steppedAt: c.at}
	for range 12 {
		r.leaseOn(0)
	}
	for range 100 {
		c.advance(100 * time.Millisecond)
		// Between easyPressure and targetPressure a limit that holds requests back does not change.
		m.engine.limit.observe(Observation{Responses: 1, Ratio: 0.52}, c.at)
		is.True(!r.Contended("llm"))
	}
	limit, _ := r.PlaceLimit(KeyOf(m.ID))
	is.Equal(limit, m.Slots)
}

// Guards against limits and paces that change the placement of a pool that is not contended: each request goes where it goes
// without them.
func TestUncontendedPoolIsPlacedAsWithoutLimits(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		const engines = 6
		random := rand.New(rand.NewPCG(41, rapid.Uint64().Draw(t, "seed")))
		plain, pc := testRegistry()
		paced, c := testRegistry()
		for n := range engines {
			plain.ApplyEntry(testInstance(n))
			paced.ApplyEntry(testInstance(n))
		}
		paced.SetPaced("llm", true)
		type pair struct{ a, b *Lease }
		var open []pair
		for range 80 {
			pc.advance(5 * time.Millisecond)
			c.advance(5 * time.Millisecond)
			if len(open) > 0 && random.IntN(5) < 2 {
				n := random.IntN(len(open))
				open[n].a.Release(Served)
				open[n].b.Release(Served)
				open = append(open[:n], open[n+1:]...)
				continue
			}
			q := testPrompt(uint64(random.IntN(5)))
			l := pair{plain.Acquire(q), paced.Acquire(q)}
			l.b.RecordPace(50 + 50*random.IntN(20))
			if random.IntN(8) == 0 {
				l.b.RecordWait(3*time.Second, time.Second)
			}
			paced.members[testInstance(random.IntN(engines)).ID].engine.limit.limit = 1
			if paced.Contended("llm") {
				return
			}
			if l.a.Instance.ID != l.b.Instance.ID {
				t.Fatalf("%s instead of %s with %d requests in flight", l.b.Instance.ID, l.a.Instance.ID, len(open))
			}
			open = append(open, l)
		}
	})
}
