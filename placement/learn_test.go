package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var learnStart = time.Unix(1_800_000_000, 0)

// Hints that are old, removed or displaced must not direct chats, and memory must stay bounded.
func TestCacheHints(t *testing.T) {
	is := is.New(t)
	h := NewCacheHints(8, learnStart)
	h.Add(1, 100, learnStart)
	h.Add(1, 200, learnStart.Add(time.Minute))
	h.Add(1, 100, learnStart.Add(-time.Second)) // a late event must not make a hint older
	is.Equal(len(h.Holders(nil, 1, learnStart.Add(time.Minute), 2*time.Minute)), 2)
	is.Equal(h.Holders(nil, 1, learnStart.Add(time.Minute), 30*time.Second), []uint64{200})
	h.Remove(1, 200)
	is.Equal(h.Holders(nil, 1, learnStart.Add(time.Minute), 2*time.Minute), []uint64{100})
	for group := range uint64(100) {
		for instance := range uint64(2 * MaxHolders) {
			h.Add(group+2, instance+1, learnStart.Add(time.Hour))
		}
	}
	is.Equal(len(h.Holders(nil, 1, learnStart, time.Hour)), 0)
	is.Equal(len(h.Holders(nil, 101, learnStart.Add(time.Hour), time.Hour)), MaxHolders)
}

// The estimate must settle between the ages that hit and those that miss, from either side.
func TestRetentionSettles(t *testing.T) {
	is := is.New(t)
	for _, initial := range []time.Duration{time.Minute, time.Hour} {
		r := NewRetention(initial)
		for i := range 20000 {
			age := time.Duration(i%600) * time.Second
			r.Observe(age, age < 200*time.Second)
		}
		is.True(r.Estimate() > 190*time.Second && r.Estimate() < 300*time.Second)
	}
}

// A share that never decays, or that grows with the number of groups, would spread cold documents.
func TestHeatShares(t *testing.T) {
	is := is.New(t)
	h := NewHeat(time.Minute, learnStart)
	share := 0.0
	for i := range 1000 {
		h.Observe(uint64(i+10), 50, learnStart)
		share = h.Observe(1, 50, learnStart)
	}
	is.True(share > 0.45 && share < 0.55)
	later := learnStart.Add(100 * time.Minute) // beyond the rescaling
	for i := range 1000 {
		h.Observe(uint64(i+10), 50, later)
	}
	is.True(h.Observe(1, 50, later) < 0.01)
}

// New loads must not change the snapshot that other goroutines use.
func TestWithLoadsLeavesTheOriginal(t *testing.T) {
	is := is.New(t)
	p := NewPool("p", []Candidate{{ID: "a", Load: 1}, {ID: "b", Load: 1}}, 1)
	next := p.WithLoads(5, func(*Candidate) (int64, time.Duration) { return 5, time.Second })
	is.Equal(p.At(0).Load, int64(1))
	is.Equal(next.At(1).Load, int64(5))
	is.Equal(next.Mean(), int64(5))
	is.Equal(next.Find("b"), 1)
}
