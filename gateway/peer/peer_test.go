package peer

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"jacinthfork.example/jacinthfork/gateway/peer/peerpb"
	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/traffic"
)

// testTimeout bounds the wait for a condition.
const testTimeout = 10 * time.Second

// fakeHandler counts the updates and the requests for records of any size.
type fakeHandler struct {
	exchange       *Exchange
	mu             sync.Mutex
	updates        map[string]int
	recordRequests int
	needsRecords   bool
}

func (h *fakeHandler) StateUpdate(_ []*peerpb.Position, want bool) *peerpb.StateUpdate {
	h.mu.Lock()
	defer h.mu.Unlock()
	if want {
		h.recordRequests++
	}
	update := &peerpb.StateUpdate{Node: h.exchange.node, Address: h.exchange.Address(), Peers: h.exchange.SamplePeers()}
	update.Loads = &peerpb.Loads{}
	for n := range 10 {
		update.Loads.Instances = append(update.Loads.Instances, uint32(n))
		update.Loads.Requests = append(update.Loads.Requests, 1)
		update.Loads.Tokens = append(update.Loads.Tokens, 2000)
	}
	for n := range 2 {
		update.Prompts = append(update.Prompts, &peerpb.PromptPlacement{Instance: uint32(n), Ids: []uint64{1, 2}, Tokens: []uint32{500, 10000}})
		update.Positions = append(update.Positions, &peerpb.Position{Feed: uint32(n), Next: 500, Base: 500, Followed: 20, AgeMs: 300})
	}
	return update
}

func (h *fakeHandler) MergeUpdate(update *peerpb.StateUpdate) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.updates[update.GetNode()]++
}

func (h *fakeHandler) PeerStateChanged(string, error) {}

func (h *fakeHandler) NeedsRecords() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.needsRecords
}

func (h *fakeHandler) peers() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.updates)
}

func start(t *testing.T, n int) *fakeHandler { return startExchange(t, n) }

func startExchange(t testing.TB, n int) *fakeHandler {
	t.Helper()
	h := &fakeHandler{updates: make(map[string]int)}
	h.exchange = New(fmt.Sprintf("node-%d", n), "127.0.0.1:0", "", h, traffic.NewMeter(kernel.NewCounters()))
	if err := h.exchange.Start(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() { cancel(); h.exchange.Stop() })
	go h.exchange.Run(ctx)
	return h
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatal("the condition was not met within testTimeout")
}

// Guards against routers that never discover each other: each is given the address of only one other router,
// and a stale seed.
func TestRoutersDiscoverEachOther(t *testing.T) {
	t.Parallel()
	var handlers []*fakeHandler
	for n := range 5 {
		h := start(t, n)
		h.exchange.Add("127.0.0.1:1")
		if n > 0 {
			h.exchange.Add(handlers[n-1].exchange.Address())
		}
		handlers = append(handlers, h)
	}
	eventually(t, func() bool {
		for _, h := range handlers {
			if h.peers() < len(handlers)-1 {
				return false
			}
		}
		return true
	})
}

// Guards against sending peers an address at which they cannot reach the router.
func TestSendsAdvertisedAddress(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := &fakeHandler{updates: make(map[string]int)}
	h.exchange = New("node-0", "127.0.0.1:0", "192.0.2.7:81", h, traffic.NewMeter(kernel.NewCounters()))
	is.NoErr(h.exchange.Start())
	t.Cleanup(h.exchange.Stop)
	is.Equal(h.exchange.Address(), "192.0.2.7:81")
	h.exchange.Add("192.0.2.7:81") // its own address
	is.Equal(len(h.exchange.peers), 0)
}

// Guards against losing a router for good after it restarts at the same address.
func TestReconnectsToRestartedRouter(t *testing.T) {
	t.Parallel()
	a, b := start(t, 0), start(t, 1)
	a.exchange.Add(b.exchange.Address())
	eventually(t, func() bool { return a.peers() == 1 && b.peers() == 1 })
	address := b.exchange.Address()
	b.exchange.Stop()
	time.Sleep(2 * minCallInterval)
	restarted := &fakeHandler{updates: make(map[string]int)}
	restarted.exchange = New("node-1", address, "", restarted, traffic.NewMeter(kernel.NewCounters()))
	is.New(t).NoErr(restarted.exchange.Start())
	t.Cleanup(restarted.exchange.Stop)
	eventually(t, func() bool { return restarted.peers() == 1 })
}

// Guards against a router without access to the store that requests large updates from no peer, or from all
// peers at once.
func TestAsksOnePeerForLargeUpdates(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	a := start(t, 0)
	for n := range 4 {
		a.exchange.Add(start(t, n+1).exchange.Address())
	}
	eventually(t, func() bool { return a.peers() == 4 })
	a.mu.Lock()
	is.Equal(a.recordRequests, 0)
	begin := time.Now()
	a.needsRecords = true
	a.mu.Unlock()
	const asked = 3
	eventually(t, func() bool { a.mu.Lock(); defer a.mu.Unlock(); return a.recordRequests >= asked })
	is.True(time.Since(begin) >= (asked-1)*recordRequestInterval) // one at a time, not all at once
}

// BenchmarkControlTraffic measures the bytes per second of one router at several fleet sizes. The messages
// are as large as those of a router with ten requests in flight and two new prompts.
func BenchmarkControlTraffic(b *testing.B) {
	for _, n := range []int{4, 8, 16, 31} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var handlers []*fakeHandler
			for i := range n {
				h := startExchange(b, i)
				for _, other := range handlers {
					h.exchange.Add(other.exchange.Address())
				}
				handlers = append(handlers, h)
			}
			time.Sleep(2 * time.Second)
			before := handlers[0].exchange.meter.ControlBytes()
			const span = 5 * time.Second
			time.Sleep(span)
			b.ReportMetric(float64(handlers[0].exchange.meter.ControlBytes()-before)/span.Seconds(), "B/s")
		})
	}
}

// Guards against control traffic that grows with the square of the fleet size: the rate of the calls that one
// router makes and receives must stay within its bound at any number of peers.
func TestCallRateIsBounded(t *testing.T) {
	is := is.New(t)
	for _, peers := range []int{1, 3, 30, 100, 389} {
		perSecond := float64(peers) / callInterval(peers).Seconds()
		is.True(perSecond <= 2*maxCallsPerSecond+1) // calls made by this router and by its peers
	}
}
