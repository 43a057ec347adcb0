package fleettest

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Direction is the direction of data through a Relay.
type Direction int

// Directions.
const (
	ToTarget Direction = iota
	FromTarget
)

// Relay is a TCP proxy with which a test resets, stalls, delays and refuses connections to a target. If the
// target refuses a connection, the relay accepts that of the client and resets it.
type Relay struct {
	t       testing.TB
	target  string
	address string
	bytes   [2]atomic.Int64

	mu        sync.Mutex
	listener  net.Listener
	connPairs map[*connPair]bool
	gates     [2]chan struct{} // a closed channel lets data pass
	delay     time.Duration
}

// connPair is a client connection and the connection to the target that it is forwarded to.
type connPair struct{ client, server net.Conn }

// NewRelay starts a relay on a free port of the host. It is closed at the end of the test.
func NewRelay(t testing.TB, host, target string) *Relay {
	t.Helper()
	open := make(chan struct{})
	close(open)
	r := &Relay{t: t, target: target, connPairs: make(map[*connPair]bool), gates: [2]chan struct{}{open, open}}
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

// Address returns the address on which the relay listens, as host:port.
func (r *Relay) Address() string { return r.address }

// Bytes returns the number of bytes forwarded in a direction.
func (r *Relay) Bytes(d Direction) int64 { return r.bytes[d].Load() }

// Connections returns the number of open connections.
func (r *Relay) Connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.connPairs)
}

// Cut resets all open connections. New connections are still accepted.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.connPairs {
		p.reset()
		delete(r.connPairs, p)
	}
}

// Refuse closes the listener, so that new connections are refused. Open connections are not affected.
func (r *Relay) Refuse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.listener.Close()
}

// Accept listens on the same address again after Refuse.
func (r *Relay) Accept() {
	r.t.Helper()
	r.listen(r.address)
}

// Stall stops forwarding data in a direction. Connections stay open, and new ones are accepted.
func (r *Relay) Stall(d Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.gates[d]:
		r.gates[d] = make(chan struct{})
	default: // already stalled; Unstall would not release goroutines that wait at a replaced channel
	}
}

// Unstall resumes forwarding in a direction, including the data that was held back.
func (r *Relay) Unstall(d Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	openGate(r.gates[d])
}

// Delay delays data in both directions by d. A delay of 0 turns it off.
func (r *Relay) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// openGate closes the channel of a gate unless it is already closed.
func openGate(gate chan struct{}) {
	select {
	case <-gate:
	default:
		close(gate)
	}
}

// close closes the listener, resets all connections and releases stalled goroutines.
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
	p := &connPair{client, server}
	r.mu.Lock()
	r.connPairs[p] = true
	r.mu.Unlock()
	var done sync.WaitGroup
	done.Go(func() { r.forward(client, server, ToTarget) })
	done.Go(func() { r.forward(server, client, FromTarget) })
	done.Wait()
	_ = client.Close()
	_ = server.Close()
	r.mu.Lock()
	delete(r.connPairs, p)
	r.mu.Unlock()
}

// bufferBytes is how much data one direction of a stalled connection can hold in addition to the socket
// buffers.
const bufferBytes = 32 << 10

// forward copies data until the source ends and then closes the write side of the destination.
func (r *Relay) forward(from, to net.Conn, d Direction) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		r.waitUnstalled(d)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
				return
			}
			r.bytes[d].Add(int64(n))
		}
		if errors.Is(err, syscall.ECONNRESET) {
			reset(to)
			return
		}
		if err != nil {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
	}
}

// waitUnstalled blocks for the configured delay and while the direction is stalled.
func (r *Relay) waitUnstalled(d Direction) {
	r.mu.Lock()
	gate, delay := r.gates[d], r.delay
	r.mu.Unlock()
	time.Sleep(delay)
	<-gate
}

func (p *connPair) reset() {
	reset(p.client)
	reset(p.server)
}

// reset closes a connection with a TCP reset instead of an orderly shutdown.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}
