package config

import (
	"errors"
	"fmt"

	"jacinthfork.example/jacinthfork/wire"
)

// objectsPerPart keeps a part of a transfer far below the gRPC message limit of 4 MiB, for bodies of up to
// maxBody.
const objectsPerPart = 48

// Errors of Import. ServeOffer returns their texts to the peer.
var (
	// ErrBehind means that the state contains nothing that this node can use.
	ErrBehind = errors.New("configuration state is behind")
	// ErrPartial means that the parts do not form a complete state.
	ErrPartial = errors.New("configuration state is not whole")
	// ErrRegression means that the state would lower a revision, so that it cannot come from this log.
	ErrRegression = errors.New("configuration state would lower a revision")
)

// export returns the state in parts. It contains the objects with revision since or higher, for a receiver
// that knows the prefix below since completely. An incomplete state is not exported; the result is one empty
// part with as-of offset 0.
func (s *state) export(since uint64) []*wire.ConfigPart {
	if !s.complete || s.asOf <= since {
		return []*wire.ConfigPart{{Last: true}}
	}
	var parts []*wire.ConfigPart
	part := &wire.ConfigPart{AsOf: s.asOf, Since: since}
	for _, key := range sortedKeys(s.objects) {
		if s.objects[key].Revision < since {
			continue
		}
		if len(part.Objects) == objectsPerPart {
			parts = append(parts, part)
			part = &wire.ConfigPart{AsOf: s.asOf, Since: since}
		}
		part.Objects = append(part.Objects, s.objects[key].toWire())
	}
	part.Last = true
	return append(parts, part)
}

// importParts applies the complete state of a peer. The state with the longer prefix replaces the other one;
// a shorter prefix that reaches floor provides the revisions that are unknown here.
func (s *state) importParts(parts []*wire.ConfigPart) error {
	asOf, objects, err := joinParts(parts)
	if err != nil {
		return err
	}
	if asOf < s.floor || (s.complete && asOf <= s.asOf) {
		return ErrBehind
	}
	if since := parts[0].GetSince(); since > 0 {
		if !s.complete || s.asOf < since {
			return fmt.Errorf("%w: it has only changes from %d on", ErrPartial, since)
		}
		s.addUnchanged(objects)
	}
	if err := s.checkImport(asOf, objects); err != nil {
		return err
	}
	if asOf >= s.asOf {
		s.replace(asOf, objects)
		return nil
	}
	s.fillUnknown(asOf, objects)
	return nil
}

// joinParts validates the parts and combines their objects.
func joinParts(parts []*wire.ConfigPart) (uint64, map[Key]*wire.ConfigObject, error) {
	if len(parts) == 0 || !parts[len(parts)-1].GetLast() {
		return 0, nil, ErrPartial
	}
	asOf := parts[0].GetAsOf()
	objects := make(map[Key]*wire.ConfigObject)
	for _, part := range parts {
		if part.GetAsOf() != asOf || part.GetSince() != parts[0].GetSince() {
			return 0, nil, ErrPartial
		}
		for _, m := range part.GetObjects() {
			if m.GetRevision() >= asOf {
				return 0, nil, fmt.Errorf("%w: revision %d in a state as of %d", ErrPartial, m.GetRevision(), asOf)
			}
			objects[keyOf(m)] = m
		}
	}
	return asOf, objects, nil
}

// addUnchanged completes a state that holds only changes: it adds the objects of this node that have not
// changed.
func (s *state) addUnchanged(objects map[Key]*wire.ConfigObject) {
	for key, object := range s.objects {
		if _, ok := objects[key]; !ok {
			objects[key] = object.toWire()
		}
	}
}

// checkImport rejects a state in which an object is missing or has a lower revision than here. Records of one
// log cannot produce such a state.
func (s *state) checkImport(asOf uint64, objects map[Key]*wire.ConfigObject) error {
	for key, object := range s.objects {
		if object.revisionKnown && asOf < s.asOf {
			continue
		}
		if m := objects[key]; m == nil || m.GetRevision() < object.Revision {
			return fmt.Errorf("%w: %v", ErrRegression, key)
		}
	}
	return nil
}

// replace replaces the state by a complete one as of asOf.
func (s *state) replace(asOf uint64, objects map[Key]*wire.ConfigObject) {
	previous := s.objects
	s.objects = make(map[Key]*Object, len(objects))
	for key, m := range objects {
		s.put(objectFromWire(m, previous[key]))
	}
	s.asOf, s.floor = asOf, asOf
	s.markComplete(asOf)
}

// fillUnknown adds the objects whose revision is unknown here and decides their deferred changes.
func (s *state) fillUnknown(asOf uint64, objects map[Key]*wire.ConfigObject) {
	for key, m := range objects {
		if _, known := s.revision(key); known {
			continue
		}
		s.put(objectFromWire(m, s.objects[key]))
		s.decidePending(key, asOf)
	}
	s.markComplete(asOf)
}
