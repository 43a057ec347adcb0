package retry

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"jacinthfork.example/jacinthfork/verdict"
)

// The simulation is a closed loop: each user sends a request, waits for the answer, pauses for a think time and
// sends the next request. A single server processes requests first in, first out, including those whose caller
// has given up. This behaviour is what lets retries sustain an overload.
const (
	users            = 1000
	meanThinkTime    = 10 * time.Second
	serviceTime      = 8 * time.Millisecond // 125 requests/s for a demand of about 97
	serverQueueLimit = 500
	attemptTimeout   = time.Second
	callerDeadline   = 5 * time.Second
	disturbanceStart = 60 * time.Second
	disturbanceEnd   = 80 * time.Second
	simulationEnd    = 300 * time.Second
	finalWindow      = 60 * time.Second
)

type event struct {
	at  time.Duration
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

type simulatedRequest struct {
	Attempts
	deadline time.Duration
	// awaited is the number of the attempt whose answer counts, or 0 if there is none.
	awaited int
}

type simulation struct {
	policy *Policy
	random *rand.Rand
	now    time.Duration
	events eventHeap
	// queue holds a function for each queued attempt that delivers its answer after the service time.
	queue []func()
	busy  bool
	// outage stops the server. surge divides the mean think time by 5.
	outage, surge bool

	requests, attempts, succeeded, finished int
	finalSucceeded, finalFinished           int
}

func (sim *simulation) schedule(d time.Duration, run func()) {
	heap.Push(&sim.events, event{at: sim.now + d, run: run})
}

func (sim *simulation) scheduleNextRequest() {
	mean := float64(meanThinkTime)
	if sim.surge {
		mean /= 5
	}
	sim.schedule(time.Duration(sim.random.ExpFloat64()*mean), sim.startRequest)
}

func (sim *simulation) startRequest() {
	sim.requests++
	sim.policy.Budget().Deposit(epoch.Add(sim.now))
	sim.sendAttempt(&simulatedRequest{deadline: sim.now + callerDeadline})
}

func (sim *simulation) sendAttempt(req *simulatedRequest) {
	sim.attempts++
	req.Made++
	number := req.Made
	req.awaited = number
	if len(sim.queue) >= serverQueueLimit {
		sim.schedule(time.Millisecond, func() { sim.failed(req, number, verdict.NotRun, verdict.ReasonOverCapacity) })
		return
	}
	sim.queue = append(sim.queue, func() { sim.answered(req, number) })
	sim.schedule(attemptTimeout, func() { sim.failed(req, number, verdict.Unknown, verdict.ReasonConnectionBroken) })
	sim.startService()
}

func (sim *simulation) startService() {
	if sim.busy || sim.outage || len(sim.queue) == 0 {
		return
	}
	sim.busy = true
	answer := sim.queue[0]
	sim.queue = sim.queue[1:]
	sim.schedule(serviceTime, func() {
		sim.busy = false
		answer()
		sim.startService()
	})
}

func (sim *simulation) answered(req *simulatedRequest, number int) {
	if req.awaited == number {
		sim.finishRequest(req, true)
	}
}

func (sim *simulation) failed(req *simulatedRequest, number int, v verdict.Verdict, reason verdict.Reason) {
	if req.awaited != number {
		return
	}
	req.awaited = 0
	d := sim.policy.Next(&req.Attempts, verdict.New(v, reason, ""), true, epoch.Add(sim.now), epoch.Add(req.deadline))
	if !d.Retry {
		sim.finishRequest(req, false)
		return
	}
	sim.schedule(d.Delay, func() { sim.sendAttempt(req) })
}

func (sim *simulation) finishRequest(req *simulatedRequest, ok bool) {
	req.awaited = 0
	inFinalWindow := sim.now >= simulationEnd-finalWindow
	sim.finished++
	if inFinalWindow {
		sim.finalFinished++
	}
	if ok {
		sim.succeeded++
		if inFinalWindow {
			sim.finalSucceeded++
		}
	}
	sim.scheduleNextRequest()
}

// simulate runs the simulation with one disturbance, which the given function turns on and off.
func simulate(settings Settings, disturbance func(sim *simulation, on bool)) *simulation {
	random := rand.New(rand.NewPCG(20261204, 1))
	policy := NewPolicy(settings)
	policy.random = random.Float64
	sim := &simulation{policy: policy, random: random}
	for range users {
		sim.scheduleNextRequest()
	}
	sim.schedule(disturbanceStart, func() { disturbance(sim, true) })
	sim.schedule(disturbanceEnd, func() { disturbance(sim, false) })
	for sim.events[0].at < simulationEnd {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.run()
	}
	return sim
}

// After a surge or an outage the system must recover by itself, with a bounded number of attempts. Without the
// retry budget it must stay overloaded after the same disturbance. Otherwise the test would not show that the
// budget is what prevents the sustained overload.
func TestRecoveryFromOverloadNeedsBudget(t *testing.T) {
	disturbances := map[string]func(sim *simulation, on bool){
		"surge": func(sim *simulation, on bool) { sim.surge = on },
		"outage": func(sim *simulation, on bool) {
			sim.outage = on
			sim.startService()
		},
	}
	unlimited := DefaultSettings()
	unlimited.Burst = 1e9
	for name, disturbance := range disturbances {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			withBudget := simulate(DefaultSettings(), disturbance)
			withoutBudget := simulate(unlimited, disturbance)
			t.Logf("with budget: last minute %d of %d succeeded, %d attempts for %d requests",
				withBudget.finalSucceeded, withBudget.finalFinished, withBudget.attempts, withBudget.requests)
			t.Logf("without budget: last minute %d of %d succeeded, %d attempts for %d requests",
				withoutBudget.finalSucceeded, withoutBudget.finalFinished, withoutBudget.attempts, withoutBudget.requests)
			s := DefaultSettings()
			allowed := float64(withBudget.requests)*(1+float64(s.SharePercent)/100) + s.Burst + s.MinPerSecond*simulationEnd.Seconds()
			is.True(float64(withBudget.attempts) <= allowed)                        // attempts are bounded
			is.True(withBudget.finalSucceeded*1000 >= withBudget.finalFinished*999) // the system has recovered
			is.True(withoutBudget.finalSucceeded*2 < withoutBudget.finalFinished)   // the system stays overloaded
		})
	}
}
