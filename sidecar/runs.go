package sidecar

import (
	"context"
	"sync"
	"time"
)

// runKey names a request as its caller does.
type runKey struct {
	organisation string
	requestID    string
}

// run is one request that this sidecar has taken, with its response.
type run struct {
	key         runKey
	fingerprint uint64
	recording   *recording
	cancel      context.CancelFunc
	// keepOnDetach is set for non-idempotent actions: they are finished although nobody reads.
	keepOnDetach bool

	readers  int
	abandon  *time.Timer
	finished time.Time
}

// runTable holds the current and the recent runs. Recent ones are kept for a repeat of the request
// ID within bounds of time and bytes.
type runTable struct {
	mu        sync.Mutex
	runs      map[runKey]*run
	done      []*run
	doneBytes int
	keepBytes int
	keepFor   time.Duration
	grace     time.Duration
}

func newRunTable(keepBytes int, keepFor, grace time.Duration) *runTable {
	return &runTable{runs: make(map[runKey]*run), keepBytes: keepBytes, keepFor: keepFor, grace: grace}
}

// attach adds a reader to the run of key. It returns nil when there is none.
func (t *runTable) attach(key runKey) *run {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(time.Now())
	r, ok := t.runs[key]
	if !ok {
		return nil
	}
	r.readers++
	if r.abandon != nil {
		r.abandon.Stop()
		r.abandon = nil
	}
	return r
}

// add registers a new run with one reader. It returns false when the key is taken.
func (t *runTable) add(r *run) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, taken := t.runs[r.key]; taken {
		return false
	}
	r.readers = 1
	t.runs[r.key] = r
	return true
}

// detach removes a reader. When nobody reads an unfinished run, it is cancelled after the grace
// period, because its caller may come back through another router.
func (t *runTable) detach(r *run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.readers--
	if r.readers > 0 || !r.finished.IsZero() || r.keepOnDetach {
		return
	}
	r.abandon = time.AfterFunc(t.grace, r.cancel)
}

// abandon cancels the run of key unless another reader follows it or it must be finished.
func (t *runTable) abandon(key runKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.runs[key]
	if ok && r.readers <= 1 && r.finished.IsZero() && !r.keepOnDetach {
		r.cancel()
	}
}

// finish marks a run as finished; a failed run is dropped, so that a repeat runs anew.
func (t *runTable) finish(r *run, keep bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.abandon != nil {
		r.abandon.Stop()
	}
	r.finished = time.Now()
	if !keep {
		delete(t.runs, r.key)
		return
	}
	t.done = append(t.done, r)
	t.doneBytes += r.recording.size()
	t.expire(r.finished)
}

// expire drops finished runs that are too old or too many; the caller holds mu.
func (t *runTable) expire(now time.Time) {
	for len(t.done) > 0 {
		oldest := t.done[0]
		if t.doneBytes <= t.keepBytes && now.Sub(oldest.finished) < t.keepFor {
			return
		}
		t.done = t.done[1:]
		t.doneBytes -= oldest.recording.size()
		if t.runs[oldest.key] == oldest {
			delete(t.runs, oldest.key)
		}
	}
}

// active returns the number of unfinished runs.
func (t *runTable) active() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.runs) - len(t.done)
}
