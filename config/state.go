package config

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"jacinthfork.example/jacinthfork/services"
	"jacinthfork.example/jacinthfork/wire"
)

// Outcome is what the log says about one copy of a change.
type Outcome uint8

// Outcomes. Undecided means that the object's revision at that point of the log is not known here.
const (
	Undecided Outcome = iota
	Accepted
	Rejected
)

// Decision is the outcome of one record.
type Decision struct {
	Key
	Offset  uint64
	Nonce   string
	Author  string
	Outcome Outcome
	// Revision is the object's revision after the record.
	Revision uint64
	// Fault is set when the record is accepted and its body is not valid here.
	Fault string
}

// change is a set or delete record.
type change struct {
	offset uint64
	at     time.Time
	record *wire.ConfigRecord
}

// state is what follows from the records of the stream below asOf. It is not safe for concurrent
// use.
type state struct {
	asOf uint64
	// floor is the start of the records that were all seen. Records below it count only through
	// complete, a restatement or an import.
	floor uint64
	// complete is set when the state follows from the whole prefix, so that an object which is not
	// there does not exist.
	complete bool
	objects  map[Key]*Object
	// pending holds the changes of objects whose revision is not known, in order of offset. The
	// log's retention bounds it.
	pending map[Key][]change
	// changed is the offset of the newest accepted change.
	changed uint64
	// touched is set when an object was changed since the owner of the state cleared it.
	touched bool
	// census is the highest as-of offset of a census.
	census   uint64
	censusAt time.Time
	// censusSeen is when this node learned the newest census, or its first record before there is one.
	censusSeen time.Time
	// report gets each decision and each fault.
	decided func(Decision)
	fault   func(offset uint64, text string)
	rule    acceptance
}

// acceptance says whether a change with the given base is accepted over the object's revision.
type acceptance func(base, revision uint64) bool

// compareAndSet is the rule of the fleet.
func compareAndSet(base, revision uint64) bool { return base == revision }

func newState() *state {
	return &state{
		complete: true,
		objects:  make(map[Key]*Object),
		pending:  make(map[Key][]change),
		decided:  func(Decision) {},
		fault:    func(uint64, string) {},
		rule:     compareAndSet,
	}
}

// applyPage applies the result of one read.
func (s *state) applyPage(page services.Page) {
	if page.Earliest > s.asOf {
		s.lose(page.Earliest)
	}
	for _, record := range page.Records {
		s.apply(record)
	}
}

// lose notes that records between asOf and floor can't be read any more. What is in force stays in
// force, but nothing is decided until a restatement or a peer tells the revisions.
func (s *state) lose(floor uint64) {
	s.asOf, s.floor = floor, floor
	s.complete = false
	for _, object := range s.objects {
		object.decidable = false
	}
	clear(s.pending)
}

// apply applies one record. A record that was applied before has no effect.
func (s *state) apply(record services.Record) {
	if record.Offset < s.asOf {
		return
	}
	if record.Offset > s.asOf {
		s.lose(record.Offset)
	}
	s.asOf = record.Offset + 1
	if s.censusSeen.IsZero() {
		s.censusSeen = time.Now()
	}
	var message wire.ConfigRecord
	if err := proto.Unmarshal(record.Payload, &message); err != nil {
		s.fault(record.Offset, "record is not a configuration record: "+err.Error())
		return
	}
	switch message.GetOperation() {
	case wire.ConfigOperation_CONFIG_SET, wire.ConfigOperation_CONFIG_DELETE:
		s.change(change{record.Offset, record.Time, &message})
	case wire.ConfigOperation_CONFIG_RESTATE:
		s.restate(record, &message)
	case wire.ConfigOperation_CONFIG_CENSUS:
		s.takeCensus(record, &message)
	}
}

// revision returns the revision of an object, 0 for none, and whether it is known.
func (s *state) revision(key Key) (uint64, bool) {
	object, ok := s.objects[key]
	if !ok {
		return 0, s.complete
	}
	return object.Revision, object.decidable
}

func (s *state) change(c change) {
	key := keyOf(c.record)
	if _, known := s.revision(key); !known {
		s.pending[key] = append(s.pending[key], c)
		s.tell(c, Undecided, "")
		return
	}
	s.decide(c)
}

