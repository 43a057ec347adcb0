package config

import (
	"errors"
	"fmt"

	"jacinthfork.example/jacinthfork/wire"
)

// objectsPerPart keeps a part of a transfer far below gRPC's limit of 4 MiB for a message, for
// bodies of up to maxBody.
const objectsPerPart = 48

// Errors of Import.
var (
	// ErrBehind means that the state describes a prefix that is of no use here.
	ErrBehind = errors.New("configuration state is behind")
	// ErrPartial means that the parts do not form one whole state.
	ErrPartial = errors.New("configuration state is not whole")
	// ErrRegression means that the state would lower a revision. It does not come from this log.
	ErrRegression = errors.New("configuration state would lower a revision")
)

// export returns the state in parts: the objects with revision since or a higher one, for a receiver
// that has the whole prefix below since. An incomplete state has nothing to give and returns one
// empty part with as-of offset 0.
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
		part.Objects = append(part.Objects, s.objects[key].message())
	}
	part.Last = true
	return append(parts, part)
}

// importParts takes the complete state of a peer. Of two states the one with the longer prefix
// wins; a shorter one that reaches floor tells the revisions that are not known here.
func (s *state) importParts(parts []*wire.ConfigPart) error {
	asOf, objects, err := join(parts)
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
		s.complement(objects)
	}
	if err := s.checkImport(asOf, objects); err != nil {
		return err
	}
	if asOf >= s.asOf {
		s.replace(asOf, objects)
		return nil
	}
	s.fill(asOf, objects)
	return nil
}

func join(parts []*wire.ConfigPart) (uint64, map[Key]*wire.ConfigObject, error) {
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

// complement adds the objects that did not change to a state that has only changes.
func (s *state) complement(objects map[Key]*wire.ConfigObject) {
	for key, object := range s.objects {
		if _, ok := objects[key]; !ok {
			objects[key] = object.message()
		}
	}
}

// checkImport refuses a state in which an object is missing or older than here. Records of one log
// can't give such a state.
func (s *state) checkImport(asOf uint64, objects map[Key]*wire.ConfigObject) error {
	for key, object := range s.objects {
		if object.decidable && asOf < s.asOf {
			continue
		}
		if m := objects[key]; m == nil || m.GetRevision() < object.Revision {
			return fmt.Errorf("%w: %v", ErrRegression, key)
		}
	}
	return nil
}

func (s *state) replace(asOf uint64, objects map[Key]*wire.ConfigObject) {
	previous := s.objects
	s.objects = make(map[Key]*Object, len(objects))
	for key, m := range objects {
		s.adopt(objectFrom(m, previous[key]))
	}
	s.asOf, s.floor = asOf, asOf
	s.finish(asOf)
}

func (s *state) fill(asOf uint64, objects map[Key]*wire.ConfigObject) {
	for key, m := range objects {
		if _, known := s.revision(key); known {
			continue
		}
		s.adopt(objectFrom(m, s.objects[key]))
		s.settle(key, asOf)
	}
	s.finish(asOf)
}
