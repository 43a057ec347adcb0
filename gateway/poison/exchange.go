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
	// maxToldParts and maxToldRequests bound the suspects in one message, maxOld those of each kind that are no news while there
	// are more news than fit, and maxOldRequests whole requests that are no news at any time: after an outage there may be many
	// for minutes.
	maxToldParts    = 24
	maxToldRequests = 16
	maxOld          = 8
	maxOldRequests  = 4
)

// Export returns the suspects for a message to another router: those of which this table has learned something within
// newsPeriod, and others that are suspected of more than one crash. If these do not all fit, each message has some of them.
func (t *Table) Export() (parts, requests []*peerpb.Suspect) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.evidence) == 0 {
		return nil, nil
	}
	now := t.now()
	t.expire(now)
	return t.export(now, false, maxToldParts, maxToldParts), t.export(now, true, maxToldRequests, maxOldRequests)
}

// export returns at most limit suspects of one kind, and at most oldLimit that are no news.
func (t *Table) export(now time.Time, request bool, limit, oldLimit int) []*peerpb.Suspect {
	var news, old []suspect
	for s, e := range t.evidence {
		switch {
		case s.request != request:
		case e.isNews(now):
			news = append(news, s)
		case e.strength(s) >= minRepeated:
			old = append(old, s)
		}
	}
	shuffle(news)
	shuffle(old)
	slices.SortStableFunc(news, func(a, b suspect) int {
		e, f := t.evidence[a], t.evidence[b]
		return cmp.Or(cmp.Compare(f.toldStrength(b), e.toldStrength(a)), f.changedAt.Compare(e.changedAt))
	})
	old = old[:min(len(old), oldLimit)]
	told := news[:min(len(news), limit-min(len(old), maxOld))]
	told = append(told, old[:min(len(old), limit-len(told))]...)
	out := make([]*peerpb.Suspect, 0, len(told))
	for _, s := range told {
		out = append(out, t.evidence[s].encode(s.id, now))
	}
	return out
}

func shuffle(s []suspect) { rand.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] }) }

// toldStrength orders what is told first. The clearance of a suspect is as urgent as its crashes were.
func (e *evidence) toldStrength(s suspect) uint32 { return max(e.strength(s), e.clearedStrength) }

// isNews reports whether others may not know yet what this table knows about the suspect.
func (e *evidence) isNews(now time.Time) bool {
	cleared := e.depth == 0
	return now.Sub(e.changedAt) <= newsPeriod && (cleared || now.Sub(e.crashedAt) <= maxNewsAge)
}

// encode returns the evidence as told to other routers.
func (e *evidence) encode(id uint64, now time.Time) *peerpb.Suspect {
	m := &peerpb.Suspect{Id: id, Generation: e.generation, Depth: e.depth, Crashes: slices.Clone(e.crashes), BegunCrashes: slices.Clone(e.begun)}
	if e.depth > 0 {
		m.AgeMs = uint64(max(0, now.Sub(e.crashedAt).Milliseconds()))
		m.Trials = uint32(max(0, e.endedTrials()))
	}
	return m
}

// Merge adds the suspects that another router has told. The result does not depend on the order of messages, and a repeated
// one changes nothing. It returns the suspects that are blocked and were suspected less before, and whether any was suspected
// less.
func (t *Table) Merge(parts, requests []*peerpb.Suspect) (blocked []Suspicion, deeper bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	var stronger []suspect
	merge := func(told []*peerpb.Suspect, request bool) {
		for _, m := range told {
			s := suspect{id: m.GetId(), request: request}
			if !t.merge(s, m, now) {
				continue
			}
			deeper = true
			if t.evidence[s].blocked(s) {
				stronger = append(stronger, s)
			}
		}
	}
	merge(parts, false)
	merge(requests, true)
	// All suspects of the message may explain each other.
	return t.suspicions(stronger), deeper
}

// merge adds what is told of one suspect and reports whether it is suspected more than before.
func (t *Table) merge(s suspect, m *peerpb.Suspect, now time.Time) (deeper bool) {
	e := t.evidence[s]
	switch {
	case e == nil && !t.makeRoom():
		return false
	case e == nil:
		e = &evidence{generation: m.GetGeneration(), changedAt: now}
		t.evidence[s] = e
	case m.GetGeneration() < e.generation:
		// The other router has missed the clearance.
		e.changedAt = now
		return false
	case m.GetGeneration() > e.generation:
		*e = evidence{generation: m.GetGeneration(), clearedStrength: e.toldStrength(s), changedAt: now}
	}
	if m.GetDepth() == 0 {
		return false
	}
	at := now.Add(-min(2*maxBlockPeriod, time.Duration(m.GetAgeMs())*time.Millisecond))
	if t.answers.clears(s, at) {
		*e = evidence{generation: e.generation + 1, clearedStrength: max(e.toldStrength(s), m.GetDepth()), changedAt: now}
		return false
	}
	e.trials = max(e.trials, int(m.GetTrials()))
	before, blockedBefore := e.strength(s), e.blocked(s)
	changed := false
	if m.GetDepth() > e.depth {
		e.depth, changed = m.GetDepth(), true
	}
	for _, crash := range m.GetCrashes() {
		changed = e.crashes.add(crash) || changed
	}
	for _, crash := range m.GetBegunCrashes() {
		changed = e.begun.add(crash) || changed
	}
	deeper = e.strength(s) > before || e.blocked(s) != blockedBefore
	if !changed {
		// The age of a crash that is known is longer by the time that the message took.
		return deeper
	}
	e.changedAt = now
	if at.After(e.crashedAt) {
		e.crashedAt = at
	}
	return deeper
}
