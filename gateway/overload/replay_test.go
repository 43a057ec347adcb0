package overload

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The replay is a model of gateways that share their processor evenly among what they do. Costs are processor time of a
// whole core.
const (
	quantum     = 100 * time.Microsecond
	headerCost  = 150 * time.Microsecond
	bodyCost    = 450 * time.Microsecond
	eventsCost  = 75 * time.Microsecond
	refuseCost  = 50 * time.Microsecond
	sampleCost  = 10 * time.Microsecond
	engineTime  = 150 * time.Millisecond
	eventsTime  = 60 * time.Millisecond
	streamSteps = 12
	// firstObjective and gapObjective are the objectives of a stream, callerTime is how long a caller waits for its first event.
	firstObjective = 400 * time.Millisecond
	gapObjective   = 300 * time.Millisecond
	callerTime     = 3 * time.Second
	organisations  = 24
)

// event is something that happens at a time of the replay.
type event struct {
	at time.Duration
	n  int
	do func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].n < e[j].n
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// work is something that takes processor time.
type work struct {
	left time.Duration
	then func()
}

// supply is how a gateway gets its part of a core.
type supply uint8

const (
	// even is a slower processor.
	even supply = iota
	// sliced runs at the beginning of each slicePeriod only.
	sliced
	// quota runs until a part of each quotaPeriod is used up.
	quota
)

const (
	slicePeriod = 20 * time.Millisecond
	quotaPeriod = 100 * time.Millisecond
)

// node is a gateway of the replay.
type node struct {
	r      *replay
	core   float64
	supply supply
	// used is the processor time used in the current quotaPeriod, which began at period.
	used, period time.Duration
	queue        []*work
	running      bool
	controller   *Controller
	// shares are the refused shares by half seconds, as sums and numbers of measurements.
	shares [][2]float64
}

// run adds work to what the processor shares its time among.
func (g *node) run(cost time.Duration, then func()) {
	g.queue = append(g.queue, &work{cost, then})
	if !g.running {
		g.running = true
		g.step()
	}
}

// finish returns the time after which a part of work that begins now is done.
func (g *node) finish(part time.Duration) time.Duration {
	now := g.r.now
	switch g.supply {
	case sliced:
		begin := now.Truncate(slicePeriod)
		if now+part > begin+time.Duration(g.core*float64(slicePeriod)) {
			return begin + slicePeriod + part - now
		}
		return part
	case quota:
		if begin := now.Truncate(quotaPeriod); begin > g.period {
			g.period, g.used = begin, 0
		}
		if g.used += part; g.used > time.Duration(g.core*float64(quotaPeriod)) {
			g.period, g.used = g.period+quotaPeriod, part
			return g.period + part - now
		}
		return part
	default:
		return time.Duration(float64(part) / g.core)
	}
}

// step runs the first work for a quantum.
func (g *node) step() {
	if len(g.queue) == 0 {
		g.running = false
		return
	}
	w := g.queue[0]
	g.queue = g.queue[1:]
	part := min(quantum, w.left)
	w.left -= part
	g.r.after(g.finish(part), func() {
		if w.left > 0 {
			g.queue = append(g.queue, w)
		} else {
			w.then()
		}
		g.step()
	})
}

func (g *node) sample() {
	due := g.r.now + SampleInterval
	g.r.after(SampleInterval, func() {
		g.run(sampleCost, func() {
			if g.controller != nil {
				g.controller.Observe(g.r.time(), g.r.now-due)
				for len(g.shares) <= int(g.r.now/sharePart) {
					g.shares = append(g.shares, [2]float64{})
				}
				part := &g.shares[g.r.now/sharePart]
				part[0], part[1] = part[0]+g.controller.State().Share, part[1]+1
			}
			g.sample()
		})
	})
}

// caller is one caller with its request.
type caller struct {
	begin        time.Duration
	priority     int
	organisation int
	// abusive callers repeat three times at once, others once after the Retry-After.
	abusive bool
	repeats int
	first   time.Duration
	longest time.Duration
	done    bool
	refused bool
}

func (c *caller) inTime() bool {
	return c.done && !c.refused && c.first-c.begin <= firstObjective && c.longest <= gapObjective
}

type replay struct {
	now     time.Duration
	events  events
	n       int
	random  *rand.Rand
	nodes   []*node
	callers []*caller
}

func (r *replay) time() time.Time { return time.Unix(1000, 0).Add(r.now) }

func (r *replay) after(d time.Duration, do func()) {
	r.n++
	heap.Push(&r.events, event{r.now + d, r.n, do})
}

// send sends the request of a caller to a gateway.
func (r *replay) send(c *caller, g *node) {
	g.run(headerCost, func() {
		if g.controller != nil {
			if ok, after := g.controller.Admit(r.time(), c.priority, fmt.Sprint(c.organisation)); !ok {
				g.run(refuseCost, func() { r.refuse(c, after) })
				return
			}
		}
		g.run(bodyCost, func() {
			r.after(engineTime, func() { r.relay(c, g, 0, 0) })
		})
	})
}

