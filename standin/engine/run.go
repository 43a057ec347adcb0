package engine

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"
	"time"
)

// maxEndedRuns limits how many ended runs are kept for resuming and inspection.
const maxEndedRuns = 1024

// State is the state of a run.
type State string

// States of a run. StateFinished, StateCancelled and StateBroken are final.
const (
	StateWaiting   State = "waiting"
	StateRunning   State = "running"
	StateFinished  State = "finished"
	StateCancelled State = "cancelled"
	StateBroken    State = "broken"
)

var (
	errQueueFull      = errors.New("too many waiting requests")
	errLoadingWeights = errors.New("weights are being loaded")
	errEngineDown     = errors.New("engine is down")
)

// run is one request from its acceptance to its end. The engine's mutex guards its fields, except those
// that are set before submit.
type run struct {
	id           string
	group        string
	model        string
	priority     int
	prompt       string
	contentHash  uint64
	blocks       []uint64
	answerTokens []string
	crashEngine  bool
	streamed     bool

	ctx                context.Context
	cancel             context.CancelFunc
	sequence           uint64
	state              State
	started            bool
	cachedTokens       int
	remainingTokens    int // tokens still to be computed
	generated          int
	events             []string
	truncate           bool
	injectForeignEvent bool
	changed            chan struct{} // closed and replaced on each change of the run
	readers            int
	disconnectTimer    *time.Timer
	endedAt            time.Time
}

func (r *run) ended() bool { return r.state != StateWaiting && r.state != StateRunning }

func (r *run) promptTokens() int { return countTokens(r.prompt) }

func (r *run) info() RequestInfo {
	return RequestInfo{
		ID: r.id, State: r.state, Priority: r.priority, PromptTokens: r.promptTokens(),
		CachedTokens: r.cachedTokens, Generated: r.generated, Tokens: r.remainingTokens, Started: r.started,
	}
}

func (r *run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// submit queues a run that has one reader. It fails with errQueueFull, errLoadingWeights or errEngineDown.
func (e *Engine) submit(r *run) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkAdmission(); err != nil {
		e.counters.Refused++
		return err
	}
	e.counters.Accepted++
	if e.runs[r.id] != nil {
		e.counters.DuplicateIDs++
	}
	e.lastRunSequence++
	r.sequence = e.lastRunSequence
	r.state = StateWaiting
	r.readers = 1
	r.changed = make(chan struct{})
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.blocks = blockHashes(r.prompt, e.settings.BlockTokens)
	r.truncate = r.streamed && consumeFault(&e.settings.TruncatedStreams)
	r.injectForeignEvent = r.streamed && consumeFault(&e.settings.ForeignEvents)
	e.expireEndedRuns()
	e.runs[r.id] = r
	e.activeRuns[r] = true
	e.enqueue(r)
	e.schedule()
	e.recordLoad()
	return nil
}

// checkAdmission returns why a new request must be refused, or nil. The caller holds mu.
func (e *Engine) checkAdmission() error {
	if time.Now().Before(e.downUntil) {
		return errEngineDown
	}
	if e.orders.loading > 0 {
		return errLoadingWeights
	}
	limit := e.settings.MaxWaiting
	if limit > 0 && len(e.waiting) >= limit && e.load.Running >= e.settings.Slots {
		return errQueueFull
	}
	return nil
}

// enqueue inserts a run into the queue behind all runs of the same or a higher priority. The caller holds
// mu.
func (e *Engine) enqueue(r *run) {
	uncached := r.promptTokens() - e.cache.cachedPrefix(r.blocks)*e.settings.BlockTokens
	r.remainingTokens = max(0, uncached) + len(r.answerTokens)
	e.load.Waiting++
	e.load.WaitingTokens += r.remainingTokens
	at, _ := slices.BinarySearchFunc(e.waiting, r, func(queued, added *run) int {
		if byPriority := cmp.Compare(added.priority, queued.priority); byPriority != 0 {
			return byPriority
		}
		return cmp.Compare(queued.sequence, added.sequence)
	})
	e.waiting = slices.Insert(e.waiting, at, r)
}

// schedule starts waiting runs while slots are free. The caller holds mu.
func (e *Engine) schedule() {
	for len(e.waiting) > 0 && e.load.Running < e.settings.Slots {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.start(r)
	}
}

// start moves a run from the queue to a slot and starts its goroutine. The caller holds mu.
func (e *Engine) start(r *run) {
	r.state = StateRunning
	r.started = true
	r.cachedTokens = min(e.cache.cachedPrefix(r.blocks)*e.settings.BlockTokens, r.promptTokens())
	e.load.Waiting--
	e.load.WaitingTokens -= r.remainingTokens
	r.remainingTokens = r.promptTokens() - r.cachedTokens + len(r.answerTokens)
	e.load.Running++
	e.load.RunningTokens += r.remainingTokens
	e.counters.Started++
	e.counters.PromptTokens += int64(r.promptTokens())
	e.counters.CachedTokens += int64(r.cachedTokens)
	e.startsByContent[r.contentHash]++
	go e.generate(r, e.settings)
}

