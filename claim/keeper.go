package claim

import (
	"context"
	"expvar"
	"sync"
	"sync/atomic"

	"jacinthfork.example/jacinthfork/kernel/journal"
	"jacinthfork.example/jacinthfork/verdict"
)

// Keeper runs actions at most once for one instance. It is safe for concurrent use.
type Keeper struct {
	opts   Options
	layout Layout
	guard  *layoutGuard
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	counts *expvar.Map

	runs         atomic.Int64
	memory       atomic.Int64
	pending      atomic.Int64
	pendingBytes atomic.Int64

	// mu may be taken while a stream's mu is held, never the other way round.
	mu      sync.Mutex
	closed  bool
	streams map[string]*stream
	uses    uint64
}

// New returns a Keeper, or all faults of the options joined.
func New(opts Options) (*Keeper, error) {
	opts.setDefaults()
	if err := opts.validate(); err != nil {
		return nil, err
	}
	k := &Keeper{opts: opts, streams: make(map[string]*stream), counts: opts.Counters.Map("claims")}
	k.layout = Layout{Pool: opts.Pool, Partitions: opts.Partitions, Bucket: opts.Bucket}
	k.guard = newLayoutGuard()
	k.ctx, k.cancel = context.WithCancel(context.Background())
	opts.Counters.Func("claims_memory_bytes", func() any { return k.memory.Load() })
	opts.Counters.Func("claims_pending", func() any { return k.pending.Load() })
	return k, nil
}

// Run claims the key of the action, dispatches the action if the claim wins, and records the
// outcome. For a repeat it returns the recorded outcome and replayed is true. A nil error means
// that the action ran; any other error is or wraps a *verdict.Error.
//
// dispatch is called at most once. Its error carries the verdict; an error without one counts as
// unknown. Run waits for another holder until the deadline of ctx, so the caller sets a deadline
// that leaves time to send the answer.
func (k *Keeper) Run(ctx context.Context, a Action, dispatch func(context.Context) (Outcome, error)) (out Outcome, replayed bool, err error) {
	out, replayed, err = k.run(ctx, a, dispatch)
	k.count(err, replayed)
	return out, replayed, err
}

func (k *Keeper) run(ctx context.Context, a Action, dispatch func(context.Context) (Outcome, error)) (Outcome, bool, error) {
	h, err := k.hash(a)
	if err != nil {
		return Outcome{}, false, err
	}
	if err := k.checkWindow(h); err != nil {
		return Outcome{}, false, k.proveUnused(ctx, h, err)
	}
	defer k.runs.Add(-1)
	if k.runs.Add(1) > int64(k.opts.MaxRuns) {
		return Outcome{}, false, overCapacity("too many actions are in progress")
	}
	if err := k.checkLayout(ctx); err != nil {
		return Outcome{}, false, err
	}
	s, err := k.acquire(h.stream)
	if err != nil {
		return Outcome{}, false, err
	}
	defer k.drop(s)
	if err := s.load(ctx); err != nil {
		return Outcome{}, false, err
	}
	r := &run{k: k, s: s, h: h, dispatch: dispatch}
	return r.resolve(ctx)
}

func (k *Keeper) count(err error, replayed bool) {
	switch {
	case err != nil:
		k.counts.Add("result_"+string(verdict.As(err).Reason), 1)
	case replayed:
		k.counts.Add("result_replayed", 1)
	default:
		k.counts.Add("result_ran", 1)
	}
}

// Flush waits until every outcome and release is in the log. A sidecar calls it after its last
// action and before Close. It returns the error of ctx if that ends first.
func (k *Keeper) Flush(ctx context.Context) error {
	for _, s := range k.all() {
		if err := s.drained(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Close ends all goroutines. Entries that are not in the log are lost, which leaves unknown to
// later requests of their keys.
func (k *Keeper) Close() {
	k.mu.Lock()
	k.closed = true
	k.mu.Unlock()
	k.cancel()
	k.wg.Wait()
}

func (k *Keeper) all() []*stream {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := make([]*stream, 0, len(k.streams))
	for _, s := range k.streams {
		out = append(out, s)
	}
	return out
}

// acquire returns the stream with a reference that protects it from eviction.
func (k *Keeper) acquire(name string) (*stream, error) {
	k.relieve()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonLeaving, "claims are closed")
	}
	s := k.streams[name]
	if s == nil {
		s = newStream(k, name)
		k.streams[name] = s
		s.counted.Store(s.view.bytes)
		k.memory.Add(s.view.bytes)
	}
	s.refs++
	k.uses++
	s.lastUse = k.uses
	return s, nil
}

// start runs f with a reference on s, unless the Keeper is closed.
func (k *Keeper) start(s *stream, f func()) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		return false
	}
	s.refs++
	k.wg.Go(func() {
		defer k.drop(s)
		f()
	})
	return true
}

func (k *Keeper) drop(s *stream) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s.refs--
}

// overMemory tries to bring the memory below the bound and reports whether that failed.
func (k *Keeper) overMemory() bool {
	k.relieve()
	return k.memory.Load() > k.opts.MaxMemory
}

// relieve brings the memory below the bound: it evicts idle streams, least recently used first,
// and then drops answers that can be read from the log again.
func (k *Keeper) relieve() {
	for k.memory.Load() > k.opts.MaxMemory && k.evictOne() {
	}
	if k.memory.Load() <= k.opts.MaxMemory {
		return
	}
	for _, s := range k.all() {
		s.dropAnswers()
	}
}

func (k *Keeper) evictOne() bool {
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
	k.memory.Add(-oldest.counted.Load())
	k.counts.Add("evictions", 1)
	return true
}

// takeSlot reserves room for one claim and for the outcome or release that follows it.
func (k *Keeper) takeSlot() bool {
	if k.pending.Add(1) <= int64(k.opts.MaxPending) {
		return true
	}
	k.pending.Add(-1)
	return false
}

// reserveBytes reserves room for a body that waits for the log.
func (k *Keeper) reserveBytes(n int) bool {
	if k.pendingBytes.Add(int64(n)) <= k.opts.MaxPendingBytes {
		return true
	}
	k.pendingBytes.Add(-int64(n))
	return false
}

func (k *Keeper) note(h hashed, text string, fields ...journal.Field) {
	k.opts.Journal.Add(journal.KindClaim, h.keyText, text, fields...)
}
