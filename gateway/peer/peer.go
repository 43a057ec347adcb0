// Package peer connects the routers of one fleet.
//
// Membership: each router knows the names and addresses of all others. A change is passed on along the tree at once;
// two neighbours whose digests differ exchange all they know. A router that cannot be reached is declared lost by
// whoever needs it, and refutes that if it is alive.
//
// Tree: the routers that are alive form a tree in the order of their names. Feed records, crash suspects and the
// fleet's load travel along it. A router whose parent does not answer takes another one; the root reads the store
// for all. Nothing is elected: routers that disagree for a moment have two roots, or two parents, which costs calls to
// the store and breaks no promise.
//
// Reservations: for each instance one router, its keeper, counts the requests in flight. The others ask it for a
// place before they send a request, and decide alone if it does not answer in time.
//
// Documents: for each document one router's directory names the instances to which it was sent last. A router that sends
// it to an instance without it asks from which one it can be copied.
//
// Pairs of routers that have something to say to each other share one link, which stays open. A router at rest sends
// a message a second; what it sends beyond that follows its own requests, not the size of the fleet.
package peer

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"

	"jacinthfork.example/jacinthfork/gateway/peer/peerpb"
	"jacinthfork.example/jacinthfork/internal/connlimit"
	"jacinthfork.example/jacinthfork/internal/rendezvous"
	"jacinthfork.example/jacinthfork/internal/transport"
	"jacinthfork.example/jacinthfork/kernel/settings"
	"jacinthfork.example/jacinthfork/traffic"
)

const (
	// tickInterval is how often a router looks for something to send.
	tickInterval = 50 * time.Millisecond
	// smallFleet is the number of routers up to which states are sent every smallFleetInterval, so that loads are no
	// older than a typical request takes. Larger fleets send them every stateInterval.
	smallFleet         = 8
	smallFleetInterval = 150 * time.Millisecond
	stateInterval      = 300 * time.Millisecond
	// loadChangeInterval is the time after which a state is sent early because the load that it tells has changed by
	// half or more: at a start or in a surge, an old mean makes keepers refuse places that the load bound allows.
	loadChangeInterval = 100 * time.Millisecond
	minLoadChange      = 3
	// timesInterval is the time between two looks for response times to tell to the routers below this one. Each of them is
	// sent a state in between.
	timesInterval = time.Second
	// neighbourTimeout is how long a parent may be silent before another one is taken, and a child before its load is
	// no longer counted.
	neighbourTimeout = 1600 * time.Millisecond
	// recordsInterval is the time between two requests for records of any size. The records of a large configuration
	// keep the link of the router that sends them busy for about as long.
	recordsInterval = 500 * time.Millisecond
	// membersInterval is the minimum time between two copies of the whole membership on one link.
	membersInterval = 500 * time.Millisecond
	// lostAfter is the number of failed attempts in a row to reach a router after which it is declared lost.
	lostAfter = 2
	// minRedial and maxRedial bound the pause after a failed attempt to reach a router.
	minRedial = 100 * time.Millisecond
	maxRedial = 4 * time.Second
	// slowRedial is the mean pause after an attempt that took too long while this router had just started.
	slowRedial = time.Second
	// maxSeedAttempts is the number of failed attempts after which an address that was given to this router is tried
	// only while it has no parent.
	maxSeedAttempts = 8
	// soloInterval is how often a router without a parent tries an address that is not known as alive, to find the
	// fleet that it belongs to.
	soloInterval = time.Second
	// unknownPeersTimeout is how long after its start a router that was not told the membership waits before it counts as
	// alone, or takes a parent among those that it has found.
	unknownPeersTimeout = 400 * time.Millisecond
	// settleTime is how long the membership must not have grown before a router that has just started takes a parent, and
	// settleLimit the age from which it does so in any case. At a start of 300 routers each hears of the others in dozens
	// of messages, and would take, and connect to, as many parents.
	settleTime  = 100 * time.Millisecond
	settleLimit = time.Second
	// startAge is the age up to which a router does not conclude from time-outs that another one is lost: hundreds that
	// start at once are slow to answer and to read answers.
	startAge = 10 * time.Second
	// seedInterval is how long an attempt to reach a given address lasts before the next address is tried beside it. A router
	// that has reached one is told of others, and need not try those that are alive. Hundreds that start at once and try
	// all addresses at once would reach none in time.
	seedInterval = 300 * time.Millisecond
	// reserveTimeout bounds the wait for the answer of a keeper. The round-trip time is a few milliseconds.
	reserveTimeout = 40 * time.Millisecond
	// reserveBackoff is how long a keeper that has not answered is not asked again.
	reserveBackoff = 500 * time.Millisecond
	// expireInterval is the time between two looks for routers that are to be forgotten.
	expireInterval = time.Second
	// maxSeeds bounds the addresses that are tried.
	maxSeeds = 1024
	// maxStreams and maxHeaderListBytes bound what a client of the peer port can open on one connection. A router opens one
	// stream. handshakeTimeout ends connections that do not speak the protocol; a router says so at once.
	maxStreams         = 16
	maxHeaderListBytes = 8 << 10
	handshakeTimeout   = 10 * time.Second
	// maxUnknownBytes is what a connection may send before its hello was read, which takes some hundred bytes.
	maxUnknownBytes = 16 << 10
)