func (r *replay) refuse(c *caller, after time.Duration) {
	limit := 1
	if c.abusive {
		limit, after = 3, 0
	}
	if c.repeats == limit {
		c.done, c.refused = true, true
		return
	}
	c.repeats++
	r.after(after+time.Millisecond, func() { r.send(c, r.nodes[r.random.IntN(len(r.nodes))]) })
}

// relay relays the events of one step.
func (r *replay) relay(c *caller, g *node, step int, last time.Duration) {
	g.run(eventsCost, func() {
		if step == streamSteps || step == 0 && r.now-c.begin > callerTime {
			if g.controller != nil {
				g.controller.Done()
			}
		}
		if step == 0 {
			c.first = r.now
			if r.now-c.begin > callerTime {
				return
			}
		} else {
			c.longest = max(c.longest, r.now-last)
		}
		if step == streamSteps {
			c.done = true
			return
		}
		last := r.now
		r.after(eventsTime, func() { r.relay(c, g, step+1, last) })
	})
}

const (
	warmTime   = 3 * time.Second
	burstTime  = 10 * time.Second
	calmTime   = 5 * time.Second
	heavyBurst = 2.6
	// sharePart is the time over which refused shares are averaged. A burst is noticed and forgotten within twice as long.
	sharePart = 500 * time.Millisecond
	// usualRate is the number of requests/s at each gateway in calm times: 0.6 of what a small one can serve.
	usualRate = 57.0
)

// scenario is a replay of a burst.
type scenario struct {
	cores  []float64
	supply supply
	refuse bool
	// burst is how many times the usual rate arrives for burstTime.
	burst float64
}

func (s scenario) run() *replay {
	r := &replay{random: rand.New(rand.NewPCG(7, 9))}
	for n, core := range s.cores {
		g := &node{r: r, core: core, supply: s.supply}
		if s.refuse {
			random := rand.New(rand.NewPCG(1, uint64(n)))
			g.controller = New(random.Float64)
			g.controller.SetObjective(gapObjective)
		}
		r.nodes = append(r.nodes, g)
		g.sample()
		var arrive func()
		arrive = func() {
			rate := usualRate
			if r.now >= warmTime && r.now < warmTime+burstTime {
				rate *= s.burst
			}
			if r.now > warmTime+burstTime+calmTime {
				return
			}
			c := &caller{begin: r.now, priority: r.random.IntN(3), abusive: r.random.Float64() < 0.3}
			// The first organisation sends 8 times as much as each of the others.
			c.organisation = max(0, r.random.IntN(organisations+7)-7)
			r.callers = append(r.callers, c)
			r.send(c, g)
			r.after(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), arrive)
		}
		arrive()
	}
	for len(r.events) > 0 && r.now < warmTime+burstTime+calmTime+10*time.Second {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
	return r
}

// outcome is what became of callers.
type outcome struct{ callers, inTime, late, refused int }

func (o outcome) share() float64 { return float64(o.inTime) / float64(max(1, o.callers)) }

// served returns the share of callers that got an answer, in time or not.
func (o outcome) served() float64 { return float64(o.inTime+o.late) / float64(max(1, o.callers)) }

func (r *replay) outcome(from, until time.Duration, of func(*caller) bool) (o outcome, p99 time.Duration) {
	var first []time.Duration
	for _, c := range r.callers {
		if c.begin < from || c.begin >= until || !of(c) {
			continue
		}
		o.callers++
		switch {
		case c.inTime():
			o.inTime++
		case c.refused:
			o.refused++
		default:
			o.late++
		}
		if !c.refused {
			d := callerTime
			if c.first > 0 {
				d = min(callerTime, c.first-c.begin)
			}
			first = append(first, d)
		}
	}
	slices.Sort(first)
	if len(first) > 0 {
		p99 = first[len(first)*99/100]
	}
	return o, p99
}

func everyone(*caller) bool { return true }

// log reports the figures of a replay.
func (r *replay) log(t *testing.T, name string) {
	for _, part := range []struct {
		name        string
		from, until time.Duration
	}{{"before", 0, warmTime}, {"burst", warmTime, warmTime + burstTime}, {"after 1 s", warmTime + burstTime + time.Second, time.Hour}} {
		o, p99 := r.outcome(part.from, part.until, everyone)
		t.Logf("%s, %s: %+v, in time %.3f, p99 of the first event %s", name, part.name, o, o.share(), p99)
	}
	for p := range 3 {
		o, p99 := r.outcome(warmTime, warmTime+burstTime, func(c *caller) bool { return c.priority == p })
		t.Logf("%s, priority %d: %+v, in time %.3f, p99 %s", name, p, o, o.share(), p99)
	}
	var shares []string
	for n := range organisations {
		o, _ := r.outcome(warmTime, warmTime+burstTime, func(c *caller) bool { return c.organisation == n })
		shares = append(shares, fmt.Sprintf("%.2f", o.share()))
	}
	t.Logf("%s, in time by organisation: %v", name, shares)
	for n := range r.nodes {
		t.Logf("%s, gateway %d, refused share by half seconds: %.2f", name, n, r.refusedShares(n))
	}
}

