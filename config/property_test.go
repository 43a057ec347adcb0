package config

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jacinthfork.example/jacinthfork/internal/proptest"
	"jacinthfork.example/jacinthfork/services"
	"jacinthfork.example/jacinthfork/wire"
)

// fleet is a log with several nodes, and a reader that saw every record as the truth.
type fleet struct {
	t     *rapid.T
	rule  acceptance
	log   *fakeLog
	nodes []*Store
	// truth has one entry for each prefix of the log.
	truth []map[Key]Object
	whole *state
	// late holds copies of records that are still under way.
	late  [][]byte
	saved [][]*wire.ConfigPart
	// winners counts the accepted changes by object and base, nonces by nonce.
	winners map[string]int
	nonces  map[string]int
	count   int
	// shown is the highest revision that each node showed for each object.
	shown []map[Key]uint64
}

var testKeys = []Key{{KindPool, "a", 1}, {KindPool, "a", 2}, {KindOrganisation, "o", 1}, {KindModel, "m", 9}}

// bodies are by key: valid ones and an invalid one. No body of model v9 is valid here.
var testBodies = []string{`{"workload":"model"}`, `{"weight":2}`, `{"colour":1}`}

func newFleet(t *rapid.T, rule acceptance) *fleet {
	f := &fleet{t: t, rule: rule, log: newFakeLog(), whole: newState(), winners: map[string]int{}, nonces: map[string]int{}}
	f.truth = []map[Key]Object{{}}
	f.whole.rule = rule
	f.whole.decided = func(d Decision) {
		if d.Outcome == Accepted {
			base := decodeRecord(f.log.records[d.Offset].Payload).Base
			f.winners[fmt.Sprint(d.Key, base)]++
			f.nonces[d.Nonce]++
		}
	}
	f.append(encode(&wire.ConfigRecord{}))
	for range 4 {
		f.nodes = append(f.nodes, f.fresh())
		f.shown = append(f.shown, map[Key]uint64{})
	}
	return f
}

func (f *fleet) fresh() *Store {
	s := newTestStore()
	s.state.rule = f.rule
	return s
}

func (f *fleet) append(payload []byte) {
	offset, _ := f.log.Append(context.Background(), Stream, payload)
	f.whole.apply(f.log.records[offset])
	truth := make(map[Key]Object, len(f.whole.objects))
	for key, object := range f.whole.objects {
		truth[key] = *object
	}
	f.truth = append(f.truth, truth)
}

// send appends a record. Its answer may get lost, so that copies follow at once or later.
func (f *fleet) send(payload []byte) {
	fate := rapid.IntRange(0, 5).Draw(f.t, "fate")
	if fate != 1 {
		f.append(payload)
	}
	if fate == 2 {
		f.append(payload)
	}
	if fate == 1 || fate == 3 {
		f.late = append(f.late, payload)
	}
}

func (f *fleet) node() int { return rapid.IntRange(0, len(f.nodes)-1).Draw(f.t, "node") }

func (f *fleet) publish() {
	key := rapid.SampledFrom(testKeys).Draw(f.t, "key")
	object := f.nodes[f.node()].state.objects[key]
	base := uint64(0)
	if object != nil && rapid.IntRange(0, 4).Draw(f.t, "blind") > 0 {
		base = object.Revision
	}
	f.count++
	record := setRecord(key, base, fmt.Sprint("n", f.count), rapid.SampledFrom(testBodies).Draw(f.t, "body"))
	if rapid.IntRange(0, 4).Draw(f.t, "delete") == 0 {
		record.Operation, record.Body = wire.ConfigOperation_CONFIG_DELETE, nil
	}
	f.send(encode(record))
}

func (f *fleet) read() {
	node := f.nodes[f.node()]
	page, _, _ := f.log.page(node.asOf(), rapid.IntRange(1, 6).Draw(f.t, "limit"))
	node.ApplyPage(page)
}

// reread delivers records that the node may have already.
func (f *fleet) reread() {
	node := f.nodes[f.node()]
	back := rapid.Uint64Range(1, 9).Draw(f.t, "back")
	page, _, _ := f.log.page(node.asOf()-min(back, node.asOf()), 4)
	page.Earliest = 0
	node.ApplyPage(page)
}

// farFuture is a time at which everything is due to be restated.
var farFuture = time.Now().Add(1000 * time.Hour)

func (f *fleet) restate() {
	node := f.nodes[f.node()]
	plan := schedule{retention: time.Hour, node: "n"}
	if payload, _ := node.restatement(plan, farFuture); payload != nil {
		f.send(payload)
	}
}

func (f *fleet) census() {
	node := f.nodes[f.node()]
	record, _ := node.state.censusRecord(schedule{retention: time.Hour}, farFuture, farFuture)
	if record != nil {
		f.send(encode(record))
	}
}

func (f *fleet) arrive() {
	if len(f.late) > 0 {
		f.append(f.late[0])
		f.late = f.late[1:]
	}
}

func (f *fleet) expire() {
	f.log.earliest = rapid.Uint64Range(f.log.earliest, uint64(len(f.log.records))).Draw(f.t, "earliest")
}

