package claim

import (
	"context"
	"errors"
	"fmt"
	"time"

	"jacinthfork.example/jacinthfork/claim/claimpb"
	"jacinthfork.example/jacinthfork/kernel/journal"
	"jacinthfork.example/jacinthfork/verdict"
)

var (
	errLogDown   = errors.New("the last append or read failed")
	errNoRecords = errors.New("a read below the end of the stream returned no records")
)

// inProgressRetry is the Retry-After of a key that another request is running.
const inProgressRetry = time.Second

// run is one call of Keeper.Run. Its fields are guarded by stream.mu where other goroutines read
// them: claimed and nonce.
type run struct {
	k        *Keeper
	s        *stream
	h        hashed
	dispatch func(context.Context) (Outcome, error)

	nonce   id
	claimed bool // nonce is in the view and was not withdrawn
	// refusal is the error of a dispatch that proved not-run.
	refusal error
	// refreshed is set after the stream was read once for this request.
	refreshed bool
	// unrecorded is set from the dispatch until its result is handed to the log.
	unrecorded bool
	// unwatch ends the long poll of a request that waits for another instance.
	unwatch func()
}

type situation uint8

const (
	keyFree          situation = iota // no claim; this request is now the active one
	keyMine                           // this request's claim is the lowest
	keyEnded                          // the outcome is recorded
	keyMismatch                       // the key belongs to another body
	keyHolderGone                     // the holder vanished without an outcome
	keyBusyElsewhere                  // another instance holds the key
	keyBusyHere                       // another request of this instance holds the key
	streamFaulty                      // records are missing
)

type decision struct {
	situation situation
	end       ended
	holder    holder
	settled   *claimpb.Settlement
	changed   <-chan struct{}
}

// resolve decides, claims, waits and dispatches until the request has its answer.
func (r *run) resolve(ctx context.Context) (Outcome, bool, error) {
	defer r.finish()
	for {
		d := r.s.decide(r)
		switch d.situation {
		case keyFree:
			if r.refusal != nil {
				return Outcome{}, false, r.refusal
			}
			if err := r.claim(ctx); err != nil {
				return Outcome{}, false, err
			}
		case keyMine:
			out, final, err := r.execute(ctx)
			if final {
				return out, false, err
			}
		case keyEnded:
			out, err := r.replay(ctx, d)
			return out, err == nil, err
		case keyMismatch:
			return Outcome{}, false, verdict.New(verdict.NotRun, verdict.ReasonKeyMismatch,
				"the key was used with another body; this body was not sent")
		case streamFaulty:
			return Outcome{}, false, r.s.faultError()
		case keyHolderGone, keyBusyElsewhere, keyBusyHere:
			if err := r.await(ctx, d); err != nil {
				return Outcome{}, false, err
			}
		}
	}
}

// decide says what the known records mean for r. A request that finds the key free becomes the
// active one of its key in this instance.
func (s *stream) decide(r *run) decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := decision{changed: s.changed}
	if state := s.view.keys[r.h.key]; state != nil {
		d.settled = state.settlement
		if state.outcome != nil {
			d.end = *state.outcome
			d.situation = endedOrMismatch(state.outcome.fingerprint, r)
			return d
		}
		if len(state.claims) > 0 {
			return s.decideHeld(r, d, state.claims[0])
		}
	}
	if s.fault != nil {
		d.situation = streamFaulty
		return d
	}
	if other := s.active[r.h.key]; other != nil && other != r {
		d.situation = keyBusyHere
		return d
	}
	s.active[r.h.key] = r
	d.situation = keyFree
	return d
}

func endedOrMismatch(fingerprint id, r *run) situation {
	if fingerprint != r.h.fingerprint {
		return keyMismatch
	}
	return keyEnded
}

// decideHeld handles a key whose lowest claim was not released and has no outcome.
func (s *stream) decideHeld(r *run, d decision, lowest held) decision {
	d.holder = *lowest.holder
	switch {
	case r.claimed && lowest.nonce == r.nonce:
		d.situation = keyMine
	case s.fault != nil:
		d.situation = streamFaulty
	case lowest.fingerprint != r.h.fingerprint:
		d.situation = keyMismatch
	case s.isActive(r.h.key, lowest.nonce):
		d.situation = keyBusyHere
	case s.k.isGone(d.holder):
		d.situation = keyHolderGone
	default:
		d.situation = keyBusyElsewhere
	}
	return d
}

func (s *stream) isActive(key, nonce id) bool {
	r := s.active[key]
	return r != nil && r.nonce == nonce
}

// isGone is called for claims that no active request of this instance has.
func (k *Keeper) isGone(h holder) bool {
	if h.instance == k.opts.Instance && h.incarnation <= k.opts.Incarnation {
		return true
	}
	return k.opts.Holder(h.instance, h.incarnation) == Gone
}

