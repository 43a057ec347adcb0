package gateway

import (
	"errors"
	"slices"
	"time"

	"jacinthfork.example/jacinthfork/gateway/feed"
	"jacinthfork.example/jacinthfork/gateway/peer/peerpb"
	"jacinthfork.example/jacinthfork/gateway/pool"
)

// maxSuspectsPerMessage bounds the crash suspects in one message.
const maxSuspectsPerMessage = 8

// StateUpdate implements peer.Handler.
func (g *Gateway) StateUpdate(positions []*peerpb.Position, want bool) *peerpb.StateUpdate {
	update := &peerpb.StateUpdate{
		Node:     g.settings.Node,
		Address:  g.peers.Address(),
		Peers:    g.peers.SamplePeers(),
		Leaving:  g.leaving.Load(),
		Suspects: g.suspects.Export(maxSuspectsPerMessage),
	}
	update.Loads = encodeLoads(g.registry.LocalLoads())
	for _, f := range g.followers() {
		g.addFeed(update, f, findPosition(positions, f.id), want)
	}
	for _, p := range g.registry.Placements(g.peers.PropagationTime()) {
		placed := &peerpb.PromptPlacement{Instance: uint32(p.Instance)}
		for _, part := range p.Parts {
			placed.Ids = append(placed.Ids, part.ID)
			placed.Tokens = append(placed.Tokens, uint32(part.Tokens))
		}
		update.Prompts = append(update.Prompts, placed)
	}
	return update
}

// maxUnsolicitedBytes is the size above which records are sent only to a peer that cannot read them from the
// store. Sending a configuration of a thousand routes, or the entries of thousands of instances at a start,
// to every peer would saturate a router's link.
const maxUnsolicitedBytes = 4 << 10

// PeerStateChanged implements peer.Handler. It must not call the exchange, which holds its lock during the call.
func (g *Gateway) PeerStateChanged(address string, err error) {
	if err != nil {
		g.log.Warn("peer lost", "peer", address, "error", err)
		return
	}
	g.log.Info("peer regained", "peer", address)
}

// NeedsRecords implements peer.Handler.
func (g *Gateway) NeedsRecords() bool {
	starting := !g.Ready() && !g.leaving.Load()
	return starting || g.configuration.Failing() || g.instances.Failing()
}

// addFeed adds this router's position in a feed and the records that the peer is missing. If the update does
// not contain all missing records, the age is negative, so that the peer does not adopt the position.
func (g *Gateway) addFeed(update *peerpb.StateUpdate, f feedFollower, position *peerpb.Position, want bool) {
	own := &peerpb.Position{Feed: uint32(f.id), Base: position.GetNext(), Want: want, AgeMs: -1}
	update.Positions = append(update.Positions, own)
	n := f.follower.Since(own.Base)
	own.Next, own.Followed = n.Next, n.HistoryFrom
	// A peer's position is known from its first response on.
	if n.FreshAt.IsZero() || position == nil {
		return
	}
	size := 0
	for _, r := range n.Records {
		size += len(r.Key) + len(r.Value)
	}
	if size > maxUnsolicitedBytes && !position.GetWant() {
		return
	}
	own.AgeMs = time.Since(n.FreshAt).Milliseconds()
	for _, r := range n.Records {
		update.Records = append(update.Records, &peerpb.Record{Feed: uint32(f.id), Offset: r.Offset, Key: r.Key, Value: r.Value})
	}
}

// findPosition returns a peer's position in a feed, or nil if the peer has not sent one.
func findPosition(positions []*peerpb.Position, id feed.ID) *peerpb.Position {
	for _, p := range positions {
		if p.GetFeed() == uint32(id) {
			return p
		}
	}
	return nil
}

type feedFollower struct {
	id       feed.ID
	follower *feed.Follower
}

func (g *Gateway) followers() []feedFollower {
	return []feedFollower{{feed.Configuration, g.configuration}, {feed.Instances, g.instances}}
}

// MergeUpdate implements peer.Handler.
func (g *Gateway) MergeUpdate(update *peerpb.StateUpdate) {
	loads, err := decodeLoads(update.GetLoads())
	if err != nil {
		g.log.Error("peer update ignored", "peer", update.GetNode(), "error", err)
		return
	}
	g.registry.SetPeerLoads(update.GetNode(), loads)
	g.suspects.Merge(update.GetSuspects())
	g.registry.ApplyPlacements(decodePlacements(update.GetPrompts()))
	for _, position := range update.GetPositions() {
		g.mergeFeed(update, position)
	}
}

// mergeFeed merges a peer's records and position in one feed.
func (g *Gateway) mergeFeed(update *peerpb.StateUpdate, position *peerpb.Position) {
	if position.GetAgeMs() < 0 {
		for _, f := range g.followers() {
			if uint32(f.id) == position.GetFeed() {
				f.follower.RecordPeerPosition(position.GetNext())
			}
		}
		return
	}
	n := feed.Delta{
		Base:        position.GetBase(),
		HistoryFrom: position.GetFollowed(),
		Next:        position.GetNext(),
		FreshAt:     time.Now().Add(-time.Duration(position.GetAgeMs())*time.Millisecond - peerDelay),
	}
	for _, r := range update.GetRecords() {
		if r.GetFeed() == position.GetFeed() {
			n.Records = append(n.Records, feed.Record{Key: r.GetKey(), Offset: r.GetOffset(), Value: r.GetValue()})
		}
	}
	for _, f := range g.followers() {
		if uint32(f.id) == position.GetFeed() {
			f.follower.ApplyDelta(n)
		}
	}
}

// peerDelay is added to the age of an update to account for its transmission time.
const peerDelay = 10 * time.Millisecond

// encodeLoads converts loads to parallel lists.
func encodeLoads(loads map[pool.Key]pool.Load) *peerpb.Loads {
	out := &peerpb.Loads{}
	for key, load := range loads {
		out.Instances = append(out.Instances, uint32(key))
		out.Requests = append(out.Requests, uint32(max(0, load.Requests)))
		out.Tokens = append(out.Tokens, uint32(max(0, load.Tokens)))
		if load.Ejected {
			out.Ejected = append(out.Ejected, uint32(key))
		}
	}
	return out
}

// errLoadLengths rejects a message whose loads cannot be assigned to instances.
var errLoadLengths = errors.New("load lists differ in length")

func decodeLoads(encoded *peerpb.Loads) (map[pool.Key]pool.Load, error) {
	n := len(encoded.GetInstances())
	if len(encoded.GetRequests()) != n || len(encoded.GetTokens()) != n {
		return nil, errLoadLengths
	}
	loads := make(map[pool.Key]pool.Load, n)
	for i, key := range encoded.GetInstances() {
		loads[pool.Key(key)] = pool.Load{
			Requests: int(encoded.GetRequests()[i]),
			Tokens:   int(encoded.GetTokens()[i]),
			Ejected:  slices.Contains(encoded.GetEjected(), key),
		}
	}
	return loads, nil
}

func decodePlacements(prompts []*peerpb.PromptPlacement) []pool.Placement {
	out := make([]pool.Placement, 0, len(prompts))
	for _, p := range prompts {
		placed := pool.Placement{Instance: pool.Key(p.GetInstance())}
		for i, id := range p.GetIds()[:min(len(p.GetIds()), len(p.GetTokens()))] {
			placed.Parts = append(placed.Parts, pool.PromptPart{ID: id, Tokens: int(p.GetTokens()[i])})
		}
		out = append(out, placed)
	}
	return out
}
