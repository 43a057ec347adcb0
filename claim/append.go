package claim

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"jacinthfork.example/jacinthfork/claim/claimpb"
	"jacinthfork.example/jacinthfork/services"
	"jacinthfork.example/jacinthfork/verdict"
)

// batchOverhead is the maximum number of bytes that the encoding adds to one entry of a batch.
const batchOverhead = 8

// entryKind distinguishes the entries of one nonce.
type entryKind uint8

const (
	entryClaim entryKind = iota
	entryOutcome
	entryRelease
	entrySettlement
)

type entryID struct {
	nonce id
	kind  entryKind
}

func entryIDOf(e *claimpb.Entry) entryID {
	eid := entryID{nonce: idFromBytes(e.GetNonce())}
	switch e.GetKind().(type) {
	case *claimpb.Entry_Outcome:
		eid.kind = entryOutcome
	case *claimpb.Entry_Release:
		eid.kind = entryRelease
	case *claimpb.Entry_Settlement:
		eid.kind = entrySettlement
	}
	return eid
}

// pendingEntry is an entry that is not yet confirmed to be in the log. Its fields are guarded by stream.mu;
// err may be read without it after done is closed.
type pendingEntry struct {
	entry *claimpb.Entry
	id    entryID
	size  int
	// inFlight is set during an append. maybeStored is set after an append whose reply was lost.
	inFlight    bool
	maybeStored bool
	// attempted is closed after the first failed append, and at the latest together with done.
	attempted chan struct{}
	done      chan struct{}
	completed bool
	err       *verdict.Error
	// freesSlot is set on the last entry of a claim, which gives back the slot from reserveSlot.
	freesSlot bool
	// reservedBytes is this entry's share of Executor.pendingBytes.
	reservedBytes int
}

func newPendingEntry(e *claimpb.Entry) *pendingEntry {
	return &pendingEntry{
		entry:     e,
		id:        entryIDOf(e),
		size:      proto.Size(e),
		attempted: make(chan struct{}),
		done:      make(chan struct{}),
	}
}

func (p *pendingEntry) closeAttempted() {
	select {
	case <-p.attempted:
	default:
		close(p.attempted)
	}
}

// complete ends the wait for an entry. s.mu must be held.
func (s *stream) complete(p *pendingEntry, err *verdict.Error) {
	if p.completed {
		return
	}
	p.completed = true
	p.err = err
	delete(s.pending, p.id)
	p.closeAttempted()
	close(p.done)
	if p.freesSlot {
		s.k.pendingSlots.Add(-1)
	}
	s.k.pendingBytes.Add(-int64(p.reservedBytes))
}

// enqueue adds an entry to the append queue and starts the flush goroutine if needed. s.mu must be held.
func (s *stream) enqueue(p *pendingEntry) {
	s.pending[p.id] = p
	if s.fault != nil {
		s.complete(p, s.fault)
		return
	}
	s.queue = append(s.queue, p)
	if p.id.kind != entryOutcome {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
	if s.flushing {
		return
	}
	s.flushing = s.k.startGoroutine(s, s.flush)
}

// flush appends batches until the queue is empty.
func (s *stream) flush() {
	for {
		s.waitForBatch()
		batch := s.nextBatch()
		if batch == nil {
			return
		}
		if s.appendBatch(batch) {
			continue
		}
		sleep(s.k.ctx, s.k.opts.RetryInterval)
	}
}

// waitForBatch waits for entries that can share the next append.
func (s *stream) waitForBatch() {
	s.mu.Lock()
	pause := s.k.opts.AppendInterval - time.Since(s.lastAppend)
	// Retries while the log is down are not delayed further.
	onlyOutcomes := !s.logDown
	for _, p := range s.queue {
		onlyOutcomes = onlyOutcomes && p.id.kind == entryOutcome
	}
	s.mu.Unlock()
	if pause > 0 {
		sleep(s.k.ctx, pause)
	}
	if !onlyOutcomes || s.k.opts.OutcomeDelay < 0 {
		return
	}
	timer := time.NewTimer(s.k.opts.OutcomeDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.wake:
	case <-s.k.ctx.Done():
	}
}

// nextBatch returns the next batch, or nil if there is nothing to append.
func (s *stream) nextBatch() []*pendingEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var batch []*pendingEntry
	size := 0
	for len(s.queue) > 0 && len(batch) < maxBatchEntries {
		p := s.queue[0]
		if len(batch) > 0 && size+p.size > s.k.opts.MaxRecordBytes-batchOverhead*len(batch) {
			break
		}
		s.queue = s.queue[1:]
		if p.completed {
			continue
		}
		p.inFlight = true
		size += p.size
		batch = append(batch, p)
	}
	if batch == nil || s.k.ctx.Err() != nil {
		s.flushing = false
		// With an empty queue no append would find out that the log is back, so the next claim must try.
		s.logDown = false
		return nil
	}
	select {
	case <-s.wake:
	default:
	}
	s.lastAppend = time.Now()
	return batch
}

