package gateway

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"jacinthfork.example/jacinthfork/gateway/peer/peerpb"
	"jacinthfork.example/jacinthfork/gateway/pool"
)

// plainWorkers returns instances of a plain service.
func plainWorkers(n int) []pool.Instance {
	var out []pool.Instance
	for n := range n {
		out = append(out, pool.Instance{ID: fmt.Sprintf("w-%d", n), Pool: "plain", Slots: workerSlots, StartedAt: 1, Sequence: 1})
	}
	return out
}

// setFleet makes a gateway of a simulated fleet know the given routers.
func (g *Gateway) setFleet(node string, routers []pool.Router) {
	g.registry.SetFleet(node, routers)
	g.reservations.moveToKeepers()
}

// Guards against instances that get more than their load bound because a router that joins and keeps them from then on is
// not told of the requests that their keeper so far has in flight there itself. It also guards against such requests that
// count twice, or for ever, when that one keeps the instances again.
func TestNewKeeperIsToldOfTheFormerKeepersOwnRequests(t *testing.T) {
	const requests = 2 * 16
	type acquired struct {
		lease *pool.Lease
		place *reservation
	}
	kinds := map[string]func(s *requestState) (a acquired){
		"model": func(s *requestState) (a acquired) {
			a.lease, a.place = s.reserve(context.Background())
			return a
		},
		"plain": func(s *requestState) (a acquired) {
			a.lease, a.place, _ = s.acquirePlace(context.Background())
			return a
		},
	}
	for kind, acquire := range kinds {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newPlainFleet(2, plainWorkers(16))
				first, joining := fleet[0], fleet[1]
				both := []pool.Router{{Name: "r-000"}, {Name: "r-001"}}
				first.setFleet("r-000", both[:1])
				var open []acquired
				end := func() {
					first.reservations.end(open[0].place, pool.Served)
					open[0].lease.Release(pool.Served)
					open = open[1:]
				}
				check := func(when string) {
					t.Helper()
					time.Sleep(5 * linkDelay)
					want := 0
					for _, a := range open {
						if !first.keeps(pool.KeyOf(a.lease.Instance.ID)) {
							want++
						}
					}
					if got := joining.ReservedPlaces(); got != want {
						t.Errorf("%s: the other keeper counts %d requests, want %d of %d", when, got, want, len(open))
					}
					if got := first.ReservedPlaces(); got != 0 {
						t.Errorf("%s: the router counts %d requests of its own as those of others", when, got)
					}
				}
				for range requests {
					a := acquire(&requestState{g: first, table: first.table.Load(), pool: "plain", start: time.Now()})
					if a.lease == nil {
						t.Fatal("no instance")
					}
					open = append(open, a)
				}
				first.setFleet("r-000", both)
				check("after the other one joined")
				for range requests / 2 {
					end()
				}
				check("after half of the requests")
				first.setFleet("r-000", both[:1])
				check("after the other one left")
				first.setFleet("r-000", both)
				check("after it joined again")
				for len(open) > 0 {
					end()
				}
				check("at the end")
				if left := len(first.reservations.open); left != 0 {
					t.Errorf("%d reservations are left", left)
				}
			})
		})
	}
}

// Guards against a place that its keeper does not count, because the keeper changed between the choice of the keeper and the
// registration of the reservation, so that the change passed it by.
func TestReservationsAreRegisteredAtTheirKeeper(t *testing.T) {
	const rounds, beginners, begun = 500, 4, 50
	g := newPlainFleet(4, plainWorkers(16))[0]
	g.reservations.fleet = &toldLink{keeperLink: g.keepers, tell: func(string, *peerpb.Message) {}}
	all := []pool.Router{{Name: "r-000"}, {Name: "r-001"}, {Name: "r-002"}, {Name: "r-003"}}
	for round := range rounds {
		var beginning sync.WaitGroup
		var registered atomic.Int32
		for range beginners {
			beginning.Go(func() {
				for range begun {
					lease := g.registry.Acquire(&pool.Request{Pool: "plain"})
					g.reservations.begin(lease, time.Minute)
					lease.Release(pool.Abandoned)
					registered.Add(1)
				}
			})
		}
		for registered.Load() < beginners*begun/2 {
			runtime.Gosched()
		}
		g.setFleet("r-000", all[:2+round%3])
		beginning.Wait()
		for _, r := range g.reservations.open {
			if want := g.registry.KeeperOf(r.id); r.keeper != want {
				t.Fatalf("round %d: a reservation is with %q, its keeper is %q", round, r.keeper.Name, want.Name)
			}
		}
		clear(g.reservations.open)
	}
}

