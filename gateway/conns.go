package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// callerConns tracks the state of each caller's connection, so that idle ones can be closed according to the
// limit of the current configuration. The limit of http.Server itself cannot change while it serves.
type callerConns struct {
	mu          sync.Mutex
	conns       map[net.Conn]connState
	activeCount int
}

type connState struct {
	state http.ConnState
	since time.Time
}

func newCallerConns() *callerConns { return &callerConns{conns: make(map[net.Conn]connState)} }

// track is the ConnState hook of the HTTP server.
func (c *callerConns) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[conn].state == http.StateActive {
		c.activeCount--
	}
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(c.conns, conn)
		return
	case http.StateActive:
		c.activeCount++
	}
	c.conns[conn] = connState{state: state, since: time.Now()}
}

// idleMargin is added to the limit, because callers may use a connection until just before it.
const idleMargin = time.Second

// closeIdle closes connections that have been idle for longer than the limit.
func (c *callerConns) closeIdle(limit time.Duration) {
	if limit <= 0 {
		return
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, s := range c.conns {
		if s.state == http.StateIdle && now.Sub(s.since) > limit+idleMargin {
			_ = conn.Close()
		}
	}
}

// active returns the number of connections with a request in flight.
func (c *callerConns) active() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.activeCount
}

// total returns the number of open connections.
func (c *callerConns) total() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}
