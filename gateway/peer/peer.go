// Package peer exchanges state between the routers of one fleet: requests in flight, recent placements of
// prompts, feed records, and requests that are suspected to crash engines. Feed records are sent to every peer
// if they are small, and otherwise only to a router that asks for them because it cannot read the store.
//
// Of each pair of routers, the one with the lower name makes the calls. A router that has not heard from
// another one for a while calls it whatever its name, so that a new router is known after its first call. The
// interval between calls grows with the number of peers, so that the calls that a router makes and receives do
// not exceed 2*maxCallsPerSecond, which bounds its traffic and CPU time for the exchange at any fleet size.
package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"

	"jacinthfork.example/jacinthfork/gateway/peer/peerpb"
	"jacinthfork.example/jacinthfork/internal/transport"
	"jacinthfork.example/jacinthfork/kernel/settings"
	"jacinthfork.example/jacinthfork/traffic"
)

const (
	// minCallInterval is the time between two calls to one peer in a small fleet. The in-flight counts of a
	// peer are then no older than a typical request takes.
	minCallInterval = 150 * time.Millisecond
	// maxCallsPerSecond bounds the calls that a router makes in a large fleet, on average over the routers, and
	// those that it receives. Both together are at most twice as many for each router; the one with the lowest
	// name makes nearly all of its calls itself, the one with the highest receives them. See docs/CAPACITY.md
	// for their size in bytes.
	maxCallsPerSecond = 25
	// callTimeout bounds one call. Peers are a few milliseconds away.
	callTimeout = 600 * time.Millisecond
	// forgetAfter is how long a peer that does not answer is kept. Calls to it back off.
	forgetAfter = 60 * time.Second
	// maxBackoff bounds the pause after failed calls to one peer. A peer with contact within this time is a
	// recent one.
	maxBackoff = 4 * time.Second
	// silentIntervals is the number of call intervals without contact from a peer after which this router
	// calls it.
	silentIntervals = 4
)

// Handler provides this router's state and receives that of its peers.
type Handler interface {
	// StateUpdate returns the update for a peer at the given feed positions, which may be nil. If want is set,
	// the update asks the peer for its feed records whatever their size. Without it, a peer leaves them out if
	// they are large in total.
	StateUpdate(positions []*peerpb.Position, want bool) *peerpb.StateUpdate
	// NeedsRecords reports whether this router needs a peer's feed records whatever their size.
	NeedsRecords() bool
	// MergeUpdate applies a peer's update.
	MergeUpdate(update *peerpb.StateUpdate)
	// PeerStateChanged is called with an error when a peer has not answered several calls in a row or no
	// connection for an address could be created, and with nil when a peer answers again. It must not call the
	// exchange, which holds its lock during the call.
	PeerStateChanged(address string, err error)
}

// Exchange exchanges state with the other routers of the fleet. It is safe for concurrent use.
type Exchange struct {
	peerpb.UnimplementedPeerServer
	node string
	// address is where this router listens, advertised the address that peers use to reach it.
	address    string
	advertised string
	handler    Handler
	meter      *traffic.Meter
	server     *grpc.Server

	mu    sync.Mutex
	peers map[string]*peerState
}

// peerState is the state of one other router, keyed by address.
type peerState struct {
	address string
	node    string
	conn    *grpc.ClientConn
	// lastContact is the time of the last call or response from the peer.
	lastContact time.Time
	nextCallAt  time.Time
	addedAt     time.Time
	failures    int
	calling     bool
	// positions are the feed positions that the peer sent last.
	positions []*peerpb.Position
}

// New returns an exchange for the router with the given name. address is where it listens for peers.
// advertised is the address at which they reach it, and defaults to address. meter counts its traffic.
func New(node, address, advertised string, handler Handler, meter *traffic.Meter) *Exchange {
	return &Exchange{node: node, address: address, advertised: advertised, handler: handler, meter: meter, peers: make(map[string]*peerState)}
}

