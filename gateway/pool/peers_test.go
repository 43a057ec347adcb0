package pool

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A plain service runs behind many routers that know the fleet's load as of up to four service times ago. Guards
// against routers that all avoid the worker that was busy when they were last told: the busiest worker would hold far
// more than the mean.
func TestStaleLoadReportsDoNotCauseHerding(t *testing.T) {
	is := is.New(t)
	const workers, routers, perSecond, seconds = 3, 30, 200, 30
	const service, exchange = 75 * time.Millisecond, 300 * time.Millisecond
	random := rand.New(rand.NewPCG(7, 8))
	f := newFleetOf(routers, workers, func(n int) Instance {
		i := testInstance(n)
		i.Pool, i.Slots = "plain", 6
		return i
	})
	type running struct {
		lease *held
		until time.Time
	}
	var open []running
	load := make(map[string]int)
	var excess float64
	sent := 0
	exchangedAt := f.clock.at
	for range perSecond * seconds {
		f.clock.advance(time.Second / perSecond)
		if f.clock.at.Sub(exchangedAt) >= exchange {
			exchangedAt = f.clock.at
			f.exchange()
		}
		remaining := open[:0]
		for _, o := range open {
			if f.clock.at.Before(o.until) {
				remaining = append(remaining, o)
				continue
			}
			f.release(o.lease, Served)
			load[o.lease.Instance.ID]--
		}
		open = remaining
		l := f.acquire(random.IntN(routers), &Request{Pool: "plain"})
		excess += float64(load[l.Instance.ID]) - float64(len(open))/workers
		sent++
		load[l.Instance.ID]++
		open = append(open, running{l, f.clock.at.Add(time.Duration(random.ExpFloat64() * float64(service)))})
	}
	// A random choice has no excess, because a request finds the mean load. Herding causes an excess.
	t.Logf("mean excess over the mean load of the pool: %.2f requests", excess/float64(sent))
	is.True(excess/float64(sent) < 0.5)
}

// Guards against a load bound that weakens as what a router was told ages: an instance that the other routers hold
// at the load bound gets no prompt, even when this router was told of it longer ago than the mean service time.
func TestLoadBoundIgnoresReportAge(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	preferred := f.acquire(0, testPrompt(1))
	f.clock.advance(200 * time.Millisecond)
	f.release(preferred, Served) // the mean service time is 0.2 s
	for _, r := range f.routers {
		for n := range uint64(12) {
			r.Reserve(&Reservation{Router: routerName(3), Sequence: 1<<40 + n, Instance: KeyOf(preferred.Instance.ID), TTL: time.Minute, Forced: true})
		}
		r.SetFleetLoad(map[uint32]PoolLoad{PoolHash("llm"): {Requests: 12}})
	}
	f.clock.advance(400 * time.Millisecond)
	for range 3 {
		l := f.acquire(0, testPrompt(1))
		is.True(l.Instance.ID != preferred.Instance.ID) // the mean is 3, the bound 7.7
		f.release(l, Abandoned)
	}
}

// Guards against losing the load of another router when two instances share a key, and against load left
// behind after one of the two has been removed.
func TestKeyCollisionCountsLoadForBothInstances(t *testing.T) {
	is := is.New(t)
	r, _ := testRegistry()
	r.SetFleet("a", []Router{{Name: "a"}, {Name: "p"}})
	r.ApplyEntry(testInstance(0))
	r.ApplyEntry(testInstance(1))
	first, second := r.members[testInstance(0).ID], r.members[testInstance(1).ID]
	first.keeper, second.keeper = "", ""
	second.hash = first.hash
	delete(r.byKey, KeyOf(testInstance(1).ID))
	key := keyOf(first.hash)
	r.byKey[key] = append(r.byKey[key], second)

	for n := range uint64(3) {
		r.Reserve(&Reservation{Router: "p", Sequence: n, Instance: key, TTL: time.Minute})
	}
	is.Equal(first.others(), 3)
	is.Equal(second.others(), 3)
	r.drop(first)
	r.EndReservation("p", 0, Served)
	r.EndReservation("p", 1, Served)
	is.Equal(second.others(), 1)
	r.drop(second)
	is.Equal(len(r.byKey), 0)
}

