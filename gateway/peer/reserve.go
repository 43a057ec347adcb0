package peer

import (
	"context"
	"time"

	"jacinthfork.example/jacinthfork/gateway/peer/peerpb"
)

// NextSequence returns the sequence number of a new reservation or question.
func (f *Fleet) NextSequence() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sequence++
	return f.sequence
}

// Reserve asks a router for a place at an instance that it keeps. ok is false if it did not answer in time, or
// is silent while the request may wait there, and the caller then decides alone; the place may be taken, or waited for, all the same.
func (f *Fleet) Reserve(ctx context.Context, node string, r *peerpb.Reserve) (answer *peerpb.Reserved, ok bool) {
	wait := time.Duration(r.GetWaitMs()) * time.Millisecond
	m := f.ask(ctx, node, r.GetSequence(), &peerpb.Message{Reserve: r}, f.answerTimeout+wait)
	return m.GetReserved(), m.GetReserved() != nil
}

// Locate asks a router for the instances that may hold a document of its directory. ok is false if it did not answer in
// time.
func (f *Fleet) Locate(ctx context.Context, node string, l *peerpb.Locate) (answer *peerpb.Located, ok bool) {
	m := f.ask(ctx, node, l.GetSequence(), &peerpb.Message{Locate: l}, f.answerTimeout)
	return m.GetLocated(), m.GetLocated() != nil
}

// ask sends a router a question and returns the message with the answer to its sequence number, or nil if there was none
// in time.
func (f *Fleet) ask(ctx context.Context, node string, sequence uint64, question *peerpb.Message, timeout time.Duration) *peerpb.Message {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	l := f.awaitLink(ctx, node, timer.C)
	if l == nil {
		return nil
	}
	answers := make(chan *peerpb.Message, 1)
	f.mu.Lock()
	f.pending[sequence] = answers
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		delete(f.pending, sequence)
		f.mu.Unlock()
	}()
	askedAt := time.Now()
	l.send(question)
	var check <-chan time.Time
	if timeout > f.answerTimeout+probeTimeout {
		// A keeper may be silent, rather than let the request wait.
		ticker := time.NewTicker(checkInterval)
		defer ticker.Stop()
		check = ticker.C
	}
	for waiting := true; waiting; {
		select {
		case answer := <-answers:
			return answer
		case <-ctx.Done():
			return nil
		case <-l.ctx.Done():
			return nil
		case <-check:
			waiting = !f.isSilent(l)
		case <-timer.C:
			waiting = false
		}
	}
	select {
	case answer := <-answers:
		return answer
	default:
	}
	f.avoid(node)
	if l.silence.timedOut(askedAt, time.Now()) {
		l.close()
	}
	return nil
}

// isSilent reports whether the router at the other side of a link has not answered a liveness probe, and sends one now and then: a
// question for the instances that hold no document, which every version answers at once.
func (f *Fleet) isSilent(l *link) bool {
	ask, silent := l.silence.check(time.Now())
	if ask {
		l.send(&peerpb.Message{Locate: &peerpb.Locate{Sequence: f.NextSequence()}})
	}
	return silent
}

// awaitLink returns a link to a router, and waits for one to open. It returns nil if the router cannot be reached in
// time or has not answered just before.
func (f *Fleet) awaitLink(ctx context.Context, node string, timeout <-chan time.Time) *link {
	now := time.Now()
	f.mu.Lock()
	m := f.members.get(node)
	if m == nil || f.avoidUntil[node].After(now) {
		f.mu.Unlock()
		return nil
	}
	if l := f.linkTo(node); l != nil {
		f.mu.Unlock()
		return l
	}
	d := f.connect(node, m.GetAddress(), now)
	if d == nil {
		f.mu.Unlock()
		return nil
	}
	done := d.done
	f.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
		return nil
	case <-timeout:
		// A link that opens now, from the other side, is too late: no time is left to wait for an answer.
		f.avoid(node)
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.linkTo(node)
}

func (f *Fleet) avoid(node string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.avoidUntil[node] = time.Now().Add(reserveBackoff)
}

// answer passes an answer on to the request that waits for it.
func (f *Fleet) answer(sequence uint64, m *peerpb.Message) {
	f.mu.Lock()
	answers := f.pending[sequence]
	delete(f.pending, sequence)
	f.mu.Unlock()
	if answers != nil {
		answers <- m
	}
}

// Tell sends a router a message that needs no answer. If there is no link, the message is dropped, an attempt to connect
// starts, and Tell returns false. The handler is told of a message that may have been lost with the link.
func (f *Fleet) Tell(node string, m *peerpb.Message) (sent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l := f.linkTo(node); l != nil {
		return l.send(m)
	}
	if known := f.members.get(node); known != nil {
		f.connect(node, known.GetAddress(), time.Now())
	}
	return false
}
