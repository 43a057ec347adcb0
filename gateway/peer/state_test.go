package peer

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

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
	h.fleet = New("node-0", listenAddress(), "", h, traffic.NewMeter(kernel.NewCounters()))
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
	h.fleet = New("node-0", listenAddress(), "", h, traffic.NewMeter(kernel.NewCounters()))
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

// Guards against the root of the tree, which has no parent to ask, that never gets large records while the store does not
// serve it, and against one that asks a router below it so often that they fill its link.
func TestRouterBelowIsAskedForLargeRecords(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h, l := newIsolated(t, "node-0")
	f := h.fleet
	f.links["node-1"] = []*link{l}
	f.children["node-1"] = &child{sentAt: time.Now().Add(time.Hour)}
	state := &peerpb.State{Up: true, Positions: []*peerpb.Position{{Feed: 1, Next: 9, AgeMs: -1}}, MembersDigest: f.members.digest()}
	f.receiveState(l, state)
	is.Equal(len(sentStates(l)), 0)
	h.behind = true
	f.children["node-1"].sentAt = time.Now().Add(time.Hour) // a state was sent just before
	f.receiveState(l, state)
	sent := sentStates(l)
	is.Equal(len(sent), 1)
	is.True(wantsRecords(sent[0].GetPositions()))
	f.receiveState(l, state)
	for _, s := range sentStates(l) {
		is.True(!wantsRecords(s.GetPositions())) // not before the interval is over
	}
	f.askedForRecordsAt = time.Now().Add(-recordsInterval)
	f.receiveState(l, state)
	is.True(wantsRecords(sentStates(l)[0].GetPositions()))
}

// Guards against a request of the parent for large records that is not answered, because its next state comes before
// this router's, or that is answered with each state until then.
func TestParentIsSentLargeRecordsOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h, l := newIsolated(t, "node-2")
	f := h.fleet
	f.informed = true
	is.True(f.addLink(l, &peerpb.Member{Node: "node-1", Address: "127.0.0.1:1"}))
	f.tick(time.Now())
	is.Equal(f.parent, "node-1")
	sentStates(l)
	f.receiveState(l, &peerpb.State{Positions: []*peerpb.Position{{Feed: 1, Want: true}}, MembersDigest: f.members.digest()})
	is.Equal(len(sentStates(l)), 1)
	is.Equal(h.wantsAnswered, 1)
	f.sendUp("node-1", nil, nil, time.Now())
	is.Equal(len(sentStates(l)), 1)
	is.Equal(h.wantsAnswered, 1)
}

// newIsolated returns a router that runs nothing on its own, and a link to node-1 whose other end does not exist.
func newIsolated(t *testing.T, node string) (*fakeHandler, *link) {
	t.Helper()
	h := &fakeHandler{held: make(map[string]bool)}
	h.fleet = New(node, listenAddress(), "", h, traffic.NewMeter(kernel.NewCounters()))
	if err := h.fleet.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.fleet.Stop)
	return h, &link{node: "node-1", out: make(chan *peerpb.Message, linkQueue), ctx: t.Context(), close: func() {}}
}

// sentStates returns the states that wait to be sent on a link, and removes all messages.
func sentStates(l *link) (states []*peerpb.State) {
	for len(l.out) > 0 {
		if s := (<-l.out).GetState(); s != nil {
			states = append(states, s)
		}
	}
	return states
}

// Guards against a router that takes as its parent each router that it finds, until it has found its place in the tree:
// each of them sends it all records.
func TestTakesNoParentBeforeMembershipIsKnown(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const unreachable = "127.0.0.1:1"
	found := &peerpb.Member{Node: "node-1", Address: unreachable}
	h, l := newIsolated(t, "node-2")
	f := h.fleet
	f.startedAt = time.Now().Add(time.Hour) // the wait for the membership is not over
	is.True(f.addLink(l, found))
	f.tick(time.Now())
	is.Equal(len(sentStates(l)), 0)
	is.Equal(f.Rank(), -1) // it does not take itself for the root either
	f.receive(l, &peerpb.Message{Members: []*peerpb.Member{found, {Node: "node-0", Address: unreachable}}})
	f.tick(time.Now())
	is.Equal(f.parent, "node-0")
	is.Equal(len(sentStates(l)), 0)

	h, l = newIsolated(t, "node-2")
	is.True(h.fleet.addLink(l, found))
	h.fleet.tick(h.fleet.startedAt.Add(unknownPeersTimeout)) // nobody has told the membership
	is.Equal(h.fleet.parent, "node-1")
	is.Equal(len(sentStates(l)), 1)
}

