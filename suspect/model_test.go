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

// poisonRequest crashes every engine that runs it. Its caller sends copies to arbitrary sidecars, as routers
// without evidence would.
var poisonRequest = Request{Fingerprint: 1, Group: 2}

// tokenInstance is the instance that the placement token of the caller names.
const tokenInstance = "i0"

// node is one sidecar with its engine.
type node struct {
	id          string
	incarnation uint64
	table       *Table
	// runs holds the runs in flight by fingerprint; isolated is set while an isolated run is among them.
	runs     map[uint64]*Run
	isolated bool
	// downUntil is when the engine has restarted after a crash.
	downUntil time.Time
	// left is set when the instance has left the pool.
	left bool
}

// event is an action scheduled for a later time.
type event struct {
	at  time.Time
	run func()
}

// poolModel simulates a pool that receives one poison request.
type poolModel struct {
	t        *rapid.T
	clock    *clock
	settings Settings
	nodes    []*node
	events   []event
	joined   int
	// disruptions enables the events that add to the bound: instances that join and leave, and lost
	// evidence.
	disruptions bool
	// isolation is false in the faulty variant, which runs suspects concurrently with other requests.
	isolation bool
	// crashes counts the crashed engines; maxCrashes is the documented bound for the events so far.
	crashes    int
	maxCrashes int
}

