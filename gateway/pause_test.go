package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a stop that ends after the process was killed, because a signal that waited while the process did not run
// counts from when it was noticed, and against a stop that is cut short although the process has run all the while.
func TestPausesCountAsPartOfTheGracePeriod(t *testing.T) {
	const grace = 8 * time.Second
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	for name, c := range map[string]struct {
		// ran holds when the process ran after it had run steadily until 0.
		ran     []int
		noticed int
		// sent is when the signal may have been sent at the earliest.
		sent int
	}{
		"runs all the while":                      {[]int{50, 100, 150}, 170, 170},
		"late notes":                              {[]int{150, 300}, 340, 340},
		"frozen, signal noticed first":            {nil, 3000, 0},
		"frozen, signal noticed soon after":       {[]int{3000, 3050}, 3060, 0},
		"frozen, signal after it":                 {[]int{3000, 3050, 3100}, 3120, 3120},
		"frozen, then short of processor time":    {[]int{3000, 3240}, 3250, 3000},
		"short of processor time for a long time": {[]int{250, 500, 750, 1000, 1250, 1500}, 1510, 1250},
		"frozen for longer than the grace period": {nil, 20_000, 20_000 - 7000},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			start := time.Now()
			var p pauseDetector
			for before := 1000; before >= 0; before -= 50 {
				p.note(start.Add(-ms(before)))
			}
			for _, at := range c.ran {
				p.note(start.Add(ms(at)))
			}
			is.Equal(p.earliestSignal(start.Add(ms(c.noticed)), grace).Sub(start), ms(c.sent))
		})
	}
	is := is.New(t)
	var fresh pauseDetector
	now := time.Now()
	is.Equal(fresh.earliestSignal(now, grace), now)
}
