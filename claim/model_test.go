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

// The model runs a randomly generated script of requests and failures against several holders in virtual time
// and compares their responses with the executions that a fake service counted. A long random run:
//
//	go test ./claim -run TestModelInvariants -rapid.seed=7 -rapid.checks=100000

type serviceBehaviour int

const (
	serviceRuns serviceBehaviour = iota
	serviceRejects
	serviceRunsAndBreaks
	serviceBreaksBeforeRun
	serviceResponseTooLarge
	serviceBehaviourCount
)

type scriptRequest struct {
	at, deadline, delay time.Duration
	holder, key, body   int
	service             serviceBehaviour
}

type failureKind int

const (
	crashHolder failureKind = iota
	pauseHolder
	logOutage
	failureKindCount
)

type failureEvent struct {
	at, length time.Duration
	kind       failureKind
	holder     int
}

type script struct {
	seed         uint64
	holders      int
	keyTimes     []time.Duration
	skews        []time.Duration
	crashSteps   []int // step at which each incarnation crashes, by holder
	retention    time.Duration
	faultPercent int // percentage of log operations that fail
	requests     []scriptRequest
	failures     []failureEvent
}

const (
	modelWindow      = 20 * time.Second
	modelSkew        = 2 * time.Second
	modelClockError  = 2 * time.Second
	modelClaimExpiry = 2 * time.Second
	modelLength      = 50 * time.Second
)

func drawDuration(t *rapid.T, low, high time.Duration, label string) time.Duration {
	return time.Duration(rapid.Int64Range(int64(low), int64(high)).Draw(t, label))
}

// seconds draws one of the given values, because rapid's integer ranges favour their ends.
func seconds(t *rapid.T, label string, values ...float64) time.Duration {
	return time.Duration(rapid.SampledFrom(values).Draw(t, label) * float64(time.Second))
}

func drawScript(t *rapid.T) script {
	s := script{
		seed:    rapid.Uint64().Draw(t, "seed"),
		holders: rapid.IntRange(2, 3).Draw(t, "holders"),
		// The shorter one leaves one second between the expiry of a key and the expiry of its records.
		retention:    seconds(t, "retention", 90, 90, 25),
		faultPercent: rapid.SampledFrom([]int{0, 5, 30}).Draw(t, "faults"),
	}
	for range rapid.IntRange(1, 3).Draw(t, "keys") {
		s.keyTimes = append(s.keyTimes, seconds(t, "key time", -18, -5, 0, 1, 3, 20))
	}
	for range s.holders {
		s.skews = append(s.skews, drawDuration(t, -modelClockError/2, modelClockError/2, "clock"))
		s.crashSteps = append(s.crashSteps, rapid.IntRange(1, 60).Draw(t, "crash step"))
	}
	for range rapid.IntRange(2, 16).Draw(t, "requests") {
		s.requests = append(s.requests, scriptRequest{
			at:       seconds(t, "burst", 0, 0, 0, 2, 4, 8, 16, 32) + drawDuration(t, 0, 100*time.Millisecond, "at"),
			deadline: seconds(t, "deadline", 0.03, 0.1, 0.5, 2, 8),
			delay:    seconds(t, "delay", 0.01, 0.1, 1, 3),
			holder:   rapid.IntRange(0, s.holders-1).Draw(t, "holder"),
			key:      rapid.IntRange(0, len(s.keyTimes)-1).Draw(t, "key"),
			body:     rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "body"),
			service:  serviceBehaviour(rapid.IntRange(0, int(serviceBehaviourCount)-1).Draw(t, "service")),
		})
	}
	for range rapid.IntRange(0, 4).Draw(t, "events") {
		s.failures = append(s.failures, failureEvent{
			at:     seconds(t, "event burst", 0, 0, 0, 2, 4, 8, 16, 32) + seconds(t, "event at", 0.01, 0.03, 0.1, 0.5, 2),
			length: seconds(t, "length", 0.02, 0.2, 1, 5, 15),
			kind:   failureKind(rapid.IntRange(0, int(failureKindCount)-1).Draw(t, "kind")),
			holder: rapid.IntRange(0, s.holders-1).Draw(t, "event holder"),
		})
	}
	return s
}

// variant is a deliberately broken version of the protocol, which the model must detect.
type variant int

const (
	correct variant = iota
	noReadBack
	claimsExpire
	unknownIsReleased
)

// simulate runs a script and returns the violated invariants. It counts the kinds of results in resultCounts.
func simulate(t *testing.T, s script, broken variant, resultCounts map[string]int) (violations []string) {
	synctest.Test(t, func(t *testing.T) {
		sim := &simulation{
			script: s, variant: broken, log: newMemLog(), start: time.Now(),
			faultPercent: s.faultPercent,
			random:       rand.New(rand.NewPCG(s.seed, 1)),
			processes:    make([]*process, s.holders),
			executions:   make(map[int][]execution), ranRequest: make(map[int]bool), resultCounts: resultCounts,
		}
		sim.log.retention = s.retention
		for h := range s.holders {
			sim.startProcess(h, 1)
		}
		sim.recordLayout()
		for n, q := range s.requests {
			sim.wg.Go(func() {
				time.Sleep(q.at)
				sim.request(n, q)
			})
		}
		for _, e := range s.failures {
			sim.wg.Go(func() {
				time.Sleep(e.at)
				sim.injectFailure(e)
			})
		}
		sim.wg.Go(func() { time.Sleep(modelLength) })
		sim.wg.Wait()
		sim.checkFinalState()
		violations = sim.violations
	})
	return violations
}

// checkFinalState checks the number of executions per key, and that no holder keeps a slot once the log works.
func (sim *simulation) checkFinalState() {
	for key, runs := range sim.executions {
		if len(runs) > 1 {
			sim.addViolation("key %d: executed %d times: %v", key, len(runs), runs)
		}
	}
	sim.mu.Lock()
	sim.faultPercent = 0
	sim.mu.Unlock()
	for _, p := range sim.processes {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		if err := p.executor.Flush(ctx); err != nil && !p.dead {
			sim.addViolation("holder %d: entries never reached the log: %v", p.holder, err)
		}
		cancel()
		if n := p.executor.pendingSlots.Load(); n != 0 && !p.dead {
			sim.addViolation("holder %d: %d slots are still taken", p.holder, n)
		}
		sim.mu.Lock()
		p.dead = true
		sim.mu.Unlock()
		p.executor.Close()
	}
}

// Guards against invariants that break under random interleavings of duplicates, crashes, pauses, lost and late
// appends, outages, expiry and clock differences.
func TestModelInvariants(t *testing.T) {
	resultCounts := make(map[string]int)
	proptest.Check(t, func(rt *rapid.T) {
		s := drawScript(rt)
		if v := simulate(t, s, correct, resultCounts); len(v) > 0 {
			rt.Fatalf("%s", strings.Join(v, "\n"))
		}
	})
	t.Log(resultCounts)
}

// Guards against a model that cannot detect a second execution: each broken variant must produce one.
func TestModelDetectsBrokenVariants(t *testing.T) {
	const scripts = 2000
	generator := rapid.Custom(drawScript)
	for name, broken := range map[string]variant{"no read-back": noReadBack, "claims expire": claimsExpire, "unknown is released": unknownIsReleased} {
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
