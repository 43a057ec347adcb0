package config

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthfork.example/jacinthfork/wire"
)

const (
	// shortRestateDelay is the time from a change to its first restatement. From then on a node that starts
	// without a peer, after older records have expired, can determine the revision of the object.
	shortRestateDelay = time.Minute
	// shortRestateJitter spreads the first restatement over the nodes.
	shortRestateJitter = 30 * time.Minute
	// maxRestateBytes limits the total size of the bodies in one restatement, to stay below the maximum
	// record size of the log.
	maxRestateBytes = 48 << 10
	// maxRestateObjects limits the number of objects in one restatement.
	maxRestateObjects = 32
	// censusesPerRetention is the number of censuses per retention period.
	censusesPerRetention = 8
)

// schedule determines when objects are restated. Delays are fractions of the retention of the log, so that
// even the latest possible restatement happens with more than a tenth of the retention left.
type schedule struct {
	retention time.Duration
	// node makes the jitter differ between nodes.
	node string
}

// jitter returns a delay below spread that depends on the node, the object and the offset of its newest
// record. It is a hash instead of a random number, so that no timer is needed for each object.
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

// due returns when this node restates the object, unless another node does so first. A record that the node
// has just learned of never makes a restatement due immediately: otherwise a log clock that is far behind, or
// records that arrive together after an outage, would make all nodes write at the same time.
func (p schedule) due(o *Object) time.Time {
	return later(o.StatedAt.Add(p.delay(o)), o.learnedAt.Add(p.shortDelay(o.Key, o.Stated)))
}

// shortDelay returns the delay of a restatement that is due soon.
func (p schedule) shortDelay(key Key, stated uint64) time.Duration {
	return min(shortRestateDelay, p.retention/16) + p.jitter(key, stated, min(shortRestateJitter, p.retention/16))
}

// delay returns the time from the newest record of an object to its next restatement.
func (p schedule) delay(o *Object) time.Duration {
	extra := time.Duration(0)
	if o.InForce == 0 && !o.Deleted {
		// A node that has a body of the object in force restates it first, because its restatement contains
		// that body.
		extra = p.retention / 16
	}
	if o.Restated <= o.Revision {
		return extra + p.shortDelay(o.Key, o.Stated)
	}
	return extra + p.retention/2 + p.jitter(o.Key, o.Stated, p.retention/8)
}

// censusDue returns when this node writes the next census, unless another node does so first.
func (p schedule) censusDue(s *state) time.Time {
	interval := p.retention / censusesPerRetention
	earliest := s.censusSeenAt.Add(p.shortDelay(Key{}, s.censusAsOf))
	return later(s.censusAt.Add(interval+p.jitter(Key{}, s.censusAsOf, interval/2)), earliest)
}

// restatement returns the record that is due now or nil, and the time at which the next one is due.
func (s *state) restatement(p schedule, now time.Time) (*wire.ConfigRecord, time.Time) {
	record := &wire.ConfigRecord{Operation: wire.ConfigOperation_CONFIG_RESTATE, AsOf: s.asOf}
	next := now.Add(p.retention)
	size := 0
	for _, object := range s.objects {
		if !object.revisionKnown {
			continue
		}
		due := p.due(object)
		if due.After(now) || len(record.Objects) == maxRestateObjects || size > maxRestateBytes {
			next = earlier(next, due)
			continue
		}
		m := object.toWire()
		m.Stated, m.StatedMs, m.Restated = 0, 0, 0
		size += len(m.GetBody()) + len(m.GetInForceBody())
		record.Objects = append(record.Objects, m)
	}
	if len(record.Objects) > 0 {
		return record, next
	}
	return s.censusRecord(p, now, next)
}

// censusRecord returns the census that is due now or nil. A census requires a complete state in which every
// object has been restated.
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

// restatedFrom returns the lowest as-of offset of the newest restatements of all objects. ok is false if an
// object was never restated.
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

// restatement returns the encoded record that this node should append now or nil, and the time of the next
// one.
func (s *Store) restatement(p schedule, now time.Time) ([]byte, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record, next := s.state.restatement(p, now)
	if record == nil {
		return nil, next
	}
	return marshalRecord(record), next
}
