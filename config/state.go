package config

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"jacinthfork.example/jacinthfork/services"
	"jacinthfork.example/jacinthfork/wire"
)

// Outcome is the outcome of one copy of a change in the log.
type Outcome uint8

// Outcomes. Undecided means that this node does not know the revision of the object at that point of the log.
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
	// Revision is the revision of the object after the record.
	Revision uint64
	// Fault is set if the record is accepted but its body is invalid at this node.
	Fault string
}

// change is a set or delete record.
type change struct {
	offset uint64
	at     time.Time
	record *wire.ConfigRecord
}

// state is derived from the records of the stream below asOf. It is not safe for concurrent use.
type state struct {
	asOf uint64
	// floor is the offset from which all records were applied. Records below it are covered only by complete,
	// a restatement or an import.
	floor uint64
	// complete is set if the state covers the whole prefix, so that an object which is not in it does not
	// exist.
	complete bool
	objects  map[Key]*Object
	// pending holds the changes of objects whose revision is unknown, in order of offset. The retention of
	// the log bounds its size.
	pending map[Key][]change
	// lastChange is the offset of the newest accepted change.
	lastChange uint64
	// dirty is set if an object has changed since the owner of the state cleared it.
	dirty bool
	// censusAsOf is the highest as-of offset of a census.
	censusAsOf uint64
	censusAt   time.Time
	// censusSeenAt is when this node learned of the newest census, or of its first record if there is none.
	censusSeenAt time.Time
	// onDecision and onFault are called for each decision and each invalid record.
	onDecision func(Decision)
	onFault    func(offset uint64, text string)
	accepts    acceptRule
}

// acceptRule reports whether a change with the given base is accepted if the object has the given revision.
type acceptRule func(base, revision uint64) bool

// compareAndSet is the rule that all nodes use.
func compareAndSet(base, revision uint64) bool { return base == revision }

// newState returns the state of an empty log.
func newState() *state {
	return &state{
		complete:   true,
		objects:    make(map[Key]*Object),
		pending:    make(map[Key][]change),
		onDecision: func(Decision) {},
		onFault:    func(uint64, string) {},
		accepts:    compareAndSet,
	}
}

// applyPage applies the result of one read.
func (s *state) applyPage(page services.Page) {
	if page.Earliest > s.asOf {
		s.skipTo(page.Earliest)
	}
	for _, record := range page.Records {
		s.applyRecord(record)
	}
}

// skipTo moves asOf to floor because the records between them can no longer be read. What is in force stays
// in force, but no change is decided until a restatement or a peer provides the revisions.
func (s *state) skipTo(floor uint64) {
	s.asOf, s.floor = floor, floor
	s.complete = false
	for _, object := range s.objects {
		object.revisionKnown = false
	}
	clear(s.pending)
}

// applyRecord applies one record. A record that was applied before has no effect.
func (s *state) applyRecord(record services.Record) {
	if record.Offset < s.asOf {
		return
	}
	if record.Offset > s.asOf {
		s.skipTo(record.Offset)
	}
	s.asOf = record.Offset + 1
	if s.censusSeenAt.IsZero() {
		s.censusSeenAt = time.Now()
	}
	var message wire.ConfigRecord
	if err := proto.Unmarshal(record.Payload, &message); err != nil {
		s.onFault(record.Offset, "record cannot be decoded: "+err.Error())
		return
	}
	switch message.GetOperation() {
	case wire.ConfigOperation_CONFIG_SET, wire.ConfigOperation_CONFIG_DELETE:
		s.applyChange(change{record.Offset, record.Time, &message})
	case wire.ConfigOperation_CONFIG_RESTATE:
		s.applyRestatement(record, &message)
	case wire.ConfigOperation_CONFIG_CENSUS:
		s.applyCensus(record, &message)
	}
}

// revision returns the revision of an object, 0 for none, and whether it is known.
func (s *state) revision(key Key) (uint64, bool) {
	object, ok := s.objects[key]
	if !ok {
		return 0, s.complete
	}
	return object.Revision, object.revisionKnown
}

// applyChange decides a change, or defers it if the revision of the object is unknown.
func (s *state) applyChange(c change) {
	key := keyOf(c.record)
	if _, known := s.revision(key); !known {
		s.pending[key] = append(s.pending[key], c)
		s.reportDecision(c, Undecided, "")
		return
	}
	s.decide(c)
}

// decide decides a change of an object whose revision is known. A record at offset 0 is rejected, because
// revision 0 means that there is none.
func (s *state) decide(c change) {
	key := keyOf(c.record)
	revision, _ := s.revision(key)
	if c.offset == 0 || !s.accepts(c.record.GetBase(), revision) {
		s.reportDecision(c, Rejected, "")
		return
	}
	object, ok := s.objects[key]
	if !ok {
		object = &Object{Key: key}
		s.objects[key] = object
	}
	object.revisionKnown = true
	object.Revision, object.Stated, object.StatedAt = c.offset, c.offset, c.at
	object.nonce, object.learnedAt = c.record.GetNonce(), time.Now()
	object.Author, object.Body = c.record.GetAuthor(), c.record.GetBody()
	object.Deleted = c.record.GetOperation() == wire.ConfigOperation_CONFIG_DELETE
	object.activate()
	s.lastChange, s.dirty = max(s.lastChange, c.offset), true
	s.reportDecision(c, Accepted, object.Fault)
}

