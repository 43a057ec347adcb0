package retry

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"jacinthfork.example/jacinthfork/verdict"
)

// The model is a closed loop: users send a request, wait for it, pause and send the next one. A
// single server works first in, first out, and runs requests whose caller has given up, which is
// the behaviour that lets retries keep an overload alive.
const (
	users          = 1000
	meanPause      = 10 * time.Second
	serviceTime    = 8 * time.Millisecond // 125 requests/s for a demand of about 97
	serverQueue    = 500
	attemptTimeout = time.Second
	callerDeadline = 5 * time.Second
	troubleStart   = 60 * time.Second
	troubleEnd     = 80 * time.Second
	modelEnd       = 300 * time.Second
	lastWindow     = 60 * time.Second
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

type call struct {
	Attempts
	deadline time.Duration
	// waiting is the attempt whose answer counts; 0 after the end.
	waiting int
}

type loop struct {
	policy *Policy
	random *rand.Rand
	now    time.Duration
	events eventHeap
	// queue holds the answers to give when an attempt has been served.
	queue []func()
	busy  bool
	// outage stops the server, surge divides the users' pauses by 5.
	outage, surge bool

	requests, attempts, succeeded, ended int
	lastSucceeded, lastEnded             int
}

func (l *loop) after(d time.Duration, run func()) {
	heap.Push(&l.events, event{at: l.now + d, run: run})
}

func (l *loop) pause() {
	mean := float64(meanPause)
	if l.surge {
		mean /= 5
	}
	l.after(time.Duration(l.random.ExpFloat64()*mean), l.request)
}

func (l *loop) request() {
	l.requests++
	l.policy.Budget().Request(epoch.Add(l.now))
	l.attempt(&call{deadline: l.now + callerDeadline})
}

func (l *loop) attempt(c *call) {
	l.attempts++
	c.Made++
	number := c.Made
	c.waiting = number
	if len(l.queue) >= serverQueue {
		l.after(time.Millisecond, func() { l.failed(c, number, verdict.NotRun, verdict.ReasonOverCapacity) })
		return
	}
	l.queue = append(l.queue, func() { l.answered(c, number) })
	l.after(attemptTimeout, func() { l.failed(c, number, verdict.Unknown, verdict.ReasonBroken) })
	l.serve()
}

func (l *loop) serve() {
	if l.busy || l.outage || len(l.queue) == 0 {
		return
	}
	l.busy = true
	answer := l.queue[0]
	l.queue = l.queue[1:]
	l.after(serviceTime, func() {
		l.busy = false
		answer()
		l.serve()
	})
}

func (l *loop) answered(c *call, number int) {
	if c.waiting == number {
		l.end(c, true)
	}
}

func (l *loop) failed(c *call, number int, v verdict.Verdict, reason verdict.Reason) {
	if c.waiting != number {
		return
	}
	c.waiting = 0
	d := l.policy.Next(&c.Attempts, verdict.New(v, reason, ""), true, epoch.Add(l.now), epoch.Add(c.deadline))
	if !d.Retry {
		l.end(c, false)
		return
	}
	l.after(d.Pause, func() { l.attempt(c) })
}

func (l *loop) end(c *call, ok bool) {
	c.waiting = 0
	last := l.now >= modelEnd-lastWindow
	l.ended++
	if last {
		l.lastEnded++
	}
	if ok {
		l.succeeded++
		if last {
			l.lastSucceeded++
		}
	}
	l.pause()
}

// run plays the model with one disturbance, which trouble switches on and off.
func run(settings Settings, trouble func(l *loop, on bool)) *loop {
	random := rand.New(rand.NewPCG(20261204, 1))
	policy := NewPolicy(settings)
	policy.uniform = random.Float64
	l := &loop{policy: policy, random: random}
	for range users {
		l.pause()
	}
	l.after(troubleStart, func() { trouble(l, true) })
	l.after(troubleEnd, func() { trouble(l, false) })
	for l.events[0].at < modelEnd {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
	return l
}

// After a surge or an outage the load must return to normal by itself with bounded attempts per
// request; without the budget the same disturbance must not, or the test would show nothing.
func TestRecovery(t *testing.T) {
	troubles := map[string]func(l *loop, on bool){
		"surge": func(l *loop, on bool) { l.surge = on },
		"outage": func(l *loop, on bool) {
			l.outage = on
			l.serve()
		},
	}
	unlimited := DefaultSettings()
	unlimited.Burst = 1e9
	for name, trouble := range troubles {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			with := run(DefaultSettings(), trouble)
			without := run(unlimited, trouble)
			t.Logf("with budget: last minute %d of %d succeeded, %d attempts for %d requests",
				with.lastSucceeded, with.lastEnded, with.attempts, with.requests)
			t.Logf("without: last minute %d of %d succeeded, %d attempts for %d requests",
				without.lastSucceeded, without.lastEnded, without.attempts, without.requests)
			s := DefaultSettings()
			allowed := float64(with.requests)*(1+float64(s.SharePercent)/100) + s.Burst + s.MinPerSecond*modelEnd.Seconds()
			is.True(float64(with.attempts) <= allowed)             // attempts are bounded
			is.True(with.lastSucceeded*1000 >= with.lastEnded*999) // back to normal
			is.True(without.lastSucceeded*2 < without.lastEnded)   // stays overloaded
		})
	}
}
