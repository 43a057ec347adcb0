package sidecar

import (
	"testing"

	"github.com/matryer/is"
	"jacinthfork.example/jacinthfork/internal/proptest"
	"jacinthfork.example/jacinthfork/verdict"
	"jacinthfork.example/jacinthfork/wire"
	"pgregory.net/rapid"
)

// Once a cancel was answered with NOT_RUN the attempt must never start, and an attempt that started
// must never be answered with NOT_RUN, whatever arrives late, twice or out of order.
func TestCancelledAttemptNeverStarts(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		table := newAttempts()
		started, notRun := map[uint64]bool{}, map[uint64]bool{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			// Sequences reach beyond the bound of the table, so that its floor takes part.
			sequence := rapid.Uint64Range(1, 40).Draw(t, "sequence") * (maxAttemptsPerRouter / 10)
			id := &wire.AttemptID{Router: "r", RouterIncarnation: 7, Sequence: sequence}
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				table.admit(id)
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
					table.admit(&wire.AttemptID{Router: "r", RouterIncarnation: 7, Sequence: sequence + filler + 1})
				}
			}
			if started[sequence] && notRun[sequence] {
				t.Fatalf("attempt %d started and was reported as not run", sequence)
			}
		}
	})
}

// A router that was dropped from the table must not make its old attempts look new.
func TestEvictedRouterIsNotForgotten(t *testing.T) {
	is := is.New(t)
	table := newAttempts()
	old := &wire.AttemptID{Router: "old", RouterIncarnation: 1, Sequence: 1}
	is.True(table.admit(old))
	is.True(table.start(old))
	for i := range uint64(maxRouterIncarnations) {
		table.admit(&wire.AttemptID{Router: "r", RouterIncarnation: 2 + i, Sequence: 1})
	}
	is.Equal(table.cancel(old), wire.Verdict_UNKNOWN)
	is.True(!table.admit(old))
}

// A copy of an attempt that has started must be refused without the claim that it did not run.
func TestCopyOfStartedAttemptMayHaveRun(t *testing.T) {
	is := is.New(t)
	table := newAttempts()
	started := &wire.AttemptID{Router: "r", RouterIncarnation: 1, Sequence: 1}
	cancelled := &wire.AttemptID{Router: "r", RouterIncarnation: 1, Sequence: 2}
	is.True(table.admit(started))
	is.True(table.start(started))
	is.Equal(table.cancel(cancelled), wire.Verdict_NOT_RUN)
	is.True(!table.admit(started))
	is.Equal(table.refusal(started), verdict.Unknown)
	is.True(!table.admit(cancelled))
	is.Equal(table.refusal(cancelled), verdict.NotRun)
}
