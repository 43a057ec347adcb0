package overload

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// testObjective is the shortest objective in the tests, testDelay the bound that follows from it.
const (
	testObjective = 300 * time.Millisecond
	testDelay     = testObjective / waitsPerObjective
)

// process is a process whose delays are given, with a controller.
type process struct {
	*Controller
	now time.Time
}

func newProcess() *process {
	p := &process{New(rand.New(rand.NewPCG(1, 2)).Float64), time.Unix(1000, 0)}
	p.SetObjective(testObjective)
	return p
}

// measure takes one measurement.
func (p *process) measure(delay time.Duration) {
	p.now = p.now.Add(SampleInterval + delay)
	p.Observe(p.now, delay)
}

// measureFor takes measurements of the same delay for a time.
func (p *process) measureFor(d, delay time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); {
		p.measure(delay)
	}
}

// admits counts how many of n requests are accepted.
func (p *process) admits(n, priority int, organisation string) (accepted int) {
	for range n {
		if ok, _ := p.Admit(p.now, priority, organisation); ok {
			accepted++
		}
	}
	return accepted
}

// Guards against refusals by a process that has processor time, whatever its load is, because single measurements are late: by
// garbage collection, by slices of a quota, or by a pause of any length.
func TestCalmProcessRefusesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newProcess()
		for range rapid.IntRange(1, 20).Draw(t, "parts") {
			if rapid.Bool().Draw(t, "single delay") {
				p.measure(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			}
			bound := time.Duration(rapid.IntRange(0, int(testDelay.Milliseconds())).Draw(t, "bound")) * time.Millisecond
			p.measureFor(window, bound)
			n := rapid.IntRange(0, 500).Draw(t, "requests")
			if got := p.admits(n, rapid.IntRange(-1, 12).Draw(t, "priority"), "o"); got != n {
				t.Fatalf("%d of %d requests accepted", got, n)
			}
			for range rapid.IntRange(0, n).Draw(t, "ended") {
				p.Done()
			}
		}
	})
}

// Guards against refusals because of a pause: what has arrived during it delays the process for a while.
func TestPauseIsNotOverload(t *testing.T) {
	for _, pause := range []time.Duration{minPause, time.Second, 20 * time.Second} {
		is := is.New(t)
		p := newProcess()
		p.measureFor(time.Second, time.Millisecond)
		is.Equal(p.admits(100, 0, "o"), 100)
		p.measure(pause)
		for range 8 {
			is.Equal(p.admits(50, 2, "o"), 50)
			p.measure(50 * time.Millisecond)
		}
		p.measureFor(time.Second, time.Millisecond)
		is.Equal(p.admits(100, 2, "o"), 100)
		is.Equal(p.State().Pauses, 1)
		is.Equal(p.State().Limit, 0.0)
	}
}

// Guards against the same when the process is frozen again soon after.
func TestPausesInSuccessionAreNotOverload(t *testing.T) {
	is := is.New(t)
	p := newProcess()
	p.measureFor(time.Second, time.Millisecond)
	for range 5 {
		p.measure(minPause)
		p.measureFor(100*time.Millisecond, 30*time.Millisecond)
		p.measure(time.Millisecond)
		is.Equal(p.admits(200, 2, "o"), 200)
	}
	is.Equal(p.State().Limit, 0.0)
}

// Guards against a process that is taken for a frozen one, and refuses nothing, because each of its measurements is late by more
// than a pause.
func TestLongDelaysAreOverload(t *testing.T) {
	is := is.New(t)
	p := newProcess()
	p.admits(200, 0, "o")
	p.measureFor(3*time.Second, 300*time.Millisecond)
	is.True(p.admits(100, 0, "o") < 50)
	is.Equal(p.State().Pauses, 1)
}

// Guards against an overload that is noticed too late, and against one that is remembered for longer than a second.
func TestOverloadIsNoticedAndForgotten(t *testing.T) {
	is := is.New(t)
	p := newProcess()
	p.measureFor(time.Second, time.Millisecond)
	p.admits(100, 0, "o")
	p.measureFor(3*window/2, 3*testDelay)
	is.True(p.State().Share > 0.5)
	p.admits(50, 2, "o")
	is.True(!p.State().RefusedAt.IsZero())
	// Requests end, and none is refused once they no longer reach the limit.
	for p.State().InProgress > 50 {
		p.Done()
	}
	p.measureFor(forgetAfter+window, time.Millisecond)
	is.Equal(p.State().Limit, 0.0)
	is.Equal(p.admits(500, 2, "o"), 500)
}

