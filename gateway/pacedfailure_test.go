package gateway

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jacinthfork.example/jacinthfork/gateway/peer/peerpb"
	"jacinthfork.example/jacinthfork/gateway/pool"
	"jacinthfork.example/jacinthfork/verdict"
)

// failingLink is a link to other gateways that fails for questions to some of them.
type failingLink struct {
	keeperLink
	mu sync.Mutex
	// lost ends the questions to a node at once, silent lets them run into their time limit, after which the node is not asked
	// for a while, as in package peer.
	lost       map[string]chan struct{}
	silent     bool
	avoidUntil time.Time
	// cut is set while there is no link.
	cut bool
}

func (l *failingLink) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

func (l *failingLink) Reserve(ctx context.Context, node string, r *peerpb.Reserve) (*peerpb.Reserved, bool) {
	if l.isCut() {
		return nil, false
	}
	if l.silent {
		if !l.avoids() {
			time.Sleep(answerTimeout + time.Duration(r.GetWaitMs())*time.Millisecond)
			l.avoid()
		}
		return nil, false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if lost := l.lost[node]; lost != nil {
		stop := make(chan struct{})
		defer close(stop)
		go func() {
			select {
			case <-lost:
				cancel()
			case <-stop:
			}
		}()
	}
	return l.keeperLink.Reserve(ctx, node, r)
}

func (l *failingLink) avoids() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !time.Now().After(l.avoidUntil)
}

func (l *failingLink) avoid() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.avoidUntil = time.Now().Add(500 * time.Millisecond)
}

func (l *failingLink) Tell(node string, m *peerpb.Message) bool {
	return !l.isCut() && l.keeperLink.Tell(node, m)
}

// wrapLink makes a gateway use a failing link.
func wrapLink(g *Gateway) *failingLink {
	l := &failingLink{keeperLink: g.keepers, lost: make(map[string]chan struct{})}
	g.keepers, g.reservations.fleet = l, l
	return l
}

// Guards against the queue of an engine being lost with its keeper: its requests ask the next keeper at once, which knows of
// those in flight, so that the engine holds no more than it serves in time.
func TestQueueOfALostKeeperMovesToTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const places, waiting = 2, 4
		fleet := newEngineFleet(3, 1, places, true)
		keeper, asker := keeperOf(fleet, pool.KeyOf("e-00"))
		lost, lostName := make(chan struct{}), ""
		for n, g := range fleet {
			if g == keeper {
				lostName = fmt.Sprintf("r-%03d", n)
			}
		}
		for _, g := range fleet {
			if g != keeper {
				wrapLink(g).lost[lostName] = lost
			}
		}
		third := fleet[slices.IndexFunc(fleet, func(g *Gateway) bool { return g != keeper && g != asker })]
		c := newChats()
		for n := range places {
			c.send(context.Background(), fmt.Sprint("runs ", n), newChat(third, 2, "a", 1), 100*time.Millisecond)
		}
		for n := range waiting {
			c.send(context.Background(), fmt.Sprint("waits ", n), newChat(asker, 2, "a", 1), 100*time.Millisecond)
		}
		left := routersOf(fleet, keeper)
		for n, g := range fleet {
			if g != keeper {
				g.setFleet(fmt.Sprintf("r-%03d", n), left)
			}
		}
		close(lost)
		c.requests.Wait()
		for name, err := range c.errs {
			if err != nil {
				t.Errorf("request %s was refused: %v", name, err)
			}
		}
		if c.most > places {
			t.Errorf("the engine held %d requests, want %d", c.most, places)
		}
		checkNothingLeft(t, slices.DeleteFunc(slices.Clone(fleet), func(g *Gateway) bool { return g == keeper }))
	})
}

// Guards against requests that depend on a keeper which does not answer: they go to the next engine, or decide by the totals
// that the gateways exchange, by which a full pool gets no more.
func TestSilentKeepersLeaveTheDecisionToTheGateway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newEngineFleet(2, 2, 2, true)
		asker := fleet[0]
		if asker.keeps(pool.KeyOf("e-00")) || asker.keeps(pool.KeyOf("e-01")) {
			asker = newOutsider(fleet)
		}
		wrapLink(asker).silent = true
		c := newChats()
		began := time.Now()
		c.send(context.Background(), "free", newChat(asker, 0, "a", 1), time.Second)
		time.Sleep(200 * time.Millisecond)
		order, _, _ := c.now()
		is.Equal(order, []string{"free"})
		for _, g := range fleet {
			g.registry.SetFleetLoad(map[uint32]pool.PoolLoad{pool.PoolHash("chat"): {Requests: 4}})
		}
		c.send(context.Background(), "full", newChat(asker, 0, "a", 2), time.Second)
		c.requests.Wait()
		is.Equal(verdict.As(c.errs["full"]).Reason, verdict.ReasonOverCapacity)
		is.Equal(verdict.Of(c.errs["full"]), verdict.NotRun)
		is.True(time.Since(began) < 3*time.Second)
	})
}

