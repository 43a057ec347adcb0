// Package config holds the configuration of the fleet: the records of the log stream "config", the state that
// each node derives from a prefix of that stream, the transfer of that state between nodes, and the types of
// the objects.
//
// A record is accepted if its base equals the revision of its object at that point of the log. This does not
// depend on the bodies, so that nodes with different software agree. Bodies are validated afterwards; an
// invalid body is reported and the previous one stays in force.
//
// Records expire, so that a node may find only the newer part of the stream. For that reason nodes restate
// objects: they append the current versions again, with the as-of offset at which these were current. A
// census is a record which says that every object that existed at its as-of offset was restated since a given
// offset. A node that has read the stream from that offset on is complete.
package config

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"jacinthfork.example/jacinthfork/wire"
)

// Stream is the name of the log stream that holds the configuration.
const Stream = "config"

// Key identifies an object. Different schema versions of one name are separate objects and can be in force at
// the same time.
type Key struct {
	Kind   Kind   `json:"kind"`
	Name   string `json:"name"`
	Schema uint32 `json:"schema"`
}

// Object is the newest accepted version of an object.
type Object struct {
	Key
	// Revision is the offset of the record that set or deleted the object.
	Revision uint64 `json:"revision"`
	Body     []byte `json:"-"`
	Author   string `json:"author"`
	Deleted  bool   `json:"deleted,omitempty"`
	// Stated is the offset of the newest record that contains this version; StatedAt is its append time by
	// the clock of the log.
	Stated   uint64    `json:"stated"`
	StatedAt time.Time `json:"stated_at"`
	// Restated is the highest as-of offset of the restatements of the object, 0 for none.
	Restated uint64 `json:"restated"`
	// InForce is the revision whose body is in force. It differs from Revision if the newest body is invalid,
	// and is 0 if no body is in force.
	InForce uint64 `json:"in_force"`
	// Fault is the reason why the newest body is not in force, or empty.
	Fault string `json:"fault,omitempty"`

	// learnedAt is when this node learned of the record at Stated, by its own clock.
	learnedAt   time.Time
	nonce       string
	inForceBody []byte
	parsed      any
	// revisionKnown is false while records that may have changed the object are missing.
	revisionKnown bool
}

// activate puts the newest body in force if it is valid.
func (o *Object) activate() {
	o.Fault = ""
	if o.Deleted {
		o.InForce, o.inForceBody, o.parsed = 0, nil, nil
		return
	}
	value, err := parse(o.Key, o.Body)
	if err != nil {
		o.Fault = err.Error()
		return
	}
	o.InForce, o.inForceBody, o.parsed = o.Revision, o.Body, value
}

// importInForce adopts the body that another node has in force while the newest body is invalid. It requires
// that the other node knows the schema. This node may have missed the versions that determine the body in
// force.
func (o *Object) importInForce(m *wire.ConfigObject) {
	if !m.GetJudged() || o.Fault == "" {
		return
	}
	o.InForce, o.inForceBody, o.parsed = 0, nil, nil
	value, err := parse(o.Key, m.GetInForceBody())
	if err == nil && m.GetInForceRevision() != 0 {
		o.InForce, o.inForceBody, o.parsed = m.GetInForceRevision(), m.GetInForceBody(), value
	}
}

// toWire encodes the object.
func (o *Object) toWire() *wire.ConfigObject {
	m := &wire.ConfigObject{
		Kind: string(o.Kind), Name: o.Name, Schema: o.Schema,
		Revision: o.Revision, Body: o.Body, Author: o.Author, Deleted: o.Deleted,
		StatedMs: o.StatedAt.UnixMilli(), Stated: o.Stated, Restated: o.Restated,
		Nonce: o.nonce, Judged: schemaKnown(o.Key),
	}
	if o.InForce != 0 && o.InForce != o.Revision {
		m.InForceRevision, m.InForceBody = o.InForce, o.inForceBody
	}
	return m
}

// objectFromWire decodes an object. previous is the version held so far or nil. Its body stays in force if
// the newest one is invalid and the sender does not know what is in force.
func objectFromWire(m *wire.ConfigObject, previous *Object) *Object {
	o := &Object{
		Key:      Key{Kind(m.GetKind()), m.GetName(), m.GetSchema()},
		Revision: m.GetRevision(), Body: m.GetBody(), Author: m.GetAuthor(), Deleted: m.GetDeleted(),
		Stated: m.GetStated(), StatedAt: time.UnixMilli(m.GetStatedMs()), Restated: m.GetRestated(),
		nonce: m.GetNonce(), revisionKnown: true, learnedAt: time.Now(),
	}
	if previous != nil {
		o.InForce, o.inForceBody, o.parsed = previous.InForce, previous.inForceBody, previous.parsed
	}
	o.activate()
	o.importInForce(m)
	return o
}

// keyOf returns the key in a message.
func keyOf(m interface {
	GetKind() string
	GetName() string
	GetSchema() uint32
}) Key {
	return Key{Kind(m.GetKind()), m.GetName(), m.GetSchema()}
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Schema, b.Schema))
}

func sortedKeys[V any](m map[Key]V) []Key {
	keys := make([]Key, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}

// marshalRecord encodes a record for the stream.
func marshalRecord(r *wire.ConfigRecord) []byte {
	payload, err := proto.Marshal(r)
	if err != nil {
		panic(err) // only invalid UTF-8 fails, and Change.check rejects it
	}
	return payload
}
