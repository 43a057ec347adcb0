package placement_test

import "slices"

// result holds the measurements of a replay after the warm-up.
type result struct {
	requests, returning, hits             int
	shed, attempts                        int
	promptTokens, cachedTokens            int
	misses                                misses
	skew                                  []float64 // load of the busiest engine divided by the mean, each second
	maxKnownBoundRatio, maxTrueBoundRatio float64   // highest load after admission divided by the bound
}

// misses counts, by cause, the returning turns whose prefix was not completely cached.
type misses struct {
	first   int // no earlier turn of the chat ran in this trace
	gone    int // the engine of the last turn is leaving, restarted or unreachable
	evicted int // that engine no longer caches the prefix
	refused int // that engine caches the prefix but would have exceeded its bound
	skipped int // that engine caches the prefix and would have admitted the turn, but was not tried
}

// add adds the measurements of another replay of the same workload.
func (r *result) add(o *result) {
	r.requests, r.returning, r.hits = r.requests+o.requests, r.returning+o.returning, r.hits+o.hits
	r.shed, r.attempts = r.shed+o.shed, r.attempts+o.attempts
	r.promptTokens, r.cachedTokens = r.promptTokens+o.promptTokens, r.cachedTokens+o.cachedTokens
	r.skew = append(r.skew, o.skew...)
	r.maxKnownBoundRatio, r.maxTrueBoundRatio = max(r.maxKnownBoundRatio, o.maxKnownBoundRatio), max(r.maxTrueBoundRatio, o.maxTrueBoundRatio)
	r.misses.first, r.misses.gone = r.misses.first+o.misses.first, r.misses.gone+o.misses.gone
	r.misses.evicted, r.misses.refused = r.misses.evicted+o.misses.evicted, r.misses.refused+o.misses.refused
	r.misses.skipped += o.misses.skipped
}

func (r *result) chatReuse() float64  { return float64(r.hits) / float64(r.returning) }
func (r *result) tokenReuse() float64 { return float64(r.cachedTokens) / float64(r.promptTokens) }
func (r *result) skewQuantile(q float64) float64 {
	slices.Sort(r.skew)
	return r.skew[int(q*float64(len(r.skew)-1))]
}