// Guards against a place that stays taken until the time limit of a request whose router is gone: the request waited for it
// when the router was lost or restarted. It also guards against a refusal where the service has room, if it was not lost.
func TestRequestsOfGoneRoutersDoNotWaitForPlaces(t *testing.T) {
	self, asker := &peerpb.Member{Node: "r-000"}, &peerpb.Member{Node: "asker", Incarnation: 1}
	for name, alive := range map[string][]*peerpb.Member{"lost": {self}, "restarted": {self, {Node: "asker", Incarnation: 2}}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				workers := plainWorkers(16)
				keeper := newPlainFleet(1, workers)[0]
				keeper.settings.Node, keeper.settings.FirstStart = "r-000", true
				keeper.MembersChanged([]*peerpb.Member{self, asker}, nil, 0)
				kept := slices.IndexFunc(workers, func(w pool.Instance) bool { return keeper.keeps(pool.KeyOf(w.ID)) })
				instance := pool.KeyOf(workers[kept].ID)
				controller, _ := keeper.placesAt(instance)
				capacity := placeCapacity(workerSlots)
				for n := range capacity {
					if err := keeper.places.wait(keeper.places.enter(t.Context(), placeHolder{sequence: uint64(n)}), controller, placeRequestOf(0, 0, 0, time.Second)); err != nil {
						t.Fatal(err)
					}
				}
				answered := false
				keeper.Reserve("asker", &peerpb.Reserve{Sequence: 7, Instance: uint32(instance), WaitMs: 100, TtlMs: 60_000}, func(*peerpb.Reserved) { answered = true })
				synctest.Wait()
				if waiting := controller.Load().Waiting; waiting != 1 {
					t.Fatalf("%d requests wait, want 1", waiting)
				}
				keeper.MembersChanged(alive, nil, 0)
				keeper.places.release(placeHolder{sequence: 0}, true)
				synctest.Wait()
				if holds, taken := keeper.ReservedPlaces(), controller.Load().InFlight; holds != 0 || taken != capacity-1 {
					t.Errorf("the router that is gone has %d reservations; %d places are taken, want %d", holds, taken, capacity-1)
				}
				if answered {
					t.Error("the request was refused, whose router may have been taken for lost by mistake")
				}
			})
		})
	}
}

// Guards against instances that get more than their load bound after a router was taken for lost, when it was frozen or cut
// off for a moment: its keepers have given back its places, and its requests are still in flight. It also guards against a
// request that waits for its place being taken for one that has it.
func TestRouterThatWasTakenForLostTellsItsKeepersAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newPlainFleet(2, plainWorkers(16))
		asker, keeper := fleet[0], fleet[1]
		for n, g := range fleet {
			g.settings.Node, g.settings.FirstStart = fmt.Sprintf("r-%03d", n), true
		}
		both := []*peerpb.Member{{Node: "r-000"}, {Node: "r-001"}}
		asker.MembersChanged(both, nil, 0)
		const requests = 32
		held := 0
		for range requests {
			lease, place := (&requestState{g: asker, table: asker.table.Load(), pool: "plain", start: time.Now()}).reserve(context.Background())
			if keeper.keeps(place.instance) {
				held++
			}
			defer asker.reservations.end(place, pool.Served)
			defer lease.Release(pool.Served)
		}
		if got := keeper.ReservedPlaces(); got != held || held == 0 {
			t.Fatalf("%d places, want %d", got, held)
		}
		waits := asker.reservations.begin(asker.registry.Acquire(&pool.Request{Pool: "plain"}), time.Minute)
		for waits.keeper.Name == "" {
			waits = asker.reservations.begin(asker.registry.Acquire(&pool.Request{Pool: "plain"}), time.Minute)
		}
		keeper.MembersChanged(both[1:], nil, 1)
		refuted := []*peerpb.Member{{Node: "r-000", Version: 1}, both[1]}
		asker.MembersChanged(refuted, nil, 0)
		keeper.MembersChanged(refuted, nil, 0)
		asker.reservations.tellKeepers()
		time.Sleep(5 * linkDelay)
		if got := keeper.ReservedPlaces(); got != held {
			t.Errorf("the keeper counts %d requests after the router was taken for lost, want %d", got, held)
		}
	})
}

// Guards against an instance of a plain service that holds twice what it has places for after its keeper has changed: the next
// one, which may be any router, gave away the places of the requests in flight.
func TestNextKeeperKnowsThePlacesThatAreTaken(t *testing.T) {
	for sender := range 3 {
		t.Run(fmt.Sprintf("sent by router %d", sender), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				worker := plainWorkers(1)[0]
				fleet := newPlainFleet(3, []pool.Instance{worker})
				keeper, _ := keeperOf(fleet, pool.KeyOf(worker.ID))
				var mu sync.Mutex
				inFlight, most := 0, 0
				var requests sync.WaitGroup
				send := func(g *Gateway, n int) {
					for range n {
						requests.Go(func() {
							_ = g.sendPlain("", func(string) {
								mu.Lock()
								inFlight++
								most = max(most, inFlight)
								mu.Unlock()
								time.Sleep(objective)
								mu.Lock()
								inFlight--
								mu.Unlock()
							})
						})
					}
				}
				capacity := placeCapacity(workerSlots)
				send(fleet[sender], capacity)
				time.Sleep(5 * linkDelay)
				mu.Lock()
				before := inFlight
				mu.Unlock()
				if before != capacity {
					t.Fatalf("%d requests run, want %d", before, capacity)
				}
				var left []pool.Router
				for n, g := range fleet {
					if g != keeper {
						left = append(left, pool.Router{Name: fmt.Sprintf("r-%03d", n)})
					}
				}
				for n, g := range fleet {
					g.setFleet(fmt.Sprintf("r-%03d", n), left)
				}
				time.Sleep(5 * linkDelay)
				for _, g := range fleet {
					send(g, capacity)
				}
				requests.Wait()
				if most != capacity {
					t.Errorf("the worker held %d requests, want %d at most", most, capacity)
				}
				time.Sleep(5 * linkDelay)
				for n, g := range fleet {
					if holds, entries := g.ReservedPlaces(), len(g.places.requests); holds != 0 || entries != 0 {
						t.Errorf("router %d has %d reservations and %d places at the end", n, holds, entries)
					}
				}
			})
		})
	}
}

