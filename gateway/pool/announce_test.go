package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"jacinthfork.example/jacinthfork/internal/proptest"
)

// Guards against an instance that gets requests again after it has announced its departure in a response: because its
// entry is published again without the departure, lapses and returns, or moves to another address, and because no other
// instance is left. Its next incarnation is used.
func TestAnnouncedDepartureOutlastsEntries(t *testing.T) {
	is := is.New(t)
	r, c := testRegistry()
	i := testInstance(0)
	r.ApplyEntry(i)
	l := r.Acquire(&Request{Pool: "llm"})
	is.True(l.RecordLeaving())
	is.True(!l.RecordLeaving()) // known already
	l.Release(Served)
	unused := func() bool { return r.Acquire(&Request{Pool: "llm"}) == nil && r.Summary("llm").Leaving == 1 }
	is.True(unused())

	i.Sequence++
	r.ApplyEntry(i)
	is.True(unused()) // published again
	is.Equal(r.Remove(i.ID), Removed)
	i.Sequence++
	is.Equal(r.ApplyEntry(i), Joined)
	is.True(unused()) // lapsed and returned
	i.Sequence, i.Address = i.Sequence+1, "10.0.1.1:80"
	is.Equal(r.ApplyEntry(i), Restarted)
	is.True(unused()) // moved
	c.advance(2 * announcementTTL)
	r.Sweep(c.now())
	is.True(unused()) // long ago

	i.StartedAt, i.Sequence = i.StartedAt+1, 1
	is.Equal(r.ApplyEntry(i), Restarted)
	is.True(!unused())
	r.Sweep(c.now())
	is.Equal(len(r.announcements), 0)
}

// Guards against a keeper that gives other routers places at an instance that has announced its departure.
func TestKeeperRefusesPlacesAfterAnnouncedDeparture(t *testing.T) {
	is := is.New(t)
	f := newFleet(12)
	for _, r := range f.routers {
		l := r.Acquire(only(3, 12))
		if l.Keeper != "" {
			continue
		}
		is.True(!r.Closed(KeyOf(l.Instance.ID)))
		l.RecordLeaving()
		is.True(r.Closed(KeyOf(l.Instance.ID)))
		a := r.Reserve(&Reservation{Router: "asks", Sequence: 1, Instance: KeyOf(l.Instance.ID), TTL: time.Second})
		is.True(!a.Granted && a.Ejected > 0)
		return
	}
	t.Fatal("no router keeps the instance")
}

// Guards against a request that is sent although its instance has announced its departure while the request waited for
// its place or its connection, also when the instance's entry was published anew meanwhile.
func TestWaitingRequestLearnsOfDeparture(t *testing.T) {
	is := is.New(t)
	r, _ := testRegistry()
	i := testInstance(0)
	r.ApplyEntry(i)
	first, waiting := r.Acquire(&Request{Pool: "llm"}), r.Acquire(&Request{Pool: "llm"})
	is.True(waiting.Usable())
	r.Remove(i.ID)
	i.Sequence++
	r.ApplyEntry(i)
	is.True(waiting.Usable())
	first.RecordLeaving()
	is.True(!waiting.Usable())
}

// Guards against requests to an instance during the time for which it has turned this router away: because no other one
// is left, its entry is published again or returns, or a later response asks for less. Its next incarnation is used.
func TestHeldOffInstanceGetsNoRequests(t *testing.T) {
	is := is.New(t)
	r, c := testRegistry()
	i, other := testInstance(0), testInstance(1)
	r.ApplyEntry(i)
	r.ApplyEntry(other)
	withoutOther := &Request{Pool: "llm", Exclude: []string{other.ID}}
	is.True(r.HasOther(withoutOther))
	l := r.Acquire(withoutOther)
	is.True(l.RecordHoldOff(2 * time.Second))
	is.True(!l.RecordHoldOff(time.Second)) // held off already, and for longer
	is.True(!l.Usable())
	l.Release(Refused)
	is.Equal(r.HeldOff("llm"), time.Duration(0)) // the other instance is left

	is.True(!r.HasOther(withoutOther) && !r.HasAlternative(withoutOther))
	for range 8 {
		r.Acquire(&Request{Pool: "llm"}).Release(Unreachable)
		is.True(r.Acquire(withoutOther) == nil)
		is.Equal(r.Acquire(&Request{Pool: "llm"}).Instance.ID, other.ID) // although it is ejected
	}
	i.Sequence++
	r.ApplyEntry(i)
	is.True(r.Acquire(withoutOther) == nil) // published again
	r.Remove(i.ID)
	i.Sequence++
	is.Equal(r.ApplyEntry(i), Joined)
	c.advance(1900 * time.Millisecond)
	is.True(r.Acquire(withoutOther) == nil) // lapsed and returned
	c.advance(100 * time.Millisecond)
	l = r.Acquire(withoutOther)
	is.True(l.Usable())

	is.True(l.RecordHoldOff(time.Minute))
	c.advance(holdOffHandover) // too long for the answer to be that of the next one
	i.StartedAt, i.Sequence = i.StartedAt+1, 1
	r.ApplyEntry(i)
	is.True(r.Acquire(withoutOther) != nil)
}