// refusedShares returns the mean share that a gateway refused in each half second.
func (r *replay) refusedShares(n int) (means []float64) {
	for _, part := range r.nodes[n].shares {
		means = append(means, part[0]/max(1, part[1]))
	}
	return means
}

// during returns what became of the callers of the burst.
func (r *replay) during(of func(*caller) bool) outcome {
	o, _ := r.outcome(warmTime, warmTime+burstTime, of)
	return o
}

// keepsShares checks that each organisation and each priority is served a quarter as often as the average.
func keepsShares(t *testing.T, r *replay) {
	t.Helper()
	average := r.during(everyone).served()
	for n := range organisations {
		if o := r.during(func(c *caller) bool { return c.organisation == n }); o.served() < average/4 {
			t.Errorf("organisation %d: %.3f served, want a quarter of %.3f", n, o.served(), average)
		}
	}
	for p := range 3 {
		if o := r.during(func(c *caller) bool { return c.priority == p }); o.served() < average/4 {
			t.Errorf("priority %d: %.3f served, want a quarter of %.3f", p, o.served(), average)
		}
	}
}

// Replays a burst at a small and a large gateway. Guards against a small gateway that makes everything late while the large one
// has processor time to spare, and against refusing longer than the burst lasts.
func TestBurstIsServedInTimeByRefusingAPart(t *testing.T) {
	for name, s := range map[string]supply{"even": even, "sliced": sliced, "quota": quota} {
		t.Run(name, func(t *testing.T) {
			cores := []float64{0.144, 0.8}
			before := scenario{cores: cores, supply: s, burst: heavyBurst}.run()
			after := scenario{cores: cores, supply: s, burst: heavyBurst, refuse: true}.run()
			before.log(t, "all accepted")
			after.log(t, "a part refused")
			for p := range 3 {
				of := func(c *caller) bool { return c.priority == p }
				if was, is := before.during(of).share(), after.during(of).share(); is < was {
					t.Errorf("priority %d: %.3f in time, was %.3f", p, is, was)
				}
			}
			keepsShares(t, after)
			if refused, _ := after.outcome(warmTime+burstTime+time.Second, time.Hour, func(c *caller) bool { return c.repeats > 0 }); refused.callers > 0 {
				t.Errorf("%d callers refused a second after the burst", refused.callers)
			}
			shares := after.refusedShares(0)
			for n, share := range shares[(warmTime+2*sharePart)/sharePart : (warmTime+burstTime)/sharePart] {
				if share == 0 || share >= maxShare {
					t.Errorf("half second %d of the burst: a share of %.2f refused, want one between none and all", n+2, share)
				}
			}
			if after.nodes[1].controller.State().RefusedAt != (time.Time{}) {
				t.Error("the gateway with processor time to spare refused")
			}
		})
	}
}

// Replays a burst at gateways that are all short of processor time, and at the only gateway of a fleet. Guards against refusals
// that do not pay there: fewer callers served in time, or urgent ones before others no more often.
func TestBurstAtAllGatewaysIsServedBetterByRefusing(t *testing.T) {
	for name, cores := range map[string][]float64{"two": {0.144, 0.144}, "one": {0.144}} {
		t.Run(name, func(t *testing.T) {
			before := scenario{cores: cores, burst: heavyBurst}.run()
			after := scenario{cores: cores, burst: heavyBurst, refuse: true}.run()
			before.log(t, "all accepted")
			after.log(t, "a part refused")
			if was, is := before.during(everyone).share(), after.during(everyone).share(); is < was {
				t.Errorf("%.3f in time, was %.3f", is, was)
			}
			urgent := after.during(func(c *caller) bool { return c.priority == 0 })
			if other := after.during(func(c *caller) bool { return c.priority > 0 }); urgent.share() < other.share() {
				t.Errorf("the most urgent callers are served in time less often: %.3f, others %.3f", urgent.share(), other.share())
			}
			keepsShares(t, after)
		})
	}
}

// Guards against refusals by a gateway with moderate load, also if it gets its processor time in slices.
func TestModerateLoadIsNotRefused(t *testing.T) {
	for name, s := range map[string]supply{"even": even, "sliced": sliced, "quota": quota} {
		t.Run(name, func(t *testing.T) {
			r := scenario{cores: []float64{0.144}, supply: s, burst: 1, refuse: true}.run()
			r.log(t, name)
			if r.nodes[0].controller.State().RefusedAt != (time.Time{}) {
				t.Error("a gateway with moderate load refused")
			}
		})
	}
}
