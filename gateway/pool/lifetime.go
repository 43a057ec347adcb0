package pool

import (
	"slices"
	"time"
)

// Lifetimes of an instance are ordered by the offsets of their first entries in the feed, and the last one is in force. A
// start time names a lifetime and orders none, because clocks jump. See docs/design/lifetimes.md.

const (
	// endedTTL is how long a lifetime that has ended is remembered, so that a write of it that is done late is refused.
	// Late writes arrive within seconds.
	endedTTL = time.Minute
	// resumeAfter is how long a lifetime that has ended by what is known here must write, while the one in force does not,
	// until it is in force again. It is longer than an entry stays published without being written again.
	resumeAfter = 4 * time.Second
	// resumeEntries is how many entries it must have written by then. Few writes of one instance are done late.
	resumeEntries = 3
	// repeatFor is how long each entry of an instance counts as a change after another one was refused that says something else. A
	// peer that has taken that one can tell then which of the two lifetimes goes on, or is told what is newer.
	repeatFor = 2*resumeAfter + 2*time.Second
	// refreshEvery is how often an entry counts as a change in any case. A peer that has read something that this router has not
	// seen is put right by then.
	refreshEvery = 10 * time.Minute
	// firstSequence is that of the first entry of a lifetime.
	firstSequence = 1
	// confirmAfter is how long after the first one that is read another entry confirms a lifetime whose first entry was not read.
	// Writes that were held up together are done together, others are a heartbeat apart.
	confirmAfter = 500 * time.Millisecond
)

// incarnation names one lifetime of an instance.
type incarnation struct {
	id        string
	startedAt int64
}

func (i Instance) incarnation() incarnation { return incarnation{i.ID, i.StartedAt} }

// refusedEntries are those of one lifetime since an entry of its instance was last taken.
type refusedEntries struct {
	startedAt    int64
	lastSequence int64
	count        int
	since        time.Time
}

// succession is how an entry relates to the last one that was taken of its instance.
type succession uint8

const (
	// sameLifetime is an entry of the lifetime in force that was written later.
	sameLifetime succession = iota
	// earlierEntry is one of the lifetime in force that was written earlier.
	earlierEntry
	// nextLifetime is the first entry of a lifetime.
	nextLifetime
	// endedLifetime is an entry of a lifetime that was in force before.
	endedLifetime
	// resumedLifetime is one of a lifetime that goes on, although it had ended, or had written later ones, by what was known.
	resumedLifetime
	// unconfirmedLifetime is one of a lifetime that is not known and began a while ago: the next one, of which the first entries
	// were not read, or one that has ended.
	unconfirmedLifetime
)

// LastEntry returns the last entry of an instance that was taken. A removed instance is remembered for a while.
func (r *Registry) LastEntry(id string) (Instance, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastEntry(id)
}

func (r *Registry) lastEntry(id string) (Instance, bool) {
	if m := r.members[id]; m != nil {
		return m.Instance, true
	}
	t, ok := r.tombstones[id]
	return t.last, ok
}

// succession relates an entry to the last one that was taken of its instance. Entries arrive in the order of the feed. taken is set
// for one that another router has taken.
func (r *Registry) succession(i, last Instance, taken bool) succession {
	if i.StartedAt != last.StartedAt {
		_, ended := r.ended[i.incarnation()]
		switch {
		case ended && r.refuse(i).goesOn(r.now()):
			return resumedLifetime
		case ended:
			return endedLifetime
		case taken || i.Sequence <= firstSequence || i.Leaving || r.refuse(i).confirms(r.now()):
			// What says that it leaves gets no requests, whichever it is.
			return nextLifetime
		}
		return unconfirmedLifetime
	}
	switch {
	case i.Sequence >= last.Sequence:
		return sameLifetime
	case i.Leaving && !last.Leaving, i.Address != last.Address, i.Pool != last.Pool:
		// An earlier entry of the same lifetime has the same address, and is not leaving if a later one is not. So two
		// lifetimes have the same name.
		return nextLifetime
	case r.refuse(i).goesOn(r.now()):
		return resumedLifetime
	}
	return earlierEntry
}

