package suspect

import (
	"slices"
	"time"
)

// State is the state of a fingerprint.
type State uint8

// States; see the package documentation.
const (
	Clean State = iota
	Probation
	Suspected
	Refused
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"clean", "probation", "suspect", "refused"}[s]
}

// crash is the evidence of one crash. The flags only go from false to true.
type crash struct {
	id      uint64
	alone   bool
	excused bool
	cleared bool
}

// entry is what is known about one fingerprint.
type entry struct {
	// crashes is sorted by id and has at most maxEvidence elements.
	crashes []crash
	// last is the time of the newest crash or refusal.
	last time.Time
	// hinted is set while a router asks for isolation without evidence here.
	hinted bool
	// learned is when this table first had a reason for isolation.
	learned time.Time
	// target is the instance to run on, since targetSince.
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

// join merges evidence: the union of crashes, the logical or of their flags, the newest time. It is
// commutative, associative and idempotent. Of more than maxEvidence crashes the lowest ids stay.
func (e *entry) join(crashes []crash, last time.Time) (changed bool) {
	for _, c := range crashes {
		if e.joinCrash(c) {
			changed = true
		}
	}
	if len(e.crashes) > maxEvidence {
		e.crashes = e.crashes[:maxEvidence]
	}
	if last.After(e.last) {
		e.last = last
	}
	return changed
}

func (e *entry) joinCrash(c crash) (changed bool) {
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

// clear notes that the request completed: it did not cause the crashes known so far.
func (e *entry) clear() {
	e.hinted = false
	for i := range e.crashes {
		e.crashes[i].cleared = true
	}
}

// excuseByAge lets a suspect enter probation. It has an effect once in the life of an entry, and
// none on a request that crashed an engine alone.
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

// excuseFor lets crashes that a refused fingerprint explains no longer count against this one.
func (e *entry) excuseFor(refused *entry) {
	for i := range e.crashes {
		mine := &e.crashes[i]
		if slices.ContainsFunc(refused.crashes, func(c crash) bool { return c.id == mine.id }) {
			mine.excused = true
		}
	}
}

// open is the number of crashes that are not cleared.
func (e *entry) open() int {
	n := 0
	for _, c := range e.crashes {
		if !c.cleared {
			n++
		}
	}
	return n
}
