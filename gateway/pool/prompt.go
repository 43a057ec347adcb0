package pool

import (
	"time"

	"jacinthfork.example/jacinthfork/internal/rendezvous"
)

// home is the hash that decides the homes of a prompt: its last part that other requests share. The
// last part of all belongs to one chat.
func (q *Request) home() uint64 {
	switch n := len(q.Parts); n {
	case 0:
		return 0
	case 1:
		return q.Parts[0].ID
	default:
		return q.Parts[n-2].ID
	}
}

// shared is the length of the parts that other requests share, which are all but the last.
func (q *Request) shared() int {
	tokens := 0
	for i := range len(q.Parts) - 1 {
		tokens += q.Parts[i].Tokens
	}
	return tokens
}

// homes are the instances at which a prompt may be at home, among those below the load bound.
type homes struct {
	// holder is the cheapest instance that holds most of the prompt.
	holder     *member
	holderCost int
	// first and second begin the rendezvous order of the prompt.
	first, second           *member
	firstScore, secondScore uint64
	// spare is the instance with the least work, whatever it holds.
	spare     *member
	spareCost int
}

// order takes an instance into the rendezvous order.
func (h *homes) order(m *member, score uint64) {
	switch {
	case h.first == nil || score > h.firstScore:
		h.second, h.secondScore = h.first, h.firstScore
		h.first, h.firstScore = m, score
	case h.second == nil || score > h.secondScore:
		h.second, h.secondScore = m, score
	}
}

// homes looks at all candidates below the load bound.
func (r *Registry) homes(q *Request, candidates []*member, e estimate) homes {
	var h homes
	bound := r.bound(e.mean)
	for _, m := range candidates {
		// The bound holds for what the others told as well: fading tells what is likely, not what is safe.
		if load := max(e.load(m), float64(m.requests())); load+1 > bound || (m.Slots > 0 && load >= float64(m.Slots)) {
			continue
		}
		if cost := r.cost(q, m, 0, e); h.spare == nil || cost < h.spareCost {
			h.spare, h.spareCost = m, cost
		}
		h.order(m, rendezvous.Score(q.home(), m.hash))
		held := m.cache.cached(q.Parts)
		if held*2 < q.Tokens {
			continue
		}
		if cost := r.cost(q, m, held, e); h.holder == nil || cost < h.holderCost {
			h.holder, h.holderCost = m, cost
		}
	}
	return h
}

// byPrompt chooses the instance with the lowest cost: prompt tokens to read, those that others wait
// for, requests in flight. Only holders of the prompt and the first of its rendezvous order compete, so
// that prompts keep few homes. A spare instance becomes another home when it is cheaper by more than
// the whole prompt, and the least loaded one when all are at the bound.
func (r *Registry) byPrompt(q *Request, candidates []*member, e estimate) *member {
	h := r.homes(q, candidates, e)
	if h.first == nil {
		return r.byLoad(candidates, e)
	}
	best := h.holder
	switch {
	case best == nil:
		best = r.coldHome(q, &h, e)
	case r.cost(q, h.first, h.first.cache.cached(q.Parts), e) < h.holderCost:
		best = h.first
	}
	spareCost := r.cost(q, h.spare, h.spare.cache.cached(q.Parts), e)
	if spareCost < r.cost(q, best, best.cache.cached(q.Parts), e)-q.Tokens {
		return h.spare
	}
	return best
}

// coldHome chooses the home of a prompt that nobody holds: the first of its order, or the second when
// many more tokens wait at the first.
func (r *Registry) coldHome(q *Request, h *homes, e estimate) *member {
	if h.second != nil && r.cost(q, h.second, 0, e)+r.settings.SecondHomeTokens < r.cost(q, h.first, 0, e) {
		return h.second
	}
	return h.first
}

// source returns the instance that holds the most of a prompt beyond what m holds, and how many
// tokens, or nil when a transfer would not pay. An instance that leaves is a good source: what it
// holds is about to be lost. When no holder is known, the first instance of the rendezvous order
// besides m is named, because other routers send the prompt there; one that holds nothing costs
// nothing.
func (r *Registry) source(q *Request, m *member, now time.Time) (*member, int) {
	var best, likely *member
	var highest uint64
	own := m.cache.cached(q.Parts)
	most := own + r.settings.FetchTokens
	for _, other := range r.pools[q.Pool] {
		if other == m || other.health.ejected(now) || other.stalled(now, r.settings.StallAfter) {
			continue
		}
		if held := other.cache.cached(q.Parts); held > most {
			best, most = other, held
		}
		if score := rendezvous.Score(q.home(), other.hash); likely == nil || score > highest {
			likely, highest = other, score
		}
	}
	if best == nil && likely != nil && len(q.Parts) > 0 && q.Tokens-own > r.settings.FetchTokens && own < q.shared() {
		return likely, own
	}
	return best, most
}

// cost compares instances in prompt tokens.
func (r *Registry) cost(q *Request, m *member, held int, e estimate) int {
	return max(0, q.Tokens-held) + m.own.Tokens + m.peer.Tokens + int(e.load(m)*float64(r.settings.RequestTokens))
}
