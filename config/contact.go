package config

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"google.golang.org/grpc"

	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/wire"
)

const (
	// pullGrace is how long a peer's newer revision must last before its state is pulled. With the
	// log healthy the record arrives by itself sooner.
	pullGrace = 2 * time.Second
	// offerGrace is longer, because a peer that can pull does so first.
	offerGrace = 5 * time.Second
	// transferPause is the least time between two transfers that one node starts.
	transferPause = 3 * time.Second
	// transferTimeout bounds one transfer.
	transferTimeout = 10 * time.Second
)

// Contact moves the state between this node and a peer when their revisions differ: whoever is behind
// pulls, or is offered the state. At most one transfer is in progress, and at most one starts per
// transferPause.
type Contact struct {
	store    *Store
	counters *kernel.Counters
	// ctx ends the transfers in progress.
	ctx context.Context

	mu   sync.Mutex
	last time.Time
	busy bool
}

// NewContact returns a contact whose transfers end with ctx.
func NewContact(ctx context.Context, store *Store) *Contact {
	return &Contact{ctx: ctx, store: store, counters: store.counters}
}

// Revision returns the revision to put on messages.
func (c *Contact) Revision() uint64 { return c.store.Revision() }

// Saw takes the revision that a peer told. When the two still differ after a grace time, the state is
// moved. It does not block.
func (c *Contact) Saw(_ string, revision uint64, client wire.SidecarClient) {
	mine := c.store.Revision()
	if mine == revision || !c.start() {
		return
	}
	go func() {
		defer c.end()
		ctx, cancel := context.WithTimeout(c.ctx, offerGrace+transferTimeout)
		defer cancel()
		if mine < revision {
			c.pullLater(ctx, mine, revision, client)
			return
		}
		c.offerLater(ctx, client)
	}()
}

func (c *Contact) start() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.busy || now.Sub(c.last) < transferPause {
		return false
	}
	c.busy, c.last = true, now
	return true
}

func (c *Contact) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
}

// pullLater pulls when this node is still behind after the grace time. A node without a state pulls at
// once.
func (c *Contact) pullLater(ctx context.Context, mine, theirs uint64, client wire.SidecarClient) {
	if mine != 0 {
		sleep(ctx, pullGrace)
	}
	if c.store.Revision() < theirs {
		c.count("pull", c.pull(ctx, client))
	}
}

// offerLater offers the state when the peer is still behind after the grace time.
func (c *Contact) offerLater(ctx context.Context, client wire.SidecarClient) {
	sleep(ctx, offerGrace)
	// An empty offer asks for the peer's position, because most often it has caught up.
	has, err := offer(ctx, client, []*wire.ConfigPart{{Last: true}})
	if err == nil && has <= c.store.Revision() {
		_, err = offer(ctx, client, c.store.Export(has))
		c.count("offer", err)
	}
}

func (c *Contact) count(name string, err error) {
	if err != nil && !errors.Is(err, ErrBehind) {
		name += "_failed"
	}
	c.counters.Map("config_transfers").Add(name, 1)
}

func (c *Contact) pull(ctx context.Context, client wire.SidecarClient) error {
	stream, err := client.PullConfig(ctx, &wire.PullConfigRequest{HaveAsOf: c.store.whole()})
	if err != nil {
		return err
	}
	parts, err := receive(stream.Recv)
	if err != nil {
		return err
	}
	return c.store.Import(parts)
}

func offer(ctx context.Context, client wire.SidecarClient, parts []*wire.ConfigPart) (uint64, error) {
	stream, err := client.OfferConfig(ctx)
	if err != nil {
		return 0, err
	}
	for _, part := range parts {
		if err := stream.Send(part); err != nil {
			break // CloseAndRecv returns the cause.
		}
	}
	reply, err := stream.CloseAndRecv()
	return reply.GetAsOf(), err
}

// whole is the prefix that the node has as a whole, 0 while records are missing.
func (s *Store) whole() uint64 {
	view := s.View()
	if !view.Complete {
		return 0
	}
	return view.AsOf
}

// ServePull is the server side of PullConfig.
func (s *Store) ServePull(r *wire.PullConfigRequest, stream grpc.ServerStreamingServer[wire.ConfigPart]) error {
	for _, part := range s.Export(r.GetHaveAsOf()) {
		if err := stream.Send(part); err != nil {
			return err
		}
	}
	return nil
}

// ServeOffer is the server side of OfferConfig.
func (s *Store) ServeOffer(stream grpc.ClientStreamingServer[wire.ConfigPart, wire.OfferConfigReply]) error {
	parts, err := receive(stream.Recv)
	if err != nil {
		return err
	}
	if err := s.Import(parts); err != nil && !errors.Is(err, ErrBehind) {
		return err
	}
	return stream.SendAndClose(&wire.OfferConfigReply{AsOf: s.whole()})
}

// maxParts bounds the parts that a peer may send.
const maxParts = 4096

func receive(next func() (*wire.ConfigPart, error)) ([]*wire.ConfigPart, error) {
	var parts []*wire.ConfigPart
	for len(parts) < maxParts {
		part, err := next()
		if errors.Is(err, io.EOF) {
			return nil, ErrPartial
		}
		if err != nil {
			return nil, err
		}
		parts = append(parts, part)
		if part.GetLast() {
			return parts, nil
		}
	}
	return nil, ErrPartial
}
