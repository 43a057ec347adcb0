// Package connlimit bounds the connections that a server has open at once, and what those may send that have not shown yet
// that they belong to it.
package connlimit

import (
	"cmp"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Listener bounds the connections that are open. Above the limit a new one takes the place of one for which Trust was not
// called: of the client address that has most of them the oldest. A trusted client identifies itself within a few round
// trips, and must not be kept out by many that never do. If there is none, the new one is closed as soon as it is made.
// It is safe for concurrent use.
type Listener struct {
	net.Listener
	// UnknownBytes and UnknownTime bound what a connection may send, and how long it may last, until Trust is called for
	// it. 0 means no limit. They are set before Accept.
	UnknownBytes int64
	UnknownTime  time.Duration

	limit   int64
	refused atomic.Int64
	mu      sync.Mutex
	conns   map[string]*limited
	// accepted numbers the connections.
	accepted uint64
}

// New returns a listener that has at most limit connections open.
func New(l net.Listener, limit int) *Listener {
	return &Listener{Listener: l, limit: int64(limit), conns: make(map[string]*limited)}
}

// Refused returns the number of connections that were closed because of a limit. It is 0 for a nil Listener.
func (l *Listener) Refused() int64 {
	if l == nil {
		return 0
	}
	return l.refused.Load()
}

// Unknown returns the number of open connections for which Trust was not called.
func (l *Listener) Unknown() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		if !c.trusted.Load() {
			n++
		}
	}
	return n
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c, displaced := l.add(conn)
		if displaced != nil {
			l.refused.Add(1)
			_ = displaced.Close()
		}
		if c != nil {
			return c, nil
		}
		l.refused.Add(1)
		_ = conn.Close()
	}
}

// add returns an accepted connection, or nil if there are too many, and the one whose place it takes, which the caller closes.
func (l *Listener) add(conn net.Conn) (c, displaced *limited) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if int64(len(l.conns)) >= l.limit {
		if displaced = l.oldestUnknown(); displaced == nil {
			return nil, nil
		}
		delete(l.conns, displaced.RemoteAddr().String())
	}
	l.accepted++
	c = &limited{Conn: conn, listener: l, host: host(conn), number: l.accepted}
	c.left.Store(l.UnknownBytes)
	c.trusted.Store(l.UnknownBytes == 0)
	if l.UnknownTime > 0 {
		c.timer = time.AfterFunc(l.UnknownTime, c.closeUnknown)
	}
	l.conns[conn.RemoteAddr().String()] = c
	return c, displaced
}

// oldestUnknown returns the oldest connection of the client address with most of those for which Trust was not called, or nil.
// The caller holds mu.
func (l *Listener) oldestUnknown() (out *limited) {
	counts := make(map[string]int)
	for _, c := range l.conns {
		if !c.trusted.Load() {
			counts[c.host]++
		}
	}
	for _, c := range l.conns {
		if c.trusted.Load() {
			continue
		}
		if out == nil || cmp.Or(cmp.Compare(counts[out.host], counts[c.host]), cmp.Compare(c.number, out.number)) < 0 {
			out = c
		}
	}
	return out
}

func host(conn net.Conn) string {
	if tcp, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.IP.String()
	}
	return conn.RemoteAddr().String()
}

// Trust ends the limits of the connection from a remote address.
func (l *Listener) Trust(remote string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.conns[remote]; c != nil {
		c.trusted.Store(true)
		c.stopTimer()
	}
}

func (l *Listener) remove(c *limited) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if key := c.RemoteAddr().String(); l.conns[key] == c {
		delete(l.conns, key)
	}
}

type limited struct {
	net.Conn
	listener *Listener
	timer    *time.Timer
	// host is the address of the client. number orders connections by their beginning.
	host    string
	number  uint64
	trusted atomic.Bool
	left    atomic.Int64
}

// errUnknown is the error of a connection that has sent too much without having shown that it belongs to the server.
var errUnknown = errors.New("an unknown client has sent too much")

// Read implements net.Conn.
func (c *limited) Read(p []byte) (int, error) {
	if c.trusted.Load() {
		return c.Conn.Read(p)
	}
	if c.left.Load() <= 0 {
		c.listener.refused.Add(1)
		return 0, errUnknown
	}
	n, err := c.Conn.Read(p)
	c.left.Add(-int64(n))
	return n, err
}

// Close implements net.Conn.
func (c *limited) Close() error {
	c.listener.remove(c)
	c.stopTimer()
	return c.Conn.Close()
}

func (c *limited) stopTimer() {
	if c.timer != nil {
		c.timer.Stop()
	}
}

// closeUnknown closes a connection that was not trusted in time.
func (c *limited) closeUnknown() {
	if !c.trusted.Load() {
		c.listener.refused.Add(1)
		_ = c.Close()
	}
}
