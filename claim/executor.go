package claim

import (
	"context"
	"expvar"
	"sync"
	"sync/atomic"

	"jacinthfork.example/jacinthfork/kernel/journal"
	"jacinthfork.example/jacinthfork/verdict"
)

// Executor executes the actions of one instance at most once. It is safe for concurrent use.
type Executor struct {
	opts   Options
	layout Layout
	guard  *layoutGuard
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	counts *expvar.Map

	activeRuns   atomic.Int64
	memoryBytes  atomic.Int64
	pendingSlots atomic.Int64
	pendingBytes atomic.Int64

	// mu may be locked while a stream's mu is held, never the other way round.
	mu         sync.Mutex
	closed     bool
	streams    map[string]*stream
	useCounter uint64
}

// New returns an Executor, or an error that lists all invalid options.
func New(opts Options) (*Executor, error) {
	opts.setDefaults()
	if err := opts.validate(); err != nil {
		return nil, err
	}
	k := &Executor{opts: opts, streams: make(map[string]*stream), counts: opts.Counters.Map("claims")}
	k.layout = Layout{Pool: opts.Pool, Partitions: opts.Partitions, Bucket: opts.Bucket}
	k.guard = newLayoutGuard()
	k.ctx, k.cancel = context.WithCancel(context.Background())
	opts.Counters.Func("claims_memory_bytes", func() any { return k.memoryBytes.Load() })
	opts.Counters.Func("claims_pending", func() any { return k.pendingSlots.Load() })
	return k, nil
}

// Run claims the key of the action, dispatches the action if the claim is the lowest unreleased claim of the
// key, and records the outcome. For a duplicate it returns the recorded outcome with replayed set. A nil
// error means that the action ran; every other error is or wraps a *verdict.Error.
//
// dispatch is called at most once. Its error carries the verdict; an error without one counts as unknown. Run
// waits for another holder until the deadline of ctx, so the caller must set a deadline that leaves time to
// send the response.
func (k *Executor) Run(ctx context.Context, a Action, dispatch func(context.Context) (Outcome, error)) (out Outcome, replayed bool, err error) {
	out, replayed, err = k.run(ctx, a, dispatch)
	k.countResult(err, replayed)
	return out, replayed, err
}

func (k *Executor) run(ctx context.Context, a Action, dispatch func(context.Context) (Outcome, error)) (Outcome, bool, error) {
	keyed, err := k.parseAction(a)
	if err != nil {
		return Outcome{}, false, err
	}
	if err := k.checkWindow(keyed); err != nil {
		return Outcome{}, false, k.proveUnused(ctx, keyed, err)
	}
	defer k.activeRuns.Add(-1)
	if k.activeRuns.Add(1) > int64(k.opts.MaxConcurrentRuns) {
		return Outcome{}, false, overCapacityError("too many actions are in progress")
	}
	if err := k.checkLayout(ctx); err != nil {
		return Outcome{}, false, err
	}
	s, err := k.acquireStream(keyed.stream)
	if err != nil {
		return Outcome{}, false, err
	}
	defer k.releaseStream(s)
	if err := s.load(ctx); err != nil {
		return Outcome{}, false, err
	}
	r := &run{k: k, s: s, keyed: keyed, dispatch: dispatch}
	return r.resolve(ctx)
}

func (k *Executor) countResult(err error, replayed bool) {
	switch {
	case err != nil:
		k.counts.Add("result_"+string(verdict.As(err).Reason), 1)
	case replayed:
		k.counts.Add("result_replayed", 1)
	default:
		k.counts.Add("result_ran", 1)
	}
}

// Flush waits until all outcomes and releases are in the log. A sidecar calls it after its last action and
// before Close. It returns the error of ctx if that ends first.
func (k *Executor) Flush(ctx context.Context) error {
	for _, s := range k.allStreams() {
		if err := s.waitDrained(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Close stops all goroutines. Entries that are not in the log are lost; later requests with their keys get
// unknown.
func (k *Executor) Close() {
	k.mu.Lock()
	k.closed = true
	k.mu.Unlock()
	k.cancel()
	k.wg.Wait()
}

func (k *Executor) allStreams() []*stream {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := make([]*stream, 0, len(k.streams))
	for _, s := range k.streams {
		out = append(out, s)
	}
	return out
}

// acquireStream returns the stream with a reference that prevents its eviction.
func (k *Executor) acquireStream(name string) (*stream, error) {
	k.enforceMemoryLimit()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonLeaving, "claims are closed")
	}
	s := k.streams[name]
	if s == nil {
		s = newStream(k, name)
		k.streams[name] = s
		s.accountedBytes.Store(s.view.bytes)
		k.memoryBytes.Add(s.view.bytes)
	}
	s.refs++
	k.useCounter++
	s.lastUse = k.useCounter
	return s, nil
}

// startGoroutine runs f in a goroutine that holds a reference to s. It reports false if the Executor is closed.
func (k *Executor) startGoroutine(s *stream, f func()) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		return false
	}
	s.refs++
	k.wg.Go(func() {
		defer k.releaseStream(s)
		f()
	})
	return true
}

func (k *Executor) releaseStream(s *stream) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s.refs--
}

// memoryExceeded enforces the memory limit and reports whether the memory is still above it.
func (k *Executor) memoryExceeded() bool {
	k.enforceMemoryLimit()
	return k.memoryBytes.Load() > k.opts.MaxMemory
}

// enforceMemoryLimit reduces the memory to the limit: it evicts idle streams, least recently used first, and
// then drops responses that can be read from the log again.
func (k *Executor) enforceMemoryLimit() {
	for k.memoryBytes.Load() > k.opts.MaxMemory && k.evictOne() {
	}
	if k.memoryBytes.Load() <= k.opts.MaxMemory {
		return
	}
	for _, s := range k.allStreams() {
		s.dropResponses()
	}
}

func (k *Executor) evictOne() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	var oldest *stream
	for _, s := range k.streams {
		if s.refs == 0 && (oldest == nil || s.lastUse < oldest.lastUse) {
			oldest = s
		}
	}
	if oldest == nil {
		return false
	}
	delete(k.streams, oldest.name)
	k.memoryBytes.Add(-oldest.accountedBytes.Load())
	k.counts.Add("evictions", 1)
	return true
}

// reserveSlot reserves a slot for one claim and for the outcome or release that follows it. It reports false
// if MaxPending slots are taken.
func (k *Executor) reserveSlot() bool {
	if k.pendingSlots.Add(1) <= int64(k.opts.MaxPending) {
		return true
	}
	k.pendingSlots.Add(-1)
	return false
}

// reserveBytes reserves n bytes for a body that waits for the log. It reports false over MaxPendingBytes.
func (k *Executor) reserveBytes(n int) bool {
	if k.pendingBytes.Add(int64(n)) <= k.opts.MaxPendingBytes {
		return true
	}
	k.pendingBytes.Add(-int64(n))
	return false
}

func (k *Executor) addJournalEntry(keyed keyedAction, text string, fields ...journal.Field) {
	k.opts.Journal.Add(journal.KindClaim, keyed.keyText, text, fields...)
}