// Handler provides this router's state and receives that of the others. Its methods must not block.
type Handler interface {
	// State returns the positions, suspects and records for a neighbour at the given feed positions, which may be
	// nil. up is set for the parent. If want is set, the state asks the neighbour for its records whatever their
	// size.
	State(positions []*peerpb.Position, up, want bool) *peerpb.State
	// NeedsRecords reports whether this router needs records whatever their size.
	NeedsRecords() bool
	// MergeState applies a neighbour's state and reports whether it holds news that are to be passed on at once. behind is
	// set if the neighbour has records that it has not sent and that this router needs whatever their size.
	MergeState(node string, state *peerpb.State) (news, behind bool)
	// Loads returns this router's load by pool.
	Loads() map[uint32]PoolLoad
	// SetFleetLoads receives the load of the whole fleet by pool.
	SetFleetLoads(loads map[uint32]PoolLoad)
	// ResponseTimes returns the response times that are due for the parent, or for all routers below this one; root is set
	// if there is no parent. They are not returned again. MergeResponseTimes receives those of a router below this one, for
	// which up is set, or of the parent.
	ResponseTimes(up, root bool) []*peerpb.ResponseTimes
	MergeResponseTimes(up bool, times []*peerpb.ResponseTimes)
	// Reserve decides on a reservation of another router and calls reply with the answer, unless it is forced. A place at
	// an instance of a plain service may be granted later, in another goroutine. Release ends a reservation, also one
	// that still waits, with the outcome of the request.
	Reserve(node string, r *peerpb.Reserve, reply func(*peerpb.Reserved))
	Release(node string, sequence uint64, outcome peerpb.Outcome)
	// Undelivered is called with the end of a reservation, or a forced one, that may not have been received because the link
	// was closed.
	Undelivered(node string, m *peerpb.Message)
	// Observe receives what another router has observed of an engine that this one keeps.
	Observe(o *peerpb.Observation)
	// Locate answers a question about a document of this router's directory.
	Locate(l *peerpb.Locate) *peerpb.Located
	// MembersChanged is called after each change with the routers that are alive, with the other ones that are leaving,
	// which finish the requests that they have, and with the number of those that are lost.
	MembersChanged(alive, leaving []*peerpb.Member, lost int)
	// PeerStateChanged is called when a router is lost or alive again, and ParentChanged with the new parent, ""
	// at the root.
	PeerStateChanged(node string, alive bool)
	ParentChanged(node string)
}

// PoolLoad is what one or more routers have in one pool.
type PoolLoad struct {
	// Requests are in flight.
	Requests uint32
	// Ejected is the number of ejected instances among those that the routers keep.
	Ejected uint32
	// Reduced is by how many requests the limits of the engines that the routers keep are below the slots.
	Reduced uint32
}

// add returns the sum of two loads.
func (l PoolLoad) add(o PoolLoad) PoolLoad {
	return PoolLoad{Requests: l.Requests + o.Requests, Ejected: l.Ejected + o.Ejected, Reduced: l.Reduced + o.Reduced}
}

