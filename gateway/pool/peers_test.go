package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against every router having to detect the same failing instance itself, and against one router with
// broken links that makes the others stop using all instances.
func TestEjectionsAreSharedBetweenRouters(t *testing.T) {
	is := is.New(t)
	f := newFleet(12)
	failing := f.routers[0].Acquire(testPrompt(1))
	failing.Release(Unreachable)
	f.exchange()
	for range 20 {
		l := f.routers[1].Acquire(testPrompt(1))
		is.True(l.Instance.ID != failing.Instance.ID)
		l.Release(Served)
	}
	f.clock.advance(maxEjection)
	f.exchange()
	is.Equal(f.routers[1].Summary("llm").Usable, 12)
	for n := range 12 {
		f.routers[0].Acquire(testPrompt(uint64(n))).Release(Unreachable)
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

// A plain service runs behind many routers whose load reports are up to four service times old. Guards
// against routers that all avoid the worker that was busy when the reports were made: the busiest worker would
// hold far more than the mean.
func TestStaleLoadReportsDoNotCauseHerding(t *testing.T) {
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
			i := testInstance(n)
			i.Pool, i.Slots = "plain", 6
			r.ApplyEntry(i)
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
	exchangedAt := c.at
	for range perSecond * seconds {
		c.advance(time.Second / perSecond)
		if c.at.Sub(exchangedAt) >= exchange {
			exchangedAt = c.at
			for i, from := range all {
				for j, to := range all {
					if i != j {
						to.SetPeerLoads(fmt.Sprint(i), from.LocalLoads())
					}
				}
			}
		}
		remaining := open[:0]
		for _, o := range open {
			if c.at.Before(o.until) {
				remaining = append(remaining, o)
				continue
			}
			o.lease.Release(Served)
			load[o.lease.Instance.ID]--
		}
		open = remaining
		l := all[random.IntN(routers)].Acquire(&Request{Pool: "plain"})
		excess += float64(load[l.Instance.ID]) - float64(len(open))/workers
		sent++
		load[l.Instance.ID]++
		open = append(open, running{l, c.at.Add(time.Duration(random.ExpFloat64() * float64(service)))})
	}
	// A random choice has no excess, because a request finds the mean load. Herding causes an excess.
	t.Logf("mean excess over the mean load of the pool: %.2f requests", excess/float64(sent))
	is.True(excess/float64(sent) < 0.5)
}

// Guards against a load bound that weakens as load reports age: an instance that another router's report puts
// at the load bound gets no prompt, even when the report is older than the mean service time.
func TestLoadBoundIgnoresReportAge(t *testing.T) {
	is := is.New(t)
	r, c := testRegistry()
	for n := range 4 {
		r.ApplyEntry(testInstance(n))
	}
	preferred := r.Acquire(testPrompt(1))
	c.advance(200 * time.Millisecond)
	preferred.Release(Served) // the mean service time is 0.2 s
	r.SetPeerLoads("p", map[Key]Load{KeyOf(preferred.Instance.ID): {Requests: 12}})
	c.advance(400 * time.Millisecond)
	for range 3 {
		l := r.Acquire(testPrompt(1))
		is.True(l.Instance.ID != preferred.Instance.ID) // the mean is 3, the bound 7.7
		l.Release(Abandoned)
	}
}

// Guards against losing the load of another router when two instances share a key, and against load left
// behind after one of the two has been removed.
func TestKeyCollisionCountsLoadForBothInstances(t *testing.T) {
	is := is.New(t)
	r, _ := testRegistry()
	r.ApplyEntry(testInstance(0))
	r.ApplyEntry(testInstance(1))
	first, second := r.members[testInstance(0).ID], r.members[testInstance(1).ID]
	second.hash = first.hash
	delete(r.byKey, KeyOf(testInstance(1).ID))
	key := keyOf(first.hash)
	r.byKey[key] = append(r.byKey[key], second)

	r.SetPeerLoads("p", map[Key]Load{key: {Requests: 3}})
	is.Equal(first.peer.Requests, 3)
	is.Equal(second.peer.Requests, 3)
	r.drop(first)
	r.SetPeerLoads("p", map[Key]Load{key: {Requests: 1}})
	is.Equal(second.peer.Requests, 1)
	r.drop(second)
	is.Equal(len(r.byKey), 0)
}
