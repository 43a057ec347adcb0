package suspect

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jacinthfork.example/jacinthfork/internal/proptest"
	"jacinthfork.example/jacinthfork/verdict"
)

// culprit crashes every engine that runs it; its caller sends copies to arbitrary sidecars, as
// routers that know of nothing do.
var culprit = Request{Fingerprint: 1, Group: 2}

// tokenHolder is the instance that the caller's placement token names.
const tokenHolder = "i0"

// node is one sidecar with its engine.
type node struct {
	id          string
	incarnation uint64
	table       *Table
	// runs in flight by fingerprint; alone is set while an isolated run is among them.
	runs  map[uint64]*Run
	alone bool
	// downUntil is when the engine has restarted after a crash.
	downUntil time.Time
	// gone is set when the instance has left the pool.
	gone bool
}

// pending is something that happens later.
type pending struct {
	at  time.Time
	run func()
}

// pool is a model of a pool with one culprit.
type pool struct {
	t        *rapid.T
	clock    *clock
	settings Settings
	nodes    []*node
	pending  []pending
	joined   int
	// flux allows the events that add to the bound: members that join and leave, lost evidence.
	flux bool
	// isolation is false in the broken variant, which runs suspects like any request.
	isolation bool
	// crashes counts the engines lost; allowed is the documented bound for the events so far.
	crashes int
	allowed int
}

func newPool(t *rapid.T, isolation bool) *pool {
	p := &pool{t: t, clock: newClock(), settings: DefaultSettings(), isolation: isolation}
	p.settings.ExposureGroup = rapid.IntRange(1, 3).Draw(t, "group")
	p.settings.ExposureFingerprint = rapid.IntRange(1, 5).Draw(t, "fingerprint")
	p.settings.RefuseAfter = rapid.IntRange(2, 4).Draw(t, "refuse after")
	p.allowed = p.settings.MaxEngines()
	p.flux = rapid.Bool().Draw(t, "flux")
	for range rapid.IntRange(2, 12).Draw(t, "nodes") {
		p.nodes = append(p.nodes, &node{id: "i" + strconv.Itoa(p.joined), runs: make(map[uint64]*Run)})
		p.joined++
	}
	for _, n := range p.nodes {
		p.restart(n)
		n.table.SetMembers(p.members())
	}
	p.advance(p.settings.Settle)
	return p
}

func (p *pool) members() []string {
	var ids []string
	for _, n := range p.nodes {
		if !n.gone {
			ids = append(ids, n.id)
		}
	}
	return ids
}

// restart gives a sidecar an empty table, which it fills from a random peer.
func (p *pool) restart(n *node) {
	n.incarnation++
	table, err := NewTable(n.id, n.incarnation, p.settings)
	if err != nil {
		p.t.Fatal(err)
	}
	table.now = p.clock.now
	table.started = p.clock.at
	table.SetMembers(p.members())
	n.table = table
	n.runs = make(map[uint64]*Run)
	n.alone = false
	if peer := p.peer(n); peer.table != nil {
		table.Merge(peer.table.Export(100))
	}
	table.Warm()
}

func (p *pool) pick(label string) *node {
	return p.nodes[rapid.IntRange(0, len(p.nodes)-1).Draw(p.t, label)]
}

// peer returns a random other node.
func (p *pool) peer(n *node) *node {
	own := slices.Index(p.nodes, n)
	at := rapid.IntRange(1, len(p.nodes)-1).Draw(p.t, "peer")
	return p.nodes[(own+at)%len(p.nodes)]
}

func (p *pool) delay(longest time.Duration, label string) time.Duration {
	return time.Duration(rapid.Int64Range(0, int64(longest)).Draw(p.t, label))
}

func (p *pool) later(d time.Duration, run func()) {
	p.pending = append(p.pending, pending{at: p.clock.at.Add(d), run: run})
}

// advance moves the clock and runs what becomes due, in order.
func (p *pool) advance(d time.Duration) {
	end := p.clock.at.Add(d)
	for {
		slices.SortStableFunc(p.pending, func(a, b pending) int { return a.at.Compare(b.at) })
		if len(p.pending) == 0 || p.pending[0].at.After(end) {
			break
		}
		next := p.pending[0]
		p.pending = p.pending[1:]
		p.clock.at = next.at
		next.run()
	}
	p.clock.at = end
}

// send offers a request to a sidecar as the sidecar's own code does.
func (p *pool) send(n *node, r Request) {
	if n.gone || p.clock.at.Before(n.downUntil) || n.runs[r.Fingerprint] != nil || n.alone {
		return
	}
	r.ByToken = n.id == tokenHolder
	isolated := r.Isolate || n.table.Check(r).Isolate
	if isolated && len(n.runs) > 0 {
		return // the engine does not become free in time
	}
	run, d := n.table.Start(r, isolated)
	if d.Err != nil && !p.isolation && d.Err.Reason != verdict.ReasonCrashRefused && d.Err.Reason != verdict.ReasonNotTarget {
		run = p.startAnyway(n, r)
	}
	if run == nil {
		return
	}
	n.runs[r.Fingerprint] = run
	n.alone = isolated && p.isolation
	if r.Fingerprint == culprit.Fingerprint {
		incarnation := n.incarnation
		p.later(p.delay(5*time.Second, "until crash"), func() { p.crash(n, incarnation, run) })
	}
}

