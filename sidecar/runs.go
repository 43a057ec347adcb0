package sidecar

import (
	"context"
	"sync"
	"time"
)

// runKey identifies a request by its organisation and the request ID that its caller chose.
type runKey struct {
	organisation string
	requestID    string
}

// run is an admitted request and its recorded response.
type run struct {
	key         runKey
	fingerprint uint64
	recording   *recording
	cancel      context.CancelFunc
	// runToCompletion is set for requests that must not be repeated: they finish even without a reader.
	runToCompletion bool

	readers int
	// cancelTimer cancels a run without readers after the grace period.
	cancelTimer *time.Timer
	finished    time.Time
}

// runTable holds the unfinished and the recently finished runs. Finished runs are kept for repeats of the
// request ID, within limits of age and memory.
type runTable struct {
	mu            sync.Mutex
	runs          map[runKey]*run
	finished      []*run
	finishedBytes int
	keepBytes     int
	keepFor       time.Duration
	grace         time.Duration
}

func newRunTable(keepBytes int, keepFor, grace time.Duration) *runTable {
	return &runTable{runs: make(map[runKey]*run), keepBytes: keepBytes, keepFor: keepFor, grace: grace}
}

// attach adds a reader to the run of key. It returns nil when there is no such run.
func (t *runTable) attach(key runKey) *run {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evictFinished(time.Now())
	r, ok := t.runs[key]
	if !ok {
		return nil
	}
	r.readers++
	if r.cancelTimer != nil {
		r.cancelTimer.Stop()
		r.cancelTimer = nil
	}
	return r
}

// add registers a new run with one reader. It returns false when there is already a run of the key.
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

// detach removes a reader. An unfinished run without readers is cancelled only after the grace period,
// because its caller may reconnect through another router.
func (t *runTable) detach(r *run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.readers--
	if r.readers > 0 || !r.finished.IsZero() || r.runToCompletion {
		return
	}
	r.cancelTimer = time.AfterFunc(t.grace, r.cancel)
}

// abandon cancels the run of key, unless it has another reader or must run to completion.
func (t *runTable) abandon(key runKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.runs[key]
	if ok && r.readers <= 1 && r.finished.IsZero() && !r.runToCompletion {
		r.cancel()
	}
}

// finish marks a run as finished. keep is false for a failed run, which is removed so that a repeat of the
// request runs again.
func (t *runTable) finish(r *run, keep bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.cancelTimer != nil {
		r.cancelTimer.Stop()
	}
	r.finished = time.Now()
	if !keep {
		delete(t.runs, r.key)
		return
	}
	t.finished = append(t.finished, r)
	t.finishedBytes += r.recording.size()
	t.evictFinished(r.finished)
}

// evictFinished removes finished runs over the age or memory limit, oldest first. The caller holds mu.
func (t *runTable) evictFinished(now time.Time) {
	for len(t.finished) > 0 {
		oldest := t.finished[0]
		if t.finishedBytes <= t.keepBytes && now.Sub(oldest.finished) < t.keepFor {
			return
		}
		t.finished = t.finished[1:]
		t.finishedBytes -= oldest.recording.size()
		if t.runs[oldest.key] == oldest {
			delete(t.runs, oldest.key)
		}
	}
}

// active returns the number of unfinished runs.
func (t *runTable) active() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.runs) - len(t.finished)
}
