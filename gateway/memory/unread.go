package memory

import (
	"slices"
	"time"
)

// unreadProgress is what a caller must take of a response within the time limit. A caller behind a link of 10 Mbit/s that is
// 36 times narrower takes as much in 0.12 s.
const unreadProgress = 4 << 10

// unreadAfter is how long a write waits without progress until its connection may be closed because too much waits in the
// kernel.
const unreadAfter = time.Second

// Connection is the state of one caller's connection with a request, as the kernel has it.
type Connection struct {
	// Unread are the bytes that have arrived and were not read, Unsent those that the caller has not acknowledged.
	Unread, Unsent int64
	// Acknowledged is the number of bytes that the caller has acknowledged since the connection was made.
	Acknowledged int64
	// Writing is set while a write waits for the caller.
	Writing bool
}

// Unread decides which callers' connections are closed because their responses are not read. It counts the time in which this
// process runs, not the time that passes: a caller is not blamed for a pause of the process. ID identifies a connection.
type Unread[ID comparable] struct {
	// Limit is how long a write may wait without progress, KernelLimit how much may wait in the kernel.
	Limit       time.Duration
	KernelLimit int64
	callers     map[ID]unreadCaller
}

type unreadCaller struct {
	acknowledged int64
	idle         time.Duration
}

// Observe takes the state of all connections with a request and returns what waits in the kernel, and the connections to
// close: those that have made no progress for the limit, and while too much waits in the kernel those that make none, the
// one with most waiting data first.
func (u *Unread[ID]) Observe(now map[ID]Connection, elapsed time.Duration) (waiting int64, closing []ID) {
	elapsed = min(elapsed, maxTick)
	callers := make(map[ID]unreadCaller)
	var stalled []ID
	for id, c := range now {
		waiting += c.Unread + c.Unsent
		if !c.Writing || c.Unsent == 0 {
			continue
		}
		known, ok := u.callers[id]
		if !ok || c.Acknowledged-known.acknowledged >= unreadProgress {
			known = unreadCaller{acknowledged: c.Acknowledged}
		} else {
			known.idle += elapsed
		}
		if known.idle >= u.Limit {
			closing = append(closing, id)
			waiting -= c.Unread + c.Unsent
			continue
		}
		callers[id] = known
		if known.idle >= unreadAfter {
			stalled = append(stalled, id)
		}
	}
	u.callers = callers
	slices.SortFunc(stalled, func(a, b ID) int { return int(now[b].Unsent - now[a].Unsent) })
	for _, id := range stalled {
		if waiting <= u.KernelLimit {
			break
		}
		closing = append(closing, id)
		waiting -= now[id].Unread + now[id].Unsent
	}
	return waiting, closing
}