func (f *fleet) restart() {
	i := f.node()
	f.nodes[i] = f.fresh()
	f.shown[i] = map[Key]uint64{}
}

// transfer gives a node the state of another one, or a state that was exported long ago.
func (f *fleet) transfer() {
	to, from := f.nodes[f.node()], f.nodes[f.node()]
	since := uint64(0)
	if rapid.Bool().Draw(f.t, "changes only") {
		since = to.whole()
	}
	parts := from.Export(since)
	f.saved = append(f.saved, parts)
	if rapid.Bool().Draw(f.t, "old") {
		parts = rapid.SampledFrom(f.saved).Draw(f.t, "saved")
	}
	_ = to.Import(parts)
}

// check compares every node with the truth at its prefix.
func (f *fleet) check() error {
	for name, n := range f.winners {
		if n != 1 {
			return fmt.Errorf("%d winners for object and base %s", n, name)
		}
	}
	for nonce, n := range f.nonces {
		if n != 1 {
			return fmt.Errorf("change %s was accepted %d times", nonce, n)
		}
	}
	for i, node := range f.nodes {
		if err := f.checkNode(node, f.shown[i]); err != nil {
			return fmt.Errorf("node %d: %w", i, err)
		}
	}
	return nil
}

func (f *fleet) checkNode(node *Store, shown map[Key]uint64) error {
	truth := f.truth[node.state.asOf]
	if node.state.complete && len(truth) != len(node.state.objects) {
		return fmt.Errorf("%d objects, want %d", len(node.state.objects), len(truth))
	}
	for key, object := range node.state.objects {
		want := truth[key]
		if object.Revision > want.Revision || (object.decidable && object.Revision != want.Revision) {
			return fmt.Errorf("%v: revision %d, want %d", key, object.Revision, want.Revision)
		}
		if object.decidable && (string(object.Body) != string(want.Body) || object.Deleted != want.Deleted) {
			return fmt.Errorf("%v: body differs at revision %d", key, object.Revision)
		}
		if object.Revision < shown[key] {
			return fmt.Errorf("%v: revision went from %d to %d", key, shown[key], object.Revision)
		}
		shown[key] = object.Revision
	}
	return nil
}

// converge lets everything arrive and checks that nodes without peers and nodes with one end on the
// truth, from only the records that a census covers.
func (f *fleet) converge() error {
	for len(f.late) > 0 {
		f.arrive()
	}
	survivor := f.fresh()
	all := func() services.Page {
		return services.Page{Records: f.log.records, Next: uint64(len(f.log.records))}
	}
	survivor.ApplyPage(all())
	if record, _ := survivor.state.restatement(schedule{retention: time.Hour}, farFuture); record != nil {
		f.append(encode(record))
	}
	survivor.ApplyPage(all())
	census, _ := survivor.state.censusRecord(schedule{retention: time.Hour}, farFuture, farFuture)
	if census == nil {
		return fmt.Errorf("a complete node with restated objects writes no census")
	}
	f.append(encode(census))
	survivor.ApplyPage(all())
	f.log.earliest = census.RestatedFrom
	alone := f.fresh()
	f.nodes = append(f.nodes, alone)
	f.shown = append(f.shown, map[Key]uint64{})
	for _, node := range f.nodes {
		page, _, _ := f.log.page(node.asOf(), 1<<20)
		node.ApplyPage(page)
	}
	if !alone.View().Complete {
		return fmt.Errorf("a node without peers is not complete after a census")
	}
	for i, node := range f.nodes {
		_ = node.Import(survivor.Export(0))
		if !node.View().Complete || node.Revision() != survivor.Revision() {
			return fmt.Errorf("node %d ends at revision %d, want %d", i, node.Revision(), survivor.Revision())
		}
		for key := range f.whole.objects {
			if node.View().values[key].revision != survivor.View().values[key].revision {
				return fmt.Errorf("node %d has another body of %v in force", i, key)
			}
		}
	}
	return f.check()
}

// run draws an interleaving and returns what went wrong.
func run(t *rapid.T, rule acceptance) error {
	f := newFleet(t, rule)
	actions := []func(){
		f.publish, f.publish, f.publish, f.read, f.read, f.read, f.reread, f.restate, f.census,
		f.arrive, f.expire, f.restart, f.transfer, f.transfer,
	}
	for range rapid.IntRange(5, 80).Draw(t, "steps") {
		actions[rapid.IntRange(0, len(actions)-1).Draw(t, "action")]()
		if err := f.check(); err != nil {
			return err
		}
	}
	return f.converge()
}

// Guards against nodes that differ or go back after lost answers, late copies, expiry, restarts,
// peers that are behind, and outages.
func TestNodesFollowOneSequence(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		if err := run(t, compareAndSet); err != nil {
			t.Fatal(err)
		}
	})
}

// The property must be able to fail: with "last write wins" a late copy is accepted again.
func TestLastWriteWinsFailsTheProperty(t *testing.T) {
	failures := 0
	proptest.Check(t, func(t *rapid.T) {
		if run(t, func(uint64, uint64) bool { return true }) != nil {
			failures++
		}
	})
	if failures == 0 {
		t.Fatal("the property did not notice that the last write wins")
	}
}
