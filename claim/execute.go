package claim

import (
	"bytes"
	"context"
	"errors"

	"jacinthfork.example/jacinthfork/claim/claimpb"
	"jacinthfork.example/jacinthfork/kernel/journal"
	"jacinthfork.example/jacinthfork/verdict"
)

// headerOverhead is the maximum number of bytes that the encoding adds to one header field.
const headerOverhead = 16

// execute dispatches the action of the lowest unreleased claim of its key. final is false if the dispatch
// proved not-run: the claim is then being released, and another request may hold the key.
func (r *run) execute(ctx context.Context) (out Outcome, final bool, err error) {
	if ctx.Err() != nil {
		return Outcome{}, true, contextError(ctx, "the claim was confirmed too late")
	}
	// The process may have been paused since the first check for so long that earlier records of the key
	// expired together with their stream.
	if err := r.k.checkWindow(r.keyed); err != nil {
		return Outcome{}, true, err
	}
	if err := r.k.checkLayout(ctx); err != nil {
		return Outcome{}, true, err
	}
	r.outcomePending = true
	out, err = r.dispatch(ctx)
	switch verdict.Of(err) {
	case verdict.NotRun:
		r.outcomePending = false
		r.notRunErr = err
		r.releaseAndWait(ctx)
		return Outcome{}, false, nil
	case verdict.Ran:
		r.s.recordOutcome(r, r.outcomeRecord(out, err))
	default:
		r.k.addJournalEntry(r.keyed, "outcome unknown", journal.Field{Name: "error", Value: err.Error()})
		r.s.recordOutcome(r, &claimpb.Outcome{AnswerOmitted: true})
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

// releaseAndWait releases the claim and waits until the release is in the log, so that a retry at another
// sidecar finds the key free. It stops waiting if an append fails or ctx ends.
func (r *run) releaseAndWait(ctx context.Context) {
	r.s.mu.Lock()
	p := r.s.enqueueRelease(r)
	r.s.mu.Unlock()
	select {
	case <-p.done:
	case <-p.attempted:
	case <-ctx.Done():
	}
}

// outcomeRecord returns the record of an action that ran. It omits the response if that exceeds a limit: at
// most half of a record for the body (see Options.validate) and a quarter for the headers, so that both fit
// into one record together with the framing.
func (r *run) outcomeRecord(out Outcome, err error) *claimpb.Outcome {
	o := &claimpb.Outcome{Verdict: claimpb.Outcome_RAN, Status: int32(out.Status)}
	headers := 0
	for _, h := range out.Headers {
		headers += len(h.Name) + len(h.Value) + headerOverhead
	}
	tooLarge := len(out.Body) > r.k.opts.MaxResponseBytes || headers > r.k.opts.MaxRecordBytes/4
	if err != nil || tooLarge || !r.k.reserveBytes(len(out.Body)) {
		o.AnswerOmitted = true
		return o
	}
	// The caller may modify its slice after Run returns.
	o.Body = bytes.Clone(out.Body)
	for _, h := range out.Headers {
		o.Headers = append(o.Headers, &claimpb.Header{Name: []byte(h.Name), Value: []byte(h.Value)})
	}
	return o
}

// recordOutcome applies the outcome to the view, so that this instance can replay it to duplicates, and
// queues it for the log. No request waits for that append.
func (s *stream) recordOutcome(r *run, o *claimpb.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := newPendingEntry(r.entry(&claimpb.Entry_Outcome{Outcome: o}))
	p.freesSlot = true
	p.reservedBytes = len(o.GetBody())
	r.outcomePending = false
	r.claimed = false
	s.view.apply(p.entry, 0, false)
	s.enqueue(p)
	s.notifyChanged()
}

func (r *run) entry(kind claimpb.EntryKind) *claimpb.Entry {
	return claimpb.NewEntry(r.keyed.keyHash[:], r.nonce, kind)
}

// finish releases a claim that was not dispatched and lets the next request with the key continue. A dispatch
// that panicked is recorded as unknown.
func (r *run) finish() {
	if r.stopWatch != nil {
		r.stopWatch()
	}
	if r.outcomePending {
		r.s.recordOutcome(r, &claimpb.Outcome{AnswerOmitted: true})
	}
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	if r.claimed {
		r.s.enqueueRelease(r)
	}
	if r.s.active[r.keyed.keyHash] == r {
		delete(r.s.active, r.keyed.keyHash)
		r.s.notifyChanged()
	}
}

// replay returns the recorded outcome.
func (r *run) replay(ctx context.Context, d decision) (Outcome, error) {
	switch {
	case !d.outcome.ran:
		return Outcome{}, verdict.New(verdict.Unknown, verdict.ReasonKeyOutcomeUnknown,
			"the holder of the key could not tell whether the action ran"+settlementText(d.settlement))
	case d.outcome.responseOmitted:
		return Outcome{}, verdict.New(verdict.Ran, verdict.ReasonKeyAnswerNotKept,
			"the action ran; its answer was incomplete or over the limit and was not kept")
	case d.outcome.response == nil:
		return r.readResponse(ctx, d.outcome)
	}
	return d.outcome.response.clone(), nil
}

// readResponse reads from the log a response that was dropped from memory.
func (r *run) readResponse(ctx context.Context, recorded recordedOutcome) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, r.k.opts.AppendTimeout)
	defer cancel()
	page, err := r.k.opts.Log.Read(ctx, r.s.name, recorded.offset, 1, 0)
	if err != nil {
		e := verdict.Wrap(verdict.Ran, verdict.ReasonLogUnavailable, err)
		e.Detail = "the action ran; its answer cannot be read now: " + e.Detail
		e.RetryAfter = r.k.opts.RetryInterval
		return Outcome{}, e
	}
	for _, record := range page.Records {
		entries, err := decode(record.Payload)
		if err != nil || record.Offset != recorded.offset {
			break
		}
		for _, e := range entries {
			if o := e.GetOutcome(); o != nil && idFromBytes(e.GetNonce()) == recorded.nonce {
				return *responseOf(o), nil
			}
		}
	}
	return Outcome{}, verdict.New(verdict.Ran, verdict.ReasonKeyAnswerNotKept,
		"the action ran; its answer has expired from the log")
}

// clone returns a deep copy, because callers may modify the response they receive.
func (o *Outcome) clone() Outcome {
	return Outcome{
		Status:  o.Status,
		Headers: append([]Header(nil), o.Headers...),
		Body:    bytes.Clone(o.Body),
	}
}
