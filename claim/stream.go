package claim

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"jacinthfork.example/jacinthfork/kernel/journal"
	"jacinthfork.example/jacinthfork/services"
	"jacinthfork.example/jacinthfork/verdict"
)

// stream is the state of one log stream in this instance.
type stream struct {
	k    *Executor
	name string
	// loadLock is a mutex, held by the request that loads the stream. A waiter can give up on it.
	loadLock chan struct{}

	// refs and lastUse are guarded by Executor.mu. A stream without references can be evicted.
	refs    int
	lastUse uint64
	// accountedBytes is this stream's share of Executor.memoryBytes.
	accountedBytes atomic.Int64

	mu     sync.Mutex
	view   *view
	loaded bool
	// loadError is the error of the last failed load.
	loadError    error
	loadFailedAt time.Time
	fault        *verdict.Error
	changed      chan struct{}
	// active maps a key to the request of this instance that is claiming or executing it.
	active map[id]*run

	queue           []*pendingEntry
	pending         map[entryID]*pendingEntry
	flushing        bool
	logDown         bool
	consecutiveLost int
	lastAppend      time.Time
	wake            chan struct{}

	watchers    int
	cancelWatch context.CancelFunc
}

func newStream(k *Executor, name string) *stream {
	return &stream{
		k:        k,
		name:     name,
		loadLock: make(chan struct{}, 1),
		view:     newView(),
		changed:  make(chan struct{}),
		active:   make(map[id]*run),
		pending:  make(map[entryID]*pendingEntry),
		wake:     make(chan struct{}, 1),
	}
}

