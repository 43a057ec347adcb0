package gateway

import (
	"errors"
	"slices"
	"time"

	"jacinthfork.example/jacinthfork/gateway/feed"
	"jacinthfork.example/jacinthfork/gateway/peer/peerpb"
	"jacinthfork.example/jacinthfork/gateway/pool"
)

// suspectsPerMessage bounds the crash suspects in one message.
const suspectsPerMessage = 8

// News implements peer.Host.
func (g *Gateway) News(theirs []*peerpb.Position, want bool) *peerpb.News {
	news := &peerpb.News{
		Node:     g.settings.Node,
		Address:  g.peers.Address(),
		Peers:    g.peers.SamplePeers(),
		Leaving:  g.leaving.Load(),
		Suspects: g.suspects.Export(suspectsPerMessage),
	}
	news.Loads = encodeLoads(g.registry.Own())
	for _, f := range g.followers() {
		g.supply(news, f, positionOf(theirs, f.id), want)
	}
	for _, p := range g.registry.Placements(g.peers.Span()) {
		placed := &peerpb.PlacedPrompt{Instance: uint32(p.Instance)}
		for _, part := range p.Parts {
			placed.Ids = append(placed.Ids, part.ID)
			placed.Tokens = append(placed.Tokens, uint32(part.Tokens))
		}
		news.Prompts = append(news.Prompts, placed)
	}
	return news
}

// freeRecords is the size in bytes above which records are sent only to a peer that cannot read them from
// the store. A configuration of a thousand routes, or the entries of thousands of instances at a start,
// to each peer would fill a router's link.
const freeRecords = 4 << 10

// PeerState implements peer.Host. It must not call the exchange.
func (g *Gateway) PeerState(address string, err error) {
	if err != nil {
		g.log.Warn("peer lost", "peer", address, "error", err)
		return
	}
	g.log.Info("peer regained", "peer", address)
}

// Wants implements peer.Host.
func (g *Gateway) Wants() bool {
	starting := !g.Ready() && !g.leaving.Load()
	return starting || g.configuration.Failing() || g.instances.Failing()
}

// supply adds the own position in a feed and the records that a peer is missing. Without all records
// the position is left out, so that the peer does not take it over.
func (g *Gateway) supply(news *peerpb.News, f namedFollower, theirs *peerpb.Position, want bool) {
	own := &peerpb.Position{Feed: uint32(f.id), Base: theirs.GetNext(), Want: want, AgeMs: -1}
	news.Positions = append(news.Positions, own)
	n := f.follower.Since(own.Base)
	own.Next, own.Followed = n.Next, n.Followed
	// A peer whose position is not known yet says it with its first answer.
	if n.FreshAt.IsZero() || theirs == nil {
		return
	}
	size := 0
	for _, r := range n.Records {
		size += len(r.Key) + len(r.Value)
	}
	if size > freeRecords && !theirs.GetWant() {
		return
	}
	own.AgeMs = time.Since(n.FreshAt).Milliseconds()
	for _, r := range n.Records {
		news.Records = append(news.Records, &peerpb.Record{Feed: uint32(f.id), Offset: r.Offset, Key: r.Key, Value: r.Value})
	}
}

// positionOf returns the position that a peer has reached in a feed, nil when it has not said.
func positionOf(positions []*peerpb.Position, id feed.ID) *peerpb.Position {
	for _, p := range positions {
		if p.GetFeed() == uint32(id) {
			return p
		}
	}
	return nil
}

type namedFollower struct {
	id       feed.ID
	follower *feed.Follower
}

func (g *Gateway) followers() []namedFollower {
	return []namedFollower{{feed.Configuration, g.configuration}, {feed.Instances, g.instances}}
}

// Heard implements peer.Host.
func (g *Gateway) Heard(news *peerpb.News) {
	loads, err := decodeLoads(news.GetLoads())
	if err != nil {
		g.log.Error("news of a peer ignored", "peer", news.GetNode(), "error", err)
		return
	}
	g.registry.SetPeer(news.GetNode(), loads)
	g.suspects.Merge(news.GetSuspects())
	g.registry.Learn(placements(news.GetPrompts()))
	for _, position := range news.GetPositions() {
		g.follow(news, position)
	}
}

// follow takes over what a peer knows of a feed.
func (g *Gateway) follow(news *peerpb.News, position *peerpb.Position) {
	if position.GetAgeMs() < 0 {
		for _, f := range g.followers() {
			if uint32(f.id) == position.GetFeed() {
				f.follower.Ahead(position.GetNext())
			}
		}
		return
	}
	n := feed.News{
		Base:     position.GetBase(),
		Followed: position.GetFollowed(),
		Next:     position.GetNext(),
		FreshAt:  time.Now().Add(-time.Duration(position.GetAgeMs())*time.Millisecond - travelTime),
	}
	for _, r := range news.GetRecords() {
		if r.GetFeed() == position.GetFeed() {
			n.Records = append(n.Records, feed.Record{Key: r.GetKey(), Offset: r.GetOffset(), Value: r.GetValue()})
		}
	}
	for _, f := range g.followers() {
		if uint32(f.id) == position.GetFeed() {
			f.follower.Learn(n)
		}
	}
}

// travelTime is added to the age of news for its way from a peer.
const travelTime = 10 * time.Millisecond

// encodeLoads puts loads into lists.
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

// errLists is the error of a message whose lists do not belong together.
var errLists = errors.New("lists of loads differ in length")

func decodeLoads(lists *peerpb.Loads) (map[pool.Key]pool.Load, error) {
	n := len(lists.GetInstances())
	if len(lists.GetRequests()) != n || len(lists.GetTokens()) != n {
		return nil, errLists
	}
	loads := make(map[pool.Key]pool.Load, n)
	for i, key := range lists.GetInstances() {
		loads[pool.Key(key)] = pool.Load{
			Requests: int(lists.GetRequests()[i]),
			Tokens:   int(lists.GetTokens()[i]),
			Ejected:  slices.Contains(lists.GetEjected(), key),
		}
	}
	return loads, nil
}

func placements(prompts []*peerpb.PlacedPrompt) []pool.Placement {
	out := make([]pool.Placement, 0, len(prompts))
	for _, p := range prompts {
		placed := pool.Placement{Instance: pool.Key(p.GetInstance())}
		for i, id := range p.GetIds()[:min(len(p.GetIds()), len(p.GetTokens()))] {
			placed.Parts = append(placed.Parts, pool.Part{ID: id, Tokens: int(p.GetTokens()[i])})
		}
		out = append(out, placed)
	}
	return out
}
