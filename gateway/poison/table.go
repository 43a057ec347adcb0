// Package poison finds parts of prompts that crash the engines which begin to answer them, and blocks the requests
// that contain one. Requests with such a part may differ in everything else, so that counting the crashes of whole
// requests, as package suspect does, never refuses any of them. The package does no I/O.
//
// # Evidence
//
// A part is suspected when an engine crashes while a request with it is in flight and has not been answered yet. A
// response to any request with the part clears it: a part that crashes engines is never answered, whatever else the
// prompt holds. Parts that many requests share are cleared within a fraction of a second.
//
// The depth of a part is the length of its longest chain of crashes in which each request was sent when the crash
// before was known. Crashes at the same time, such as those of a failure domain that loses power, add 1 together.
//
// Parts that were in flight at the same crash may each be its cause. A part is blamed for a crash alone, unless another one
// that has been in flight at further crashes too was there as well, at any router: then only requests with both are
// blocked. So a document's first part is not blamed for a later one: a request with the first part alone goes on to be
// sent, and its response clears the part.
//
// # Load pattern
//
// A few percent of the requests of one route contain the part, come at any router and are retried by their callers.
// The other requests share their organisation and their other parts. Each crash interrupts the requests of a dozen
// others. Requests with the part are blocked from the third crash of a chain on, at all routers, until one of them is
// answered. A single request with a blocked part is sent from time to time, at growing intervals by the router that is
// responsible for the part, and at longer ones by the others, which may be the only ones that get such requests.
package poison

import (
	"math/bits"
	"slices"
	"sync"
	"time"
)

const (
	// blockDepth is the depth from which on a part is blocked.
	blockDepth = 3
	// blockPeriod is how long after the last crash of a blocked part, or its last trial there, any router sends one request
	// with it. It doubles with each crash after blockDepth, up to maxBlockPeriod.
	blockPeriod    = 5 * time.Minute
	maxBlockPeriod = time.Hour
	// trialPeriod is the same for the router that is responsible for the part. It grows by trialGrowth with each trial.
	trialPeriod = 10 * time.Second
	trialGrowth = 4
	// maxParts bounds the suspected parts, and maxCrashes the crashes that are remembered of each.
	maxParts   = 4096
	maxCrashes = 32
	// minRepeated is the number of crashes from which on a part may explain those of another one.
	minRepeated = 2
)

// Table holds what one router knows about suspected parts. It is safe for concurrent use.
type Table struct {
	mu    sync.Mutex
	now   func() time.Time
	parts map[uint64]*part
}

// part is what is known about one part.
type part struct {
	// generation is the number of times that the part was cleared. What is known of an earlier one is void.
	generation uint32
	// depth is the length of the longest chain of crashes, 0 for a part that was cleared.
	depth uint32
	// clearedDepth is the depth from which the part was cleared last.
	clearedDepth uint32
	// crashes identify the crashes, in numerical order. Of more than maxCrashes, the lowest are kept.
	crashes   []uint32
	crashedAt time.Time
	// changedAt is when this table last learned something about the part.
	changedAt time.Time
	// trials is the number of requests that the routers have sent while the part was blocked, triedAt the time of this
	// router's last.
	trials  int
	triedAt time.Time
	// triedBefore is the time of the trial before that.
	triedBefore time.Time
}

// Attempt is one attempt to send a request, with what was known of its parts at that time.
type Attempt struct {
	parts []uint64
	marks []mark
}

// Parts returns the parts of the request.
func (a *Attempt) Parts() []uint64 { return a.parts }

type mark struct{ generation, depth uint32 }

// Suspicion describes a suspected part, for logs.
type Suspicion struct {
	Part  uint64
	Depth int
	// Alternatives are the fewest other parts that may have caused one of its crashes instead. A request without one of
	// them is not blocked.
	Alternatives []uint64
	// Until is when this router sends one request with the part again, whether or not it is responsible for the part. It
	// is zero if the part is not blocked.
	Until time.Time
}

// NewTable returns a table without suspects.
func NewTable() *Table { return &Table{now: time.Now, parts: make(map[uint64]*part)} }

