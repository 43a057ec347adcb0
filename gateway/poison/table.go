// Package poison finds requests, and parts of prompts, that crash the backend servers which begin to answer them, and
// blocks them at all routers. It is the only evidence of crashes that routers keep. Requests that contain a part which
// crashes engines may differ in everything else, so that counting the crashes of whole requests alone would refuse none
// of them; a plain service has no prompts, and its requests are known by their fingerprints only. The package does no I/O.
//
// # Evidence
//
// A crash has one ID at all routers, that of the incarnation which crashed. It counts once, however many routers had
// requests in flight there.
//
// A part is suspected when an engine crashes while a request with it is in flight and has not been answered yet. A
// response to any request with the part clears it: a part that crashes engines is never answered, whatever else the
// prompt holds. A whole request is suspected whether or not its response had begun, and a complete response to it clears
// it. Nor is a crash held against what was answered shortly before, or since: a crash is found by a test connection, or told
// by another router, some time after it. So what many requests share is hardly ever suspected.
//
// The depth of a suspect is the length of its longest chain of crashes in which each request was sent when the crash
// before was known. Crashes at the same time, such as those of a failure domain that loses power, add 1 together.
//
// Parts that were in flight at the same crash may each be its cause. A part is blamed for a crash alone, unless another one
// that has been in flight at further crashes too was there as well, at any router: then only requests with both are
// blocked. So a document's first part is not blamed for a later one: a request with the first part alone goes on to be
// sent, and its response clears the part. A part may explain the crashes of a whole request in the same way. A whole
// request explains none: two that are in flight together would excuse each other.
//
// # Load pattern
//
// A few percent of the requests of one route contain the part, come at any router and are retried by their callers.
// The other requests share their organisation and their other parts. Each crash interrupts the requests of a dozen
// others. Requests with the part are blocked from the third crash of a chain on, at all routers, until one of them is
// answered.
//
// A whole request comes again, as it was, at any router, some of its repeats at the same time. Beside it come sound requests
// that are alike, such as the price of the day, some of which are in flight at most crashes. A whole request is blocked
// from its second crash on, chained or not, or from the third if its response had begun at some of them.
//
// A single blocked request is sent from time to time, at growing intervals. The routers take turns in such trials, because only
// some of them may get the requests, and because two suspects that are tried at once would meet at the same server. Until a
// chain shows more, the crashes of a whole request may be those of one outage, and the first of its trials follows soon.
package poison

import (
	"math/bits"
	"slices"
	"sync"
	"time"
)

const (
	// blockDepth is the depth from which on a suspect is blocked. A whole request is also blocked from blockCrashes crashes on
	// at which no response to it had begun, and from blockAnyCrashes of either kind.
	blockDepth      = 3
	blockCrashes    = 2
	blockAnyCrashes = 3
	// blockPeriod is how long after the last crash of a blocked suspect, or its last trial there, any router sends one
	// request with it. It doubles with each crash after blockDepth, up to maxBlockPeriod.
	blockPeriod    = 5 * time.Minute
	maxBlockPeriod = time.Hour
	// trialPeriod is the time after which the routers begin to take turns, and firstTrialPeriod that before the first trial if
	// the chain is shorter than blockDepth. It grows by trialGrowth with each trial.
	trialPeriod      = 10 * time.Second
	firstTrialPeriod = time.Second
	trialGrowth      = 4
	// trialSlot is the time in which one router after the other may begin trials. trialGuard is the time in which the crash of a
	// trial is found and told: none begins for so long after another one, nor at the end of a slot.
	trialSlot  = 2 * time.Second
	trialGuard = 500 * time.Millisecond
	// maxSuspects bounds the suspects, and maxCrashes the crashes that are remembered of each.
	maxSuspects = 4096
	maxCrashes  = 32
	// minRepeated is the number of crashes from which on a part may explain those of another suspect.
	minRepeated = 2
)

