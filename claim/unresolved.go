package claim

import (
	"context"
	"time"

	"github.com/google/uuid"

	"jacinthfork.example/jacinthfork/claim/claimpb"
	"jacinthfork.example/jacinthfork/services"
	"jacinthfork.example/jacinthfork/verdict"
)

// UnresolvedKey is a key whose claim has no outcome or an unknown one.
type UnresolvedKey struct {
	Organisation string
	Method       string
	Path         string
	Key          string
	// ClaimedAt is the time of the claim by the log service's clock.
	ClaimedAt time.Time
	// InProgress is set unless the outcome is recorded as unknown or the holder is known to have
	// ended. The outcome of a key in progress can still be recorded.
	InProgress bool
	State      KeyState
}

// Unresolved reads the streams of all keys whose time is in [from, to] and returns the unresolved keys,
// including settled ones. It holds one stream in memory at a time. On an error, which is a *verdict.Error, it
// also returns the keys found before it.
func (k *Executor) Unresolved(ctx context.Context, from, to time.Time) ([]UnresolvedKey, error) {
	var found []UnresolvedKey
	for bucket := k.layout.bucket(from); bucket <= k.layout.bucket(to); bucket++ {
		for partition := range k.opts.Partitions {
			keys, err := k.scanStream(ctx, k.layout.streamName(partition, bucket))
			if err != nil {
				return found, err
			}
			for _, u := range keys {
				if at := u.keyTime(); !at.Before(from) && !at.After(to) {
					found = append(found, u)
				}
			}
		}
	}
	return found, nil
}

func (u UnresolvedKey) keyTime() time.Time {
	key, err := uuid.Parse(u.Key)
	if err != nil {
		return time.Time{}
	}
	return keyTime(key)
}

// scanner is a view with the claim records of all keys that are not known to have run.
type scanner struct {
	view   *view
	claims map[id]claimRecord
}

type claimRecord struct {
	claim *claimpb.Claim
	time  time.Time
}

func (k *Executor) scanStream(ctx context.Context, name string) ([]UnresolvedKey, error) {
	sc := scanner{view: newView(), claims: make(map[id]claimRecord)}
	for {
		page, err := k.opts.Log.Read(ctx, name, sc.view.next, readLimit, 0)
		if err != nil {
			return nil, verdict.Wrap(verdict.Unknown, verdict.ReasonLogUnavailable, err)
		}
		for _, r := range page.Records {
			if err := sc.applyRecord(r); err != nil {
				return nil, verdict.Wrap(verdict.Unknown, verdict.ReasonKeyHistoryLost, err)
			}
		}
		if len(page.Records) == 0 || sc.view.next >= page.Next {
			return k.unresolved(name, sc), nil
		}
	}
}

// applyRecord applies one record. It accepts gaps from expired records, because the remaining keys are still
// useful to an operator.
func (sc *scanner) applyRecord(r services.Record) error {
	entries, err := decode(r.Payload)
	if err != nil {
		return err
	}
	for _, e := range entries {
		sc.view.apply(e, r.Offset, true)
		if c := e.GetClaim(); c != nil {
			sc.addClaim(idFromBytes(e.GetKey()), claimRecord{c, r.Time})
		}
		if e.GetOutcome().GetVerdict() == claimpb.Outcome_RAN {
			delete(sc.claims, idFromBytes(e.GetKey()))
		}
	}
	sc.view.next = r.Offset + 1
	return nil
}

func (sc *scanner) addClaim(key id, c claimRecord) {
	if s := sc.view.keys[key]; s != nil && s.outcome != nil && s.outcome.ran {
		return
	}
	if _, known := sc.claims[key]; !known {
		sc.claims[key] = c
	}
}

func (k *Executor) unresolved(name string, sc scanner) []UnresolvedKey {
	var out []UnresolvedKey
	for key, c := range sc.claims {
		state := sc.view.keyState(name, key)
		if state.Unclaimed() {
			continue
		}
		u := UnresolvedKey{
			Organisation: string(c.claim.GetOrganisation()),
			Method:       string(c.claim.GetMethod()),
			Path:         string(c.claim.GetPath()),
			Key:          c.claim.GetIdempotencyKey(),
			ClaimedAt:    c.time,
			State:        state,
		}
		if !state.HasOutcome {
			first := state.Claims[0]
			u.InProgress = !k.isGone(holder{first.Instance, first.Incarnation})
		}
		out = append(out, u)
	}
	return out
}
