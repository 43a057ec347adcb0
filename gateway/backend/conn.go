// Package backend keeps HTTP/1.1 connections to backend servers and runs one exchange at a time on each. It
// returns a response only if it belongs to the request. An error of Get proves that the request was not
// sent; after an error of Do it may have reached the backend server.
//
// It does not use net/http's Transport, which closes a connection on an unsolicited response and cannot tell
// whether a request was sent. Parsing and header encoding are net/http's.
package backend

import (
	"bufio"
	"context"
	"errors"
	"hash/maphash"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"jacinthfork.example/jacinthfork/internal/httpcheck"
	"jacinthfork.example/jacinthfork/internal/socket"
)

const (
	// defaultKeepAlive is how long an idle connection is kept when the backend server sends no Keep-Alive
	// timeout. A short time costs an occasional handshake; a long one risks sending a request on a connection
	// that is being closed.
	defaultKeepAlive = 4 * time.Second
	// idleMargin is subtracted from the Keep-Alive timeout to account for the request's transmission time.
	idleMargin = time.Second
	// maxIdlePerServer bounds the idle connections to one backend server.
	maxIdlePerServer = 16
	// maxRefused bounds the refusals that are remembered of one connection, which is then closed.
	maxRefused = 32
	// readBuffer is the size of a connection's read buffer in bytes. Events and responses of plain services
	// are smaller.
	readBuffer = 2 << 10
	// idleCheckInterval is how often idle connections are checked for data that no request is waiting for.
	idleCheckInterval = time.Second
	// ackTimeout is how long a backend server may acknowledge nothing before the connection fails. A partitioned one
	// sends no reset. One that is frozen or cut off for some seconds goes on with its work, for which callers of
	// streams wait longer than that; a stream that can go on elsewhere moves sooner.
	ackTimeout = 8 * time.Second
	// keepAliveProbe is the time between probes of a silent connection.
	keepAliveProbe = 2 * time.Second
)

// Conn is a connection to one backend server. It must be used by one goroutine at a time.
type Conn struct {
	net.Conn
	reader  *bufio.Reader
	limiter *headLimiter
	checked *httpcheck.Reader
	server  string
	// upload is the body of the current request, if it is written by a goroutine of its own.
	upload *upload
	// idleSince and keepAlive are set while the connection is idle.
	idleSince time.Time
	keepAlive time.Duration
	// Reused is set if the connection has carried an earlier request.
	Reused bool
	// carriedHead is set if a HEAD request was sent on the connection.
	carriedHead bool
	// refused are hashes of the IDs of the requests that were refused on this connection.
	refused []uint64
	// onClose is called once, when the connection is closed. It may be nil.
	onClose func()
	closed  sync.Once
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	if c.onClose != nil {
		c.closed.Do(c.onClose)
	}
	return err
}

// ErrNoDescriptor is the error of Get if this process may open no more connections. It says nothing about the backend server.
var ErrNoDescriptor = errors.New("no descriptor is left for a connection")

// Pool keeps idle connections per backend server. It is safe for concurrent use.
type Pool struct {
	mu     sync.Mutex
	idle   map[string][]*Conn
	dialer net.Dialer
	now    func() time.Time
	// checkedAt is when the idle connections were last checked for data.
	checkedAt time.Time
	// dialled counts the connections established.
	dialled uint64
	// limit bounds open, the connections that are open or being made, together with what others returns, unless it is 0.
	limit  int64
	others func() int64
	open   atomic.Int64
	// short counts the connections that were not made for want of a descriptor.
	short atomic.Int64
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		idle:   make(map[string][]*Conn),
		dialer: net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveProbe, Interval: keepAliveProbe, Count: int(ackTimeout / keepAliveProbe)}, Control: setAckTimeout},
		now:    time.Now,
	}
}

// Limit bounds the connections together with others, which are counted elsewhere. It is called before the first Get.
func (p *Pool) Limit(limit int64, others func() int64) { p.limit, p.others = limit, others }

// MakeRoom closes idle connections while there are more connections than the limit allows, and reports whether it is kept.
func (p *Pool) MakeRoom() bool {
	for p.limit > 0 && p.open.Load()+p.others() > p.limit {
		if !p.closeOldestIdle() {
			return false
		}
	}
	return true
}

// closeOldestIdle closes the connection that has been idle for longest and reports whether there was one.
func (p *Pool) closeOldestIdle() bool {
	p.mu.Lock()
	var oldest *Conn
	for _, list := range p.idle {
		// The lists are in the order in which the connections became idle.
		if len(list) > 0 && (oldest == nil || list[0].idleSince.Before(oldest.idleSince)) {
			oldest = list[0]
		}
	}
	if oldest != nil {
		p.idle[oldest.server] = p.idle[oldest.server][1:]
	}
	p.mu.Unlock()
	if oldest == nil {
		return false
	}
	_ = oldest.Close()
	return true
}

// Short returns the number of connections that were not made for want of a descriptor.
func (p *Pool) Short() int64 { return p.short.Load() }

// setAckTimeout sets TCP_USER_TIMEOUT on a socket.
func setAckTimeout(_, _ string, raw syscall.RawConn) error {
	const tcpUserTimeout = 18
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(ackTimeout.Milliseconds()))
	})
	return errors.Join(err, failure)
}