// Request is what a request consists of, as far as it may crash a backend server.
type Request struct {
	// Fingerprint identifies the whole request: repeats have the same one. 0 means that it is not known.
	Fingerprint uint64
	// Parts are the parts of its prompt that other requests may share.
	Parts []uint64
}

// suspects calls yield with the whole request and each of the parts.
func (r Request) suspects(yield func(suspect) bool) {
	if r.Fingerprint != 0 && !yield(suspect{id: r.Fingerprint, request: true}) {
		return
	}
	for _, id := range r.Parts {
		if !yield(suspect{id: id}) {
			return
		}
	}
}

// suspect names a part, or a whole request.
type suspect struct {
	id      uint64
	request bool
}

// Table holds what one router knows about suspects. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	now      func() time.Time
	evidence map[suspect]*evidence
	answers  answers
	// trialBegan is when this router began its last trial, zero if it has ended well.
	trialBegan time.Time
}

// evidence is what is known about one suspect.
type evidence struct {
	// generation is the number of times that the suspect was cleared. What is known of an earlier one is void.
	generation uint32
	// depth is the length of the longest chain of crashes, 0 for a suspect that was cleared.
	depth uint32
	// clearedStrength is the strength that the suspect had when it was cleared last.
	clearedStrength uint32
	// crashes identify the crashes, and begun those of a whole request at which its response had begun. A crash is among both
	// if several repeats were in flight.
	crashes, begun crashList
	crashedAt      time.Time
	// changedAt is when this table last learned something about the suspect.
	changedAt time.Time
	// trials is the number of requests that the routers have sent while the suspect was blocked, triedAt the time of this
	// router's last.
	trials  int
	triedAt time.Time
	// triedBefore is the time of the trial before that.
	triedBefore time.Time
}

// Attempt is one attempt to send a request, with what was known of its suspects at that time.
type Attempt struct {
	request Request
	marks   map[suspect]mark
	// begun is set if the response had begun.
	begun bool
}

// Parts returns the parts of the request.
func (a *Attempt) Parts() []uint64 { return a.request.Parts }

// Begun returns the attempt as one whose response has begun: its parts are not to blame for a crash, and the whole request is
// less likely to be.
func (a *Attempt) Begun() *Attempt {
	return &Attempt{request: Request{Fingerprint: a.request.Fingerprint}, marks: a.marks, begun: true}
}

// mark is what was known about a suspect.
type mark struct{ generation, depth uint32 }

// Suspicion describes a blocked suspect.
type Suspicion struct {
	// ID is that of a part, or the fingerprint of a whole request if Request is set.
	ID      uint64
	Request bool
	// Crashes is the number of crashes in a chain, or of all crashes of a whole request if that is higher.
	Crashes int
	// Alternatives are the fewest other parts that may have caused one of its crashes instead. A request without one of
	// them is not blocked.
	Alternatives []uint64
	// NextTrial is the time from which on the routers may try one request with the suspect in turn, Until when any router may.
	NextTrial, Until time.Time
}

// NewTable returns a table without suspects.
func NewTable() *Table { return &Table{now: time.Now, evidence: make(map[suspect]*evidence)} }

// Begin returns an attempt to send a request, whose parts it keeps.
func (t *Table) Begin(r Request) *Attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := &Attempt{request: r}
	if len(t.evidence) == 0 {
		return a
	}
	for s := range r.suspects {
		if e := t.evidence[s]; e != nil {
			if a.marks == nil {
				a.marks = make(map[suspect]mark)
			}
			a.marks[s] = mark{e.generation, e.depth}
		}
	}
	return a
}