// Fleet connects this router to the others. It is safe for concurrent use.
type Fleet struct {
	peerpb.UnimplementedPeerServer
	// MaxConnections bounds the connections of others to this router unless it is 0. It is set before Start.
	MaxConnections int
	// limit is nil without MaxConnections.
	limit *connlimit.Listener
	node  string
	// address is where this router listens, advertised the address that others use to reach it.
	address    string
	advertised string
	handler    Handler
	meter      *traffic.Meter
	server     *grpc.Server
	startedAt  time.Time
	// answerTimeout is reserveTimeout, unless a test sets another one.
	answerTimeout time.Duration
	wake          chan struct{}
	// notifyMu is held while the handler is told of the members. notified is the number of their changes that it was told
	// of.
	notifyMu sync.Mutex
	notified uint64

	mu sync.Mutex
	// runCtx ends with Run, and endRun ends Run.
	runCtx  context.Context
	endRun  context.CancelFunc
	members *members
	links   map[string][]*link
	// dials are the attempts to reach an address, by address.
	dials map[string]*dialState
	seeds []string
	// reached are the addresses at which another router has answered.
	reached map[string]bool
	// parent is the name of the parent, "" at the root. heardParentAt is when it was chosen or last sent its state.
	parent          string
	heardParentAt   time.Time
	parentPositions []*peerpb.Position
	nextUpAt        time.Time
	// parentSequence is the sequence number of the parent's last state that was merged, and stateSequence that of the
	// last state sent down.
	parentSequence, stateSequence uint64
	// askedForRecordsAt is when a neighbour was last asked for records of any size.
	askedForRecordsAt time.Time
	// sentUp and sentDown are the loads told last in each direction, in requests.
	sentUp, sentDown     uint32
	sentUpAt, sentDownAt time.Time
	nextSoloAt           time.Time
	children             map[string]*child
	totals               map[uint32]PoolLoad
	// timesDown are the response times that are told to each child once, timesRound is their number, and nextTimesAt is when
	// the next ones are made.
	timesDown   []*peerpb.ResponseTimes
	timesRound  uint64
	nextTimesAt time.Time
	// contacted is set once any other router was reached, and informed once one has told the membership.
	contacted, informed bool
	// expiredAt is when routers that are gone were last forgotten.
	expiredAt time.Time
	// grownAt is when a router was last added to the membership.
	grownAt time.Time
	// news are membership changes to pass on. advancedUp and advancedDown are set when a feed has advanced since the
	// last state in that direction.
	news         []*peerpb.Member
	advancedUp   bool
	advancedDown bool
	// avoidUntil holds the keepers that have not answered.
	avoidUntil map[string]time.Time
	sequence   uint64
	pending    map[uint64]chan *peerpb.Message
}

// child is a router that has sent its state up to this one.
type child struct {
	heardAt   time.Time
	sentAt    time.Time
	loads     map[uint32]PoolLoad
	positions []*peerpb.Position
	// timesRound is the number of the response times that were sent last.
	timesRound uint64
	// recordsSequence and recordsSentAt are those of the last state with records, and expected are the positions after it.
	recordsSequence uint64
	recordsSentAt   time.Time
	expected        []*peerpb.Position
	// sending is held while a state is made and queued, because two made at once would hold the same records. It is
	// locked before the fleet's lock.
	sending sync.Mutex
}

// New returns a fleet of which only this router is known. address is where it listens. advertised is the address at
// which others reach it, and defaults to address. meter counts its traffic.
func New(node, address, advertised string, handler Handler, meter *traffic.Meter) *Fleet {
	return &Fleet{
		node: node, address: address, advertised: advertised, handler: handler, meter: meter, startedAt: time.Now(), answerTimeout: reserveTimeout, wake: make(chan struct{}, 1),
		runCtx: context.Background(), endRun: func() {}, links: make(map[string][]*link), dials: make(map[string]*dialState), reached: make(map[string]bool), children: make(map[string]*child),
		avoidUntil: make(map[string]time.Time), pending: make(map[uint64]chan *peerpb.Message),
	}
}

