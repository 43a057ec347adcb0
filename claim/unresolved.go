package claim

import (
	"context"
	"time"

	"github.com/google/uuid"

	"jacinthfork.example/jacinthfork/claim/claimpb"
	"jacinthfork.example/jacinthfork/services"
	"jacinthfork.example/jacinthfork/verdict"
)

// Unresolved is a key whose claim has no outcome, or an outcome that is unknown.
type Unresolved struct {
	Organisation string
	Method       string
	Path         string
	Key          string
	// Claimed is the time of the claim by the log service's clock.
	Claimed time.Time
	// InProgress is set unless the outcome is recorded as unknown or the holder is known to have
	// ended. Such a key can still get an outcome.
	InProgress bool
	State      KeyState
}

// Unresolved reads the streams of all keys whose time is in [from, to] and returns the unresolved
// ones, settled ones included. It keeps one stream in memory at a time. It returns what it found
// up to an error, which is a *verdict.Error.
func (k *Keeper) Unresolved(ctx context.Context, from, to time.Time) ([]Unresolved, error) {
	var found []Unresolved
	for bucket := k.layout.bucket(from); bucket <= k.layout.bucket(to); bucket++ {
		for partition := range k.opts.Partitions {
			some, err := k.scan(ctx, k.layout.name(partition, bucket))
			if err != nil {
				return found, err
			}
			for _, u := range some {
				if at := u.keyTime(); !at.Before(from) && !at.After(to) {
					found = append(found, u)
				}
			}
		}
	}
	return found, nil
}

func (u Unresolved) keyTime() time.Time {
	key, err := uuid.Parse(u.Key)
	if err != nil {
		return time.Time{}
	}
	return keyTime(key)
}

// scanner is a view that also keeps the claim records of keys without an outcome.
type scanner struct {
	view   *view
	claims map[id]claimRecord
}

type claimRecord struct {
	claim *claimpb.Claim
	time  time.Time
}

func (k *Keeper) scan(ctx context.Context, name string) ([]Unresolved, error) {
	sc := scanner{view: newView(), claims: make(map[id]claimRecord)}
	for {
		page, err := k.opts.Log.Read(ctx, name, sc.view.next, readLimit, 0)
		if err != nil {
			return nil, verdict.Wrap(verdict.Unknown, verdict.ReasonLogUnavailable, err)
		}
		for _, r := range page.Records {
			if err := sc.add(r); err != nil {
				return nil, verdict.Wrap(verdict.Unknown, verdict.ReasonKeyHistoryLost, err)
			}
		}
		if len(page.Records) == 0 || sc.view.next >= page.Next {
			return k.unresolved(name, sc), nil
		}
	}
}

// add applies one record. Expired records are skipped, because the keys that remain are still of
// use to an operator.
func (sc *scanner) add(r services.Record) error {
	entries, err := decode(r.Payload)
	if err != nil {
		return err
	}
	for _, e := range entries {
		sc.view.apply(e, r.Offset, true)
		if c := e.GetClaim(); c != nil {
			sc.addClaim(idOf(e.GetKey()), claimRecord{c, r.Time})
		}
		if e.GetOutcome().GetVerdict() == claimpb.Outcome_RAN {
			delete(sc.claims, idOf(e.GetKey()))
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

func (k *Keeper) unresolved(name string, sc scanner) []Unresolved {
	var out []Unresolved
	for key, c := range sc.claims {
		state := sc.view.keyState(name, key)
		if state.Unclaimed() {
			continue
		}
		u := Unresolved{
			Organisation: string(c.claim.GetOrganisation()),
			Method:       string(c.claim.GetMethod()),
			Path:         string(c.claim.GetPath()),
			Key:          c.claim.GetIdempotencyKey(),
			Claimed:      c.time,
			State:        state,
		}
		if !state.Ended {
			first := state.Claims[0]
			u.InProgress = !k.isGone(holder{first.Instance, first.Incarnation})
		}
		out = append(out, u)
	}
	return out
}
