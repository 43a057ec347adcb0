package extrawork

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The replay is a fleet of routers before a pool of engines in virtual time. An engine delays the first event by its pace,
// and above a mean load by its requests in flight: 24 requests in 64 slots are served in time, 30 take more than twice
// as long, 50 seven times (measured, docs/design/requirements.md).
const (
	replayEngines  = 20
	replaySlots    = 64
	replayRouters  = 5
	replayOverlap  = 200 * time.Millisecond
	replayEnd      = 140 * time.Second
	replayMeasured = 40 * time.Second
	usualPrefill   = 150 * time.Millisecond
	usualOutput    = time.Second
	loadInTime     = 0.375
	delayByLoad    = 15
	promptTokens   = 500
	outputTokens   = 100
)

type replay struct {
	random *rand.Rand
	now    time.Duration
	events eventHeap
	// inFlight are the requests of each engine, and kept the places of requests that were cancelled there.
	inFlight, kept [replayEngines]int
	// pace is what the routers know of the pace of each engine, smoothed. An engine reports it with its first event.
	pace [replayEngines]float64
	// meanTime is the moving mean of the time to the first event of each engine, and of all.
	meanTime [replayEngines]time.Duration
	allMean  time.Duration
	routers  []*Decider
	load     loadPattern
	policy   policy

	times         []time.Duration
	asked         int
	useful, extra float64
}

// loadPattern is the traffic in requests per second, the pace of the engines and the part of the requests that prefer
// engine 0.
type loadPattern struct {
	rate float64
	pace func(engine int, at time.Duration, r *rand.Rand) float64
	hot  float64
	// unweighted is set if placement does not know the pace.
	unweighted bool
	// share is the operators' limit.
	share float64
	// full is set if the pool has no room.
	full bool
	// routers is the number of routers if it is not replayRouters, and sizes the number of size classes of equal requests.
	routers, sizes int
	// alone is set if the routers do not exchange sums, lost if all links are lost at half of the time that is measured.
	alone, lost bool
	// tamper changes what a router tells, if it is set.
	tamper func(router int, told []Told) []Told
}

// policy is a way to decide on a second instance: the time after which to look, and whether to ask then.
type policy struct {
	delay func(s *replay, d *Decider, k Kind, engine int) (time.Duration, bool)
	ask   func(s *replay, d *Decider, r Request) (charge float64, ok bool)
}

func start() time.Time { return time.Unix(1e9, 0) }

func (s *replay) time() time.Time { return start().Add(s.now) }

// limited asks whenever the limit on extra work allows it.
func limited(s *replay, d *Decider, r Request) (float64, bool) {
	a := d.account(r.Kind.Pool)
	charge := a.cost(r.Computed)
	if !a.covers(charge, s.time()) {
		return 0, false
	}
	a.level -= charge
	return charge, true
}

func never(*replay, *Decider, Kind, int) (time.Duration, bool) { return 0, false }

// policies are the ways weighed in docs/design/extra-work.md.
var policies = []struct {
	name string
	policy
}{
	{"off", policy{never, limited}},
	{"two at the start", policy{func(*replay, *Decider, Kind, int) (time.Duration, bool) { return 0, true }, limited}},
	{"after 250 ms", policy{func(*replay, *Decider, Kind, int) (time.Duration, bool) { return 250 * time.Millisecond, true }, limited}},
	{"by prediction", policy{func(s *replay, _ *Decider, _ Kind, engine int) (time.Duration, bool) {
		return 0, s.meanTime[engine] > 2*s.allMean
	}, limited}},
	{"95th percentile, no limit", policy{func(s *replay, d *Decider, k Kind, _ int) (time.Duration, bool) {
		own := d.timesOf(k, s.time()).sum()
		curve := own.curve()
		delay, ok := curve.quantile(0.95)
		return delay, ok && curve.known()
	}, func(*replay, *Decider, Request) (float64, bool) { return math.MaxFloat64, true }}},
	{"on", policy{func(s *replay, d *Decider, k Kind, engine int) (time.Duration, bool) {
		return d.Delay(k, name(engine), s.reported(engine), s.time())
	}, func(s *replay, d *Decider, r Request) (float64, bool) {
		decision, charge := d.Decide(r, s.time())
		return charge, decision == Ask
	}}},
}

