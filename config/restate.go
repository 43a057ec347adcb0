package config

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthfork.example/jacinthfork/wire"
)

const (
	// promptDelay is the time from a change to its first restatement. A node that starts without a
	// peer after older records expired can decide the object from then on.
	promptDelay = time.Minute
	// promptSpread spreads the first restatement over the nodes.
	promptSpread = 30 * time.Minute
	// restateBytes bounds the bodies of one restatement, to stay below the log's record size.
	restateBytes = 48 << 10
	// restateObjects bounds the objects of one restatement.
	restateObjects = 32
	// censusPerRetention is how often a census is written per retention time.
	censusPerRetention = 8
)

// schedule says when records are restated. Delays are fractions of the log's retention, so that an
// object whose restatement is as late as it can be still has more than a tenth of the time left.
type schedule struct {
	retention time.Duration
	// node makes the jitter differ between nodes.
	node string
}

// jitter returns a delay below spread that differs by node, object and statement. It is computed
// instead of drawn, so that no timer has to be kept for each object.
func (p schedule) jitter(key Key, stated uint64, spread time.Duration) time.Duration {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(p.node)
	_, _ = d.WriteString(string(key.Kind))
	_, _ = d.WriteString(key.Name)
	var numbers [12]byte
	binary.LittleEndian.PutUint32(numbers[:], key.Schema)
	binary.LittleEndian.PutUint64(numbers[4:], stated)
	_, _ = d.Write(numbers[:])
	return time.Duration(float64(d.Sum64()) / math.MaxUint64 * float64(spread))
}

// due is when this node restates the object, unless another node does it before. A statement that the
// node just learned is never due at once: otherwise a log clock that is far behind, or records of an
// outage that arrive together, would make all nodes write at the same time.
func (p schedule) due(o *Object) time.Time {
	return later(o.StatedAt.Add(p.delay(o)), o.seen.Add(p.prompt(o.Key, o.Stated)))
}

// prompt is the delay of a restatement that is due soon.
func (p schedule) prompt(key Key, stated uint64) time.Duration {
	return min(promptDelay, p.retention/16) + p.jitter(key, stated, min(promptSpread, p.retention/16))
}

func (p schedule) delay(o *Object) time.Duration {
	late := time.Duration(0)
	if o.InForce == 0 && !o.Deleted {
		// A node that has the object's body in force restates it first, because it can add that body.
		late = p.retention / 16
	}
	if o.Restated <= o.Revision {
		return late + p.prompt(o.Key, o.Stated)
	}
	return late + p.retention/2 + p.jitter(o.Key, o.Stated, p.retention/8)
}

func (p schedule) censusDue(s *state) time.Time {
	pause := p.retention / censusPerRetention
	soon := s.censusSeen.Add(p.prompt(Key{}, s.census))
	return later(s.censusAt.Add(pause+p.jitter(Key{}, s.census, pause/2)), soon)
}

// restatement returns the record that is due now or nil, and the time when the next one is due.
func (s *state) restatement(p schedule, now time.Time) (*wire.ConfigRecord, time.Time) {
	record := &wire.ConfigRecord{Operation: wire.ConfigOperation_CONFIG_RESTATE, AsOf: s.asOf}
	next := now.Add(p.retention)
	size := 0
	for _, object := range s.objects {
		if !object.decidable {
			continue
		}
		due := p.due(object)
		if due.After(now) || len(record.Objects) == restateObjects || size > restateBytes {
			next = earlier(next, due)
			continue
		}
		m := object.message()
		m.Stated, m.StatedMs, m.Restated = 0, 0, 0
		size += len(m.GetBody()) + len(m.GetInForceBody())
		record.Objects = append(record.Objects, m)
	}
	if len(record.Objects) > 0 {
		return record, next
	}
	return s.censusRecord(p, now, next)
}

// censusRecord returns the census that is due now or nil. A census needs a complete state in which
// each object was restated.
func (s *state) censusRecord(p schedule, now, next time.Time) (*wire.ConfigRecord, time.Time) {
	if !s.complete || s.asOf == 0 {
		return nil, next
	}
	from, ok := s.restatedFrom()
	if !ok {
		return nil, next
	}
	if due := p.censusDue(s); due.After(now) {
		return nil, earlier(next, due)
	}
	record := &wire.ConfigRecord{
		Operation: wire.ConfigOperation_CONFIG_CENSUS, AsOf: s.asOf, RestatedFrom: from,
	}
	return record, next
}

// restatedFrom returns the lowest as-of offset of the objects' newest restatements. ok is false when
// an object was never restated.
func (s *state) restatedFrom() (from uint64, ok bool) {
	from = s.asOf
	for _, object := range s.objects {
		if object.Restated == 0 {
			return 0, false
		}
		from = min(from, object.Restated)
	}
	return from, true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// restatement returns the encoded record that this node should append now or nil, and the time of
// the next one.
func (s *Store) restatement(p schedule, now time.Time) ([]byte, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record, next := s.state.restatement(p, now)
	if record == nil {
		return nil, next
	}
	return encode(record), next
}
