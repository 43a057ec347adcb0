package poison

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// simulation replays the load pattern of the package: routers with a table each send requests to engines, and what one
// learns reaches the others after a delay.
type simulation struct {
	clock   *clock
	tables  []*Table
	random  *rand.Rand
	engines []engine
	flights []flight
	// crashes, refusedSound and sentDeadly are counted.
	crashes, sound, refusedSound, sentDeadly int
}

type engine struct {
	downUntil time.Time
	crash     uint32
}

type flight struct {
	router, engine     int
	deadly             bool
	attempt            *Attempt
	answerAt, detected time.Time
	crashed            bool
}

const (
	simulatedTick     = 10 * time.Millisecond
	simulatedExchange = 300 * time.Millisecond
	simulatedPrefill  = 250 * time.Millisecond
	// simulatedDetection is the time from a broken connection to the report of a crash.
	simulatedDetection = 200 * time.Millisecond
	simulatedRestart   = 3 * time.Second
)

// step advances the simulation by one tick in which the given number of requests come.
func (s *simulation) step(requests float64, deadlyShare float64, guides int) {
	s.clock.at = s.clock.at.Add(simulatedTick)
	now := s.clock.at
	for n := requests; n > 0 && (n >= 1 || s.random.Float64() < n); n-- {
		s.send(now, s.random.Float64() < deadlyShare, guides)
	}
	crashed := make(map[int]bool)
	for i := range s.flights {
		if f := &s.flights[i]; f.deadly && !f.crashed && !now.Before(f.answerAt) {
			crashed[f.engine] = true
		}
	}
	for e := range crashed {
		s.crashes++
		s.engines[e] = engine{downUntil: now.Add(simulatedRestart), crash: uint32(s.crashes)}
	}
	reports := make(map[[2]int][]*Attempt)
	kept := s.flights[:0]
	for _, f := range s.flights {
		switch {
		case crashed[f.engine] && !f.crashed:
			f.crashed, f.detected = true, now.Add(simulatedDetection)
			kept = append(kept, f)
		case f.crashed && !now.Before(f.detected):
			key := [2]int{f.router, f.engine}
			reports[key] = append(reports[key], f.attempt)
		case !f.crashed && !now.Before(f.answerAt):
			s.tables[f.router].RecordAnswer(f.attempt.request)
		default:
			kept = append(kept, f)
		}
	}
	s.flights = kept
	for key, attempts := range reports {
		s.tables[key[0]].RecordCrash(s.engines[key[1]].crash, now.Add(-simulatedDetection), attempts)
	}
	if now.UnixMilli()%simulatedExchange.Milliseconds() == 0 {
		exchange(s.tables...)
	}
}

func (s *simulation) send(now time.Time, isDeadly bool, guides int) {
	// Few guides make up most of the load.
	document := uint64(1000 + int(float64(guides)*s.random.Float64()*s.random.Float64()*s.random.Float64()))
	parts := []uint64{guide, document}
	if isDeadly {
		parts = append(parts, deadly)
	}
	router := s.random.IntN(len(s.tables))
	if !isDeadly {
		s.sound++
	}
	if blocked(s.tables[router], parts...) {
		if !isDeadly {
			s.refusedSound++
		}
		return
	}
	target := s.random.IntN(len(s.engines))
	for n := 0; now.Before(s.engines[target].downUntil) && n < len(s.engines); n++ {
		target = (target + 1) % len(s.engines)
	}
	if isDeadly {
		s.sentDeadly++
	}
	s.flights = append(s.flights, flight{
		router: router, engine: target, deadly: isDeadly, attempt: s.tables[router].Begin(prompt(parts...)),
		answerAt: now.Add(simulatedPrefill/2 + time.Duration(s.random.Int64N(int64(simulatedPrefill)))),
	})
}

// Guards against more crashes than the chain needs, and against sound requests that are refused, at several rates and sizes
// of the fleet.
func TestLoadWithADeadlyPart(t *testing.T) {
	cases := []struct {
		name             string
		routers, engines int
		// rate is in requests a second.
		rate        float64
		deadlyShare float64
		guides      int
		// maxSent is the number of requests with the part at its rate within the time that three crashes of a chain need:
		// answer, detection and exchange, and those on their way.
		maxSent int
	}{
		{"few", 4, 18, 30, 0.05, 30, 12},
		{"many", 4, 18, 30, 0.3, 30, 40},
		{"rare documents", 4, 18, 30, 0.05, 3000, 12},
		{"large fleet", 100, 180, 300, 0.05, 300, 60},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			clock, tables := newTables(c.routers)
			s := &simulation{clock: clock, tables: tables, random: rand.New(rand.NewPCG(1, 2)), engines: make([]engine, c.engines)}
			for range int(30 * time.Second / simulatedTick) {
				s.step(c.rate*simulatedTick.Seconds(), c.deadlyShare, c.guides)
			}
			t.Logf("crashes %d, requests with the part sent %d, sound requests %d, of these refused %d", s.crashes, s.sentDeadly, s.sound, s.refusedSound)
			is.True(s.sentDeadly >= blockDepth)
			is.True(s.sentDeadly <= c.maxSent)
			is.Equal(s.refusedSound, 0)
			for _, table := range tables {
				is.True(blocked(table, guide, deadly))
			}
		})
	}
}