func newPool(t *rapid.T, isolation bool) *poolModel {
	p := &poolModel{t: t, clock: newClock(), settings: DefaultSettings(), isolation: isolation}
	p.settings.ExposureGroup = rapid.IntRange(1, 3).Draw(t, "group")
	p.settings.ExposureFingerprint = rapid.IntRange(1, 5).Draw(t, "fingerprint")
	p.settings.RefuseAfter = rapid.IntRange(2, 4).Draw(t, "refuse after")
	p.maxCrashes = p.settings.MaxEngines()
	p.disruptions = rapid.Bool().Draw(t, "disruptions")
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

func (p *poolModel) members() []string {
	var ids []string
	for _, n := range p.nodes {
		if !n.left {
			ids = append(ids, n.id)
		}
	}
	return ids
}

// restart gives a sidecar an empty table and merges the table of a random peer into it.
func (p *poolModel) restart(n *node) {
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
	n.isolated = false
	if peer := p.randomPeer(n); peer.table != nil {
		table.Merge(peer.table.Export(100))
	}
	table.MarkSynced()
}

func (p *poolModel) randomNode(label string) *node {
	return p.nodes[rapid.IntRange(0, len(p.nodes)-1).Draw(p.t, label)]
}

// randomPeer returns a random node other than n.
func (p *poolModel) randomPeer(n *node) *node {
	own := slices.Index(p.nodes, n)
	at := rapid.IntRange(1, len(p.nodes)-1).Draw(p.t, "peer")
	return p.nodes[(own+at)%len(p.nodes)]
}

func (p *poolModel) randomDelay(longest time.Duration, label string) time.Duration {
	return time.Duration(rapid.Int64Range(0, int64(longest)).Draw(p.t, label))
}

func (p *poolModel) schedule(d time.Duration, run func()) {
	p.events = append(p.events, event{at: p.clock.at.Add(d), run: run})
}

// advance moves the clock and runs the events that become due, in order of time.
func (p *poolModel) advance(d time.Duration) {
	end := p.clock.at.Add(d)
	for {
		slices.SortStableFunc(p.events, func(a, b event) int { return a.at.Compare(b.at) })
		if len(p.events) == 0 || p.events[0].at.After(end) {
			break
		}
		next := p.events[0]
		p.events = p.events[1:]
		p.clock.at = next.at
		next.run()
	}
	p.clock.at = end
}

// send offers a request to a sidecar and follows the steps of the sidecar package.
func (p *poolModel) send(n *node, r Request) {
	if n.left || p.clock.at.Before(n.downUntil) || n.runs[r.Fingerprint] != nil || n.isolated {
		return
	}
	r.NamedByToken = n.id == tokenInstance
	isolated := r.Isolate || n.table.Check(r).Isolate
	if isolated && len(n.runs) > 0 {
		return // the engine does not become idle in time
	}
	run, d := n.table.Start(r, isolated)
	if d.Err != nil && !p.isolation && d.Err.Reason != verdict.ReasonCrashRefused && d.Err.Reason != verdict.ReasonNotATarget {
		run = p.startWithoutIsolation(n, r)
	}
	if run == nil {
		return
	}
	n.runs[r.Fingerprint] = run
	n.isolated = isolated && p.isolation
	if r.Fingerprint == poisonRequest.Fingerprint {
		incarnation := n.incarnation
		p.schedule(p.randomDelay(5*time.Second, "until crash"), func() { p.crash(n, incarnation, run) })
	}
}

// startWithoutIsolation is the faulty variant: a suspect runs on any instance, concurrently with other
// requests.
func (p *poolModel) startWithoutIsolation(n *node, r Request) *Run {
	run := &Run{fingerprint: r.Fingerprint, concurrent: true}
	n.table.running[run] = struct{}{}
	return run
}

// crash crashes the engine if its sidecar still has the run in flight. The evidence reaches all other
// sidecars within Settle, unless the sidecar restarts before it sends any.
func (p *poolModel) crash(n *node, incarnation uint64, run *Run) {
	if n.incarnation != incarnation {
		p.crashes++
		p.maxCrashes++ // the sidecar has restarted since the run started and has no record of it
		return
	}
	if n.runs[poisonRequest.Fingerprint] != run {
		return // an earlier crash ended the run
	}
	p.crashes++
	n.downUntil = p.clock.at.Add(p.randomDelay(3*time.Second, "engine restart"))
	if p.disruptions && rapid.IntRange(0, 9).Draw(p.t, "evidence lost") == 9 {
		p.maxCrashes++ // no other sidecar received the evidence
		p.restart(n)
		return
	}
	n.table.RecordCrash()
	n.runs = make(map[uint64]*Run)
	n.isolated = false
	evidence := n.table.Export(100)
	for _, peer := range p.nodes {
		p.schedule(p.randomDelay(p.settings.Settle-time.Millisecond, "evidence delay"), func() { peer.table.Merge(evidence) })
	}
	if rapid.IntRange(0, 3).Draw(p.t, "sidecar restart") == 3 {
		p.restart(n)
	}
}

// join adds an instance, which the others see within Settle. It can be in the exposure set, and it can become
// the target while the old target still runs the poison request.
func (p *poolModel) join() {
	p.maxCrashes += 2
	n := &node{id: "i" + strconv.Itoa(p.joined)}
	p.joined++
	p.nodes = append(p.nodes, n)
	p.restart(n)
	p.propagateMembers()
}

// leave removes an instance that has drained. One instance moves up in each of the two orders of the exposure
// set, and the target can change.
func (p *poolModel) leave() {
	n := p.randomNode("leave")
	if n.left || len(p.members()) < 3 || len(n.runs) > 0 {
		return
	}
	p.maxCrashes += 3
	n.left = true
	p.propagateMembers()
}

func (p *poolModel) propagateMembers() {
	members := p.members()
	for _, n := range p.nodes {
		p.schedule(p.randomDelay(p.settings.Settle-time.Millisecond, "member list delay"), func() { n.table.SetMembers(members) })
	}
}

// steps lists the steps of the model; repeated names are drawn more often.
var steps = []string{
	"copies", "copies", "copies", "copies", "copies", "benign", "benign", "finish", "wait", "wait",
	"settle", "exchange", "restart", "join", "leave", "excuse",
}

func (p *poolModel) step() {
	switch rapid.SampledFrom(steps).Draw(p.t, "step") {
	case "copies":
		r := poisonRequest
		r.Isolate = rapid.IntRange(0, 9).Draw(p.t, "hint") == 9
		for range rapid.IntRange(1, 12).Draw(p.t, "copies") {
			p.send(p.randomNode("to"), r)
		}
	case "benign":
		p.send(p.randomNode("to"), Request{Fingerprint: uint64(rapid.IntRange(3, 6).Draw(p.t, "benign")), Group: 3})
	case "finish":
		p.finishBenign(p.randomNode("at"))
	case "wait":
		p.advance(p.randomDelay(time.Second, "wait"))
	case "settle":
		p.advance(p.settings.Settle)
	case "exchange":
		n := p.randomNode("exchange")
		n.table.Merge(p.randomPeer(n).table.Export(100))
	case "restart":
		if n := p.randomNode("restart"); !n.left && (p.disruptions || n.runs[poisonRequest.Fingerprint] == nil) {
			p.restart(n)
		}
	case "join":
		if p.disruptions {
			p.join()
		}
	case "leave":
		if p.disruptions {
			p.leave()
		}
	case "excuse":
		p.advance(p.settings.ExcuseAfter + time.Minute)
	}
}

func (p *poolModel) finishBenign(n *node) {
	for fingerprint, run := range n.runs {
		if fingerprint != poisonRequest.Fingerprint {
			n.table.Finish(run, true)
			delete(n.runs, fingerprint)
			n.isolated = false
		}
	}
}

// runScenario runs one random scenario and returns the number of crashed engines and the documented bound.
func runScenario(t *rapid.T, isolation bool) (crashes, allowed int) {
	p := newPool(t, isolation)
	for range rapid.IntRange(20, 120).Draw(t, "steps") {
		p.step()
	}
	p.advance(time.Minute)
	return p.crashes, p.maxCrashes
}

// Guards against one request that crashes more engines than MaxEngines allows, whatever its caller sends,
// also with lost and late evidence, changes of the members and restarts of sidecars. The log is not involved.
func TestOneRequestCrashesAtMostMaxEngines(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		crashes, allowed := runScenario(t, true)
		if crashes > allowed {
			t.Fatalf("%d engines crashed, want at most %d", crashes, allowed)
		}
	})
}

// Checks that the model can detect a fault: without isolation the same scenarios must exceed the bound.
func TestMaxEnginesIsExceededWithoutIsolation(t *testing.T) {
	worst := 0
	proptest.Check(t, func(t *rapid.T) {
		crashes, allowed := runScenario(t, false)
		worst = max(worst, crashes-allowed)
	})
	t.Logf("without isolation the bound is exceeded by up to %d engines", worst)
	if worst <= 0 {
		t.Fatal("the variant without isolation never exceeded the bound")
	}
}
