package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// pacedFleet returns two routers of which the second keeps instance 0.
func pacedFleet() (other, keeper *Registry, c *clock) {
	f := newFleetOf(2, 3, testInstance)
	keeper, other = f.routers[0], f.routers[1]
	if keeper.members[testInstance(0).ID].keeper != "" {
		keeper, other = other, keeper
	}
	return other, keeper, f.clock
}

func (r *Registry) leaseOn(n int) *Lease {
	q := testPrompt(1)
	for i := range 3 {
		if i != n {
			q.Exclude = append(q.Exclude, testInstance(i).ID)
		}
	}
	return r.Acquire(q)
}

// Guards against pools that count as paced without a plausible report, or for ever after one, and against routers that do not
// learn that a pool is paced from the keeper.
func TestPoolIsPacedWhileItsInstancesReport(t *testing.T) {
	is := is.New(t)
	other, keeper, c := pacedFleet()
	key := KeyOf(testInstance(0).ID)
	l := other.leaseOn(0)
	for _, absurd := range []int{-5, 0, 9, 3001, 1 << 40} {
		is.True(!l.RecordPace(absurd))
	}
	is.True(!other.Paced("llm"))
	_, ok := other.PlaceLimit(key)
	is.True(!ok)

	is.True(l.RecordPace(150))
	is.True(other.Paced("llm"))
	is.True(!keeper.Paced("llm"))
	keeper.Observe(key, other.TakeObservation(key))
	is.True(keeper.Paced("llm"))
	is.Equal(other.TakeObservation(key), Observation{}) // told once
	limit, ok := keeper.PlaceLimit(key)
	is.True(ok)
	is.Equal(limit, 64)

	c.advance(pacedTTL)
	is.True(!keeper.Paced("llm"))
}

// Guards against a gateway that does not follow the limit and the pace of the keeper, or follows those of long ago.
func TestKeeperTellsPaceAndLimit(t *testing.T) {
	is := is.New(t)
	other, keeper, c := pacedFleet()
	key := KeyOf(testInstance(0).ID)
	l := other.leaseOn(0)
	l.RecordPace(400)
	keeper.Observe(key, other.TakeObservation(key))
	keeper.SetContended("llm", true)
	other.SetContended("llm", true)
	keeper.members[testInstance(0).ID].engine.limit.limit = 7
	a := keeper.Reserve(&Reservation{Router: other.self, Sequence: 1, Instance: key, Parts: testPrompt(1).Parts, TTL: time.Minute})
	is.True(a.Granted)
	is.Equal(a.Loads[0], KeeperLoad{Instance: key, Requests: 0, Pace: 400, Limit: 7})
	is.True(l.Confirm(a))
	limit, ok := other.PlaceLimit(key)
	is.True(ok)
	is.Equal(limit, 7)

	for n := uint64(2); n < 20; n++ {
		a = keeper.Reserve(&Reservation{Router: other.self, Sequence: n, Instance: key, Parts: testPrompt(1).Parts, TTL: time.Minute})
	}
	is.True(!a.Granted) // at the limit
	is.True(len(keeper.members[testInstance(0).ID].holds) <= 7+1)

	// The router decides alone, then keeps the instance itself.
	is.True(l.WithinShare())
	var own []*Lease
	for range 3 {
		own = append(own, other.leaseOn(0))
	}
	is.True(own[2].WithinShare())
	is.True(!other.leaseOn(0).WithinShare()) // 5 of the share 4 = 7/2 rounded up
	other.SetFleet(other.self, []Router{{Name: other.self, Incarnation: 1}})
	limit, _ = other.PlaceLimit(key)
	is.Equal(limit, 7)

	c.advance(toldLimitTTL)
	other.SetFleet(other.self, fleetMembers(2))
	l.RecordPace(100)
	limit, _ = other.PlaceLimit(key)
	is.Equal(limit, 64) // told too long ago
}

// Guards against a slow engine of a contended pool that gets as much work as the others, against a pace of long ago, and against
// pools that do not report a pace, or are not contended, and are placed by it.
func TestSlowEngineGetsLess(t *testing.T) {
	is := is.New(t)
	r, c := testRegistry()
	for n := range 3 {
		r.ApplyEntry(testInstance(n))
	}
	share := func() int {
		count := 0
		var open []*Lease
		for range 30 {
			l := r.Acquire(&Request{Pool: "llm"})
			if l.Instance.ID == testInstance(0).ID {
				count++
			}
			open = append(open, l)
		}
		for _, l := range open {
			l.Release(Served)
		}
		return count
	}
	is.Equal(share(), 10)
	for n, pace := range []int{400, 100, 100} {
		l := r.leaseOn(n)
		l.RecordPace(pace)
		l.Release(Served)
	}
	is.Equal(share(), 10) // the pool is not contended
	r.SetContended("llm", true)
	got := share()
	is.True(got >= 2 && got <= 6) // a quarter of the others' 12 or 13
	c.advance(10 * paceTTL)
	is.Equal(share(), 10)
}

// Guards against responses that are counted twice or too late: a late one counts at once, one in time at its end, and one
// without an event not at all.
func TestResponsesCountOnce(t *testing.T) {
	is := is.New(t)
	other, _, c := pacedFleet()
	key := KeyOf(testInstance(0).ID)
	late, inTime, unanswered := other.leaseOn(0), other.leaseOn(0), other.leaseOn(0)
	late.RecordPace(100)
	other.TakeObservation(key)

	is.True(!late.RecordWait(300*time.Millisecond, 400*time.Millisecond))
	is.True(!inTime.RecordWait(100*time.Millisecond, 400*time.Millisecond))
	is.Equal(other.TakeObservation(key), Observation{})
	is.True(late.RecordWait(600*time.Millisecond, 400*time.Millisecond))
	is.True(!late.RecordWait(900*time.Millisecond, 400*time.Millisecond))
	c.advance(100 * time.Millisecond)
	late.Release(Served)
	is.Equal(other.TakeObservation(key), Observation{Responses: 1, Ratio: 1.5, Age: 600 * time.Millisecond})
	inTime.Release(Served)
	unanswered.Release(Abandoned)
	is.Equal(other.TakeObservation(key), Observation{Responses: 1, Ratio: 0.25, Age: 200 * time.Millisecond})
}

// Guards against operators who do not see that an engine is limited, or see it again and again.
func TestLimitChangesAreReportedOnce(t *testing.T) {
	is := is.New(t)
	r, _ := testRegistry()
	r.ApplyEntry(testInstance(0))
	l := r.leaseOnly()
	l.RecordPace(100)
	is.Equal(len(r.LimitChanges()), 0)
	r.members[testInstance(0).ID].engine.limit.limit = 9
	changes := r.LimitChanges()
	is.Equal(len(changes), 1)
	is.Equal(changes[0].Limit, 9)
	is.Equal(len(r.LimitChanges()), 0)
	sum, ok := r.PaceSummary("llm")
	is.True(ok)
	is.Equal([]int{sum.Kept, sum.Reduced, sum.LimitLowest}, []int{1, 1, 9})
	r.members[testInstance(0).ID].engine.limit.limit = 64
	is.Equal(len(r.LimitChanges()), 1)
}

func (r *Registry) leaseOnly() *Lease { return r.Acquire(testPrompt(1)) }
