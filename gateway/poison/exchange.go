package poison

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"jacinthfork.example/jacinthfork/gateway/peer/peerpb"
)

const (
	// newsPeriod is how long each change is told. Routers exchange their states several times in it.
	newsPeriod = 3 * time.Second
	// maxNewsAge is the age from which on a crash is no news to a router that learns of it.
	maxNewsAge = 2 * newsPeriod
	// maxTold bounds the parts in one message, and maxOld those of them that are no news while there are more news than fit.
	maxTold = 24
	maxOld  = 8
)

// Export returns the parts for a message to another router: those of which this table has learned something within
// newsPeriod, and others that are suspected of more than one crash. If these do not all fit, each message has some of them.
func (t *Table) Export() []*peerpb.SuspectPart {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.parts) == 0 {
		return nil
	}
	now := t.now()
	t.expire(now)
	var news, old []uint64
	for id, p := range t.parts {
		switch {
		case p.isNews(now):
			news = append(news, id)
		case p.depth >= minRepeated:
			old = append(old, id)
		}
	}
	slices.SortFunc(news, func(a, b uint64) int {
		p, q := t.parts[a], t.parts[b]
		return cmp.Or(cmp.Compare(max(q.depth, q.clearedDepth), max(p.depth, p.clearedDepth)), q.changedAt.Compare(p.changedAt), cmp.Compare(a, b))
	})
	rand.Shuffle(len(old), func(i, j int) { old[i], old[j] = old[j], old[i] })
	told := news[:min(len(news), maxTold-min(len(old), maxOld))]
	told = append(told, old[:min(len(old), maxTold-len(told))]...)
	out := make([]*peerpb.SuspectPart, 0, len(told))
	for _, id := range told {
		out = append(out, t.parts[id].encode(id, now))
	}
	return out
}

// isNews reports whether others may not know yet what this table knows about the part.
func (p *part) isNews(now time.Time) bool {
	cleared := p.depth == 0
	return now.Sub(p.changedAt) <= newsPeriod && (cleared || now.Sub(p.crashedAt) <= maxNewsAge)
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
