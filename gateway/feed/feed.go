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
	"math/rand/v2"
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

// Sink takes records over. Its methods are called one at a time.
type Sink interface {
	// Apply takes a record over, in the order of offsets of each key. It reports whether the record
	// says something new; others are not passed on to peers.
	Apply(r Record) (changed bool)
	// Returned is called before the first records after a time without any answer of the store, from
	// this router's reads or its peers'.
	Returned()
	// Complete is called after records that are the whole content of the feed.
	Complete(keys map[string]bool)
}

// Pace says how a feed is read.
type Pace struct {
	// Wait is how long the store holds a read that finds nothing. 0 does not wait.
	Wait time.Duration
	// MaxAge is the age at which a feed that is read without waiting is read again. News of peers that
	// have read it later count, so that a fleet reads about as often as one router.
	MaxAge time.Duration
}

const (
	// answerTimeout is how long an answer may take beyond the wait. It leaves time for a second read
	// on a new connection before a change is due everywhere. After failures it doubles up to
	// longestAnswer, because a store that is slow still answers.
	answerTimeout = 700 * time.Millisecond
	longestAnswer = 1400 * time.Millisecond
	// firstRetry and longestRetry bound the pause after a failed read. Calls that are refused are
	// priced too.
	firstRetry   = 150 * time.Millisecond
	longestRetry = 500 * time.Millisecond
	// sparedRetry is the pause while peers keep the feed fresh.
	sparedRetry = 3 * time.Second
	// outageAfter is the age of a feed above which its store is taken to have been unavailable.
	outageAfter = 2500 * time.Millisecond
	// turn is the time that the reads of one router have to reach the others, turns the number of routers
	// that wait for each other in order; all others wait for as long as the last of them.
	turn  = 150 * time.Millisecond
	turns = 3
	// idle is the resolution of the wait for MaxAge.
	idle = 50 * time.Millisecond
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

	mu     sync.Mutex
	next   uint64
	synced bool
	// seen is the offset of the newest record of each key; records are those that said something new.
	seen    map[string]uint64
	records map[string]Record
	// followed is the offset from which on all records are known, removals included. What was removed
	// before it is not in records, because the newest record of each key does not tell.
	followed uint64
	// rank is the place of this router in the order of reading.
	rank int
	// ahead is the highest position that a peer is known to have reached.
	ahead uint64
	// freshAt is when the store was last known to have nothing beyond next, and failing the error of
	// the last own read.
	freshAt time.Time
	failing error
	fails   int
}

// NewFollower returns a follower that has read nothing.
func NewFollower(id ID, source Source, sink Sink, pace Pace) *Follower {
	return &Follower{id: id, source: source, sink: sink, pace: pace, now: time.Now, seen: make(map[string]uint64), records: make(map[string]Record)}
}

// Run reads until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		f.awaitAge(ctx)
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			sleep(ctx, f.failed(err))
			continue
		}
		f.answered()
	}
}

// awaitAge waits until a feed that is read without waiting is old enough to be read again, or a peer is
// known to have read on.
func (f *Follower) awaitAge(ctx context.Context) {
	drift := time.Duration(rand.Int64N(int64(turn / 2)))
	for ctx.Err() == nil {
		f.mu.Lock()
		limit := f.pace.MaxAge
		if limit > 0 {
			limit += time.Duration(min(f.rank, turns))*turn + drift
		}
		due := f.freshAt.IsZero() || f.ahead > f.next || f.now().Sub(f.freshAt) >= limit
		f.mu.Unlock()
		if due {
			return
		}
		sleep(ctx, idle)
	}
}

// SetPace changes how the feed is read.
func (f *Follower) SetPace(pace Pace) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pace = pace
}

// SetRank sets how many other routers read before this one. Were all to read at the same age, each would
// read before it hears of the others.
func (f *Follower) SetRank(rank int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rank = rank
}

// Ahead notes that a peer has reached a position, although it did not pass its records on.
func (f *Follower) Ahead(next uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ahead = max(f.ahead, next)
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
	from, synced, wait := f.next, f.synced, f.pace.Wait
	if f.failing != nil {
		// A read that waits would find the return of the store only at the end of its wait.
		wait = 0
	}
	f.mu.Unlock()
	if !synced {
		return f.readAll(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+f.timeout())
	defer cancel()
	begin := f.now()
	records, next, err := f.source.Read(ctx, f.id, from, wait)
	if errors.Is(err, ErrExpired) {
		f.mu.Lock()
		f.synced = false
		f.mu.Unlock()
		return f.readAll(ctx)
	}
	if err != nil {
		return err
	}
	if len(records) == 0 && wait > 0 {
		// The store says that there was nothing up to the end of the wait.
		begin = f.now()
	}
	f.Merge(records, next, begin)
	return nil
}

// timeout is the time for an answer.
func (f *Follower) timeout() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return min(longestAnswer, answerTimeout<<min(f.fails, 8))
}

