// Package traffic counts the bytes that a node spends on its connections, by kind of peer and class,
// so that control traffic is told from the data of requests.
//
// Routers open separate connections to a sidecar for data (Execute, Cancel) and for control (all
// other methods). Every byte of a control connection is control: HTTP/2 frames, headers, window
// updates, keepalive and TLS included. On a data connection the messages of Execute are data and the
// rest is overhead. The servers learn the class of a connection from the first method on it.
package traffic

import (
	"expvar"
	"sync"
	"time"

	"jacinthfork.example/jacinthfork/kernel"
)

// Peer is the kind of process at the other end.
type Peer string

// Kinds of peers.
const (
	PeerRouter        Peer = "router"
	PeerSidecar       Peer = "sidecar"
	PeerLog           Peer = "log"
	PeerInstances     Peer = "instances"
	PeerCaller        Peer = "caller"
	PeerBackendServer Peer = "backend"
	// PeerUnknown holds the bytes of a server connection before its first request.
	PeerUnknown Peer = "unknown"
)

// Class says what bytes are spent on.
type Class string

// Classes.
const (
	// ClassControl is coordination: all bytes of control connections.
	ClassControl Class = "control"
	// ClassData is the messages of Execute, and all bytes of connections that carry only requests.
	ClassData Class = "data"
	// ClassOverhead is what a data connection carries beside the messages of Execute.
	ClassOverhead Class = "overhead"
)

// Direction is seen from this node.
type Direction string

// Directions.
const (
	In  Direction = "in"
	Out Direction = "out"
)

// rateWindow is the time over which bytes per second are averaged.
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
	// seconds holds the control and overhead bytes of the last seconds, by second modulo its length.
	seconds [rateWindow + 1]struct{ second, bytes int64 }

	connections map[string]*Conn
}

// NewMeter returns a meter that publishes traffic_bytes, traffic_messages, traffic_message_bytes,
// control_bytes and control_bytes_per_second.
func NewMeter(counters *kernel.Counters) *Meter {
	m := &Meter{
		messages: counters.Map("traffic_messages"), messageBytes: counters.Map("traffic_message_bytes"),
		started: time.Now(),
		totals:  make(map[key]int64), connections: make(map[string]*Conn),
	}
	counters.Func("traffic_bytes", func() any { return m.Totals() })
	counters.Func("control_bytes", func() any { return m.Control() })
	counters.Func("control_bytes_per_second", func() any { return m.Rate() })
	return m
}

// Totals returns all bytes by "peer/class/direction".
func (m *Meter) Totals() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]int64, len(m.totals))
	for k, n := range m.totals {
		out[k.String()] = n
	}
	return out
}

// Control returns the bytes spent on coordination and probes in both directions: control and the
// overhead of data connections between the system's own processes.
func (m *Meter) Control() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	total := int64(0)
	for k, n := range m.totals {
		if k.control() {
			total += n
		}
	}
	return total
}

// ControlClass returns the bytes of control connections alone, in both directions.
func (m *Meter) ControlClass() int64 {
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

func (k key) control() bool { return k.class != ClassData }

// Rate returns the control bytes per second over the last ten whole seconds, or since the start.
func (m *Meter) Rate() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.second()
	sum := int64(0)
	for _, s := range m.seconds {
		if s.second < now && s.second >= now-rateWindow {
			sum += s.bytes
		}
	}
	return float64(sum) / float64(max(1, min(now, rateWindow)))
}

// second is the number of the current second since the start.
func (m *Meter) second() int64 { return int64(time.Since(m.started) / time.Second) }

// add counts bytes, which are negative when they move to another key.
func (m *Meter) add(k key, n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.totals[k] += n
	if !k.control() {
		return
	}
	now := m.second()
	slot := &m.seconds[now%int64(len(m.seconds))]
	if slot.second != now {
		slot.second, slot.bytes = now, 0
	}
	slot.bytes += n
}
