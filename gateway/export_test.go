package gateway

import "time"

// RefuseLocally makes the gateway refuse requests of a pool without a question for a long time, as after refusals of keepers.
func (g *Gateway) RefuseLocally(pool string) {
	const long = time.Hour
	g.asks.mu.Lock()
	defer g.asks.mu.Unlock()
	p := g.asks.pool(pool)
	for n := range p.levels {
		p.levels[n].fullUntil = time.Now().Add(long)
		// No request asks as a sample.
		p.levels[n].sampledAt = time.Now().Add(long)
		p.levels[n].wait, p.levels[n].retryAfter = long, 500*time.Millisecond
	}
}

// Keeps reports whether the gateway is the keeper of an instance.
func (g *Gateway) Keeps(instance string) bool { return g.registry.KeeperOf(instance).Name == "" }