// appendBatch appends one batch and reports whether the next one may follow without a pause.
func (s *stream) appendBatch(batch []*pendingEntry) bool {
	message := &claimpb.Batch{}
	for _, p := range batch {
		message.Entries = append(message.Entries, p.entry)
	}
	payload, err := proto.Marshal(message)
	if err != nil {
		return s.handleRejected(batch, err)
	}
	s.k.counts.Add("appends", 1)
	s.k.counts.Add("append_entries", int64(len(batch)))
	ctx, cancel := context.WithTimeout(s.k.ctx, s.k.opts.AppendTimeout)
	defer cancel()
	offset, err := s.k.opts.Log.Append(ctx, s.name, payload)
	switch {
	case err == nil:
		return s.handleStored(offset, payload, batch)
	case services.MayBeStored(err):
		return s.handleLostReply(batch)
	default:
		return s.handleRejected(batch, err)
	}
}

// handleStored updates the view up to the offset of the batch. It reads the records of other writers below
// that offset and retries until the read succeeds, because they decide whether the claims of the batch are
// the lowest of their keys.
func (s *stream) handleStored(offset uint64, payload []byte, batch []*pendingEntry) bool {
	s.mu.Lock()
	s.consecutiveLost = 0
	s.logDown = false
	if s.fault == nil && offset == s.view.next {
		_ = s.applyRecord(offset, payload)
		s.notifyChanged()
	}
	s.mu.Unlock()
	for s.isBehind(offset) {
		s.k.counts.Add("gap_reads", 1)
		if s.catchUp(s.k.ctx) == nil {
			continue
		}
		s.markLogDown(batch)
		if !sleep(s.k.ctx, s.k.opts.RetryInterval) {
			return false
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logDown = false
	for _, p := range batch {
		if !p.completed {
			s.markFaulty("an append returned an offset that was already read")
		}
	}
	return true
}

func (s *stream) isBehind(offset uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault == nil && s.view.next <= offset
}

// handleLostReply handles an append whose reply was lost: entries found in the stream are completed, the
// others are appended again with the same nonces.
func (s *stream) handleLostReply(batch []*pendingEntry) bool {
	s.k.counts.Add("appends_lost", 1)
	err := s.catchUp(s.k.ctx)
	s.mu.Lock()
	s.consecutiveLost++
	ok := err == nil && s.consecutiveLost == 1
	for _, p := range batch {
		p.maybeStored = true
	}
	s.requeue(batch)
	s.mu.Unlock()
	if !ok {
		s.markLogDown(batch)
	}
	return ok
}

// handleRejected handles an append that is proven not to be stored. Claims fail immediately unless an earlier
// append of them may be stored; outcomes and releases are retried.
func (s *stream) handleRejected(batch []*pendingEntry, err error) bool {
	s.k.counts.Add("appends_refused", 1)
	s.mu.Lock()
	for _, p := range batch {
		if p.id.kind == entryClaim && !p.maybeStored {
			s.complete(p, s.k.logUnavailableError(err))
		}
	}
	s.requeue(batch)
	s.mu.Unlock()
	s.markLogDown(batch)
	return false
}

// requeue puts incomplete entries back at the front of the queue. s.mu must be held.
func (s *stream) requeue(batch []*pendingEntry) {
	again := make([]*pendingEntry, 0, len(batch)+len(s.queue))
	for _, p := range batch {
		p.inFlight = false
		if !p.completed {
			again = append(again, p)
		}
	}
	s.queue = append(again, s.queue...)
}

// markLogDown makes new claims fail immediately until the log responds again. Queued claims that were never
// sent fail now.
func (s *stream) markLogDown(batch []*pendingEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logDown = true
	for _, p := range batch {
		p.closeAttempted()
	}
	for _, p := range s.queue {
		if p.id.kind == entryClaim && !p.maybeStored && !p.inFlight {
			s.complete(p, s.k.logUnavailableError(errLogDown))
		}
		p.closeAttempted()
	}
}

// waitDrained waits until the stream has no pending entries.
func (s *stream) waitDrained(ctx context.Context) error {
	for {
		s.mu.Lock()
		idle, changed := len(s.pending) == 0, s.changed
		s.mu.Unlock()
		if idle {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
