package gateway

import (
	"context"
	"expvar"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jacinthfork.example/jacinthfork/gateway/peer/peerpb"
	"jacinthfork.example/jacinthfork/gateway/pool"
	"jacinthfork.example/jacinthfork/verdict"
)

// chats are requests to engines that count what the engines hold.
type chats struct {
	requests sync.WaitGroup
	mu       sync.Mutex
	held     map[string]int
	most     int
	order    []string
	errs     map[string]error
}

func newChats() *chats { return &chats{held: make(map[string]int), errs: make(map[string]error)} }

// now returns the names of the requests that were sent, how many an engine holds and how many one has held at most.
func (c *chats) now() (order []string, held, most int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.order), c.held["e-00"], c.most
}

// send sends a request that runs for some time.
func (c *chats) send(ctx context.Context, name string, s *requestState, runs time.Duration) {
	c.requests.Go(func() {
		err := s.serve(ctx, func(engine string) {
			c.mu.Lock()
			c.order = append(c.order, name)
			c.held[engine]++
			c.most = max(c.most, c.held[engine])
			c.mu.Unlock()
			time.Sleep(runs)
			c.mu.Lock()
			c.held[engine]--
			c.mu.Unlock()
		})
		c.mu.Lock()
		defer c.mu.Unlock()
		c.errs[name] = err
	})
	time.Sleep(3 * linkDelay)
}

// checkNothingLeft checks that no gateway counts a request or a place any more.
func checkNothingLeft(t *testing.T, fleet []*Gateway) {
	t.Helper()
	time.Sleep(10 * linkDelay)
	for n, g := range fleet {
		g.reservations.tellKeepers()
		g.maintainPlaces()
		time.Sleep(5 * linkDelay)
		g.maintainPlaces()
		if holds, entries, open := g.ReservedPlaces(), len(g.places.requests), len(g.reservations.open); holds != 0 || entries != 0 || open != 0 {
			t.Errorf("gateway %d has %d reservations of others, %d places and %d reservations of its own at the end", n, holds, entries, open)
		}
		for _, load := range g.registry.LocalLoad() {
			t.Errorf("gateway %d counts %d requests at the end", n, load.Requests)
		}
		g.metrics.placeQueue.Do(func(kv expvar.KeyValue) {
			if strings.HasPrefix(kv.Key, "waiting/") && kv.Value.String() != "0" {
				t.Errorf("gateway %d: the counter %s is %s at the end", n, kv.Key, kv.Value)
			}
		})
		for key := range g.places.instances {
			if controller, ok := g.placesAt(key); ok && (controller.Load().InFlight != 0 || controller.Load().Waiting != 0) {
				t.Errorf("gateway %d: %+v at the end", n, controller.Load())
			}
		}
	}
}

// routersOf returns the routers of a fleet without some.
func routersOf(fleet []*Gateway, without ...*Gateway) []pool.Router {
	var out []pool.Router
	for n, g := range fleet {
		if !slices.Contains(without, g) {
			out = append(out, pool.Router{Name: fmt.Sprintf("r-%03d", n)})
		}
	}
	return out
}

// Guards against requests in flight that are lost or count twice when their pool becomes paced, at some gateways sooner than at
// others, and against an engine that gets its places once more.
func TestPoolBecomesPacedWhileRequestsRun(t *testing.T) {
	for first := range 3 {
		t.Run(fmt.Sprint("first at gateway ", first), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const places = 6
				fleet := newEngineFleet(3, 1, places, false)
				keeper, _ := keeperOf(fleet, pool.KeyOf("e-00"))
				c := newChats()
				for n := range places {
					c.send(context.Background(), fmt.Sprint("before ", n), newChat(fleet[n%3], 0, "a", 1), time.Second)
				}
				setPaced(fleet[first], "chat", true)
				for n := range fleet {
					c.send(context.Background(), fmt.Sprint("between ", n), newChat(fleet[n], 2, "a", 1), time.Second)
				}
				_, _, between := c.now()
				for _, g := range fleet {
					setPaced(g, "chat", true)
				}
				shareLoads(fleet)
				keeper.maintainPlaces()
				for n := range 3 * places {
					c.send(context.Background(), fmt.Sprint("after ", n), newChat(fleet[n%3], 2, "a", 1), time.Second)
					keeper.maintainPlaces()
				}
				controller, ok := keeper.placesAt(pool.KeyOf("e-00"))
				_, held, _ := c.now()
				if !ok || controller.Load().InFlight != held {
					t.Errorf("the keeper counts %d requests, the engine holds %d", controller.Load().InFlight, held)
				}
				c.requests.Wait()
				if c.most > max(places, between) {
					t.Errorf("the engine held %d requests after the change, %d before", c.most, between)
				}
				checkNothingLeft(t, fleet)
			})
		})
	}
}

