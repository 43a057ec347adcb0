package gateway

import (
	"encoding/json"
	"slices"
	"time"

	"jacinthfork.example/jacinthfork/gateway/feed"
	"jacinthfork.example/jacinthfork/gateway/peer/peerpb"
	"jacinthfork.example/jacinthfork/gateway/pool"
)

// configurationSink puts configurations into force.
type configurationSink struct{ g *Gateway }

// Apply implements feed.Sink. A record that cannot be decoded leaves the last good one in force.
func (s *configurationSink) Apply(r feed.Record) (changed bool) {
	g := s.g
	if len(r.Value) == 0 {
		return false
	}
	next, ok, err := g.env.Decoder.Configuration(r.Key, r.Value)
	if err != nil {
		g.log.Error("configuration rejected", "key", r.Key, "offset", r.Offset, "error", err)
		g.metrics.configRejected.Add(1)
		return false
	}
	if !ok {
		return false
	}
	current := g.table.Load()
	if current != nil && next.Version <= current.Version {
		g.log.Info("configuration ignored", "version", next.Version, "in_force", current.Version, "offset", r.Offset)
		return false
	}
	g.table.Store(next)
	tokens := make(map[string]int)
	for name, p := range next.Pools {
		if p.Engine != nil {
			tokens[name] = p.Engine.CacheTokens
		}
	}
	g.registry.SetCacheTokens(tokens)
	g.admission.configure(next)
	g.log.Info("configuration in force", "version", next.Version, "offset", r.Offset)
	return true
}

// Returned implements feed.Sink.
func (s *configurationSink) Returned() {}

// Complete implements feed.Sink.
func (s *configurationSink) Complete(map[string]bool) {}

// instancesSink takes publications of instances over.
type instancesSink struct{ g *Gateway }

// Apply implements feed.Sink. A record that cannot be decoded names no instance; what is known of
// others stays.
func (s *instancesSink) Apply(r feed.Record) (changed bool) {
	g := s.g
	if len(r.Value) == 0 {
		s.note(r.Key, g.registry.Remove(r.Key), r.Offset)
		return true
	}
	i, err := g.env.Decoder.Instance(r.Key, r.Value)
	if err != nil {
		g.metrics.instanceRejected.Add(1)
		g.log.Warn("instance entry ignored", "instance", r.Key, "offset", r.Offset, "error", err)
		return false
	}
	change := g.registry.Publish(i)
	if change == pool.Stale {
		g.log.Info("instance entry ignored", "instance", i.ID, "offset", r.Offset, "sequence", i.Sequence, "born", i.Born, "leaving", i.Leaving)
		return false
	}
	s.note(i.ID, change, r.Offset)
	return change != pool.Unchanged
}

func (s *instancesSink) note(id string, c pool.Change, offset uint64) {
	switch c {
	case pool.Unchanged, pool.Updated:
	default:
		s.g.log.Info("instance", "instance", id, "change", c.String(), "offset", offset)
	}
}

// Returned implements feed.Sink.
func (s *instancesSink) Returned() { s.g.registry.StoreReturned() }

// Complete implements feed.Sink.
func (s *instancesSink) Complete(keys map[string]bool) {
	for _, id := range s.g.registry.Keep(keys) {
		s.g.log.Info("instance", "instance", id, "change", "missing")
	}
}

// storeState notes that the store stopped or started answering.
func (g *Gateway) storeState(id feed.ID, err error) {
	if err != nil {
		g.log.Warn("store lost", "feed", id.String(), "error", err)
		return
	}
	g.log.Info("store regained", "feed", id.String())
}

// storeFailure notes a failed read.
func (g *Gateway) storeFailure(id feed.ID, _ error) {
	g.metrics.storeFailures.Add(id.String(), 1)
}

// suspectsPerMessage bounds the crash suspects in one message.
const suspectsPerMessage = 8

