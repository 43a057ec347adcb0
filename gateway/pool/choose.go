package pool

import (
	"math/rand/v2"
	"slices"
	"time"

	"jacinthfork.example/jacinthfork/internal/rendezvous"
)

// Request is what the choice depends on.
type Request struct {
	Pool string
	// Parts is the prompt of a model request, empty for a plain service.
	Parts []Part
	// Tokens is the length of the prompt.
	Tokens int
	// Exclude lists instances that have had the request.
	Exclude []string
}

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

// Lease is one request at one instance. Release must be called once.
type Lease struct {
	Instance Instance
	// Cached is how many prompt tokens the instance is thought to hold.
	Cached int
	// FetchFrom is the address of an instance that holds more of the prompt, or empty.
	FetchFrom string
	// Load and Mean are the estimated requests in flight at the instance and at the mean of its pool.
	Load, Mean float64

	registry *Registry
	member   *member
	tokens   int
	parts    []Part
	begin    time.Time
	started  bool
	released bool
}

// Choose takes a place at an instance, or returns nil when no instance of the pool may be asked.
func (r *Registry) Choose(q *Request) *Lease {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	candidates := r.candidates(q, now)
	if len(candidates) == 0 {
		return nil
	}
	e := r.estimate(q.Pool, now)
	var best *member
	if len(q.Parts) > 0 {
		best = r.byPrompt(q, candidates, e)
	} else {
		best = r.byLoad(candidates, e)
	}
	return r.lease(q, best, e, now)
}

// HasOther reports whether a healthy instance could take the request besides those that had it.
func (r *Registry) HasOther(q *Request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for _, m := range r.candidates(q, now) {
		if !m.health.left(now) && !m.stalled(now, r.settings.StallAfter) {
			return true
		}
	}
	return false
}

// candidates returns the members that may be asked, the best kind that is not empty: healthy ones,
// then those that stall or have just refused, then those left alone.
func (r *Registry) candidates(q *Request, now time.Time) []*member {
	var healthy, doubtful, rest []*member
	for _, m := range r.pools[q.Pool] {
		if m.Leaving || slices.Contains(q.Exclude, m.ID) {
			continue
		}
		switch {
		case m.health.left(now):
			rest = append(rest, m)
		case m.health.trial && m.own.Requests > 0:
			rest = append(rest, m)
		case m.leftByPeers > 0, m.stalled(now, r.settings.StallAfter), now.Before(m.health.fullUntil), !m.lapsedAt.IsZero():
			doubtful = append(doubtful, m)
		default:
			healthy = append(healthy, m)
		}
	}
	if len(healthy) > 0 {
		return healthy
	}
	if len(doubtful) > 0 {
		return doubtful
	}
	return rest
}

// estimate is what the requests in flight at instances are taken to be now.
type estimate struct {
	// mean is the number for one instance of the pool that takes work, peerMean the part of the others.
	mean, peerMean float64
	// trust is the weight of what the other routers had in flight at one instance. It falls with the age
	// of their news and is 0 after one service time: what was in flight then is over, and however little
	// it counted, routers that all avoid the instance that was busy then would bury another one.
	trust float64
}

func (r *Registry) estimate(pool string, now time.Time) estimate {
	var own, peer, n int
	for _, m := range r.pools[pool] {
		if m.Leaving {
			continue
		}
		own += m.own.Requests
		peer += m.peer.Requests
		n++
	}
	e := estimate{mean: float64(own+peer) / float64(max(1, n)), peerMean: float64(peer) / float64(max(1, n)), trust: 1}
	if held := r.held[pool]; held > 0 && len(r.peers) > 0 {
		var age time.Duration
		for _, p := range r.peers {
			age += now.Sub(p.at)
		}
		e.trust = max(0, 1-float64(age)/float64(len(r.peers))/float64(held))
	}
	return e
}

// load is the estimated number of requests in flight at an instance.
func (e estimate) load(m *member) float64 {
	return float64(m.own.Requests) + e.trust*float64(m.peer.Requests) + (1-e.trust)*e.peerMean
}

// bound is the number of requests in flight that no instance exceeds.
func (r *Registry) bound(mean float64) float64 {
	return mean*r.settings.BoundFactor + r.settings.BoundExtra
}

