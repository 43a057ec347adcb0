package suspect

import (
	"encoding/binary"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthfork.example/jacinthfork/internal/rendezvous"
	"jacinthfork.example/jacinthfork/verdict"
)

// Request describes a request to a Table.
type Request struct {
	Fingerprint uint64
	// Group identifies the document group, which determines the preferred instances.
	Group uint64
	// NamedByToken is set when a valid placement token names this instance.
	NamedByToken bool
	// Isolate is set when the router asks for the request to run alone.
	Isolate bool
}

// Decision says whether and how a request may run on this instance.
type Decision struct {
	// Err is nil if the request may run; otherwise its verdict is NotRun.
	Err *verdict.Error
	// RedirectTo is the instance that may run the request instead, or empty.
	RedirectTo string
	// Isolate is set if the request must run alone on the engine.
	Isolate bool
}

// Table holds what one sidecar, or a router in front of sidecars, knows about requests that crash engines. It is safe for concurrent use.
type Table struct {
	self        string
	incarnation uint64
	settings    Settings
	now         func() time.Time
	// rank returns the position of this instance, from 0, in the rendezvous order of a key. It is called with
	// mu held.
	rank func(key uint64) int

	mu sync.Mutex
	// synced is set by MarkSynced.
	synced bool
	// started is when the table was created.
	started time.Time
	members []string
	// hashes holds the rendezvous hash of each member, in the order of members.
	hashes  []uint64
	entries map[uint64]*entry
	running map[*Run]struct{}
	// crashSeq is the number of crashes that this table recorded.
	crashSeq uint64
	// exportCursor is the fingerprint at which the next round-robin export starts.
	exportCursor uint64
}

// Run is a request in flight.
type Run struct {
	fingerprint uint64
	// concurrent is set if a run of another fingerprint was in flight at the same time.
	concurrent bool
	// probation is set if the fingerprint was in probation when the run started.
	probation bool
}

// NewTable returns the table of instance self, which refuses all requests until MarkSynced is called. Routers
// pass an empty self: their table needs no MarkSynced, and Check allows every clean request. Routers don't
// call Start, Finish and RecordCrash.
func NewTable(self string, incarnation uint64, settings Settings) (*Table, error) {
	if errs := settings.Validate(); len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	t := &Table{
		self:        self,
		incarnation: incarnation,
		settings:    settings,
		now:         time.Now,
		entries:     make(map[uint64]*entry),
		running:     make(map[*Run]struct{}),
	}
	t.started = t.now()
	own := rendezvous.Hash(self)
	t.rank = func(key uint64) int { return rendezvous.Rank(key, own, t.hashes) }
	return t, nil
}

// SetRank replaces the function that returns the position of this instance, from 0, in the order of a
// document group or a fingerprint. The order must be the one in which routers try instances. The function
// must not call the table and must be set before the first request.
func (t *Table) SetRank(rank func(key uint64) int) { t.rank = rank }

// MarkSynced allows requests once Settle has passed since the start. Call it after merging the table of a
// peer, or when the instance list contains no peer.
func (t *Table) MarkSynced() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.synced = true
}

// SetMembers sets the instances of the pool, ready or not, including this one.
func (t *Table) SetMembers(members []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members = slices.Clone(members)
	t.hashes = t.hashes[:0]
	for _, id := range members {
		t.hashes = append(t.hashes, rendezvous.Hash(id))
	}
	now := t.now()
	for fingerprint, e := range t.entries {
		t.updateTarget(fingerprint, e, now)
	}
}

// updateTarget recomputes the target of an entry and records when it changed.
func (t *Table) updateTarget(fingerprint uint64, e *entry, now time.Time) {
	target := rendezvous.Pick(fingerprint, t.members)
	if target != e.target || e.targetSince.IsZero() {
		e.target = target
		e.targetSince = now
	}
}

// State returns the state of a fingerprint.
func (t *Table) State(fingerprint uint64) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state(t.entries[fingerprint], t.now())
}

// state returns the state of an entry, which may be nil, after applying ExcuseAfter.
func (t *Table) state(e *entry, now time.Time) State {
	if e == nil {
		return Clean
	}
	if now.Sub(e.lastEvent) >= t.settings.ExcuseAfter {
		e.excuseByAge()
		e.hinted = false
	}
	return e.state(t.settings)
}

// Check decides whether a request may run, before admission. The sidecar then waits for admission, isolated
// if the decision requires it, and calls Start, which decides again.
func (t *Table) Check(r Request) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.check(r, t.now())
}

func (t *Table) check(r Request, now time.Time) Decision {
	if t.self != "" && !t.ready(now) {
		return Decision{Err: notRun(verdict.ReasonNotReady, "waiting for news of crashing requests", t.settings.Settle)}
	}
	e := t.entries[r.Fingerprint]
	state := t.state(e, now)
	if state == Clean && r.Isolate {
		e = t.addHint(r.Fingerprint, now)
		state = Suspected
	}
	switch state {
	case Refused:
		e.lastEvent = now
		return Decision{Err: notRun(verdict.ReasonCrashRefused, "the request crashed engines", 0)}
	case Suspected:
		return t.checkTarget(e, now, true)
	case Probation:
		return t.checkTarget(e, now, r.Isolate)
	default:
		return t.checkExposure(r)
	}
}

