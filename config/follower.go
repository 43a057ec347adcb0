package config

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/services"
)

const (
	// pollWait is how long one read waits for a record. An idle node sends one request per pollWait.
	pollWait = 25 * time.Second
	// readLimit bounds the records of one read.
	readLimit = 256
	// minBackoff and maxBackoff bound the pause after a failed read. maxBackoff keeps the time to
	// notice that the log is back below a quarter of the target of 16 s for a change.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 4 * time.Second
	// readGrace is added to pollWait for the deadline of one read.
	readGrace = 5 * time.Second
	// appendTimeout bounds one append.
	appendTimeout = 5 * time.Second
	// restatePause is the least time between two restatements of one node.
	restatePause = 2 * time.Second
)

// Follower keeps a store up to date with the log stream and restates records before they expire.
type Follower struct {
	store    *Store
	platform services.Log
	schedule schedule
	log      *slog.Logger
	counters *kernel.Counters

	failures int
	// caughtUp is set when the last read reached the end of the stream. Before that, records to be
	// read may restate what seems due.
	caughtUp  bool
	quietTill time.Time
}

// NewFollower returns a follower of the stream for one node. retention is the time that the log is
// sure to keep a record.
func NewFollower(store *Store, pl services.Log, node string, retention time.Duration) *Follower {
	return &Follower{
		store: store, platform: pl, schedule: schedule{retention, node},
		log: store.log, counters: store.counters,
	}
}

// Run follows the stream until ctx ends. It needs one goroutine.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := f.restate(ctx)
		err := f.read(ctx, wait)
		f.store.logHealthy.Store(err == nil)
		if err != nil {
			f.pause(ctx, err)
			continue
		}
		f.recovered()
	}
}

// read reads once and applies the result. It does not wait when older records are left to be read.
func (f *Follower) read(ctx context.Context, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+readGrace)
	defer cancel()
	page, err := f.platform.Read(ctx, Stream, f.store.asOf(), readLimit, wait)
	if err != nil {
		return err
	}
	f.store.ApplyPage(page)
	f.caughtUp = f.store.asOf() >= page.Next
	return nil
}

// CatchUp reads the stream to its end, so that the store's view is not older than the call. An error
// means that the view may be old.
func CatchUp(ctx context.Context, pl services.Log, store *Store) error {
	for {
		from := store.asOf()
		page, err := pl.Read(ctx, Stream, from, readLimit, 0)
		if err != nil {
			return err
		}
		store.ApplyPage(page)
		if store.asOf() >= page.Next {
			return nil
		}
		if store.asOf() == from {
			return fmt.Errorf("log returned no records from %d although it ends at %d", from, page.Next)
		}
	}
}

// restate appends what is due and returns how long the next read may wait.
func (f *Follower) restate(ctx context.Context) time.Duration {
	if !f.caughtUp {
		return pollWait
	}
	now := time.Now()
	if f.failures > 0 || now.Before(f.quietTill) {
		return min(pollWait, max(0, f.quietTill.Sub(now)))
	}
	payload, next := f.store.restatement(f.schedule, now)
	if payload == nil {
		return min(pollWait, max(time.Millisecond, next.Sub(now)))
	}
	f.quietTill = now.Add(restatePause)
	f.append(ctx, payload)
	return 0
}

// append appends a restatement. After a failure it is due again and appended later; a second copy
// does no harm.
func (f *Follower) append(ctx context.Context, payload []byte) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := f.platform.Append(ctx, Stream, payload); err != nil {
		f.counters.Map("config_restatements").Add("failed", 1)
		return
	}
	f.counters.Map("config_restatements").Add("appended", 1)
}

// pause waits after a failed read, longer after each failure in a row.
func (f *Follower) pause(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.counters.Int("config_read_failures").Add(1)
	if f.failures == 0 {
		f.log.Warn("configuration log can't be read", "error", err)
	}
	backoff := min(maxBackoff, minBackoff<<min(f.failures, 10))
	f.failures++
	select {
	case <-ctx.Done():
	case <-time.After(backoff/2 + rand.N(backoff/2)):
	}
}

func (f *Follower) recovered() {
	if f.failures > 0 {
		f.log.Info("configuration log can be read again", "failures", f.failures)
	}
	f.failures = 0
}
