// Package feed follows the two record streams that a gateway lives by: the configuration and the
// instances of backend servers. Both are streams of keyed records of which the newest of each key
// counts. They are read from the platform's store and, while it does not serve this router, from
// other routers.
//
// Positions only grow: a record that is older than the known one of its key is ignored wherever it
// comes from, so neither a stale answer nor a peer that is behind takes anything back.
package feed

import (
	"context"
	"errors"
	"sync"
	"time"
)

// ID names a feed.
type ID uint32

// Feeds.
const (
	Configuration ID = iota + 1
	Instances
)

// String returns the feed's name as logged.
func (id ID) String() string {
	if id == Configuration {
		return "configuration"
	}
	return "instances"
}

// Record is the newest value of a key.
type Record struct {
	Key    string
	Offset uint64
	// Value is empty when the key was removed.
	Value []byte
}

// ErrExpired says that the store no longer holds the records asked for.
var ErrExpired = errors.New("the records have expired")

// Source reads feeds from the platform's store. Implementations are safe for concurrent use.
type Source interface {
	// Newest returns the newest record of each key and the offset from which to read on.
	Newest(ctx context.Context, id ID) (records []Record, next uint64, err error)
	// Read returns the records from an offset on. When there are none it waits up to wait for the
	// first. It fails with ErrExpired when records at the offset are no longer kept.
	Read(ctx context.Context, id ID, from uint64, wait time.Duration) (records []Record, next uint64, err error)
}

// Sink takes records over. Apply is called in the order of offsets of each key.
type Sink interface {
	Apply(r Record)
	// Complete is called after records that are the whole content of the feed.
	Complete(keys map[string]bool)
}

// Pace says how a feed is read.
type Pace struct {
	// Wait is how long the store holds a read that finds nothing.
	Wait time.Duration
	// Pause is the time between two reads.
	Pause time.Duration
}

const (
	// answerTimeout is how long an answer may take beyond the wait. It leaves time for a second read
	// on a new connection before a change is due everywhere.
	answerTimeout = 700 * time.Millisecond
	// firstRetry and longestRetry bound the pause after a failed read. Calls that are refused are
	// priced too.
	firstRetry   = 150 * time.Millisecond
	longestRetry = time.Second
)

// Follower follows one feed. It is safe for concurrent use.
type Follower struct {
	id     ID
	source Source
	sink   Sink
	pace   Pace
	now    func() time.Time
	// OnState is called when the store stops or starts answering. It may be nil.
	OnState func(id ID, err error)
	// OnFailure is called after each failed read. It may be nil.
	OnFailure func(id ID, err error)

	mu      sync.Mutex
	next    uint64
	synced  bool
	records map[string]Record
	// goodAt is the time of the last answer of the store; failing is the current error.
	goodAt  time.Time
	freshAt time.Time
	failing error
}

// NewFollower returns a follower that has read nothing.
func NewFollower(id ID, source Source, sink Sink, pace Pace) *Follower {
	return &Follower{id: id, source: source, sink: sink, pace: pace, now: time.Now, records: make(map[string]Record)}
}

// Run reads until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	retry := firstRetry
	for ctx.Err() == nil {
		pause := f.pace.Pause
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.failed(err)
			pause = retry
			retry = min(2*retry, longestRetry)
		} else {
			f.answered()
			retry = firstRetry
		}
		sleep(ctx, pause)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// step makes one read.
func (f *Follower) step(ctx context.Context) error {
	f.mu.Lock()
	from, synced := f.next, f.synced
	f.mu.Unlock()
	if !synced {
		return f.readAll(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, f.pace.Wait+answerTimeout)
	defer cancel()
	records, next, err := f.source.Read(ctx, f.id, from, f.pace.Wait)
	if errors.Is(err, ErrExpired) {
		f.mu.Lock()
		f.synced = false
		f.mu.Unlock()
		return f.readAll(ctx)
	}
	if err != nil {
		return err
	}
	f.Merge(records, next)
	return nil
}

func (f *Follower) readAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*answerTimeout)
	defer cancel()
	records, next, err := f.source.Newest(ctx, f.id)
	if err != nil {
		return err
	}
	f.Merge(records, next)
	f.mu.Lock()
	f.synced = true
	f.mu.Unlock()
	keys := make(map[string]bool, len(records))
	for _, r := range records {
		keys[r.Key] = true
	}
	f.sink.Complete(keys)
	return nil
}

// Merge takes records and a position over, from the store or from a peer.
func (f *Follower) Merge(records []Record, next uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range records {
		if known, ok := f.records[r.Key]; ok && known.Offset >= r.Offset {
			continue
		}
		f.records[r.Key] = r
		f.sink.Apply(r)
	}
	f.next = max(f.next, next)
	f.freshAt = f.now()
}

// Since returns the position and the newest record of each key at or after an offset.
func (f *Follower) Since(from uint64) (records []Record, next uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if from >= f.next {
		return nil, f.next
	}
	for _, r := range f.records {
		if r.Offset >= from {
			records = append(records, r)
		}
	}
	return records, f.next
}

// Position returns the offset of the next record and whether the store does not serve this router.
func (f *Follower) Position() (next uint64, want bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next, f.failing != nil || f.goodAt.IsZero()
}

// Age returns the time since the feed was last known to be complete.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.freshAt.IsZero() {
		return -1
	}
	return f.now().Sub(f.freshAt)
}

func (f *Follower) failed(err error) {
	f.mu.Lock()
	first := f.failing == nil
	f.failing = err
	f.mu.Unlock()
	if f.OnFailure != nil {
		f.OnFailure(f.id, err)
	}
	if first && f.OnState != nil {
		f.OnState(f.id, err)
	}
}

func (f *Follower) answered() {
	f.mu.Lock()
	back := f.failing != nil
	f.failing = nil
	f.goodAt = f.now()
	f.mu.Unlock()
	if back && f.OnState != nil {
		f.OnState(f.id, nil)
	}
}
