// Package feed follows the two record streams that a gateway depends on: the configuration and the instances
// of backend servers. Both are streams of keyed records in which the newest record of each key counts. They
// are read from the platform's store. Records that other routers send are merged at any time; they are the only
// source while the store does not serve this router.
//
// Positions only increase, and a record that is not newer than what is known is ignored whatever its source, so
// neither a stale response nor a peer that lags behind reverts anything or brings a removed key back. See type table, and
// docs/design/feeds.md for what each source promises.
package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"
)

// ID identifies a feed.
type ID uint32

// Feeds that a gateway follows.
const (
	Configuration ID = iota + 1
	Instances
)

// String returns the feed's name as it appears in logs.
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

// Origin is where a router has learned records, and how far the knowledge of that source reaches.
type Origin struct {
	// Peer is the router that has sent the records, "" if this one has read them from the store.
	Peer string
	// Snapshot is set if the records are part of a snapshot of the store.
	Snapshot bool
	// Complete is the position up to which the source knows the records, and RemovalsFrom the offset from which on it knows
	// removals too.
	Complete, RemovalsFrom uint64
}

// String returns the source as it appears in logs.
func (o Origin) String() string {
	switch {
	case o.Peer != "":
		return o.Peer
	case o.Snapshot:
		return "store snapshot"
	}
	return "store"
}

// ErrExpired means that the store no longer holds the requested records.
var ErrExpired = errors.New("offset is older than the oldest retained record")

// ErrSourceChanged means that a read was given up because the source has moved, and is to be repeated at once.
var ErrSourceChanged = errors.New("the source has another address now")

// Source reads feeds from the platform's store. Implementations are safe for concurrent use.
type Source interface {
	// Newest returns the newest record of each key that has not been removed, and the offset at which to
	// continue reading.
	Newest(ctx context.Context, id ID) (records []Record, next uint64, err error)
	// Read returns the records from an offset on. When there are none it waits up to wait for the first one.
	// It fails with ErrExpired when records at the offset are no longer retained. Both methods may fail with
	// ErrSourceChanged.
	Read(ctx context.Context, id ID, from uint64, wait time.Duration) (records []Record, next uint64, err error)
}

// Sink receives the records of a feed. Its methods are called one at a time and must not call the follower.
type Sink interface {
	// Apply applies a record, in the order of offsets of each key and of each update. It reports whether the record changed
	// something, which peers are to be told.
	Apply(r Record, from Origin) (changed bool)
	// StoreRecovered is called before the first records after a period in which the store answered neither this
	// router nor its peers.
	StoreRecovered()
	// SnapshotApplied is called after a snapshot of the whole feed has been applied. Keys that are not among keys have been
	// removed.
	SnapshotApplied(keys map[string]bool, from Origin)
}

// PollPolicy says how often and in which way a feed is read.
type PollPolicy struct {
	// Wait is how long the store holds a read by the first router that finds nothing (long polling). 0 does not
	// wait.
	Wait time.Duration
	// MaxAge is the age at which a feed is read again by a router that does not long-poll. What peers have read
	// counts as well, so that a fleet reads about as often as a single router.
	MaxAge time.Duration
}

const (
	// readTimeout is how long a response may take beyond the wait. It leaves time for a second read on a new
	// connection before a change must be in force, three seconds after an outage. After failures it doubles up
	// to maxReadTimeout, because the store may be slow rather than unavailable.
	readTimeout    = 700 * time.Millisecond
	maxReadTimeout = 1400 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed read. The store bills the calls that it
	// refuses as well.
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// freshRetryDelay is the delay while peers keep the feed up to date. It ends when a peer has records that it does not
	// pass on.
	freshRetryDelay = 3 * time.Second
	// crowdRetryDelay is the least delay after a failed read of a router beyond maxStaggerRank; up to twice as much is
	// added at random. During an outage a hundred routers then make some fifty calls a second instead of two hundred,
	// and one that alone is served by the store is among them.
	crowdRetryDelay = time.Second
	// outageThreshold is the age of a feed above which the store is taken to have been unavailable. In Merge
	// the wait of a long poll is added to it.
	outageThreshold = 2500 * time.Millisecond
	// readStagger is the time allowed for the reads of one router to reach the others. Routers up to
	// maxStaggerRank wait for each other in order of rank; all others wait crowdStagger longer than the last of
	// them, and up to crowdSpread more at random, because all of them would read at once.
	readStagger    = 150 * time.Millisecond
	maxStaggerRank = 3
	crowdStagger   = 400 * time.Millisecond
	crowdSpread    = 500 * time.Millisecond
	// agePollInterval is how often the age of the feed is checked while waiting for MaxAge.
	agePollInterval = 50 * time.Millisecond
)

// source is where a router has learned how fresh a feed is.
type source uint8