// Guards against places that stay taken for ever: those of a router that is gone or has restarted, and those whose end
// was never told.
func TestHoldsOfGoneRoutersEnd(t *testing.T) {
	is := is.New(t)
	r, c := testRegistry()
	r.SetFleet("a", []Router{{"a", 1}, {"b", 1}, {"c", 1}, {"d", 1}})
	i := testInstance(0)
	r.ApplyEntry(i)
	m := r.members[i.ID]
	m.keeper = ""
	for n, router := range []string{"b", "c", "d"} {
		is.True(r.Reserve(&Reservation{Router: router, Sequence: uint64(n), Instance: KeyOf(i.ID), TTL: time.Second}).Granted)
	}
	is.Equal(len(m.holds), 3)
	r.SetFleet("a", []Router{{"a", 1}, {"c", 2}, {"d", 1}}) // b is gone, c has restarted
	is.Equal(len(m.holds), 1)
	c.advance(2 * time.Second)
	r.Sweep(c.now())
	is.Equal(len(m.holds), 0)
}

// Guards against an instance that gets more than its bound because the places of a router that stops are given back before
// its requests have ended, and against places of its earlier incarnation that stay taken.
func TestHoldsOfLeavingRoutersStay(t *testing.T) {
	is := is.New(t)
	r, c := testRegistry()
	all := []Router{{"a", 1}, {"b", 1}}
	r.SetFleet("a", all)
	i := testInstance(0)
	r.ApplyEntry(i)
	m := r.members[i.ID]
	reserve := func(sequence uint64) {
		m.keeper = ""
		is.True(r.Reserve(&Reservation{Router: "b", Sequence: sequence, Instance: KeyOf(i.ID), TTL: time.Second}).Granted)
	}
	reserve(1)
	r.SetFleet("a", all[:1], all[1])
	is.Equal(len(m.holds), 1)
	is.Equal(r.PeerCount(), 0)
	is.Equal(m.keeper, "")
	reserve(2) // it serves requests that still arrive
	r.SetFleet("a", all[:1], all[1])
	is.Equal(len(m.holds), 2)
	r.EndReservation("b", 1, Served)
	is.Equal(len(m.holds), 1)
	r.SetFleet("a", []Router{{"a", 1}, {"b", 2}}) // it is back
	is.Equal(len(m.holds), 0)
	reserve(3)
	r.SetFleet("a", all[:1], Router{"b", 2})
	c.advance(2 * time.Second)
	r.Sweep(c.now())
	is.Equal(len(m.holds), 0)
}

// Guards against a keeper and a request that count twice or not at all around a lost keeper: the new keeper is told
// of the places, twice by mistake, and the old one that still runs is told of their end.
func TestForcedReservationIsCountedOnce(t *testing.T) {
	is := is.New(t)
	r, _ := testRegistry()
	r.SetFleet("a", []Router{{"a", 1}})
	i := testInstance(0)
	r.ApplyEntry(i)
	m := r.members[i.ID]
	for range 2 {
		is.True(r.Reserve(&Reservation{Router: "b", Sequence: 7, Instance: KeyOf(i.ID), TTL: time.Minute, Forced: true}).Granted)
	}
	is.Equal(m.others(), 1)
	r.EndReservation("b", 7, Served)
	is.Equal(m.others(), 0)
}

// Guards against an instance that gets more than its bound because a router that has just started is told of the requests
// in flight there before it has the instance's entry, and against such places that stay taken for ever.
func TestPlacesAtInstancesThatAreNotKnownYetAreCounted(t *testing.T) {
	is := is.New(t)
	r, c := testRegistry()
	r.SetFleet("a", []Router{{"a", 1}, {"b", 1}, {"c", 1}})
	i := testInstance(0)
	reserve := func(router string, sequence uint64, ttl time.Duration) {
		a := r.Reserve(&Reservation{Router: router, Sequence: sequence, Instance: KeyOf(i.ID), TTL: ttl, Forced: sequence%2 == 0})
		is.True(a.Granted)
		is.True(a.Unknown)
	}
	for n := range uint64(4) {
		reserve("b", n, time.Minute)
	}
	reserve("b", 0, time.Minute) // told twice
	reserve("b", 4, time.Second)
	reserve("c", 0, time.Minute)
	r.EndReservation("b", 3, Served)
	r.SetFleet("a", []Router{{"a", 1}, {"b", 1}, {"c", 2}}) // c has restarted
	c.advance(2 * time.Second)
	r.Sweep(c.now())
	r.ApplyEntry(i)
	m := r.members[i.ID]
	m.keeper = ""
	is.Equal(m.others(), 3)
	for n := range uint64(3) {
		r.EndReservation("b", n, Served)
	}
	is.Equal(m.others(), 0)
	is.Equal(len(r.early), 0)
	for n := range uint64(2 * maxHolds) {
		r.Reserve(&Reservation{Router: "b", Sequence: n, Instance: KeyOf(testInstance(1).ID), TTL: time.Minute})
	}
	is.Equal(len(r.early), maxHolds)
}

