// Package config holds the fleet's configuration: the records of the log stream "config", the
// state that each node derives from a prefix of that stream, its transfer between nodes, and the
// typed kinds.
//
// A record is accepted if its base equals the revision of its object at that point of the log.
// This is decided from the envelope alone, so that nodes with different software agree. Bodies are
// checked afterwards; an invalid one is reported and the previous body stays in force.
package config

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"jacinthfork.example/jacinthfork/wire"
)

// Stream is the log stream that holds the configuration.
const Stream = "config"

// Key names an object. Several schema versions of one name are separate objects and can be in force
// at the same time.
type Key struct {
	Kind   Kind   `json:"kind"`
	Name   string `json:"name"`
	Schema uint32 `json:"schema"`
}

// Object is the newest accepted version of one object.
type Object struct {
	Key
	// Revision is the offset of the record that set or deleted the object.
	Revision uint64 `json:"revision"`
	Body     []byte `json:"-"`
	Author   string `json:"author"`
	Deleted  bool   `json:"deleted,omitempty"`
	// Stated is the offset of the newest record that holds this version; StatedAt is its append
	// time by the log's clock.
	Stated   uint64    `json:"stated"`
	StatedAt time.Time `json:"stated_at"`
	// Restated is the highest as-of offset of the object's restatements, 0 for none.
	Restated uint64 `json:"restated"`
	// InForce is the revision whose body is in force. It differs from Revision when the newest body
	// is invalid, and is 0 when no body is in force.
	InForce uint64 `json:"in_force"`
	// Fault says why the newest body is not in force, empty when it is.
	Fault string `json:"fault,omitempty"`

	// seen is when this node learned the newest statement, by its own clock.
	seen        time.Time
	nonce       string
	inForceBody []byte
	value       any
	// decidable is false while records that may have changed the object are missing.
	decidable bool
}

// enforce decides which body is in force after body became the newest one at revision.
func (o *Object) enforce() {
	o.Fault = ""
	if o.Deleted {
		o.InForce, o.inForceBody, o.value = 0, nil, nil
		return
	}
	value, err := parse(o.Key, o.Body)
	if err != nil {
		o.Fault = err.Error()
		return
	}
	o.InForce, o.inForceBody, o.value = o.Revision, o.Body, value
}

// takeInForce puts in force what a node that knows the schema has in force, while the newest body is
// invalid. This node may have missed the versions that decide it.
func (o *Object) takeInForce(m *wire.ConfigObject) {
	if !m.GetJudged() || o.Fault == "" {
		return
	}
	o.InForce, o.inForceBody, o.value = 0, nil, nil
	value, err := parse(o.Key, m.GetInForceBody())
	if err == nil && m.GetInForceRevision() != 0 {
		o.InForce, o.inForceBody, o.value = m.GetInForceRevision(), m.GetInForceBody(), value
	}
}

func (o *Object) message() *wire.ConfigObject {
	m := &wire.ConfigObject{
		Kind: string(o.Kind), Name: o.Name, Schema: o.Schema,
		Revision: o.Revision, Body: o.Body, Author: o.Author, Deleted: o.Deleted,
		StatedMs: o.StatedAt.UnixMilli(), Stated: o.Stated, Restated: o.Restated,
		Nonce: o.nonce, Judged: known(o.Key),
	}
	if o.InForce != 0 && o.InForce != o.Revision {
		m.InForceRevision, m.InForceBody = o.InForce, o.inForceBody
	}
	return m
}

// objectFrom returns the object in m. previous is the version held so far or nil; its body stays in
// force when the newest one is invalid and the sender can't say what is in force.
func objectFrom(m *wire.ConfigObject, previous *Object) *Object {
	o := &Object{
		Key:      Key{Kind(m.GetKind()), m.GetName(), m.GetSchema()},
		Revision: m.GetRevision(), Body: m.GetBody(), Author: m.GetAuthor(), Deleted: m.GetDeleted(),
		Stated: m.GetStated(), StatedAt: time.UnixMilli(m.GetStatedMs()), Restated: m.GetRestated(),
		nonce: m.GetNonce(), decidable: true, seen: time.Now(),
	}
	if previous != nil {
		o.InForce, o.inForceBody, o.value = previous.InForce, previous.inForceBody, previous.value
	}
	o.enforce()
	o.takeInForce(m)
	return o
}

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

func encode(r *wire.ConfigRecord) []byte {
	payload, err := proto.Marshal(r)
	if err != nil {
		panic(err) // Only invalid UTF-8 fails, which Change.check refuses.
	}
	return payload
}