// attempt is a request at one engine.
type attempt struct {
	engine int
	sentAt time.Duration
	needs  time.Duration
	over   bool
}

// seeds is the number of replays that are taken together. The figures of one differ by up to 6% from those of another.
const seeds = 3

// run replays a load pattern with a policy.
func run(load loadPattern, p policy) *replay {
	all := &replay{}
	for seed := range uint64(seeds) {
		s := runOnce(load, p, 1+seed)
		all.times = append(all.times, s.times...)
		all.asked += s.asked
		all.useful += s.useful
		all.extra += s.extra
	}
	slices.Sort(all.times)
	return all
}

func runOnce(load loadPattern, p policy, seed uint64) *replay {
	s := &replay{random: rand.New(rand.NewPCG(seed, 2)), load: load, policy: p}
	for e := range s.pace {
		s.pace[e] = 1
	}
	routers := replayRouters
	if load.routers > 0 {
		routers = load.routers
	}
	for range routers {
		s.routers = append(s.routers, New(Settings{Share: load.share}))
	}
	if !load.alone {
		s.at(0, s.exchange)
	}
	s.at(0, s.arrive)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(timedEvent)
		s.now = e.at
		e.do()
	}
	return s
}

func (s *replay) arrive() {
	if s.now > replayEnd {
		return
	}
	s.at(s.now+time.Duration(s.random.ExpFloat64()/s.load.rate*float64(time.Second)), s.arrive)
	d := s.routers[s.random.IntN(len(s.routers))]
	engine := s.choose(-1)
	if s.random.Float64() < s.load.hot {
		engine = 0
	}
	k := Kind{Pool: "llm", Mode: 2, Size: SizeOf(promptTokens)}
	if s.load.sizes > 0 {
		k.Size = uint8(s.random.IntN(s.load.sizes))
	}
	first := s.send(engine)
	var second *attempt
	charge, chosen := 0.0, false
	begin := s.now
	cancel := func(a *attempt) {
		if a.over {
			return
		}
		a.over = true
		s.inFlight[a.engine]--
		after := s.now - a.sentAt
		s.extra += promptTokens * min(1, float64(after)/float64(a.needs))
		_, slowdown := d.Settle(Cancelled{Kind: k, Instance: name(a.engine), Pace: s.reported(a.engine), Stream: true, Computed: promptTokens, After: after}, charge, s.time())
		if a == first {
			s.kept[a.engine]++
			s.at(s.now+time.Duration(slowdown*float64(usualOutput)), func() { s.kept[a.engine]-- })
		}
	}
	answered := func(a, other *attempt) {
		if a.over {
			return
		}
		a.over = true
		if other != nil {
			cancel(other)
		}
		chosen = true
		s.served(d, k, a, begin)
	}
	s.at(s.now+first.needs, func() { answered(first, second) })
	delay, ok := s.policy.delay(s, d, k, engine)
	if !ok {
		return
	}
	s.at(s.now+delay, func() {
		if chosen {
			return
		}
		r := Request{Kind: k, Instance: name(engine), Pace: s.reported(engine), Repeatable: true, Attempts: 1, MaxAttempts: 2, Age: s.now - first.sentAt, Alternative: true, InFlight: s.total(),
			Slots: replayEngines * replaySlots, Computed: promptTokens, Overloaded: s.inFlight[engine] > replaySlots, Spare: func() bool { return true }}
		if charge, ok = s.policy.ask(s, d, r); !ok {
			return
		}
		s.asked++
		second = s.send(s.choose(engine))
		s.at(s.now+second.needs, func() { answered(second, first) })
		s.at(s.now+replayOverlap, func() {
			if chosen {
				return
			}
			loser := second
			if d.SecondSooner(k, s.sent(first), s.sent(second), s.time()) {
				loser = first
			}
			cancel(loser)
		})
	})
}

// send sends a request to an engine.
func (s *replay) send(engine int) *attempt {
	load := float64(s.inFlight[engine]) / replaySlots
	slowdown := s.load.pace(engine, s.now, s.random) * (1 + delayByLoad*max(0, load-loadInTime))
	s.inFlight[engine]++
	return &attempt{engine: engine, sentAt: s.now, needs: time.Duration(float64(usualPrefill) * slowdown * math.Exp(0.3*s.random.NormFloat64()))}
}

