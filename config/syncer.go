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
	// pullDelay is how long a peer must be ahead before its state is pulled. While the log is healthy, the
	// change arrives through the log sooner.
	pullDelay = 2 * time.Second
	// offerDelay is longer than pullDelay, because a peer that can pull does so first.
	offerDelay = 5 * time.Second
	// minTransferInterval is the minimum time between two transfers that one node starts.
	minTransferInterval = time.Second
	// transferTimeout is the maximum time of one transfer.
	transferTimeout = 10 * time.Second
)

// Syncer synchronises the state of this node with peers whose revision differs: the node that is behind
// pulls the state, or is offered it. Of the transfers that ObserveRevision starts, at most one is in
// progress, and at most one starts per minTransferInterval. Direct calls of Offer are not limited.
type Syncer struct {
	store    *Store
	counters *kernel.Counters
	// ctx cancels the transfers in progress.
	ctx context.Context

	mu sync.Mutex
	// lastStart is when the newest transfer started. Only the transfer in progress accesses it.
	lastStart    time.Time
	transferring bool
	// pendingPeer is the peer with the highest revision that was seen while a transfer was in progress.
	pendingPeer peer
}

// peer is another node and the revision that it reported.
type peer struct {
	revision uint64
	client   wire.SidecarClient
}

// NewSyncer returns a Syncer whose transfers are cancelled with ctx.
func NewSyncer(ctx context.Context, store *Store) *Syncer {
	return &Syncer{ctx: ctx, store: store, counters: store.counters}
}

// Revision returns the revision to send in messages to peers.
func (c *Syncer) Revision() uint64 { return c.store.Revision() }

// Imported returns a channel that receives a token after a state was imported from a peer, so that this node
// informs peers that may be unable to read the log as well. It supports one reader.
func (c *Syncer) Imported() <-chan struct{} { return c.store.imported }

// ObserveRevision processes the revision that a peer reported. If the revisions still differ after a delay, a
// transfer takes place. It does not block.
func (c *Syncer) ObserveRevision(_ string, revision uint64, client wire.SidecarClient) {
	if c.store.Revision() == revision {
		return
	}
	p := peer{revision, client}
	if c.tryBegin(p) {
		go c.runTransfers(p)
	}
}

// tryBegin reserves the single transfer slot. If a transfer is in progress it remembers the peer with the
// highest revision, because that peer may not report its revision again soon.
func (c *Syncer) tryBegin(p peer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.transferring {
		if p.revision >= c.pendingPeer.revision {
			c.pendingPeer = p
		}
		return false
	}
	c.transferring = true
	return true
}

