package pool

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a pool that is emptied by failures that all its instances share.
func TestHalfOfThePoolStays(t *testing.T) {
	is := is.New(t)
	r, _ := testRegistry()
	for n := range 6 {
		r.Publish(engine(n))
	}
	for n := range 200 {
		r.Choose(prompt(uint64(n))).Release(Errored)
	}
	s := r.Summary("llm")
	is.Equal(s.Ejected, 3)
	is.Equal(s.Usable, 3)
}

// Guards against instances that are ejected for errors that their service makes in normal
// operation, one in seven here, and against one that keeps its work although it fails half of it.
func TestOrdinaryErrorsEjectNobody(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(5, 6))
	ejections := func(share, normal float64) int {
		var h health
		n := 0
		now := time.Unix(0, 0)
		for range 1000 {
			outcome := Served
			if random.Float64() < share {
				outcome = Errored
			}
			if h.note(outcome, normal, now) {
				n++
				h = health{}
			}
		}
		return n
	}
	is.True(ejections(0.14, 0.14) <= 10)
	is.True(ejections(0.5, 0.05) >= 30)
}

// Guards against an instance that gets a burst at the end of its time away, and against one that is
// never tried again.
func TestReadmissionIsByOneRequest(t *testing.T) {
	is := is.New(t)
	r, c := testRegistry()
	r.Publish(engine(1))
	l := r.Choose(prompt(1))
	is.True(l.Release(Unreachable))
	r.Publish(engine(2))
	for range 8 {
		l := r.Choose(prompt(1))
		is.Equal(l.Instance.ID, "i-02")
		l.Release(Served)
	}
	c.advance(firstEjection)
	atFirst := 0
	var open []*Lease
	for n := range 8 {
		l := r.Choose(prompt(uint64(n)))
		open = append(open, l)
		if l.Instance.ID == "i-01" {
			atFirst++
		}
	}
	is.True(atFirst <= 1)
	for _, l := range open {
		l.Release(Served)
	}
	served := false
	for n := range 50 {
		l := r.Choose(prompt(uint64(n)))
		served = served || l.Instance.ID == "i-01"
		l.Release(Served)
	}
	is.True(served)
}

// Guards against requests that go to an instance that has gone silent while others answer.
func TestStalledInstanceGetsNoMore(t *testing.T) {
	is := is.New(t)
	r, c := testRegistry()
	r.Publish(engine(1))
	r.Publish(engine(2))
	first := r.Choose(prompt(7))
	c.advance(2 * DefaultSettings().StallAfter)
	is.True(first.Stalled(DefaultSettings().StallAfter))
	for range 4 {
		l := r.Choose(prompt(7))
		is.True(l.Instance.ID != first.Instance.ID)
		is.Equal(l.FetchFrom, "") // a silent holder gives nothing
		l.Release(Served)
	}
	first.Progress()
	is.True(!first.Stalled(DefaultSettings().StallAfter))
}
