package sidecar

import (
	"testing"

	"github.com/matryer/is"
	"jacinthfork.example/jacinthfork/internal/proptest"
	"jacinthfork.example/jacinthfork/verdict"
	"jacinthfork.example/jacinthfork/wire"
	"pgregory.net/rapid"
)

// An attempt whose cancellation returned NOT_RUN must never start, and cancelling an attempt that has started
// must never return NOT_RUN, in whatever order and however often the messages arrive.
func TestCancelledAttemptNeverStarts(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		table := newAttemptTable()
		started, notRun := map[uint64]bool{}, map[uint64]bool{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			// Sequence numbers exceed the size limit of the table, so that attempts below its floor occur
			// too.
			sequence := rapid.Uint64Range(1, 40).Draw(t, "sequence") * (maxAttemptsPerRouter / 10)
			id := &wire.AttemptID{Router: "r", RouterIncarnation: 7, Sequence: sequence}
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				table.register(id)
			case 1:
				if table.start(id) {
					started[sequence] = true
				}
			case 2:
				if table.cancel(id) == wire.Verdict_NOT_RUN {
					notRun[sequence] = true
				}
			case 3:
				for filler := range uint64(maxAttemptsPerRouter / 2) {
					table.register(&wire.AttemptID{Router: "r", RouterIncarnation: 7, Sequence: sequence + filler + 1})
				}
			}
			if started[sequence] && notRun[sequence] {
				t.Fatalf("attempt %d started although its cancellation returned NOT_RUN", sequence)
			}
		}
	})
}

// After a router was evicted from the table, its old attempts must not be accepted as new ones.
func TestAttemptsOfEvictedRouterAreRefused(t *testing.T) {
	is := is.New(t)
	table := newAttemptTable()
	old := &wire.AttemptID{Router: "old", RouterIncarnation: 1, Sequence: 1}
	is.True(table.register(old))
	is.True(table.start(old))
	for i := range uint64(maxRouterIncarnations) {
		table.register(&wire.AttemptID{Router: "r", RouterIncarnation: 2 + i, Sequence: 1})
	}
	is.Equal(table.cancel(old), wire.Verdict_UNKNOWN)
	is.True(!table.register(old))
}

// A duplicate of an attempt that has started must be refused with the verdict unknown, not with not-run.
func TestDuplicateOfStartedAttemptHasUnknownVerdict(t *testing.T) {
	is := is.New(t)
	table := newAttemptTable()
	started := &wire.AttemptID{Router: "r", RouterIncarnation: 1, Sequence: 1}
	cancelled := &wire.AttemptID{Router: "r", RouterIncarnation: 1, Sequence: 2}
	is.True(table.register(started))
	is.True(table.start(started))
	is.Equal(table.cancel(cancelled), wire.Verdict_NOT_RUN)
	is.True(!table.register(started))
	is.Equal(table.refusalVerdict(started), verdict.Unknown)
	is.True(!table.register(cancelled))
	is.Equal(table.refusalVerdict(cancelled), verdict.NotRun)
}
