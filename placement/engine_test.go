package placement_test

// fakeCache models an engine's prefix cache as an LRU cache of whole documents and whole chat histories.
// Eviction of single blocks is not modelled.
type fakeCache struct {
	capacity, used  int
	chats           map[int]*cacheEntry
	docs            []*cacheEntry // by document
	lru             cacheEntry    // list head: lru.next is the most recently used entry
	onEvictDocument func(doc int)
}

type cacheEntry struct {
	key, tokens int
	prev, next  *cacheEntry
}

func newFakeCache(capacity int) *fakeCache {
	c := &fakeCache{capacity: capacity, chats: make(map[int]*cacheEntry)}
	c.lru.prev, c.lru.next = &c.lru, &c.lru
	return c
}

// docKey returns the cache key of a document: documents have keys from -1 down, chats from 0 up.
func docKey(doc int) int { return -doc - 1 }

func (c *fakeCache) get(key int) *cacheEntry {
	if key >= 0 {
		return c.chats[key]
	}
	if doc := docKey(key); doc < len(c.docs) {
		return c.docs[doc]
	}
	return nil
}

// set stores an entry, or removes it if e is nil.
func (c *fakeCache) set(key int, e *cacheEntry) {
	switch {
	case key < 0:
		for docKey(key) >= len(c.docs) {
			c.docs = append(c.docs, nil)
		}
		c.docs[docKey(key)] = e
	case e == nil:
		delete(c.chats, key)
	default:
		c.chats[key] = e
	}
}

// cachedTokens returns the numbers of cached tokens of the document and of the history. The history
// counts only if its document is cached.
func (c *fakeCache) cachedTokens(t *turn) (doc, history int) {
	if c.get(docKey(t.doc)) == nil {
		return 0, 0
	}
	if e := c.chats[t.chat]; e != nil {
		return t.docTokens, min(e.tokens, t.history)
	}
	return t.docTokens, 0
}

// storeTurn caches the turn's prefix and response. The document is touched last, so it is evicted after
// the chats that depend on it.
func (c *fakeCache) storeTurn(t *turn) {
	c.put(t.chat, t.history+t.question+t.decode)
	c.put(docKey(t.doc), t.docTokens)
}

// put adds or resizes an entry, marks it as the most recently used and evicts others down to capacity.
func (c *fakeCache) put(key, tokens int) {
	e := c.get(key)
	if e == nil {
		e = &cacheEntry{key: key}
		c.set(key, e)
	} else {
		e.unlink()
	}
	c.used += tokens - e.tokens
	e.tokens = tokens
	e.prev, e.next = &c.lru, c.lru.next
	e.prev.next, e.next.prev = e, e
	for c.used > c.capacity && c.lru.prev != e {
		last := c.lru.prev
		last.unlink()
		c.used -= last.tokens
		c.set(last.key, nil)
		if last.key < 0 && c.onEvictDocument != nil {
			c.onEvictDocument(docKey(last.key))
		}
	}
}

func (e *cacheEntry) unlink() { e.prev.next, e.next.prev = e.next, e.prev }

const (
	tick     = 0.1  // seconds
	ringSize = 1024 // ticks; must exceed the time that an engine takes for the longest request
)

// fakeEngine models an engine and its sidecar's load accounting. Each request is processed at a constant
// rate, first its uncached prompt and then its decode tokens. Future changes of the total rate are kept
// in a ring buffer of ticks.
type fakeEngine struct {
	id          string
	domain      string
	incarnation uint64
	cache       *fakeCache
	load, rate  float64
	changes     [ringSize]float64
	reachable   bool
	leaving     bool
	successor   *fakeEngine // imported this engine's cache
}

func (e *fakeEngine) advanceTick(now int) {
	e.rate += e.changes[now%ringSize]
	e.changes[now%ringSize] = 0
	e.load = max(0, e.load-e.rate)
}

// uncachedWork returns the tokens to process for the turn: the uncached prompt and the response.
func (e *fakeEngine) uncachedWork(t *turn) float64 {
	doc, history := e.cache.cachedTokens(t)
	return float64(t.docTokens + t.history + t.question + t.decode - doc - history)
}

// loadBound is the sidecar's load bound: a request is admitted only if the load after admission is at most
// the larger of the request's work, oneRequest, and factor times the mean load of the n engines after
// admission, (total load + work)/n.
type loadBound struct {
	factor     float64 // 0 disables the bound
	oneRequest float64 // size of the largest request in tokens; 0 uses the request's own size
	atMean     bool    // also admit if the load before admission is at most the mean
}

func (b loadBound) limit(work, mean float64, n int) float64 {
	return max(work, b.oneRequest, b.factor*(mean+work/float64(n)))
}

// admits applies the bound with a mean that is at least a second old. An idle engine admits any request; a
// load below one token counts as idle, because it is a rounding error.
func (e *fakeEngine) admits(b loadBound, work, mean float64, n int) bool {
	if !e.reachable || e.leaving {
		return false
	}
	return b.factor == 0 || e.load < 1 || b.atMean && e.load <= mean || e.load+work <= b.limit(work, mean, n)
}

// admit adds the turn's prefill and decode work and caches the turn.
func (e *fakeEngine) admit(t *turn, now int) {
	prompt := e.uncachedWork(t) - float64(t.decode)
	e.load += prompt + float64(t.decode)
	prefill := max(1, int(prompt/prefillRate/tick))
	decode := max(1, int(float64(t.decode)/decodeRate/tick))
	e.scheduleWork(prompt, now+1, prefill)
	e.scheduleWork(float64(t.decode), now+1+prefill, decode)
	e.cache.storeTurn(t)
}

// scheduleWork processes the tokens at a constant rate over the given number of ticks.
func (e *fakeEngine) scheduleWork(tokens float64, from, ticks int) {
	rate := tokens / float64(ticks)
	e.changes[from%ringSize] += rate
	e.changes[(from+ticks)%ringSize] -= rate
}

// restart discards the cache and all work in flight, as after a crash.
func (e *fakeEngine) restart(capacity int) {
	e.cache = newFakeCache(capacity)
	e.incarnation++
	e.load, e.rate = 0, 0
	clear(e.changes[:])
}
