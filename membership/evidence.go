package membership

import (
	"time"

	"jacinthfork.example/jacinthfork/services"
)

// Rules are the times by which evidence is weighed.
type Rules struct {
	// JoinDelay is how long an instance is in the list before it gets work without its own word.
	JoinDelay time.Duration
	// RemoveDelay is how long an instance that the list dropped stays without its own word.
	RemoveDelay time.Duration
	// WordAge is how long an instance's own word keeps it although the list does not have it.
	WordAge time.Duration
	// Readmit is the pause after the first refusal; each further one doubles it up to ReadmitMax.
	Readmit    time.Duration
	ReadmitMax time.Duration
	// FlapMemory is the time without a refusal after which one refusal is forgotten.
	FlapMemory time.Duration
}

// DefaultRules hold when settings give none. ReadmitMax bounds how long a repaired instance idles.
var DefaultRules = Rules{
	JoinDelay:   time.Second,
	RemoveDelay: 2 * time.Second,
	WordAge:     10 * time.Second,
	Readmit:     500 * time.Millisecond,
	ReadmitMax:  30 * time.Second,
	FlapMemory:  time.Minute,
}

// evidence is all that is known of one instance.
type evidence struct {
	instance services.Instance

	listed       bool
	listedSince  time.Time
	missingSince time.Time

	incarnation uint64
	// version is that of the newest statement of this incarnation that came through its pool.
	version     uint64
	wordLeaving bool
	wordReady   bool
	// wordAt is when the newest word of the instance was given, directly or through its pool.
	wordAt time.Time

	// refusals counts recent refusals; readmitAt is when the instance may get work again.
	refusals  int
	refusedAt time.Time
	readmitAt time.Time

	hint *loadHint
}

// standing is what follows from the evidence at one moment.
type standing struct {
	present bool
	ready   bool
	leaving bool
	// until is when the status may change without new evidence, zero for never.
	until time.Time
}

// standing weighs the evidence. A word of the instance itself keeps it present against the list; a
// departure known from either side, or a refusal, stops new work.
func (e *evidence) standing(now time.Time, rules Rules) standing {
	var s standing
	goneAt := e.goneAt(rules)
	if !e.listed {
		if !now.Before(goneAt) {
			return s
		}
		s.until = goneAt
	}
	s.present = true
	s.leaving = e.wordLeaving || (e.listed && e.instance.Leaving)
	joinedAt := e.joinedAt(rules)
	for _, at := range []time.Time{joinedAt, e.readmitAt} {
		if now.Before(at) && (s.until.IsZero() || at.Before(s.until)) {
			s.until = at
		}
	}
	spoke := !e.wordAt.IsZero()
	s.ready = !s.leaving && !now.Before(joinedAt) && !now.Before(e.readmitAt) && (!spoke || e.wordReady)
	return s
}

// goneAt is when an instance that is not listed is removed.
func (e *evidence) goneAt(rules Rules) time.Time {
	at := e.missingSince.Add(rules.RemoveDelay)
	if word := e.wordAt.Add(rules.WordAge); !e.wordAt.IsZero() && word.After(at) {
		return word
	}
	return at
}

// joinedAt is when a new instance may get work: at its own word, or after JoinDelay in the list.
func (e *evidence) joinedAt(rules Rules) time.Time {
	if !e.wordAt.IsZero() {
		return time.Time{}
	}
	return e.listedSince.Add(rules.JoinDelay)
}

// list takes the instance's entry of the list, or nil when the list does not have it.
func (e *evidence) list(entry *services.Instance, now time.Time) {
	if entry == nil {
		if e.listed {
			e.listed, e.missingSince = false, now
		}
		return
	}
	if !e.listed {
		e.listed, e.listedSince = true, now
	}
	e.instance = *entry
}

// word takes a statement of the instance that was true at the given time. It returns false for one
// that is older than what is known.
func (e *evidence) word(incarnation, version uint64, leaving, ready bool, at, now time.Time, rules Rules) bool {
	if incarnation < e.incarnation || (incarnation == e.incarnation && version < e.version) {
		return false
	}
	if incarnation > e.incarnation {
		e.restart(incarnation, now, rules)
	}
	known := e.version
	e.version = version
	// Leaving is final within one incarnation.
	e.wordLeaving = e.wordLeaving || leaving
	if !at.Before(e.wordAt) || version > known || e.wordAt.IsZero() {
		e.wordReady = ready
	}
	e.spoke(at)
	return true
}

// spoke notes that the instance was up at the given time. After a single refusal it is readmitted at
// once; an instance that flaps waits for its pause.
func (e *evidence) spoke(at time.Time) {
	if at.After(e.wordAt) {
		e.wordAt = at
	}
	if e.refusals <= 1 && at.After(e.refusedAt) {
		e.readmitAt = time.Time{}
	}
}

// restart notes a new incarnation. One that replaces a process that was up counts as a flap, but the
// first one needs no pause: the new process has spoken.
func (e *evidence) restart(incarnation uint64, now time.Time, rules Rules) {
	if e.incarnation != 0 && !now.Before(e.readmitAt) {
		e.flap(now, rules)
		if e.refusals <= 1 {
			e.readmitAt = time.Time{}
		}
	}
	e.incarnation, e.version = incarnation, 0
	e.wordLeaving, e.wordReady = false, false
	e.hint = &loadHint{}
}

// refused notes a refused or broken connection to the given incarnation, 0 for any. Refusals during
// the pause count as one, because all requests in flight fail together.
func (e *evidence) refused(incarnation uint64, now time.Time, rules Rules) bool {
	if incarnation != 0 && incarnation < e.incarnation {
		return false
	}
	if now.Before(e.readmitAt) {
		e.refusedAt = now
		return false
	}
	e.flap(now, rules)
	return true
}

func (e *evidence) flap(now time.Time, rules Rules) {
	if !e.refusedAt.IsZero() {
		e.refusals = max(0, e.refusals-int(now.Sub(e.refusedAt)/rules.FlapMemory))
	}
	e.refusals++
	e.refusedAt = now
	e.readmitAt = now.Add(min(rules.ReadmitMax, rules.Readmit<<min(e.refusals-1, 16)))
}
