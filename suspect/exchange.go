package suspect

import (
	"math"
	"slices"
	"time"

	"jacinthfork.example/jacinthfork/wire"
)

// mergeEvidence merges evidence into an entry. Leaving the clean state sets learnedAt, from which Settle is
// counted.
func (t *Table) mergeEvidence(e *entry, crashes []crash, last, now time.Time) (changed bool) {
	before := e.state(t.settings)
	changed = e.merge(crashes, last)
	after := t.state(e, now)
	if before == Clean && after != Clean {
		e.learnedAt = now
	}
	return changed
}

// Merge adds the suspects received from a peer.
func (t *Table) Merge(suspects []*wire.Suspect) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	changed := false
	for _, s := range suspects {
		last := now.Add(-time.Duration(s.GetAgeS()) * time.Second)
		if now.Sub(last) > t.settings.Retention || len(s.GetEvidence()) == 0 {
			continue
		}
		e := t.getOrCreate(s.GetFingerprint(), now)
		if t.mergeEvidence(e, fromWire(s.GetEvidence()), last, now) {
			changed = true
		}
	}
	if changed {
		t.excuseExplained()
	}
}

// excuseExplained excuses the crashes of all entries that a refused request explains.
func (t *Table) excuseExplained() {
	for _, refused := range t.entries {
		if refused.state(t.settings) != Refused {
			continue
		}
		for _, e := range t.entries {
			if e != refused {
				e.excuseExplainedBy(refused)
			}
		}
	}
}

// Export returns at most limit suspects for a peer. Half of them are the newest entries and the rest are
// taken round-robin, so that every entry is sent within a few exchanges.
func (t *Table) Export(limit int) []*wire.Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.expire(now)
	fingerprints := t.newestFirst()
	if len(fingerprints) > limit {
		newest := fingerprints[:limit/2]
		fingerprints = append(slices.Clone(newest), t.roundRobin(fingerprints[limit/2:], limit-limit/2)...)
	}
	out := make([]*wire.Suspect, 0, len(fingerprints))
	for _, fingerprint := range fingerprints {
		out = append(out, t.toWire(fingerprint, now))
	}
	return out
}

// newestFirst returns the fingerprints that have evidence, the newest event first.
func (t *Table) newestFirst() []uint64 {
	var fingerprints []uint64
	for fingerprint, e := range t.entries {
		if len(e.crashes) > 0 {
			fingerprints = append(fingerprints, fingerprint)
		}
	}
	slices.SortFunc(fingerprints, func(a, b uint64) int {
		if order := t.entries[b].lastEvent.Compare(t.entries[a].lastEvent); order != 0 {
			return order
		}
		if a < b {
			return -1
		}
		return 1
	})
	return fingerprints
}

// roundRobin returns n fingerprints in numerical order, starting after the last one that it returned.
func (t *Table) roundRobin(fingerprints []uint64, n int) []uint64 {
	slices.Sort(fingerprints)
	at, _ := slices.BinarySearch(fingerprints, t.exportCursor)
	var out []uint64
	for range min(n, len(fingerprints)) {
		if at == len(fingerprints) {
			at = 0
		}
		out = append(out, fingerprints[at])
		at++
	}
	if len(out) > 0 && out[len(out)-1] < math.MaxUint64 {
		t.exportCursor = out[len(out)-1] + 1
	}
	return out
}

// toWire encodes an entry. The age is rounded up by at least one second: if each transfer lost the time spent
// on the network, two sidecars that keep exchanging an entry would never let it expire.
func (t *Table) toWire(fingerprint uint64, now time.Time) *wire.Suspect {
	e := t.entries[fingerprint]
	s := &wire.Suspect{
		Fingerprint: fingerprint,
		Crashes:     uint32(e.openCrashes()),
		AgeS:        uint32(now.Sub(e.lastEvent)/time.Second) + 2,
		Refused:     t.state(e, now) == Refused,
	}
	for _, c := range e.crashes {
		s.Evidence = append(s.Evidence, &wire.CrashEvidence{Id: c.id, Alone: c.alone, Excused: c.excused, Cleared: c.cleared})
	}
	return s
}

// fromWire decodes crash evidence.
func fromWire(evidence []*wire.CrashEvidence) []crash {
	out := make([]crash, 0, len(evidence))
	for _, c := range evidence {
		out = append(out, crash{id: c.GetId(), alone: c.GetAlone(), excused: c.GetExcused(), cleared: c.GetCleared()})
	}
	return out
}

// expire deletes the entries that are older than Retention.
func (t *Table) expire(now time.Time) {
	for fingerprint, e := range t.entries {
		if now.Sub(e.lastEvent) > t.settings.Retention {
			delete(t.entries, fingerprint)
		}
	}
}

// evictIfFull keeps the table below MaxEntries. It evicts the entries with the lowest state first, and the
// oldest of these.
func (t *Table) evictIfFull(now time.Time) {
	if len(t.entries) < t.settings.MaxEntries {
		return
	}
	t.expire(now)
	for len(t.entries) >= t.settings.MaxEntries {
		delete(t.entries, t.evictionCandidate())
	}
}

// evictionCandidate returns the fingerprint to evict next.
func (t *Table) evictionCandidate() uint64 {
	var candidate uint64
	var least *entry
	for fingerprint, e := range t.entries {
		if least == nil || t.evictBefore(e, least) {
			candidate = fingerprint
			least = e
		}
	}
	return candidate
}

// evictBefore reports whether a is evicted before b.
func (t *Table) evictBefore(a, b *entry) bool {
	stateA := a.state(t.settings)
	stateB := b.state(t.settings)
	if stateA != stateB {
		return stateA < stateB
	}
	return a.lastEvent.Before(b.lastEvent)
}
