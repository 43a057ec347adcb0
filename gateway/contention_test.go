package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jacinthfork.example/jacinthfork/gateway/pool"
	"jacinthfork.example/jacinthfork/verdict"
)

// contended sets for some gateways whether the pool of newEngineFleet is contended by what they know.
func contended(now bool, gateways ...*Gateway) {
	for _, g := range gateways {
		g.registry.SetContended("chat", now)
	}
}

// Guards against a request that is forced onto a full engine, because its gateway does not know yet that the pool is contended
// as the keeper does, or that is refused although a place becomes free in time. The requests after it ask to wait at once.
func TestRequestIsNotForcedOnAnEngineThatItsKeeperLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const places = 2
		fleet := newEngineFleet(2, 1, places, true)
		_, asker := keeperOf(fleet, pool.KeyOf("e-00"))
		contended(false, asker)
		c := newChats()
		for n := range places {
			c.send(context.Background(), fmt.Sprint("runs ", n), newChat(asker, 0, "a", 1), 150*time.Millisecond)
		}
		for n := range places {
			c.send(context.Background(), fmt.Sprint("waits ", n), newChat(asker, 0, "a", 1), 400*time.Millisecond)
		}
		_, held, _ := c.now()
		is.Equal(held, places)
		time.Sleep(200 * time.Millisecond)
		_, held, _ = c.now()
		is.Equal(held, places) // those that have waited
		c.send(context.Background(), "late", newChat(asker, 0, "a", 1), time.Millisecond)
		c.requests.Wait()
		is.Equal(c.most, places)
		for name, err := range c.errs {
			if name == "late" {
				is.Equal(verdict.As(err).Reason, verdict.ReasonOverCapacity) // no place for 200 ms
				continue
			}
			is.NoErr(err)
		}
		checkNothingLeft(t, fleet)
	})
}

// Guards against a keeper that does not know yet that the pool is contended, and refuses a request that asks to wait, or sends it
// to a full engine, or lets requests that do not wait pass it.
func TestRequestWaitsAtAKeeperThatDoesNotKnowOfTheContention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const places = 2
		fleet := newEngineFleet(3, 1, places, true)
		keeper, asker := keeperOf(fleet, pool.KeyOf("e-00"))
		other := fleet[0]
		for _, g := range fleet {
			if g != keeper && g != asker {
				other = g
			}
		}
		contended(false, keeper, other)
		c := newChats()
		for n := range places {
			c.send(context.Background(), fmt.Sprint("runs ", n), newChat(other, 0, "a", 1), 100*time.Millisecond)
		}
		c.send(context.Background(), "waits", newChat(asker, 0, "a", 1), 10*time.Millisecond)
		c.send(context.Background(), "passes", newChat(other, 2, "b", 1), 10*time.Millisecond)
		order, held, _ := c.now()
		is.Equal(held, places)
		is.Equal(len(order), places)
		c.requests.Wait()
		is.Equal(c.most, places)
		is.Equal(c.order[places:], []string{"waits", "passes"})
		for _, err := range c.errs {
			is.NoErr(err)
		}
		checkNothingLeft(t, fleet)
		time.Sleep(time.Second)
		keeper.maintainPlaces()
		is.Equal(len(keeper.places.kept()), 0) // nobody waits, and the pool is not contended
	})
}

// Guards against a keeper that does not know yet that the pool is contended, and sends its own requests to an engine at which
// requests of other gateways wait for a place.
func TestOwnRequestOfTheKeeperDoesNotPassThoseThatWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const places = 2
		fleet := newEngineFleet(2, 1, places, true)
		keeper, asker := keeperOf(fleet, pool.KeyOf("e-00"))
		contended(false, keeper)
		c := newChats()
		for n := range places {
			c.send(context.Background(), fmt.Sprint("runs ", n), newChat(asker, 0, "a", 1), 100*time.Millisecond)
		}
		c.send(context.Background(), "waits", newChat(asker, 0, "a", 1), 10*time.Millisecond)
		time.Sleep(4 * linkDelay)
		c.send(context.Background(), "own", newChat(keeper, 2, "b", 1), 10*time.Millisecond)
		c.requests.Wait()
		is.Equal(c.most, places)
		is.Equal(c.order[places:], []string{"waits", "own"})
		for _, err := range c.errs {
			is.NoErr(err)
		}
		checkNothingLeft(t, fleet)
	})
}

// Guards against requests that wait in vain when the contention ends, and against requests in flight that have no places when it
// begins again, so that the engine gets its places once more.
func TestContentionEndsAndBeginsWhileRequestsWaitAndRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const places = 2
		fleet := newEngineFleet(3, 1, places, true)
		keeper, asker := keeperOf(fleet, pool.KeyOf("e-00"))
		c := newChats()
		for n := range places {
			c.send(context.Background(), fmt.Sprint("runs ", n), newChat(asker, 0, "a", 1), 100*time.Millisecond)
		}
		c.send(context.Background(), "waits", newChat(asker, 0, "a", 1), 300*time.Millisecond)
		contended(false, fleet...)
		keeper.maintainPlaces()
		time.Sleep(120 * time.Millisecond)
		order, held, _ := c.now()
		is.Equal(held, 1)
		is.Equal(order[places], "waits")
		keeper.maintainPlaces()
		is.Equal(len(keeper.places.kept()), 0)
		c.send(context.Background(), "own", newChat(keeper, 0, "a", 1), 100*time.Millisecond) // without a place
		contended(true, fleet...)
		c.send(context.Background(), "next", newChat(asker, 0, "a", 1), time.Millisecond)
		time.Sleep(2 * linkDelay) // it asks for a free place before it waits
		controller, ok := keeper.placesAt(pool.KeyOf("e-00"))
		is.True(ok)
		is.Equal(controller.Load().InFlight, 2)
		is.Equal(controller.Load().Waiting, 1)
		c.requests.Wait()
		is.Equal(c.most, places)
		for _, err := range c.errs {
			is.NoErr(err)
		}
		checkNothingLeft(t, fleet)
	})
}

// Guards against requests that are lost, answered twice or leave a place behind when gateways change their minds about the
// contention at any moment, each on its own.
func TestChangesOfContentionLoseNoRequest(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(31, seed))
			const requests = 120
			fleet := newEngineFleet(4, 3, 4, true)
			c := newChats()
			for n := range requests {
				if random.IntN(3) == 0 {
					contended(random.IntN(2) == 0, fleet[random.IntN(len(fleet))])
				}
				if random.IntN(4) == 0 {
					shareLoads(fleet)
					for _, g := range fleet {
						g.admission.refresh()
						g.maintainPlaces()
					}
				}
				runs := time.Duration(20+random.IntN(150)) * time.Millisecond
				c.send(context.Background(), fmt.Sprint(n), newChat(fleet[random.IntN(len(fleet))], random.IntN(3), "a", uint64(random.IntN(5))), runs)
			}
			c.requests.Wait()
			served := make(map[string]bool)
			for _, name := range c.order {
				if served[name] {
					t.Errorf("seed %d: request %s ran twice", seed, name)
				}
				served[name] = true
			}
			for n := range requests {
				err, answered := c.errs[fmt.Sprint(n)]
				if !answered || (err == nil) != served[fmt.Sprint(n)] {
					t.Errorf("seed %d: request %d: answered %v with %v, ran %v", seed, n, answered, err, served[fmt.Sprint(n)])
				}
				if err != nil && verdict.As(err).Reason != verdict.ReasonOverCapacity {
					t.Errorf("seed %d: request %d: %v", seed, n, err)
				}
			}
			checkNothingLeft(t, fleet)
		})
	}
}
