package placement_test

import "slices"

// result is what one replay measured after the warm-up.
type result struct {
	requests, returning, hits  int
	shed, attempts             int
	promptTokens, cachedTokens int
	misses                     misses
	skew                       []float64 // busiest engine over mean, each second
	overKnown, overTrue        float64   // highest load at admission over the bound
}

// misses counts returning turns without their whole prefix, by cause.
type misses struct {
	first   int // no earlier turn ran in this trace
	gone    int // the engine of the last turn is gone, restarted or not reachable
	evicted int // that engine no longer caches the prefix
	refused int // that engine caches it but was at its bound
	skipped int // that engine caches it and had room, but was not tried
}

// add merges another replay of the same workload.
func (r *result) add(o *result) {
	r.requests, r.returning, r.hits = r.requests+o.requests, r.returning+o.returning, r.hits+o.hits
	r.shed, r.attempts = r.shed+o.shed, r.attempts+o.attempts
	r.promptTokens, r.cachedTokens = r.promptTokens+o.promptTokens, r.cachedTokens+o.cachedTokens
	r.skew = append(r.skew, o.skew...)
	r.overKnown, r.overTrue = max(r.overKnown, o.overKnown), max(r.overTrue, o.overTrue)
	r.misses.first, r.misses.gone = r.misses.first+o.misses.first, r.misses.gone+o.misses.gone
	r.misses.evicted, r.misses.refused = r.misses.evicted+o.misses.evicted, r.misses.refused+o.misses.refused
	r.misses.skipped += o.misses.skipped
}

func (r *result) chatReuse() float64  { return float64(r.hits) / float64(r.returning) }
func (r *result) tokenReuse() float64 { return float64(r.cachedTokens) / float64(r.promptTokens) }
func (r *result) skewAt(q float64) float64 {
	slices.Sort(r.skew)
	return r.skew[int(q*float64(len(r.skew)-1))]
}
