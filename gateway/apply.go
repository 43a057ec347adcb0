package gateway

import (
	"encoding/json"

	"jacinthfork.example/jacinthfork/gateway/feed"
	"jacinthfork.example/jacinthfork/gateway/peer/peerpb"
	"jacinthfork.example/jacinthfork/gateway/pool"
)

// configurationSink puts configurations into force.
type configurationSink struct{ g *Gateway }

// Apply implements feed.Sink. A record that cannot be decoded leaves the last good one in force.
func (s *configurationSink) Apply(r feed.Record) {
	g := s.g
	if len(r.Value) == 0 {
		return
	}
	next, ok, err := g.env.Decoder.Configuration(r.Key, r.Value)
	if err != nil {
		g.log.Error("configuration rejected", "key", r.Key, "offset", r.Offset, "error", err)
		g.metrics.configRejected.Add(1)
		return
	}
	if !ok {
		return
	}
	current := g.table.Load()
	if current != nil && next.Version <= current.Version {
		g.log.Info("configuration ignored", "version", next.Version, "in_force", current.Version, "offset", r.Offset)
		return
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
}

// Complete implements feed.Sink.
func (s *configurationSink) Complete(map[string]bool) {}

// instancesSink takes publications of instances over.
type instancesSink struct{ g *Gateway }

// Apply implements feed.Sink. A record that cannot be decoded names no instance; what is known of
// others stays.
func (s *instancesSink) Apply(r feed.Record) {
	g := s.g
	if len(r.Value) == 0 {
		s.noteChange(r.Key, g.registry.Remove(r.Key), r.Offset)
		return
	}
	i, err := g.env.Decoder.Instance(r.Key, r.Value)
	if err != nil {
		g.metrics.instanceRejected.Add(1)
		g.log.Warn("instance entry ignored", "instance", r.Key, "offset", r.Offset, "error", err)
		return
	}
	s.noteChange(i.ID, g.registry.Publish(i), r.Offset)
}

func (s *instancesSink) noteChange(id string, c pool.Change, offset uint64) {
	switch c {
	case pool.Unchanged, pool.Updated:
	default:
		s.g.log.Info("instance", "instance", id, "change", c.String(), "offset", offset)
	}
}

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
	g.registry.StoreDisturbed()
}

// suspectsPerMessage bounds the crash suspects in one message.
const suspectsPerMessage = 8

// News implements peer.Host.
func (g *Gateway) News(theirs []*peerpb.Position) *peerpb.News {
	news := &peerpb.News{
		Node:     g.settings.Node,
		Address:  g.peers.Address(),
		Peers:    g.peers.Known(),
		Leaving:  g.leaving.Load(),
		Suspects: g.suspects.Export(suspectsPerMessage),
	}
	for id, load := range g.registry.Own() {
		news.Loads = append(news.Loads, &peerpb.InstanceLoad{Instance: id, Requests: uint32(max(0, load.Requests)), Tokens: uint32(max(0, load.Tokens))})
	}
	for _, f := range g.followers() {
		next, want := f.follower.Position()
		news.Positions = append(news.Positions, &peerpb.Position{Feed: uint32(f.id), Next: next, Want: want})
	}
	for _, p := range g.registry.Placements(g.peers.Span()) {
		placed := &peerpb.PlacedPrompt{Instance: p.Instance}
		for _, part := range p.Parts {
			placed.Parts = append(placed.Parts, &peerpb.PromptPart{Id: part.ID, Tokens: uint32(part.Tokens)})
		}
		news.Prompts = append(news.Prompts, placed)
	}
	for _, position := range theirs {
		g.supply(news, position)
	}
	return news
}

// supply adds the records that a peer cannot read itself.
func (g *Gateway) supply(news *peerpb.News, position *peerpb.Position) {
	if !position.GetWant() {
		return
	}
	for _, f := range g.followers() {
		if uint32(f.id) != position.GetFeed() {
			continue
		}
		records, _ := f.follower.Since(position.GetNext())
		for _, r := range records {
			news.Records = append(news.Records, &peerpb.Record{Feed: uint32(f.id), Offset: r.Offset, Key: r.Key, Value: r.Value})
		}
	}
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
		loads[l.GetInstance()] = pool.Load{Requests: int(l.GetRequests()), Tokens: int(l.GetTokens())}
	}
	g.registry.SetPeer(news.GetNode(), loads)
	g.suspects.Merge(news.GetSuspects())
	g.registry.Learn(placements(news.GetPrompts()))
	for _, f := range g.followers() {
		var records []feed.Record
		for _, r := range news.GetRecords() {
			if r.GetFeed() == uint32(f.id) {
				records = append(records, feed.Record{Key: r.GetKey(), Offset: r.GetOffset(), Value: r.GetValue()})
			}
		}
		if len(records) > 0 {
			f.follower.Merge(records, newestOffset(records)+1)
		}
	}
}

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

func newestOffset(records []feed.Record) uint64 {
	var newest uint64
	for _, r := range records {
		newest = max(newest, r.Offset)
	}
	return newest
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
