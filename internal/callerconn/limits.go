package callerconn

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"time"

	"jacinthfork.example/jacinthfork/internal/socket"
)

// Budget bounds callers' connections and the memory of the headers that arrive on them. It is called without locks, except
// for Shrink and Release, which must not call back.
type Budget interface {
	// Admit is asked before a connection is served. Release is called once it has ended.
	Admit() bool
	Release()
	// Grow is asked before n more bytes of memory are kept of a header. Shrink gives them back.
	Grow(n int64) bool
	Shrink(n int64)
}

const (
	// headerCopies is how often the text of a header is held while it is read: as it arrives and as fields.
	headerCopies = 2
	// spareAge is how long a connection may have no request before it is closed to make room for another one. A header arrives
	// within a few round trips.
	spareAge = 500 * time.Millisecond
)

// errNoMemory is the error of a read for which the budget has no room.
var errNoMemory = errors.New("no memory for a header")

// chargeHeader takes the memory for n bytes that have been read, unless they belong to a body.
func (c *tracked) chargeHeader(n int) bool {
	c.mu.Lock()
	budget, inRequest := c.budget, c.inRequest
	c.mu.Unlock()
	if budget == nil || inRequest {
		return true
	}
	size := int64(headerCopies * n)
	if !budget.Grow(size) {
		return false
	}
	c.mu.Lock()
	released := c.budget == nil
	if !released {
		c.header += size
	}
	c.mu.Unlock()
	if released {
		budget.Shrink(size)
	}
	return !released
}

// connKey is the key of a caller's connection in the context of its requests.
type connKey struct{}

// ConnContext adds the connection to the context of its requests. It must be the hook of that name of the server.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// BeginRequest notes that a request is served, whose context it gets. The hook for the state of a connection misses a request
// that arrived together with the one before it.
func BeginRequest(ctx context.Context) {
	if own, ok := ctx.Value(connKey{}).(*tracked); ok {
		own.beginRequest()
	}
}

// CallerLeft reports whether the caller of a request, whose context it gets, has closed the connection. The context ends only
// once the server's reader has run, which takes seconds in a process that is short of processor time.
func CallerLeft(ctx context.Context) bool {
	own, ok := ctx.Value(connKey{}).(*tracked)
	return ok && socket.Ended(own.Conn)
}

// hasRequest reports whether a request is served.
func (c *tracked) hasRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inRequest
}

// beginRequest notes that the header of a request was read.
func (c *tracked) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inRequest = true
}

// releaseHeader gives the memory of the header back. The caller holds mu.
func (c *tracked) releaseHeader() {
	c.inRequest = false
	if c.budget != nil {
		c.budget.Shrink(c.header)
	}
	c.header = 0
}

// release gives all memory back. It is called once, when the server is done with the connection.
func (c *tracked) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseHeader()
	if c.budget != nil {
		c.budget.Release()
		c.budget = nil
	}
}

// Write implements net.Conn.
func (c *tracked) Write(p []byte) (int, error) {
	c.writing.Store(true)
	defer c.writing.Store(false)
	return c.Conn.Write(p)
}

// Request is the state of a connection with a request.
type Request struct {
	Conn net.Conn
	// Queues are those of the operating system. Writing is set while a write waits for the caller.
	Queues  socket.Queues
	Writing bool
}

// WaitingWrites returns the state of the connections with a request whose write waits for the caller, or is just made. Reading
// the queues of all connections several times a second takes a small machine much of its processor time.
func (c *Tracker) WaitingWrites() []Request {
	var out []Request
	c.mu.Lock()
	for conn := range c.conns {
		if own, ok := conn.(*tracked); ok && own.writing.Load() {
			out = append(out, Request{Conn: conn, Writing: true})
		}
	}
	c.mu.Unlock()
	for i := range out {
		// A connection that has just ended has empty queues.
		out[i].Queues, _ = socket.ReadQueues(out[i].Conn.(*tracked).Conn)
	}
	return out
}

// maxSpareTries bounds the connections that CloseSpare looks at: a request may have begun on each of them.
const maxSpareTries = 16

// CloseSpare closes one connection that has no request, to make room for another one: of the client that has most of them the
// one that has been without a request for longest. New ones go first, because their clients have sent no request yet. It
// reports whether there was one.
func (c *Tracker) CloseSpare() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	spare := c.spare()
	for _, conn := range spare[:min(len(spare), maxSpareTries)] {
		own, s := conn.(*tracked), c.conns[conn]
		if s.state == http.StateIdle && !own.retire(s.reads) || s.state == http.StateNew && !own.retireNew() {
			continue
		}
		// Its place is free at once; the server notices the end later.
		own.release()
		s.incomplete = s.state == http.StateNew
		s.state = http.StateClosed
		c.conns[conn] = s
		return true
	}
	return false
}

// retireNew closes a connection that waits for its first header, or the rest of it. It is kept while the server has still to read
// what has arrived, or to look at it: after a pause of the process, the request of a well-behaved caller may be there.
func (c *tracked) retireNew() bool {
	return c.retireIf(func() bool { return !c.inRequest })
}

// spare returns the connections without a request in the order in which they are closed. The caller holds mu.
func (c *Tracker) spare() []net.Conn {
	var out []net.Conn
	counts := make(map[string]int)
	for conn, s := range c.conns {
		own, ok := conn.(*tracked)
		if ok && !own.hasRequest() && (s.state == http.StateNew || s.state == http.StateIdle) && time.Since(s.since) >= spareAge {
			out = append(out, conn)
			counts[host(conn)]++
		}
	}
	slices.SortFunc(out, func(a, b net.Conn) int {
		return cmp.Or(cmp.Compare(c.conns[a].state, c.conns[b].state), cmp.Compare(counts[host(b)], counts[host(a)]),
			c.conns[a].since.Compare(c.conns[b].since))
	})
	return out
}

func host(conn net.Conn) string {
	if tcp, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.IP.String()
	}
	return conn.RemoteAddr().String()
}
