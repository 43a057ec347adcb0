package peer

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jacinthfork.example/jacinthfork/gateway/peer/peerpb"
	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/traffic"
)

// Guards against a router without access to the store that does not say so to its parent.
func TestAsksParentForLargeRecords(t *testing.T) {
	t.Parallel()
	all := startFleet(t, 3)
	for _, h := range all {
		if h.fleet.Rank() == 0 {
			continue
		}
		h.mu.Lock()
		h.needsRecords = true
		h.mu.Unlock()
		eventually(t, func() bool { return h.get(func() int { return h.wants }) > 1 })
	}
}

// Guards against a router without access to the store that asks for large records so often that they fill the link of
// the one that it asks, and against one that asks although it can read the store.
func TestLargeRecordsAreAskedForAtIntervals(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const asked, interval = 3, 500 * time.Millisecond
	for _, h := range startFleet(t, 3) {
		if h.fleet.Rank() == 0 {
			continue
		}
		is.Equal(h.get(func() int { return h.wants }), 0)
		begin := time.Now()
		h.mu.Lock()
		h.needsRecords = true
		h.mu.Unlock()
		eventually(t, func() bool { return h.get(func() int { return h.wants }) >= asked })
		is.True(time.Since(begin) >= (asked-1)*interval)
	}
}

// Guards against a load that counts twice, below the old parent and below the new one, until the old one has missed the
// router for a while: after a start of the whole fleet, when routers change their parents with each one that they find,
// the load would seem several times what it is and requests would wait for places that are free.
func TestLoadLeavesTheOldParentAtOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := &fakeHandler{held: make(map[string]bool)}
	h.fleet = New("node-0", loopback, "", h, traffic.NewMeter(kernel.NewCounters()))
	is.NoErr(h.fleet.Start())
	t.Cleanup(h.fleet.Stop)
	l := &link{node: "node-1", out: make(chan *peerpb.Message, linkQueue), ctx: t.Context(), close: func() {}}
	h.fleet.links["node-1"] = []*link{l}
	load := &peerpb.State{Up: true, Positions: []*peerpb.Position{{Feed: 1}}, Loads: []*peerpb.PoolLoad{{Pool: 1, Requests: 5, Ejected: 1}}}
	h.fleet.receive(l, &peerpb.Message{State: load})
	is.Equal(h.fleet.sumLoads(nil)[1], PoolLoad{Requests: 5, Ejected: 1})
	h.fleet.receive(l, &peerpb.Message{Detached: true})
	is.Equal(h.fleet.sumLoads(nil)[1], PoolLoad{})
	h.fleet.receive(l, &peerpb.Message{State: load})
	h.fleet.removeLink(l)
	is.Equal(h.fleet.sumLoads(nil)[1], PoolLoad{}) // it cannot be reached, so its requests end
}

// Guards against a router that takes another parent and does not tell the one that it had.
func TestChangeOfParentIsTold(t *testing.T) {
	t.Parallel()
	all := startFleet(t, 2+treeDegree) // the last one is below the second
	byName := make(map[string]*fakeHandler)
	for _, h := range all {
		byName[h.fleet.node] = h
	}
	last, second := byName[fmt.Sprintf("node-%03d", 1+treeDegree)], byName["node-001"]
	children := func(h *fakeHandler) bool {
		h.fleet.mu.Lock()
		defer h.fleet.mu.Unlock()
		return h.fleet.children[last.fleet.node] != nil
	}
	eventually(t, func() bool { return children(second) && !children(byName["node-000"]) })
	avoidSecond := func() {
		last.fleet.mu.Lock()
		defer last.fleet.mu.Unlock()
		last.fleet.avoidUntil["node-001"] = time.Now().Add(time.Hour)
		second.fleet.mu.Lock()
		defer second.fleet.mu.Unlock()
		if c := second.fleet.children[last.fleet.node]; c != nil {
			c.heardAt = time.Now().Add(time.Hour) // it is not missed for its silence
		}
	}
	eventually(t, func() bool {
		avoidSecond() // a link that opens late ends the pause
		return !children(second) && children(byName["node-000"])
	})
}

// Guards against a router that knows a part of the fleet for good: it is the root of that part, so it sends its state to
// nobody and nobody finds that the memberships differ.
func TestRouterThatKnowsAPartLearnsTheRest(t *testing.T) {
	t.Parallel()
	const routers = 10
	all := startFleet(t, routers)
	for _, h := range all {
		if h.fleet.node != "node-005" {
			continue
		}
		h.fleet.mu.Lock()
		for n := range 5 {
			delete(h.fleet.members.entries, fmt.Sprintf("node-%03d", n))
		}
		h.fleet.members.rebuild()
		h.fleet.seeds = nil
		h.fleet.mu.Unlock()
		h.fleet.notifyMembers()
		eventually(t, func() bool { return h.alive() == routers })
	}
}

// Guards against a request for large records that is lost because its parent had just sent its state: the next one
// comes after an interval only.
func TestRequestForLargeRecordsIsAnsweredAtOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := &fakeHandler{held: make(map[string]bool)}
	h.fleet = New("node-0", loopback, "", h, traffic.NewMeter(kernel.NewCounters()))
	is.NoErr(h.fleet.Start())
	t.Cleanup(h.fleet.Stop)
	l := &link{node: "node-1", out: make(chan *peerpb.Message, linkQueue), ctx: t.Context(), close: func() {}}
	h.fleet.links["node-1"] = []*link{l}
	h.fleet.children["node-1"] = &child{sentAt: time.Now().Add(time.Hour)}
	state := func(want bool) *peerpb.State {
		return &peerpb.State{Up: true, Positions: []*peerpb.Position{{Feed: 1, Want: want}}, MembersDigest: h.fleet.members.digest()}
	}
	h.fleet.receiveState(l, state(false))
	is.Equal(len(l.out), 0) // a state was sent just before
	h.fleet.receiveState(l, state(true))
	is.Equal(len(l.out), 1)
	is.Equal(h.wantsAnswered, 1)
}
