package claim

import (
	"context"
	"fmt"
	"time"

	"jacinthfork.example/jacinthfork/claim/claimpb"
	"jacinthfork.example/jacinthfork/kernel/journal"
	"jacinthfork.example/jacinthfork/verdict"
)

// ClaimInfo describes an unreleased claim of a key for an operator.
type ClaimInfo struct {
	Instance    string
	Incarnation uint64
	Nonce       string
}

// Settlement is an operator's finding about an action of unknown outcome.
type Settlement struct {
	Operator string
	// Executed is whether the operator found that the backend server executed the action.
	Executed bool
	Note     string
	// Time is when the finding was recorded. Settle sets it and ignores the given value.
	Time time.Time
}

// KeyState is the state of a key according to the log.
type KeyState struct {
	Stream string
	// Claims are the unreleased claims in log order; only the first may be dispatched. Empty after an outcome.
	Claims []ClaimInfo
	// HasOutcome is set when an outcome is recorded. Verdict is then Ran or Unknown.
	HasOutcome bool
	Verdict    verdict.Verdict
	// Response is the recorded response, or nil if it was omitted from the record or dropped from memory.
	Response *Outcome
	// Settlement is the last finding of an operator, or nil.
	Settlement *Settlement
}

// Unclaimed reports whether the key has neither an unreleased claim nor an outcome.
func (s KeyState) Unclaimed() bool { return !s.HasOutcome && len(s.Claims) == 0 }

// State reads the key's stream to its end and returns the state of the key. It does not check the acceptance
// window, so that an operator can inspect old keys. a.Body is ignored. The error is a *verdict.Error.
func (k *Executor) State(ctx context.Context, a Action) (KeyState, error) {
	keyed, err := k.parseAction(a)
	if err != nil {
		return KeyState{}, err
	}
	if err := k.checkLayout(ctx); err != nil {
		return KeyState{}, err
	}
	s, err := k.acquireStream(keyed.stream)
	if err != nil {
		return KeyState{}, err
	}
	defer k.releaseStream(s)
	if err := s.load(ctx); err != nil {
		return KeyState{}, err
	}
	if err := s.catchUp(ctx); err != nil {
		return KeyState{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.keyState(s.name, keyed.keyHash), nil
}

func (v *view) keyState(name string, key id) KeyState {
	out := KeyState{Stream: name}
	state := v.keys[key]
	if state == nil {
		return out
	}
	for _, c := range state.claims {
		out.Claims = append(out.Claims, ClaimInfo{c.holder.instance, c.holder.incarnation, fmt.Sprintf("%x", c.nonce[:])})
	}
	if recorded := state.outcome; recorded != nil {
		out.HasOutcome = true
		if recorded.ran {
			out.Verdict = verdict.Ran
		}
		if recorded.response != nil {
			response := recorded.response.clone()
			out.Response = &response
		}
	}
	if f := state.settlement; f != nil {
		out.Settlement = &Settlement{string(f.GetOperator()), f.GetExecuted(), string(f.GetNote()), time.UnixMilli(f.GetTimeUnixMs())}
	}
	return out
}

// Settle appends an operator's finding about an action of unknown outcome. It is an audit record: the key
// stays blocked and later requests still get unknown, with the finding in the detail, because a paused holder
// may still dispatch the action. It returns ReasonBadRequest for a settlement without Operator, and for a key
// that is free, has a known outcome, or is in progress at a holder that is not known to have ended. The error
// is a *verdict.Error.
func (k *Executor) Settle(ctx context.Context, a Action, f Settlement) error {
	state, err := k.State(ctx, a)
	if err != nil {
		return err
	}
	if reason := k.settlementConflict(state, f); reason != "" {
		return verdict.New(verdict.Unknown, verdict.ReasonBadRequest, reason)
	}
	keyed, err := k.parseAction(a)
	if err != nil {
		return err
	}
	s, err := k.acquireStream(keyed.stream)
	if err != nil {
		return err
	}
	defer k.releaseStream(s)
	p := newPendingEntry(claimpb.NewEntry(keyed.keyHash[:], newNonce(), &claimpb.Entry_Settlement{Settlement: &claimpb.Settlement{
		Operator: []byte(f.Operator), Executed: f.Executed, Note: []byte(f.Note), TimeUnixMs: k.opts.Now().UnixMilli(),
	}}))
	s.mu.Lock()
	s.enqueue(p)
	s.mu.Unlock()
	select {
	case <-p.done:
	case <-ctx.Done():
		return verdict.Wrap(verdict.Unknown, verdict.ReasonLogUnavailable, ctx.Err())
	}
	if p.err != nil {
		return p.err
	}
	k.addJournalEntry(keyed, "settled", journal.Field{Name: "operator", Value: f.Operator}, journal.Field{Name: "executed", Value: fmt.Sprint(f.Executed)})
	return nil
}

func (k *Executor) settlementConflict(s KeyState, f Settlement) string {
	switch {
	case f.Operator == "":
		return "the settlement has no operator name"
	case s.Unclaimed():
		return "the key has no claim"
	case s.HasOutcome && s.Verdict == verdict.Ran:
		return "the action ran and its outcome is recorded"
	case !s.HasOutcome && !k.isGone(holder{s.Claims[0].Instance, s.Claims[0].Incarnation}):
		return "the holder " + s.Claims[0].Instance + " of the key is not known to have ended"
	}
	return ""
}
