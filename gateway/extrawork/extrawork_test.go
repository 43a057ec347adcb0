package extrawork

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var testKind = Kind{Pool: "p", Mode: 1}

// lateRequest is a request for which a second instance is asked by a decider of learned.
func lateRequest() Request {
	return Request{Kind: testKind, Repeatable: true, Attempts: 1, MaxAttempts: 2, Age: 400 * time.Millisecond, Alternative: true, InFlight: 1,
		Slots: 10, Spare: func() bool { return true }}
}

// learned returns a decider with a full budget that has seen answers after 100 ms, and one in twenty after 1 s.
func learned(share float64) *Decider {
	d := New(Settings{Share: share})
	for n := range 400 {
		after := 100 * time.Millisecond
		if n%20 == 0 {
			after = time.Second
		}
		d.RecordAnswer(testKind, "i", after, start())
		d.RecordServed("p", 0, 100, start())
	}
	return d
}

// Guards against a second instance for a request that may not have one, or for which it is of no use.
func TestSecondInstanceIsAskedOnlyWhenAllConditionsHold(t *testing.T) {
	for name, c := range map[string]struct {
		change func(r *Request)
		want   Decision
	}{
		"late":             {func(*Request) {}, Ask},
		"not repeatable":   {func(r *Request) { r.Repeatable = false }, NotAllowed},
		"asked before":     {func(r *Request) { r.Asked = true }, NotAllowed},
		"attempts used up": {func(r *Request) { r.Attempts = 2 }, NotAllowed},
		"not late":         {func(r *Request) { r.Age = 90 * time.Millisecond }, NotLate},
		"unknown kind":     {func(r *Request) { r.Kind.Size = 3 }, NotLate},
		"overloaded":       {func(r *Request) { r.Overloaded = true }, NoRoom},
		"no alternative":   {func(r *Request) { r.Alternative = false }, NoRoom},
		"full pool":        {func(r *Request) { r.InFlight = 4 }, NoRoom},
		"about to answer":  {func(r *Request) { r.Age = 990 * time.Millisecond }, NotSooner},
		"no spare retry":   {func(r *Request) { r.Spare = func() bool { return false } }, OverLimit},
		"over the limit":   {func(r *Request) { r.Computed = 1e6 }, OverLimit},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := lateRequest()
			c.change(&r)
			got, charge := learned(0.2).Decide(r, start())
			is.Equal(got, c.want)
			is.Equal(charge > 0, c.want == Ask)
		})
	}
}

// Guards against a share of 0 that asks, and against times that are used long after they were seen.
func TestNothingIsAskedWhenOffOrUnknown(t *testing.T) {
	is := is.New(t)
	decision, _ := learned(0).Decide(lateRequest(), start())
	is.Equal(decision, NotAllowed)
	d := learned(0.2)
	_, ok := d.Delay(testKind, "i", 0, start().Add(generation))
	is.True(ok)
	_, ok = d.Delay(testKind, "i", 0, start().Add(3*generation))
	is.True(!ok)
}

// Guards against times that look ever shorter because the late requests are cancelled and never counted.
func TestCancelledRequestsCountAsLate(t *testing.T) {
	is := is.New(t)
	d := New(Settings{Share: 0.2})
	for n := range 1000 {
		if n%10 == 0 {
			d.Settle(Cancelled{Kind: testKind, After: 300 * time.Millisecond}, 0, start())
			continue
		}
		d.RecordAnswer(testKind, "i", 100*time.Millisecond, start())
	}
	is.True(!d.SecondSooner(testKind, Sent{}, Sent{Age: 200 * time.Millisecond}, start()))
	is.True(d.SecondSooner(testKind, Sent{Age: 400 * time.Millisecond}, Sent{}, start()))
}

// Guards against memory that grows with the kinds of requests.
func TestKindsAreBounded(t *testing.T) {
	is := is.New(t)
	d := New(Settings{Share: 0.2})
	for n := range 3 * maxKinds {
		d.RecordAnswer(Kind{Pool: fmt.Sprint(n)}, "i", time.Second, start().Add(time.Duration(n)))
	}
	is.Equal(len(d.kinds), maxKinds)
}

// Guards against size classes that mix short prompts and long ones.
func TestSizeClasses(t *testing.T) {
	is := is.New(t)
	for n, want := range map[int]uint8{-1: 0, 0: 0, 255: 0, 256: 1, 1023: 1, 1024: 2, 4095: 2, 4096: 3, 16384: 4, 1 << 30: 4} {
		is.Equal(SizeOf(n), want)
	}
}

// ledger is what the fleet has served and spent at a time, and what it had saved up before.
type ledger struct {
	work, spent, saved float64
}

// fleetModel is a fleet of routers that do not know of each other, of which some restart.
type fleetModel struct {
	share   float64
	routers []*Decider
	now     time.Time
	// open are the charges that are not settled, by router.
	open map[*Decider][]float64
	// work is what each router has served, and largest the largest request.
	work    map[*Decider]float64
	largest float64
}

func (m *fleetModel) saved() (sum float64) {
	for _, d := range m.routers {
		sum += d.account("p").level
	}
	return sum
}

// ask charges a second instance that computes a number of prompt tokens, if the budget covers it.
func (m *fleetModel) ask(d *Decider, computed int) float64 {
	charge, ok := d.Raise("p", computed, 0, m.now)
	if !ok || charge == 0 {
		return 0
	}
	m.open[d] = append(m.open[d], charge)
	return charge
}