const (
	ownRead source = iota
	parent
	otherPeer
)

// Follower follows one feed. It is safe for concurrent use.
type Follower struct {
	id         ID
	source     Source
	sink       Sink
	pollPolicy PollPolicy
	now        func() time.Time
	// StartWait is how long a router that has just started waits for a copy from a peer before it reads the store, unless
	// EndStartWait is called before.
	StartWait time.Duration
	// OnAvailabilityChange is called when the store stops or starts answering. It may be nil.
	OnAvailabilityChange func(id ID, err error)
	// OnAdvance is called after each read that has succeeded. It may be nil.
	OnAdvance func()
	// OnLoad is called after the follower has taken a snapshot of the store, or a copy of a peer. It must not call the
	// follower and may be nil.
	OnLoad func(id ID, from Origin, records int)
	// OnFailure is called after each failed read. It may be nil.
	OnFailure func(id ID, err error)

	mu    sync.Mutex
	table table
	// synced is set while this router can read on from its position. Without it, it reads a snapshot.
	synced bool
	// rank is the number of other routers that read before this one, -1 if it is not known yet.
	rank int
	// startedAt is when Run was called, and startWaitOver is set by EndStartWait.
	startedAt     time.Time
	startWaitOver bool
	// wake makes Run check at once whether a read is due, also after a failed read.
	wake chan struct{}
	// peerNext is the highest position that a peer is known to have reached.
	peerNext uint64
	// freshAt is when the store was last known to have nothing beyond next. lastErr is the error of the last
	// read by this router, nil if it succeeded, and failures the number of consecutive failed reads.
	freshAt time.Time
	// freshFrom is the source of freshAt.
	freshFrom source
	lastErr   error
	failures  int
	// restUntil is when the feed is read again after failures while peers keep it up to date.
	restUntil time.Time
}

// NewFollower returns a follower that has read nothing yet.
func NewFollower(id ID, source Source, sink Sink, policy PollPolicy) *Follower {
	return &Follower{id: id, source: source, sink: sink, pollPolicy: policy, now: time.Now, wake: make(chan struct{}, 1), table: newTable()}
}

// Run reads until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.mu.Lock()
	f.startedAt = f.now()
	f.mu.Unlock()
	for ctx.Err() == nil {
		f.waitUntilDue(ctx)
		err := f.readNext(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrSourceChanged):
		case err != nil:
			f.sleep(ctx, f.recordFailure(err))
		default:
			f.recordSuccess()
		}
	}
}

// SourceChanged makes the follower read at once if its last read failed, because the source has moved.
func (f *Follower) SourceChanged() {
	f.mu.Lock()
	f.failures, f.restUntil = 0, time.Time{}
	f.mu.Unlock()
	f.wakeUp()
}

func (f *Follower) wakeUp() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// waitUntilDue waits until the feed is due to be read.
func (f *Follower) waitUntilDue(ctx context.Context) {
	jitter := rand.Float64()
	for ctx.Err() == nil {
		f.mu.Lock()
		due := f.due(jitter)
		f.mu.Unlock()
		if due {
			return
		}
		timer := time.NewTimer(agePollInterval)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-f.wake:
		}
		timer.Stop()
	}
}

// EndStartWait ends the wait of StartWait: no peer has a copy.
func (f *Follower) EndStartWait() {
	f.mu.Lock()
	f.startWaitOver = true
	f.mu.Unlock()
	f.wakeUp()
}

// due reports whether the feed is to be read now: a peer is known to have reached a later position, or the feed is old
// enough. The first router reads it most often; the others read it only when that one does not. One whose own read is the
// newest goes on as if it were the first: while the store turns the first ones away, the others follow the one that has
// been served. jitter is a random number from 0 to 1. The caller holds mu.
func (f *Follower) due(jitter float64) bool {
	now := f.now()
	switch {
	case f.peerNext > f.table.next:
		return true
	case f.freshAt.IsZero():
		return f.rank == 0 || f.startWaitOver || now.Sub(f.startedAt) >= f.StartWait
	case now.Before(f.restUntil):
		return false
	case f.rank <= 0 && f.pollPolicy.Wait > 0:
		return true
	}
	rank := max(0, f.rank)
	if f.freshFrom == ownRead && f.lastErr == nil {
		rank = 0
	}
	spread := readStagger / 2
	limit := f.pollPolicy.MaxAge + time.Duration(min(rank, maxStaggerRank))*readStagger
	if rank > maxStaggerRank {
		limit += crowdStagger
		spread = crowdSpread
	}
	return now.Sub(f.freshAt) >= limit+time.Duration(jitter*float64(spread))
}

// SetRank sets how many other routers read before this one, or -1 while that is not known. If all routers read at
// the same age, each would read before it hears from the others.
func (f *Follower) SetRank(rank int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rank = rank
}