// News implements peer.Host.
func (g *Gateway) News(theirs []*peerpb.Position, want bool) *peerpb.News {
	news := &peerpb.News{
		Node:     g.settings.Node,
		Address:  g.peers.Address(),
		Peers:    g.peers.Known(),
		Leaving:  g.leaving.Load(),
		Suspects: g.suspects.Export(suspectsPerMessage),
	}
	for id, load := range g.registry.Own() {
		news.Loads = append(news.Loads, &peerpb.InstanceLoad{Instance: id, Requests: uint32(max(0, load.Requests)), Tokens: uint32(max(0, load.Tokens)), Left: load.Left})
	}
	for _, f := range g.followers() {
		g.supply(news, f, positionOf(theirs, f.id), want)
	}
	for _, p := range g.registry.Placements(g.peers.Span()) {
		placed := &peerpb.PlacedPrompt{Instance: p.Instance}
		for _, part := range p.Parts {
			placed.Parts = append(placed.Parts, &peerpb.PromptPart{Id: part.ID, Tokens: uint32(part.Tokens)})
		}
		news.Prompts = append(news.Prompts, placed)
	}
	return news
}

// longRecord is the size in bytes above which a record is sent only to a peer that cannot read it from
// the store. A configuration of a thousand routes to each peer would fill a router's link.
const longRecord = 4 << 10

// Wants implements peer.Host.
func (g *Gateway) Wants() bool { return g.configuration.Failing() || g.instances.Failing() }

// supply adds the own position in a feed and the records that a peer is missing. Without all records
// the position is left out, so that the peer does not take it over.
func (g *Gateway) supply(news *peerpb.News, f namedFollower, theirs *peerpb.Position, want bool) {
	own := &peerpb.Position{Feed: uint32(f.id), Base: theirs.GetNext(), Want: want, AgeMs: -1}
	news.Positions = append(news.Positions, own)
	n := f.follower.Since(own.Base)
	own.Next, own.Followed = n.Next, n.Followed
	if n.FreshAt.IsZero() {
		return
	}
	long := func(r feed.Record) bool { return len(r.Value) > longRecord }
	if !theirs.GetWant() && slices.ContainsFunc(n.Records, long) {
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
	loads := make(map[string]pool.Load, len(news.GetLoads()))
	for _, l := range news.GetLoads() {
		loads[l.GetInstance()] = pool.Load{Requests: int(l.GetRequests()), Tokens: int(l.GetTokens()), Left: l.GetLeft()}
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

func placements(prompts []*peerpb.PlacedPrompt) []pool.Placement {
	out := make([]pool.Placement, 0, len(prompts))
	for _, p := range prompts {
		placed := pool.Placement{Instance: p.GetInstance()}
		for _, part := range p.GetParts() {
			placed.Parts = append(placed.Parts, pool.Part{ID: part.GetId(), Tokens: int(part.GetTokens())})
		}
		out = append(out, placed)
	}
	return out
}

// publish makes the state readable as counters.
func (g *Gateway) publish() {
	c := g.env.Counters
	c.Func("configuration", func() any {
		version := uint64(0)
		if t := g.table.Load(); t != nil {
			version = t.Version
		}
		return json.RawMessage(mustJSON(map[string]any{"version": version, "age_ms": g.configuration.Age().Milliseconds()}))
	})
	c.Func("instances_age_ms", func() any { return g.instances.Age().Milliseconds() })
	c.Func("pools", func() any {
		out := make(map[string]pool.Summary)
		if t := g.table.Load(); t != nil {
			for name := range t.Pools {
				out[name] = g.registry.Summary(name)
			}
		}
		return out
	})
	c.Func("connections", func() any {
		idle, dialled := g.connections.Stats()
		return map[string]any{"idle": idle, "dialled": dialled, "callers": g.callers.open()}
	})
	c.Func("peers", func() any { return g.peers.Known() })
}

func mustJSON(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		return []byte("null")
	}
	return text
}
