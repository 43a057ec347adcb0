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
	k    *Keeper
	name string
	// loading is held by the request that reads the stream for the first time.
	loading chan struct{}

	// refs and lastUse are guarded by Keeper.mu. A stream without references can be evicted.
	refs    int
	lastUse uint64
	// counted is the part of Keeper.memory that belongs to this stream.
	counted atomic.Int64

	mu     sync.Mutex
	view   *view
	loaded bool
	// loadError is the last failure to load.
	loadError    error
	loadFailedAt time.Time
	fault        *verdict.Error
	changed      chan struct{}
	// active has the request of this instance that claims or runs a key.
	active map[id]*run

	queue      []*pending
	waiting    map[waitKey]*pending
	flushing   bool
	down       bool
	lostInRow  int
	lastAppend time.Time
	nudge      chan struct{}

	watchers  int
	stopWatch context.CancelFunc
}

func newStream(k *Keeper, name string) *stream {
	return &stream{
		k:       k,
		name:    name,
		loading: make(chan struct{}, 1),
		view:    newView(),
		changed: make(chan struct{}),
		active:  make(map[id]*run),
		waiting: make(map[waitKey]*pending),
		nudge:   make(chan struct{}, 1),
	}
}

// load reads the stream up to its end if that was not done before. It returns a not-run error when
// that fails, because nothing was appended.
func (s *stream) load(ctx context.Context) error {
	select {
	case s.loading <- struct{}{}:
		defer func() { <-s.loading }()
	case <-ctx.Done():
		return contextError(ctx, "waiting for the stream of the key to be read")
	}
	if loaded, err := s.loadState(); loaded || err != nil {
		return err
	}
	for more := true; more; {
		var err error
		if more, err = s.read(ctx, 0); err != nil {
			s.loadFailed(err)
			return err
		}
		if s.k.overMemory() {
			return overCapacity("the records of the key do not fit into memory")
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loaded = true
	s.k.counts.Add("stream_loads", 1)
	return nil
}

// loadState returns the error of a failed load for a while, so that the requests that waited for
// it fail at once and not one timeout after another.
func (s *stream) loadState() (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.loaded && s.loadError != nil && time.Since(s.loadFailedAt) < s.k.opts.RetryInterval {
		return false, s.loadError
	}
	return s.loaded, nil
}

// loadFailed keeps an error of the log. The end of one request's context says nothing about it.
func (s *stream) loadFailed(err error) {
	if verdict.As(err).Reason != verdict.ReasonLogUnavailable {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loadError = err
	s.loadFailedAt = time.Now()
}

// catchUp reads until the end of the stream.
func (s *stream) catchUp(ctx context.Context) error {
	for {
		more, err := s.read(ctx, 0)
		if err != nil || !more {
			return err
		}
	}
}

// read applies one page and reports whether there is more.
func (s *stream) read(ctx context.Context, wait time.Duration) (bool, error) {
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
		return s.absorb(from, page)
	}
	if ctx.Err() != nil {
		return false, contextError(ctx, "reading the stream of the key")
	}
	s.k.counts.Add("read_errors", 1)
	return false, s.k.logError(err)
}

// absorb applies the records of a page that was read at from.
func (s *stream) absorb(from uint64, page services.Page) (bool, error) {
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
			return false, s.fail(fmt.Sprintf("records %d to %d are missing", s.view.next, r.Offset-1))
		}
		if err := s.applyRecord(r.Offset, r.Payload); err != nil {
			return false, err
		}
	}
	s.settled()
	more := s.view.next < page.Next
	if more && s.view.next == before && before == from {
		return false, s.k.logError(errNoRecords)
	}
	return more, nil
}

func (s *stream) checkPage(from uint64, page services.Page) error {
	if s.fault != nil {
		return s.fault
	}
	if page.Earliest > 0 {
		return s.fail(fmt.Sprintf("records below offset %d have expired", page.Earliest))
	}
	if page.Next < from {
		return s.fail(fmt.Sprintf("the stream ends at %d, after %d records were read", page.Next, from))
	}
	return nil
}

func (s *stream) applyRecord(offset uint64, payload []byte) error {
	entries, err := decode(payload)
	if err != nil {
		return s.fail(fmt.Sprintf("record %d is not readable: %v", offset, err))
	}
	for _, e := range entries {
		s.view.apply(e, offset, true)
		if p := s.waiting[waitKeyOf(e)]; p != nil {
			s.settle(p, nil)
		}
	}
	s.view.next = offset + 1
	return nil
}

// settled publishes a change of the view. s.mu is held.
func (s *stream) settled() {
	s.k.memory.Add(s.view.bytes - s.counted.Swap(s.view.bytes))
	close(s.changed)
	s.changed = make(chan struct{})
}

// fail marks the stream as incomplete, which refuses every key for as long as it is in memory. The
// verdict is unknown, because the record of an earlier run may be missing. s.mu is held.
func (s *stream) fail(detail string) *verdict.Error {
	if s.fault != nil {
		return s.fault
	}
	s.fault = verdict.New(verdict.Unknown, verdict.ReasonKeyHistoryLost, "stream "+s.name+": "+detail)
	for _, p := range s.waiting {
		s.settle(p, s.fault)
	}
	s.queue = nil
	s.k.counts.Add("stream_faults", 1)
	s.k.opts.Journal.Add(journal.KindClaim, s.name, "stream refuses every key: "+detail)
	s.settled()
	return s.fault
}

func (s *stream) dropAnswers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.view.kept) > 0 {
		s.view.dropAnswers()
		s.settled()
	}
}

// watch keeps a long poll on the stream until the returned function is called.
func (s *stream) watch() (stop func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers++
	if s.watchers == 1 {
		ctx, cancel := context.WithCancel(s.k.ctx)
		s.stopWatch = cancel
		s.k.start(s, func() { s.poll(ctx) })
	}
	return s.unwatch
}

func (s *stream) unwatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers--
	if s.watchers == 0 {
		s.stopWatch()
	}
}

func (s *stream) poll(ctx context.Context) {
	for ctx.Err() == nil {
		if _, err := s.read(ctx, s.k.opts.PollWait); err != nil {
			sleep(ctx, s.k.opts.RetryInterval)
		}
	}
}

// sleep reports whether d passed before ctx ended.
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

func (k *Keeper) logError(err error) *verdict.Error {
	e := verdict.Wrap(verdict.NotRun, verdict.ReasonLogUnavailable, err)
	e.Detail = "this request was not dispatched; repeat it with the same key: " + e.Detail
	e.RetryAfter = k.opts.RetryInterval
	return e
}

// contextError is the not-run error of a request whose context ended before the dispatch.
func contextError(ctx context.Context, doing string) *verdict.Error {
	reason := verdict.ReasonCancelled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		reason = verdict.ReasonDeadline
	}
	e := verdict.Wrap(verdict.NotRun, reason, ctx.Err())
	e.Detail = doing + ": " + e.Detail
	return e
}
