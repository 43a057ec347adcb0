// Package peer exchanges news between the gateways of one fleet: what each has in flight, records of
// the feeds for those that the store does not serve, and requests that crash engines.
//
// Of each two routers the one with the lower name calls. A router that has not heard from another one
// for a while calls whatever its name, so that a newcomer is known after its first call. The pause
// between calls grows with the number of peers, so that a router's bytes and processor time for the
// exchange stay within its budget at any fleet size.
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
	// shortestPause is the pause between two calls to one peer in a small fleet. What a peer has in
	// flight is then younger than a typical request is long.
	shortestPause = 150 * time.Millisecond
	// callsPerSecond bounds the calls that one router makes, and as many that it gets, in a large fleet.
	// docs/CAPACITY.md has their bytes.
	callsPerSecond = 25
	// callTimeout bounds one call. Peers are a few milliseconds away.
	callTimeout = 600 * time.Millisecond
	// forgetAfter is how long a peer that does not answer is called; calls to it back off.
	forgetAfter = 60 * time.Second
	// longestBackoff bounds the pause after failed calls to one peer.
	longestBackoff = 4 * time.Second
	// quietAfter is how many pauses without a call from a peer make this router call it.
	quietAfter = 4
)

// Host supplies and takes the news of this router.
type Host interface {
	// News returns what to tell a peer that is at the given positions, which may be nil. want asks the
	// peer for long records too.
	News(theirs []*peerpb.Position, want bool) *peerpb.News
	// Wants reports whether this router needs long records from a peer.
	Wants() bool
	// Heard takes the news of a peer over.
	Heard(news *peerpb.News)
	// PeerState is called when a peer stops answering, with the error, and when it answers again.
	PeerState(address string, err error)
}

// Exchange is the exchange of one router. It is safe for concurrent use.
type Exchange struct {
	peerpb.UnimplementedPeerServer
	self string
	// address is where this router listens, advertised where others reach it.
	address    string
	advertised string
	host       Host
	meter      *traffic.Meter
	server     *grpc.Server

	mu    sync.Mutex
	peers map[string]*remote
}

// remote is another router, by address.
type remote struct {
	address string
	node    string
	conn    *grpc.ClientConn
	// heardAt is the time of the last call or answer from it.
	heardAt time.Time
	nextAt  time.Time
	addedAt time.Time
	fails   int
	busy    bool
	// theirs are the positions that it last sent.
	theirs []*peerpb.Position
}

// New returns an exchange for the router of the given name. address is where it serves peers, advertised where they
// reach it; empty is address. meter counts its bytes.
func New(self, address, advertised string, host Host, meter *traffic.Meter) *Exchange {
	return &Exchange{self: self, address: address, advertised: advertised, host: host, meter: meter, peers: make(map[string]*remote)}
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
	e.server = grpc.NewServer(append(options, grpc.ReadBufferSize(messageBuffer), grpc.WriteBufferSize(messageBuffer))...)
	peerpb.RegisterPeerServer(e.server, e)
	go func() { _ = e.server.Serve(e.meter.Listen(listener, traffic.PeerRouter, traffic.ClassControl)) }()
	return nil
}

// Address returns where peers reach this router, known after Start.
func (e *Exchange) Address() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.advertised
}

// Stop ends serving and closes all connections.
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

// Add makes addresses of peers known. Addresses that are known or the router's own are ignored.
func (e *Exchange) Add(addresses ...string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, address := range addresses {
		e.add(address)
	}
}

func (e *Exchange) add(address string) *remote {
	if address == "" || address == e.advertised {
		return nil
	}
	if p, ok := e.peers[address]; ok {
		return p
	}
	conn, err := e.dial(address)
	if err != nil {
		// gRPC connects later, so that an error here is an address that is none.
		e.host.PeerState(address, err)
		return nil
	}
	p := &remote{address: address, conn: conn, addedAt: time.Now()}
	e.peers[address] = p
	return p
}

// messageBuffer is the read and write buffer of a connection; messages are shorter.
const messageBuffer = 4 << 10

func (e *Exchange) dial(address string) (*grpc.ClientConn, error) {
	options, err := transport.DialOptions(settings.TLS{})
	if err != nil {
		return nil, err
	}
	metered := e.meter.Dialer(traffic.PeerRouter, traffic.ClassControl)
	options = append(options, grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
		return metered(ctx, "tcp", address)
	}))
	options = append(options, grpc.WithReadBufferSize(messageBuffer), grpc.WithWriteBufferSize(messageBuffer), grpc.WithIdleTimeout(0))
	return grpc.NewClient("passthrough:///"+address, options...)
}

// maxPeerAddresses bounds the addresses in one message. The list of all would be most of a message in a large
// fleet; any few of them reach everybody within some messages.
const maxPeerAddresses = 4

// SamplePeers returns a few addresses of peers heard lately, others each time.
func (e *Exchange) SamplePeers() []string {
	known := e.Known()
	rand.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	return known[:min(len(known), maxPeerAddresses)]
}