// Guards against a gateway without load that refuses the only request because other programs take its processor time.
func TestSingleRequestIsServed(t *testing.T) {
	is := is.New(t)
	p := newProcess()
	for range 100 {
		p.measureFor(time.Second/servedPerSecond, 150*time.Millisecond)
		is.Equal(p.admits(1, 9, "o"), 1)
	}
}

// roundingError is above the differences of sums of the same numbers in another order.
const roundingError = 1e-9

// Guards against less urgent requests that are accepted before others, and against priorities and organisations with less than a
// quarter of the average chance, or none: a caller that comes back is accepted in the end.
func TestChancesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newProcess()
		refused := rapid.Float64Range(0, maxShare).Draw(t, "refused")
		for range rapid.IntRange(1, 60).Draw(t, "kinds") {
			n := rapid.IntRange(1, 100).Draw(t, "requests")
			p.admits(n, rapid.IntRange(0, levels-1).Draw(t, "priority"), fmt.Sprint(rapid.IntRange(0, 30).Draw(t, "organisation")))
		}
		for organisation := range p.byOrganisation {
			last := 1.0
			for level := range levels {
				if p.byLevel[level] == 0 {
					continue
				}
				chance := p.chance(refused, level, organisation)
				if chance < (1-refused)/4 || chance <= 0 {
					t.Fatalf("level %d, organisation %s: chance %g, average %g", level, organisation, chance, 1-refused)
				}
				if chance > last+roundingError {
					t.Fatalf("level %d, organisation %s: chance %g, that of a more urgent level %g", level, organisation, chance, last)
				}
				last = chance
			}
		}
	})
}

// Guards against callers that are told to come back at the same time, or later than they could still be served in time.
func TestRetryAfterIsShortAndSpread(t *testing.T) {
	is := is.New(t)
	p := newProcess()
	p.admits(100, 0, "o")
	p.measureFor(time.Second, 5*testDelay)
	var third [3]int
	n := 0
	for range 1000 {
		ok, after := p.Admit(p.now, 0, "o")
		if ok {
			p.Done()
			continue
		}
		is.True(after >= minRetryAfter && after < minRetryAfter+retrySpread)
		third[int(3*(after-minRetryAfter)/time.Duration(maxShare*float64(retrySpread)+1))]++
		n++
	}
	for _, count := range third {
		is.True(count > n/4)
	}
}

// Guards against a limit that a clock which is set back, or stands still, moves without bounds.
func TestClockJumpChangesNothing(t *testing.T) {
	is := is.New(t)
	p := newProcess()
	p.admits(100, 0, "o")
	p.measureFor(time.Second, time.Millisecond)
	p.now = p.now.Add(-time.Hour)
	p.measureFor(time.Second, time.Millisecond)
	is.Equal(p.admits(100, 0, "o"), 100)
}

// Guards against a bound that a process meets which gets its processor time in slices, or one at which callers that have left
// are noticed too late.
func TestBoundFollowsFromTheObjectives(t *testing.T) {
	is := is.New(t)
	p := newProcess()
	for objective, want := range map[time.Duration]time.Duration{
		0: maxMaxDelay, time.Millisecond: minMaxDelay, testObjective: testDelay, 600 * time.Millisecond: 40 * time.Millisecond, time.Hour: maxMaxDelay,
	} {
		p.SetObjective(objective)
		is.Equal(p.State().MaxDelay, want)
	}
}

// BenchmarkAdmit measures what a decision costs while requests are refused.
func BenchmarkAdmit(b *testing.B) {
	p := newProcess()
	p.admits(100, 0, "o")
	p.measureFor(time.Second, 5*testDelay)
	for n := range b.N {
		if ok, _ := p.Admit(p.now, n%3, "o"); ok {
			p.Done()
		}
	}
}