// Guards against requests to a restarted instance within the time for which it has turned this router away in an answer
// to a request that was sent by the entry of its predecessor, wherever its clock stands. An instance that is first heard of
// long after the answer did not give it, and neither did one at another address.
func TestHoldOffOfARestartedInstanceIsKept(t *testing.T) {
	const holdOff = 2 * holdOffHandover
	restarted := func(i Instance, step time.Duration) Instance {
		i.StartedAt, i.Sequence = i.StartedAt+step.Milliseconds(), 1
		return i
	}
	for name, answer := range map[string]func(r *Registry, l *Lease, next Instance){
		"before its entry": func(r *Registry, l *Lease, next Instance) {
			l.RecordHoldOff(holdOff)
			r.ApplyEntry(next)
		},
		"before its entry, its predecessor's was removed": func(r *Registry, l *Lease, next Instance) {
			l.RecordHoldOff(holdOff)
			r.Remove(next.ID)
			r.ApplyEntry(next)
		},
		"after its entry": func(r *Registry, l *Lease, next Instance) {
			r.ApplyEntry(next)
			l.RecordHoldOff(holdOff)
		},
	} {
		for _, step := range []time.Duration{time.Second, -time.Second, time.Hour, -time.Hour} {
			t.Run(fmt.Sprint(name, ", clock ", step), func(t *testing.T) {
				is := is.New(t)
				r, c := testRegistry()
				i := testInstance(0)
				i.StartedAt = c.now().UnixMilli()
				r.ApplyEntry(i)
				l := r.Acquire(&Request{Pool: "llm"})
				c.advance(100 * time.Millisecond)
				next := restarted(i, step)
				answer(r, l, next)
				c.advance(holdOff - time.Millisecond)
				is.True(r.Acquire(&Request{Pool: "llm"}) == nil)
				is.True(r.HeldOff("llm") > 0)
				r.ApplyEntry(restarted(next, step))
				is.True(r.Acquire(&Request{Pool: "llm"}) != nil) // first heard of long after the answer
			})
		}
	}
	t.Run("another address", func(t *testing.T) {
		is := is.New(t)
		r, _ := testRegistry()
		i := testInstance(0)
		r.ApplyEntry(i)
		r.Acquire(&Request{Pool: "llm"}).RecordHoldOff(holdOff)
		next := restarted(i, time.Second)
		next.Address = "10.0.1.1:80"
		r.ApplyEntry(next)
		is.True(r.Acquire(&Request{Pool: "llm"}) != nil)
	})
}

// Guards against requests to an instance within the time for which it has turned this router away, because its entry
// was gone for longer than announcements are kept.
func TestLongHoldOffOutlastsTheEntry(t *testing.T) {
	is := is.New(t)
	r, c := testRegistry()
	i := testInstance(0)
	r.ApplyEntry(i)
	r.Acquire(&Request{Pool: "llm"}).RecordHoldOff(3 * announcementTTL)
	r.Remove(i.ID)
	c.advance(2 * announcementTTL)
	r.Sweep(c.now())
	i.Sequence++
	is.Equal(r.ApplyEntry(i), Joined)
	is.True(r.Acquire(&Request{Pool: "llm"}) == nil)
	r.Remove(i.ID)
	c.advance(announcementTTL)
	r.Sweep(c.now())
	is.Equal(len(r.announcements), 0)
}

// Guards against callers of a pool whose instances all turn requests away that are not told when the first one takes
// requests again. One that is leaving does not count.
func TestHeldOffPoolReturnsWithItsFirstInstance(t *testing.T) {
	is := is.New(t)
	r, c := testRegistry()
	is.Equal(r.HeldOff("llm"), time.Duration(0))
	for n := range 3 {
		r.ApplyEntry(testInstance(n))
	}
	r.Acquire(only(0, 3)).RecordHoldOff(5 * time.Second)
	r.Acquire(only(1, 3)).RecordHoldOff(3 * time.Second)
	is.Equal(r.HeldOff("llm"), time.Duration(0))
	l := r.Acquire(only(2, 3))
	l.RecordHoldOff(time.Second)
	is.Equal(r.HeldOff("llm"), time.Second)
	l.RecordLeaving()
	is.Equal(r.HeldOff("llm"), 3*time.Second)
	c.advance(3 * time.Second)
	is.Equal(r.HeldOff("llm"), time.Duration(0))
	is.Equal(r.Acquire(&Request{Pool: "llm"}).Instance.ID, testInstance(1).ID)
}

