// Package backend keeps HTTP/1.1 connections to backend servers and runs one exchange at a time on
// each. It hands out a response only when it belongs to the request, and it says of each failure
// whether the request can have reached the backend server.
//
// net/http's Transport is not used because it closes a connection on a foreign response and cannot
// tell whether a request was sent; parsing and header encoding are net/http's.
package backend

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// dialTimeout bounds a new connection. Links between failure domains take a few milliseconds; a
	// dark backend server answers nothing, and the request must have time left for another one.
	dialTimeout = 400 * time.Millisecond
	// defaultIdle is how long a connection is kept when the backend server announces nothing. A short
	// time costs a handshake now and then; a long one risks a request on a connection that is closing.
	defaultIdle = 4 * time.Second
	// idleMargin is taken off the announced idle time, for the way of the request.
	idleMargin = time.Second
	// maxIdlePerServer bounds the kept connections to one backend server.
	maxIdlePerServer = 16
	// readBuffer is the buffer of a connection in bytes; events and plain answers are below it.
	readBuffer = 2 << 10
	// ackTimeout is how long sent bytes may stay without an acknowledgement before the connection
	// fails. A partitioned backend server sends no reset.
	ackTimeout = 3 * time.Second
)

// Conn is a connection to one backend server. It is used by one goroutine at a time.
type Conn struct {
	net.Conn
	reader *bufio.Reader
	server string
	// idleSince and keep are set while the connection is kept.
	idleSince time.Time
	keep      time.Duration
	// Reused is set when the connection carried a request before.
	Reused bool
}

// Pool keeps idle connections by backend server. It is safe for concurrent use.
type Pool struct {
	mu     sync.Mutex
	idle   map[string][]*Conn
	dialer net.Dialer
	now    func() time.Time
	// dialled counts new connections.
	dialled uint64
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		idle:   make(map[string][]*Conn),
		dialer: net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}, Control: setAckTimeout},
		now:    time.Now,
	}
}

// setAckTimeout sets TCP_USER_TIMEOUT.
func setAckTimeout(_, _ string, raw syscall.RawConn) error {
	const tcpUserTimeout = 18
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(ackTimeout.Milliseconds()))
	})
	return errors.Join(err, failure)
}

// Get returns a kept connection to a backend server that is still open and was used within the given
// time, or a new one. 0 sets no limit. server names the incarnation of the backend server, because an
// address may be given to another one. An error proves that nothing was sent.
func (p *Pool) Get(ctx context.Context, server, address string, within time.Duration) (*Conn, error) {
	for {
		c := p.take(server, within)
		if c == nil {
			return p.Dial(ctx, server, address)
		}
		if c.open() {
			return c, nil
		}
		_ = c.Close()
	}
}

// Dial returns a new connection.
func (p *Pool) Dial(ctx context.Context, server, address string) (*Conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.dialled++
	p.mu.Unlock()
	return &Conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer), server: server}, nil
}

// take removes the connection that was used last, so that the others can time out.
func (p *Pool) take(server string, within time.Duration) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[server]
	for len(list) > 0 {
		c := list[len(list)-1]
		if within > 0 && p.now().Sub(c.idleSince) > within {
			return nil
		}
		list = list[:len(list)-1]
		p.idle[server] = list
		if p.now().Sub(c.idleSince) < c.keep {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// Put keeps a connection whose response was read to its end, or closes it when the backend server
// does not want to keep it.
func (p *Pool) Put(c *Conn, resp *http.Response) {
	keep, ok := keepTime(resp)
	if !ok || c.reader.Buffered() > 0 {
		_ = c.Close()
		return
	}
	c.Reused = true
	c.keep = keep
	c.idleSince = p.now()
	if err := c.SetDeadline(time.Time{}); err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.server]) >= maxIdlePerServer {
		_ = c.Close()
		return
	}
	p.idle[c.server] = append(p.idle[c.server], c)
}

// keepTime is how long a connection may be kept after a response.
func keepTime(resp *http.Response) (time.Duration, bool) {
	if resp.Close {
		return 0, false
	}
	for _, part := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			break
		}
		keep := time.Duration(seconds) * time.Second
		if keep <= idleMargin {
			return keep / 2, keep > 0
		}
		return keep - idleMargin, true
	}
	return defaultIdle, true
}

// Forget closes the kept connections to a backend server.
func (p *Pool) Forget(server string) {
	p.mu.Lock()
	list := p.idle[server]
	delete(p.idle, server)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// Close closes all kept connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for server, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
		delete(p.idle, server)
	}
}

// Expire closes kept connections whose time is over. It is called now and then, so that backend
// servers do not hold places for connections that nobody uses.
func (p *Pool) Expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for server, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) < c.keep {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, server)
			continue
		}
		p.idle[server] = kept
	}
}

// Stats returns the numbers of kept connections and of connections made so far.
func (p *Pool) Stats() (idle int, dialled uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		idle += len(list)
	}
	return idle, p.dialled
}

// open reports whether the peer has neither closed the connection nor sent anything on it. A
// request on a connection that was closed meanwhile would be lost without a proof that it did not
// run.
func (c *Conn) open() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	alive := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, failure := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		alive = errors.Is(failure, syscall.EAGAIN)
		return true
	})
	return err == nil && alive
}
