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

// soon bounds what happens by itself in a test.
const soon = 10 * time.Second

// fakeHost counts what it is told.
type fakeHost struct {
	exchange *Exchange
	mu       sync.Mutex
	heard    map[string]int
	wanted   int
	wants    bool
}

func (h *fakeHost) News(_ []*peerpb.Position, want bool) *peerpb.News {
	h.mu.Lock()
	defer h.mu.Unlock()
	if want {
		h.wanted++
	}
	news := &peerpb.News{Node: h.exchange.self, Address: h.exchange.Address(), Peers: h.exchange.SamplePeers()}
	news.Loads = &peerpb.Loads{}
	for n := range 10 {
		news.Loads.Instances = append(news.Loads.Instances, uint32(n))
		news.Loads.Requests = append(news.Loads.Requests, 1)
		news.Loads.Tokens = append(news.Loads.Tokens, 2000)
	}
	for n := range 2 {
		news.Prompts = append(news.Prompts, &peerpb.PlacedPrompt{Instance: uint32(n), Ids: []uint64{1, 2}, Tokens: []uint32{500, 10000}})
		news.Positions = append(news.Positions, &peerpb.Position{Feed: uint32(n), Next: 500, Base: 500, Followed: 20, AgeMs: 300})
	}
	return news
}

func (h *fakeHost) Heard(news *peerpb.News) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heard[news.GetNode()]++
}

func (h *fakeHost) PeerState(string, error) {}

func (h *fakeHost) Wants() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.wants
}

func (h *fakeHost) peers() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.heard)
}

func start(t *testing.T, n int) *fakeHost { return startHost(t, n) }

func startHost(t testing.TB, n int) *fakeHost {
	t.Helper()
	h := &fakeHost{heard: make(map[string]int)}
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
	for end := time.Now().Add(soon); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatal("the condition did not come true in time")
}

// Guards against routers that never meet: each is told of one other only, and a stale seed.
func TestRoutersMeet(t *testing.T) {
	t.Parallel()
	var hosts []*fakeHost
	for n := range 5 {
		h := start(t, n)
		h.exchange.Add("127.0.0.1:1")
		if n > 0 {
			h.exchange.Add(hosts[n-1].exchange.Address())
		}
		hosts = append(hosts, h)
	}
	eventually(t, func() bool {
		for _, h := range hosts {
			if h.peers() < len(hosts)-1 {
				return false
			}
		}
		return true
	})
}

// Guards against peers that are told an address at which they cannot reach the router.
func TestAdvertisedAddressIsTold(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := &fakeHost{heard: make(map[string]int)}
	h.exchange = New("node-0", "127.0.0.1:0", "192.0.2.7:81", h, traffic.NewMeter(kernel.NewCounters()))
	is.NoErr(h.exchange.Start())
	t.Cleanup(h.exchange.Stop)
	is.Equal(h.exchange.Address(), "192.0.2.7:81")
	h.exchange.Add("192.0.2.7:81") // its own
	is.Equal(len(h.exchange.peers), 0)
}

// Guards against a router that is not heard again after it restarted at its address.
func TestRestartedRouterIsHeardAgain(t *testing.T) {
	t.Parallel()
	a, b := start(t, 0), start(t, 1)
	a.exchange.Add(b.exchange.Address())
	eventually(t, func() bool { return a.peers() == 1 && b.peers() == 1 })
	address := b.exchange.Address()
	b.exchange.Stop()
	time.Sleep(2 * shortestPause)
	again := &fakeHost{heard: make(map[string]int)}
	again.exchange = New("node-1", address, "", again, traffic.NewMeter(kernel.NewCounters()))
	is.New(t).NoErr(again.exchange.Start())
	t.Cleanup(again.exchange.Stop)
	eventually(t, func() bool { return again.peers() == 1 })
}

// Guards against a router that the store does not serve and that asks nobody, or everybody at once.
func TestAsksOnePeerForLongRecords(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	a := start(t, 0)
	for n := range 4 {
		a.exchange.Add(start(t, n+1).exchange.Address())
	}
	eventually(t, func() bool { return a.peers() == 4 })
	a.mu.Lock()
	is.Equal(a.wanted, 0)
	begin := time.Now()
	a.wants = true
	a.mu.Unlock()
	const asked = 3
	eventually(t, func() bool { a.mu.Lock(); defer a.mu.Unlock(); return a.wanted >= asked })
	is.True(time.Since(begin) >= (asked-1)*askPause) // one at a time, not all at once
}

// BenchmarkControl measures the bytes per second of one router in fleets of several sizes, with messages
// of the size that a router has with ten requests in flight and two new prompts.
func BenchmarkControl(b *testing.B) {
	for _, n := range []int{4, 8, 16, 31} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var hosts []*fakeHost
			for i := range n {
				h := startHost(b, i)
				for _, other := range hosts {
					h.exchange.Add(other.exchange.Address())
				}
				hosts = append(hosts, h)
			}
			time.Sleep(2 * time.Second)
			before := hosts[0].exchange.meter.Control()
			const span = 5 * time.Second
			time.Sleep(span)
			b.ReportMetric(float64(hosts[0].exchange.meter.Control()-before)/span.Seconds(), "B/s")
		})
	}
}

// Guards against control traffic that grows with the square of the fleet: the calls of one router stay
// within their bound at any number of peers.
func TestCallsAreBounded(t *testing.T) {
	is := is.New(t)
	for _, peers := range []int{1, 3, 30, 100, 389} {
		perSecond := float64(peers) / pause(peers).Seconds()
		is.True(perSecond <= 2*callsPerSecond+1) // half of them are the peer's
	}
}
