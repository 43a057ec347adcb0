package traffic

import (
	"context"
	"net"
	"sync"
)

// Conn is a net.Conn that counts the bytes read and written. With TLS, it is the underlying connection, so that
// the overhead of TLS is counted.
type Conn struct {
	net.Conn
	meter *Meter

	mu    sync.Mutex
	peer  Peer
	class Class
	// classified is false on a server connection until the first request determines peer and class.
	classified bool
	in, out    int64
	id         string
}

// Wrap returns a Conn that counts the bytes of conn under the given peer and class.
func (m *Meter) Wrap(conn net.Conn, peer Peer, class Class) *Conn {
	return &Conn{Conn: conn, meter: m, peer: peer, class: class, classified: true}
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
	if c.id != "" {
		c.meter.unregister(c.id, c)
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

// classify sets the peer and class of a server connection and moves the bytes counted so far to them.
func (c *Conn) classify(peer Peer, class Class) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.classified {
		return
	}
	c.classified = true
	c.meter.add(key{c.peer, c.class, In}, -c.in)
	c.meter.add(key{c.peer, c.class, Out}, -c.out)
	c.peer, c.class = peer, class
	c.meter.add(key{peer, class, In}, c.in)
	c.meter.add(key{peer, class, Out}, c.out)
}

// reclassifyAsData moves the n bytes of an Execute message from overhead to data.
func (c *Conn) reclassifyAsData(dir Direction, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.class != ClassOverhead {
		return
	}
	c.meter.add(key{c.peer, ClassOverhead, dir}, -n)
	c.meter.add(key{c.peer, ClassData, dir}, n)
}

// DialFunc has the signature of net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a dial function for http.Transport that counts the bytes of its connections.
func (m *Meter) Dialer(peer Peer, class Class) DialFunc {
	var dialer net.Dialer
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return m.Wrap(conn, peer, class), nil
	}
}

// WrapListener wraps l so that the bytes of accepted connections are counted under the given peer and class.
func (m *Meter) WrapListener(l net.Listener, peer Peer, class Class) net.Listener {
	return &listener{Listener: l, wrap: func(conn net.Conn) *Conn { return m.Wrap(conn, peer, class) }}
}

// ListenGRPC wraps l for a gRPC server that uses ServerOptions. Bytes of a connection are counted under
// PeerUnknown until the server's stats handler sees its first request.
func (m *Meter) ListenGRPC(l net.Listener) net.Listener {
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

// connID identifies a connection by its two addresses, which are all that a stats handler is given.
func connID(local, remote net.Addr) string { return local.String() + " " + remote.String() }

// register makes c available to the stats handlers through lookup.
func (m *Meter) register(c *Conn) {
	c.id = connID(c.LocalAddr(), c.RemoteAddr())
	m.mu.Lock()
	defer m.mu.Unlock()
	m.connsByID[c.id] = c
}

func (m *Meter) unregister(id string, c *Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.connsByID[id] == c {
		delete(m.connsByID, id)
	}
}

func (m *Meter) lookup(id string) *Conn {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.connsByID[id]
}
