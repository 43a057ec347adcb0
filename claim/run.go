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

// defaultRetryAfter is the RetryAfter for a key that another request is executing, and of refusals because a
// limit of this instance is reached.
const defaultRetryAfter = time.Second

// run is one call of Executor.Run. Other goroutines read claimed and nonce, so these are guarded by stream.mu.
type run struct {
	k        *Executor
	s        *stream
	keyed    keyedAction
	dispatch func(context.Context) (Outcome, error)

	nonce   id
	claimed bool // nonce is in the view and was not withdrawn
	// notRunErr is the error of a dispatch that proved not-run.
	notRunErr error
	// caughtUp is set after the stream was read to its end for this request.
	caughtUp bool
	// outcomePending is set from the dispatch until its result is queued for the log.
	outcomePending bool
	// stopWatch stops the long poll of a request that waits for another instance.
	stopWatch func()
}

type keyStatus uint8

const (
	keyFree          keyStatus = iota // no claim; this request is now the active one
	keyOwned                          // this request's claim is the lowest
	keyCompleted                      // the outcome is recorded
	keyMismatch                       // the key belongs to another body
	keyHolderEnded                    // the holder ended without recording an outcome
	keyHeldRemotely                   // another instance holds the key
	keyHeldLocally                    // another request of this instance holds the key
	streamIncomplete                  // records are missing
)

type decision struct {
	status     keyStatus
	outcome    recordedOutcome
	holder     holder
	settlement *claimpb.Settlement
	changed    <-chan struct{}
}

// resolve evaluates the key and claims, waits or dispatches until the request has a result.
func (r *run) resolve(ctx context.Context) (Outcome, bool, error) {
	defer r.finish()
	for {
		d := r.s.decide(r)
		switch d.status {
		case keyFree:
			if r.notRunErr != nil {
				return Outcome{}, false, r.notRunErr
			}
			if err := r.claim(ctx); err != nil {
				return Outcome{}, false, err
			}
		case keyOwned:
			out, final, err := r.execute(ctx)
			if final {
				return out, false, err
			}
		case keyCompleted:
			out, err := r.replay(ctx, d)
			return out, err == nil, err
		case keyMismatch:
			return Outcome{}, false, verdict.New(verdict.NotRun, verdict.ReasonKeyMismatch,
				"the key was used with another body; this body was not sent")
		case streamIncomplete:
			return Outcome{}, false, r.s.faultError()
		case keyHolderEnded, keyHeldRemotely, keyHeldLocally:
			if err := r.waitForChange(ctx, d); err != nil {
				return Outcome{}, false, err
			}
		}
	}
}

// decide returns the state of the key of r by the known records. A request that finds the key free becomes
// the active request of that key in this instance.
func (s *stream) decide(r *run) decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := decision{changed: s.changed}
	if state := s.view.keys[r.keyed.keyHash]; state != nil {
		d.settlement = state.settlement
		if state.outcome != nil {
			d.outcome = *state.outcome
			d.status = completedOrMismatch(state.outcome.fingerprint, r)
			return d
		}
		if len(state.claims) > 0 {
			return s.decideClaimed(r, d, state.claims[0])
		}
	}
	if s.fault != nil {
		d.status = streamIncomplete
		return d
	}
	if other := s.active[r.keyed.keyHash]; other != nil && other != r {
		d.status = keyHeldLocally
		return d
	}
	s.active[r.keyed.keyHash] = r
	d.status = keyFree
	return d
}

func completedOrMismatch(fingerprint id, r *run) keyStatus {
	if fingerprint != r.keyed.fingerprint {
		return keyMismatch
	}
	return keyCompleted
}

// decideClaimed handles a key that has an unreleased claim and no outcome.
func (s *stream) decideClaimed(r *run, d decision, lowest openClaim) decision {
	d.holder = *lowest.holder
	switch {
	case r.claimed && lowest.nonce == r.nonce:
		d.status = keyOwned
	case s.fault != nil:
		d.status = streamIncomplete
	case lowest.fingerprint != r.keyed.fingerprint:
		d.status = keyMismatch
	case s.isActive(r.keyed.keyHash, lowest.nonce):
		d.status = keyHeldLocally
	case s.k.isGone(d.holder):
		d.status = keyHolderEnded
	default:
		d.status = keyHeldRemotely
	}
	return d
}

func (s *stream) isActive(key, nonce id) bool {
	r := s.active[key]
	return r != nil && r.nonce == nonce
}

// isGone reports whether the holder has ended. It must not be called for the claim of an active request of
// this instance, because it treats this incarnation as ended.
func (k *Executor) isGone(h holder) bool {
	if h.instance == k.opts.Instance && h.incarnation <= k.opts.Incarnation {
		return true
	}
	return k.opts.HolderLiveness(h.instance, h.incarnation) == LivenessEnded
}

func (s *stream) faultError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// claim appends the claim of this request and waits until it and all records below it have been read.
func (r *run) claim(ctx context.Context) error {
	p, err := r.s.enqueueClaim(r)
	if err != nil {
		return err
	}
	select {
	case <-p.done:
	case <-ctx.Done():
		return r.s.abandon(ctx, r, p)
	}
	if p.err != nil {
		r.k.pendingSlots.Add(-1)
		return p.err
	}
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	r.claimed = true
	return nil
}

