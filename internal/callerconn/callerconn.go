// Package callerconn serves callers over kept connections so that a planned stop cuts off no request that has been sent:
// http.Server.Shutdown closes connections on which the header of a request is arriving or waits to be read, and
// resets those that nobody has accepted yet.
package callerconn

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"jacinthfork.example/jacinthfork/internal/socket"
)

// Listener accepts connections of type *tracked, for one http.Server.
type Listener struct {
	net.Listener
	// Budget bounds the connections and what arrives on them before a request. It may be nil.
	Budget Budget
	mu     sync.Mutex
	// pending are the connections that were taken over from the listener when it was closed.
	pending []net.Conn
	// ended is set once the server was told that no more connections come. It asks for the next connection only after the
	// tracker knows the one before.
	ended bool
}

// Accept implements net.Listener. After CloseAccepting it returns the connections that were waiting then.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	for err == nil {
		if l.Budget == nil || l.Budget.Admit() {
			return newTracked(conn, l.Budget), nil
		}
		_ = conn.Close()
		conn, err = l.Listener.Accept()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) == 0 {
		l.ended = errors.Is(err, net.ErrClosed)
		return nil, err
	}
	conn, l.pending = l.pending[0], l.pending[1:]
	return newTracked(conn, nil), nil
}

// CloseAccepting closes the listener and keeps the connections that were made before and not accepted yet. Close would
// reset them.
func (l *Listener) CloseAccepting() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	var failure error
	if tcp, ok := l.Listener.(*net.TCPListener); ok {
		l.pending, failure = socket.AcceptPending(tcp)
	}
	return errors.Join(failure, l.Listener.Close())
}

// allAccepted reports whether the tracker knows all connections that will ever be accepted.
func (l *Listener) allAccepted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ended
}

// tracked is a caller's connection that can be closed in the certainty that no data of a request is lost with it. The
// state of http.Server is idle until the whole header of a request has arrived.
type tracked struct {
	net.Conn
	// raw is nil for a connection that is not one of the operating system.
	raw syscall.RawConn
	mu  sync.Mutex
	// reads counts the reads that have returned data. waiting is set while a read waits for data: the server may otherwise
	// have a request in its buffer. retired is set once the connection was closed as unused.
	reads   uint64
	waiting bool
	retired bool
	// closing is set while the server shuts down: the connection is closed, like an unused one, as soon as a read would wait
	// for the first data after idleReads.
	closing   bool
	idleReads uint64
	// early is set while the last data read is the one byte that the server reads ahead while it serves a request. begun is
	// set once the beginning of the next request is in the server's buffer, as far as its reads do not show it.
	early, begun bool
	// deadlines is the number of read deadlines that the server has still to set until begun.
	deadlines int
	// budget may be nil. header is what it has allowed for the header of the current request, inRequest is set once that is
	// read.
	budget    Budget
	header    int64
	inRequest bool
	// writing is set while a write waits or is made.
	writing atomic.Bool
}

const (
	// readAheadBytes is the size of the reads of http.Server for data that arrives while a request is served.
	readAheadBytes = 1
	// headerDeadlines is the number of read deadlines that http.Server sets from the end of a response until it reads the next
	// header: one to wait for the first bytes, and one when it has them.
	headerDeadlines = 2
)

func newTracked(conn net.Conn, budget Budget) *tracked {
	c := &tracked{Conn: conn, budget: budget}
	if own, ok := conn.(syscall.Conn); ok {
		// Without it reads are those of conn.
		c.raw, _ = own.SyscallConn()
	}
	return c
}

// Read implements net.Conn. It returns no data once the connection is retired, or if there is no memory for a header.
func (c *tracked) Read(p []byte) (int, error) {
	n, err := c.read(p)
	if n > 0 && !c.chargeHeader(n) {
		// net/http closes the connection after such an error. It answers others with 400, which says that the request is invalid.
		return 0, &net.OpError{Op: "read", Net: c.LocalAddr().Network(), Addr: c.RemoteAddr(), Err: errNoMemory}
	}
	return n, err
}