func (f *Follower) readAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*f.timeout())
	defer cancel()
	begin := f.now()
	records, next, err := f.source.Newest(ctx, f.id)
	if err != nil {
		return err
	}
	f.Merge(records, next, begin)
	f.mu.Lock()
	f.synced = true
	f.followed = next
	f.mu.Unlock()
	keys := make(map[string]bool, len(records))
	for _, r := range records {
		keys[r.Key] = true
	}
	f.sink.Complete(keys)
	return nil
}

// Merge takes records and a position over, from the store or from a peer. freshAt is when the store
// had nothing beyond the position.
func (f *Follower) Merge(records []Record, next uint64, freshAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if next < f.next {
		// The sender is behind; its records are checked one by one, its freshness is not taken.
		freshAt = f.freshAt
	}
	if !f.freshAt.IsZero() && freshAt.Sub(f.freshAt) > outageAfter+f.pace.Wait {
		f.sink.Returned()
	}
	if f.next == 0 {
		f.followed = next
	}
	for _, r := range records {
		if known, ok := f.seen[r.Key]; ok && known >= r.Offset {
			continue
		}
		f.seen[r.Key] = r.Offset
		if f.sink.Apply(r) {
			f.records[r.Key] = r
		}
	}
	f.next = max(f.next, next)
	if freshAt.After(f.freshAt) {
		f.freshAt = freshAt
	}
}

// News is what one router tells another of a feed.
type News struct {
	// Base is the offset from which on Records holds all that said something new, and Followed the one
	// from which on removals are among them.
	Base, Followed uint64
	Records        []Record
	// Next is the position of the sender, and FreshAt when the store had nothing beyond it.
	Next    uint64
	FreshAt time.Time
}

// Since returns what a peer at an offset is missing.
func (f *Follower) Since(from uint64) News {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := News{Base: from, Followed: f.followed, Next: f.next, FreshAt: f.freshAt}
	if from >= f.next {
		return n
	}
	for _, r := range f.records {
		if r.Offset >= from {
			n.Records = append(n.Records, r)
		}
	}
	return n
}

// Learn takes the news of a peer over if they bridge the gap between this router's position and the
// peer's. Removals that the peer does not know would be skipped otherwise; a router without a position
// has nothing that could have been removed.
func (f *Follower) Learn(n News) {
	own := f.Position()
	if n.Base > own || (own > 0 && own < n.Followed) {
		return
	}
	f.Merge(n.Records, n.Next, n.FreshAt)
}

// Position returns the offset of the next record.
func (f *Follower) Position() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// Failing reports whether the last read of the store failed.
func (f *Follower) Failing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failing != nil
}

// Age returns the time since the feed was last known to be complete, -1 before the first answer.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.freshAt.IsZero() {
		return -1
	}
	return f.now().Sub(f.freshAt)
}

// FreshAt returns the time up to which the feed is known, zero before the first answer.
func (f *Follower) FreshAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.freshAt
}

// Between calls look while no records are being taken over, so that it does not see a part of them. look must not
// call the follower.
func (f *Follower) Between(look func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	look()
}

// failed notes a failed read and returns the pause before the next one.
func (f *Follower) failed(err error) time.Duration {
	f.mu.Lock()
	first := f.failing == nil
	f.failing = err
	f.fails++
	pause := min(longestRetry, firstRetry<<min(f.fails-1, 8))
	if f.pace.MaxAge > 0 && !f.freshAt.IsZero() && f.now().Sub(f.freshAt) < outageAfter && f.fails > 1 {
		pause = sparedRetry
	}
	f.mu.Unlock()
	if f.OnFailure != nil {
		f.OnFailure(f.id, err)
	}
	if first && f.OnState != nil {
		f.OnState(f.id, err)
	}
	return pause
}

func (f *Follower) answered() {
	f.mu.Lock()
	back := f.failing != nil
	f.failing = nil
	f.fails = 0
	f.mu.Unlock()
	if back && f.OnState != nil {
		f.OnState(f.id, nil)
	}
}