// Guards against requests that have no place because they were sent while the pool did not count as paced for a moment.
func TestRequestsOfAnUnpacedMomentGetPlaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newEngineFleet(2, 1, 4, true)
		keeper, asker := keeperOf(fleet, pool.KeyOf("e-00"))
		c := newChats()
		c.send(context.Background(), "before", newChat(asker, 0, "a", 1), time.Second)
		for n, paced := range []bool{false, true} {
			for _, g := range fleet {
				setPaced(g, "chat", paced)
			}
			c.send(context.Background(), fmt.Sprint(n, " other"), newChat(asker, 0, "a", 1), time.Second)
			c.send(context.Background(), fmt.Sprint(n, " own"), newChat(keeper, 0, "a", 1), time.Second)
		}
		keeper.maintainPlaces()
		controller, _ := keeper.placesAt(pool.KeyOf("e-00"))
		_, held, _ := c.now()
		if taken := controller.Load().InFlight; taken != held {
			t.Errorf("%d places are taken, the engine holds %d", taken, held)
		}
		c.requests.Wait()
		checkNothingLeft(t, fleet)
	})
}

// Guards against a request that is sent from one engine at the load bound to the next without end: it is granted a free place once it
// waits for one.
func TestLoadBoundSendsRequestsOnOnlyWhileOthersHavePlaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newEngineFleet(2, 1, 20, true)
		keeper, _ := keeperOf(fleet, pool.KeyOf("e-00"))
		ask := func(sequence uint64, waitMs uint32) (answer *peerpb.Reserved) {
			m := &peerpb.Reserve{Sequence: sequence, Instance: uint32(pool.KeyOf("e-00")), WaitMs: waitMs, TtlMs: 1000, Ids: []uint64{1}, Tokens: []uint32{100}}
			keeper.Reserve("asker", m, func(a *peerpb.Reserved) { answer = a })
			synctest.Wait()
			return answer
		}
		for n := uint64(1); !keeper.registry.AtBound(pool.KeyOf("e-00")); n++ {
			is.True(ask(n, 0).GetGranted())
		}
		refused := ask(100, 0)
		is.True(!refused.GetGranted())
		is.Equal(refused.GetRetryAfterMs(), uint32(0)) // not for want of a place
		is.True(ask(101, 50).GetGranted())
	})
}

// Guards against a keeper whose own waiting requests count as requests that the engine holds: it would refuse those of others
// that have just got a place, and serve its own less urgent ones before.
func TestOwnWaitingRequestsOfTheKeeperHoldNoPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newEngineFleet(2, 1, 1, true)
		keeper, asker := keeperOf(fleet, pool.KeyOf("e-00"))
		c := newChats()
		c.send(context.Background(), "runs", newChat(asker, 0, "a", 1), 100*time.Millisecond)
		for n := range 3 {
			c.send(context.Background(), fmt.Sprint("own ", n), newChat(keeper, 2, "b", 1), 10*time.Millisecond)
		}
		c.send(context.Background(), "urgent", newChat(asker, 0, "a", 1), 10*time.Millisecond)
		if load := keeper.registry.LocalLoad(); len(load) != 0 {
			t.Errorf("the requests of the keeper, which all wait, count as load %v", load)
		}
		c.requests.Wait()
		is.Equal(c.order[:2], []string{"runs", "urgent"})
		for _, err := range c.errs {
			is.NoErr(err)
		}
		checkNothingLeft(t, fleet)
	})
}