// RecordCrash records that a backend server crashed while the given attempts were in flight, and returns which of their
// suspects are blocked now. crash identifies the crash at all routers, and at is when the first connection to the server
// broke.
func (t *Table) RecordCrash(crash uint32, at time.Time, attempts []*Attempt) []Suspicion {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.expire(now)
	depths := make(map[suspect]uint32)
	unanswered := make(map[suspect]bool)
	for _, a := range attempts {
		for s := range a.request.suspects {
			if t.answers.clears(s, at) {
				continue
			}
			known, depth := a.marks[s], uint32(1)
			if e := t.evidence[s]; e == nil || e.generation == known.generation {
				depth += known.depth
			}
			depths[s] = max(depths[s], depth)
			unanswered[s] = unanswered[s] || !a.begun
		}
	}
	var blocked []suspect
	for s, depth := range depths {
		e := t.addSuspect(s, now)
		if e == nil {
			continue
		}
		e.depth = max(e.depth, depth)
		if unanswered[s] {
			e.crashes.add(crash)
		} else {
			e.begun.add(crash)
		}
		e.changedAt = now
		if at.After(e.crashedAt) {
			e.crashedAt = at
		}
		if e.blocked(s) {
			blocked = append(blocked, s)
		}
	}
	return t.suspicions(blocked)
}

// addSuspect returns the evidence about a suspect, which may be new. It is nil if there are too many suspects.
func (t *Table) addSuspect(s suspect, now time.Time) *evidence {
	e := t.evidence[s]
	if e == nil && t.makeRoom() {
		e = &evidence{changedAt: now}
		t.evidence[s] = e
	}
	return e
}

// makeRoom forgets the suspect with the oldest news among those of a single crash if there are maxSuspects. It reports whether
// one more can be added.
func (t *Table) makeRoom() bool {
	if len(t.evidence) < maxSuspects {
		return true
	}
	var oldest suspect
	var least *evidence
	for s, e := range t.evidence {
		if e.strength(s) < minRepeated && (least == nil || e.changedAt.Before(least.changedAt)) {
			oldest, least = s, e
		}
	}
	delete(t.evidence, oldest)
	return len(t.evidence) < maxSuspects
}

// crashList holds the IDs of at most maxCrashes crashes, the lowest ones, in numerical order.
type crashList []uint32

// add adds a crash and reports whether it was not known.
func (l *crashList) add(crash uint32) (added bool) {
	at, known := slices.BinarySearch(*l, crash)
	if known || at >= maxCrashes {
		return false
	}
	*l = slices.Insert(*l, at, crash)
	*l = (*l)[:min(maxCrashes, len(*l))]
	return true
}

// allCrashes returns the crashes, whether or not a response had begun.
func (e *evidence) allCrashes() crashList {
	if len(e.begun) == 0 {
		return e.crashes
	}
	all := slices.Clone(e.crashes)
	for _, crash := range e.begun {
		all.add(crash)
	}
	return all
}

// strength returns the number of crashes that count against a suspect.
func (e *evidence) strength(s suspect) uint32 {
	if s.request {
		return max(e.depth, uint32(len(e.allCrashes())))
	}
	return e.depth
}

// blocked reports whether requests with the suspect are not to be sent, unless other parts explain its crashes.
func (e *evidence) blocked(s suspect) bool {
	switch {
	case e.depth >= blockDepth:
		return true
	case !s.request:
		return false
	default:
		return len(e.crashes) >= blockCrashes || len(e.allCrashes()) >= blockAnyCrashes
	}
}

// RecordAnswer records that a backend server has begun to answer a request. It returns its parts that were blocked.
func (t *Table) RecordAnswer(r Request) (unblocked []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, id := range r.Parts {
		if t.clear(suspect{id: id}, now) {
			unblocked = append(unblocked, id)
		}
	}
	return unblocked
}

// RecordCompletion records that a backend server has answered a whole request. It reports whether that was blocked.
func (t *Table) RecordCompletion(r Request) (unblocked bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Fingerprint == 0 {
		return false
	}
	return t.clear(suspect{id: r.Fingerprint, request: true}, t.now())
}