// read reads. Data is taken from the operating system and counted under one lock, so that retire sees it in one of both
// places.
func (c *tracked) read(p []byte) (n int, err error) {
	if c.raw == nil {
		c.setWaiting(true)
		n, err = c.Conn.Read(p)
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.count(len(p), n, err)
	}
	o := readOps.Get().(*readOp)
	o.c, o.p = c, p
	failure := c.raw.Read(o.try)
	n, err = o.n, o.err
	o.c, o.p, o.n, o.err = nil, nil, 0, nil
	readOps.Put(o)
	c.setWaiting(false)
	if errors.Is(failure, os.ErrDeadlineExceeded) && len(p) > readAheadBytes {
		n, err, failure = c.readArrived(p, failure)
	}
	if failure == nil {
		failure = err
	}
	if failure == nil || failure == io.EOF {
		return n, failure
	}
	return 0, &net.OpError{Op: "read", Net: c.LocalAddr().Network(), Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: failure}
}

// readOp is a read in progress. It is reused, because a function that package net calls takes memory, as do its results.
type readOp struct {
	c   *tracked
	p   []byte
	n   int
	err error
	// try is tryRead.
	try func(fd uintptr) (done bool)
}

var readOps = sync.Pool{New: func() any {
	o := &readOp{}
	o.try = o.tryRead
	return o
}}

// tryRead reads once and reports whether the read is done.
func (o *readOp) tryRead(fd uintptr) (done bool) {
	c := o.c
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired {
		o.err = net.ErrClosed
		return true
	}
	n, err := socket.ReadNow(fd, o.p)
	o.n, o.err = c.count(len(o.p), n, err)
	c.waiting = errors.Is(o.err, syscall.EAGAIN)
	if c.waiting && c.closing && c.reads == c.idleReads && !c.begun {
		c.retired, o.err = true, net.ErrClosed
		return true
	}
	return !c.waiting
}

// readArrived reads after the deadline the data with which a request begins, if it has arrived. Both may have happened while
// the process did not run, and the deadline is noticed first. Without such data, failure is that of the deadline.
func (c *tracked) readArrived(p []byte, deadline error) (n int, err, failure error) {
	failure = c.raw.Control(func(fd uintptr) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.reads != c.idleReads || c.retired {
			err = deadline
			return
		}
		n, err = socket.ReadNow(fd, p)
		if n, err = c.count(len(p), n, err); errors.Is(err, syscall.EAGAIN) {
			err = deadline
		}
	})
	return n, err, failure
}

func (c *tracked) setWaiting(waiting bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = waiting
}

// SetReadDeadline implements net.Conn.
func (c *tracked) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	if c.deadlines > 0 {
		c.deadlines--
		c.begun = c.begun || c.deadlines == 0
	}
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// count counts a read into a buffer of the given size. The caller holds mu.
func (c *tracked) count(size, n int, err error) (int, error) {
	c.waiting = false
	if c.retired {
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.reads++
		c.early = size == readAheadBytes
	}
	return n, err
}

// idle notes that a response has ended, and returns the number of reads until then. The server reads next to wait for
// another request.
func (c *tracked) idle(closing bool) (reads uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseHeader()
	c.closing, c.idleReads = closing, c.reads
	c.begun, c.deadlines = c.early, headerDeadlines
	return c.reads
}

// retire closes the connection and reports true if the server waits for data, and none has arrived since it had read the
// given number of times. Data that was not read yet counts too: a router that is short of processor time reads late, and
// closing would reset the connection.
func (c *tracked) retire(reads uint64) bool {
	return c.retireIf(func() bool { return c.reads == reads && !c.begun })
}

// retireIf closes the connection and reports true if the server waits for data, none has arrived, and the condition holds. It is
// called with mu.
func (c *tracked) retireIf(condition func() bool) bool {
	c.mu.Lock()
	unused := c.waiting && condition()
	if unused {
		readable, err := socket.Readable(c.Conn)
		unused = err != nil || !readable
	}
	c.retired = c.retired || unused
	c.mu.Unlock()
	if unused {
		// Close waits for a read that data has just woken, and that one needs the lock.
		_ = c.Conn.Close()
	}
	return unused
}

// isRetired reports whether the connection was closed as unused.
func (c *tracked) isRetired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retired
}

// Tracker knows the state of each caller's connection. Its Track must be the ConnState hook of the server, and the
// server's listener a Listener. It is safe for concurrent use.
type Tracker struct {
	mu          sync.Mutex
	conns       map[net.Conn]connState
	activeCount int
	unused      UnusedClosed
	// draining is set once no connection is kept after its response.
	draining bool
	// idleLimit is the limit that CloseIdle was last given.
	idleLimit time.Duration
}

