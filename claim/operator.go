package claim

import (
	"context"
	"fmt"
	"time"

	"jacinthfork.example/jacinthfork/claim/claimpb"
	"jacinthfork.example/jacinthfork/kernel/journal"
	"jacinthfork.example/jacinthfork/verdict"
)

// Claimant is an unreleased claim of a key, as an operator sees it.
type Claimant struct {
	Instance    string
	Incarnation uint64
	Nonce       string
}

// Settlement is an operator's finding on an action of unknown outcome.
type Settlement struct {
	Operator string
	// Executed is what the operator found at the plain service.
	Executed bool
	Note     string
	Time     time.Time
}

// KeyState is what the log says about a key.
type KeyState struct {
	Stream string
	// Claims are in log order; the first one may run. Empty after an outcome.
	Claims []Claimant
	// Ended is set when an outcome is recorded. Verdict is then Ran or Unknown.
	Ended   bool
	Verdict verdict.Verdict
	// Answer is the recorded answer, or nil when it was not kept in the record or in memory.
	Answer *Outcome
	// Settlement is the last finding of an operator, or nil.
	Settlement *Settlement
}

// Unclaimed reports whether the log has no trace of a run of the key.
func (s KeyState) Unclaimed() bool { return !s.Ended && len(s.Claims) == 0 }

// State reads the stream of a key up to its end and returns the state of the key. The window is not
// checked, so that an operator can look at old keys. Body is ignored. The error is a
// *verdict.Error.
func (k *Keeper) State(ctx context.Context, a Action) (KeyState, error) {
	h, err := k.hash(a)
	if err != nil {
		return KeyState{}, err
	}
	if err := k.checkLayout(ctx); err != nil {
		return KeyState{}, err
	}
	s, err := k.acquire(h.stream)
	if err != nil {
		return KeyState{}, err
	}
	defer k.drop(s)
	if err := s.load(ctx); err != nil {
		return KeyState{}, err
	}
	if err := s.catchUp(ctx); err != nil {
		return KeyState{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.keyState(s.name, h.key), nil
}

func (v *view) keyState(name string, key id) KeyState {
	out := KeyState{Stream: name}
	state := v.keys[key]
	if state == nil {
		return out
	}
	for _, c := range state.claims {
		out.Claims = append(out.Claims, Claimant{c.holder.instance, c.holder.incarnation, fmt.Sprintf("%x", c.nonce[:])})
	}
	if end := state.outcome; end != nil {
		out.Ended = true
		if end.ran {
			out.Verdict = verdict.Ran
		}
		if end.answer != nil {
			answer := end.answer.clone()
			out.Answer = &answer
		}
	}
	if f := state.settlement; f != nil {
		out.Settlement = &Settlement{string(f.GetOperator()), f.GetExecuted(), string(f.GetNote()), time.UnixMilli(f.GetTimeUnixMs())}
	}
	return out
}

// Settle appends an operator's finding on an action of unknown outcome. It is an audit record: the
// key stays closed and later requests still get unknown, with the finding in the detail, because
// a paused holder may still dispatch the action. A key that is free, in progress at a holder that
// runs, or has a known outcome is refused with ReasonBadRequest. The error is a *verdict.Error.
func (k *Keeper) Settle(ctx context.Context, a Action, f Settlement) error {
	state, err := k.State(ctx, a)
	if err != nil {
		return err
	}
	if reason := k.unsettleable(state, f); reason != "" {
		return verdict.New(verdict.Unknown, verdict.ReasonBadRequest, reason)
	}
	h, err := k.hash(a)
	if err != nil {
		return err
	}
	s, err := k.acquire(h.stream)
	if err != nil {
		return err
	}
	defer k.drop(s)
	p := newPending(claimpb.NewEntry(h.key[:], newNonce(), &claimpb.Entry_Settlement{Settlement: &claimpb.Settlement{
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
	k.note(h, "settled", journal.Field{Name: "operator", Value: f.Operator}, journal.Field{Name: "executed", Value: fmt.Sprint(f.Executed)})
	return nil
}

func (k *Keeper) unsettleable(s KeyState, f Settlement) string {
	switch {
	case f.Operator == "":
		return "the settlement names no operator"
	case s.Unclaimed():
		return "the key has no claim"
	case s.Ended && s.Verdict == verdict.Ran:
		return "the action ran and its outcome is recorded"
	case !s.Ended && !k.isGone(holder{s.Claims[0].Instance, s.Claims[0].Incarnation}):
		return "the holder " + s.Claims[0].Instance + " of the key is not known to have ended"
	}
	return ""
}
