package memory

import "time"

// Body is the memory of one request body. It is used by one goroutine; the account may drop it meanwhile.
type Body struct {
	account *Account
	client  string
	onDrop  func()
	size    int64
	dropped Reason
	// number orders bodies by their beginning.
	number uint64
	// recent are the bytes that have arrived since the body last made progress, idle the time since then.
	recent int64
	idle   time.Duration
	// window are the bytes that have arrived in the current slowWindow, of which elapsed has passed. slow is set if the last
	// one was slow.
	window  int64
	elapsed time.Duration
	slow    bool
}

// Open returns the memory of a body that begins to arrive from a client. onDrop is called once, by any goroutine and without
// locks, if the account drops the body: its owner must let go of the memory soon.
func (a *Account) Open(client string, onDrop func()) *Body {
	b := &Body{account: a, client: client, onDrop: onDrop}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.opened++
	b.number = a.opened
	a.arriving[b] = struct{}{}
	return b
}

// Grow takes n more bytes, if necessary from other bodies. It returns false if the body was dropped, or is the one to be
// dropped now, or is complete.
func (b *Body) Grow(n int64) bool {
	a := b.account
	var drops []func()
	defer func() { runAll(drops) }()
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.arriving[b]; !ok {
		return false
	}
	limit, givesWay := a.settings.Limit, (*Body).holdsMemory
	if b.size+n > SmallBody {
		limit, givesWay = int64(largeShare*float64(limit)), (*Body).givesWayToLarge
	}
	b.size += n
	a.used[Bodies] += n
	a.clients[b.client] += n
	for a.total() > limit {
		victim := a.heaviest(givesWay)
		drop := a.drop(victim, Short)
		if victim == b {
			return false
		}
		drops = append(drops, drop)
	}
	return true
}

// Arrived notes that n bytes have arrived.
func (b *Body) Arrived(n int) {
	b.account.mu.Lock()
	defer b.account.mu.Unlock()
	b.recent += int64(n)
	b.window += int64(n)
}

// pass notes that time has passed. The caller holds the lock.
func (b *Body) pass(elapsed time.Duration) {
	b.idle += elapsed
	if b.recent >= progressBytes {
		b.recent, b.idle = 0, 0
	}
	if b.elapsed += elapsed; b.elapsed >= slowWindow {
		b.slow = b.window < slowBytes
		b.window, b.elapsed = 0, 0
	}
}

// Complete notes that the whole body has arrived. It is not dropped from then on. It returns false if it was dropped before.
func (b *Body) Complete() bool {
	b.account.mu.Lock()
	defer b.account.mu.Unlock()
	b.account.remove(b)
	return b.dropped == 0
}

// Dropped returns why the body was dropped, or 0.
func (b *Body) Dropped() Reason {
	b.account.mu.Lock()
	defer b.account.mu.Unlock()
	return b.dropped
}

// Close gives the memory back. It may be called more than once.
func (b *Body) Close() {
	b.account.mu.Lock()
	defer b.account.mu.Unlock()
	b.account.remove(b)
	b.account.used[Bodies] -= b.size
	b.size = 0
}

// holdsMemory reports whether dropping the body gives memory back.
func (b *Body) holdsMemory() bool { return b.size > 0 }

// givesWayToLarge reports whether a large body that grows may take the memory of this one. Small ones that arrive keep theirs: the
// rest of the account is for them.
func (b *Body) givesWayToLarge() bool { return b.holdsMemory() && (b.slow || b.size > SmallBody) }

// outweighs reports whether a body is dropped before another one. The caller holds the lock.
func (b *Body) outweighs(other *Body) bool {
	if b.slow != other.slow {
		return b.slow
	}
	own, others := b.account.clients[b.client], b.account.clients[other.client]
	if own != others {
		return own > others
	}
	large, otherLarge := b.size > SmallBody, other.size > SmallBody
	if !b.slow && large && otherLarge {
		return b.number > other.number
	}
	return b.size > other.size
}
