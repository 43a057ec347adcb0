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

// fleetModel is a log with several nodes, and a reference state that applied every record.
type fleetModel struct {
	t     *rapid.T
	rule  acceptRule
	log   *fakeLog
	nodes []*Store
	// expected holds the objects of the reference state after each prefix of the log.
	expected  []map[Key]Object
	reference *state
	// delayed holds copies of records that are still in transit.
	delayed    [][]byte
	oldExports [][]*wire.ConfigPart
	// acceptedChanges counts the accepted changes by object and base, acceptedNonces by nonce.
	acceptedChanges map[string]int
	acceptedNonces  map[string]int
	published       int
	// highestShown is the highest revision that each node showed for each object.
	highestShown []map[Key]uint64
}

var testKeys = []Key{{KindPool, "a", 1}, {KindPool, "a", 2}, {KindOrganisation, "o", 1}, {KindModel, "m", 9}}

// testBodies holds a body that is valid for pools, one that is valid for organisations, and one that is never
// valid. No body is valid for schema version 9 of kind model.
var testBodies = []string{`{"workload":"model"}`, `{"weight":2}`, `{"colour":1}`}

func newFleet(t *rapid.T, rule acceptRule) *fleetModel {
	f := &fleetModel{t: t, rule: rule, log: newFakeLog(), reference: newState(), acceptedChanges: map[string]int{}, acceptedNonces: map[string]int{}}
	f.expected = []map[Key]Object{{}}
	f.reference.accepts = rule
	f.reference.onDecision = func(d Decision) {
		if d.Outcome == Accepted {
			base := decodeRecord(f.log.records[d.Offset].Payload).Base
			f.acceptedChanges[fmt.Sprint(d.Key, base)]++
			f.acceptedNonces[d.Nonce]++
		}
	}
	f.append(marshalRecord(&wire.ConfigRecord{}))
	for range 4 {
		f.nodes = append(f.nodes, f.newNode())
		f.highestShown = append(f.highestShown, map[Key]uint64{})
	}
	return f
}

// newNode returns an empty store that uses the accept rule of the model.
func (f *fleetModel) newNode() *Store {
	s := newTestStore()
	s.state.accepts = f.rule
	return s
}

// append appends a record to the log and applies it to the reference state.
func (f *fleetModel) append(payload []byte) {
	offset, _ := f.log.Append(context.Background(), Stream, payload)
	f.reference.applyRecord(f.log.records[offset])
	expected := make(map[Key]Object, len(f.reference.objects))
	for key, object := range f.reference.objects {
		expected[key] = *object
	}
	f.expected = append(f.expected, expected)
}

// send appends a record. Its response may be lost, in which case copies follow immediately or later.
func (f *fleetModel) send(payload []byte) {
	delivery := rapid.IntRange(0, 5).Draw(f.t, "delivery")
	if delivery != 1 {
		f.append(payload)
	}
	if delivery == 2 {
		f.append(payload)
	}
	if delivery == 1 || delivery == 3 {
		f.delayed = append(f.delayed, payload)
	}
}

func (f *fleetModel) randomNode() int { return rapid.IntRange(0, len(f.nodes)-1).Draw(f.t, "node") }

func (f *fleetModel) publish() {
	key := rapid.SampledFrom(testKeys).Draw(f.t, "key")
	object := f.nodes[f.randomNode()].state.objects[key]
	base := uint64(0)
	if object != nil && rapid.IntRange(0, 4).Draw(f.t, "without base") > 0 {
		base = object.Revision
	}
	f.published++
	record := setRecord(key, base, fmt.Sprint("n", f.published), rapid.SampledFrom(testBodies).Draw(f.t, "body"))
	if rapid.IntRange(0, 4).Draw(f.t, "delete") == 0 {
		record.Operation, record.Body = wire.ConfigOperation_CONFIG_DELETE, nil
	}
	f.send(marshalRecord(record))
}

func (f *fleetModel) read() {
	node := f.nodes[f.randomNode()]
	page, _, _ := f.log.page(node.asOf(), rapid.IntRange(1, 6).Draw(f.t, "limit"))
	node.ApplyPage(page)
}

// reread delivers records that the node may have applied already.
func (f *fleetModel) reread() {
	node := f.nodes[f.randomNode()]
	back := rapid.Uint64Range(1, 9).Draw(f.t, "back")
	page, _, _ := f.log.page(node.asOf()-min(back, node.asOf()), 4)
	page.Earliest = 0
	node.ApplyPage(page)
}

// farFuture is a time at which all objects are due for restatement.
var farFuture = time.Now().Add(1000 * time.Hour)

func (f *fleetModel) restate() {
	node := f.nodes[f.randomNode()]
	sched := schedule{retention: time.Hour, node: "n"}
	if payload, _ := node.restatement(sched, farFuture); payload != nil {
		f.send(payload)
	}
}

func (f *fleetModel) census() {
	node := f.nodes[f.randomNode()]
	record, _ := node.state.censusRecord(schedule{retention: time.Hour}, farFuture, farFuture)
	if record != nil {
		f.send(marshalRecord(record))
	}
}

func (f *fleetModel) deliverDelayed() {
	if len(f.delayed) > 0 {
		f.append(f.delayed[0])
		f.delayed = f.delayed[1:]
	}
}

func (f *fleetModel) expire() {
	f.log.earliest = rapid.Uint64Range(f.log.earliest, uint64(len(f.log.records))).Draw(f.t, "earliest")
}

