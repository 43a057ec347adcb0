package httpcheck

import (
	"bytes"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"

	"jacinthfork.example/jacinthfork/internal/socket"
)

// Transport makes t check the responses that it reads, and returns t. It speaks HTTP/1.1 only, and must not reach TLS servers through
// a proxy. t must not be in use.
func Transport(t *http.Transport) *http.Transport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
	t.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		secure := tls.Client(conn, tlsConfig(t.TLSClientConfig, address))
		if err := secure.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, err
		}
		return NewConn(secure), nil
	}
	return t
}

// tlsConfig returns the configuration of a connection to an address.
func tlsConfig(config *tls.Config, address string) *tls.Config {
	if config == nil {
		config = &tls.Config{}
	}
	if config.ServerName != "" {
		return config
	}
	config = config.Clone()
	config.ServerName, _, _ = net.SplitHostPort(address)
	return config
}

// Conn is a connection of a client that sends one request after another, each after the response to the one before.
type Conn struct {
	net.Conn
	reader *Reader
	// waiting is set from the first byte of a request to the end of its response.
	waiting atomic.Bool
	// writeFailed is set once a write has failed.
	writeFailed atomic.Bool
}

// NewConn returns a Conn that uses raw.
func NewConn(raw net.Conn) *Conn {
	c := &Conn{Conn: raw}
	c.reader = NewReader(raw, c.whole)
	c.reader.onEnd = func() { c.waiting.Store(false) }
	return c
}

// Read implements net.Conn. See Reader.
func (c *Conn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if len(p) > 0 && c.waiting.CompareAndSwap(false, true) {
		method, _, _ := bytes.Cut(p[:min(len(p), len(http.MethodConnect)+1)], []byte(" "))
		c.reader.Begin(string(method))
	}
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writeFailed.Store(true)
	}
	return n, err
}

// whole returns an error if the connection has failed.
func (c *Conn) whole() error {
	if c.writeFailed.Load() || socket.WasReset(c.Conn) {
		return ErrReset
	}
	return nil
}
