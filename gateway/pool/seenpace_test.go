package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a pace that is recorded for late responses and changes limits, placement or what the keeper is told, and
// against one that is absurd, old, or the pool's usual one and makes an instance look slow.
func TestSeenPaceChangesNothingElse(t *testing.T) {
	is := is.New(t)
	other, keeper, c := pacedFleet()
	l := other.leaseOn(0)
	is.Equal(l.RelativePace(), 0.0)
	for _, absurd := range []int{-5, 0, 9, 3001, 1 << 40} {
		is.True(!l.RecordSeenPace(absurd))
	}
	is.Equal(l.RelativePace(), 0.0)

	is.True(l.RecordSeenPace(400))
	is.Equal(l.RelativePace(), 2.0) // the mean of 400, 100 and 100 is 200
	is.True(!other.Paced("llm"))
	is.Equal(other.TakeObservation(KeyOf(testInstance(0).ID)), Observation{})
	is.True(!keeper.Paced("llm"))
	_, ok := other.PlaceLimit(KeyOf(testInstance(0).ID))
	is.True(!ok)

	for n := range 3 {
		is.True(other.leaseOn(n).RecordSeenPace(400))
	}
	c.advance(meanPaceInterval)
	is.True(l.RelativePace() < 1.01) // all are as slow

	c.advance(10 * time.Second)
	is.True(l.RelativePace() < 1.01)
	c.advance(pacedTTL)
	is.Equal(l.RelativePace(), 0.0)
}

// Guards against a paced pool whose keeper's pace is not used.
func TestRelativePaceOfAPacedPool(t *testing.T) {
	is := is.New(t)
	other, _, _ := pacedFleet()
	l := other.leaseOn(0)
	is.True(l.RecordPace(400))
	is.Equal(l.RelativePace(), 2.0)
}