// served records the first event of a request, which runs on until its output is complete.
func (s *replay) served(d *Decider, k Kind, a *attempt, begin time.Duration) {
	d.RecordAnswer(k, name(a.engine), s.now-a.sentAt, s.time())
	s.useful += promptTokens + outputTokens
	s.pace[a.engine] += (s.load.pace(a.engine, s.now, s.random) - s.pace[a.engine]) / 10
	s.meanTime[a.engine] += (s.now - a.sentAt - s.meanTime[a.engine]) / 20
	s.allMean += (s.now - a.sentAt - s.allMean) / 200
	if begin > replayMeasured {
		s.times = append(s.times, s.now-begin)
	}
	s.at(s.now+time.Duration(float64(usualOutput)*s.load.pace(a.engine, s.now, s.random)), func() {
		s.inFlight[a.engine]--
		d.RecordServed(k.Pool, promptTokens, outputTokens, s.time())
	})
}

func name(engine int) string { return fmt.Sprint(engine) }

// reported is what the routers know of the pace of an engine relative to the mean, 0 if the engines do not report it.
func (s *replay) reported(engine int) float64 {
	if s.load.unweighted {
		return 0
	}
	mean := 0.0
	for _, p := range s.pace {
		mean += p / replayEngines
	}
	return s.pace[engine] / mean
}

func (s *replay) sent(a *attempt) Sent {
	return Sent{Instance: name(a.engine), Pace: s.reported(a.engine), Age: s.now - a.sentAt}
}

// replayExchange is the time between two states of neighbours in the tree, and replayDegree the number of routers below one.
const (
	replayExchange = 300 * time.Millisecond
	replayDegree   = 8
)

// exchange sends what is due along the tree.
func (s *replay) exchange() {
	if s.now > replayEnd || (s.load.lost && s.now > (replayMeasured+replayEnd)/2) {
		return
	}
	s.at(s.now+replayExchange, s.exchange)
	for n, d := range s.routers {
		tell := func(told []Told) []Told {
			if s.load.tamper != nil {
				return s.load.tamper(n, told)
			}
			return told
		}
		if n > 0 {
			s.routers[(n-1)/replayDegree].MergeUp(tell(d.TakeUp(s.time())))
		}
		down := tell(d.TakeDown(n == 0, s.time()))
		for c := n*replayDegree + 1; c <= (n+1)*replayDegree && c < len(s.routers); c++ {
			s.routers[c].MergeDown(down, s.time())
		}
	}
}

// choose returns the engine with fewer requests of two random ones, other than one.
func (s *replay) choose(except int) int {
	best := -1
	for range 2 {
		e := s.random.IntN(replayEngines)
		for e == except {
			e = s.random.IntN(replayEngines)
		}
		if best < 0 || s.assigned(e) < s.assigned(best) {
			best = e
		}
	}
	return best
}

// assigned is the work of an engine as placement sees it.
func (s *replay) assigned(engine int) float64 {
	n := float64(1 + s.inFlight[engine] + s.kept[engine])
	if s.load.unweighted {
		return n
	}
	return n * s.pace[engine]
}

func (s *replay) total() (n int) {
	for _, l := range s.inFlight {
		n += l
	}
	return n
}

func (s *replay) percentile(p float64) time.Duration { return s.times[int(p*float64(len(s.times)))] }

func (s *replay) extraWork() float64 { return 100 * s.extra / s.useful }

type timedEvent struct {
	at time.Duration
	do func()
}

type eventHeap []timedEvent

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(timedEvent)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (s *replay) at(t time.Duration, do func()) { heap.Push(&s.events, timedEvent{t, do}) }

func even(int, time.Duration, *rand.Rand) float64 { return 1 }

func slowTenth(engine int, _ time.Duration, _ *rand.Rand) float64 {
	if engine < replayEngines/10 {
		return 4
	}
	return 1
}

// changingTenth is slowTenth with other engines every 4 s.
func changingTenth(engine int, at time.Duration, _ *rand.Rand) float64 {
	if group := int(at / (4 * time.Second)); engine/2 == group*7%10 {
		return 4
	}
	return 1
}

