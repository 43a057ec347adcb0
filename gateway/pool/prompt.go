package pool

import (
	"time"

	"jacinthfork.example/jacinthfork/internal/rendezvous"
)

// affinityHash returns the hash that determines the rendezvous order of a prompt: the ID of the last part
// that it shares with other requests. The very last part belongs to one chat only; it is used if the prompt
// has no other part.
func (q *Request) affinityHash() uint64 {
	switch n := len(q.Parts); n {
	case 0:
		return 0
	case 1:
		return q.Parts[0].ID
	default:
		return q.Parts[n-2].ID
	}
}

// sharedTokens returns the length of the parts shared with other requests, which are all but the last.
func (q *Request) sharedTokens() int {
	tokens := 0
	for i := range len(q.Parts) - 1 {
		tokens += q.Parts[i].Tokens
	}
	return tokens
}

// promptTargets are the instances that compete for a prompt, all of them below the load bound and with a free
// slot.
type promptTargets struct {
	// holder is the instance with the lowest cost among those that have cached at least half of the prompt.
	holder     *member
	holderCost int
	// first and second are the first two instances of the rendezvous order of the prompt.
	first, second           *member
	firstScore, secondScore uint64
	// leastLoaded is the instance with the least load, regardless of its cache.
	leastLoaded     *member
	leastLoadedCost int
}

// insertRanked updates the first two instances of the rendezvous order.
func (t *promptTargets) insertRanked(m *member, score uint64) {
	switch {
	case t.first == nil || score > t.firstScore:
		t.second, t.secondScore = t.first, t.firstScore
		t.first, t.firstScore = m, score
	case t.second == nil || score > t.secondScore:
		t.second, t.secondScore = m, score
	}
}

// findPromptTargets selects the targets among the candidates that are below the load bound and have a free
// slot.
func (r *Registry) findPromptTargets(q *Request, candidates []*member, e loadEstimate, now time.Time) promptTargets {
	var t promptTargets
	bound := r.loadBound(e.poolMean)
	for _, m := range candidates {
		if load := e.load(m, now); load+1 > bound || r.atLimit(m, load, now) {
			continue
		}
		if cost := r.cost(q, m, 0, e, now); t.leastLoaded == nil || cost < t.leastLoadedCost {
			t.leastLoaded, t.leastLoadedCost = m, cost
		}
		t.insertRanked(m, rendezvous.Score(q.affinityHash(), m.hash))
		cached := m.cache.cachedTokens(q.Parts)
		if cached*2 < q.Tokens {
			continue
		}
		if cost := r.cost(q, m, cached, e, now); t.holder == nil || cost < t.holderCost {
			t.holder, t.holderCost = m, cost
		}
	}
	return t
}

// chooseByPrompt returns the instance with the lowest cost: prompt tokens to compute, tokens already queued
// there, and requests in flight. Only instances that have cached at least half of the prompt and the first of
// its rendezvous order compete, so that each prompt is cached on few instances; chooseColdTarget decides when
// no instance has cached half of it. The least loaded instance is chosen instead when it is cheaper by more
// than the whole prompt, and chooseByLoad decides when all instances are at the load bound or have no free
// slot.
func (r *Registry) chooseByPrompt(q *Request, candidates []*member, e loadEstimate, now time.Time) (*member, Rule) {
	t := r.findPromptTargets(q, candidates, e, now)
	if t.first == nil {
		return r.chooseByLoad(candidates, e, now), AllFull
	}
	best, rule := t.holder, Holder
	switch {
	case best == nil:
		best, rule = r.chooseColdTarget(q, &t, e, now)
	case r.cost(q, t.first, t.first.cache.cachedTokens(q.Parts), e, now) < t.holderCost:
		best, rule = t.first, First
	}
	leastLoadedCost := r.cost(q, t.leastLoaded, t.leastLoaded.cache.cachedTokens(q.Parts), e, now)
	if leastLoadedCost < r.cost(q, best, best.cache.cachedTokens(q.Parts), e, now)-q.Tokens {
		return t.leastLoaded, Cheaper
	}
	return best, rule
}

// chooseColdTarget returns the instance for a prompt of which no instance in t has cached half: the first of
// its rendezvous order, or the second when the first has a much higher cost.
func (r *Registry) chooseColdTarget(q *Request, t *promptTargets, e loadEstimate, now time.Time) (*member, Rule) {
	if t.second != nil && r.cost(q, t.second, 0, e, now)+r.settings.SecondChoiceTokens < r.cost(q, t.first, 0, e, now) {
		return t.second, Second
	}
	return t.first, First
}

// fetchSource returns the instance that has cached most of a prompt beyond the tokens that m has cached, and the number of
// prompt tokens that m need not compute after the fetch, or nil when a transfer would not pay off. A leaving
// instance is a good source, because its cache is about to be lost. When no instance is known to have cached
// more, the first instance of the rendezvous order besides m is returned, because other routers send the prompt
// there; only what m has cached itself then counts as cached. Asking an instance that has cached nothing costs
// nothing.
func (r *Registry) fetchSource(q *Request, m *member, cached int, now time.Time) (*member, int) {
	var best, fallback *member
	var highestScore uint64
	most := cached + r.settings.MinFetchTokens
	for _, other := range r.pools[q.Pool] {
		if other == m || other.health.ejected(now) || other.stalled(now, r.settings.StallTimeout) {
			continue
		}
		if otherCached := other.cache.cachedTokens(q.Parts); otherCached > most {
			best, most = other, otherCached
		}
		if score := rendezvous.Score(q.affinityHash(), other.hash); fallback == nil || score > highestScore {
			fallback, highestScore = other, score
		}
	}
	if best == nil && fallback != nil && len(q.Parts) > 0 && q.Tokens-cached > r.settings.MinFetchTokens && cached < q.sharedTokens() {
		return fallback, cached
	}
	return best, most
}

// cost returns the cost of running a request at an instance, in prompt tokens. The pace does not count: it changes many times
// a second, and a prompt that moves because of it is copied or computed again, which takes longer than the slow machine.
func (r *Registry) cost(q *Request, m *member, cached int, e loadEstimate, now time.Time) int {
	return max(0, q.Tokens-cached) + m.local.Tokens + int(e.load(m, now)*float64(r.settings.RequestTokens))
}