// Guards against a gateway that sends more than its share of the limit to an engine whose keeper is silent, after it was refused a
// place there, because it does not know yet that the pool is contended.
func TestRefusedGatewaySendsASilentKeepersEngineItsShareOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const places, asked = 8, 6
		fleet := newEngineFleet(2, 1, places, true)
		_, asker := keeperOf(fleet, pool.KeyOf("e-00"))
		contended(false, asker)
		wrapLink(asker).silent = true
		c := newChats()
		for n := range asked {
			asker.places.saturate("chat")
			c.send(context.Background(), fmt.Sprint(n), newChat(asker, 0, "a", 1), 2*time.Second)
		}
		c.requests.Wait()
		is.Equal(c.most, places/len(fleet))
		refused := 0
		for _, err := range c.errs {
			if err != nil {
				refused++
				is.Equal(verdict.As(err).Reason, verdict.ReasonOverCapacity)
			}
		}
		is.Equal(refused, asked-places/len(fleet))
	})
}

// newOutsider makes the first gateway of a fleet one that keeps nothing.
func newOutsider(fleet []*Gateway) *Gateway {
	fleet[0].registry.SetFleet("nobody", routersOf(fleet, fleet[0]))
	for n, g := range fleet[1:] {
		g.registry.SetFleet(fmt.Sprintf("r-%03d", n+1), routersOf(fleet, fleet[0]))
	}
	return fleet[0]
}

// Guards against places that stay taken, or requests that never end, because the link to the keeper is cut while some of them
// run and others wait.
func TestCutLinkLeavesNoPlaceTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newEngineFleet(2, 1, 1, true)
		asker := newOutsider(fleet)
		link := wrapLink(asker)
		c := newChats()
		c.send(context.Background(), "runs", newChat(asker, 0, "a", 1), 100*time.Millisecond)
		c.send(context.Background(), "waits", newChat(asker, 1, "a", 1), 100*time.Millisecond)
		link.mu.Lock()
		link.cut = true
		link.mu.Unlock()
		c.send(context.Background(), "arrives", newChat(asker, 1, "a", 1), 100*time.Millisecond)
		time.Sleep(time.Second)
		link.mu.Lock()
		link.cut = false
		link.mu.Unlock()
		c.requests.Wait()
		if err := c.errs["runs"]; err != nil {
			t.Error("the running request failed:", err)
		}
		checkNothingLeft(t, fleet)
	})
}

// Guards against a part of a split fleet that serves nobody, and against requests that count twice or for ever once the fleet
// is whole again.
func TestSplitFleetServesOnBothSides(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const places = 4
		fleet := newEngineFleet(4, 2, places, true)
		set := func(side []*Gateway) {
			var others []*Gateway
			for _, g := range fleet {
				if !slices.Contains(side, g) {
					others = append(others, g)
				}
			}
			for n, g := range fleet {
				if slices.Contains(side, g) {
					g.setFleet(fmt.Sprintf("r-%03d", n), routersOf(fleet, others...))
				}
			}
		}
		c := newChats()
		send := func(when string) {
			for n, g := range fleet {
				c.send(context.Background(), fmt.Sprint(when, n), newChat(g, 0, "a", uint64(n)), time.Second)
			}
		}
		send("before ")
		set(fleet[:2])
		set(fleet[2:])
		send("split ")
		set(fleet)
		time.Sleep(5 * linkDelay)
		counted := 0
		for _, g := range fleet {
			for key := range g.places.instances {
				if controller, ok := g.placesAt(key); ok {
					counted += controller.Load().InFlight
				}
			}
		}
		if counted != 2*len(fleet) {
			t.Errorf("%d requests count after the fleet is whole again, want %d", counted, 2*len(fleet))
		}
		c.requests.Wait()
		for name, err := range c.errs {
			if err != nil {
				t.Errorf("request %s failed: %v", name, err)
			}
		}
		checkNothingLeft(t, fleet)
	})
}

// Guards against a gateway that stops while its requests wait at keepers: they are refused truthfully, and their places in the
// queue are free.
func TestWaitingRequestsOfAStoppingGatewayAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newEngineFleet(2, 1, 1, true)
		keeper, asker := keeperOf(fleet, pool.KeyOf("e-00"))
		c := newChats()
		c.send(context.Background(), "runs", newChat(asker, 0, "a", 1), 300*time.Millisecond)
		for n, g := range fleet {
			ctx, stop := context.WithCancelCause(context.Background())
			c.send(ctx, fmt.Sprint(n), newChat(g, 2, "a", 1), time.Second)
			stop(errStopped)
		}
		time.Sleep(5 * linkDelay)
		controller, _ := keeper.placesAt(pool.KeyOf("e-00"))
		is.Equal(controller.Load().Waiting, 0)
		c.requests.Wait()
		for n := range fleet {
			is.Equal(verdict.As(c.errs[fmt.Sprint(n)]).Reason, verdict.ReasonLeaving)
			is.Equal(verdict.Of(c.errs[fmt.Sprint(n)]), verdict.NotRun)
		}
		checkNothingLeft(t, fleet)
	})
}