// Start listens and serves peers in the background.
func (e *Exchange) Start() error {
	options, err := transport.ServerOptions(settings.TLS{})
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return fmt.Errorf("peer address: %w", err)
	}
	e.mu.Lock()
	e.address = listener.Addr().String()
	if e.advertised == "" {
		e.advertised = e.address
	}
	e.mu.Unlock()
	e.server = grpc.NewServer(append(options, grpc.ReadBufferSize(connectionBuffer), grpc.WriteBufferSize(connectionBuffer))...)
	peerpb.RegisterPeerServer(e.server, e)
	go func() { _ = e.server.Serve(e.meter.WrapListener(listener, traffic.PeerRouter, traffic.ClassControl)) }()
	return nil
}

// Address returns the address at which peers reach this router. It is known after Start.
func (e *Exchange) Address() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.advertised
}

// Stop stops serving and closes all connections.
func (e *Exchange) Stop() {
	if e.server != nil {
		e.server.Stop()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.peers {
		_ = p.conn.Close()
	}
}

// Add adds addresses of peers. Known addresses and the router's own are ignored.
func (e *Exchange) Add(addresses ...string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, address := range addresses {
		e.add(address)
	}
}

func (e *Exchange) add(address string) *peerState {
	if address == "" || address == e.advertised {
		return nil
	}
	if p, ok := e.peers[address]; ok {
		return p
	}
	conn, err := e.dial(address)
	if err != nil {
		// gRPC connects lazily, so an error here means that the address or the dial options are invalid.
		e.handler.PeerStateChanged(address, err)
		return nil
	}
	p := &peerState{address: address, conn: conn, addedAt: time.Now()}
	e.peers[address] = p
	return p
}

// connectionBuffer is the size of a connection's read and write buffers. Messages are smaller.
const connectionBuffer = 4 << 10

func (e *Exchange) dial(address string) (*grpc.ClientConn, error) {
	options, err := transport.DialOptions(settings.TLS{})
	if err != nil {
		return nil, err
	}
	metered := e.meter.Dialer(traffic.PeerRouter, traffic.ClassControl)
	options = append(options, grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
		return metered(ctx, "tcp", address)
	}))
	options = append(options, grpc.WithReadBufferSize(connectionBuffer), grpc.WithWriteBufferSize(connectionBuffer), grpc.WithIdleTimeout(0))
	return grpc.NewClient("passthrough:///"+address, options...)
}

// maxPeerAddresses bounds the addresses in one message. In a large fleet the complete list would make up most
// of a message, while a few random ones reach every router after some messages.
const maxPeerAddresses = 4

// SamplePeers returns a random sample of the addresses of recent peers.
func (e *Exchange) SamplePeers() []string {
	known := e.RecentPeers()
	rand.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	return known[:min(len(known), maxPeerAddresses)]
}

// RecentPeers returns the addresses of the peers with contact within maxBackoff.
func (e *Exchange) RecentPeers() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	for address, p := range e.peers {
		if time.Since(p.lastContact) < maxBackoff {
			out = append(out, address)
		}
	}
	return out
}

// Rank returns the number of peers whose names sort before this router's and with contact within the time after
// which this router would call them itself.
func (e *Exchange) Rank() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	window := silentIntervals*callInterval(len(e.peers)) + callTimeout
	rank := 0
	for _, p := range e.peers {
		if p.node < e.node && p.node != "" && time.Since(p.lastContact) < window {
			rank++
		}
	}
	return rank
}

// Exchange implements peerpb.PeerServer.
func (e *Exchange) Exchange(_ context.Context, update *peerpb.StateUpdate) (*peerpb.StateUpdate, error) {
	e.receive(update)
	return e.handler.StateUpdate(update.GetPositions(), false), nil
}

func (e *Exchange) receive(update *peerpb.StateUpdate) {
	e.mu.Lock()
	if p := e.add(update.GetAddress()); p != nil {
		e.recordContact(p, update)
	}
	for _, address := range update.GetPeers() {
		e.add(address)
	}
	e.mu.Unlock()
	e.handler.MergeUpdate(update)
}

// recordContact records a call or response from a peer.
func (e *Exchange) recordContact(p *peerState, update *peerpb.StateUpdate) {
	if p.failures >= reconnectAfter {
		e.handler.PeerStateChanged(p.address, nil)
	}
	p.failures = 0
	p.node = update.GetNode()
	p.lastContact = time.Now()
	p.positions = update.GetPositions()
}

// tickInterval is the resolution of the call schedule.
const tickInterval = 50 * time.Millisecond