// refuse counts an entry that may be refused, and returns those of its lifetime since an entry of the instance was last taken. One
// that was written earlier than those does not count.
func (r *Registry) refuse(i Instance) refusedEntries {
	known, ok := r.refused[i.ID]
	switch {
	case !ok || known.startedAt != i.StartedAt:
		known = refusedEntries{startedAt: i.StartedAt, since: r.now()}
	case i.Sequence <= known.lastSequence:
		return refusedEntries{}
	}
	known.lastSequence = i.Sequence
	known.count++
	r.refused[i.ID] = known
	return known
}

// goesOn reports whether a lifetime that has ended still writes while the one in force does not. A write that is done late does not
// meet this: the lifetime in force writes meanwhile, or its entry lapses and it is not in use.
func (e refusedEntries) goesOn(now time.Time) bool {
	return e.count >= resumeEntries && now.Sub(e.since) >= resumeAfter
}

// confirms reports whether a lifetime that is not known writes.
func (e refusedEntries) confirms(now time.Time) bool {
	return e.count > 1 && now.Sub(e.since) >= confirmAfter
}

// repeat makes each entry of an instance in use count as a change for a while, so that peers are told of it.
func (r *Registry) repeat(id string) {
	if m := r.members[id]; m != nil {
		m.repeatUntil = r.now().Add(repeatFor)
	}
}

// ending is what is known of the end of a lifetime: the offset of the entry that showed it, and when that was read.
type ending struct {
	offset uint64
	at     time.Time
}

// beginLifetime notes that the lifetime of an entry is in force after that of another one.
func (r *Registry) beginLifetime(i, last Instance) {
	r.ended[last.incarnation()] = ending{offset: i.Offset, at: r.now()}
	delete(r.ended, i.incarnation())
}

// EndedLifetime is a lifetime of an instance that another one has followed, as routers tell each other.
type EndedLifetime struct {
	Instance  string
	StartedAt int64
	// Offset is that of the entry that showed the end, Age the time since it was read.
	Offset uint64
	Age    time.Duration
}

// EndedLifetimes returns the lifetimes that have ended not long ago, from an offset on.
func (r *Registry) EndedLifetimes(from uint64) (ended []EndedLifetime) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for l, e := range r.ended {
		if e.offset >= from {
			ended = append(ended, EndedLifetime{Instance: l.id, StartedAt: l.startedAt, Offset: e.offset, Age: now.Sub(e.at)})
		}
	}
	return ended
}

// RecordEnded records lifetimes that have ended by what another router knows. A router that takes its copy of the entries did not
// see them. One that is in force here is left to the entries.
func (r *Registry) RecordEnded(ended []EndedLifetime) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for _, e := range ended {
		l := incarnation{e.Instance, e.StartedAt}
		_, known := r.ended[l]
		last, ok := r.lastEntry(l.id)
		if e.Age <= endedTTL && !known && (!ok || last.incarnation() != l) {
			r.ended[l] = ending{offset: e.Offset, at: now.Add(-e.Age)}
		}
	}
}

func (r *Registry) sweepLifetimes(now time.Time) {
	for l, e := range r.ended {
		if now.Sub(e.at) > endedTTL {
			delete(r.ended, l)
		}
	}
	for id, refused := range r.refused {
		if now.Sub(refused.since) > endedTTL {
			delete(r.refused, id)
		}
	}
}

// Replacement is an instance that is out of use because its address belongs to another one.
type Replacement struct{ Instance, By string }

// EvictPredecessors removes the instances at the address of i that have written nothing since another one there began: the
// entry of a crashed instance stays published for some seconds, and its successor refuses the requests that are meant for
// it. An instance that has not ended after all is back with its next entry. The instances may have become known in any
// order.
func (r *Registry) EvictPredecessors(i Instance) (replaced []Replacement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range slices.Clone(r.byAddress[i.Address]) {
		for _, other := range r.byAddress[i.Address] {
			if m != other && m.Offset < other.firstOffset {
				r.evict(m, r.now())
				replaced = append(replaced, Replacement{Instance: m.ID, By: other.ID})
				break
			}
		}
	}
	return replaced
}