// Begin returns an attempt to send a request with the given parts, which it keeps.
func (t *Table) Begin(parts []uint64) *Attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := &Attempt{parts: parts, marks: make([]mark, len(parts))}
	for i, id := range parts {
		if p := t.parts[id]; p != nil {
			a.marks[i] = mark{p.generation, p.depth}
		}
	}
	return a
}

// RecordCrash records that an engine crashed while the given attempts had not been answered, and returns the parts that
// are suspected for it. crash identifies the crash at all routers.
func (t *Table) RecordCrash(crash uint32, attempts []*Attempt) []Suspicion {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.expire(now)
	var suspected []uint64
	for _, a := range attempts {
		for i, id := range a.parts {
			p := t.parts[id]
			if p == nil {
				if len(t.parts) >= maxParts {
					continue
				}
				p = &part{}
				t.parts[id] = p
			}
			depth := uint32(1)
			if p.generation == a.marks[i].generation {
				depth += a.marks[i].depth
			}
			p.depth = max(p.depth, depth)
			p.addCrash(crash)
			p.crashedAt, p.changedAt = now, now
			if !slices.Contains(suspected, id) {
				suspected = append(suspected, id)
			}
		}
	}
	out := make([]Suspicion, 0, len(suspected))
	for _, id := range suspected {
		out = append(out, t.suspicion(id))
	}
	return out
}

// addCrash adds a crash and reports whether it was not known.
func (p *part) addCrash(crash uint32) (added bool) {
	at, known := slices.BinarySearch(p.crashes, crash)
	if known || at >= maxCrashes {
		return false
	}
	p.crashes = slices.Insert(p.crashes, at, crash)
	p.crashes = p.crashes[:min(maxCrashes, len(p.crashes))]
	return true
}

// RecordResponse records that an engine answered a request with the given parts. It returns those that were blocked.
func (t *Table) RecordResponse(parts []uint64) (unblocked []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, id := range parts {
		p := t.parts[id]
		if p == nil || p.depth == 0 {
			continue
		}
		if p.depth >= blockDepth {
			unblocked = append(unblocked, id)
		}
		*p = part{generation: p.generation + 1, clearedDepth: p.depth, changedAt: now}
	}
	return unblocked
}

// Blocked returns the suspicion for which a request with the given parts is not to be sent. ok is false if it may be.
func (t *Table) Blocked(parts []uint64) (s Suspicion, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.parts) == 0 {
		return Suspicion{}, false
	}
	for _, id := range parts {
		if t.blocks(id, parts) {
			return t.suspicion(id), true
		}
	}
	return Suspicion{}, false
}

// blocks reports whether a request with the given parts is not to be sent because of one of them.
func (t *Table) blocks(id uint64, parts []uint64) bool {
	p := t.parts[id]
	return p != nil && p.depth >= blockDepth && t.explains(id, parts)
}

// Try reports whether a blocked request is to be sent nevertheless, to find out whether its parts are sound: while all
// requests with a part are refused, no response can clear it. responsible is set at the router that tries the request's
// parts first.
func (t *Table) Try(parts []uint64, responsible bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	var tried []*part
	for _, id := range parts {
		if !t.blocks(id, parts) {
			continue
		}
		p := t.parts[id]
		at := p.blockedUntil()
		if responsible {
			at = p.nextTrial()
		}
		if now.Before(at) {
			return false
		}
		tried = append(tried, p)
	}
	for _, p := range tried {
		p.trials++
		p.triedBefore, p.triedAt = p.triedAt, now
	}
	return true
}

// CancelTrial takes back that a request with the given parts is sent although they are blocked: no engine has run it.
func (t *Table) CancelTrial(parts []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range parts {
		if t.blocks(id, parts) && t.parts[id].trials > 0 {
			p := t.parts[id]
			p.trials--
			p.triedAt = p.triedBefore
		}
	}
}

