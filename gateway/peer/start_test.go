package peer

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jacinthfork.example/jacinthfork/gateway/peer/peerpb"
)

// startMembers returns n routers.
func startMembers(n int) (list []*peerpb.Member) {
	for i := range n {
		list = append(list, &peerpb.Member{Node: fmt.Sprintf("node-%03d", i), Address: fmt.Sprintf("127.0.0.1:%d", i+1)})
	}
	return list
}

// Guards against a fleet whose start takes all processor time for links: 300 routers that start at once, each of which tries
// all addresses that it was given at once, reach none within the time for a link, and try again and again. It also guards
// against an address that does not answer and holds up the others.
func TestGivenAddressesAreTriedOneAfterAnother(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h, _ := newIsolated(t, "node-900")
	f := h.fleet
	now := time.Now()
	for _, m := range startMembers(6) {
		f.seeds = append(f.seeds, m.GetAddress())
	}
	known := map[string]bool{f.seeds[1]: true}
	begin := func(want int) {
		address, ok := f.nextSeed(known, now)
		is.True(ok)
		is.Equal(address, f.seeds[want])
		f.dials[address] = &dialState{running: true, begunAt: now}
		_, ok = f.nextSeed(known, now)
		is.True(!ok) // not beside one that has just begun
	}
	begin(0)
	now = now.Add(seedInterval) // it does not answer
	begin(2)                    // without the one that is known to be alive
	f.dials[f.seeds[2]] = &dialState{}
	f.reached[f.seeds[2]] = true
	begin(3) // at once after one that has answered
	f.dials[f.seeds[3]] = &dialState{failures: maxSeedAttempts}
	begin(4)
}

// Guards against a router that takes, and connects to, one parent after another while it hears of hundreds of routers that
// start at the same time, and against one that never takes any because there is always another one.
func TestParentIsTakenOnceTheFleetHasBeenFound(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h, l := newIsolated(t, "node-900")
	f := h.fleet
	all := startMembers(390)
	f.receive(l, &peerpb.Message{Members: all[:200]})
	later := time.Now().Add(time.Hour) // the waits are not over, however slow this test is
	f.startedAt, f.grownAt = later, later
	f.tick(later)
	is.Equal(f.parent, "")
	is.Equal(f.Rank(), -1) // it does not take itself for the root either
	is.Equal(len(f.dials), 0)
	f.receive(l, &peerpb.Message{Members: all[200:]})
	f.grownAt = later
	f.tick(later.Add(settleTime))
	is.True(f.parent != "")

	h, l = newIsolated(t, "node-900")
	f = h.fleet
	f.receive(l, &peerpb.Message{Members: all})
	f.grownAt = f.startedAt.Add(settleLimit)
	f.tick(f.startedAt.Add(settleLimit))
	is.True(f.parent != "")
}

// Guards against routers that are declared lost although they are alive, because the one that tries to reach them has just
// started beside hundreds of others and gets its answers late: each refutes it, all exchange the whole membership again, and
// have still less time for links. One that refuses links is declared lost, and so is one that is silent later.
func TestSlowStartDeclaresNobodyLost(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		err  error
		age  time.Duration
		lost bool
	}{
		{context.DeadlineExceeded, 0, false},
		{errors.New("connection refused"), 0, true},
		{context.DeadlineExceeded, 2 * startAge, true},
	} {
		is := is.New(t)
		h, l := newIsolated(t, "node-900")
		f := h.fleet
		m := startMembers(1)[0]
		f.receive(l, &peerpb.Message{Members: []*peerpb.Member{m}})
		f.startedAt = time.Now().Add(-c.age)
		d, began := &dialState{}, time.Now()
		for range lostAfter {
			d.running, d.done = true, make(chan struct{})
			f.dialled(d, m.GetNode(), m.GetAddress(), c.err)
		}
		is.Equal(f.members.get(m.GetNode()).GetStatus() == peerpb.Status_LOST, c.lost)
		if !c.lost {
			is.True(d.nextAt.Sub(began) >= slowRedial/2) // not again at once
		}
	}
}

// Guards against a message with the whole membership of a large fleet that is sorted anew for each router in it.
func TestMembershipIsRebuiltOnceForAMessage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h, l := newIsolated(t, "node-900")
	before := h.fleet.members.changes
	h.fleet.receive(l, &peerpb.Message{Members: startMembers(390)})
	is.Equal(h.fleet.members.changes, before+1)
	is.Equal(h.alive(), 391)
}

// Guards against routers that are declared lost because this one has no descriptor left for a link to them.
func TestWantOfADescriptorDeclaresNobodyLost(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h, l := newIsolated(t, "node-900")
	f := h.fleet
	m := startMembers(1)[0]
	f.receive(l, &peerpb.Message{Members: []*peerpb.Member{m}})
	f.startedAt = time.Now().Add(-2 * startAge)
	d := &dialState{}
	for range 3 * lostAfter {
		d.running, d.done = true, make(chan struct{})
		f.dialled(d, m.GetNode(), m.GetAddress(), errNoDescriptor)
	}
	is.True(f.members.get(m.GetNode()).GetStatus() != peerpb.Status_LOST)
}