// RecordPeerPosition records that a peer has reached a position without passing its records on.
func (f *Follower) RecordPeerPosition(next uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peerNext = max(f.peerNext, next)
}

// sleep waits after a failed read, until wakeUp is called.
func (f *Follower) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.wake:
	}
}

// readNext makes one read.
func (f *Follower) readNext(ctx context.Context) error {
	f.mu.Lock()
	from, synced, wait := f.table.next, f.synced, f.pollPolicy.Wait
	if f.lastErr != nil || f.rank > 0 {
		// A long poll would detect the recovery of the store only at the end of its wait. Of all routers, only
		// the first holds a call open.
		wait = 0
	}
	f.mu.Unlock()
	if !synced {
		return f.readSnapshot(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+f.currentTimeout())
	defer cancel()
	begin := f.now()
	records, next, err := f.source.Read(ctx, f.id, from, wait)
	if errors.Is(err, ErrExpired) {
		f.mu.Lock()
		f.synced = false
		f.mu.Unlock()
		return f.readSnapshot(ctx)
	}
	if err != nil {
		return err
	}
	if len(records) == 0 && wait > 0 {
		// The response confirms that there was nothing up to the end of the wait.
		begin = f.now()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.merge(records, next, begin, Origin{Complete: next, RemovalsFrom: from}, ownRead)
	return nil
}

// currentTimeout returns how long a response may take, given the recent failures.
func (f *Follower) currentTimeout() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return min(maxReadTimeout, readTimeout<<min(f.failures, 8))
}

// readSnapshot reads and applies the newest record of every key.
func (f *Follower) readSnapshot(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*f.currentTimeout())
	defer cancel()
	begin := f.now()
	records, next, err := f.source.Newest(ctx, f.id)
	if err != nil {
		return err
	}
	f.applySnapshot(records, next, begin)
	return nil
}

// Position returns the offset of the next record to read.
func (f *Follower) Position() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.next
}

// Summary is what a follower knows.
type Summary struct {
	// Position is the offset up to which the feed is known completely, and RemovalsFrom the one from which on removals are known.
	Position     uint64 `json:"position"`
	RemovalsFrom uint64 `json:"removals_from"`
	// InForce and Removed are the keys that have a value, and those of which the removal is known.
	InForce int `json:"in_force"`
	Removed int `json:"removed"`
}

// Summary returns what the follower knows.
func (f *Follower) Summary() Summary {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := Summary{Position: f.table.next, RemovalsFrom: f.table.removalsFrom}
	for _, r := range f.table.records {
		if len(r.Value) > 0 {
			s.InForce++
		} else {
			s.Removed++
		}
	}
	return s
}

// Failing reports whether the last read of the store failed.
func (f *Follower) Failing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastErr != nil
}

// Age returns the time since the feed was last known to be complete, -1 before the first response of the store
// or update from a peer.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.freshAt.IsZero() {
		return -1
	}
	return f.now().Sub(f.freshAt)
}

// FreshAt returns the time up to which the feed is known to be complete, zero before the first response of the
// store or update from a peer.
func (f *Follower) FreshAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.freshAt
}

// WithLock calls fn while no merge is in progress, so that fn does not see part of one. fn must not call the
// follower.
func (f *Follower) WithLock(fn func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fn()
}

// recordFailure records a failed read and returns the least delay before the next one.
func (f *Follower) recordFailure(err error) time.Duration {
	f.mu.Lock()
	first := f.lastErr == nil
	f.lastErr = err
	f.failures++
	delay := min(maxRetryDelay, minRetryDelay<<min(f.failures-1, 8))
	if f.rank > maxStaggerRank && !f.freshAt.IsZero() {
		delay = crowdRetryDelay + time.Duration(rand.Int64N(2*int64(crowdRetryDelay)))
	}
	if f.pollPolicy.MaxAge > 0 && !f.freshAt.IsZero() && f.now().Sub(f.freshAt) < outageThreshold && f.failures > 1 {
		f.restUntil = f.now().Add(freshRetryDelay)
	}
	f.mu.Unlock()
	if f.OnFailure != nil {
		f.OnFailure(f.id, err)
	}
	if first && f.OnAvailabilityChange != nil {
		f.OnAvailabilityChange(f.id, err)
	}
	return delay
}

// recordSuccess records a successful read.
func (f *Follower) recordSuccess() {
	f.mu.Lock()
	recovered := f.lastErr != nil
	f.lastErr = nil
	f.failures = 0
	f.restUntil = time.Time{}
	f.mu.Unlock()
	if f.OnAdvance != nil {
		f.OnAdvance()
	}
	if recovered && f.OnAvailabilityChange != nil {
		f.OnAvailabilityChange(f.id, nil)
	}
}