// enqueueClaim queues a claim. It fails immediately if the log is down or a limit is reached.
func (s *stream) enqueueClaim(r *run) (*pendingEntry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.logDown {
		return nil, s.k.logUnavailableError(errLogDown)
	}
	if s.k.memoryBytes.Load() > s.k.opts.MaxMemory {
		return nil, overCapacityError("claims in memory are at their bound")
	}
	r.nonce = newNonce()
	p := newPendingEntry(r.entry(&claimpb.Entry_Claim{Claim: r.claimRecord()}))
	// The other half of a record is ample for the framing of the batch.
	if p.size > s.k.opts.MaxRecordBytes/2 {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonTooLarge, "organisation, method and path exceed the size of a log record")
	}
	if !s.k.reserveSlot() {
		return nil, overCapacityError("too many claims and outcomes wait for the log")
	}
	s.enqueue(p)
	return p, nil
}

func overCapacityError(detail string) *verdict.Error {
	e := verdict.New(verdict.NotRun, verdict.ReasonOverCapacity, detail)
	e.RetryAfter = defaultRetryAfter
	return e
}

func (r *run) claimRecord() *claimpb.Claim {
	return &claimpb.Claim{
		Organisation:   []byte(r.keyed.action.Organisation),
		Method:         []byte(r.keyed.action.Method),
		Path:           []byte(r.keyed.action.Path),
		IdempotencyKey: r.keyed.keyText,
		Fingerprint:    r.keyed.fingerprint[:],
		Instance:       r.k.opts.Instance,
		Incarnation:    r.k.opts.Incarnation,
	}
}

// abandon gives up the claim p, which is then never dispatched. If a copy may be in the log, now or later, it
// appends a release.
func (s *stream) abandon(ctx context.Context, r *run, p *pendingEntry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent := p.completed || p.inFlight || p.maybeStored
	rejected := p.completed && p.err != nil
	s.complete(p, nil)
	if !sent || rejected {
		s.k.pendingSlots.Add(-1)
		return contextError(ctx, "waiting for the claim")
	}
	s.k.counts.Add("claims_abandoned", 1)
	s.enqueueRelease(r)
	return contextError(ctx, "the claim was not confirmed in time")
}

// enqueueRelease releases the nonce of r in the view and queues the release for the log. s.mu must be held.
func (s *stream) enqueueRelease(r *run) *pendingEntry {
	p := newPendingEntry(r.entry(&claimpb.Entry_Release{Release: &claimpb.Release{}}))
	p.freesSlot = true
	r.claimed = false
	s.view.apply(p.entry, 0, false)
	s.enqueue(p)
	s.notifyChanged()
	return p
}

// waitForChange waits for a change of a key that another request holds.
func (r *run) waitForChange(ctx context.Context, d decision) error {
	if d.status != keyHeldLocally && !r.caughtUp {
		r.caughtUp = true
		// After a failed read the decision is based on the records known so far, which is also correct.
		_ = r.s.catchUp(ctx)
		return nil
	}
	if d.status == keyHolderEnded {
		return r.holderEndedError(d)
	}
	if d.status == keyHeldRemotely && r.stopWatch == nil {
		r.stopWatch = r.s.watch()
	}
	// The holder can fail without writing a record, so the decision is repeated after PollWait.
	timer := time.NewTimer(r.k.opts.PollWait)
	defer timer.Stop()
	select {
	case <-d.changed:
	case <-timer.C:
	case <-ctx.Done():
		return inProgressError(d)
	}
	return nil
}

// HeldError is the error of a request whose key is in progress at another instance, from which the outcome
// can be requested. It wraps a *verdict.Error with ReasonKeyInProgress.
type HeldError struct {
	Instance    string
	Incarnation uint64
	Err         *verdict.Error
}

// Error implements the error interface.
func (e *HeldError) Error() string { return fmt.Sprintf("%v at %s", e.Err, e.Instance) }

// Unwrap returns the *verdict.Error.
func (e *HeldError) Unwrap() error { return e.Err }

func inProgressError(d decision) error {
	e := verdict.New(verdict.Unknown, verdict.ReasonKeyInProgress, "another request with this key is in progress")
	e.RetryAfter = defaultRetryAfter
	if d.status != keyHeldRemotely {
		return e
	}
	return &HeldError{Instance: d.holder.instance, Incarnation: d.holder.incarnation, Err: e}
}

func (r *run) holderEndedError(d decision) error {
	r.k.addJournalEntry(r.keyed, "outcome unknown: the holder ended without recording one",
		journal.Field{Name: "holder", Value: d.holder.instance},
		journal.Field{Name: "incarnation", Value: fmt.Sprint(d.holder.incarnation)})
	return verdict.New(verdict.Unknown, verdict.ReasonKeyOutcomeUnknown,
		fmt.Sprintf("the holder %s of the key vanished%s", d.holder.instance, settlementText(d.settlement)))
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