// Guards against requests that wait although their engine's limit has grown, and against an engine that gets more requests
// than its limit after that has shrunk.
func TestPlacesFollowTheLimitOfTheEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newEngineFleet(2, 1, 1, true)
		keeper, asker := keeperOf(fleet, pool.KeyOf("e-00"))
		limit := func(places int, sequence int64) {
			for _, g := range fleet {
				g.registry.ApplyEntry(pool.Instance{ID: "e-00", Pool: "chat", Slots: places, StartedAt: 1, Sequence: sequence})
			}
			keeper.maintainPlaces()
			time.Sleep(5 * linkDelay)
		}
		c := newChats()
		for n := range 4 {
			c.send(context.Background(), fmt.Sprint(n), newChat(asker, 2, "a", 1), 400*time.Millisecond)
		}
		limit(3, 2)
		_, held, _ := c.now()
		is.Equal(held, 3)
		limit(2, 3)
		time.Sleep(400 * time.Millisecond)
		_, held, _ = c.now()
		is.Equal(held, 1)
		c.requests.Wait()
		checkNothingLeft(t, fleet)
	})
}

// Guards against gateways that take a prompt for cached at all engines that had no place for it, and against requests that wait
// being counted among the prompts that an engine computes.
func TestRefusedPromptsCountNowhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newEngineFleet(2, 1, 1, true)
		_, asker := keeperOf(fleet, pool.KeyOf("e-00"))
		c := newChats()
		c.send(context.Background(), "runs", newChat(asker, 0, "a", 1), time.Second)
		c.send(context.Background(), "waits", newChat(asker, 0, "a", 2), time.Second)
		lease := asker.registry.Acquire(&pool.Request{Pool: "chat", Parts: []pool.PromptPart{{ID: 2, Tokens: 1000}}, Tokens: 1000})
		is.Equal(lease.CachedTokens, 0)
		is.Equal(lease.Load, 1.)
		lease.Release(pool.Abandoned)
		c.requests.Wait()
		is.Equal(verdict.As(c.errs["waits"]).Reason, verdict.ReasonOverCapacity)
		checkNothingLeft(t, fleet)
	})
}

// Guards against requests of a patient route that give up at the objective of another route to the same pool, and against an
// offer to another engine that waits for a place as long as a request.
func TestRequestsWaitByTheirOwnObjective(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newEngineFleet(2, 1, 1, true)
		_, asker := keeperOf(fleet, pool.KeyOf("e-00"))
		c := newChats()
		c.send(context.Background(), "runs", newChat(asker, 0, "a", 1), 2*time.Second)
		waited := func(priority int, offering bool) time.Duration {
			s := newChat(asker, priority, "a", 1)
			s.offering = offering
			began := time.Now()
			_, _, err := s.acquire(context.Background())
			is.Equal(verdict.As(err).Reason, verdict.ReasonOverCapacity)
			return time.Since(began)
		}
		is.True(waited(0, false) <= 200*time.Millisecond+10*linkDelay)
		patient := waited(2, false)
		is.True(patient >= 600*time.Millisecond && patient <= 600*time.Millisecond+10*linkDelay)
		is.True(waited(2, true) <= offerPlaceWait+10*linkDelay)
		keeper, _ := keeperOf(fleet, pool.KeyOf("e-00"))
		is.True(keeper.metrics.placeQueue.Get("waiting/2") != nil)
		c.requests.Wait()
		checkNothingLeft(t, fleet)
	})
}

// Guards against requests that wait, or are refused, because of a few full engines in a pool that has room, and against requests
// that keep the keepers of a full pool busy with their questions.
func TestPlaceSearchWaitsSoonOnlyInAFullPool(t *testing.T) {
	is := is.New(t)
	full, other := &pool.Answer{RetryAfter: time.Second}, &pool.Answer{}
	for poolFull, asks := range map[bool]int{true: unwaitedAsks, false: maxReservations} {
		p := placeSearch{poolFull: poolFull}
		is.True(p.waits(true)) // all have just refused
		for range asks {
			is.True(!p.waits(false))
			is.True(!p.refused(full, false, true))
		}
		is.True(p.waits(false))
		for range waitedAsks - 1 {
			is.True(!p.refused(full, true, true))
		}
		is.True(p.refused(full, true, true))
		is.Equal(p.retryAfter, full.RetryAfter)
	}
	is.True((&placeSearch{saturated: true, poolFull: true}).waits(false))
	is.True(!(&placeSearch{saturated: true}).waits(false))
	is.True((&placeSearch{saturated: true, poolFull: true}).refused(full, true, true)) // one queue of a pool that was just found full
	is.True(!(&placeSearch{saturated: true}).refused(full, true, true))
	p := placeSearch{poolFull: true}
	is.True(!p.refused(other, true, true))
	is.True(p.refused(full, true, false)) // its time is over
}
