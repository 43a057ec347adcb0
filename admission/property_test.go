package admission

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"jacinthfork.example/jacinthfork/internal/proptest"
	"jacinthfork.example/jacinthfork/verdict"
)

// model drives the controllers of one pool with random steps and checks the invariants after each step.
type model struct {
	t           *rapid.T
	controllers []*Controller
	// stale marks members whose load the pool view counts as zero.
	stale   []bool
	grants  []modelGrant
	results chan modelResult
	drained []bool
	factor  uint64
	// violation is set by checkBound, which runs in the goroutines that call Admit and must not fail the test
	// itself.
	violation string
}

type modelGrant struct {
	grant *Grant
	owner int
}

type modelResult struct {
	owner int
	grant *Grant
	err   error
}

// modelPool is the pool view of one controller: the current load of the others, or zero for stale members.
type modelPool struct {
	m    *model
	self int
}

// Mean reads the other controllers without their locks, which is safe because synctest steps run
// one at a time.
func (p modelPool) Mean(own uint64) (uint64, int) {
	total := own
	for i, c := range p.m.controllers {
		if i != p.self && !p.m.stale[i] {
			total += c.inFlightTokens
		}
	}
	return total, len(p.m.controllers)
}

func newModel(t *rapid.T) *model {
	n := rapid.IntRange(1, 3).Draw(t, "members")
	m := &model{t: t, stale: make([]bool, n), drained: make([]bool, n), results: make(chan modelResult, 1000)}
	m.factor = uint64(rapid.IntRange(100, 400).Draw(t, "factor"))
	settings := DefaultSettings()
	settings.FactorPercent = m.factor
	settings.CapacityTokens = 500
	settings.CapacityRequests = rapid.IntRange(1, 3).Draw(t, "capacity")
	settings.QueueWait = 20 * time.Second
	settings.QueueRequests = rapid.IntRange(0, 6).Draw(t, "queue")
	for i := range n {
		c, err := NewController(settings, modelPool{m: m, self: i}, nil)
		if err != nil {
			t.Fatal(err)
		}
		c.onGrant = m.checkBound
		m.controllers = append(m.controllers, c)
	}
	return m
}

// checkBound recomputes the documented load bound from the values before the grant. The integers are too small
// to overflow.
func (m *model) checkBound(c *Controller, isolate bool, work uint64) {
	self := 0
	for i, other := range m.controllers {
		if other == c {
			self = i
		}
	}
	if m.drained[self] {
		m.violation = fmt.Sprintf("controller %d: request granted after drain", self)
	}
	if c.inFlightRequests == 0 {
		return
	}
	if isolate || c.isolated {
		m.violation = fmt.Sprintf("controller %d: request granted while an isolated one runs, or isolated request granted on a busy engine", self)
	}
	total, n := modelPool{m: m, self: self}.Mean(c.inFlightTokens)
	if (c.inFlightTokens+work)*uint64(n)*100 > m.factor*(total+work) {
		m.violation = fmt.Sprintf("controller %d: load %d + %d exceeds %d%% of the mean, total %d of %d members", self, c.inFlightTokens, work, m.factor, total, n)
	}
}

// steps lists the steps of the model; repetition sets how often a step is drawn.
var steps = []string{
	"admit", "admit", "admit", "admit", "admit", "progress", "progress", "done", "done", "done",
	"stale", "report", "sleep", "crash", "drain",
}

func (m *model) step() {
	self := rapid.IntRange(0, len(m.controllers)-1).Draw(m.t, "controller")
	c := m.controllers[self]
	switch rapid.SampledFrom(steps).Draw(m.t, "step") {
	case "admit":
		m.admit(self)
	case "progress":
		if g := m.pick(); g != nil {
			g.grant.Progress(uint64(rapid.IntRange(0, 200).Draw(m.t, "prompt")), uint64(rapid.IntRange(0, 200).Draw(m.t, "streamed")))
		}
	case "done":
		m.done()
	case "crash":
		c.Reset()
		c.Resume()
	case "drain":
		if rapid.IntRange(0, 19).Draw(m.t, "drain") == 19 {
			m.drained[self] = true
			c.Drain()
		}
	case "stale":
		m.stale[self] = !m.stale[self]
	case "report":
		c.Report(uint64(rapid.IntRange(0, 1000).Draw(m.t, "report")), time.Duration(rapid.IntRange(0, 6000).Draw(m.t, "age"))*time.Millisecond)
	case "sleep":
		time.Sleep(time.Duration(rapid.IntRange(1, 1000).Draw(m.t, "sleep")) * time.Millisecond)
	}
	synctest.Wait()
	m.collect()
	m.check()
}

