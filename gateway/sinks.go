package gateway

import (
	"log/slog"

	"jacinthfork.example/jacinthfork/gateway/feed"
	"jacinthfork.example/jacinthfork/gateway/pool"
)

// configurationSink applies configurations received from the feed.
type configurationSink struct{ g *Gateway }

// Apply implements feed.Sink. If a record cannot be decoded, the last valid configuration stays in force.
func (s *configurationSink) Apply(r feed.Record, from feed.Origin) (changed bool) {
	g := s.g
	if domain, ok := g.env.Decoder.EvacuatedDomain(r.Key); ok {
		s.setEvacuated(domain, len(r.Value) > 0, originAttr(from))
		return true
	}
	if len(r.Value) == 0 {
		return false
	}
	next, ok, err := g.env.Decoder.Configuration(r.Key, r.Value)
	if err != nil {
		g.log.Error("configuration rejected", "key", r.Key, "offset", r.Offset, originAttr(from), "error", err)
		g.metrics.configRejected.Add(1)
		return false
	}
	if !ok {
		return false
	}
	current := g.table.Load()
	if current != nil && next.Version <= current.Version {
		g.log.Info("configuration ignored", "version", next.Version, "in_force", current.Version, "offset", r.Offset, originAttr(from))
		return false
	}
	g.table.Store(next)
	g.overload.SetObjective(next.ShortestObjective())
	tokens := make(map[string]int)
	for name, p := range next.Pools {
		if p.Engine != nil {
			tokens[name] = p.Engine.CacheTokens
		}
	}
	g.registry.SetCacheTokens(tokens)
	coldRates := make(map[string]float64)
	for name, p := range next.Pools {
		coldRates[name] = p.ColdRequestsPerSecond
	}
	g.registry.SetColdRates(coldRates)
	g.admission.configure(next)
	g.asks.keep(func(name string) bool { return next.Pools[name] != nil })
	g.log.Info("configuration in force", "version", next.Version, "offset", r.Offset, originAttr(from))
	if largest := g.memory.LargestBody(); next.Limits.BodyBytes > largest {
		g.log.Warn("body limit exceeds the memory", "limit_bytes", next.Limits.BodyBytes, "memory_bytes", largest)
	}
	return true
}

// StoreRecovered implements feed.Sink.
func (s *configurationSink) StoreRecovered() {}

// SnapshotApplied implements feed.Sink. It ends the evacuations that the snapshot no longer requests.
func (s *configurationSink) SnapshotApplied(keys map[string]bool, from feed.Origin) {
	requested := make(map[string]bool)
	for key := range keys {
		if domain, ok := s.g.env.Decoder.EvacuatedDomain(key); ok {
			requested[domain] = true
		}
	}
	for _, domain := range s.g.registry.Evacuated() {
		if !requested[domain] {
			s.setEvacuated(domain, false, originAttr(from))
		}
	}
}

func (s *configurationSink) setEvacuated(domain string, evacuated bool, from slog.Attr) {
	if s.g.registry.SetEvacuated(domain, evacuated) {
		s.g.log.Info("evacuation", "domain", domain, "evacuated", evacuated, from)
	}
}

// instancesSink applies instance entries to the registry.
type instancesSink struct{ g *Gateway }

// Apply implements feed.Sink. A record that cannot be decoded is ignored; known instances, also one of the same
// key, are unaffected. A removal counts as a change even if the instance is unknown or stays usable for a grace
// period.
func (s *instancesSink) Apply(r feed.Record, from feed.Origin) (changed bool) {
	g := s.g
	if len(r.Value) == 0 {
		s.logChange(r.Key, g.registry.Remove(r.Key), r.Offset, from)
		return true
	}
	i, err := g.env.Decoder.Instance(r.Key, r.Value)
	if err != nil {
		g.metrics.instanceRejected.Add(1)
		g.log.Warn("instance entry ignored", "instance", r.Key, "offset", r.Offset, originAttr(from), "error", err)
		return false
	}
	i.Offset = r.Offset
	last, known := g.registry.LastEntry(i.ID)
	apply := g.registry.ApplyEntry
	if from.Peer != "" {
		apply = g.registry.ApplyTakenEntry
	}
	change := apply(i)
	if change.Ignored() {
		g.metrics.instanceStale.Add(1)
		g.log.Info("instance entry ignored", "instance", i.ID, "reason", change.String(), originAttr(from), entryAttr("entry", i), entryAttr("in_force", last))
		return false
	}
	attrs := []any{entryAttr("entry", i)}
	if known {
		attrs = append(attrs, entryAttr("before", last))
	}
	s.logChange(i.ID, change, r.Offset, from, attrs...)
	if change != pool.Unchanged {
		// Requests that arrive next are admitted by the slots of the entry.
		g.admission.refresh()
	}
	if change.Begins() {
		for _, p := range g.registry.EvictPredecessors(i) {
			g.log.Info("instance", "instance", p.Instance, "change", "replaced", "by", p.By, "offset", r.Offset, originAttr(from))
		}
	}
	return change != pool.Unchanged
}

func (s *instancesSink) logChange(id string, c pool.Change, offset uint64, from feed.Origin, attrs ...any) {
	switch c {
	case pool.Unchanged, pool.Updated:
	default:
		attrs = append([]any{"instance", id, "change", c.String(), "offset", offset, originAttr(from)}, attrs...)
		s.g.log.Info("instance", attrs...)
	}
}

// entryAttr returns what of an entry decides whether it is taken: which lifetime it names, and its place in the orders of
// that lifetime and of the feed.
func entryAttr(name string, i pool.Instance) slog.Attr {
	return slog.Group(name, "born", i.StartedAt, "sequence", i.Sequence, "offset", i.Offset, "address", i.Address, "leaving", i.Leaving)
}

// StoreRecovered implements feed.Sink.
func (s *instancesSink) StoreRecovered() { s.g.registry.RecordStoreRecovery() }

// SnapshotApplied implements feed.Sink.
func (s *instancesSink) SnapshotApplied(keys map[string]bool, from feed.Origin) {
	for _, id := range s.g.registry.RemoveMissing(keys) {
		s.g.log.Info("instance", "instance", id, "change", "missing", originAttr(from))
	}
}

// originAttr returns the fields that say where a record comes from and how far the knowledge of that source reaches.
func originAttr(from feed.Origin) slog.Attr {
	return slog.Group("", "from", from.String(), "complete_to", from.Complete, "removals_from", from.RemovalsFrom)
}

// logFeedLoaded logs that a feed was taken as a whole, from a snapshot of the store or a peer's copy. Its records bear the
// same origin in their lines.
func (g *Gateway) logFeedLoaded(id feed.ID, from feed.Origin, records int) {
	g.log.Info("feed loaded", "feed", id.String(), originAttr(from), "records", records)
}

// logStoreState logs that the store stopped or resumed answering.
func (g *Gateway) logStoreState(id feed.ID, err error) {
	if err != nil {
		g.log.Warn("store lost", "feed", id.String(), "error", err)
		return
	}
	g.log.Info("store regained", "feed", id.String())
}

// countStoreFailure counts a failed read.
func (g *Gateway) countStoreFailure(id feed.ID, _ error) {
	g.metrics.storeFailures.Add(id.String(), 1)
}