// tell exchanges sums between two routers.
func (m *fleetModel) tell(t *rapid.T, a, b *Decider) {
	up, down := a.TakeUp(m.now), b.TakeDown(rapid.Bool().Draw(t, "root"), m.now)
	if rapid.Bool().Draw(t, "false sums") {
		down = append(down, Told{Pool: a.key(testKind).pool, Kind: uint32(testKind.Mode) << 3,
			Answered: rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "counts"), Cut: rapid.SliceOfN(rapid.Byte(), 0, 4).Draw(t, "cut")})
	}
	b.MergeUp(up)
	a.MergeDown(down, m.now)
}

// step lets one router serve, learn, ask, settle or restart.
func (m *fleetModel) step(t *rapid.T) (e ledger) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
	n := rapid.IntRange(0, len(m.routers)-1).Draw(t, "router")
	d := m.routers[n]
	e.saved = m.saved()
	switch rapid.IntRange(0, 12).Draw(t, "step") {
	case 10:
		// Sums, some of them false, from a router that takes the other one for its parent, or for below it.
		m.tell(t, d, m.routers[rapid.IntRange(0, len(m.routers)-1).Draw(t, "other")])
	case 11:
		for range rapid.IntRange(1, 200).Draw(t, "answers") {
			d.RecordAnswer(testKind, "i", time.Duration(rapid.IntRange(1, 2000).Draw(t, "after"))*time.Millisecond, m.now)
		}
	case 12:
		r := lateRequest()
		r.Age = time.Duration(rapid.IntRange(0, 3000).Draw(t, "age")) * time.Millisecond
		r.Computed = rapid.IntRange(0, 500).Draw(t, "computed")
		r.Instance, r.Pace = "i", rapid.Float64Range(0, 10).Draw(t, "pace")
		if decision, charge := d.Decide(r, m.now); decision == Ask {
			m.open[d] = append(m.open[d], charge)
			e.spent = charge
		}
	case 0:
		m.routers[n] = New(Settings{Share: m.share})
	case 1, 2, 3, 4:
		computed, output := rapid.IntRange(0, 2000).Draw(t, "computed"), rapid.Float64Range(1, 20).Draw(t, "output")
		d.RecordServed("p", computed, output, m.now)
		e.work = float64(computed) + output
		m.work[d] += e.work
		m.largest = max(m.largest, e.work)
	case 5:
		e.spent = m.ask(d, rapid.IntRange(0, 500).Draw(t, "asked"))
	case 6, 7:
		// All that is left.
		for charge := -1.0; charge != 0; e.spent += max(0, charge) {
			charge = m.ask(d, 0)
		}
	default:
		if len(m.open[d]) > 0 {
			charge := m.open[d][0]
			m.open[d] = m.open[d][1:]
			used, _ := d.Settle(Cancelled{Kind: testKind, Computed: rapid.IntRange(0, 2000).Draw(t, "used")}, charge, m.now)
			if used < 0 || used > charge {
				t.Fatalf("used %g of %g", used, charge)
			}
			e.spent = used - charge
		}
	}
	for _, d := range m.routers {
		if level := d.account("p").level; level < -1e-9 || level > max(m.share*m.work[d], minBurst*m.largest)+1e-9 {
			t.Fatalf("saved up %g", level)
		}
	}
	return e
}

// Guards against extra work over the limit, in any window, whatever is served, asked and refunded: the fleet spends no more
// than its share of what it has served in the window, plus what it had saved up before, which is bounded by its own work.
// No router knows how many others there are, and some restart.
func TestLimitHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &fleetModel{share: rapid.Float64Range(0.001, 0.2).Draw(t, "share"), now: start(), open: make(map[*Decider][]float64), work: make(map[*Decider]float64)}
		for range rapid.IntRange(1, 4).Draw(t, "routers") {
			m.routers = append(m.routers, New(Settings{Share: m.share}))
		}
		var history []ledger
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			history = append(history, m.step(t))
		}
		for from := range history {
			work, spent := 0.0, 0.0
			for _, e := range history[from:] {
				work, spent = work+e.work, spent+e.spent
				if limit := m.share*work + history[from].saved; spent > limit+1e-6 {
					t.Fatalf("spent %g, limit %g", spent, limit)
				}
			}
		}
	})
}

// Guards against two second instances for one request, and one for a request that may run only once, in any state.
func TestAtMostOneSecondInstance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := learned(0.2)
		r := lateRequest()
		r.Repeatable = rapid.Bool().Draw(t, "repeatable")
		r.MaxAttempts = rapid.IntRange(1, 4).Draw(t, "attempts")
		asked := 0
		for range rapid.IntRange(1, 20).Draw(t, "checks") {
			r.Age = time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond
			r.InFlight = rapid.IntRange(0, 10).Draw(t, "in flight")
			r.Overloaded = rapid.Bool().Draw(t, "overloaded")
			r.Alternative = rapid.Bool().Draw(t, "alternative")
			if decision, _ := d.Decide(r, start()); decision == Ask {
				asked++
				r.Asked = true
				r.Attempts++
			}
		}
		if asked > 1 || (asked > 0 && (!r.Repeatable || r.MaxAttempts < 2)) {
			t.Fatalf("%d second instances", asked)
		}
	})
}
