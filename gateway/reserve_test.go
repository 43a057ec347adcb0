package gateway

import (
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
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
			if want := g.registry.KeeperOf(r.instance); r.keeper != want {
				t.Fatalf("round %d: a reservation is with %q, its keeper is %q", round, r.keeper.Name, want.Name)
			}
		}
		clear(g.reservations.open)
	}
}
