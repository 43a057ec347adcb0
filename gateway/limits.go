package gateway

import (
	"context"
	"maps"
	"net"
	"sync/atomic"
	"time"

	"jacinthfork.example/jacinthfork/gateway/memory"
	"jacinthfork.example/jacinthfork/internal/callerconn"
)

const (
	// connectionBytes is what a caller's connection takes without a request: its goroutine, the buffers of net/http and the
	// objects of the connection.
	connectionBytes = 20 << 10
	// overlapPart is the part of the connections, one in so many, that may be open in addition while others end.
	overlapPart = 8
	// limitsCheckInterval is how often bodies and responses without progress are looked for.
	limitsCheckInterval = 200 * time.Millisecond
	// refusedLogInterval is the least time between two log lines about clients that were refused.
	refusedLogInterval = time.Second
)

// callerLimits bounds callers' connections and ends what makes no progress. The decisions are those of package memory. It is
// safe for concurrent use.
type callerLimits struct {
	g    *Gateway
	open atomic.Int64
	// refused counts connections that were refused, closedSpare those that were closed to make room for others, and
	// closedUnread those whose responses were not read.
	refused, closedSpare, closedUnread atomic.Int64
	unread                             memory.Unread[net.Conn]
}

func newCallerLimits(g *Gateway) *callerLimits {
	return &callerLimits{g: g, unread: memory.Unread[net.Conn]{Limit: g.settings.ResponseStall, KernelLimit: g.memory.KernelLimit()}}
}

// Admit implements callerconn.Budget.
func (l *callerLimits) Admit() bool {
	limit := int64(l.g.settings.CallerConnections)
	if l.admit(limit) || l.closeSpare() && l.admit(limit) {
		return true
	}
	// The connection of a body that is dropped ends a little later.
	if l.open.Load() >= limit && l.g.memory.DropSlow() && l.admit(limit+limit/overlapPart) {
		return true
	}
	l.refused.Add(1)
	return false
}

// admit takes a place for a connection if fewer than limit are open.
func (l *callerLimits) admit(limit int64) bool {
	if l.open.Add(1) <= limit && l.g.connections.MakeRoom() && l.g.memory.Take(memory.Connections, connectionBytes) {
		return true
	}
	l.open.Add(-1)
	return false
}

// Release implements callerconn.Budget.
func (l *callerLimits) Release() {
	l.open.Add(-1)
	l.g.memory.Give(memory.Connections, connectionBytes)
}

// Grow implements callerconn.Budget.
func (l *callerLimits) Grow(n int64) bool {
	return l.g.memory.Take(memory.Connections, n) || l.closeSpare() && l.g.memory.Take(memory.Connections, n)
}

// Shrink implements callerconn.Budget.
func (l *callerLimits) Shrink(n int64) { l.g.memory.Give(memory.Connections, n) }

// closeSpare closes a connection without a request, whose place is then free.
func (l *callerLimits) closeSpare() bool {
	if !l.g.callers.CloseSpare() {
		return false
	}
	l.closedSpare.Add(1)
	return true
}

// run ends what makes no progress until ctx is done.
func (l *callerLimits) run(ctx context.Context) {
	last, logged := time.Now(), time.Now()
	var known map[string]int64
	for sleep(ctx, limitsCheckInterval) {
		now := time.Now()
		l.g.memory.Tick(now.Sub(last))
		l.closeUnread(now.Sub(last))
		last = now
		if now.Sub(logged) >= refusedLogInterval {
			known, logged = l.logRefused(known), now
		}
	}
}

// closeUnread ends the connections whose callers do not read their responses.
func (l *callerLimits) closeUnread(elapsed time.Duration) {
	state := make(map[net.Conn]memory.Connection)
	for _, r := range l.g.callers.WaitingWrites() {
		state[r.Conn] = memory.Connection{Unread: r.Queues.Unread, Unsent: r.Queues.Unsent, Acknowledged: r.Queues.Acknowledged, Writing: r.Writing}
	}
	waiting, closing := l.unread.Observe(state, elapsed)
	l.g.memory.SetKernel(waiting)
	for _, conn := range closing {
		l.closedUnread.Add(1)
		callerconn.Reset(conn)
	}
}

// logRefused logs what was refused or closed since the last time, if anything was.
func (l *callerLimits) logRefused(known map[string]int64) map[string]int64 {
	held := l.g.memory.Held()
	now := maps.Clone(held.Dropped)
	now["connections refused"], now["spare connections"], now["unread responses"] = l.refused.Load(), l.closedSpare.Load(), l.closedUnread.Load()
	changed := make(map[string]int64)
	for reason, n := range now {
		if n > known[reason] {
			changed[reason] = n - known[reason]
		}
	}
	if len(changed) > 0 {
		l.g.log.Warn("clients refused", "count", changed, "held_bytes", held.Bytes, "limit_bytes", held.Limit,
			"unfinished_bodies", held.Bodies, "connections", l.open.Load())
	}
	return now
}
