package claim

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"jacinthfork.example/jacinthfork/claim/claimpb"
	"jacinthfork.example/jacinthfork/services"
	"jacinthfork.example/jacinthfork/verdict"
)

// batchOverhead is the most bytes that the encoding adds to one entry of a batch.
const batchOverhead = 8

// entryKind separates the entries of one nonce.
type entryKind uint8

const (
	entryClaim entryKind = iota
	entryOutcome
	entryRelease
	entrySettlement
)

type waitKey struct {
	nonce id
	kind  entryKind
}

func waitKeyOf(e *claimpb.Entry) waitKey {
	key := waitKey{nonce: idOf(e.GetNonce())}
	switch e.GetKind().(type) {
	case *claimpb.Entry_Outcome:
		key.kind = entryOutcome
	case *claimpb.Entry_Release:
		key.kind = entryRelease
	case *claimpb.Entry_Settlement:
		key.kind = entrySettlement
	}
	return key
}

// pending is an entry that is not known to be in the log. Its fields are guarded by stream.mu; err
// can be read after done is closed.
type pending struct {
	entry *claimpb.Entry
	key   waitKey
	size  int
	// inflight is set during an append, maybeStored after one whose answer was lost.
	inflight    bool
	maybeStored bool
	// tried is closed after the first append that failed, and with done.
	tried   chan struct{}
	done    chan struct{}
	settled bool
	err     *verdict.Error
	// freesSlot is set on the last entry of a claim.
	freesSlot bool
	// reserved is the part of Keeper.pendingBytes that belongs to this entry.
	reserved int
}

func newPending(e *claimpb.Entry) *pending {
	return &pending{
		entry: e,
		key:   waitKeyOf(e),
		size:  proto.Size(e),
		tried: make(chan struct{}),
		done:  make(chan struct{}),
	}
}

func (p *pending) closeTried() {
	select {
	case <-p.tried:
	default:
		close(p.tried)
	}
}

// settle ends the wait for an entry. s.mu is held.
func (s *stream) settle(p *pending, err *verdict.Error) {
	if p.settled {
		return
	}
	p.settled = true
	p.err = err
	delete(s.waiting, p.key)
	p.closeTried()
	close(p.done)
	if p.freesSlot {
		s.k.pending.Add(-1)
	}
	s.k.pendingBytes.Add(-int64(p.reserved))
}

// enqueue hands an entry to the flusher. s.mu is held.
func (s *stream) enqueue(p *pending) {
	s.waiting[p.key] = p
	if s.fault != nil {
		s.settle(p, s.fault)
		return
	}
	s.queue = append(s.queue, p)
	if p.key.kind != entryOutcome {
		select {
		case s.nudge <- struct{}{}:
		default:
		}
	}
	if s.flushing {
		return
	}
	s.flushing = s.k.start(s, s.flush)
}

// flush appends batches until the queue is empty.
func (s *stream) flush() {
	for {
		s.gather()
		batch := s.take()
		if batch == nil {
			return
		}
		if s.send(batch) {
			continue
		}
		sleep(s.k.ctx, s.k.opts.RetryInterval)
	}
}

// gather waits for entries that can share the next append.
func (s *stream) gather() {
	s.mu.Lock()
	pause := s.k.opts.AppendInterval - time.Since(s.lastAppend)
	onlyOutcomes := !s.down
	for _, p := range s.queue {
		onlyOutcomes = onlyOutcomes && p.key.kind == entryOutcome
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
	case <-s.nudge:
	case <-s.k.ctx.Done():
	}
}

// take returns the next batch, or nil when there is nothing to append.
func (s *stream) take() []*pending {
	s.mu.Lock()
	defer s.mu.Unlock()
	var batch []*pending
	size := 0
	for len(s.queue) > 0 && len(batch) < maxBatchEntries {
		p := s.queue[0]
		if len(batch) > 0 && size+p.size > s.k.opts.MaxRecord-batchOverhead*len(batch) {
			break
		}
		s.queue = s.queue[1:]
		if p.settled {
			continue
		}
		p.inflight = true
		size += p.size
		batch = append(batch, p)
	}
	if batch == nil || s.k.ctx.Err() != nil {
		s.flushing = false
		s.down = false
		return nil
	}
	select {
	case <-s.nudge:
	default:
	}
	s.lastAppend = time.Now()
	return batch
}

