package poison

import (
	"cmp"
	"slices"
	"time"

	"jacinthfork.example/jacinthfork/gateway/peer/peerpb"
)

const (
	// newsPeriod is how long each change is told. Routers exchange their states several times in it.
	newsPeriod = 3 * time.Second
	// maxTold bounds the parts in one message.
	maxTold = 24
)

// Export returns the parts for a message to another router: those that are suspected of more than one crash, in every
// message, and those of which this table has learned something within newsPeriod.
func (t *Table) Export() []*peerpb.SuspectPart {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.parts) == 0 {
		return nil
	}
	now := t.now()
	t.expire(now)
	var told []uint64
	for id, p := range t.parts {
		if p.depth >= minRepeated || now.Sub(p.changedAt) <= newsPeriod {
			told = append(told, id)
		}
	}
	slices.SortFunc(told, func(a, b uint64) int {
		p, q := t.parts[a], t.parts[b]
		return cmp.Or(cmp.Compare(max(q.depth, q.clearedDepth), max(p.depth, p.clearedDepth)), q.changedAt.Compare(p.changedAt), cmp.Compare(a, b))
	})
	out := make([]*peerpb.SuspectPart, 0, min(maxTold, len(told)))
	for _, id := range told[:min(maxTold, len(told))] {
		out = append(out, t.parts[id].encode(id, now))
	}
	return out
}

// encode returns a part as told to other routers.
func (p *part) encode(id uint64, now time.Time) *peerpb.SuspectPart {
	m := &peerpb.SuspectPart{Part: id, Generation: p.generation, Depth: p.depth, Crashes: slices.Clone(p.crashes)}
	if p.depth > 0 {
		m.AgeMs = uint64(max(0, now.Sub(p.crashedAt).Milliseconds()))
		m.Trials = uint32(max(0, p.endedTrials()))
	}
	return m
}

// Merge adds what another router has told. The result does not depend on the order of messages, and a repeated one changes
// nothing. It returns the parts that are suspected more than before.
func (t *Table) Merge(told []*peerpb.SuspectPart) []Suspicion {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	var deeper []uint64
	for _, m := range told {
		if t.merge(m, now) {
			deeper = append(deeper, m.GetPart())
		}
	}
	// All parts of the message may explain each other.
	out := make([]Suspicion, 0, len(deeper))
	for _, id := range deeper {
		out = append(out, t.suspicion(id))
	}
	return out
}

// merge adds what is told of one part and reports whether it is suspected more than before.
func (t *Table) merge(m *peerpb.SuspectPart, now time.Time) (deeper bool) {
	p := t.parts[m.GetPart()]
	switch {
	case p == nil && len(t.parts) >= maxParts:
		return false
	case p == nil:
		p = &part{generation: m.GetGeneration(), changedAt: now}
		t.parts[m.GetPart()] = p
	case m.GetGeneration() < p.generation:
		// The other router has missed the clearance.
		p.changedAt = now
		return false
	case m.GetGeneration() > p.generation:
		*p = part{generation: m.GetGeneration(), clearedDepth: max(p.depth, p.clearedDepth), changedAt: now}
	}
	if m.GetDepth() == 0 {
		return false
	}
	p.trials = max(p.trials, int(m.GetTrials()))
	changed := false
	if m.GetDepth() > p.depth {
		p.depth, deeper, changed = m.GetDepth(), true, true
	}
	for _, crash := range m.GetCrashes() {
		changed = p.addCrash(crash) || changed
	}
	if !changed {
		// The age of a crash that is known is longer by the time that the message took.
		return deeper
	}
	p.changedAt = now
	if at := now.Add(-min(2*maxBlockPeriod, time.Duration(m.GetAgeMs())*time.Millisecond)); at.After(p.crashedAt) {
		p.crashedAt = at
	}
	return deeper
}
