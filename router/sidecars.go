package router

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
	"jacinthfork.example/jacinthfork/wire"
)

// connectTimeout bounds the wait for a connection to a sidecar.
const connectTimeout = time.Second

// sidecarConn is the connection to one sidecar.
type sidecarConn struct {
	instance string
	address  string
	conn     *grpc.ClientConn
	client   wire.SidecarClient
	// incarnation is the last one that the sidecar reported; 0 if none is known.
	incarnation atomic.Uint64
}

// connect waits until the connection is ready. An error means that nothing was sent.
func (c *sidecarConn) connect(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	for {
		state := c.conn.GetState()
		switch state {
		case connectivity.Ready:
			return nil
		case connectivity.Idle:
			c.conn.Connect()
		case connectivity.TransientFailure:
			c.conn.ResetConnectBackoff()
			return fmt.Errorf("no connection to %s at %s", c.instance, c.address)
		case connectivity.Shutdown:
			return fmt.Errorf("connection to %s is closed", c.instance)
		}
		if !c.conn.WaitForStateChange(ctx, state) {
			return fmt.Errorf("no connection to %s at %s: %w", c.instance, c.address, ctx.Err())
		}
	}
}

// sidecarConns holds the router's connections to sidecars. A connection is opened on first use.
type sidecarConns struct {
	mu      sync.Mutex
	options []grpc.DialOption
	open    map[string]*sidecarConn
}

func newSidecarConns(options []grpc.DialOption) *sidecarConns {
	return &sidecarConns{options: options, open: make(map[string]*sidecarConn)}
}

// get returns the connection to an instance. If the address has changed, the connection is replaced.
func (s *sidecarConns) get(instance, address string) (*sidecarConn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.open[instance]; ok {
		if known.address == address {
			return known, nil
		}
		_ = known.conn.Close()
	}
	conn, err := grpc.NewClient("passthrough:///"+address, s.options...)
	if err != nil {
		return nil, fmt.Errorf("connection to %s: %w", instance, err)
	}
	fresh := &sidecarConn{instance: instance, address: address, conn: conn, client: wire.NewSidecarClient(conn)}
	s.open[instance] = fresh
	return fresh, nil
}

// retain closes the connections to instances that are no longer listed.
func (s *sidecarConns) retain(listed map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for instance, known := range s.open {
		if !listed[instance] {
			_ = known.conn.Close()
			delete(s.open, instance)
		}
	}
}

func (s *sidecarConns) close() { s.retain(nil) }