func (m *model) admit(self int) {
	req := Request{
		Organisation: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(m.t, "organisation"),
		PromptTokens: uint64(rapid.IntRange(0, 300).Draw(m.t, "prompt")),
		CachedTokens: uint64(rapid.IntRange(0, 300).Draw(m.t, "cached")),
		DecodeTokens: uint64(rapid.IntRange(0, 100).Draw(m.t, "decode")),
		Priority:     rapid.IntRange(0, 2).Draw(m.t, "priority"),
		Isolate:      rapid.IntRange(0, 9).Draw(m.t, "isolate") > 7,
	}
	deadline := time.Duration(20000-rapid.IntRange(0, 20000).Draw(m.t, "early")) * time.Millisecond
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), deadline)
		defer cancel()
		g, err := m.controllers[self].Admit(ctx, req)
		m.results <- modelResult{owner: self, grant: g, err: err}
	}()
}

// done calls Done on one grant. Half of the time the grant stays in the list, so that Done is called twice on
// some grants.
func (m *model) done() {
	if len(m.grants) == 0 {
		return
	}
	at := rapid.IntRange(0, len(m.grants)-1).Draw(m.t, "grant")
	m.grants[at].grant.Done()
	if rapid.Bool().Draw(m.t, "forget") {
		m.grants = slices.Delete(m.grants, at, at+1)
	}
}

// pick returns a random grant, which may be finished, so that Progress is also called after Done.
func (m *model) pick() *modelGrant {
	if len(m.grants) == 0 {
		return nil
	}
	return &m.grants[rapid.IntRange(0, len(m.grants)-1).Draw(m.t, "grant")]
}

func (m *model) collect() {
	for {
		select {
		case r := <-m.results:
			m.result(r)
		default:
			return
		}
	}
}

func (m *model) result(r modelResult) {
	if r.err == nil {
		m.grants = append(m.grants, modelGrant{grant: r.grant, owner: r.owner})
		return
	}
	if r.grant != nil || verdict.Of(r.err) != verdict.NotRun {
		m.t.Fatalf("want a not-run refusal without a grant, got %v with grant %v", r.err, r.grant)
	}
}

// check compares the counts with the sums over the grants. A count that fell below zero would wrap around to a
// huge number and differ.
func (m *model) check() {
	if m.violation != "" {
		m.t.Fatal(m.violation)
	}
	for i, c := range m.controllers {
		var work uint64
		inFlight := 0
		for _, g := range m.grants {
			if g.owner == i && g.grant.Remaining() > 0 {
				work += g.grant.Remaining()
				inFlight++
			}
		}
		load := c.Load()
		if load.Work != work || load.InFlight != inFlight {
			m.t.Fatalf("controller %d: load %+v, but its grants hold %d tokens in %d requests", i, load, work, inFlight)
		}
		if load.Waiting > c.settings.QueueRequests {
			m.t.Fatalf("controller %d: %d requests queued, limit %d", i, load.Waiting, c.settings.QueueRequests)
		}
	}
}

// finish calls Done on all grants and checks that no work is left.
func (m *model) finish() {
	for len(m.grants) > 0 {
		g := m.grants[0]
		m.grants = m.grants[1:]
		g.grant.Done()
		synctest.Wait()
		m.collect()
	}
	time.Sleep(time.Minute)
	synctest.Wait()
	m.collect()
	for i, c := range m.controllers {
		for _, g := range m.grants {
			g.grant.Done()
		}
		for name, o := range c.organisations {
			if o.inFlightTokens != 0 || o.inFlightRequests != 0 || o.queuedTokens != 0 || len(o.waiting) != 0 {
				m.t.Fatalf("controller %d: organisation %s has work left: %+v", i, name, o)
			}
		}
		if load := c.Load(); load.Work != 0 || load.InFlight != 0 || load.Waiting != 0 {
			m.t.Fatalf("controller %d: work left: %+v", i, load)
		}
	}
}

// No interleaving of admissions, progress, completions, crashes, drains and reports may violate the load bound,
// make the counts differ from the work of the grants, overfill the queue or grant a request after a drain.
func TestAdmissionInvariants(t *testing.T) {
	proptest.Check(t, func(rt *rapid.T) {
		rapid.SyncTest(rt, func(rt *rapid.T) {
			defer time.Sleep(time.Minute) // lets all queued requests leave, also after a failure
			m := newModel(rt)
			for range rapid.IntRange(20, 200).Draw(rt, "steps") {
				m.step()
			}
			m.finish()
		})
	})
}
