package traffic

import (
	"context"
	"net"
	"sync"
)

// Conn counts the bytes of a connection. For a TLS connection it is the one below TLS.
type Conn struct {
	net.Conn
	meter *Meter

	mu    sync.Mutex
	peer  Peer
	class Class
	// known is false on a server until the first request tells peer and class.
	known   bool
	in, out int64
	name    string
}

// Wrap returns a connection whose bytes are counted for the peer and class.
func (m *Meter) Wrap(conn net.Conn, peer Peer, class Class) *Conn {
	return &Conn{Conn: conn, meter: m, peer: peer, class: class, known: true}
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count(In, int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count(Out, int64(n))
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if c.name != "" {
		c.meter.forget(c.name, c)
	}
	return c.Conn.Close()
}

func (c *Conn) count(dir Direction, n int64) {
	if n == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if dir == In {
		c.in += n
	} else {
		c.out += n
	}
	c.meter.add(key{c.peer, c.class, dir}, n)
}

// classify sets peer and class of a server connection, and moves the bytes so far to them.
func (c *Conn) classify(peer Peer, class Class) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.known {
		return
	}
	c.known = true
	c.meter.add(key{c.peer, c.class, In}, -c.in)
	c.meter.add(key{c.peer, c.class, Out}, -c.out)
	c.peer, c.class = peer, class
	c.meter.add(key{peer, class, In}, c.in)
	c.meter.add(key{peer, class, Out}, c.out)
}

// toData moves bytes of a message of Execute from overhead to data.
func (c *Conn) toData(dir Direction, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.class != ClassOverhead {
		return
	}
	c.meter.add(key{c.peer, ClassOverhead, dir}, -n)
	c.meter.add(key{c.peer, ClassData, dir}, n)
}

// DialContext is the form of net.Dialer.DialContext.
type DialContext func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a dial function for http.Transport whose connections are counted.
func (m *Meter) Dialer(peer Peer, class Class) DialContext {
	var dialer net.Dialer
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return m.Wrap(conn, peer, class), nil
	}
}

// Listen returns a listener whose connections are counted for the peer and class.
func (m *Meter) Listen(l net.Listener, peer Peer, class Class) net.Listener {
	return &listener{Listener: l, wrap: func(conn net.Conn) *Conn { return m.Wrap(conn, peer, class) }}
}

// ListenFleet returns a listener for a gRPC server of the fleet. Its connections count as unknown
// until the server's StatsHandler sees their first request.
func (m *Meter) ListenFleet(l net.Listener) net.Listener {
	return &listener{Listener: l, wrap: func(conn net.Conn) *Conn {
		c := &Conn{Conn: conn, meter: m, peer: PeerUnknown, class: ClassControl}
		m.register(c)
		return c
	}}
}

type listener struct {
	net.Listener
	wrap func(net.Conn) *Conn
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.wrap(conn), nil
}

// connectionName identifies a connection by both ends, because a stats handler sees only these.
func connectionName(local, remote net.Addr) string { return local.String() + " " + remote.String() }

// register makes a connection known to the stats handlers.
func (m *Meter) register(c *Conn) {
	c.name = connectionName(c.LocalAddr(), c.RemoteAddr())
	m.mu.Lock()
	defer m.mu.Unlock()
	m.connections[c.name] = c
}

func (m *Meter) forget(name string, c *Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.connections[name] == c {
		delete(m.connections, name)
	}
}

func (m *Meter) connection(name string) *Conn {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.connections[name]
}
