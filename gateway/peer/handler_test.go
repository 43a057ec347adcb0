package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"jacinthfork.example/jacinthfork/gateway/peer/peerpb"
	"jacinthfork.example/jacinthfork/internal/loopback"
	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/traffic"
)

// testTimeout bounds the wait for a condition.
const testTimeout = 20 * time.Second

// fakeHandler has a number of requests in flight, passes on one number as its feed, and keeps what it receives.
type fakeHandler struct {
	fleet *Fleet
	// stop ends the router as a kill would.
	stop func()
	mu   sync.Mutex
	// feed is the newest number known, as the position of feed 1. A router below that is behind is sent one record.
	feed uint64
	// onState is called while a state is made. It may be nil.
	onState func()
	// onPeerState is called when the state of a peer has changed. It may be nil.
	onPeerState    func()
	wants          int
	wantsAnswered  int
	needsRecords   bool
	behind         bool
	load           uint32
	total, ejected uint32
	held           map[string]bool
	mute           bool
	// late delays answers to reservations until it is closed, if it is not nil.
	late    chan struct{}
	outcome peerpb.Outcome
	// released counts the ends that were received, undelivered are those that may not have been.
	released       int
	undelivered    []*peerpb.Message
	observed       []*peerpb.Observation
	aliveRouters   int
	lostRouters    int
	incarnations   map[string]uint64
	parent         string
	parentsChanged int
	// timesUp are sent to the parent once, timesDown are told each time to those below. gotUp and gotDown were received.
	timesUp, timesDown, gotUp, gotDown []*peerpb.ResponseTimes
}

func (h *fakeHandler) State(positions []*peerpb.Position, up, want bool) *peerpb.State {
	if h.onState != nil {
		h.onState()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if want {
		h.wants++
	}
	if wantsRecords(positions) {
		h.wantsAnswered++
	}
	var records []*peerpb.Record
	if !up && len(positions) > 0 && positions[0].GetNext() < h.feed {
		records = append(records, &peerpb.Record{Feed: 1, Offset: h.feed - 1})
	}
	return &peerpb.State{Records: records, Positions: []*peerpb.Position{{Feed: 1, Next: h.feed, Base: h.feed, Followed: 20, AgeMs: 300, Want: want}, {Feed: 2, Next: 500, Base: 500, AgeMs: 200, Want: want}}}
}

func (h *fakeHandler) MergeState(_ string, s *peerpb.State) (news, behind bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := s.GetPositions()[0].GetNext()
	advanced := next > h.feed
	h.feed = max(h.feed, next)
	return advanced, h.behind
}

func (h *fakeHandler) NeedsRecords() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.needsRecords
}

func (h *fakeHandler) Loads() map[uint32]PoolLoad {
	h.mu.Lock()
	defer h.mu.Unlock()
	return map[uint32]PoolLoad{1: {Requests: h.load, Ejected: h.load}}
}

func (h *fakeHandler) SetFleetLoads(loads map[uint32]PoolLoad) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.total, h.ejected = loads[1].Requests, loads[1].Ejected
}

func (h *fakeHandler) ResponseTimes(up, root bool) []*peerpb.ResponseTimes {
	h.mu.Lock()
	defer h.mu.Unlock()
	if up {
		out := h.timesUp
		h.timesUp = nil
		return out
	}
	if root {
		return h.timesDown
	}
	return nil
}

func (h *fakeHandler) MergeResponseTimes(up bool, times []*peerpb.ResponseTimes) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, t := range times {
		if up {
			h.gotUp = append(h.gotUp, t)
		} else {
			h.gotDown = append(h.gotDown, t)
		}
	}
}

func (h *fakeHandler) Reserve(node string, r *peerpb.Reserve, reply func(*peerpb.Reserved)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held[fmt.Sprint(node, r.GetSequence())] = true
	if h.mute {
		return
	}
	answer := &peerpb.Reserved{Sequence: r.GetSequence(), Granted: true, Instances: []uint32{r.GetInstance()}, Requests: []uint32{uint32(len(h.held))}}
	if h.late != nil {
		go func(late chan struct{}) {
			<-late
			reply(answer)
		}(h.late)
		return
	}
	reply(answer)
}

func (h *fakeHandler) Release(node string, sequence uint64, outcome peerpb.Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.held, fmt.Sprint(node, sequence))
	h.outcome = outcome
	h.released++
}

func (h *fakeHandler) Undelivered(_ string, m *peerpb.Message) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.undelivered = append(h.undelivered, m)
}

func (h *fakeHandler) Observe(o *peerpb.Observation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.observed = append(h.observed, o)
}

func (h *fakeHandler) Locate(l *peerpb.Locate) *peerpb.Located {
	return &peerpb.Located{Sequence: l.GetSequence(), Instances: []uint32{uint32(l.GetDocument()), l.GetInstance()}}
}