// decide decides a change of an object whose revision is known. A record at offset 0 is rejected,
// because revision 0 means none.
func (s *state) decide(c change) {
	key := keyOf(c.record)
	revision, _ := s.revision(key)
	if c.offset == 0 || !s.rule(c.record.GetBase(), revision) {
		s.tell(c, Rejected, "")
		return
	}
	object, ok := s.objects[key]
	if !ok {
		object = &Object{Key: key}
		s.objects[key] = object
	}
	object.decidable = true
	object.Revision, object.Stated, object.StatedAt = c.offset, c.offset, c.at
	object.nonce, object.seen = c.record.GetNonce(), time.Now()
	object.Author, object.Body = c.record.GetAuthor(), c.record.GetBody()
	object.Deleted = c.record.GetOperation() == wire.ConfigOperation_CONFIG_DELETE
	object.enforce()
	s.changed, s.touched = max(s.changed, c.offset), true
	s.tell(c, Accepted, object.Fault)
}

func (s *state) tell(c change, outcome Outcome, fault string) {
	key := keyOf(c.record)
	revision, _ := s.revision(key)
	s.decided(Decision{
		Key: key, Offset: c.offset, Nonce: c.record.GetNonce(), Author: c.record.GetAuthor(),
		Outcome: outcome, Revision: revision, Fault: fault,
	})
}

// settle decides the pending changes of an object whose revision at offset at is known now. Changes
// below at are part of that revision or were rejected before it.
func (s *state) settle(key Key, at uint64) {
	pending := s.pending[key]
	delete(s.pending, key)
	for _, c := range pending {
		if c.offset >= at {
			s.decide(c)
			continue
		}
		s.tell(c, s.past(key, c.offset), "")
	}
}

// past returns what became of a change below the offset for which the revision is known. It stays
// undecided when another change may have replaced it.
func (s *state) past(key Key, offset uint64) Outcome {
	revision, _ := s.revision(key)
	switch {
	case revision == offset:
		return Accepted
	case revision < offset:
		return Rejected
	}
	return Undecided
}

// restate takes the objects of a restatement. One that describes a prefix below floor is of no use,
// because changes between that prefix and floor may be missing.
func (s *state) restate(record services.Record, message *wire.ConfigRecord) {
	asOf := message.GetAsOf()
	if asOf > record.Offset {
		s.fault(record.Offset, "restatement is ahead of its own offset")
		return
	}
	for _, m := range message.GetObjects() {
		m.Stated, m.StatedMs, m.Restated = record.Offset, record.Time.UnixMilli(), asOf
		s.restateObject(m, asOf)
	}
}

func (s *state) restateObject(m *wire.ConfigObject, asOf uint64) {
	key := keyOf(m)
	object := s.objects[key]
	if revision, known := s.revision(key); known {
		s.confirm(object, m, revision)
		return
	}
	if asOf < s.floor {
		return
	}
	if object != nil && m.GetRevision() < object.Revision {
		s.fault(m.GetStated(), fmt.Sprintf("restatement of %v is older than revision %d", key, object.Revision))
		return
	}
	s.adopt(objectFrom(m, object))
	s.settle(key, asOf)
}

// confirm notes a restatement of an object whose revision is known. One that was overtaken by a
// change still tells readers the revision at its as-of offset.
func (s *state) confirm(object *Object, m *wire.ConfigObject, revision uint64) {
	if m.GetRevision() > revision {
		s.fault(m.GetStated(), fmt.Sprintf("restatement of %v has revision %d, the log gives %d", keyOf(m), m.GetRevision(), revision))
		return
	}
	object.Restated = max(object.Restated, m.GetRestated())
	if m.GetRevision() == revision {
		s.touched = s.touched || object.Fault != ""
		object.takeInForce(m)
		object.seen = time.Now()
		object.Stated, object.StatedAt = m.GetStated(), time.UnixMilli(m.GetStatedMs())
	}
}

func (s *state) adopt(object *Object) {
	s.objects[object.Key] = object
	s.changed, s.touched = max(s.changed, object.Revision), true
}

// takeCensus makes the state complete if all restatements that the census counts were seen: an
// object that they do not name did not exist at the census's as-of offset.
func (s *state) takeCensus(record services.Record, message *wire.ConfigRecord) {
	asOf, from := message.GetAsOf(), message.GetRestatedFrom()
	if asOf > record.Offset || from > asOf {
		s.fault(record.Offset, "census is ahead of its own offset")
		return
	}
	if asOf > s.census {
		s.census, s.censusAt, s.censusSeen = asOf, record.Time, time.Now()
	}
	if s.complete || from < s.floor {
		return
	}
	for key, object := range s.objects {
		if !object.decidable {
			s.fault(record.Offset, fmt.Sprintf("census counts %v, which was not restated", key))
			return
		}
	}
	s.finish(asOf)
}

// finish makes the state complete: an object that is not there did not exist at offset at.
func (s *state) finish(at uint64) {
	s.complete = true
	for _, key := range sortedKeys(s.pending) {
		s.settle(key, at)
	}
}