// load reads the stream to its end unless it is already loaded. If the stream cannot be read, it returns a
// not-run error, because nothing was appended. If records are missing or cannot be decoded, the error has
// verdict unknown.
func (s *stream) load(ctx context.Context) error {
	select {
	case s.loadLock <- struct{}{}:
		defer func() { <-s.loadLock }()
	case <-ctx.Done():
		return contextError(ctx, "waiting for the stream of the key to be read")
	}
	if loaded, err := s.loadResult(); loaded || err != nil {
		return err
	}
	for more := true; more; {
		var err error
		if more, err = s.readPage(ctx, 0); err != nil {
			s.recordLoadFailure(err)
			return err
		}
		if s.k.memoryExceeded() {
			return overCapacityError("the records of the key do not fit into memory")
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loaded = true
	s.k.counts.Add("stream_loads", 1)
	return nil
}

// loadResult reports whether the stream is loaded. For RetryInterval after a failed load it returns that
// error, so that requests that waited for the load fail together and not one timeout after another.
func (s *stream) loadResult() (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.loaded && s.loadError != nil && time.Since(s.loadFailedAt) < s.k.opts.RetryInterval {
		return false, s.loadError
	}
	return s.loaded, nil
}

// recordLoadFailure stores an error of the log. Other errors, such as the end of one request's context, say
// nothing about the log.
func (s *stream) recordLoadFailure(err error) {
	if verdict.As(err).Reason != verdict.ReasonLogUnavailable {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loadError = err
	s.loadFailedAt = time.Now()
}

// catchUp reads to the end of the stream.
func (s *stream) catchUp(ctx context.Context) error {
	for {
		more, err := s.readPage(ctx, 0)
		if err != nil || !more {
			return err
		}
	}
}

// readPage reads and applies one page and reports whether there are more records.
func (s *stream) readPage(ctx context.Context, wait time.Duration) (bool, error) {
	s.mu.Lock()
	from, fault := s.view.next, s.fault
	s.mu.Unlock()
	if fault != nil {
		return false, fault
	}
	readCtx, cancel := context.WithTimeout(ctx, s.k.opts.AppendTimeout+wait)
	defer cancel()
	page, err := s.k.opts.Log.Read(readCtx, s.name, from, readLimit, wait)
	if err == nil {
		return s.applyPage(from, page)
	}
	if ctx.Err() != nil {
		return false, contextError(ctx, "reading the stream of the key")
	}
	s.k.counts.Add("read_errors", 1)
	return false, s.k.logUnavailableError(err)
}

// applyPage applies the records of a page that was read from offset from.
func (s *stream) applyPage(from uint64, page services.Page) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkPage(from, page); err != nil {
		return false, err
	}
	before := s.view.next
	for _, r := range page.Records {
		if r.Offset < s.view.next {
			continue
		}
		if r.Offset > s.view.next {
			return false, s.markFaulty(fmt.Sprintf("records %d to %d are missing", s.view.next, r.Offset-1))
		}
		if err := s.applyRecord(r.Offset, r.Payload); err != nil {
			return false, err
		}
	}
	s.notifyChanged()
	more := s.view.next < page.Next
	if more && s.view.next == before && before == from {
		return false, s.k.logUnavailableError(errNoRecords)
	}
	return more, nil
}

func (s *stream) checkPage(from uint64, page services.Page) error {
	if s.fault != nil {
		return s.fault
	}
	if page.Earliest > 0 {
		return s.markFaulty(fmt.Sprintf("records below offset %d have expired", page.Earliest))
	}
	if page.Next < from {
		return s.markFaulty(fmt.Sprintf("the stream ends at %d, after %d records were read", page.Next, from))
	}
	return nil
}

func (s *stream) applyRecord(offset uint64, payload []byte) error {
	entries, err := decode(payload)
	if err != nil {
		return s.markFaulty(fmt.Sprintf("record %d is not readable: %v", offset, err))
	}
	for _, e := range entries {
		s.view.apply(e, offset, true)
		if p := s.pending[entryIDOf(e)]; p != nil {
			s.complete(p, nil)
		}
	}
	s.view.next = offset + 1
	return nil
}

// notifyChanged updates the memory accounting and wakes requests that wait for a change of the view. s.mu must
// be held.
func (s *stream) notifyChanged() {
	s.k.memoryBytes.Add(s.view.bytes - s.accountedBytes.Swap(s.view.bytes))
	close(s.changed)
	s.changed = make(chan struct{})
}

// markFaulty marks the stream as incomplete. All its keys are rejected for as long as the stream is in memory,
// with verdict unknown, because the record of an earlier execution may be missing. s.mu must be held.
func (s *stream) markFaulty(detail string) *verdict.Error {
	if s.fault != nil {
		return s.fault
	}
	s.fault = verdict.New(verdict.Unknown, verdict.ReasonKeyHistoryLost, "stream "+s.name+": "+detail)
	for _, p := range s.pending {
		s.complete(p, s.fault)
	}
	s.queue = nil
	s.k.counts.Add("stream_faults", 1)
	s.k.opts.Journal.Add(journal.KindClaim, s.name, "stream rejects all keys: "+detail)
	s.notifyChanged()
	return s.fault
}

func (s *stream) dropResponses() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.view.evictable) > 0 {
		s.view.dropResponses()
		s.notifyChanged()
	}
}

// watch long-polls the stream until the returned function is called.
func (s *stream) watch() (stop func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers++
	if s.watchers == 1 {
		ctx, cancel := context.WithCancel(s.k.ctx)
		s.cancelWatch = cancel
		s.k.startGoroutine(s, func() { s.poll(ctx) })
	}
	return s.unwatch
}

func (s *stream) unwatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers--
	if s.watchers == 0 {
		s.cancelWatch()
	}
}

func (s *stream) poll(ctx context.Context) {
	for ctx.Err() == nil {
		if _, err := s.readPage(ctx, s.k.opts.PollWait); err != nil {
			sleep(ctx, s.k.opts.RetryInterval)
		}
	}
}

// sleep waits for d and reports whether it passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (k *Executor) logUnavailableError(err error) *verdict.Error {
	e := verdict.Wrap(verdict.NotRun, verdict.ReasonLogUnavailable, err)
	e.Detail = "this request was not dispatched; repeat it with the same key: " + e.Detail
	e.RetryAfter = k.opts.RetryInterval
	return e
}

// contextError returns the not-run error of a request whose context ended before the dispatch.
func contextError(ctx context.Context, doing string) *verdict.Error {
	reason := verdict.ReasonCancelled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		reason = verdict.ReasonDeadline
	}
	e := verdict.Wrap(verdict.NotRun, reason, ctx.Err())
	e.Detail = doing + ": " + e.Detail
	return e
}