// runTransfers synchronises with a peer, then with the peers that were seen in the meantime and are still
// ahead.
func (c *Syncer) runTransfers(p peer) {
	for {
		c.transfer(p)
		c.mu.Lock()
		p, c.pendingPeer = c.pendingPeer, peer{}
		if p.client == nil || c.store.Revision() >= p.revision || c.ctx.Err() != nil {
			c.transferring = false
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
	}
}

// transfer waits for minTransferInterval, then pulls the state of the peer or offers it the state of this
// node.
func (c *Syncer) transfer(p peer) {
	ctx, cancel := context.WithTimeout(c.ctx, minTransferInterval+offerDelay+transferTimeout)
	defer cancel()
	sleep(ctx, minTransferInterval-time.Since(c.lastStart))
	own := c.store.Revision()
	if own < p.revision {
		c.pullIfBehind(ctx, own, p)
		return
	}
	c.offerIfAhead(ctx, p)
}

// pullIfBehind pulls the state of a peer if this node is still behind after pullDelay. A node whose revision is
// 0, or that cannot read the log, pulls immediately. A failed pull is retried when a peer next reports its
// revision.
func (c *Syncer) pullIfBehind(ctx context.Context, own uint64, p peer) {
	if own != 0 && c.store.logHealthy.Load() {
		sleep(ctx, pullDelay)
	}
	if c.store.Revision() >= p.revision {
		return
	}
	c.lastStart = time.Now()
	c.countTransfer("pull", c.pull(ctx, p.client))
}

// offerIfAhead offers the state if the peer is still behind after offerDelay.
func (c *Syncer) offerIfAhead(ctx context.Context, p peer) {
	sleep(ctx, offerDelay)
	if c.store.Revision() <= p.revision {
		return
	}
	c.lastStart = time.Now()
	c.Offer(ctx, p.client)
}

// WantsUpdates reports whether the log cannot be read here, so that peers should offer newer states
// immediately.
func (c *Syncer) WantsUpdates() bool { return !c.store.logHealthy.Load() }

// Offer sends the state of this node to a peer that is behind. It first sends an empty offer to learn the
// as-of offset of the peer, because other nodes may have sent the state already.
func (c *Syncer) Offer(ctx context.Context, client wire.SidecarClient) {
	peerAsOf, err := offer(ctx, client, []*wire.ConfigPart{{Last: true}})
	if err == nil && peerAsOf <= c.store.Revision() {
		_, err = offer(ctx, client, c.store.Export(peerAsOf))
		c.countTransfer("offer", err)
	}
}

// countTransfer counts a transfer. An import that found nothing new is not a failure.
func (c *Syncer) countTransfer(name string, err error) {
	if err != nil && !errors.Is(err, ErrBehind) {
		name += "_failed"
	}
	c.counters.Map("config_transfers").Add(name, 1)
}

func (c *Syncer) pull(ctx context.Context, client wire.SidecarClient) error {
	parts, err := Pull(ctx, client, c.store.completeAsOf())
	if err != nil {
		return err
	}
	return c.store.Import(parts)
}

// Pull reads the state of a peer as parts for Import. have is the length of the log prefix that the caller
// knows completely, 0 for none. The error comes from the connection or is ErrPartial.
func Pull(ctx context.Context, client wire.SidecarClient, have uint64) ([]*wire.ConfigPart, error) {
	stream, err := client.PullConfig(ctx, &wire.PullConfigRequest{HaveAsOf: have})
	if err != nil {
		return nil, err
	}
	return receiveParts(stream.Recv)
}

// offer sends the parts to a peer and returns the as-of offset of its complete state, 0 for none.
func offer(ctx context.Context, client wire.SidecarClient, parts []*wire.ConfigPart) (uint64, error) {
	stream, err := client.OfferConfig(ctx)
	if err != nil {
		return 0, err
	}
	for _, part := range parts {
		if err := stream.Send(part); err != nil {
			break // CloseAndRecv returns the cause
		}
	}
	reply, err := stream.CloseAndRecv()
	return reply.GetAsOf(), err
}

// completeAsOf returns the length of the log prefix that the node knows completely, 0 while records are
// missing.
func (s *Store) completeAsOf() uint64 {
	view := s.View()
	if !view.Complete {
		return 0
	}
	return view.AsOf
}

// ServePull implements the server side of PullConfig.
func (s *Store) ServePull(r *wire.PullConfigRequest, stream grpc.ServerStreamingServer[wire.ConfigPart]) error {
	for _, part := range s.Export(r.GetHaveAsOf()) {
		if err := stream.Send(part); err != nil {
			return err
		}
	}
	return nil
}

// ServeOffer implements the server side of OfferConfig.
func (s *Store) ServeOffer(stream grpc.ClientStreamingServer[wire.ConfigPart, wire.OfferConfigReply]) error {
	parts, err := receiveParts(stream.Recv)
	if err != nil {
		return err
	}
	if err := s.Import(parts); err != nil && !errors.Is(err, ErrBehind) {
		return err
	}
	return stream.SendAndClose(&wire.OfferConfigReply{AsOf: s.completeAsOf()})
}

// maxParts is the maximum number of parts accepted from a peer.
const maxParts = 4096

// receiveParts reads parts up to and including the last one.
func receiveParts(next func() (*wire.ConfigPart, error)) ([]*wire.ConfigPart, error) {
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