func (s *stream) faultError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// claim appends the claim of this request and waits until it and everything below it is read.
func (r *run) claim(ctx context.Context) error {
	p, err := r.s.offer(r)
	if err != nil {
		return err
	}
	select {
	case <-p.done:
	case <-ctx.Done():
		return r.s.abandon(ctx, r, p)
	}
	if p.err != nil {
		r.k.pending.Add(-1)
		return p.err
	}
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	r.claimed = true
	return nil
}

// offer queues a claim. It fails at once when the log is down or a bound is reached.
func (s *stream) offer(r *run) (*pending, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, s.k.logError(errLogDown)
	}
	if s.k.memory.Load() > s.k.opts.MaxMemory {
		return nil, overCapacity("claims in memory are at their bound")
	}
	r.nonce = newNonce()
	p := newPending(r.entry(&claimpb.Entry_Claim{Claim: r.claimRecord()}))
	if p.size > s.k.opts.MaxRecord/2 {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonTooLarge, "organisation, method and path exceed the size of a log record")
	}
	if !s.k.takeSlot() {
		return nil, overCapacity("too many claims and outcomes wait for the log")
	}
	s.enqueue(p)
	return p, nil
}

func overCapacity(detail string) *verdict.Error {
	e := verdict.New(verdict.NotRun, verdict.ReasonOverCapacity, detail)
	e.RetryAfter = inProgressRetry
	return e
}

func (r *run) claimRecord() *claimpb.Claim {
	return &claimpb.Claim{
		Organisation:   []byte(r.h.action.Organisation),
		Method:         []byte(r.h.action.Method),
		Path:           []byte(r.h.action.Path),
		IdempotencyKey: r.h.keyText,
		Fingerprint:    r.h.fingerprint[:],
		Instance:       r.k.opts.Instance,
		Incarnation:    r.k.opts.Incarnation,
	}
}

// abandon decides that the claim p is never dispatched. A copy that may be in the log, now or
// later, is released.
func (s *stream) abandon(ctx context.Context, r *run, p *pending) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent := p.settled || p.inflight || p.maybeStored
	refused := p.settled && p.err != nil
	s.settle(p, nil)
	if !sent || refused {
		s.k.pending.Add(-1)
		return contextError(ctx, "waiting for the claim")
	}
	s.k.counts.Add("claims_abandoned", 1)
	s.release(r)
	return contextError(ctx, "the claim was not confirmed in time")
}

// release withdraws the nonce of r, in the view at once and in the log when it can. s.mu is held.
func (s *stream) release(r *run) *pending {
	p := newPending(r.entry(&claimpb.Entry_Release{Release: &claimpb.Release{}}))
	p.freesSlot = true
	r.claimed = false
	s.view.apply(p.entry, 0, false)
	s.enqueue(p)
	s.settled()
	return p
}

// await waits for a change of a key that another request holds.
func (r *run) await(ctx context.Context, d decision) error {
	if d.situation != keyBusyHere && !r.refreshed {
		r.refreshed = true
		// A failed read leaves the known records, which give a true answer as well.
		_ = r.s.catchUp(ctx)
		return nil
	}
	if d.situation == keyHolderGone {
		return r.holderGone(d)
	}
	if d.situation == keyBusyElsewhere && r.unwatch == nil {
		r.unwatch = r.s.watch()
	}
	// The holder can vanish without any record, so the decision is repeated after a while.
	timer := time.NewTimer(r.k.opts.PollWait)
	defer timer.Stop()
	select {
	case <-d.changed:
	case <-timer.C:
	case <-ctx.Done():
		return inProgress(d)
	}
	return nil
}

// HeldError is the error of a request whose key is in progress at another instance, which can be
// asked for the outcome. It wraps a *verdict.Error with ReasonKeyInProgress.
type HeldError struct {
	Instance    string
	Incarnation uint64
	Err         *verdict.Error
}

// Error implements the error interface.
func (e *HeldError) Error() string { return fmt.Sprintf("%v at %s", e.Err, e.Instance) }

// Unwrap returns the *verdict.Error.
func (e *HeldError) Unwrap() error { return e.Err }

func inProgress(d decision) error {
	e := verdict.New(verdict.Unknown, verdict.ReasonKeyInProgress, "another request with this key is in progress")
	e.RetryAfter = inProgressRetry
	if d.situation != keyBusyElsewhere {
		return e
	}
	return &HeldError{Instance: d.holder.instance, Incarnation: d.holder.incarnation, Err: e}
}

func (r *run) holderGone(d decision) error {
	r.k.note(r.h, "outcome unknown: the holder vanished",
		journal.Field{Name: "holder", Value: d.holder.instance},
		journal.Field{Name: "incarnation", Value: fmt.Sprint(d.holder.incarnation)})
	return verdict.New(verdict.Unknown, verdict.ReasonKeyOutcomeLost,
		fmt.Sprintf("the holder %s of the key vanished%s", d.holder.instance, settlementText(d.settled)))
}

func settlementText(s *claimpb.Settlement) string {
	if s == nil {
		return ""
	}
	finding := "not executed"
	if s.GetExecuted() {
		finding = "executed"
	}
	return fmt.Sprintf("; settled by %s as %s: %s", s.GetOperator(), finding, s.GetNote())
}
