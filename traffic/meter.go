// Package traffic counts the bytes that a node sends and receives by kind of peer and traffic class, which
// separates control traffic from request data.
//
// Routers open separate connections to a sidecar for data (Execute, Cancel, Hello) and for control (all other
// methods). All bytes of a control connection count as control traffic, including HTTP/2 frames, headers,
// window updates, keepalives and TLS. On a data connection, messages of Execute are data and everything
// else is overhead. A server determines the class of a connection from the first method called on it.
package traffic

import (
	"expvar"
	"sync"
	"time"

	"jacinthfork.example/jacinthfork/kernel"
)

// Peer is the kind of process at the remote end of a connection.
type Peer string

// Kinds of peers.
const (
	PeerRouter        Peer = "router"
	PeerSidecar       Peer = "sidecar"
	PeerLog           Peer = "log"
	PeerInstances     Peer = "instances" // server of the instance list
	PeerCaller        Peer = "caller"
	PeerBackendServer Peer = "backend"
	// PeerUnknown is the peer of a server connection before its first request.
	PeerUnknown Peer = "unknown"
)

// Class is the purpose of traffic.
type Class string

// Traffic classes.
const (
	// ClassControl is coordination traffic: all bytes of control connections.
	ClassControl Class = "control"
	// ClassData is request data: messages of Execute and all bytes of connections that carry only requests.
	ClassData Class = "data"
	// ClassOverhead is everything on a data connection except the messages of Execute.
	ClassOverhead Class = "overhead"
)

// Direction is the direction of traffic, relative to this node.
type Direction string

// Directions.
const (
	In  Direction = "in"
	Out Direction = "out"
)

// rateWindow is the averaging period of ControlRate in seconds.
const rateWindow = 10

type key struct {
	peer  Peer
	class Class
	dir   Direction
}

func (k key) String() string {
	return string(k.peer) + "/" + string(k.class) + "/" + string(k.dir)
}

// Meter counts the bytes of one node. It is safe for concurrent use.
type Meter struct {
	messages     *expvar.Map
	messageBytes *expvar.Map
	started      time.Time

	mu     sync.Mutex
	totals map[key]int64
	// seconds is a ring buffer of the control and overhead bytes of recent seconds, indexed by the second
	// modulo its length.
	seconds [rateWindow + 1]struct{ second, bytes int64 }

	connsByID map[string]*Conn
}

// NewMeter returns a meter that publishes traffic_bytes, traffic_messages, traffic_message_bytes,
// control_bytes and control_bytes_per_second.
func NewMeter(counters *kernel.Counters) *Meter {
	m := &Meter{
		messages: counters.Map("traffic_messages"), messageBytes: counters.Map("traffic_message_bytes"),
		started: time.Now(),
		totals:  make(map[key]int64), connsByID: make(map[string]*Conn),
	}
	counters.Func("traffic_bytes", func() any { return m.BytesByKey() })
	counters.Func("control_bytes", func() any { return m.ControlBytes() })
	counters.Func("control_bytes_per_second", func() any { return m.ControlRate() })
	return m
}

// BytesByKey returns the byte counts keyed by "peer/class/direction".
func (m *Meter) BytesByKey() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]int64, len(m.totals))
	for k, n := range m.totals {
		out[k.String()] = n
	}
	return out
}

// ControlBytes returns the bytes used for coordination and probes in both directions: control traffic, plus
// the overhead of data connections between the system's own processes.
func (m *Meter) ControlBytes() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	total := int64(0)
	for k, n := range m.totals {
		if k.countsAsControl() {
			total += n
		}
	}
	return total
}

// ControlClassBytes returns the bytes of control connections only, in both directions.
func (m *Meter) ControlClassBytes() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	total := int64(0)
	for k, n := range m.totals {
		if k.class == ClassControl {
			total += n
		}
	}
	return total
}

func (k key) countsAsControl() bool { return k.class != ClassData }

// ControlRate returns the control bytes per second over the last ten complete seconds, or since the start if
// that is more recent.
func (m *Meter) ControlRate() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.currentSecond()
	sum := int64(0)
	for _, s := range m.seconds {
		if s.second < now && s.second >= now-rateWindow {
			sum += s.bytes
		}
	}
	return float64(sum) / float64(max(1, min(now, rateWindow)))
}

// currentSecond returns the number of whole seconds since the start.
func (m *Meter) currentSecond() int64 { return int64(time.Since(m.started) / time.Second) }

// add adds n bytes to k. n is negative when bytes are moved to another key.
func (m *Meter) add(k key, n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.totals[k] += n
	if !k.countsAsControl() {
		return
	}
	now := m.currentSecond()
	slot := &m.seconds[now%int64(len(m.seconds))]
	if slot.second != now {
		slot.second, slot.bytes = now, 0
	}
	slot.bytes += n
}
