package suspect

import (
	"math"
	"slices"
	"time"

	"jacinthfork.example/jacinthfork/wire"
)

// learn joins evidence into an entry. An entry that turns from clean into another state is learned
// now, which starts Settle.
func (t *Table) learn(e *entry, crashes []crash, last, now time.Time) (changed bool) {
	before := e.state(t.settings)
	changed = e.join(crashes, last)
	after := t.state(e, now)
	if before == Clean && after != Clean {
		e.learned = now
	}
	return changed
}

// Merge joins suspects from a peer.
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
		e := t.entry(s.GetFingerprint(), now)
		if t.learn(e, fromWire(s.GetEvidence()), last, now) {
			changed = true
		}
	}
	if changed {
		t.excuseExplained()
	}
}

// excuseExplained lets requests off that were beside a refused one.
func (t *Table) excuseExplained() {
	for _, refused := range t.entries {
		if refused.state(t.settings) != Refused {
			continue
		}
		for _, e := range t.entries {
			if e != refused {
				e.excuseFor(refused)
			}
		}
	}
}

// Export returns at most limit suspects for a peer: half of them the newest, the other half in
// turn, so that every entry is sent after a few exchanges.
func (t *Table) Export(limit int) []*wire.Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.expire(now)
	fingerprints := t.newestFirst()
	if len(fingerprints) > limit {
		newest := fingerprints[:limit/2]
		fingerprints = append(slices.Clone(newest), t.inTurn(fingerprints[limit/2:], limit-limit/2)...)
	}
	out := make([]*wire.Suspect, 0, len(fingerprints))
	for _, fingerprint := range fingerprints {
		out = append(out, t.toWire(fingerprint, now))
	}
	return out
}

// newestFirst returns the fingerprints with evidence.
func (t *Table) newestFirst() []uint64 {
	var fingerprints []uint64
	for fingerprint, e := range t.entries {
		if len(e.crashes) > 0 {
			fingerprints = append(fingerprints, fingerprint)
		}
	}
	slices.SortFunc(fingerprints, func(a, b uint64) int {
		if order := t.entries[b].last.Compare(t.entries[a].last); order != 0 {
			return order
		}
		if a < b {
			return -1
		}
		return 1
	})
	return fingerprints
}

// inTurn returns n fingerprints that follow the last one sent in numerical order.
func (t *Table) inTurn(fingerprints []uint64, n int) []uint64 {
	slices.Sort(fingerprints)
	at, _ := slices.BinarySearch(fingerprints, t.cursor)
	var out []uint64
	for range min(n, len(fingerprints)) {
		if at == len(fingerprints) {
			at = 0
		}
		out = append(out, fingerprints[at])
		at++
	}
	if len(out) > 0 && out[len(out)-1] < math.MaxUint64 {
		t.cursor = out[len(out)-1] + 1
	}
	return out
}

// toWire writes an entry. The age is rounded up by at least a second, because an age that loses the
// time of its journey would let two sidecars keep an entry alive by sending it back and forth.
func (t *Table) toWire(fingerprint uint64, now time.Time) *wire.Suspect {
	e := t.entries[fingerprint]
	s := &wire.Suspect{
		Fingerprint: fingerprint,
		Crashes:     uint32(e.open()),
		AgeS:        uint32(now.Sub(e.last)/time.Second) + 2,
		Refused:     t.state(e, now) == Refused,
	}
	for _, c := range e.crashes {
		s.Evidence = append(s.Evidence, &wire.CrashEvidence{Id: c.id, Alone: c.alone, Excused: c.excused, Cleared: c.cleared})
	}
	return s
}

func fromWire(evidence []*wire.CrashEvidence) []crash {
	out := make([]crash, 0, len(evidence))
	for _, c := range evidence {
		out = append(out, crash{id: c.GetId(), alone: c.GetAlone(), excused: c.GetExcused(), cleared: c.GetCleared()})
	}
	return out
}

// expire drops entries whose Retention has passed.
func (t *Table) expire(now time.Time) {
	for fingerprint, e := range t.entries {
		if now.Sub(e.last) > t.settings.Retention {
			delete(t.entries, fingerprint)
		}
	}
}

// makeRoom keeps the table below its bound. It drops the entry of the lowest state, the oldest of
// these first.
func (t *Table) makeRoom(now time.Time) {
	if len(t.entries) < t.settings.MaxEntries {
		return
	}
	t.expire(now)
	for len(t.entries) >= t.settings.MaxEntries {
		delete(t.entries, t.leastImportant())
	}
}

func (t *Table) leastImportant() uint64 {
	var worst uint64
	var least *entry
	for fingerprint, e := range t.entries {
		if least == nil || t.before(e, least) {
			worst = fingerprint
			least = e
		}
	}
	return worst
}

func (t *Table) before(a, b *entry) bool {
	stateA := a.state(t.settings)
	stateB := b.state(t.settings)
	if stateA != stateB {
		return stateA < stateB
	}
	return a.last.Before(b.last)
}