// byPrompt chooses the instance with the lowest cost: prompt tokens to read, those that others wait
// for, requests in flight. Only holders of a part of the prompt and the first of the rendezvous order
// compete, so that prompts keep few homes; when all of them are at the bound, the least loaded one
// below it becomes another home.
func (r *Registry) byPrompt(q *Request, candidates []*member, e estimate) *member {
	bound := r.bound(e.mean)
	var best, first, second, spare *member
	bestCost := 0
	var firstScore, secondScore uint64
	for _, m := range candidates {
		if load := e.load(m); load+1 > bound || (m.Slots > 0 && load >= float64(m.Slots)) {
			continue
		}
		if spare == nil || r.cost(q, m, 0, e) < r.cost(q, spare, 0, e) {
			spare = m
		}
		score := rendezvous.Score(q.home(), m.hash)
		switch {
		case first == nil || score > firstScore:
			second, secondScore = first, firstScore
			first, firstScore = m, score
		case second == nil || score > secondScore:
			second, secondScore = m, score
		}
		held := m.cache.cached(q.Parts)
		if held*2 < q.Tokens {
			continue
		}
		if cost := r.cost(q, m, held, e); best == nil || cost < bestCost {
			best, bestCost = m, cost
		}
	}
	switch {
	case best == nil && first == nil:
		return r.byLoad(candidates, e)
	case best == nil:
		best = first
		if second != nil && r.cost(q, second, 0, e)+r.settings.SecondHomeTokens < r.cost(q, first, 0, e) {
			best = second
		}
	case r.cost(q, first, first.cache.cached(q.Parts), e) < bestCost:
		best = first
	}
	if cost := r.cost(q, best, best.cache.cached(q.Parts), e); r.cost(q, spare, spare.cache.cached(q.Parts), e) < cost-q.Tokens {
		return spare
	}
	return best
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
		if other == m || other.health.left(now) || other.stalled(now, r.settings.StallAfter) {
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

// byLoad chooses the instance with the fewest requests in flight per slot, the own failure domain
// first among equals and then at random, so that routers do not all choose the same one.
func (r *Registry) byLoad(candidates []*member, e estimate) *member {
	start := rand.IntN(len(candidates))
	best := candidates[start]
	for n := range candidates {
		m := candidates[(start+n)%len(candidates)]
		a, b := e.load(m)*float64(max(1, best.Slots)), e.load(best)*float64(max(1, m.Slots))
		switch {
		case a < b:
			best = m
		case a == b && m.FailureDomain == r.domain && best.FailureDomain != r.domain:
			best = m
		}
	}
	return best
}

func (r *Registry) lease(q *Request, m *member, e estimate, now time.Time) *Lease {
	l := &Lease{
		Instance: m.Instance,
		Cached:   m.cache.cached(q.Parts),
		Load:     e.load(m),
		Mean:     e.mean,
		begin:    now,
		registry: r,
		member:   m,
		parts:    q.Parts,
	}
	held := l.Cached
	if source, more := r.source(q, m, now); source != nil {
		l.FetchFrom = source.Address
		held = more
	}
	l.tokens = max(0, q.Tokens-held)
	if m.own.Requests == 0 {
		m.progressAt = now
	}
	m.own.Requests++
	m.own.Tokens += l.tokens
	if len(q.Parts) > 0 {
		r.notePlacement(q, m, l.Cached, now)
		m.cache.add(q.Parts)
	}
	return l
}

// Progress notes that the instance sent something. The first call says that the prompt was read.
func (l *Lease) Progress() {
	r := l.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	l.member.progressAt = r.now()
	if !l.started {
		l.started = true
		l.member.own.Tokens -= l.tokens
	}
}

// Stalled reports whether the instance has sent nothing to any request of this router for a while.
func (l *Lease) Stalled(after time.Duration) bool {
	r := l.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	return l.member.stalled(r.now(), after)
}

// Release frees the place and notes how the request ended. It reports whether the instance is left
// alone from now on. Only the first call has an effect.
func (l *Lease) Release(o Outcome) (ejected bool) {
	r := l.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.released {
		return false
	}
	l.released = true
	m := l.member
	m.own.Requests--
	if !l.started {
		m.own.Tokens -= l.tokens
	}
	now := r.now()
	if o == Served || o == Errored || o == Full {
		m.progressAt = now
	}
	if o == Served {
		r.noteHeld(m.Pool, now.Sub(l.begin))
	}
	if !m.health.note(o, r.noteFailures(m.Pool, o), now) {
		return false
	}
	if !m.health.hard && !r.mayLeave(m, now) {
		return false
	}
	m.health.leave(now)
	return true
}

// heldWeight is the weight of the newest request in the mean time that requests take.
const heldWeight = 0.02

// noteHeld takes the time of one request into the mean of its pool.
func (r *Registry) noteHeld(pool string, took time.Duration) {
	if r.held[pool] == 0 {
		r.held[pool] = took
		return
	}
	r.held[pool] += time.Duration(heldWeight * float64(took-r.held[pool]))
}

// noteFailures takes an outcome into the pool's share of failures and returns it.
func (r *Registry) noteFailures(pool string, o Outcome) float64 {
	normal := r.failures[pool]
	switch o {
	case Served:
		normal *= 1 - normalWeight
	case Broken, Errored:
		normal = normal*(1-normalWeight) + normalWeight
	}
	r.failures[pool] = normal
	return normal
}

// Overloaded reports whether the instance has more requests in flight than it runs at once. It is then
// slow for a reason that another attempt would only add to.
func (l *Lease) Overloaded() bool {
	r := l.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	return l.member.Slots > 0 && l.member.requests() > l.member.Slots
}

// mayLeave reports whether at least half of the pool stays when one more instance is left alone.
func (r *Registry) mayLeave(m *member, now time.Time) bool {
	left, all := 1, 0
	for _, other := range r.pools[m.Pool] {
		if other.Leaving {
			continue
		}
		all++
		if other != m && other.health.left(now) {
			left++
		}
	}
	return left*2 <= all || m.health.left(now)
}