// Start listens and serves other routers in the background.
func (f *Fleet) Start() error {
	options, err := transport.ServerOptions(settings.TLS{})
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", f.address)
	if err != nil {
		return fmt.Errorf("peer address: %w", err)
	}
	if f.MaxConnections > 0 {
		f.limit = connlimit.New(listener, f.MaxConnections)
		f.limit.UnknownBytes, f.limit.UnknownTime = maxUnknownBytes, handshakeTimeout
		listener = f.limit
	}
	f.mu.Lock()
	f.address = listener.Addr().String()
	if f.advertised == "" {
		f.advertised = f.address
	}
	f.members = newMembers(&peerpb.Member{Node: f.node, Address: f.advertised, Incarnation: uint64(f.startedAt.UnixMilli())})
	f.mu.Unlock()
	f.server = grpc.NewServer(append(options, grpc.MaxConcurrentStreams(maxStreams), grpc.MaxHeaderListSize(maxHeaderListBytes),
		grpc.ConnectionTimeout(handshakeTimeout), grpc.ReadBufferSize(connectionBuffer), grpc.WriteBufferSize(connectionBuffer),
		grpc.InitialWindowSize(windowBytes), grpc.InitialConnWindowSize(windowBytes))...)
	peerpb.RegisterPeerServer(f.server, f)
	f.notifyMembers()
	go func() { _ = f.server.Serve(f.meter.WrapListener(listener, traffic.PeerRouter, traffic.ClassControl)) }()
	return nil
}

// Refused returns the number of connections to this router that were closed because of a limit.
func (f *Fleet) Refused() int64 { return f.limit.Refused() }

// Address returns the address at which others reach this router. It is known after Start.
func (f *Fleet) Address() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.advertised
}

// Stop ends Run, stops serving and closes all links.
func (f *Fleet) Stop() {
	f.mu.Lock()
	f.endRun()
	for _, list := range f.links {
		for _, l := range list {
			l.close()
		}
	}
	f.mu.Unlock()
	if f.server != nil {
		f.server.Stop()
	}
}

// Add adds addresses at which other routers may be found.
func (f *Fleet) Add(addresses ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, address := range addresses {
		if address != "" && address != f.advertised && !slices.Contains(f.seeds, address) && len(f.seeds) < maxSeeds {
			f.seeds = append(f.seeds, address)
		}
	}
}

// Contacted reports whether any other router was reached.
func (f *Fleet) Contacted() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.contacted
}

// Peers returns the names of the other routers that are alive.
func (f *Fleet) Peers() []string {
	var out []string
	for _, m := range f.alive() {
		if m.GetNode() != f.node {
			out = append(out, m.GetNode())
		}
	}
	return out
}

func (f *Fleet) alive() []*peerpb.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.alive
}

func (f *Fleet) self() *peerpb.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.own
}

// Rank returns the number of routers that read the store before this one: 0 at the root, and -1 as long as it is not
// known whether there are other routers.
func (f *Fleet) Rank() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.parent == "" {
		if f.awaitsMembers(time.Now()) {
			return -1
		}
		return 0
	}
	rank, _ := treeRank(f.members.alive, f.node)
	return max(1, rank)
}

// MixedRank returns the number of other routers before this one in an order that does not depend on their names, and so
// mixes failure domains.
func (f *Fleet) MixedRank() int {
	own := rendezvous.Hash(f.node)
	rank := 0
	for _, m := range f.alive() {
		if rendezvous.Hash(m.GetNode()) < own {
			rank++
		}
	}
	return rank
}

// Changed makes the fleet pass on at once what this router has read from the store or learned otherwise.
func (f *Fleet) Changed() {
	f.mu.Lock()
	f.advancedUp, f.advancedDown = true, true
	f.mu.Unlock()
	f.wakeUp()
}

func (f *Fleet) wakeUp() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Run maintains the membership and the tree until ctx is done.
func (f *Fleet) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	f.runCtx, f.endRun = ctx, cancel
	f.mu.Unlock()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		f.tick(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-f.wake:
		}
	}
}

// notifyMembers tells the handler which routers are alive. Calls do not overlap, so that the last one has the newest
// members.
func (f *Fleet) notifyMembers() {
	f.notifyMu.Lock()
	defer f.notifyMu.Unlock()
	f.notify()
}