// reportDecision calls onDecision with the outcome of a change.
func (s *state) reportDecision(c change, outcome Outcome, fault string) {
	key := keyOf(c.record)
	revision, _ := s.revision(key)
	s.onDecision(Decision{
		Key: key, Offset: c.offset, Nonce: c.record.GetNonce(), Author: c.record.GetAuthor(),
		Outcome: outcome, Revision: revision, Fault: fault,
	})
}

// decidePending decides the deferred changes of an object whose revision at offset at is now known. Changes
// below at are included in that revision or were rejected before it.
func (s *state) decidePending(key Key, at uint64) {
	pending := s.pending[key]
	delete(s.pending, key)
	for _, c := range pending {
		if c.offset >= at {
			s.decide(c)
			continue
		}
		s.reportDecision(c, s.pastOutcome(key, c.offset), "")
	}
}

// pastOutcome returns the outcome of a change below the offset at which the revision is known. It is
// undecided if a later change may have replaced it.
func (s *state) pastOutcome(key Key, offset uint64) Outcome {
	revision, _ := s.revision(key)
	switch {
	case revision == offset:
		return Accepted
	case revision < offset:
		return Rejected
	}
	return Undecided
}

// applyRestatement applies the objects of a restatement. It ignores those as of an offset below floor if
// their revision is unknown, because changes between that offset and floor may be missing.
func (s *state) applyRestatement(record services.Record, message *wire.ConfigRecord) {
	asOf := message.GetAsOf()
	if asOf > record.Offset {
		s.onFault(record.Offset, "as-of offset of the restatement is above the offset of its record")
		return
	}
	for _, m := range message.GetObjects() {
		m.Stated, m.StatedMs, m.Restated = record.Offset, record.Time.UnixMilli(), asOf
		s.applyRestatedObject(m, asOf)
	}
}

// applyRestatedObject applies one object of a restatement.
func (s *state) applyRestatedObject(m *wire.ConfigObject, asOf uint64) {
	key := keyOf(m)
	object := s.objects[key]
	if revision, known := s.revision(key); known {
		s.confirmRestatement(object, m, revision)
		return
	}
	if asOf < s.floor {
		return
	}
	if object != nil && m.GetRevision() < object.Revision {
		s.onFault(m.GetStated(), fmt.Sprintf("restatement of %v is older than known revision %d", key, object.Revision))
		return
	}
	s.put(objectFromWire(m, object))
	s.decidePending(key, asOf)
}

// confirmRestatement records a restatement of an object whose revision is known. A restatement of an older
// version still tells readers the revision at its as-of offset.
func (s *state) confirmRestatement(object *Object, m *wire.ConfigObject, revision uint64) {
	if m.GetRevision() > revision {
		s.onFault(m.GetStated(), fmt.Sprintf("restatement of %v has revision %d, but the log has %d", keyOf(m), m.GetRevision(), revision))
		return
	}
	object.Restated = max(object.Restated, m.GetRestated())
	if m.GetRevision() == revision {
		s.dirty = s.dirty || object.Fault != ""
		object.importInForce(m)
		object.learnedAt = time.Now()
		object.Stated, object.StatedAt = m.GetStated(), time.UnixMilli(m.GetStatedMs())
	}
}

// put stores an object and updates lastChange.
func (s *state) put(object *Object) {
	s.objects[object.Key] = object
	s.lastChange, s.dirty = max(s.lastChange, object.Revision), true
}

// applyCensus makes the state complete if it contains all restatements that the census covers: an object not
// among them did not exist at the as-of offset of the census.
func (s *state) applyCensus(record services.Record, message *wire.ConfigRecord) {
	asOf, from := message.GetAsOf(), message.GetRestatedFrom()
	if asOf > record.Offset || from > asOf {
		s.onFault(record.Offset, "offsets in the census are above the offset of its record or out of order")
		return
	}
	if asOf > s.censusAsOf {
		s.censusAsOf, s.censusAt, s.censusSeenAt = asOf, record.Time, time.Now()
	}
	if s.complete || from < s.floor {
		return
	}
	for key, object := range s.objects {
		if !object.revisionKnown {
			s.onFault(record.Offset, fmt.Sprintf("census covers %v, which was not restated", key))
			return
		}
	}
	s.markComplete(asOf)
}

// markComplete makes the state complete: an object not in it did not exist at offset at.
func (s *state) markComplete(at uint64) {
	s.complete = true
	for _, key := range sortedKeys(s.pending) {
		s.decidePending(key, at)
	}
}
