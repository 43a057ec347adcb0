// Package membership tracks the instances of each pool: a View merges the platform's instance list with
// direct evidence, a Pool gossips load and state among the sidecars of one pool, and a Watcher streams a
// pool's state to a router.
package membership

import (
	"slices"
	"sync/atomic"
	"time"
)

// Snapshot is the view of one pool at one moment. It is immutable, except for the load hints that its members
// point to.
type Snapshot struct {
	Pool string
	// Members are sorted by instance and exclude removed instances.
	Members []Member
	// Ready is the number of members that take new work.
	Ready   int
	changed chan struct{}
}

// Changed is closed when the pool has a newer snapshot.
func (s *Snapshot) Changed() <-chan struct{} { return s.changed }

// Find returns the member of the given instance.
func (s *Snapshot) Find(instance string) (Member, bool) {
	i, ok := slices.BinarySearchFunc(s.Members, instance, func(m Member, id string) int {
		switch {
		case m.Instance < id:
			return -1
		case m.Instance > id:
			return 1
		}
		return 0
	})
	if !ok {
		return Member{}, false
	}
	return s.Members[i], true
}

// Member is one instance of a pool.
type Member struct {
	Instance      string
	Address       string
	FailureDomain string
	Region        string
	// Incarnation is 0 until the sidecar or a member of its pool reports it.
	Incarnation uint64
	// Ready means that the member may get new work.
	Ready bool
	// Leaving means that the instance is known to be shutting down. A leaving member is never ready.
	Leaving bool

	hint *loadHint
}

// Load returns the newest known work in flight in tokens and the time at which it was valid. ok is false when
// this incarnation has not reported a load.
func (m Member) Load() (work uint64, at time.Time, ok bool) {
	if m.hint == nil {
		return 0, time.Time{}, false
	}
	state := m.hint.Load()
	if state == nil {
		return 0, time.Time{}, false
	}
	return state.work, state.at, true
}

type loadState struct {
	work uint64
	at   time.Time
}

// loadHint is shared by the snapshots, so that a new load needs no new snapshot.
type loadHint struct{ atomic.Pointer[loadState] }

// storeIfNewer stores the load unless the stored one is newer.
func (h *loadHint) storeIfNewer(work uint64, at time.Time) {
	for {
		old := h.Load()
		if old != nil && old.at.After(at) {
			return
		}
		if h.CompareAndSwap(old, &loadState{work, at}) {
			return
		}
	}
}
