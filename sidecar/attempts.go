package sidecar

import (
	"sync"

	"jacinthfork.example/jacinthfork/verdict"
	"jacinthfork.example/jacinthfork/wire"
)

// Size limits of the attempt table.
const (
	maxRouterIncarnations = 4096
	maxAttemptsPerRouter  = 4096
	// One trim drops a quarter of the attempts of a router.
	trimDivisor = 4
)

// attemptState is the recorded state of one attempt.
type attemptState uint8

const (
	attemptCancelled attemptState = iota + 1
	attemptWaiting
	attemptStarted
)

// routerKey identifies one incarnation of a router.
type routerKey struct {
	router      string
	incarnation uint64
}

// attemptTable records which attempts were started and which were cancelled, so that a cancelled attempt
// never starts, even when a copy of it arrives late. Memory is bounded: the oldest attempts of a router are
// replaced by a floor; an attempt whose sequence number is not above the floor is refused with an unknown
// verdict.
type attemptTable struct {
	mu      sync.Mutex
	routers map[routerKey]*routerAttempts
	// uses counts lookups; it serves as the clock for least-recently-used eviction.
	uses uint64
	// newestEvicted is the highest router incarnation that was evicted, or 0. Incarnations are start times in
	// nanoseconds, so those of different routers can be compared. An unknown incarnation that is not higher
	// may have been evicted, so its attempts are refused.
	newestEvicted uint64
}

// routerAttempts holds the attempts of one router incarnation, by sequence number.
type routerAttempts struct {
	states map[uint64]attemptState
	// floor is the highest sequence number whose state is no longer kept.
	floor uint64
	// lastUse is the value of attemptTable.uses at the last lookup.
	lastUse uint64
}

func newAttemptTable() *attemptTable {
	return &attemptTable{routers: make(map[routerKey]*routerAttempts)}
}

// register records a new attempt as waiting. It returns false when the attempt was cancelled, is a duplicate,
// or is too old for its state to be known.
func (a *attemptTable) register(id *wire.AttemptID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.router(id)
	if r == nil || id.Sequence <= r.floor {
		return false
	}
	if _, known := r.states[id.Sequence]; known {
		return false
	}
	r.states[id.Sequence] = attemptWaiting
	r.trim()
	return true
}

// refusalVerdict returns the verdict of an attempt that register rejected: not-run only when it was cancelled
// before it started. A duplicate of any other attempt, or one too old for its state to be known, may have
// run.
func (a *attemptTable) refusalVerdict(id *wire.AttemptID) verdict.Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.router(id)
	if r != nil && id.Sequence > r.floor && r.states[id.Sequence] == attemptCancelled {
		return verdict.NotRun
	}
	return verdict.Unknown
}

// start marks a waiting attempt as started, immediately before dispatch. It returns false when the attempt
// was cancelled in the meantime.
func (a *attemptTable) start(id *wire.AttemptID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.router(id)
	if r == nil || r.states[id.Sequence] != attemptWaiting {
		return false
	}
	r.states[id.Sequence] = attemptStarted
	return true
}

// cancel marks an attempt as cancelled. It returns NOT_RUN when the attempt has not started and is now
// prevented from starting, otherwise UNKNOWN.
func (a *attemptTable) cancel(id *wire.AttemptID) wire.Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.router(id)
	if r == nil || id.Sequence <= r.floor || r.states[id.Sequence] == attemptStarted {
		return wire.Verdict_UNKNOWN
	}
	r.states[id.Sequence] = attemptCancelled
	r.trim()
	return wire.Verdict_NOT_RUN
}

// router returns the attempts of a router incarnation, creating the entry if needed, or nil when the entry
// may have been evicted. The caller holds mu.
func (a *attemptTable) router(id *wire.AttemptID) *routerAttempts {
	key := routerKey{id.Router, id.RouterIncarnation}
	a.uses++
	if r, ok := a.routers[key]; ok {
		r.lastUse = a.uses
		return r
	}
	if id.RouterIncarnation <= a.newestEvicted {
		return nil
	}
	if len(a.routers) >= maxRouterIncarnations {
		a.evict()
	}
	r := &routerAttempts{states: make(map[uint64]attemptState), lastUse: a.uses}
	a.routers[key] = r
	return r
}

// evict removes the least recently used router. The caller holds mu.
func (a *attemptTable) evict() {
	var oldest routerKey
	lowest := a.uses
	for key, r := range a.routers {
		if r.lastUse <= lowest {
			oldest, lowest = key, r.lastUse
		}
	}
	delete(a.routers, oldest)
	a.newestEvicted = max(a.newestEvicted, oldest.incarnation)
}

// trim replaces the oldest attempts by a floor when the limit is exceeded. It drops many at once, so that the
// scan over all attempts is rare.
func (r *routerAttempts) trim() {
	if len(r.states) <= maxAttemptsPerRouter {
		return
	}
	highest := uint64(0)
	for sequence := range r.states {
		highest = max(highest, sequence)
	}
	keep := uint64(maxAttemptsPerRouter - maxAttemptsPerRouter/trimDivisor)
	if highest <= keep {
		return
	}
	r.floor = max(r.floor, highest-keep)
	for sequence := range r.states {
		if sequence <= r.floor {
			delete(r.states, sequence)
		}
	}
}
