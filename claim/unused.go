package claim

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"jacinthfork.example/jacinthfork/claim/claimpb"
	"jacinthfork.example/jacinthfork/verdict"
)

// proveUnused turns the refusal of an expired key into not-run when the log shows that the key was
// never claimed. That holds only while no record of the key can have expired, and once no sidecar,
// however late its clock, accepts the key any more. In all other cases the refusal stays as it is.
func (k *Keeper) proveUnused(ctx context.Context, h hashed, refusal error) error {
	if verdict.As(refusal).Reason != verdict.ReasonKeyExpired || !k.recordsOutlive(h) {
		return refusal
	}
	if !k.soleLayout(ctx, h.time.Add(-k.opts.Skew-k.opts.ClockError)) {
		return refusal
	}
	s, err := k.acquire(h.stream)
	if err != nil {
		return refusal
	}
	defer k.drop(s)
	if s.load(ctx) != nil || s.catchUp(ctx) != nil {
		return refusal
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.view.keys[h.key]; known {
		return refusal
	}
	proved := *verdict.As(refusal)
	proved.Verdict = verdict.NotRun
	return &proved
}

// recordsOutlive reports whether the key's acceptance is over at every sidecar while its records
// are still in the log.
func (k *Keeper) recordsOutlive(h hashed) bool {
	age := k.opts.Now().Sub(h.time)
	return age > k.opts.Window+2*k.opts.ClockError && age < k.opts.Retention-k.opts.Skew-k.opts.ClockError
}

// soleLayout reports whether this layout alone was in use since the given time: all kept records of
// the layout stream are of this layout, and the oldest is at least that old or the first of all.
// Under another layout the key would be in another stream.
func (k *Keeper) soleLayout(ctx context.Context, since time.Time) bool {
	page, err := k.opts.Log.Read(ctx, k.layoutStream(), 0, readLimit, 0)
	if err == nil && page.Next == 0 {
		return true // No sidecar ever ran an action of this pool.
	}
	if err != nil || len(page.Records) == 0 || page.Records[len(page.Records)-1].Offset+1 < page.Next {
		return false
	}
	for _, r := range page.Records {
		var l claimpb.Layout
		if proto.Unmarshal(r.Payload, &l) != nil || !proto.Equal(&l, k.layoutRecord()) {
			return false
		}
	}
	return page.Earliest == 0 || !page.Records[0].Time.After(since)
}
