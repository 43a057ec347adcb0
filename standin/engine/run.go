package engine

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"
	"time"
)

// maxEnded bounds the kept runs that ended.
const maxEnded = 1024

// State is the state of a run.
type State string

// States of a run. The last three are final.
const (
	StateWaiting   State = "waiting"
	StateRunning   State = "running"
	StateFinished  State = "finished"
	StateCancelled State = "cancelled"
	StateBroken    State = "broken"
)

var (
	errFull    = errors.New("too many waiting requests")
	errLoading = errors.New("weights are being loaded")
	errDown    = errors.New("engine is down")
)

// run is one request from its acceptance to its end. Its fields are guarded by the engine's mutex,
// except those that are set before submit.
type run struct {
	id       string
	group    string
	model    string
	priority int
	prompt   string
	content  uint64
	blocks   []uint64
	tokens   []string
	crash    bool
	streamed bool

	ctx      context.Context
	cancel   context.CancelFunc
	sequence uint64
	state    State
	started  bool
	cached   int
	work     int // tokens left
	made     int // tokens generated
	events   []string
	truncate bool
	foreign  bool
	changed  chan struct{} // closed and replaced at each change
	readers  int
	grace    *time.Timer
	endedAt  time.Time
}

func (r *run) final() bool { return r.state != StateWaiting && r.state != StateRunning }

func (r *run) promptTokens() int { return tokensOf(r.prompt) }

func (r *run) info() RequestInfo {
	return RequestInfo{
		ID: r.id, State: r.state, Priority: r.priority, PromptTokens: r.promptTokens(),
		CachedTokens: r.cached, Generated: r.made, Tokens: r.work, Started: r.started,
	}
}

func (r *run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// submit queues a run with one reader. It fails with errFull, errLoading or errDown.
func (e *Engine) submit(r *run) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.refusal(); err != nil {
		e.counters.Refused++
		return err
	}
	e.counters.Accepted++
	if e.runs[r.id] != nil {
		e.counters.DuplicateIDs++
	}
	e.sequence++
	r.sequence = e.sequence
	r.state = StateWaiting
	r.readers = 1
	r.changed = make(chan struct{})
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.blocks = blockHashes(r.prompt, e.settings.BlockTokens)
	r.truncate = r.streamed && take(&e.settings.TruncatedStreams)
	r.foreign = r.streamed && take(&e.settings.ForeignEvents)
	e.forgetEnded()
	e.runs[r.id] = r
	e.active[r] = true
	e.enqueue(r)
	e.schedule()
	e.noteLoad()
	return nil
}

func (e *Engine) refusal() error {
	if time.Now().Before(e.downUntil) {
		return errDown
	}
	if e.orders.loading > 0 {
		return errLoading
	}
	limit := e.settings.MaxWaiting
	if limit > 0 && len(e.waiting) >= limit && e.load.Running >= e.settings.Slots {
		return errFull
	}
	return nil
}

// enqueue puts a run behind all of the same or a higher priority.
func (e *Engine) enqueue(r *run) {
	uncached := r.promptTokens() - e.cache.prefix(r.blocks)*e.settings.BlockTokens
	r.work = max(0, uncached) + len(r.tokens)
	e.load.Waiting++
	e.load.WaitingTokens += r.work
	at, _ := slices.BinarySearchFunc(e.waiting, r, func(queued, added *run) int {
		if byPriority := cmp.Compare(added.priority, queued.priority); byPriority != 0 {
			return byPriority
		}
		return cmp.Compare(queued.sequence, added.sequence)
	})
	e.waiting = slices.Insert(e.waiting, at, r)
}

// schedule starts waiting runs while there are free slots. The caller holds mu.
func (e *Engine) schedule() {
	for len(e.waiting) > 0 && e.load.Running < e.settings.Slots {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.start(r)
	}
}

func (e *Engine) start(r *run) {
	r.state = StateRunning
	r.started = true
	r.cached = min(e.cache.prefix(r.blocks)*e.settings.BlockTokens, r.promptTokens())
	e.load.Waiting--
	e.load.WaitingTokens -= r.work
	r.work = r.promptTokens() - r.cached + len(r.tokens)
	e.load.Running++
	e.load.RunningTokens += r.work
	e.counters.Started++
	e.counters.PromptTokens += int64(r.promptTokens())
	e.counters.CachedTokens += int64(r.cached)
	e.starts[r.content]++
	go e.produce(r, e.settings)
}