// Guards against the same at a router that has just started: it is told of the requests in flight before it knows the
// instance.
func TestPlacesTakenBeforeTheInstanceIsKnownCount(t *testing.T) {
	worker := plainWorkers(1)[0]
	keeper := newPlainFleet(1, nil)[0]
	capacity := placeCapacity(workerSlots)
	ask := func(sequence uint64, forced bool) (granted bool) {
		keeper.Reserve("asker", &peerpb.Reserve{Sequence: sequence, Instance: uint32(pool.KeyOf(worker.ID)), Forced: forced, TtlMs: 60_000}, func(a *peerpb.Reserved) { granted = a.GetGranted() })
		return granted
	}
	for n := range capacity - 1 {
		ask(uint64(1+n), true)
	}
	keeper.registry.ApplyEntry(worker)
	if !ask(100, false) {
		t.Error("the last place was refused")
	}
	if ask(101, false) {
		t.Error("a place was granted that is taken")
	}
	keeper.Release("asker", 1, peerpb.Outcome_SERVED)
	if !ask(102, false) {
		t.Error("a place that was given back was refused")
	}
}

// Guards against a place that its keeper does not count any more, because the membership changed while the entry of the instance
// had lapsed at the router whose request is in flight there.
func TestPlacesStayTakenWhenTheFleetChangesDuringALapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := plainWorkers(16)
		fleet := newPlainFleet(2, workers)
		asker, keeper := fleet[0], fleet[1]
		both := []pool.Router{{Name: "r-000"}, {Name: "r-001"}}
		held := 0
		for range 32 {
			lease, place := (&requestState{g: asker, table: asker.table.Load(), pool: "plain", start: time.Now()}).reserve(context.Background())
			if keeper.keeps(place.instance) {
				held++
			}
			defer asker.reservations.end(place, pool.Served)
			defer lease.Release(pool.Served)
		}
		for _, w := range workers {
			asker.registry.Remove(w.ID)
		}
		asker.setFleet("r-000", both)
		for _, w := range workers {
			asker.registry.ApplyEntry(w)
		}
		time.Sleep(5 * linkDelay)
		if got := keeper.ReservedPlaces(); got != held || held == 0 {
			t.Errorf("the keeper counts %d requests, want %d", got, held)
		}
	})
}

// cutLink is a link that can be cut.
type cutLink struct {
	keeperLink
	cut bool
}

func (l *cutLink) Tell(node string, m *peerpb.Message) (sent bool) {
	return !l.cut && l.keeperLink.Tell(node, m)
}

// Guards against places that stay taken until the time limits of their requests, because there was no link to the keeper when
// they ended, and against the late news of an end that gives back the place of a request that has returned to its keeper.
func TestEndsWithoutALinkAreToldLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newPlainFleet(2, plainWorkers(16))
		asker, keeper := fleet[0], fleet[1]
		link := &cutLink{keeperLink: asker.keepers}
		asker.reservations.fleet = link
		both := []pool.Router{{Name: "r-000"}, {Name: "r-001"}}
		var places []*reservation
		for range 32 {
			_, place := (&requestState{g: asker, table: asker.table.Load(), pool: "plain", start: time.Now()}).reserve(context.Background())
			if keeper.keeps(place.instance) {
				places = append(places, place)
			}
		}
		check := func(when string, want int) {
			t.Helper()
			asker.reservations.tellKeepers()
			time.Sleep(5 * linkDelay)
			if got := keeper.ReservedPlaces(); got != want {
				t.Errorf("%s: the keeper counts %d requests, want %d", when, got, want)
			}
		}
		held := len(places)
		link.cut = true
		asker.reservations.end(places[0], pool.Served)
		check("while the link is cut", held)
		link.cut = false
		check("after it", held-1)
		link.cut = true
		asker.setFleet("r-000", both[:1])
		asker.reservations.end(places[1], pool.Served)
		asker.setFleet("r-000", both)
		link.cut = false
		check("after the keeper was lost and is back", held-2)
		for _, place := range places[2:] {
			asker.reservations.end(place, pool.Served)
		}
		check("at the end", 0)
	})
}