func (h *fakeHandler) MembersChanged(alive, _ []*peerpb.Member, lost int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.aliveRouters, h.lostRouters = len(alive), lost
	h.incarnations = make(map[string]uint64)
	for _, m := range alive {
		h.incarnations[m.GetNode()] = m.GetIncarnation()
	}
}

func (h *fakeHandler) PeerStateChanged(string, bool) {
	if h.onPeerState != nil {
		h.onPeerState()
	}
}

func (h *fakeHandler) ParentChanged(node string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.parent = node
	h.parentsChanged++
}

func (h *fakeHandler) get(read func() int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return read()
}

func (h *fakeHandler) alive() int { return h.get(func() int { return h.aliveRouters }) }

func start(t testing.TB, n int, address string, seeds ...string) *fakeHandler {
	t.Helper()
	h := newHandler(n, address)
	h.run(t, seeds...)
	return h
}

// newHandler returns a router with one request in flight that is not running yet.
func newHandler(n int, address string) *fakeHandler {
	h := &fakeHandler{held: make(map[string]bool), load: 1}
	h.fleet = New(fmt.Sprintf("node-%03d", n), address, "", h, traffic.NewMeter(kernel.NewCounters()))
	return h
}

// run starts the router, which ends with the test at the latest.
func (h *fakeHandler) run(t testing.TB, seeds ...string) {
	t.Helper()
	if err := h.fleet.Start(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	h.stop = func() { cancel(); h.fleet.Stop() }
	t.Cleanup(h.stop)
	h.fleet.Add(seeds...)
	go h.fleet.Run(ctx)
}

// listenAddress returns an address on which a router can listen, also again after it has stopped.
func listenAddress() string { return net.JoinHostPort(loopback.NewIP(), "0") }

// startFleet starts n routers, each of which knows one other router and a stale address, and waits until all know all.
func startFleet(t testing.TB, n int) []*fakeHandler {
	t.Helper()
	var all []*fakeHandler
	order := rand.New(rand.NewPCG(1, 2)).Perm(n)
	for i, name := range order {
		seeds := []string{"127.0.0.1:1"}
		if i > 0 {
			seeds = append(seeds, all[(i-1)/2].fleet.Address())
		}
		all = append(all, start(t, name, listenAddress(), seeds...))
	}
	eventuallyEverywhere(t, all, func(h *fakeHandler) bool { return h.alive() == n })
	return all
}

// eventuallyEverywhere waits for a condition of all routers. If it is not met, the test ends with what each router knows.
func eventuallyEverywhere(t testing.TB, all []*fakeHandler, condition func(h *fakeHandler) bool) {
	t.Helper()
	begin := time.Now()
	for time.Since(begin) < testTimeout {
		if everywhere(all, condition) {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	for _, h := range all {
		t.Log(condition(h), h.describe())
	}
	t.Fatal("the condition was not met everywhere within testTimeout")
}

// describe returns what the router knows.
func (h *fakeHandler) describe() string {
	known := h.alive()
	f := h.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	out := fmt.Sprintf("%s@%s %d.%d up %v: told alive %d, alive", f.node, f.address, f.members.own.GetIncarnation(), f.members.own.GetVersion(), time.Since(f.startedAt), known)
	for _, m := range f.members.alive {
		out += fmt.Sprintf(" %s=%d.%d", m.GetNode(), m.GetIncarnation()%100000, m.GetVersion())
	}
	out += "; others"
	for _, e := range f.members.entries {
		if e.GetStatus() != peerpb.Status_ALIVE {
			out += fmt.Sprintf(" %s=%d.%d:%s (%v ago)", e.GetNode(), e.GetIncarnation()%100000, e.GetVersion(), e.GetStatus(), time.Since(e.changedAt))
		}
	}
	out += fmt.Sprintf("; parent %q heard %v ago; children", f.parent, time.Since(f.heardParentAt))
	for node, c := range f.children {
		out += fmt.Sprintf(" %s (%v ago)", node, time.Since(c.heardAt))
	}
	out += "; links"
	for node, list := range f.links {
		out += fmt.Sprintf(" %s*%d", node, len(list))
		for _, l := range list {
			out += fmt.Sprintf("[queue %d, closed %v, members sent %v ago]", len(l.out), l.ctx.Err() != nil, time.Since(l.sentMembersAt).Round(time.Millisecond))
		}
	}
	out += "; dials"
	for address, d := range f.dials {
		out += fmt.Sprintf(" %s[running %v, failures %d, next in %v]", address, d.running, d.failures, time.Until(d.nextAt).Round(time.Millisecond))
	}
	return out + fmt.Sprintf("; news %d, informed %v, digest %x, total %d", len(f.news), f.informed, f.members.digest(), h.get(func() int { return int(h.total) }))
}

func everywhere(all []*fakeHandler, condition func(h *fakeHandler) bool) bool {
	for _, h := range all {
		if !condition(h) {
			return false
		}
	}
	return true
}

func eventually(t testing.TB, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatal("the condition was not met within testTimeout")
}