// stragglers are responses that are slow by themselves, one in fifty.
func stragglers(_ int, _ time.Duration, r *rand.Rand) float64 {
	if r.Float64() < 0.02 {
		return 6
	}
	return 1
}

// allSlow is three times slower for a minute.
func allSlow(_ int, at time.Duration, _ *rand.Rand) float64 {
	if at > 80*time.Second && at < 140*time.Second {
		return 3
	}
	return 1
}

var loadPatterns = []struct {
	name string
	loadPattern
}{
	{"slow tenth", loadPattern{rate: 250, pace: slowTenth, share: 0.02}},
	{"slow tenth that changes", loadPattern{rate: 250, pace: changingTenth, share: 0.02}},
	{"slow tenth, unknown to placement", loadPattern{rate: 250, pace: slowTenth, share: 0.02, unweighted: true}},
	{"stragglers", loadPattern{rate: 250, pace: stragglers, share: 0.02}},
	{"all slow", loadPattern{rate: 120, pace: allSlow, share: 0.02}},
	{"hot spot", loadPattern{rate: 250, pace: even, hot: 0.08, share: 0.02}},
	{"full pool", loadPattern{rate: 420, pace: slowTenth, share: 0.02, full: true}},
	{"used-up limit", loadPattern{rate: 250, pace: slowTenth, share: 0.002}},
}

// String returns the figures of a replay as one line.
func (s *replay) String() string {
	return fmt.Sprintf("%5d %5d %5d %5d ms, %.2f%% extra work, %d of %d asked", s.percentile(0.5).Milliseconds(), s.percentile(0.95).Milliseconds(),
		s.percentile(0.99).Milliseconds(), s.percentile(0.999).Milliseconds(), s.extraWork(), s.asked, len(s.times))
}

func policyOf(name string) policy {
	for _, p := range policies {
		if p.name == name {
			return p.policy
		}
	}
	panic("no policy " + name)
}

// equal are the factors up to which two percentiles count as equal. Two replays draw their random numbers in another order;
// the last percentile rests on 70 requests or less.
var equal = map[float64]float64{0.5: 1.03, 0.95: 1.03, 0.99: 1.05, 0.999: 1.25}

// Guards against a second instance that makes anything slower or costs more than the limit.
func TestSecondInstancesSlowNothingDown(t *testing.T) {
	for _, l := range loadPatterns {
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			off, on := run(l.loadPattern, policyOf("off")), run(l.loadPattern, policyOf("on"))
			t.Logf("off %s", off)
			t.Logf("on  %s", on)
			is.True(on.extraWork() <= 100*l.share)
			for q, factor := range equal {
				is.True(float64(on.percentile(q)) <= factor*float64(off.percentile(q)))
			}
			if l.full {
				is.True(on.asked <= len(on.times)/1000) // it does nothing where there is no room
			}
		})
	}
}

// goal is the part to which the 99th percentile is to fall, at 2% of extra work.
const goal = 2.0 / 3

// Guards against extra work that does not pay: responses that are slow by themselves, on any engine.
func TestStragglersGainAThird(t *testing.T) { checkGoal(t, "stragglers") }

// Guards against the same on a tenth of the engines that is slow throughout.
func TestSlowTenthGainsAThird(t *testing.T) { checkGoal(t, "slow tenth, unknown to placement") }

func checkGoal(t *testing.T, name string) {
	t.Helper()
	t.Parallel()
	is := is.New(t)
	for _, l := range loadPatterns {
		if l.name != name {
			continue
		}
		off, on := run(l.loadPattern, policyOf("off")), run(l.loadPattern, policyOf("on"))
		t.Logf("off %s", off)
		t.Logf("on  %s", on)
		is.True(float64(on.percentile(0.99)) <= goal*float64(off.percentile(0.99)))
		return
	}
	t.Fatalf("no load pattern %q", name)
}

// largeFleet is a fleet whose routers see too few answers of a kind to know what is usual.
func largeFleet(routers int, pace func(int, time.Duration, *rand.Rand) float64) loadPattern {
	return loadPattern{rate: 250, pace: pace, share: 0.02, unweighted: true, routers: routers, sizes: 4}
}

