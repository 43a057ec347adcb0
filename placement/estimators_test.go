package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var testStart = time.Unix(1_800_000_000, 0)

// Hints that are outdated, removed or evicted must not be returned, and memory must stay bounded.
func TestCacheHintsExpireAndStayBounded(t *testing.T) {
	is := is.New(t)
	h := NewCacheHints(8, testStart)
	h.Add(1, 100, testStart)
	h.Add(1, 200, testStart.Add(time.Minute))
	h.Add(1, 100, testStart.Add(-time.Second)) // a delayed event must not make a hint older
	is.Equal(len(h.Holders(nil, 1, testStart.Add(time.Minute), 2*time.Minute)), 2)
	is.Equal(h.Holders(nil, 1, testStart.Add(time.Minute), 30*time.Second), []uint64{200})
	h.Remove(1, 200)
	is.Equal(h.Holders(nil, 1, testStart.Add(time.Minute), 2*time.Minute), []uint64{100})
	for group := range uint64(100) {
		for instance := range uint64(2 * MaxHolders) {
			h.Add(group+2, instance+1, testStart.Add(time.Hour))
		}
	}
	is.Equal(len(h.Holders(nil, 1, testStart, time.Hour)), 0)
	is.Equal(len(h.Holders(nil, 101, testStart.Add(time.Hour), time.Hour)), MaxHolders)
}

// The estimate must converge to a value between the ages that hit and those that miss, from an initial
// value below or above it.
func TestRetentionConverges(t *testing.T) {
	is := is.New(t)
	for _, initial := range []time.Duration{time.Minute, time.Hour} {
		r := NewRetentionEstimator(initial)
		for i := range 20000 {
			age := time.Duration(i%600) * time.Second
			r.Observe(age, age < 200*time.Second)
		}
		is.True(r.Estimate() > 190*time.Second && r.Estimate() < 300*time.Second)
	}
}

// If shares did not decay, or grew with the number of groups, rarely used documents would be spread over
// many instances.
func TestGroupShareDecaysAndIgnoresOtherGroups(t *testing.T) {
	is := is.New(t)
	h := NewShareSketch(time.Minute, testStart)
	share := 0.0
	for i := range 1000 {
		h.Observe(uint64(i+10), 50, testStart)
		share = h.Observe(1, 50, testStart)
	}
	is.True(share > 0.45 && share < 0.55)
	later := testStart.Add(100 * time.Minute) // past the rescaling of the counts
	for i := range 1000 {
		h.Observe(uint64(i+10), 50, later)
	}
	is.True(h.Observe(1, 50, later) < 0.01)
}

// WithLoads must not modify the original snapshot, which other goroutines may be using.
func TestWithLoadsDoesNotModifyOriginal(t *testing.T) {
	is := is.New(t)
	p := NewPool("p", []Candidate{{ID: "a", Load: 1}, {ID: "b", Load: 1}}, 1)
	next := p.WithLoads(5, func(*Candidate) (int64, time.Duration) { return 5, time.Second })
	is.Equal(p.At(0).Load, int64(1))
	is.Equal(next.At(1).Load, int64(5))
	is.Equal(next.MeanLoad(), int64(5))
	is.Equal(next.Find("b"), 1)
}