// awaitNotified returns once the handler knows the changes of the members until now. Another goroutine that has made one
// may be about to tell it.
func (f *Fleet) awaitNotified() {
	f.notifyMu.Lock()
	defer f.notifyMu.Unlock()
	f.mu.Lock()
	told := f.notified == f.members.changes
	f.mu.Unlock()
	if !told {
		f.notify()
	}
}

// notify tells the handler of the members. The caller holds notifyMu.
func (f *Fleet) notify() {
	f.mu.Lock()
	alive, leaving, lost := f.members.alive, f.members.leaving(), len(f.members.lost())
	f.notified = f.members.changes
	f.mu.Unlock()
	f.handler.MembersChanged(alive, leaving, lost)
}

// AnnounceLeave tells the others that this router is shutting down.
func (f *Fleet) AnnounceLeave() {
	f.mu.Lock()
	f.news = append(f.news, f.members.announce(peerpb.Status_LEAVING, f.members.own.GetVersion()+1))
	f.mu.Unlock()
	f.notifyMembers()
	f.wakeUp()
}

// addLink registers a link whose hello has been received.
func (f *Fleet) addLink(l *link, hello *peerpb.Member) bool {
	if l.node == "" || l.node == f.node {
		return false
	}
	f.mu.Lock()
	f.contacted = true
	f.links[l.node] = append(f.links[l.node], l)
	delete(f.avoidUntil, l.node)
	known := f.members.get(l.node)
	f.mu.Unlock()
	f.merge([]*peerpb.Member{hello})
	f.awaitNotified()
	f.mu.Lock()
	if known == nil || known.GetIncarnation() != hello.GetIncarnation() || known.GetStatus() != peerpb.Status_ALIVE {
		// A router that has just started may know nobody else, and one that was declared lost has to refute that.
		f.sendMembers(l)
	}
	f.mu.Unlock()
	f.wakeUp()
	return true
}

// sendMembers sends the whole membership. The caller holds mu.
func (f *Fleet) sendMembers(l *link) {
	l.sentMembersAt = time.Now()
	l.send(&peerpb.Message{Members: f.members.all()})
}

func (f *Fleet) removeLink(l *link) {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := slices.DeleteFunc(f.links[l.node], func(other *link) bool { return other == l })
	if len(list) == 0 {
		delete(f.links, l.node)
		// Its load counts again with its next state, whoever is its parent then.
		delete(f.children, l.node)
		return
	}
	f.links[l.node] = list
}

// linkTo returns an open link to a router, or nil. The caller holds mu.
func (f *Fleet) linkTo(node string) *link {
	for _, l := range slices.Backward(f.links[node]) {
		if l.ctx.Err() == nil {
			return l
		}
	}
	return nil
}

// merge applies descriptions of routers and passes on what is new. refuted is set if one said that this router is lost.
func (f *Fleet) merge(list []*peerpb.Member) (refuted bool) {
	now := time.Now()
	type change struct {
		node  string
		alive bool
	}
	var changes []change
	changed := false
	f.mu.Lock()
	for _, in := range list {
		before := f.members.get(in.GetNode())
		news := f.members.apply(in, now)
		if news == nil {
			continue
		}
		changed = true
		for _, l := range f.links[in.GetNode()] {
			if l.incarnation < in.GetIncarnation() {
				l.outdated.Store(true)
				l.close()
			}
		}
		refuted = refuted || in.GetNode() == f.node
		f.news = append(f.news, news)
		if before == nil {
			f.grownAt = now
		}
		wasAlive := before != nil && before.GetStatus() == peerpb.Status_ALIVE
		if isAlive := in.GetStatus() == peerpb.Status_ALIVE; in.GetNode() != f.node && before != nil && wasAlive != isAlive {
			changes = append(changes, change{in.GetNode(), isAlive})
		}
		if in.GetStatus() == peerpb.Status_ALIVE {
			if d := f.dials[in.GetAddress()]; d != nil && !d.running {
				d.failures, d.nextAt = 0, time.Time{}
			}
		}
	}
	if changed {
		f.members.rebuild()
	}
	f.mu.Unlock()
	if !changed {
		return false
	}
	for _, c := range changes {
		f.handler.PeerStateChanged(c.node, c.alive)
	}
	f.notifyMembers()
	f.wakeUp()
	return refuted
}