// Known returns the addresses of peers heard lately.
func (e *Exchange) Known() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	for address, p := range e.peers {
		if time.Since(p.heardAt) < longestBackoff {
			out = append(out, address)
		}
	}
	return out
}

// Rank returns the number of peers heard lately whose names come before this router's.
func (e *Exchange) Rank() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	lately := quietAfter*pause(len(e.peers)) + callTimeout
	rank := 0
	for _, p := range e.peers {
		if p.node < e.self && p.node != "" && time.Since(p.heardAt) < lately {
			rank++
		}
	}
	return rank
}

// Exchange implements peerpb.PeerServer.
func (e *Exchange) Exchange(_ context.Context, news *peerpb.News) (*peerpb.News, error) {
	e.heard(news)
	return e.host.News(news.GetPositions(), false), nil
}

func (e *Exchange) heard(news *peerpb.News) {
	e.mu.Lock()
	if p := e.add(news.GetAddress()); p != nil {
		e.answered(p, news)
	}
	for _, address := range news.GetPeers() {
		e.add(address)
	}
	e.mu.Unlock()
	e.host.Heard(news)
}

// answered notes that a peer was heard.
func (e *Exchange) answered(p *remote, news *peerpb.News) {
	if p.fails >= reconnectAfter {
		e.host.PeerState(p.address, nil)
	}
	p.fails = 0
	p.node = news.GetNode()
	p.heardAt = time.Now()
	p.theirs = news.GetPositions()
}

// tick is the resolution of the calls' times.
const tick = 50 * time.Millisecond

// askPause is the time between two requests for long records. One peer is asked at a time, because a
// long record from each of them would fill the link.
const askPause = 500 * time.Millisecond

// anyPeer returns a random peer heard lately that is not being called, or nil.
func (e *Exchange) anyPeer(now time.Time) *remote {
	e.mu.Lock()
	defer e.mu.Unlock()
	var heard []*remote
	for _, p := range e.peers {
		if !p.busy && now.Sub(p.heardAt) < longestBackoff {
			heard = append(heard, p)
		}
	}
	if len(heard) == 0 {
		return nil
	}
	p := heard[rand.IntN(len(heard))]
	p.busy = true
	return p
}

// Run calls peers until ctx ends.
func (e *Exchange) Run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	askAt := time.Now()
	for {
		if now := time.Now(); !now.Before(askAt) && e.host.Wants() {
			askAt = now.Add(askPause)
			if p := e.anyPeer(now); p != nil {
				go e.call(ctx, p, true)
			}
		}
		for _, p := range e.due(time.Now()) {
			go e.call(ctx, p, false)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// pause is the time between two calls to one peer.
func pause(peers int) time.Duration {
	return max(shortestPause, time.Duration(peers)*time.Second/(2*callsPerSecond))
}

// Span is the time within which every peer is reached twice, so that news that is repeated for as long
// survives a lost call.
func (e *Exchange) Span() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return 2*pause(len(e.peers)) + tick
}

// due returns the peers to call now and forgets those that stay silent.
func (e *Exchange) due(now time.Time) []*remote {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []*remote
	between := pause(len(e.peers))
	for address, p := range e.peers {
		if p.fails > 0 && now.Sub(p.heardAt) > forgetAfter && now.Sub(p.addedAt) > forgetAfter {
			_ = p.conn.Close()
			delete(e.peers, address)
			continue
		}
		mine := p.node == "" || e.self < p.node || now.Sub(p.heardAt) > quietAfter*between
		if p.busy || !mine || now.Before(p.nextAt) {
			continue
		}
		p.busy = true
		p.nextAt = now.Add(between)
		out = append(out, p)
	}
	return out
}

func (e *Exchange) call(ctx context.Context, p *remote, want bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e.mu.Lock()
	theirs, conn := p.theirs, p.conn
	e.mu.Unlock()
	news, err := peerpb.NewPeerClient(conn).Exchange(ctx, e.host.News(theirs, want))
	e.mu.Lock()
	p.busy = false
	if err != nil {
		p.fails++
		if p.fails == reconnectAfter {
			e.host.PeerState(p.address, err)
		}
		e.reconnect(p)
		p.nextAt = time.Now().Add(min(longestBackoff, shortestPause<<min(p.fails, 6)))
		e.mu.Unlock()
		return
	}
	e.answered(p, news)
	e.mu.Unlock()
	if news.GetNode() != e.self {
		e.host.Heard(news)
		e.Add(news.GetPeers()...)
	}
}

// reconnectAfter is the number of failed calls after which the connection is replaced. A connection may
// be silent for good while a new one works.
const reconnectAfter = 2

// reconnect replaces the connection to a peer that does not answer.
func (e *Exchange) reconnect(p *remote) {
	if p.fails%reconnectAfter != 0 {
		return
	}
	conn, err := e.dial(p.address)
	if err != nil {
		// The old connection stays; the next failure tries again.
		return
	}
	_ = p.conn.Close()
	p.conn = conn
}

// AnnounceLeave tells all peers once that this router stops.
func (e *Exchange) AnnounceLeave(ctx context.Context) {
	e.mu.Lock()
	list := make([]*remote, 0, len(e.peers))
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
