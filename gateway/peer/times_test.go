package peer

import (
	"testing"

	"github.com/matryer/is"

	"jacinthfork.example/jacinthfork/gateway/peer/peerpb"
	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/traffic"
)

// Guards against response times that are sent to no router or more than once, that go past the parent, and against sums that do
// not reach the routers below.
func TestResponseTimesTravelTheTree(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	all := startFleet(t, 2+treeDegree)
	for _, h := range all {
		// The tree is complete, so that no link is given up with a message on it.
		h.mu.Lock()
		h.load = 1
		h.mu.Unlock()
	}
	for _, h := range all {
		eventually(t, func() bool { return h.get(func() int { return int(h.total) }) == len(all) })
	}
	var root *fakeHandler
	for n, h := range all {
		h.mu.Lock()
		h.timesUp = []*peerpb.ResponseTimes{{Pool: uint32(n), Answered: []byte{10, 1}}}
		h.timesDown = []*peerpb.ResponseTimes{{Pool: 77, AgeMs: 5}}
		h.mu.Unlock()
		if h.fleet.Rank() == 0 {
			root = h
		}
	}
	received := func() map[uint32]int {
		out := make(map[uint32]int)
		for _, h := range all {
			h.mu.Lock()
			for _, got := range h.gotUp {
				out[got.GetPool()]++
			}
			h.mu.Unlock()
		}
		return out
	}
	down := func(h *fakeHandler) int { return h.get(func() int { return len(h.gotDown) }) }
	eventually(t, func() bool { return len(received()) == len(all)-1 })
	for _, h := range all {
		h.mu.Lock()
		parent := h.parent
		h.mu.Unlock()
		if parent == root.fleet.node {
			eventually(t, func() bool { return down(h) > 1 })
		}
	}
	for _, n := range received() {
		is.Equal(n, 1)
	}
	is.Equal(down(root), 0)
}

// Guards against sums that a router takes from another one than its parent, and against a state of an older version, which has
// none.
func TestResponseTimesComeFromNeighboursInTheTree(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := &fakeHandler{held: make(map[string]bool)}
	h.fleet = New("node-0", listenAddress(), "", h, traffic.NewMeter(kernel.NewCounters()))
	is.NoErr(h.fleet.Start())
	t.Cleanup(h.fleet.Stop)
	l := &link{node: "node-1", out: make(chan *peerpb.Message, linkQueue), ctx: t.Context(), close: func() {}}
	h.fleet.links["node-1"] = []*link{l}
	told := func(up bool, times ...*peerpb.ResponseTimes) (gotUp, gotDown int) {
		h.fleet.receive(l, &peerpb.Message{State: &peerpb.State{Up: up, Positions: []*peerpb.Position{{Feed: 1}}, ResponseTimes: times}})
		return len(h.gotUp), len(h.gotDown)
	}
	times := &peerpb.ResponseTimes{Pool: 1, Answered: []byte{10, 1}}
	up, down := told(false, times)
	is.Equal(up+down, 0) // it is not the parent
	up, _ = told(true)
	is.Equal(up, 0)
	up, _ = told(true, times)
	is.Equal(up, 1)
	h.fleet.parent = "node-1"
	_, down = told(false, times)
	is.Equal(down, 1)
}