// send appends one batch and reports whether the log answered.
func (s *stream) send(batch []*pending) bool {
	message := &claimpb.Batch{}
	for _, p := range batch {
		message.Entries = append(message.Entries, p.entry)
	}
	payload, err := proto.Marshal(message)
	if err != nil {
		return s.refused(batch, err)
	}
	s.k.counts.Add("appends", 1)
	s.k.counts.Add("append_entries", int64(len(batch)))
	ctx, cancel := context.WithTimeout(s.k.ctx, s.k.opts.AppendTimeout)
	defer cancel()
	offset, err := s.k.opts.Log.Append(ctx, s.name, payload)
	switch {
	case err == nil:
		return s.stored(offset, payload, batch)
	case services.MayBeStored(err):
		return s.lost(batch)
	default:
		return s.refused(batch, err)
	}
}

// stored brings the view up to the offset of the batch. The read of the gap is repeated until it
// succeeds, because without it nobody knows whether the claims won.
func (s *stream) stored(offset uint64, payload []byte, batch []*pending) bool {
	s.mu.Lock()
	s.lostInRow = 0
	s.down = false
	if s.fault == nil && offset == s.view.next {
		_ = s.applyRecord(offset, payload)
		s.settled()
	}
	s.mu.Unlock()
	for s.behind(offset) {
		s.k.counts.Add("gap_reads", 1)
		if s.catchUp(s.k.ctx) == nil {
			continue
		}
		s.setDown(batch)
		if !sleep(s.k.ctx, s.k.opts.RetryInterval) {
			return false
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = false
	for _, p := range batch {
		if !p.settled {
			s.fail("an append returned an offset that was already read")
		}
	}
	return true
}

func (s *stream) behind(offset uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault == nil && s.view.next <= offset
}

// lost handles an append whose answer was lost: what the stream has is settled, the rest is
// appended again with the same nonces.
func (s *stream) lost(batch []*pending) bool {
	s.k.counts.Add("appends_lost", 1)
	err := s.catchUp(s.k.ctx)
	s.mu.Lock()
	s.lostInRow++
	ok := err == nil && s.lostInRow == 1
	for _, p := range batch {
		p.maybeStored = true
	}
	s.requeue(batch)
	s.mu.Unlock()
	if !ok {
		s.setDown(batch)
	}
	return ok
}

// refused handles an append that is proven not to be stored. Claims fail at once unless an earlier
// append of them may be stored; outcomes and releases are tried again.
func (s *stream) refused(batch []*pending, err error) bool {
	s.k.counts.Add("appends_refused", 1)
	s.mu.Lock()
	for _, p := range batch {
		if p.key.kind == entryClaim && !p.maybeStored {
			s.settle(p, s.k.logError(err))
		}
	}
	s.requeue(batch)
	s.mu.Unlock()
	s.setDown(batch)
	return false
}

// requeue puts the entries that are not settled back to the front. s.mu is held.
func (s *stream) requeue(batch []*pending) {
	again := make([]*pending, 0, len(batch)+len(s.queue))
	for _, p := range batch {
		p.inflight = false
		if !p.settled {
			again = append(again, p)
		}
	}
	s.queue = append(again, s.queue...)
}

// setDown makes new claims fail at once until the log answers again. Claims that wait in the queue
// and were never sent fail now.
func (s *stream) setDown(batch []*pending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = true
	for _, p := range batch {
		p.closeTried()
	}
	for _, p := range s.queue {
		if p.key.kind == entryClaim && !p.maybeStored && !p.inflight {
			s.settle(p, s.k.logError(errLogDown))
		}
		p.closeTried()
	}
}

// drained waits until the stream has nothing to append.
func (s *stream) drained(ctx context.Context) error {
	for {
		s.mu.Lock()
		idle, changed := len(s.waiting) == 0, s.changed
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
