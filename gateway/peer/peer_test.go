package peer

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"jacinthfork.example/jacinthfork/gateway/peer/peerpb"
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
	return &peerpb.News{Node: h.exchange.self, Address: h.exchange.Address(), Peers: h.exchange.Known()}
}

func (h *fakeHost) Heard(news *peerpb.News) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heard[news.GetNode()]++
}

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

func start(t *testing.T, n int) *fakeHost {
	t.Helper()
	h := &fakeHost{heard: make(map[string]int)}
	h.exchange = New(fmt.Sprintf("node-%d", n), "127.0.0.1:0", h)
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
	again.exchange = New("node-1", address, again)
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
	a.wants = true
	a.mu.Unlock()
	begin := time.Now()
	eventually(t, func() bool { a.mu.Lock(); defer a.mu.Unlock(); return a.wanted >= 3 })
	is.True(time.Since(begin) >= askPause) // not all at once
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