func (f *fleetModel) restart() {
	i := f.randomNode()
	f.nodes[i] = f.newNode()
	f.highestShown[i] = map[Key]uint64{}
}

// transfer imports the state of another node, or a state that was exported earlier.
func (f *fleetModel) transfer() {
	to, from := f.nodes[f.randomNode()], f.nodes[f.randomNode()]
	since := uint64(0)
	if rapid.Bool().Draw(f.t, "changes only") {
		since = to.completeAsOf()
	}
	parts := from.Export(since)
	f.oldExports = append(f.oldExports, parts)
	if rapid.Bool().Draw(f.t, "old") {
		parts = rapid.SampledFrom(f.oldExports).Draw(f.t, "saved")
	}
	_ = to.Import(parts)
}

// check compares every node with the reference state at its prefix.
func (f *fleetModel) check() error {
	for name, n := range f.acceptedChanges {
		if n != 1 {
			return fmt.Errorf("%d changes accepted for object and base %s, want 1", n, name)
		}
	}
	for nonce, n := range f.acceptedNonces {
		if n != 1 {
			return fmt.Errorf("change %s was accepted %d times, want once", nonce, n)
		}
	}
	for i, node := range f.nodes {
		if err := f.checkNode(node, f.highestShown[i]); err != nil {
			return fmt.Errorf("node %d: %w", i, err)
		}
	}
	return nil
}

func (f *fleetModel) checkNode(node *Store, highest map[Key]uint64) error {
	expected := f.expected[node.state.asOf]
	if node.state.complete && len(expected) != len(node.state.objects) {
		return fmt.Errorf("%d objects, want %d", len(node.state.objects), len(expected))
	}
	for key, object := range node.state.objects {
		want := expected[key]
		if object.Revision > want.Revision || (object.revisionKnown && object.Revision != want.Revision) {
			return fmt.Errorf("%v: revision %d, want %d", key, object.Revision, want.Revision)
		}
		if object.revisionKnown && (string(object.Body) != string(want.Body) || object.Deleted != want.Deleted) {
			return fmt.Errorf("%v: body or deletion differs at revision %d", key, object.Revision)
		}
		if object.Revision < highest[key] {
			return fmt.Errorf("%v: revision went from %d to %d", key, highest[key], object.Revision)
		}
		highest[key] = object.Revision
	}
	return nil
}

// converge delivers all delayed records and checks that every node reaches the reference state. This includes
// a node without peers that can read only the records from the RestatedFrom offset of a census on.
func (f *fleetModel) converge() error {
	for len(f.delayed) > 0 {
		f.deliverDelayed()
	}
	complete := f.newNode()
	all := func() services.Page {
		return services.Page{Records: f.log.records, Next: uint64(len(f.log.records))}
	}
	complete.ApplyPage(all())
	if record, _ := complete.state.restatement(schedule{retention: time.Hour}, farFuture); record != nil {
		f.append(marshalRecord(record))
	}
	complete.ApplyPage(all())
	census, _ := complete.state.censusRecord(schedule{retention: time.Hour}, farFuture, farFuture)
	if census == nil {
		return fmt.Errorf("a complete node with restated objects wrote no census")
	}
	f.append(marshalRecord(census))
	complete.ApplyPage(all())
	f.log.earliest = census.RestatedFrom
	withoutPeers := f.newNode()
	f.nodes = append(f.nodes, withoutPeers)
	f.highestShown = append(f.highestShown, map[Key]uint64{})
	for _, node := range f.nodes {
		page, _, _ := f.log.page(node.asOf(), 1<<20)
		node.ApplyPage(page)
	}
	if !withoutPeers.View().Complete {
		return fmt.Errorf("a node without peers is incomplete after a census")
	}
	for i, node := range f.nodes {
		_ = node.Import(complete.Export(0))
		if !node.View().Complete || node.Revision() != complete.Revision() {
			return fmt.Errorf("node %d ended incomplete or at revision %d, want complete at %d", i, node.Revision(), complete.Revision())
		}
		for key := range f.reference.objects {
			if node.View().bodies[key].revision != complete.View().bodies[key].revision {
				return fmt.Errorf("node %d has a different body of %v in force", i, key)
			}
		}
	}
	return f.check()
}

// runScenario draws an interleaving of actions and returns the first violation.
func runScenario(t *rapid.T, rule acceptRule) error {
	f := newFleet(t, rule)
	actions := []func(){
		f.publish, f.publish, f.publish, f.read, f.read, f.read, f.reread, f.restate, f.census,
		f.deliverDelayed, f.expire, f.restart, f.transfer, f.transfer,
	}
	for range rapid.IntRange(5, 80).Draw(t, "steps") {
		actions[rapid.IntRange(0, len(actions)-1).Draw(t, "action")]()
		if err := f.check(); err != nil {
			return err
		}
	}
	return f.converge()
}

// Guards against nodes that diverge or go back to an older revision after lost responses, late copies,
// expiry, restarts, transfers from peers that are behind, and outages.
func TestNodesConvergeOnLogOrder(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		if err := runScenario(t, compareAndSet); err != nil {
			t.Fatal(err)
		}
	})
}

// Checks that the property can fail: if the last write wins, a late copy is accepted again.
func TestConvergencePropertyDetectsLastWriteWins(t *testing.T) {
	failures := 0
	proptest.Check(t, func(t *rapid.T) {
		if runScenario(t, func(uint64, uint64) bool { return true }) != nil {
			failures++
		}
	})
	if failures == 0 {
		t.Fatal("the property did not detect that the last write wins")
	}
}
