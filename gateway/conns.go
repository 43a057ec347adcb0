package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// callerConns knows the state of each caller's connection, so that idle ones are closed by the limit
// of the configuration in force. http.Server's own limit cannot change while it serves.
type callerConns struct {
	mu    sync.Mutex
	conns map[net.Conn]connState
	busy  int
}

type connState struct {
	state http.ConnState
	since time.Time
}

func newCallerConns() *callerConns { return &callerConns{conns: make(map[net.Conn]connState)} }

// track is the server's ConnState hook.
func (c *callerConns) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[conn].state == http.StateActive {
		c.busy--
	}
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(c.conns, conn)
		return
	case http.StateActive:
		c.busy++
	}
	c.conns[conn] = connState{state: state, since: time.Now()}
}

// idleMargin is added to the limit, because callers use a connection up to just before it.
const idleMargin = time.Second

// closeIdle closes connections without a request for longer than the limit.
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

// active is the number of connections with a request.
func (c *callerConns) active() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.busy
}

// open is the number of connections.
func (c *callerConns) open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}