// recordRequestInterval is the time between two requests for records of any size. Only one peer is asked at a
// time, because large updates from all of them would saturate the link.
const recordRequestInterval = 500 * time.Millisecond

// pickRecentPeer returns a random peer with contact within maxBackoff and no call in progress, or nil, and marks
// it as being called.
func (e *Exchange) pickRecentPeer(now time.Time) *peerState {
	e.mu.Lock()
	defer e.mu.Unlock()
	var recent []*peerState
	for _, p := range e.peers {
		if !p.calling && now.Sub(p.lastContact) < maxBackoff {
			recent = append(recent, p)
		}
	}
	if len(recent) == 0 {
		return nil
	}
	p := recent[rand.IntN(len(recent))]
	p.calling = true
	return p
}

// Run calls peers until ctx is done.
func (e *Exchange) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	nextRequestAt := time.Now()
	for {
		if now := time.Now(); !now.Before(nextRequestAt) && e.handler.NeedsRecords() {
			nextRequestAt = now.Add(recordRequestInterval)
			if p := e.pickRecentPeer(now); p != nil {
				go e.call(ctx, p, true)
			}
		}
		for _, p := range e.duePeers(time.Now()) {
			go e.call(ctx, p, false)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// callInterval returns the time between two calls to one peer.
func callInterval(peers int) time.Duration {
	return max(minCallInterval, time.Duration(peers)*time.Second/(2*maxCallsPerSecond))
}

// PropagationTime returns the time within which every peer is reached twice, so that an update repeated for
// as long survives a lost call.
func (e *Exchange) PropagationTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return 2*callInterval(len(e.peers)) + tickInterval
}

// duePeers returns the peers to call now and removes those that have not answered for too long.
func (e *Exchange) duePeers(now time.Time) []*peerState {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []*peerState
	interval := callInterval(len(e.peers))
	for address, p := range e.peers {
		if p.failures > 0 && now.Sub(p.lastContact) > forgetAfter && now.Sub(p.addedAt) > forgetAfter {
			_ = p.conn.Close()
			delete(e.peers, address)
			continue
		}
		initiates := p.node == "" || e.node < p.node || now.Sub(p.lastContact) > silentIntervals*interval
		if p.calling || !initiates || now.Before(p.nextCallAt) {
			continue
		}
		p.calling = true
		p.nextCallAt = now.Add(interval)
		out = append(out, p)
	}
	return out
}

func (e *Exchange) call(ctx context.Context, p *peerState, want bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e.mu.Lock()
	positions, conn := p.positions, p.conn
	e.mu.Unlock()
	update, err := peerpb.NewPeerClient(conn).Exchange(ctx, e.handler.StateUpdate(positions, want))
	e.mu.Lock()
	p.calling = false
	if err != nil {
		p.failures++
		if p.failures == reconnectAfter {
			e.handler.PeerStateChanged(p.address, err)
		}
		e.reconnect(p)
		p.nextCallAt = time.Now().Add(min(maxBackoff, minCallInterval<<min(p.failures, 6)))
		e.mu.Unlock()
		return
	}
	e.recordContact(p, update)
	e.mu.Unlock()
	// An address in the list may lead back to this router.
	if update.GetNode() != e.node {
		e.handler.MergeUpdate(update)
		e.Add(update.GetPeers()...)
	}
}

// reconnectAfter is the number of failed calls after which the connection is replaced. A connection may stay
// dead while a new one works.
const reconnectAfter = 2

// reconnect replaces the connection to a peer that does not answer.
func (e *Exchange) reconnect(p *peerState) {
	if p.failures%reconnectAfter != 0 {
		return
	}
	conn, err := e.dial(p.address)
	if err != nil {
		// Keep the old connection and retry after further failures.
		return
	}
	_ = p.conn.Close()
	p.conn = conn
}

// AnnounceLeave calls all peers once when this router is shutting down. The gateway then sets Leaving in the
// update, which no peer reads so far.
func (e *Exchange) AnnounceLeave(ctx context.Context) {
	e.mu.Lock()
	list := make([]*peerState, 0, len(e.peers))
	for _, p := range e.peers {
		list = append(list, p)
	}
	e.mu.Unlock()
	var done sync.WaitGroup
	for _, p := range list {
		done.Go(func() { e.call(ctx, p, false) })
	}
	done.Wait()
}