// nextTrial returns the time from which on the responsible router may send one request with a blocked part.
func (p *part) nextTrial() time.Time {
	pause := trialPeriod
	for n := 0; n < p.trials && pause < maxBlockPeriod; n++ {
		pause *= trialGrowth
	}
	return p.lastEvidence().Add(min(pause, maxBlockPeriod))
}

// lastEvidence returns the time of the last crash, or of this router's last trial if that is later.
func (p *part) lastEvidence() time.Time {
	if p.triedAt.After(p.crashedAt) {
		return p.triedAt
	}
	return p.crashedAt
}

// endedTrials returns the number of trials without one of this router that may be under way.
func (p *part) endedTrials() int {
	if p.triedAt.After(p.crashedAt) {
		return p.trials - 1
	}
	return p.trials
}

// explains reports whether a request with the given parts is held to cause one of the crashes of a part among them: all
// other parts that may have caused it are among them too.
func (t *Table) explains(id uint64, parts []uint64) bool {
	crashes := t.parts[id].crashes
	unexplained := uint32(1)<<len(crashes) - 1
	for other, p := range t.parts {
		if unexplained == 0 {
			return false
		}
		if other != id && p.isRepeated() && !slices.Contains(parts, other) {
			unexplained &^= sharedCrashes(crashes, p.crashes)
		}
	}
	return unexplained != 0
}

// fewestAlternatives returns the other parts that may have caused a crash of a part, for the crash with the fewest of them.
func (t *Table) fewestAlternatives(id uint64) []uint64 {
	crashes := t.parts[id].crashes
	var counts [maxCrashes]int
	for other, p := range t.parts {
		if other == id || !p.isRepeated() {
			continue
		}
		for shared := sharedCrashes(crashes, p.crashes); shared != 0; shared &= shared - 1 {
			counts[bits.TrailingZeros32(shared)]++
		}
	}
	fewest := 0
	for n := range crashes {
		if counts[n] < counts[fewest] {
			fewest = n
		}
	}
	if len(crashes) == 0 || counts[fewest] == 0 {
		return nil
	}
	var out []uint64
	for other, p := range t.parts {
		if other == id || !p.isRepeated() {
			continue
		}
		if _, there := slices.BinarySearch(p.crashes, crashes[fewest]); there {
			out = append(out, other)
		}
	}
	slices.Sort(out)
	return out
}

// isRepeated reports whether the part may explain the crashes of another one.
func (p *part) isRepeated() bool { return len(p.crashes) >= minRepeated }

// sharedCrashes returns a bit for each crash of a that is one of b too. Both are in numerical order, a has maxCrashes at most.
func sharedCrashes(a, b []uint32) (shared uint32) {
	for i, j := 0, 0; i < len(a) && j < len(b); {
		switch {
		case a[i] < b[j]:
			i++
		case a[i] > b[j]:
			j++
		default:
			shared |= 1 << i
			i, j = i+1, j+1
		}
	}
	return shared
}

// blockedUntil returns the time from which on any router may send one request with the part, zero if it is not blocked.
func (p *part) blockedUntil() time.Time {
	if p.depth < blockDepth {
		return time.Time{}
	}
	period := maxBlockPeriod
	if further := p.depth - blockDepth; further < 8 {
		period = min(maxBlockPeriod, blockPeriod<<further)
	}
	return p.lastEvidence().Add(period)
}

// BlockedParts returns the number of parts that are blocked.
func (t *Table) BlockedParts() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, p := range t.parts {
		if p.depth >= blockDepth {
			n++
		}
	}
	return n
}

// suspicion describes a part.
func (t *Table) suspicion(id uint64) Suspicion {
	p := t.parts[id]
	return Suspicion{Part: id, Depth: int(p.depth), Alternatives: t.fewestAlternatives(id), Until: p.blockedUntil()}
}

// expire forgets parts that were last suspected or cleared long ago. A part that was blocked is remembered for longer, so
// that one more crash blocks it again.
func (t *Table) expire(now time.Time) {
	for id, p := range t.parts {
		period := blockPeriod
		if p.depth >= blockDepth {
			period = 2 * maxBlockPeriod
		}
		if now.Sub(p.changedAt) > period {
			delete(t.parts, id)
		}
	}
}