// clear voids the crashes of a suspect and reports whether it was blocked.
func (t *Table) clear(s suspect, now time.Time) (unblocked bool) {
	t.answers.add(s, now)
	e := t.evidence[s]
	if e == nil || e.depth == 0 {
		return false
	}
	unblocked = e.blocked(s)
	if unblocked {
		t.trialBegan = time.Time{}
	}
	*e = evidence{generation: e.generation + 1, clearedStrength: e.strength(s), changedAt: now}
	return unblocked
}

// Blocked returns the suspicion for which a request is not to be sent. ok is false if it may be.
func (t *Table) Blocked(r Request) (out Suspicion, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.evidence) == 0 {
		return Suspicion{}, false
	}
	for s := range r.suspects {
		if t.blocks(s, r) {
			return t.suspicion(s), true
		}
	}
	return Suspicion{}, false
}

// blocks reports whether a request is not to be sent because of one of its suspects.
func (t *Table) blocks(s suspect, r Request) bool {
	e := t.evidence[s]
	return e != nil && e.blocked(s) && t.explains(s, r)
}

// Turn is the place of a router in the order in which the routers make trials, which is the same for all suspects.
type Turn struct {
	// Rank is the number of routers before this one, and Routers the number of all.
	Rank, Routers int
}

// Try reports whether a blocked request is to be sent nevertheless, to find out whether it is sound: while all requests with
// a suspect are refused, no response can clear it. In the fleet one request is tried at a time: two that meet at one server
// would both be blamed for its crash.
func (t *Table) Try(r Request, turn Turn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	tried, due := t.due(r, turn, now)
	if len(tried) > 0 {
		t.trialBegan = now
	}
	for _, e := range tried {
		e.trials++
		e.triedBefore, e.triedAt = e.triedAt, now
	}
	return due
}

// WouldTry reports what Try would, without beginning a trial.
func (t *Table) WouldTry(r Request, turn Turn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, due := t.due(r, turn, t.now())
	return due
}

// due reports whether a blocked request may be tried now, and returns the evidence about its blocked suspects.
func (t *Table) due(r Request, turn Turn, now time.Time) (tried []*evidence, due bool) {
	if now.Sub(t.trialBegan) < trialGuard {
		return nil, false
	}
	lastCrash := t.lastCrash()
	for s := range r.suspects {
		if !t.blocks(s, r) {
			continue
		}
		e := t.evidence[s]
		if now.Before(e.blockedUntil()) && (now.Before(e.nextTrial()) || !turn.is(now.Sub(lastCrash))) {
			return nil, false
		}
		tried = append(tried, e)
	}
	return tried, true
}

// lastCrash returns the time of the last crash of a blocked suspect, which all routers know.
func (t *Table) lastCrash() time.Time {
	var last time.Time
	for s, e := range t.evidence {
		if e.blocked(s) && e.crashedAt.After(last) {
			last = e.crashedAt
		}
	}
	return last
}

// is reports whether it is the router's turn the given time after the last crash.
func (t Turn) is(since time.Duration) bool {
	if t.Routers <= 1 {
		return true
	}
	slot, within := int(since/trialSlot), since%trialSlot
	return slot%t.Routers == t.Rank && within < trialSlot-trialGuard
}

// CancelTrial takes back that a request is sent although it is blocked: no backend server has run it.
func (t *Table) CancelTrial(r Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for s := range r.suspects {
		if t.blocks(s, r) && t.evidence[s].trials > 0 {
			e := t.evidence[s]
			e.trials--
			e.triedAt = e.triedBefore
			t.trialBegan = time.Time{}
		}
	}
}

// nextTrial returns the time from which on the routers may try one request with a blocked suspect in turn.
func (e *evidence) nextTrial() time.Time {
	if e.trials == 0 && e.depth < blockDepth {
		return e.lastEvidence().Add(firstTrialPeriod)
	}
	pause := trialPeriod
	for n := 0; n < e.trials && pause < maxBlockPeriod; n++ {
		pause *= trialGrowth
	}
	return e.lastEvidence().Add(min(pause, maxBlockPeriod))
}