// Replays a second in which most engines of a pool turn all routers away for a time, while prompts arrive as before. Guards
// against the few that are left getting all of them, far beyond their slots, so that callers wait there until their
// deadlines pass.
func TestHeldOffPoolDoesNotOverloadTheInstancesThatAreLeft(t *testing.T) {
	const engines, left, requests = 12, 2, 400
	is := is.New(t)
	f := newFleet(engines)
	for _, r := range f.routers {
		for n := left; n < engines; n++ {
			l := r.Acquire(only(n, engines))
			l.RecordHoldOff(time.Second)
			l.Release(Refused)
		}
	}
	running := make(map[string]int)
	refused := 0
	var all []*held
	for n := range requests {
		f.clock.advance(time.Second / (requests + 1))
		h := f.acquire(n%fleetRouters, testPrompt(uint64(n%40)))
		if h == nil {
			refused++
			continue
		}
		all = append(all, h)
		running[h.Instance.ID]++
	}
	slots := testInstance(0).Slots
	is.Equal(len(running), left)
	for n := range left {
		count := running[testInstance(n).ID]
		is.True(count >= slots-fleetRouters) // they are used
		is.True(count <= slots+fleetRouters)
	}
	is.Equal(refused+len(all), requests)
	f.clock.advance(time.Second)
	is.True(f.acquire(0, testPrompt(1)) != nil) // the others are back
	for _, h := range all {
		f.release(h, Served)
	}
	is.Equal(f.routers[0].HeldOff("llm"), time.Duration(0))
}

// Guards against test connections to an instance that has turned this router away, and against a keeper that refuses other
// routers for it.
func TestHoldOffIsForOneRouter(t *testing.T) {
	is := is.New(t)
	f := newFleet(12)
	for _, r := range f.routers {
		l := r.Acquire(only(3, 12))
		if l.Keeper != "" {
			continue
		}
		l.RecordHoldOff(time.Second)
		l.Release(Refused)
		r.Reserve(&Reservation{Router: routerName(0), Sequence: 1 << 40, Instance: KeyOf(l.Instance.ID), TTL: time.Minute, Forced: true})
		a := r.Reserve(&Reservation{Router: "asks", Sequence: 1, Instance: KeyOf(l.Instance.ID), TTL: time.Second})
		is.True(a.Granted)
		r.EndReservation(routerName(0), 1<<40, Unreachable)
		is.Equal(len(r.DueProbes()), 0)
		f.clock.advance(time.Second)
		is.Equal(len(r.DueProbes()), 1)
		return
	}
	t.Fatal("no router keeps the instance")
}

// Guards against an incarnation that is chosen after it has announced its departure, or while it has turned this router
// away, whatever entries are published and removed, and in whatever order.
func TestDepartedIncarnationIsNeverChosen(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		r, c := testRegistry()
		// until is the end of the time for which an incarnation must not be chosen, as far as this test checks it.
		until := make(map[incarnation]time.Time)
		entry := rapid.Custom(func(t *rapid.T) Instance {
			i := testInstance(rapid.IntRange(0, 2).Draw(t, "instance"))
			i.StartedAt = rapid.Int64Range(1, 3).Draw(t, "start")
			i.Sequence = rapid.Int64Range(1, 6).Draw(t, "sequence")
			i.Leaving = rapid.Bool().Draw(t, "leaving")
			return i
		})
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) { r.ApplyEntry(entry.Draw(t, "entry")) },
			"remove":  func(t *rapid.T) { r.Remove(entry.Draw(t, "entry").ID) },
			"outage":  func(*rapid.T) { r.RecordStoreRecovery() },
			"sweep": func(t *rapid.T) {
				c.advance(time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second)
				r.Sweep(c.now())
			},
			"request": func(t *rapid.T) {
				l := r.Acquire(&Request{Pool: "llm"})
				if l == nil {
					return
				}
				if c.at.Before(until[l.Instance.incarnation()]) || !l.Usable() {
					t.Fatalf("%s was chosen, started at %d", l.Instance.ID, l.Instance.StartedAt)
				}
				if rapid.Bool().Draw(t, "leaves") {
					l.RecordLeaving()
					until[l.Instance.incarnation()] = c.at.Add(announcementTTL)
				}
				if rapid.Bool().Draw(t, "holds off") {
					d := time.Duration(rapid.IntRange(1, 200).Draw(t, "seconds")) * time.Second
					l.RecordHoldOff(d)
					if end := c.at.Add(d); end.After(until[l.Instance.incarnation()]) {
						until[l.Instance.incarnation()] = end
					}
				}
				l.Release(rapid.SampledFrom([]Outcome{Served, Refused, Broken, Unreachable}).Draw(t, "outcome"))
			},
		})
	})
}
