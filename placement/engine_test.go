package placement_test

// fakeCache is an engine's prefix cache: whole documents and whole chat histories, the least
// recently used evicted first. Eviction of single blocks is not modelled.
type fakeCache struct {
	capacity, used int
	chats          map[int]*cacheEntry
	docs           []*cacheEntry // by document
	head           cacheEntry    // ring: head.next is the most recently used
	evicted        func(doc int)
}

type cacheEntry struct {
	key, tokens int
	prev, next  *cacheEntry
}

func newFakeCache(capacity int) *fakeCache {
	c := &fakeCache{capacity: capacity, chats: make(map[int]*cacheEntry)}
	c.head.prev, c.head.next = &c.head, &c.head
	return c
}

// Keys of entries: chats from 0 up, documents from -1 down.
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

// set stores an entry, or removes it when e is nil.
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

// cached returns the cached tokens of the document and of the history. A history counts only below
// its document.
func (c *fakeCache) cached(t *turn) (doc, history int) {
	if c.get(docKey(t.doc)) == nil {
		return 0, 0
	}
	if e := c.chats[t.chat]; e != nil {
		return t.docTokens, min(e.tokens, t.history)
	}
	return t.docTokens, 0
}

// run caches the turn's prefix and response. The document is touched last, so it is evicted after
// the chats below it.
func (c *fakeCache) run(t *turn) {
	c.put(t.chat, t.history+t.question+t.decode)
	c.put(docKey(t.doc), t.docTokens)
}

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
	e.prev, e.next = &c.head, c.head.next
	e.prev.next, e.next.prev = e, e
	for c.used > c.capacity && c.head.prev != e {
		last := c.head.prev
		last.unlink()
		c.used -= last.tokens
		c.set(last.key, nil)
		if last.key < 0 && c.evicted != nil {
			c.evicted(docKey(last.key))
		}
	}
}

func (e *cacheEntry) unlink() { e.prev.next, e.next.prev = e.next, e.prev }

const (
	tick     = 0.1 // seconds
	ringSize = 1024
)

// fakeEngine is an engine with its sidecar's load account. Each request is worked off at a steady
// rate, first its uncached prompt and then its decode tokens; changes of the rate are kept in a
// ring of ticks.
type fakeEngine struct {
	id          string
	domain      string
	incarnation uint64
	cache       *fakeCache
	load, rate  float64
	changes     [ringSize]float64
	reachable   bool
	leaving     bool
	successor   *fakeEngine // that imported this engine's cache
}

func (e *fakeEngine) advance(now int) {
	e.rate += e.changes[now%ringSize]
	e.changes[now%ringSize] = 0
	e.load = max(0, e.load-e.rate)
}

func (e *fakeEngine) work(t *turn) float64 {
	doc, history := e.cache.cached(t)
	return float64(t.docTokens + t.history + t.question + t.decode - doc - history)
}

// bound is the sidecar's load bound: admit only if the load after admission is at most the larger
// of one request and factor x (total + work)/n.
type bound struct {
	factor     float64 // 0: no bound
	oneRequest float64 // size of the largest request in tokens; 0: the request at hand
	atMean     bool    // admit also whenever the load before admission is at most the mean
}

func (b bound) limit(work, mean float64, n int) float64 {
	return max(work, b.oneRequest, b.factor*(mean+work/float64(n)))
}

// admits applies the bound with a mean that is a second or more old. Less than one token of load
// is rounding.
func (e *fakeEngine) admits(b bound, work, mean float64, n int) bool {
	if !e.reachable || e.leaving {
		return false
	}
	return b.factor == 0 || e.load < 1 || b.atMean && e.load <= mean || e.load+work <= b.limit(work, mean, n)
}

func (e *fakeEngine) start(t *turn, now int) {
	prompt := e.work(t) - float64(t.decode)
	e.load += prompt + float64(t.decode)
	prefill := max(1, int(prompt/prefillRate/tick))
	decode := max(1, int(float64(t.decode)/decodeRate/tick))
	e.phase(prompt, now+1, prefill)
	e.phase(float64(t.decode), now+1+prefill, decode)
	e.cache.run(t)
}

func (e *fakeEngine) phase(tokens float64, from, ticks int) {
	rate := tokens / float64(ticks)
	e.changes[from%ringSize] += rate
	e.changes[(from+ticks)%ringSize] -= rate
}

// restart drops cache and work, as a crash does.
func (e *fakeEngine) restart(capacity int) {
	e.cache = newFakeCache(capacity)
	e.incarnation++
	e.load, e.rate = 0, 0
	clear(e.changes[:])
}