// Guards against an instance that gets more than its bound because the places of a router are given back when this router
// learns of it: its reservations may come before, those of a router that was declared lost by mistake as well.
func TestHoldsOfRoutersThatAreNotKnownYetStay(t *testing.T) {
	is := is.New(t)
	r, _ := testRegistry()
	alone, both := []Router{{"a", 1}}, []Router{{"a", 1}, {"b", 1}}
	r.SetFleet("a", alone)
	i := testInstance(0)
	r.ApplyEntry(i)
	m := r.members[i.ID]
	reserve := func(sequence uint64) {
		for _, key := range []Key{KeyOf(i.ID), KeyOf(testInstance(1).ID)} { // the other one is not known
			is.True(r.Reserve(&Reservation{Router: "b", Sequence: sequence, Instance: key, TTL: time.Minute, Forced: true}).Granted)
		}
	}
	holds := func() []int { return []int{len(m.holds), len(r.early)} }
	reserve(1)
	r.SetFleet("a", both)
	is.Equal(holds(), []int{1, 1})
	r.SetFleet("a", alone) // b is lost
	is.Equal(holds(), []int{0, 0})
	reserve(2)
	r.SetFleet("a", []Router{{"a", 1}, {"c", 1}})
	is.Equal(holds(), []int{1, 1})
	r.SetFleet("a", both) // it was not
	is.Equal(holds(), []int{1, 1})
	r.SetFleet("a", []Router{{"a", 1}, {"b", 2}})
	is.Equal(holds(), []int{0, 0})
}

// Guards against an instance that gets more than its bound because its entry lapsed and came back while it ran: the requests in
// flight there were not counted any more. It also guards against counting those that have ended meanwhile.
func TestRequestsInFlightCountAfterALapse(t *testing.T) {
	is := is.New(t)
	r, _ := testRegistry()
	r.SetFleet("a", []Router{{"a", 1}})
	i := testInstance(0)
	r.ApplyEntry(i)
	var open []*Lease
	for n := range uint64(3) {
		open = append(open, r.Acquire(testPrompt(1)))
		is.True(r.Reserve(&Reservation{Router: "b", Sequence: n, Instance: KeyOf(i.ID), TTL: time.Minute}).Granted)
	}
	is.Equal(r.Remove(i.ID), Removed)
	open[0].Release(Served)
	r.EndReservation("b", 0, Served)
	r.Reserve(&Reservation{Router: "b", Sequence: 7, Instance: KeyOf(i.ID), TTL: time.Minute, Forced: true})
	i.Sequence++
	is.Equal(r.ApplyEntry(i), Joined)
	is.Equal(r.members[i.ID].inFlight(), 2+3)
	for _, l := range open[1:] {
		l.Release(Served)
	}
	for _, n := range []uint64{1, 2, 7} {
		r.EndReservation("b", n, Served)
	}
	is.Equal(r.members[i.ID].inFlight(), 0)

	l := r.Acquire(testPrompt(1))
	r.Reserve(&Reservation{Router: "b", Sequence: 8, Instance: KeyOf(i.ID), TTL: time.Minute})
	is.Equal(r.Remove(i.ID), Removed)
	i.StartedAt, i.Sequence = i.StartedAt+1, 1 // it has restarted
	is.Equal(r.ApplyEntry(i), Joined)
	is.Equal(r.members[i.ID].inFlight(), 0)
	l.Release(Served)
	is.Equal(r.members[i.ID].inFlight(), 0)
}
