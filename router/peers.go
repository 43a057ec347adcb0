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

// peer is the connection to one sidecar.
type peer struct {
	instance string
	address  string
	conn     *grpc.ClientConn
	client   wire.SidecarClient
	// incarnation is the last one that the sidecar told; 0 when none is known.
	incarnation atomic.Uint64
}

// connect waits until the connection is ready. An error proves that nothing was sent.
func (p *peer) connect(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	for {
		state := p.conn.GetState()
		switch state {
		case connectivity.Ready:
			return nil
		case connectivity.Idle:
			p.conn.Connect()
		case connectivity.TransientFailure:
			p.conn.ResetConnectBackoff()
			return fmt.Errorf("no connection to %s at %s", p.instance, p.address)
		case connectivity.Shutdown:
			return fmt.Errorf("connection to %s is closed", p.instance)
		}
		if !p.conn.WaitForStateChange(ctx, state) {
			return fmt.Errorf("no connection to %s at %s: %w", p.instance, p.address, ctx.Err())
		}
	}
}

// peers holds the connections of a router. A connection is opened on first use.
type peers struct {
	mu      sync.Mutex
	options []grpc.DialOption
	open    map[string]*peer
}

func newPeers(options []grpc.DialOption) *peers {
	return &peers{options: options, open: make(map[string]*peer)}
}

// get returns the connection to an instance; a changed address replaces it.
func (p *peers) get(instance, address string) (*peer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, ok := p.open[instance]; ok {
		if known.address == address {
			return known, nil
		}
		_ = known.conn.Close()
	}
	conn, err := grpc.NewClient("passthrough:///"+address, p.options...)
	if err != nil {
		return nil, fmt.Errorf("connection to %s: %w", instance, err)
	}
	fresh := &peer{instance: instance, address: address, conn: conn, client: wire.NewSidecarClient(conn)}
	p.open[instance] = fresh
	return fresh, nil
}

// retain closes the connections to instances that are not listed any more.
func (p *peers) retain(listed map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for instance, known := range p.open {
		if !listed[instance] {
			_ = known.conn.Close()
			delete(p.open, instance)
		}
	}
}

func (p *peers) close() { p.retain(nil) }
