package sidecar

import (
	"sync"

	"jacinthfork.example/jacinthfork/verdict"
	"jacinthfork.example/jacinthfork/wire"
)

// Bounds of the attempt table.
const (
	maxRouterIncarnations  = 4096
	maxAttemptsPerRouter   = 4096
	forgottenAttemptsShare = 4
)

// attemptState is what the sidecar knows of one attempt.
type attemptState uint8

const (
	attemptCancelled attemptState = iota + 1
	attemptWaiting
	attemptStarted
)

// routerKey names one life of one router.
type routerKey struct {
	router      string
	incarnation uint64
}

// attempts remembers which attempts started and which were cancelled, so that a cancelled attempt
// never starts, even when a copy of it arrives late. Memory is bounded: the oldest attempts of a
// router are replaced by a floor; an attempt at or below it is refused and its verdict is unknown.
type attempts struct {
	mu      sync.Mutex
	routers map[routerKey]*routerAttempts
	clock   uint64
	// evicted is set once a router was dropped; from then on an unknown router incarnation that is
	// not newer than newestEvicted is refused.
	newestEvicted uint64
}

type routerAttempts struct {
	states map[uint64]attemptState
	floor  uint64
	used   uint64
}

func newAttempts() *attempts {
	return &attempts{routers: make(map[routerKey]*routerAttempts)}
}

// admit records a new attempt as waiting. It returns false when the attempt was cancelled, is a
// repeat, or is too old to tell.
func (a *attempts) admit(id *wire.AttemptID) bool {
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

// refusal is the verdict of an attempt that admit did not take: not-run only when it was cancelled
// before it started. A copy of an attempt that is known otherwise, or too old to tell, may have run.
func (a *attempts) refusal(id *wire.AttemptID) verdict.Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.router(id)
	if r != nil && id.Sequence > r.floor && r.states[id.Sequence] == attemptCancelled {
		return verdict.NotRun
	}
	return verdict.Unknown
}

// start marks a waiting attempt as started, right before dispatch. It returns false when the
// attempt was cancelled in the meantime.
func (a *attempts) start(id *wire.AttemptID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.router(id)
	if r == nil || r.states[id.Sequence] != attemptWaiting {
		return false
	}
	r.states[id.Sequence] = attemptStarted
	return true
}

// cancel returns NOT_RUN when the attempt has not started and now never will, else UNKNOWN.
func (a *attempts) cancel(id *wire.AttemptID) wire.Verdict {
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

// router returns the table of a router incarnation, or nil when it may have been evicted.
func (a *attempts) router(id *wire.AttemptID) *routerAttempts {
	key := routerKey{id.Router, id.RouterIncarnation}
	a.clock++
	if r, ok := a.routers[key]; ok {
		r.used = a.clock
		return r
	}
	if id.RouterIncarnation <= a.newestEvicted {
		return nil
	}
	if len(a.routers) >= maxRouterIncarnations {
		a.evict()
	}
	r := &routerAttempts{states: make(map[uint64]attemptState), used: a.clock}
	a.routers[key] = r
	return r
}

func (a *attempts) evict() {
	var oldest routerKey
	lowest := a.clock
	for key, r := range a.routers {
		if r.used <= lowest {
			oldest, lowest = key, r.used
		}
	}
	delete(a.routers, oldest)
	a.newestEvicted = max(a.newestEvicted, oldest.incarnation)
}

// trim replaces the oldest attempts by a floor when the table is full. It drops a share at once, so
// that the search for them is rare.
func (r *routerAttempts) trim() {
	if len(r.states) <= maxAttemptsPerRouter {
		return
	}
	highest := uint64(0)
	for sequence := range r.states {
		highest = max(highest, sequence)
	}
	keep := uint64(maxAttemptsPerRouter - maxAttemptsPerRouter/forgottenAttemptsShare)
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
