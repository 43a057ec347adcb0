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
	// readLimit is the maximum number of records returned by one read.
	readLimit = 256
	// minBackoff and maxBackoff bound the delay after a failed read. With maxBackoff a node notices that the
	// log is available again within a quarter of the 16 s in which a change must reach every node.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 4 * time.Second
	// readDeadlineMargin is added to the wait time of a read to get its deadline.
	readDeadlineMargin = 5 * time.Second
	// appendTimeout is the maximum time of one append.
	appendTimeout = 5 * time.Second
	// minRestateInterval is the minimum time between two restatements by one node.
	minRestateInterval = 2 * time.Second
)

// Follower applies the records of the log stream to a store and restates objects before their records expire.
type Follower struct {
	store      *Store
	logService services.Log
	schedule   schedule
	logger     *slog.Logger
	counters   *kernel.Counters

	// failures is the number of consecutive failed reads.
	failures int
	// caughtUp is set if the last read reached the end of the stream. Until then, unread records may contain
	// restatements of objects that appear to be due.
	caughtUp bool
	// earliestRestatement is when the next restatement may be appended.
	earliestRestatement time.Time
}

// NewFollower returns a follower of the stream for one node. retention is the time for which the log is
// guaranteed to keep a record.
func NewFollower(store *Store, logService services.Log, node string, retention time.Duration) *Follower {
	return &Follower{
		store: store, logService: logService, schedule: schedule{retention, node},
		logger: store.logger, counters: store.counters,
	}
}

// Run follows the stream until ctx is cancelled. It blocks.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := f.restate(ctx)
		err := f.read(ctx, wait)
		f.store.logHealthy.Store(err == nil)
		if err != nil {
			f.backOff(ctx, err)
			continue
		}
		f.resetBackoff()
	}
}

// read reads once, waiting up to wait for a record, and applies the result. It returns immediately if there
// are unread records.
func (f *Follower) read(ctx context.Context, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+readDeadlineMargin)
	defer cancel()
	page, err := f.logService.Read(ctx, Stream, f.store.asOf(), readLimit, wait)
	if err != nil {
		return err
	}
	f.store.ApplyPage(page)
	f.caughtUp = f.store.asOf() >= page.Next
	return nil
}

// CatchUp reads the stream to its end, so that the view of the store is at least as new as the call. If it
// returns an error the view may be outdated.
func CatchUp(ctx context.Context, logService services.Log, store *Store) error {
	for {
		from := store.asOf()
		page, err := logService.Read(ctx, Stream, from, readLimit, 0)
		if err != nil {
			return err
		}
		store.ApplyPage(page)
		if store.asOf() >= page.Next {
			return nil
		}
		if store.asOf() == from {
			return fmt.Errorf("log returned no records from offset %d although the next offset is %d", from, page.Next)
		}
	}
}

// restate appends the restatement that is due, if any, and returns how long the next read may wait.
func (f *Follower) restate(ctx context.Context) time.Duration {
	if !f.caughtUp {
		return pollWait
	}
	now := time.Now()
	if f.failures > 0 || now.Before(f.earliestRestatement) {
		return min(pollWait, max(0, f.earliestRestatement.Sub(now)))
	}
	payload, next := f.store.restatement(f.schedule, now)
	if payload == nil {
		return min(pollWait, max(time.Millisecond, next.Sub(now)))
	}
	f.earliestRestatement = now.Add(minRestateInterval)
	f.append(ctx, payload)
	return 0
}

// append appends a restatement. After a failure the objects remain due and are appended again later;
// duplicates are harmless.
func (f *Follower) append(ctx context.Context, payload []byte) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := f.logService.Append(ctx, Stream, payload); err != nil {
		f.counters.Map("config_restatements").Add("failed", 1)
		return
	}
	f.counters.Map("config_restatements").Add("appended", 1)
}

// backOff waits after a failed read, with exponential backoff and jitter.
func (f *Follower) backOff(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.counters.Int("config_read_failures").Add(1)
	if f.failures == 0 {
		f.logger.Warn("reading the configuration log failed, retrying", "error", err)
	}
	backoff := min(maxBackoff, minBackoff<<min(f.failures, 10))
	f.failures++
	select {
	case <-ctx.Done():
	case <-time.After(backoff/2 + rand.N(backoff/2)):
	}
}

// resetBackoff logs the recovery and resets the backoff after a successful read.
func (f *Follower) resetBackoff() {
	if f.failures > 0 {
		f.logger.Info("configuration log is readable again", "failures", f.failures)
	}
	f.failures = 0
}