type connState struct {
	state http.ConnState
	since time.Time
	// reads is the number of reads of the connection when it got the state.
	reads uint64
	// idleLimit is the one of the tracker then.
	idleLimit time.Duration
	// incomplete is set if the connection was closed while the header of its first request arrived, or before.
	incomplete bool
}

// UnusedClosed counts the connections that were closed as unused: no request was lost with them.
type UnusedClosed struct {
	// Idle is the number of those that were idle for longer than the limit, Stopping that of those of a planned stop.
	Idle, Stopping int
}

// NewTracker returns a tracker that knows no connections.
func NewTracker() *Tracker { return &Tracker{conns: make(map[net.Conn]connState)} }

// Track is the ConnState hook of the server.
func (c *Tracker) Track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[conn].state == http.StateActive {
		c.activeCount--
	}
	switch state {
	case http.StateClosed, http.StateHijacked:
		c.countUnused(conn)
		delete(c.conns, conn)
		if own, ok := conn.(*tracked); ok {
			own.release()
		}
		return
	case http.StateActive:
		c.activeCount++
		if own, ok := conn.(*tracked); ok {
			own.beginRequest()
		}
	}
	next := connState{state: state, since: time.Now(), idleLimit: c.idleLimit}
	if own, ok := conn.(*tracked); ok && state == http.StateIdle {
		next.reads = own.idle(c.draining)
	}
	c.conns[conn] = next
}

// countUnused counts a connection that has ended, if it was closed as unused. The caller holds mu.
func (c *Tracker) countUnused(conn net.Conn) {
	own, ok := conn.(*tracked)
	switch {
	case !ok || !own.isRetired() || c.conns[conn].incomplete:
	case c.draining:
		c.unused.Stopping++
	default:
		c.unused.Idle++
	}
}

// UnusedClosed returns the number of connections that were closed as unused.
func (c *Tracker) UnusedClosed() UnusedClosed {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unused
}

// idleMargin is added to the limit, because callers may use a connection until just before it.
const idleMargin = time.Second

// CloseIdle closes connections that have been idle for longer than the limit, which may change while the server runs; 0
// sets no limit. A shorter limit holds for a connection after its next response, because its caller may use it for as long
// as the limit before allows. It returns the callers' addresses of the connections that it has closed.
func (c *Tracker) CloseIdle(limit time.Duration) (closed []string) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleLimit = limit
	if limit <= 0 {
		return nil
	}
	for conn, s := range c.conns {
		if own, ok := conn.(*tracked); ok && s.state == http.StateIdle && now.Sub(s.since) > max(limit, s.idleLimit)+idleMargin && own.retire(s.reads) {
			closed = append(closed, conn.RemoteAddr().String())
		}
	}
	return closed
}

// closeUnused closes the connections on which no request has begun and returns the number of those left.
func (c *Tracker) closeUnused() (left int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, s := range c.conns {
		own, ok := conn.(*tracked)
		unused := s.state == http.StateIdle || s.state == http.StateNew && time.Since(s.since) > newConnGrace
		if !ok || !unused || !own.retire(s.reads) {
			left++
		}
	}
	return left
}

// startDrain makes connections be closed after their response, also if its header did not say so. The next check would
// come too late for a caller that sends its next request at once.
func (c *Tracker) startDrain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
}

// newConnGrace is how long a connection without data is kept while a router shuts down: the request may be on its way.
const newConnGrace = 500 * time.Millisecond

// Active returns the number of connections with a request in flight.
func (c *Tracker) Active() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.activeCount
}

// Total returns the number of open connections.
func (c *Tracker) Total() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// drainCheckInterval is how often Drain closes connections that have become unused.
const drainCheckInterval = 25 * time.Millisecond

// Drain accepts no more connections, closes those that are open as they become unused, and shuts the server down. It
// returns once no request is in flight, or with the error of ctx. An error that says that connections could not be taken
// over from the listener does not end it.
func Drain(ctx context.Context, server *http.Server, l *Listener, t *Tracker) error {
	accepting := l.CloseAccepting()
	t.startDrain()
	ticker := time.NewTicker(drainCheckInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		// The server drops requests that it reads after Shutdown.
		allKnown := l.allAccepted()
		if t.closeUnused() == 0 && allKnown {
			break
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	return errors.Join(server.Shutdown(ctx), accepting)
}
