package claim

import (
	"bytes"
	"context"
	"errors"

	"jacinthfork.example/jacinthfork/claim/claimpb"
	"jacinthfork.example/jacinthfork/kernel/journal"
	"jacinthfork.example/jacinthfork/verdict"
)

// headerOverhead is the most bytes that the encoding adds to one header field.
const headerOverhead = 16

// execute dispatches the action of a claim that won. final is false after a proven not-run, when
// the release is under way and another request may hold the key.
func (r *run) execute(ctx context.Context) (out Outcome, final bool, err error) {
	if ctx.Err() != nil {
		return Outcome{}, true, contextError(ctx, "the claim was confirmed too late")
	}
	// A holder that was paused since the first check may have a key whose earlier records expired
	// together with their stream.
	if err := r.k.checkWindow(r.h); err != nil {
		return Outcome{}, true, err
	}
	if err := r.k.checkLayout(ctx); err != nil {
		return Outcome{}, true, err
	}
	r.unrecorded = true
	out, err = r.dispatch(ctx)
	switch verdict.Of(err) {
	case verdict.NotRun:
		r.unrecorded = false
		r.refusal = err
		r.awaitRelease(ctx)
		return Outcome{}, false, nil
	case verdict.Ran:
		r.s.record(r, r.outcome(out, err))
	default:
		r.k.note(r.h, "outcome unknown", journal.Field{Name: "error", Value: err.Error()})
		r.s.record(r, &claimpb.Outcome{AnswerOmitted: true})
	}
	return out, true, withVerdict(err)
}

// withVerdict makes err an error that is or wraps a *verdict.Error.
func withVerdict(err error) error {
	var e *verdict.Error
	if err == nil || errors.As(err, &e) {
		return err
	}
	return verdict.As(err)
}

// awaitRelease releases the claim and waits until the release is in the log, so that a retry at
// another sidecar finds the key free. A log that does not answer is not waited for.
func (r *run) awaitRelease(ctx context.Context) {
	r.s.mu.Lock()
	p := r.s.release(r)
	r.s.mu.Unlock()
	select {
	case <-p.done:
	case <-p.tried:
	case <-ctx.Done():
	}
}

// outcome returns the record of an action that ran, without the answer if that is over a bound.
func (r *run) outcome(out Outcome, err error) *claimpb.Outcome {
	o := &claimpb.Outcome{Verdict: claimpb.Outcome_RAN, Status: int32(out.Status)}
	headers := 0
	for _, h := range out.Headers {
		headers += len(h.Name) + len(h.Value) + headerOverhead
	}
	tooLarge := len(out.Body) > r.k.opts.MaxAnswer || headers > r.k.opts.MaxRecord/4
	if err != nil || tooLarge || !r.k.reserveBytes(len(out.Body)) {
		o.AnswerOmitted = true
		return o
	}
	// The caller may change its slice after Run returns.
	o.Body = bytes.Clone(out.Body)
	for _, h := range out.Headers {
		o.Headers = append(o.Headers, &claimpb.Header{Name: []byte(h.Name), Value: []byte(h.Value)})
	}
	return o
}

// record applies the outcome to the view, so that repeats at this instance are answered from now
// on, and queues it for the log. Nobody waits for that append.
func (s *stream) record(r *run, o *claimpb.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := newPending(r.entry(&claimpb.Entry_Outcome{Outcome: o}))
	p.freesSlot = true
	p.reserved = len(o.GetBody())
	r.unrecorded = false
	r.claimed = false
	s.view.apply(p.entry, 0, false)
	s.enqueue(p)
	s.settled()
}

func (r *run) entry(kind claimpb.EntryKind) *claimpb.Entry {
	return claimpb.NewEntry(r.h.key[:], r.nonce, kind)
}

// finish withdraws a claim that was not dispatched and lets the next request of the key go on. A
// dispatch that panicked counts as unknown.
func (r *run) finish() {
	if r.unwatch != nil {
		r.unwatch()
	}
	if r.unrecorded {
		r.s.record(r, &claimpb.Outcome{AnswerOmitted: true})
	}
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	if r.claimed {
		r.s.release(r)
	}
	if r.s.active[r.h.key] == r {
		delete(r.s.active, r.h.key)
		r.s.settled()
	}
}

// replay returns the recorded outcome.
func (r *run) replay(ctx context.Context, d decision) (Outcome, error) {
	switch {
	case !d.end.ran:
		return Outcome{}, verdict.New(verdict.Unknown, verdict.ReasonKeyOutcomeLost,
			"the holder of the key could not tell whether the action ran"+settlementText(d.settled))
	case d.end.omitted:
		return Outcome{}, verdict.New(verdict.Ran, verdict.ReasonKeyAnswerGone,
			"the action ran; its answer was incomplete or over the limit and was not kept")
	case d.end.answer == nil:
		return r.fetch(ctx, d.end)
	}
	return d.end.answer.clone(), nil
}

// fetch reads an answer that was dropped from memory.
func (r *run) fetch(ctx context.Context, end ended) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, r.k.opts.AppendTimeout)
	defer cancel()
	page, err := r.k.opts.Log.Read(ctx, r.s.name, end.offset, 1, 0)
	if err != nil {
		e := verdict.Wrap(verdict.Ran, verdict.ReasonLogUnavailable, err)
		e.Detail = "the action ran; its answer cannot be read now: " + e.Detail
		e.RetryAfter = r.k.opts.RetryInterval
		return Outcome{}, e
	}
	for _, record := range page.Records {
		entries, err := decode(record.Payload)
		if err != nil || record.Offset != end.offset {
			break
		}
		for _, e := range entries {
			if o := e.GetOutcome(); o != nil && idOf(e.GetNonce()) == end.nonce {
				return *answerOf(o), nil
			}
		}
	}
	return Outcome{}, verdict.New(verdict.Ran, verdict.ReasonKeyAnswerGone,
		"the action ran; its answer has expired from the log")
}

// clone returns a copy that shares no memory, because each caller owns its answer.
func (o *Outcome) clone() Outcome {
	return Outcome{
		Status:  o.Status,
		Headers: append([]Header(nil), o.Headers...),
		Body:    bytes.Clone(o.Body),
	}
}