// produce is the goroutine of a started run.
func (e *Engine) produce(r *run, settings Settings) {
	if r.crash {
		if r.sleep(settings.CrashDelay) {
			e.Crash()
		}
		return
	}
	uncached := r.promptTokens() - r.cached
	if !r.sleep(settings.FirstToken + time.Duration(uncached)*settings.PrefillToken) {
		return
	}
	for i := range r.tokens {
		if i > 0 && !r.sleep(e.interval(settings)) {
			return
		}
		if !e.emit(r, i) {
			return
		}
	}
	e.finish(r)
}

// sleep reports false when the run ended meanwhile.
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

func (e *Engine) interval(settings Settings) time.Duration {
	e.mu.Lock()
	others := e.load.Running - 1
	e.mu.Unlock()
	factor := 1 + settings.BatchSlowdown*float64(max(0, others))
	return time.Duration(float64(settings.TokenInterval) * factor)
}

// emit adds the i-th token and reports false when the run ended meanwhile. The first token ends the
// prefill, so the prompt is cached from then on.
func (e *Engine) emit(r *run, i int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.state != StateRunning {
		return false
	}
	done := 1
	if i == 0 {
		e.remember(r.group, r.blocks)
		done += r.promptTokens() - r.cached
		r.events = append(r.events, e.chunk(r, chunkStart))
	}
	r.made++
	r.work -= done
	e.load.RunningTokens -= done
	e.counters.GeneratedTokens++
	r.events = append(r.events, e.chunk(r, i))
	if r.foreign && i == 0 {
		r.events = append(r.events, foreignChunk(r))
	}
	e.noteLoad()
	r.notify()
	return true
}

// finish ends a run whose tokens are all generated. Prompt and answer stay cached together.
func (e *Engine) finish(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.state != StateRunning {
		return
	}
	var text strings.Builder
	text.WriteString(r.prompt)
	writeTurn(&text, "assistant", strings.Join(r.tokens, ""))
	e.remember(r.group, blockHashes(text.String(), e.settings.BlockTokens))
	r.events = append(r.events, e.chunk(r, chunkFinish), e.chunk(r, chunkUsage))
	e.end(r, StateFinished)
}

// end moves a run to a final state and gives its slot to the next one. The caller holds mu.
func (e *Engine) end(r *run, state State) {
	if r.final() {
		return
	}
	if r.state == StateRunning {
		e.load.Running--
		e.load.RunningTokens -= r.work
	} else {
		e.load.Waiting--
		e.load.WaitingTokens -= r.work
		e.waiting = slices.DeleteFunc(e.waiting, func(w *run) bool { return w == r })
	}
	r.state = state
	r.work = 0
	r.endedAt = time.Now()
	r.cancel()
	delete(e.active, r)
	e.ended = append(e.ended, r)
	e.countEnd(state)
	r.notify()
	e.schedule()
	e.noteLoad()
}

func (e *Engine) countEnd(state State) {
	switch state {
	case StateFinished:
		e.counters.Finished++
	case StateCancelled:
		e.counters.Cancelled++
	case StateBroken:
		e.counters.Broken++
	}
}

// forgetEnded drops the ended runs over the kept time or number.
func (e *Engine) forgetEnded() {
	oldest := time.Now().Add(-e.settings.KeepFinished)
	for len(e.ended) > 0 && (len(e.ended) > maxEnded || e.ended[0].endedAt.Before(oldest)) {
		r := e.ended[0]
		e.ended = e.ended[1:]
		if e.runs[r.id] == r {
			delete(e.runs, r.id)
		}
	}
}

// attach adds a reader to the last run of an id; nil when there is none.
func (e *Engine) attach(id string) *run {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.runs[id]
	if r == nil {
		return nil
	}
	r.readers++
	if r.grace != nil {
		r.grace.Stop()
	}
	e.counters.Resumed++
	return r
}

// detach removes a reader. A run without readers ends after the scripted grace period.
func (e *Engine) detach(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.readers--
	if r.readers > 0 || r.final() {
		return
	}
	if e.settings.KeepAfterDisconnect == 0 {
		e.end(r, StateCancelled)
		return
	}
	r.grace = time.AfterFunc(e.settings.KeepAfterDisconnect, func() { e.endUnread(r) })
}

func (e *Engine) endUnread(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.readers == 0 {
		e.end(r, StateCancelled)
	}
}