// Target says which connection is needed.
type Target struct {
	// Server identifies the incarnation of the backend server, because its address may be reassigned.
	Server, Address string
	// MaxIdle is the longest idle time of a connection that may be reused, 0 for any.
	MaxIdle time.Duration
	// DialTimeout bounds the time to connect.
	DialTimeout time.Duration
	// RequestID is the ID of the request. A connection on which a request with this ID was refused is not reused for it, because
	// a copy of that refusal would look like that of this request.
	RequestID string
}

// Get returns an open idle connection to a backend server, or a new one. An error proves that nothing was sent. It is
// ErrNoDescriptor if the limit is reached or the process has no descriptor left, and closing idle connections has not helped.
func (p *Pool) Get(ctx context.Context, t Target) (*Conn, error) {
	for {
		c := p.take(&t)
		if c == nil {
			return p.dial(ctx, t)
		}
		if c.reusable() {
			return c, nil
		}
		_ = c.Close()
	}
}

// dial establishes a new connection.
func (p *Pool) dial(ctx context.Context, t Target) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, t.DialTimeout)
	defer cancel()
	p.open.Add(1)
	if !p.MakeRoom() {
		p.open.Add(-1)
		p.short.Add(1)
		return nil, ErrNoDescriptor
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", t.Address)
	for socket.NoDescriptor(err) && p.closeOldestIdle() {
		raw, err = p.dialer.DialContext(ctx, "tcp", t.Address)
	}
	if err != nil {
		p.open.Add(-1)
		if socket.NoDescriptor(err) {
			p.short.Add(1)
			err = errors.Join(ErrNoDescriptor, err)
		}
		return nil, err
	}
	p.mu.Lock()
	p.dialled++
	p.mu.Unlock()
	c := newConn(raw, t.Server)
	c.onClose = func() { p.open.Add(-1) }
	return c, nil
}

func newConn(raw net.Conn, server string) *Conn {
	c := &Conn{Conn: raw, server: server}
	c.checked = httpcheck.NewReader(raw, c.endsWhole)
	c.limiter = &headLimiter{Reader: c.checked}
	c.reader = bufio.NewReaderSize(c.limiter, readBuffer)
	return c
}

// endsWhole is called at the end of a response that ends with its connection. It returns an error if the connection has failed,
// which the write of the request may have learned before the reader, and instead of it.
func (c *Conn) endsWhole() error {
	if err := c.upload.wait(); err != nil {
		return err
	}
	if socket.WasReset(c.Conn) {
		return httpcheck.ErrReset
	}
	return nil
}

// take removes and returns the most recently used idle connection, so that the others can expire.
func (p *Pool) take(t *Target) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle[t.Server]) - 1; i >= 0; i-- {
		c := p.idle[t.Server][i]
		if t.MaxIdle > 0 && p.now().Sub(c.idleSince) > t.MaxIdle {
			return nil
		}
		if c.hasRefused(t.RequestID) {
			continue
		}
		p.idle[t.Server] = slices.Delete(p.idle[t.Server], i, i+1)
		if p.now().Sub(c.idleSince) < c.keepAlive {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// Put returns a connection to the pool after its response was read completely, or closes it if the backend
// server does not keep it open.
func (p *Pool) Put(c *Conn, resp *http.Response) {
	keep, ok := keepAliveTime(resp)
	if !ok || !c.drained() || len(c.refused) >= maxRefused {
		_ = c.Close()
		return
	}
	c.Reused = true
	c.keepAlive = keep
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

// keepAliveTime returns how long a connection may stay idle after a response, and whether it may be reused.
func keepAliveTime(resp *http.Response) (time.Duration, bool) {
	if resp.Close {
		return 0, false
	}
	for part := range strings.SplitSeq(resp.Header.Get("Keep-Alive"), ",") {
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
	return defaultKeepAlive, true
}

// CloseIdle closes the idle connections to a backend server.
func (p *Pool) CloseIdle(server string) {
	p.mu.Lock()
	list := p.idle[server]
	delete(p.idle, server)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// Close closes all idle connections.
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

// CloseExpired closes idle connections whose keep-alive time has passed, and those that the backend server has
// closed or sent data on. It is called periodically, so that unused connections do not count towards the
// connections that a backend server accepts, and unread data does not take memory.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	check := now.Sub(p.checkedAt) >= idleCheckInterval
	if check {
		p.checkedAt = now
	}
	for server, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) < c.keepAlive && (!check || c.reusable()) {
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

// Stats returns the number of idle connections and the number of connections established so far.
func (p *Pool) Stats() (idle int, dialled uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		idle += len(list)
	}
	return idle, p.dialled
}

// reusable reports whether the backend server has neither closed the connection nor sent data on it. If a
// request were sent on a connection closed in the meantime, nothing would prove that it did not run.
func (c *Conn) reusable() bool {
	if !c.drained() {
		return false
	}
	readable, err := socket.Readable(c.Conn)
	return err == nil && !readable
}

// idHashes hashes the IDs of requests.
var idHashes = maphash.MakeSeed()

// recordRefusal records that a request was refused on this connection.
func (c *Conn) recordRefusal(id string) { c.refused = append(c.refused, maphash.String(idHashes, id)) }

// hasRefused reports whether a request with an ID was refused on this connection.
func (c *Conn) hasRefused(id string) bool {
	return len(c.refused) > 0 && slices.Contains(c.refused, maphash.String(idHashes, id))
}

// drained reports whether nothing was read from the connection after the last response.
func (c *Conn) drained() bool { return c.reader.Buffered() == 0 && c.checked.Err() == nil }
