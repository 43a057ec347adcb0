package claim

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"jacinthfork.example/jacinthfork/claim/claimpb"
	"jacinthfork.example/jacinthfork/verdict"
)

// proveUnused changes the verdict for an expired key to not-run if the log shows that the key was never
// claimed. That is proof only while no record of the key can have expired, and after every sidecar has
// stopped accepting the key, even one whose clock is late. In all other cases it returns expiredErr unchanged.
func (k *Executor) proveUnused(ctx context.Context, keyed keyedAction, expiredErr error) error {
	if verdict.As(expiredErr).Reason != verdict.ReasonKeyExpired || !k.recordsOutliveAcceptance(keyed) {
		return expiredErr
	}
	if !k.isOnlyLayout(ctx, keyed.time.Add(-k.opts.Skew-k.opts.ClockError)) {
		return expiredErr
	}
	s, err := k.acquireStream(keyed.stream)
	if err != nil {
		return expiredErr
	}
	defer k.releaseStream(s)
	if s.load(ctx) != nil || s.catchUp(ctx) != nil {
		return expiredErr
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.view.keys[keyed.keyHash]; known {
		return expiredErr
	}
	proved := *verdict.As(expiredErr)
	proved.Verdict = verdict.NotRun
	return &proved
}

// recordsOutliveAcceptance reports whether no sidecar accepts the key any more while its records are still in
// the log.
func (k *Executor) recordsOutliveAcceptance(keyed keyedAction) bool {
	age := k.opts.Now().Sub(keyed.time)
	return age > k.opts.Window+2*k.opts.ClockError && age < k.opts.Retention-k.opts.Skew-k.opts.ClockError
}

// isOnlyLayout reports whether only this layout has been in use since the given time: all unexpired records of
// the layout stream are of this layout, and the oldest is at least that old or is the first of the stream.
// Under another layout the key would be in another stream.
func (k *Executor) isOnlyLayout(ctx context.Context, since time.Time) bool {
	page, err := k.opts.Log.Read(ctx, k.layoutStream(), 0, readLimit, 0)
	if err == nil && page.Next == 0 {
		return true // No sidecar has ever executed an action in this pool.
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