// startAnyway is the broken variant: a suspect runs beside others on any instance.
func (p *pool) startAnyway(n *node, r Request) *Run {
	run := &Run{fingerprint: r.Fingerprint, beside: true}
	n.table.running[run] = struct{}{}
	return run
}

// crash ends an engine whose sidecar still has the run. The evidence reaches all others within
// Settle, unless the sidecar is lost with its engine.
func (p *pool) crash(n *node, incarnation uint64, run *Run) {
	if n.incarnation != incarnation {
		p.crashes++
		p.allowed++ // the sidecar has restarted since and does not know what ran
		return
	}
	if n.runs[culprit.Fingerprint] != run {
		return // it ended with an earlier crash
	}
	p.crashes++
	n.downUntil = p.clock.at.Add(p.delay(3*time.Second, "engine restart"))
	if p.flux && rapid.IntRange(0, 9).Draw(p.t, "lost") == 9 {
		p.allowed++ // the evidence reached nobody
		p.restart(n)
		return
	}
	n.table.Crash()
	n.runs = make(map[uint64]*Run)
	n.alone = false
	news := n.table.Export(100)
	for _, peer := range p.nodes {
		p.later(p.delay(p.settings.Settle-time.Millisecond, "news"), func() { peer.table.Merge(news) })
	}
	if rapid.IntRange(0, 3).Draw(p.t, "sidecar restart") == 3 {
		p.restart(n)
	}
}

// join adds an instance. The others see it within Settle. It can be in the exposure set and can
// become the target while the old target still runs the culprit.
func (p *pool) join() {
	p.allowed += 2
	n := &node{id: "i" + strconv.Itoa(p.joined)}
	p.joined++
	p.nodes = append(p.nodes, n)
	p.restart(n)
	p.spreadMembers()
}

// leave removes an instance once it has drained. One instance follows in each of the two orders of
// the exposure set, and the target can change.
func (p *pool) leave() {
	n := p.pick("leave")
	if n.gone || len(p.members()) < 3 || len(n.runs) > 0 {
		return
	}
	p.allowed += 3
	n.gone = true
	p.spreadMembers()
}

func (p *pool) spreadMembers() {
	members := p.members()
	for _, n := range p.nodes {
		p.later(p.delay(p.settings.Settle-time.Millisecond, "view"), func() { n.table.SetMembers(members) })
	}
}

// steps lists the steps of the model by how often they are drawn.
var steps = []string{
	"copies", "copies", "copies", "copies", "copies", "innocent", "innocent", "finish", "wait", "wait",
	"settle", "gossip", "restart", "join", "leave", "excuse",
}

func (p *pool) step() {
	switch rapid.SampledFrom(steps).Draw(p.t, "step") {
	case "copies":
		r := culprit
		r.Isolate = rapid.IntRange(0, 9).Draw(p.t, "hint") == 9
		for range rapid.IntRange(1, 12).Draw(p.t, "copies") {
			p.send(p.pick("to"), r)
		}
	case "innocent":
		p.send(p.pick("to"), Request{Fingerprint: uint64(rapid.IntRange(3, 6).Draw(p.t, "innocent")), Group: 3})
	case "finish":
		p.finishInnocents(p.pick("at"))
	case "wait":
		p.advance(p.delay(time.Second, "wait"))
	case "settle":
		p.advance(p.settings.Settle)
	case "gossip":
		n := p.pick("gossip")
		n.table.Merge(p.peer(n).table.Export(100))
	case "restart":
		if n := p.pick("restart"); !n.gone && (p.flux || n.runs[culprit.Fingerprint] == nil) {
			p.restart(n)
		}
	case "join":
		if p.flux {
			p.join()
		}
	case "leave":
		if p.flux {
			p.leave()
		}
	case "excuse":
		p.advance(p.settings.ExcuseAfter + time.Minute)
	}
}

func (p *pool) finishInnocents(n *node) {
	for fingerprint, run := range n.runs {
		if fingerprint != culprit.Fingerprint {
			n.table.Finish(run, true)
			delete(n.runs, fingerprint)
			n.alone = false
		}
	}
}

// play runs one scenario and returns the engines lost and the documented bound.
func play(t *rapid.T, isolation bool) (crashes, allowed int) {
	p := newPool(t, isolation)
	for range rapid.IntRange(20, 120).Draw(t, "steps") {
		p.step()
	}
	p.advance(time.Minute)
	return p.crashes, p.allowed
}

// One request must not cost more engines than MaxEngines says, whatever its caller, the news, the
// members and the sidecars do. The log has no part in it.
func TestEnginesLostToOneRequest(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		crashes, allowed := play(t, true)
		if crashes > allowed {
			t.Fatalf("%d engines lost, at most %d are allowed", crashes, allowed)
		}
	})
}

// Without isolation the same scenarios must break the bound, or the model shows nothing.
func TestNoIsolationBreaksTheBound(t *testing.T) {
	worst := 0
	proptest.Check(t, func(t *rapid.T) {
		crashes, allowed := play(t, false)
		worst = max(worst, crashes-allowed)
	})
	t.Logf("without isolation up to %d engines above the bound", worst)
	if worst <= 0 {
		t.Fatal("the broken variant kept the bound")
	}
}
