package fleettest

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Direction is the way of bytes through a Relay.
type Direction int

// Directions.
const (
	ToTarget Direction = iota
	FromTarget
)

// Relay passes TCP connections on to a target, so that a test can cut, stall and refuse them. When the
// target refuses, the client's connection is accepted and reset.
type Relay struct {
	t       testing.TB
	target  string
	address string
	bytes   [2]atomic.Int64

	mu       sync.Mutex
	listener net.Listener
	pairs    map[*pair]bool
	gates    [2]chan struct{} // open when closed
	delay    time.Duration
}

type pair struct{ client, server net.Conn }

// NewRelay returns a relay on a free address of the host. It is closed at the end of the test.
func NewRelay(t testing.TB, host, target string) *Relay {
	t.Helper()
	open := make(chan struct{})
	close(open)
	r := &Relay{t: t, target: target, pairs: make(map[*pair]bool), gates: [2]chan struct{}{open, open}}
	r.listen(net.JoinHostPort(host, "0"))
	t.Cleanup(r.close)
	return r
}

func (r *Relay) listen(address string) {
	r.t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		r.t.Fatal(err)
	}
	r.address = listener.Addr().String()
	r.mu.Lock()
	r.listener = listener
	r.mu.Unlock()
	go r.accept(listener)
}

// Address returns host:port of the relay.
func (r *Relay) Address() string { return r.address }

// Bytes returns the bytes passed in a direction.
func (r *Relay) Bytes(d Direction) int64 { return r.bytes[d].Load() }

// Connections returns the number of open connections.
func (r *Relay) Connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pairs)
}

// Cut resets all connections. New ones are accepted.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.reset()
		delete(r.pairs, p)
	}
}

// Refuse closes the listener, so that new connections are refused. Open ones stay.
func (r *Relay) Refuse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.listener.Close()
}

// Accept ends Refuse.
func (r *Relay) Accept() {
	r.t.Helper()
	r.listen(r.address)
}

// Stall stops passing bytes in a direction. Connections stay open, new ones are accepted.
func (r *Relay) Stall(d Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.gates[d]:
		r.gates[d] = make(chan struct{})
	default: // stalled already; a second gate would leave the connections at the first one
	}
}

// Unstall ends Stall; bytes held meanwhile are passed.
func (r *Relay) Unstall(d Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	openGate(r.gates[d])
}

// Delay holds what is passed in either direction back for d; 0 ends it.
func (r *Relay) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// openGate closes the channel of a gate that is not open yet.
func openGate(gate chan struct{}) {
	select {
	case <-gate:
	default:
		close(gate)
	}
}

// close refuses, cuts and releases goroutines that are stalled.
func (r *Relay) close() {
	r.Refuse()
	r.Cut()
	r.Unstall(ToTarget)
	r.Unstall(FromTarget)
}

func (r *Relay) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go r.connect(client)
	}
}

func (r *Relay) connect(client net.Conn) {
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		reset(client)
		return
	}
	p := &pair{client, server}
	r.mu.Lock()
	r.pairs[p] = true
	r.mu.Unlock()
	var done sync.WaitGroup
	done.Go(func() { r.pass(client, server, ToTarget) })
	done.Go(func() { r.pass(server, client, FromTarget) })
	done.Wait()
	_ = client.Close()
	_ = server.Close()
	r.mu.Lock()
	delete(r.pairs, p)
	r.mu.Unlock()
}

// bufferBytes is what one direction of a connection can hold back in addition to the sockets.
const bufferBytes = 32 << 10

// pass copies until the end of the source and passes the end on.
func (r *Relay) pass(from, to net.Conn, d Direction) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		r.wait(d)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
				return
			}
			r.bytes[d].Add(int64(n))
		}
		if err != nil {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
	}
}

// wait holds bytes back while their direction is stalled or delayed.
func (r *Relay) wait(d Direction) {
	r.mu.Lock()
	gate, delay := r.gates[d], r.delay
	r.mu.Unlock()
	time.Sleep(delay)
	<-gate
}

func (p *pair) reset() {
	reset(p.client)
	reset(p.server)
}

// reset closes a connection so that the peer sees a reset instead of an end.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}
