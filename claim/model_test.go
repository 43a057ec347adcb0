package claim

import (
	"context"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"jacinthfork.example/jacinthfork/internal/proptest"
)

// The model runs a drawn script of requests and failures against several holders in virtual time
// and compares their answers with the executions that a fake service counted. A long random run:
//
//	go test ./claim -run TestModel -rapid.seed=7 -rapid.checks=100000

type behaviour int

const (
	serviceRuns behaviour = iota
	serviceRefuses
	serviceRunsAndBreaks
	serviceBreaksBefore
	serviceAnswersTooMuch
	behaviours
)

type scriptRequest struct {
	at, deadline, delay time.Duration
	holder, key, body   int
	service             behaviour
}

type disturbance int

const (
	crashHolder disturbance = iota
	pauseHolder
	logOutage
	disturbances
)

type scriptEvent struct {
	at, length time.Duration
	kind       disturbance
	holder     int
}

type script struct {
	seed      uint64
	holders   int
	keyTimes  []time.Duration
	skews     []time.Duration
	crashStep []int // gate passages until the n-th incarnation crashes
	retention time.Duration
	faults    int // percentage of log operations that fail
	requests  []scriptRequest
	events    []scriptEvent
}

const (
	modelWindow     = 20 * time.Second
	modelSkew       = 2 * time.Second
	modelClockError = 2 * time.Second
	modelLapse      = 2 * time.Second
	modelLength     = 50 * time.Second
)

func drawDuration(t *rapid.T, low, high time.Duration, label string) time.Duration {
	return time.Duration(rapid.Int64Range(int64(low), int64(high)).Draw(t, label))
}

// seconds draws one of the values, because rapid's integer ranges prefer the ends.
func seconds(t *rapid.T, label string, values ...float64) time.Duration {
	return time.Duration(rapid.SampledFrom(values).Draw(t, label) * float64(time.Second))
}

func drawScript(t *rapid.T) script {
	s := script{
		seed:    rapid.Uint64().Draw(t, "seed"),
		holders: rapid.IntRange(2, 3).Draw(t, "holders"),
		// The shorter one leaves a second between the end of a key and the end of its records.
		retention: seconds(t, "retention", 90, 90, 25),
		faults:    rapid.SampledFrom([]int{0, 5, 30}).Draw(t, "faults"),
	}
	for range rapid.IntRange(1, 3).Draw(t, "keys") {
		s.keyTimes = append(s.keyTimes, seconds(t, "key time", -18, -5, 0, 1, 3, 20))
	}
	for range s.holders {
		s.skews = append(s.skews, drawDuration(t, -modelClockError/2, modelClockError/2, "clock"))
		s.crashStep = append(s.crashStep, rapid.IntRange(1, 60).Draw(t, "crash step"))
	}
	for range rapid.IntRange(2, 16).Draw(t, "requests") {
		s.requests = append(s.requests, scriptRequest{
			at:       seconds(t, "burst", 0, 0, 0, 2, 4, 8, 16, 32) + drawDuration(t, 0, 100*time.Millisecond, "at"),
			deadline: seconds(t, "deadline", 0.03, 0.1, 0.5, 2, 8),
			delay:    seconds(t, "delay", 0.01, 0.1, 1, 3),
			holder:   rapid.IntRange(0, s.holders-1).Draw(t, "holder"),
			key:      rapid.IntRange(0, len(s.keyTimes)-1).Draw(t, "key"),
			body:     rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "body"),
			service:  behaviour(rapid.IntRange(0, int(behaviours)-1).Draw(t, "service")),
		})
	}
	for range rapid.IntRange(0, 4).Draw(t, "events") {
		s.events = append(s.events, scriptEvent{
			at:     seconds(t, "event burst", 0, 0, 0, 2, 4, 8, 16, 32) + seconds(t, "event at", 0.01, 0.03, 0.1, 0.5, 2),
			length: seconds(t, "length", 0.02, 0.2, 1, 5, 15),
			kind:   disturbance(rapid.IntRange(0, int(disturbances)-1).Draw(t, "kind")),
			holder: rapid.IntRange(0, s.holders-1).Draw(t, "event holder"),
		})
	}
	return s
}

// variant is a deliberately broken protocol that the model must detect.
type variant int

const (
	correct variant = iota
	noReadBack
	claimsLapse
	unknownIsReleased
)

// simulate runs a script and returns the violated invariants. answers counts the kinds of answers.
func simulate(t *testing.T, s script, broken variant, answers map[string]int) (violations []string) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{
			script: s, variant: broken, log: newMemLog(), start: time.Now(),
			faults:     s.faults,
			random:     rand.New(rand.NewPCG(s.seed, 1)),
			procs:      make([]*process, s.holders),
			executions: make(map[int][]execution), ranRequest: make(map[int]bool), answers: answers,
		}
		w.log.retention = s.retention
		for h := range s.holders {
			w.boot(h, 1)
		}
		w.recordLayout()
		for n, q := range s.requests {
			w.wg.Go(func() {
				time.Sleep(q.at)
				w.request(n, q)
			})
		}
		for _, e := range s.events {
			w.wg.Go(func() {
				time.Sleep(e.at)
				w.disturb(e)
			})
		}
		w.wg.Go(func() { time.Sleep(modelLength) })
		w.wg.Wait()
		w.end()
		violations = w.violations
	})
	return violations
}

// end checks the totals and that no holder keeps a slot once the log works.
func (w *world) end() {
	for key, runs := range w.executions {
		if len(runs) > 1 {
			w.violate("key %d: executed %d times: %v", key, len(runs), runs)
		}
	}
	w.mu.Lock()
	w.faults = 0
	w.mu.Unlock()
	for _, p := range w.procs {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		if err := p.keeper.Flush(ctx); err != nil && !p.dead {
			w.violate("holder %d: entries never reached the log: %v", p.holder, err)
		}
		cancel()
		if n := p.keeper.pending.Load(); n != 0 && !p.dead {
			w.violate("holder %d: %d slots are still taken", p.holder, n)
		}
		w.mu.Lock()
		p.dead = true
		w.mu.Unlock()
		p.keeper.Close()
	}
}

// Random interleavings of duplicates, crashes, pauses, lost and late appends, outages, expiry and
// clock differences must not break an invariant.
func TestModel(t *testing.T) {
	answers := make(map[string]int)
	proptest.Check(t, func(rt *rapid.T) {
		s := drawScript(rt)
		if v := simulate(t, s, correct, answers); len(v) > 0 {
			rt.Fatalf("%s", strings.Join(v, "\n"))
		}
	})
	t.Log(answers)
}

// The model must be able to see a second run: each broken variant has to fail it.
func TestModelDetectsBrokenVariants(t *testing.T) {
	const scripts = 2000
	generator := rapid.Custom(drawScript)
	for name, broken := range map[string]variant{"no read-back": noReadBack, "claims lapse": claimsLapse, "unknown is released": unknownIsReleased} {
		t.Run(name, func(t *testing.T) {
			for i := range scripts {
				for _, v := range simulate(t, generator.Example(i), broken, make(map[string]int)) {
					if strings.Contains(v, "times") {
						t.Logf("script %d: %s", i, v)
						return
					}
				}
			}
			t.Fatalf("no second run in %d scripts", scripts)
		})
	}
}