// Guards against routers of a large fleet that learn too little alone, and against sums that cost more than the limit or make
// anything slower.
func TestLargeFleetLearnsTogether(t *testing.T) {
	for _, routers := range []int{25, 103} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) { checkLargeFleet(t, largeFleet(routers, stragglers)) })
	}
}

// Guards against routers of a large fleet that know what is usual, but not which instances are slow.
func TestLargeFleetKnowsSlowInstances(t *testing.T) { checkLargeFleet(t, largeFleet(103, slowTenth)) }

func checkLargeFleet(t *testing.T, l loadPattern) {
	t.Helper()
	t.Parallel()
	is := is.New(t)
	separate := l
	separate.alone = true
	off, alone, on := run(l, policyOf("off")), run(separate, policyOf("on")), run(l, policyOf("on"))
	t.Logf("off   %s", off)
	t.Logf("alone %s", alone)
	t.Logf("on    %s", on)
	is.True(on.extraWork() <= 100*l.share)
	for q, factor := range equal {
		is.True(float64(on.percentile(q)) <= factor*float64(off.percentile(q)))
	}
	is.True(float64(on.percentile(0.99)) <= goal*float64(off.percentile(0.99)))
}

// falsified lets one router in five tell counts instead of what it knows.
func falsified(counts []byte) func(int, []Told) []Told {
	return func(router int, told []Told) []Told {
		if router%5 != 1 {
			return told
		}
		out := slices.Clone(told)
		for i := range out {
			out[i].Answered, out[i].Cut = counts, nil
		}
		return out
	}
}

var (
	// twoValues are 65,535 answers after 32 ms and as many after 1.2 s.
	twoValues = []byte{20, 255, 255, 3, 0, 20, 255, 255, 3}
	// endlessTail are 65,535 answers after 181 ms and 200 after 110 s, so that a request older than that seems to have
	// computed next to nothing.
	endlessTail = []byte{30, 255, 255, 3, 0, 36, 200, 1}
)

// Guards against false sums, routers that neither send nor pass on any, and lost links, that make anything slower or cost more
// than the limit.
func TestFalseOrMissingSumsDoNoHarm(t *testing.T) {
	off := sync.OnceValue(func() *replay { return run(largeFleet(25, stragglers), policyOf("off")) })
	for name, change := range map[string]func(l *loadPattern){
		"fastest":    func(l *loadPattern) { l.tamper = falsified([]byte{0, 255, 255, 3}) },
		"slowest":    func(l *loadPattern) { l.tamper = falsified([]byte{bucketCount - 1, 255, 255, 3}) },
		"two values": func(l *loadPattern) { l.tamper = falsified(twoValues) },
		// Each router has answers enough of its own to know what is usual.
		"two values, one size": func(l *loadPattern) { l.sizes, l.tamper = 1, falsified(twoValues) },
		"endless tail": func(l *loadPattern) {
			l.routers, l.tamper = 103, func(_ int, told []Told) []Told { return falsified(endlessTail)(1, told) }
		},
		"garbage": func(l *loadPattern) { l.tamper = falsified([]byte{255, 255, 255}) },
		"older version": func(l *loadPattern) {
			l.tamper = func(router int, told []Told) []Told {
				if router%3 == 1 {
					return nil
				}
				return told
			}
		},
		"lost links": func(l *loadPattern) { l.lost = true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			l, off := largeFleet(25, stragglers), off()
			change(&l)
			on := run(l, policyOf("on"))
			t.Logf("off %s", off)
			t.Logf("on  %s", on)
			is.True(on.extraWork() <= 100*l.share)
			for q, factor := range equal {
				is.True(float64(on.percentile(q)) <= factor*float64(off.percentile(q)))
			}
		})
	}
}

// BenchmarkAlternatives prints the figures of all policies, docs/design/extra-work.md.
func BenchmarkAlternatives(b *testing.B) {
	for _, l := range loadPatterns {
		b.Run(l.name, func(b *testing.B) {
			for _, p := range policies {
				b.Logf("%-26s %s", p.name, run(l.loadPattern, p.policy))
			}
		})
	}
}
