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

// layoutGuard rejects actions while the log contains a record of another layout. Two sidecars with
// different layouts look for a key in different streams, so both could execute it.
//
// A sidecar executes actions only if the layout stream contains a record of its layout and none of another
// layout, and only for a limited time after that record was appended: the retention minus the lifetime of a
// key. The record therefore outlives every key that was accepted under it, and a sidecar with another layout
// finds it and rejects the request.
type layoutGuard struct {
	// checkLock is a mutex, held by the request that reads the stream. A waiter can give up on it.
	checkLock chan struct{}

	mu sync.Mutex
	// recordedAt is the time of the newest record of this layout, by the log service's clock.
	recordedAt time.Time
	// lastFailure is the error of the last check. It is returned to other requests for RetryInterval.
	lastFailure error
	failedAt    time.Time
}

func newLayoutGuard() *layoutGuard {
	return &layoutGuard{checkLock: make(chan struct{}, 1)}
}

func (k *Executor) layoutStream() string {
	return "claims/" + url.PathEscape(k.opts.Pool) + "/layout"
}

// layoutValidity is how long a layout may be used after its record was appended. Options.validate ensures
// that it is positive.
func (k *Executor) layoutValidity() time.Duration {
	return k.opts.Retention - k.opts.Window - k.opts.Skew - k.opts.ClockError
}

// layoutAge returns the age of the newest known record of this layout.
func (k *Executor) layoutAge() time.Duration {
	k.guard.mu.Lock()
	defer k.guard.mu.Unlock()
	return k.opts.Now().Sub(k.guard.recordedAt)
}

// checkLayout returns an error unless this layout may be used. It renews the record after half of the
// validity. A failed renewal is an error only after all of the validity. A record of another layout is one at
// once, and so is the end of ctx while another request renews the record.
func (k *Executor) checkLayout(ctx context.Context) error {
	if k.layoutAge() < k.layoutValidity()/2 {
		return nil
	}
	select {
	case k.guard.checkLock <- struct{}{}:
		defer func() { <-k.guard.checkLock }()
	case <-ctx.Done():
		return contextError(ctx, "waiting for the layout of the claims to be read")
	}
	if k.layoutAge() < k.layoutValidity()/2 {
		return nil
	}
	err := k.guard.recentFailure(k.opts.RetryInterval)
	if err == nil {
		err = k.renewLayout(ctx)
		// A request whose context ended says nothing about the state of the log.
		if ctx.Err() == nil {
			k.guard.recordFailure(err)
		}
	}
	if err != nil && verdict.As(err).Reason != verdict.ReasonNotReady && k.layoutAge() < k.layoutValidity() {
		return nil
	}
	return err
}

// maxLayoutAppends is the number of append attempts before the request is rejected.
const maxLayoutAppends = 2

// renewLayout reads the layout stream, appends a record of this layout if there is no recent one, and reads
// again, because a record of another layout may have been appended in between.
func (k *Executor) renewLayout(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, k.opts.AppendTimeout)
	defer cancel()
	payload, err := proto.Marshal(k.layoutRecord())
	if err != nil {
		return k.logUnavailableError(err)
	}
	var appendErr error
	for range maxLayoutAppends {
		err := k.readLayout(ctx)
		if err != nil || k.layoutAge() < k.layoutValidity()/2 {
			return err
		}
		_, appendErr = k.opts.Log.Append(ctx, k.layoutStream(), payload)
	}
	// The last read decides whether the record is stored, regardless of what the append returned.
	if err := k.readLayout(ctx); err != nil || k.layoutAge() < k.layoutValidity()/2 {
		return err
	}
	return k.logUnavailableError(fmt.Errorf("the layout record was not stored: %w", appendErr))
}

func (k *Executor) layoutRecord() *claimpb.Layout {
	return &claimpb.Layout{Partitions: int64(k.opts.Partitions), BucketMs: k.opts.Bucket.Milliseconds()}
}

// readLayout reads all records of the stream that have not expired. They are few: one for each half of the
// validity.
func (k *Executor) readLayout(ctx context.Context) error {
	for from := uint64(0); ; {
		page, err := k.opts.Log.Read(ctx, k.layoutStream(), from, readLimit, 0)
		if err != nil {
			return k.logUnavailableError(err)
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

func (k *Executor) applyLayout(r services.Record) error {
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
	if r.Time.After(k.guard.recordedAt) {
		k.guard.recordedAt = r.Time
	}
	return nil
}

func (g *layoutGuard) recentFailure(age time.Duration) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if time.Since(g.failedAt) < age {
		return g.lastFailure
	}
	return nil
}

func (g *layoutGuard) recordFailure(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastFailure = err
	g.failedAt = time.Now()
}

func (g *layoutGuard) reset() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordedAt = time.Time{}
}