// lastEvidence returns the time of the last crash, or of this router's last trial if that is later.
func (e *evidence) lastEvidence() time.Time {
	if e.triedAt.After(e.crashedAt) {
		return e.triedAt
	}
	return e.crashedAt
}

// endedTrials returns the number of trials without one of this router that may be under way.
func (e *evidence) endedTrials() int {
	if e.triedAt.After(e.crashedAt) {
		return e.trials - 1
	}
	return e.trials
}

// explains reports whether a request is held to cause one of the crashes of a suspect of its own: all other parts that may
// have caused it are among its parts too.
func (t *Table) explains(s suspect, r Request) bool {
	crashes := t.evidence[s].allCrashes()
	unexplained := uint32(1)<<len(crashes) - 1
	for other, e := range t.evidence {
		if unexplained == 0 {
			return false
		}
		if other != s && e.mayExplain(other) && !slices.Contains(r.Parts, other.id) {
			unexplained &^= sharedCrashes(crashes, e.crashes)
		}
	}
	return unexplained != 0
}

// fewestAlternatives returns the other parts that may have caused a crash of a suspect, for the crash with the fewest of
// them.
func (t *Table) fewestAlternatives(s suspect) []uint64 {
	crashes := t.evidence[s].allCrashes()
	var counts [maxCrashes]int
	for other, e := range t.evidence {
		if other == s || !e.mayExplain(other) {
			continue
		}
		for shared := sharedCrashes(crashes, e.crashes); shared != 0; shared &= shared - 1 {
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
	for other, e := range t.evidence {
		if other == s || !e.mayExplain(other) {
			continue
		}
		if _, there := slices.BinarySearch(e.crashes, crashes[fewest]); there {
			out = append(out, other.id)
		}
	}
	slices.Sort(out)
	return out
}

// mayExplain reports whether the suspect, whose evidence this is, may explain the crashes of another one.
func (e *evidence) mayExplain(s suspect) bool { return !s.request && len(e.crashes) >= minRepeated }

// sharedCrashes returns a bit for each crash of a that is one of b too.
func sharedCrashes(a, b crashList) (shared uint32) {
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

// blockedUntil returns the time from which on any router may send one request with a blocked suspect.
func (e *evidence) blockedUntil() time.Time {
	period := maxBlockPeriod
	if further := max(e.depth, blockDepth) - blockDepth; further < 8 {
		period = min(maxBlockPeriod, blockPeriod<<further)
	}
	return e.lastEvidence().Add(period)
}

// Counts are the numbers of suspects, and of the parts and whole requests among them that are blocked.
type Counts struct{ Suspects, BlockedParts, BlockedRequests int }

// Counts returns the numbers of suspects.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out Counts
	for s, e := range t.evidence {
		if e.depth > 0 {
			out.Suspects++
		}
		switch {
		case !e.blocked(s):
		case s.request:
			out.BlockedRequests++
		default:
			out.BlockedParts++
		}
	}
	return out
}

// suspicions describes blocked suspects.
func (t *Table) suspicions(blocked []suspect) []Suspicion {
	out := make([]Suspicion, 0, len(blocked))
	for _, s := range blocked {
		out = append(out, t.suspicion(s))
	}
	return out
}

func (t *Table) suspicion(s suspect) Suspicion {
	e := t.evidence[s]
	return Suspicion{
		ID: s.id, Request: s.request, Crashes: int(e.strength(s)), Alternatives: t.fewestAlternatives(s),
		NextTrial: e.nextTrial(), Until: e.blockedUntil(),
	}
}

// expire forgets suspects that were last suspected or cleared long ago. One that was blocked is remembered for longer, so
// that one more crash blocks it again.
func (t *Table) expire(now time.Time) {
	for s, e := range t.evidence {
		period := blockPeriod
		if e.blocked(s) {
			period = 2 * maxBlockPeriod
		}
		if now.Sub(e.changedAt) > period {
			delete(t.evidence, s)
		}
	}
}
