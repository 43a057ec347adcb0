package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"jacinthfork.example/jacinthfork/gateway/extrawork"
	"jacinthfork.example/jacinthfork/gateway/peer/peerpb"
	"jacinthfork.example/jacinthfork/gateway/pool"
	"jacinthfork.example/jacinthfork/gateway/routes"
	"jacinthfork.example/jacinthfork/kernel"
)

// simulatedLink connects the gateways of a simulated fleet in the virtual time of a test.
type simulatedLink struct {
	fleet map[string]*Gateway
	node  string
	// unanswered is the share of questions that are not answered in time.
	unanswered float64
	// lostEnds is the share of ends of reservations that are lost with a link, reportsLost whether that is reported as in package
	// peer.
	lostEnds    float64
	reportsLost bool
	// delay is how long a message takes, linkDelay if it is nil.
	delay func() time.Duration
	// undelivered holds an element for each message of Tell that is not handled yet.
	undelivered chan struct{}
	mu          sync.Mutex
	random      *rand.Rand
	sequence    uint64
}

func (l *simulatedLink) lost() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.Float64() < l.unanswered
}

func (l *simulatedLink) drops() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.Float64() < l.lostEnds
}

func (l *simulatedLink) messageDelay() time.Duration {
	if l.delay == nil {
		return linkDelay
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.delay()
}

func (l *simulatedLink) NextSequence() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	return l.sequence
}

func (l *simulatedLink) Reserve(ctx context.Context, node string, r *peerpb.Reserve) (*peerpb.Reserved, bool) {
	if l.lost() {
		time.Sleep(answerTimeout)
		return nil, false
	}
	time.Sleep(l.messageDelay())
	answers := make(chan *peerpb.Reserved, 1)
	l.fleet[node].Reserve(l.node, r, func(a *peerpb.Reserved) { answers <- a })
	select {
	case a := <-answers:
		time.Sleep(l.messageDelay())
		return a, true
	case <-ctx.Done():
		return nil, false
	}
}

func (l *simulatedLink) Locate(context.Context, string, *peerpb.Locate) (*peerpb.Located, bool) {
	return nil, false
}

// Tell waits while maxUndelivered messages are not handled yet.
func (l *simulatedLink) Tell(node string, m *peerpb.Message) (sent bool) {
	if m.GetReleased() != 0 && l.drops() {
		if l.reportsLost {
			time.AfterFunc(linkDelay, func() { l.fleet[l.node].Undelivered(node, m) })
		}
		return true
	}
	l.undelivered <- struct{}{}
	time.AfterFunc(l.messageDelay(), func() {
		defer func() { <-l.undelivered }()
		if o := m.GetObserved(); o != nil {
			l.fleet[node].Observe(o)
		}
		if r := m.GetReserve(); r != nil {
			l.fleet[node].Reserve(l.node, r, nil)
		}
		if m.GetReleased() != 0 {
			l.fleet[node].Release(l.node, m.GetReleased(), m.GetOutcome())
		}
	})
	return true
}

// newPlainFleet returns gateways before the workers of a plain service. They do no I/O.
func newPlainFleet(routers int, workers []pool.Instance) []*Gateway {
	return newSimulatedFleet(routers, workers, routes.Spec{
		Version: 1, Pools: []*routes.Pool{{Name: "plain"}},
		Routes: []*routes.Route{{Name: "r", Host: "h", Prefix: "/", LatencyObjective: objective, MaxAttempts: 1, Targets: []routes.Target{{Pool: "plain", Weight: 1}}}},
	})
}

// newSimulatedFleet returns gateways before some instances. They do no I/O.
func newSimulatedFleet(routers int, workers []pool.Instance, spec routes.Spec) []*Gateway {
	fleet := make(map[string]*Gateway)
	var names []pool.Router
	for n := range routers {
		names = append(names, pool.Router{Name: fmt.Sprintf("r-%03d", n)})
	}
	table, err := routes.New(spec)
	if err != nil {
		panic(err)
	}
	var out []*Gateway
	for _, name := range names {
		g := &Gateway{registry: pool.NewRegistry(pool.DefaultSettings(), "a"), places: newPlaces(), extraWork: extrawork.New(extrawork.Settings{}), metrics: newMetrics(kernel.NewCounters())}
		g.keepers = &simulatedLink{
			fleet: fleet, node: name.Name, random: rand.New(rand.NewPCG(61, uint64(len(out)))), undelivered: make(chan struct{}, maxUndelivered),
		}
		g.places.onQueue = g.metrics.recordQueueEvent
		g.reservations = newReservations(g.registry, g.keepers, g.places)
		g.admission = newAdmissionControllers(g.registry)
		g.admission.configure(table)
		g.table.Store(table)
		for _, w := range workers {
			g.registry.ApplyEntry(w)
		}
		g.registry.SetFleet(name.Name, names)
		fleet[name.Name] = g
		out = append(out, g)
	}
	return out
}

// shareLoads tells all gateways the load of the fleet, as the tree does.
func shareLoads(fleet []*Gateway) {
	total := make(map[uint32]pool.PoolLoad)
	for _, g := range fleet {
		for hash, load := range g.registry.LocalLoad() {
			total[hash] = total[hash].Add(load)
		}
	}
	for _, g := range fleet {
		g.registry.SetFleetLoad(total)
	}
}