// ready reports whether requests may run, which is when evidence of earlier crashes has had time to arrive.
func (t *Table) ready(now time.Time) bool {
	single := len(t.members) <= 1
	return t.synced && (single || now.Sub(t.started) >= t.settings.Settle)
}

// checkTarget allows a request on its target only, and only after evidence of earlier crashes on another
// target has had time to arrive.
func (t *Table) checkTarget(e *entry, now time.Time, isolate bool) Decision {
	if e.target != t.self {
		d := Decision{RedirectTo: e.target, Isolate: isolate}
		if t.self != "" {
			d.Err = notRun(verdict.ReasonCrashSuspect, "the request must run on another instance", 0)
		}
		return d
	}
	since := e.targetSince
	if e.learnedAt.After(since) {
		since = e.learnedAt
	}
	left := t.settings.Settle - now.Sub(since)
	if left > 0 && len(t.members) > 1 {
		return Decision{Err: notRun(verdict.ReasonCrashSuspect, "the request was in flight at a crash", left)}
	}
	return Decision{Isolate: isolate}
}

// checkExposure allows a clean request on its exposure set only.
func (t *Table) checkExposure(r Request) Decision {
	s := t.settings
	if t.self == "" || r.NamedByToken || s.exposureUnlimited() {
		return Decision{}
	}
	if t.rank(r.Group) < s.ExposureGroup {
		return Decision{}
	}
	if t.rank(r.Fingerprint) < s.ExposureFingerprint {
		return Decision{}
	}
	return Decision{Err: notRun(verdict.ReasonNotATarget, "the instance is outside the request's exposure set", 0)}
}

// addHint creates an entry for a request that a router wants isolated because of a crash not yet known here.
func (t *Table) addHint(fingerprint uint64, now time.Time) *entry {
	e := t.getOrCreate(fingerprint, now)
	if !e.hinted {
		e.hinted = true
		e.lastEvent = now
		e.learnedAt = now
	}
	return e
}

// getOrCreate returns the entry of a fingerprint and creates it if necessary.
func (t *Table) getOrCreate(fingerprint uint64, now time.Time) *entry {
	e, ok := t.entries[fingerprint]
	if !ok {
		t.evictIfFull(now)
		e = &entry{learnedAt: now}
		t.entries[fingerprint] = e
		t.updateTarget(fingerprint, e, now)
	}
	return e
}

// notRun returns a refusal that tells the caller to retry after the given time, 0 for no hint.
func notRun(reason verdict.Reason, detail string, after time.Duration) *verdict.Error {
	err := verdict.New(verdict.NotRun, reason, detail)
	err.RetryAfter = after
	return err
}

// Start decides again and records the request as in flight. isolated says that admission reserved the engine
// for this request. If the request is refused the run is nil and the caller must release its admission grant.
func (t *Table) Start(r Request, isolated bool) (*Run, Decision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	d := t.check(r, now)
	if d.Err != nil {
		return nil, d
	}
	if d.Isolate && (!isolated || len(t.running) > 0) {
		d.Err = notRun(verdict.ReasonIsolation, "the request must run alone", 0)
		return nil, d
	}
	run := &Run{fingerprint: r.Fingerprint, probation: t.state(t.entries[r.Fingerprint], now) == Probation}
	for other := range t.running {
		if other.fingerprint != run.fingerprint {
			other.concurrent = true
			run.concurrent = true
		}
	}
	t.running[run] = struct{}{}
	return run, d
}

// Finish records that a request is no longer in flight. completed says that the engine ran it to completion;
// a cancelled or failed run proves nothing. Calling it again has no effect.
func (t *Table) Finish(run *Run, completed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.running[run]; !ok {
		return
	}
	delete(t.running, run)
	e, known := t.entries[run.fingerprint]
	if !known || !completed || (run.concurrent && !run.probation) {
		return
	}
	if t.state(e, t.now()) != Refused {
		e.clear()
	}
}

// RecordCrash records that the engine crashed and attributes the crash to the runs in flight, which it
// removes. It returns the number of fingerprints involved; the sidecar should then exchange with its peers
// immediately.
func (t *Table) RecordCrash() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.crashSeq++
	id := t.crashID()
	concurrent := make(map[uint64]bool, len(t.running))
	for run := range t.running {
		concurrent[run.fingerprint] = concurrent[run.fingerprint] || run.concurrent
	}
	t.running = make(map[*Run]struct{})
	for fingerprint, isConcurrent := range concurrent {
		e := t.getOrCreate(fingerprint, now)
		t.mergeEvidence(e, []crash{{id: id, alone: !isConcurrent}}, now, now)
	}
	t.excuseExplained()
	return len(concurrent)
}

// crashID returns the ID of the newest crash, which is unique across instances and their restarts.
func (t *Table) crashID() uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(t.self)
	_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, t.incarnation))
	_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, t.crashSeq))
	return digest.Sum64()
}
