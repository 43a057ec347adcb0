package suspect

import (
	"slices"
	"time"
)

// State is the state of a fingerprint.
type State uint8

// States of a fingerprint; the package documentation describes them.
const (
	Clean State = iota
	Probation
	Suspected
	Refused
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"clean", "probation", "suspect", "refused"}[s]
}

// crash is the evidence of one engine crash. Its flags only change from false to true, so that merging is a
// logical or.
type crash struct {
	id uint64
	// alone is set if no request with another fingerprint overlapped the run that ended in the crash.
	alone bool
	// excused is set once a refused request explains the crash, or the entry entered probation because of its
	// age.
	excused bool
	// cleared is set once the request completed after the crash.
	cleared bool
}

// entry holds the evidence about one fingerprint.
type entry struct {
	// crashes is sorted by ID and has at most maxEvidence elements.
	crashes []crash
	// lastEvent is the time of the newest crash, refusal or isolation hint.
	lastEvent time.Time
	// hinted is set when a router asks for isolation of a request that is clean in this table. A completion or
	// ExcuseAfter resets it.
	hinted bool
	// learnedAt is when this table first had a reason for isolation.
	learnedAt time.Time
	// target is the only instance that may run the request while it is suspect, since targetSince.
	target      string
	targetSince time.Time
}

// state derives the state from the evidence.
func (e *entry) state(s Settings) State {
	open, alone, excused := 0, 0, 0
	for _, c := range e.crashes {
		if c.cleared {
			continue
		}
		open++
		if c.alone {
			alone++
		}
		if c.excused {
			excused++
		}
	}
	switch {
	case alone > 0 && open >= s.RefuseAfter:
		return Refused
	case s.RefuseCrowded > 0 && open-excused >= s.RefuseCrowded:
		return Refused
	case open > excused || (open == 0 && e.hinted):
		return Suspected
	case open > 0:
		return Probation
	default:
		return Clean
	}
}

// merge adds evidence: the union of the crashes, the logical or of their flags and the newest time. It is
// commutative, associative and idempotent. Of more than maxEvidence crashes, those with the lowest IDs are
// kept.
func (e *entry) merge(crashes []crash, last time.Time) (changed bool) {
	for _, c := range crashes {
		if e.mergeCrash(c) {
			changed = true
		}
	}
	if len(e.crashes) > maxEvidence {
		e.crashes = e.crashes[:maxEvidence]
	}
	if last.After(e.lastEvent) {
		e.lastEvent = last
	}
	return changed
}

// mergeCrash adds one crash, or merges its flags into those of the crash with the same ID.
func (e *entry) mergeCrash(c crash) (changed bool) {
	at, found := slices.BinarySearchFunc(e.crashes, c.id, func(have crash, id uint64) int {
		switch {
		case have.id < id:
			return -1
		case have.id > id:
			return 1
		default:
			return 0
		}
	})
	if !found {
		e.crashes = slices.Insert(e.crashes, at, c)
		return true
	}
	have := &e.crashes[at]
	before := *have
	have.alone = have.alone || c.alone
	have.excused = have.excused || c.excused
	have.cleared = have.cleared || c.cleared
	return *have != before
}

// clear records that the request completed, so that it did not cause the crashes known so far.
func (e *entry) clear() {
	e.hinted = false
	for i := range e.crashes {
		e.crashes[i].cleared = true
	}
}

// excuseByAge moves a suspect to probation. It takes effect at most once for each entry, and never for a
// request that crashed an engine while running alone.
func (e *entry) excuseByAge() {
	for _, c := range e.crashes {
		if c.excused || (c.alone && !c.cleared) {
			return
		}
	}
	for i := range e.crashes {
		e.crashes[i].excused = true
	}
}

// excuseExplainedBy excuses the crashes that a refused fingerprint explains, so that they no longer count
// against this entry.
func (e *entry) excuseExplainedBy(refused *entry) {
	for i := range e.crashes {
		own := &e.crashes[i]
		if slices.ContainsFunc(refused.crashes, func(c crash) bool { return c.id == own.id }) {
			own.excused = true
		}
	}
}

// openCrashes returns the number of crashes that are not cleared.
func (e *entry) openCrashes() int {
	n := 0
	for _, c := range e.crashes {
		if !c.cleared {
			n++
		}
	}
	return n
}