// Guards against records that are sent again because the receiver has sent its state before they arrived, and against
// records that are not sent again to a router that has received but not adopted them, or whose link has broken.
func TestRecordsOnTheirWayAreNotRepeated(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h, l := newIsolated(t, "node-0")
	f := h.fleet
	f.links["node-1"] = []*link{l}
	h.feed = 7
	answer := func(received uint64) *peerpb.State {
		// A request for records is answered whenever it comes.
		f.receiveState(l, &peerpb.State{Up: true, Received: received, Positions: []*peerpb.Position{{Feed: 1, Want: true}}, MembersDigest: f.members.digest()})
		states := sentStates(l)
		is.Equal(len(states), 1)
		return states[0]
	}
	first := answer(0)
	is.Equal(len(first.GetRecords()), 1)
	is.Equal(len(answer(0).GetRecords()), 0)
	is.Equal(len(answer(first.GetSequence()-1).GetRecords()), 0)
	is.Equal(len(answer(first.GetSequence()).GetRecords()), 1)

	is.Equal(len(answer(0).GetRecords()), 0)
	f.children["node-1"].recordsSentAt = time.Now().Add(-neighbourTimeout)
	is.Equal(len(answer(0).GetRecords()), 1) // a version that acknowledges nothing

	is.Equal(len(answer(0).GetRecords()), 0)
	f.removeLink(l)
	f.links["node-1"] = []*link{l}
	is.Equal(len(answer(0).GetRecords()), 1)
}

// Guards against two states with the same records that are made at once: one with news for all routers below, and the
// answer to the receiver's state.
func TestStatesMadeAtOnceDoNotRepeatRecords(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h, l := newIsolated(t, "node-0")
	f := h.fleet
	f.links["node-1"] = []*link{l}
	f.children["node-1"] = &child{positions: []*peerpb.Position{{Feed: 1}}}
	h.feed = 7
	const overlap = 100 * time.Millisecond
	h.onState = func() { time.Sleep(overlap) }
	var both sync.WaitGroup
	for range 2 {
		both.Go(func() { f.sendDown("node-1", nil, false, time.Now()) })
	}
	both.Wait()
	records := 0
	for _, s := range sentStates(l) {
		records += len(s.GetRecords())
	}
	is.Equal(records, 1)
}

// Guards against a router that does not tell its parent which states have arrived, and against one that tells a new
// parent what it has received from another.
func TestStatesOfTheParentAreAcknowledged(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h, l := newIsolated(t, "node-2")
	f := h.fleet
	f.informed = true
	is.True(f.addLink(l, &peerpb.Member{Node: "node-1", Address: "127.0.0.1:1"}))
	f.tick(time.Now())
	is.Equal(f.parent, "node-1")
	received := func(parent string) uint64 {
		sentStates(l)
		f.sendUp(parent, nil, nil, time.Now())
		return sentStates(l)[0].GetReceived()
	}
	is.Equal(received("node-1"), uint64(0))
	f.receiveState(l, &peerpb.State{Sequence: 9, Positions: []*peerpb.Position{{Feed: 1}}})
	is.Equal(received("node-1"), uint64(9))
	other := &link{node: "node-0", out: make(chan *peerpb.Message, linkQueue), ctx: t.Context(), close: func() {}}
	is.True(f.addLink(other, &peerpb.Member{Node: "node-0", Address: "127.0.0.1:2"}))
	f.tick(time.Now())
	is.Equal(f.parent, "node-0")
	is.Equal(sentStates(other)[0].GetReceived(), uint64(0))
}

// Guards against totals that lose what one of the routers below has said, and against a field that pools without limits pay for.
func TestLoadsPassTheWire(t *testing.T) {
	is := is.New(t)
	loads := map[uint32]PoolLoad{1: {Requests: 5, Ejected: 1, Reduced: 300}, 2: {Reduced: 7}, 3: {Requests: 2}}
	is.Equal(decodeLoads(encodeLoads(loads)), loads)
	is.Equal(loads[1].add(loads[2]), PoolLoad{Requests: 5, Ejected: 1, Reduced: 307})
	is.Equal(proto.Size(&peerpb.PoolLoad{Pool: 1, Requests: 2}), 7)
}
