package claim

import (
	"context"
	"fmt"
	"net/url"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"jacinthfork.example/jacinthfork/claim/claimpb"
	"jacinthfork.example/jacinthfork/services"
	"jacinthfork.example/jacinthfork/verdict"
)

// layoutGuard refuses actions while the log has a record of another layout. Two sidecars with
// different layouts look for a key in different streams, so both could run it.
//
// A sidecar runs actions only if a record of its layout is in the layout stream and no record of
// another one is, and only for a time after the append of that record that is shorter than the
// retention by the life of a key. The record thus outlives every key that was accepted under it. A
// sidecar with another layout sees it and refuses.
type layoutGuard struct {
	// checking is held by the request that reads the stream.
	checking chan struct{}

	mu sync.Mutex
	// recorded is the time of the newest record of this layout, by the log service's clock.
	recorded time.Time
	// failure is the last error of a check, which holds for RetryInterval.
	failure  error
	failedAt time.Time
}

func newLayoutGuard() *layoutGuard {
	return &layoutGuard{checking: make(chan struct{}, 1)}
}

func (k *Keeper) layoutStream() string {
	return "claims/" + url.PathEscape(k.opts.Pool) + "/layout"
}

// layoutSlack is how long after its record a layout may be used. Options.validate makes it positive.
func (k *Keeper) layoutSlack() time.Duration {
	return k.opts.Retention - k.opts.Window - k.opts.Skew - k.opts.ClockError
}

// layoutAge returns the age of the newest known record of this layout.
func (k *Keeper) layoutAge() time.Duration {
	k.guard.mu.Lock()
	defer k.guard.mu.Unlock()
	return k.opts.Now().Sub(k.guard.recorded)
}

// checkLayout returns an error unless this layout may be used. It renews the record when half of
// the slack has passed, and fails only when all of it has.
func (k *Keeper) checkLayout(ctx context.Context) error {
	if k.layoutAge() < k.layoutSlack()/2 {
		return nil
	}
	select {
	case k.guard.checking <- struct{}{}:
		defer func() { <-k.guard.checking }()
	case <-ctx.Done():
		return contextError(ctx, "waiting for the layout of the claims to be read")
	}
	if k.layoutAge() < k.layoutSlack()/2 {
		return nil
	}
	err := k.guard.recentFailure(k.opts.RetryInterval)
	if err == nil {
		err = k.renewLayout(ctx)
		// The end of one request's context says nothing about the log.
		if ctx.Err() == nil {
			k.guard.keepFailure(err)
		}
	}
	if err != nil && verdict.As(err).Reason != verdict.ReasonNotReady && k.layoutAge() < k.layoutSlack() {
		return nil
	}
	return err
}

// layoutAttempts is the number of appends that are tried before the request is refused.
const layoutAttempts = 2

// renewLayout reads the layout stream, appends a record of this layout if there is no recent one,
// and reads again, because another layout may have been appended in between.
func (k *Keeper) renewLayout(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, k.opts.AppendTimeout)
	defer cancel()
	payload, err := proto.Marshal(k.layoutRecord())
	if err != nil {
		return k.logError(err)
	}
	var appendErr error
	for range layoutAttempts {
		err := k.readLayout(ctx)
		if err != nil || k.layoutAge() < k.layoutSlack()/2 {
			return err
		}
		_, appendErr = k.opts.Log.Append(ctx, k.layoutStream(), payload)
	}
	// The last read decides whether the record is there, whatever the append returned.
	if err := k.readLayout(ctx); err != nil || k.layoutAge() < k.layoutSlack()/2 {
		return err
	}
	return k.logError(fmt.Errorf("the layout record was not stored: %w", appendErr))
}

func (k *Keeper) layoutRecord() *claimpb.Layout {
	return &claimpb.Layout{Partitions: int64(k.opts.Partitions), BucketMs: k.opts.Bucket.Milliseconds()}
}

// readLayout reads every kept record of the stream. They are few: one for each half of the slack.
func (k *Keeper) readLayout(ctx context.Context) error {
	for from := uint64(0); ; {
		page, err := k.opts.Log.Read(ctx, k.layoutStream(), from, readLimit, 0)
		if err != nil {
			return k.logError(err)
		}
		for _, r := range page.Records {
			if err := k.applyLayout(r); err != nil {
				return err
			}
			from = r.Offset + 1
		}
		if len(page.Records) == 0 || from >= page.Next {
			return nil
		}
	}
}

func (k *Keeper) applyLayout(r services.Record) error {
	var l claimpb.Layout
	if err := proto.Unmarshal(r.Payload, &l); err != nil || !proto.Equal(&l, k.layoutRecord()) {
		e := verdict.New(verdict.NotRun, verdict.ReasonNotReady, fmt.Sprintf(
			"pool %s has claims with %d partitions and buckets of %v until %v after %s; this instance is set to %d and %v",
			k.opts.Pool, l.GetPartitions(), time.Duration(l.GetBucketMs())*time.Millisecond, k.opts.Retention,
			r.Time.UTC().Format(time.RFC3339), k.opts.Partitions, k.opts.Bucket))
		k.guard.reset()
		return e
	}
	k.guard.mu.Lock()
	defer k.guard.mu.Unlock()
	if r.Time.After(k.guard.recorded) {
		k.guard.recorded = r.Time
	}
	return nil
}

func (g *layoutGuard) recentFailure(age time.Duration) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if time.Since(g.failedAt) < age {
		return g.failure
	}
	return nil
}

func (g *layoutGuard) keepFailure(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failure = err
	g.failedAt = time.Now()
}

func (g *layoutGuard) reset() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recorded = time.Time{}
}
