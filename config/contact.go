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
	transferPause = time.Second
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

	mu sync.Mutex
	// last is when the newest transfer started.
	last time.Time
	busy bool
	// next is the newest peer that is ahead, seen while a transfer was in progress.
	next peer
}

// peer is another node with the revision that it told.
type peer struct {
	revision uint64
	client   wire.SidecarClient
}

// NewContact returns a contact whose transfers end with ctx.
func NewContact(ctx context.Context, store *Store) *Contact {
	return &Contact{ctx: ctx, store: store, counters: store.counters}
}

// Revision returns the revision to put on messages.
func (c *Contact) Revision() uint64 { return c.store.Revision() }

// Taken returns a channel that gets a token when a state was taken from a peer, so that this node tells
// others that may lack the log as well. It has one reader.
func (c *Contact) Taken() <-chan struct{} { return c.store.taken }

// Saw takes the revision that a peer told. When the two still differ after a grace time, the state is
// moved. It does not block.
func (c *Contact) Saw(_ string, revision uint64, client wire.SidecarClient) {
	if c.store.Revision() == revision {
		return
	}
	p := peer{revision, client}
	if c.begin(p) {
		go c.run(p)
	}
}

// begin reserves the one transfer. While another one is in progress it keeps a peer that is ahead for
// later, because a peer may not tell its revision again soon.
func (c *Contact) begin(p peer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy {
		if p.revision >= c.next.revision {
			c.next = p
		}
		return false
	}
	c.busy = true
	return true
}

// run moves the state between this node and a peer, then from peers that were seen meanwhile.
func (c *Contact) run(p peer) {
	for {
		c.transfer(p)
		c.mu.Lock()
		p, c.next = c.next, peer{}
		if p.client == nil || c.store.Revision() >= p.revision || c.ctx.Err() != nil {
			c.busy = false
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
	}
}

func (c *Contact) transfer(p peer) {
	ctx, cancel := context.WithTimeout(c.ctx, transferPause+offerGrace+transferTimeout)
	defer cancel()
	sleep(ctx, transferPause-time.Since(c.last))
	mine := c.store.Revision()
	if mine < p.revision {
		c.pullLater(ctx, mine, p)
		return
	}
	c.offerLater(ctx, p)
}

// pullLater pulls when this node is still behind after the grace time. A node without a state, or
// without the log, pulls at once. A failed pull is tried again by the next contact.
func (c *Contact) pullLater(ctx context.Context, mine uint64, p peer) {
	if mine != 0 && c.store.logHealthy.Load() {
		sleep(ctx, pullGrace)
	}
	if c.store.Revision() >= p.revision {
		return
	}
	c.last = time.Now()
	c.count("pull", c.pull(ctx, p.client))
}

// offerLater offers the state when the peer is still behind after the grace time.
func (c *Contact) offerLater(ctx context.Context, p peer) {
	sleep(ctx, offerGrace)
	if c.store.Revision() <= p.revision {
		return
	}
	c.last = time.Now()
	c.Offer(ctx, p.client)
}

// Wants says that the log can't be read here, so that peers should offer newer states at once.
func (c *Contact) Wants() bool { return !c.store.logHealthy.Load() }

// Offer gives a peer the state of this node if the peer is behind. An empty offer asks for the peer's
// position first, because others may have given it the state already.
func (c *Contact) Offer(ctx context.Context, client wire.SidecarClient) {
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
	parts, err := Pull(ctx, client, c.store.whole())
	if err != nil {
		return err
	}
	return c.store.Import(parts)
}

// Pull reads the state of a peer as parts for Import. have is the prefix that the caller has as a
// whole, 0 for none. The error is that of the connection, or ErrPartial.
func Pull(ctx context.Context, client wire.SidecarClient, have uint64) ([]*wire.ConfigPart, error) {
	stream, err := client.PullConfig(ctx, &wire.PullConfigRequest{HaveAsOf: have})
	if err != nil {
		return nil, err
	}
	return receive(stream.Recv)
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