// generate produces the tokens of a run at the configured speed, or crashes the engine if the request has
// the crash marker. It runs in its own goroutine.
func (e *Engine) generate(r *run, settings Settings) {
	if r.crashEngine {
		if r.sleep(settings.CrashDelay) {
			e.Crash()
		}
		return
	}
	uncached := r.promptTokens() - r.cachedTokens
	if !r.sleep(settings.FirstToken + time.Duration(uncached)*settings.PrefillToken) {
		return
	}
	for i := range r.answerTokens {
		if i > 0 && !r.sleep(e.tokenInterval(settings)) {
			return
		}
		if !e.emitToken(r, i) {
			return
		}
	}
	e.finish(r)
}

// sleep waits for d and returns false if the run ended in the meantime.
func (r *run) sleep(d time.Duration) bool {
	if d <= 0 {
		return r.ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-r.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// tokenInterval returns the delay to the next token, given the current number of running requests.
func (e *Engine) tokenInterval(settings Settings) time.Duration {
	e.mu.Lock()
	others := e.load.Running - 1
	e.mu.Unlock()
	factor := 1 + settings.BatchSlowdown*float64(max(0, others))
	return time.Duration(float64(settings.TokenInterval) * factor)
}

// emitToken adds the i-th token to the stream and returns false if the run has ended. The prompt is cached
// when the first token is emitted, since prefill ends there.
func (e *Engine) emitToken(r *run, i int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.state != StateRunning {
		return false
	}
	done := 1
	if i == 0 {
		e.cacheBlocks(r.group, r.blocks)
		done += r.promptTokens() - r.cachedTokens
		r.events = append(r.events, e.encodeChunk(r, chunkStart))
	}
	r.generated++
	r.remainingTokens -= done
	e.load.RunningTokens -= done
	e.counters.GeneratedTokens++
	r.events = append(r.events, e.encodeChunk(r, i))
	if r.injectForeignEvent && i == 0 {
		r.events = append(r.events, encodeForeignChunk(r))
	}
	e.recordLoad()
	r.notify()
	return true
}

// finish ends a run whose tokens have all been generated, and caches the prompt together with the response.
func (e *Engine) finish(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.state != StateRunning {
		return
	}
	var text strings.Builder
	text.WriteString(r.prompt)
	writePromptMessage(&text, "assistant", strings.Join(r.answerTokens, ""))
	e.cacheBlocks(r.group, blockHashes(text.String(), e.settings.BlockTokens))
	r.events = append(r.events, e.encodeChunk(r, chunkFinish), e.encodeChunk(r, chunkUsage))
	e.end(r, StateFinished)
}

// end moves a run to a final state and frees its slot for the next run. It does nothing if the run
// has already ended. The caller holds mu.
func (e *Engine) end(r *run, state State) {
	if r.ended() {
		return
	}
	if r.state == StateRunning {
		e.load.Running--
		e.load.RunningTokens -= r.remainingTokens
	} else {
		e.load.Waiting--
		e.load.WaitingTokens -= r.remainingTokens
		e.waiting = slices.DeleteFunc(e.waiting, func(w *run) bool { return w == r })
	}
	r.state = state
	r.remainingTokens = 0
	r.endedAt = time.Now()
	r.cancel()
	delete(e.activeRuns, r)
	e.endedRuns = append(e.endedRuns, r)
	e.countEnded(state)
	r.notify()
	e.schedule()
	e.recordLoad()
}

func (e *Engine) countEnded(state State) {
	switch state {
	case StateFinished:
		e.counters.Finished++
	case StateCancelled:
		e.counters.Cancelled++
	case StateBroken:
		e.counters.Broken++
	}
}

// expireEndedRuns drops ended runs that are older than KeepFinished or exceed maxEndedRuns. The caller
// holds mu.
func (e *Engine) expireEndedRuns() {
	oldest := time.Now().Add(-e.settings.KeepFinished)
	for len(e.endedRuns) > 0 && (len(e.endedRuns) > maxEndedRuns || e.endedRuns[0].endedAt.Before(oldest)) {
		r := e.endedRuns[0]
		e.endedRuns = e.endedRuns[1:]
		if e.runs[r.id] == r {
			delete(e.runs, r.id)
		}
	}
}

// attach adds a reader to the latest run with the given ID. It returns nil if there is none.
func (e *Engine) attach(id string) *run {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.runs[id]
	if r == nil {
		return nil
	}
	r.readers++
	if r.disconnectTimer != nil {
		r.disconnectTimer.Stop()
	}
	e.counters.Resumed++
	return r
}

// detach removes a reader. A run without readers is cancelled after KeepAfterDisconnect.
func (e *Engine) detach(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.readers--
	if r.readers > 0 || r.ended() {
		return
	}
	if e.settings.KeepAfterDisconnect == 0 {
		e.end(r, StateCancelled)
		return
	}
	r.disconnectTimer = time.AfterFunc(e.settings.KeepAfterDisconnect, func() { e.cancelUnread(r) })
}

// cancelUnread cancels a run unless a reader has attached in the meantime.
func (e *Engine) cancelUnread(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.readers == 0 {
		e.end(r, StateCancelled)
	}
}
