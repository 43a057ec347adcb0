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

// Request is what a Table needs to know of a request.
type Request struct {
	Fingerprint uint64
	// Group is the document group, which decides the preferred instances.
	Group uint64
	// ByToken is set when a valid placement token names this instance.
	ByToken bool
	// Isolate is set when the router asks for a run alone.
	Isolate bool
}

// Decision says whether a request may run here.
type Decision struct {
	// Err is nil when the request may run; otherwise its verdict is NotRun.
	Err *verdict.Error
	// Ask is the instance that may run the request, or empty.
	Ask string
	// Isolate is set when it must run with nothing beside it.
	Isolate bool
}

// Table is the knowledge of one sidecar, or of a router, about requests that crash engines. It is
// safe for concurrent use.
type Table struct {
	self        string
	incarnation uint64
	settings    Settings
	now         func() time.Time
	// rank is the place of this instance in the order of a key, from 0. It is called with mu held.
	rank func(key uint64) int

	mu       sync.Mutex
	warm     bool
	started  time.Time
	members  []string
	hashes   []uint64
	entries  map[uint64]*entry
	running  map[*Run]struct{}
	crashSeq uint64
	cursor   uint64
}

// Run is a request in flight.
type Run struct {
	fingerprint uint64
	// beside is set when a run of another fingerprint was in flight at the same time.
	beside bool
	// probation is set when the run started in probation.
	probation bool
}

// NewTable returns a table that refuses all requests until Warm. A router passes an empty self and
// uses Check only.
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

// SetRank replaces the place of this instance, from 0, in the order of a document group or a
// fingerprint. It must be the order in which routers try instances, must not call the table, and
// must be set before the first request.
func (t *Table) SetRank(rank func(key uint64) int) { t.rank = rank }

// Warm allows requests once Settle has passed since the start. Call it after the table of a peer
// has been merged, or when the instance list shows no peer.
func (t *Table) Warm() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.warm = true
}

// SetMembers sets the instances of the pool, ready or not, this one included.
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
		t.retarget(fingerprint, e, now)
	}
}

// retarget computes the target of an entry and notes since when it is the target.
func (t *Table) retarget(fingerprint uint64, e *entry, now time.Time) {
	target := rendezvous.First(fingerprint, t.members)
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

// state returns the state of an entry, which may be nil, after the excuse by age.
func (t *Table) state(e *entry, now time.Time) State {
	if e == nil {
		return Clean
	}
	if now.Sub(e.last) >= t.settings.ExcuseAfter {
		e.excuseByAge()
		e.hinted = false
	}
	return e.state(t.settings)
}

// Check decides before admission. The sidecar then waits for admission, isolated when the decision
// says so, and calls Start, which decides again.
func (t *Table) Check(r Request) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.check(r, t.now())
}

func (t *Table) check(r Request, now time.Time) Decision {
	if t.self != "" && !t.warmed(now) {
		return Decision{Err: notRun(verdict.ReasonNotReady, "waiting for news of crashing requests", t.settings.Settle)}
	}
	e := t.entries[r.Fingerprint]
	state := t.state(e, now)
	if state == Clean && r.Isolate {
		e = t.hint(r.Fingerprint, now)
		state = Suspected
	}
	switch state {
	case Refused:
		e.last = now
		return Decision{Err: notRun(verdict.ReasonCrashRefused, "the request crashed engines", 0)}
	case Suspected:
		return t.checkTarget(e, now, true)
	case Probation:
		return t.checkTarget(e, now, r.Isolate)
	default:
		return t.checkExposure(r)
	}
}

// warmed reports whether requests may run: news of earlier crashes has had time to arrive.
func (t *Table) warmed(now time.Time) bool {
	alone := len(t.members) <= 1
	return t.warm && (alone || now.Sub(t.started) >= t.settings.Settle)
}

// checkTarget lets a request run on its target only, and only after news of earlier crashes on
// another target has had time to arrive.
func (t *Table) checkTarget(e *entry, now time.Time, isolate bool) Decision {
	if e.target != t.self {
		d := Decision{Ask: e.target, Isolate: isolate}
		if t.self != "" {
			d.Err = notRun(verdict.ReasonCrashSuspect, "the request must run on another instance", 0)
		}
		return d
	}
	since := e.targetSince
	if e.learned.After(since) {
		since = e.learned
	}
	left := t.settings.Settle - now.Sub(since)
	if left > 0 && len(t.members) > 1 {
		return Decision{Err: notRun(verdict.ReasonCrashSuspect, "the request was in flight at a crash", left)}
	}
	return Decision{Isolate: isolate}
}

// checkExposure lets a clean request run on its exposure set only.
func (t *Table) checkExposure(r Request) Decision {
	s := t.settings
	if t.self == "" || r.ByToken || s.exposureOff() {
		return Decision{}
	}
	if t.rank(r.Group) < s.ExposureGroup {
		return Decision{}
	}
	if t.rank(r.Fingerprint) < s.ExposureFingerprint {
		return Decision{}
	}
	return Decision{Err: notRun(verdict.ReasonNotTarget, "the instance is outside the request's exposure set", 0)}
}

// hint creates an entry for a router that knows of a crash that is not known here yet.
func (t *Table) hint(fingerprint uint64, now time.Time) *entry {
	e := t.entry(fingerprint, now)
	if !e.hinted {
		e.hinted = true
		e.last = now
		e.learned = now
	}
	return e
}

// entry returns the entry of a fingerprint, creating it.
func (t *Table) entry(fingerprint uint64, now time.Time) *entry {
	e, ok := t.entries[fingerprint]
	if !ok {
		t.makeRoom(now)
		e = &entry{learned: now}
		t.entries[fingerprint] = e
		t.retarget(fingerprint, e, now)
	}
	return e
}

func notRun(reason verdict.Reason, detail string, after time.Duration) *verdict.Error {
	err := verdict.New(verdict.NotRun, reason, detail)
	err.RetryAfter = after
	return err
}

// Start decides again and notes the request as in flight. isolated says that admission granted a
// run alone. On a refusal the run is nil and the grant must be freed.
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
			other.beside = true
			run.beside = true
		}
	}
	t.running[run] = struct{}{}
	return run, d
}

// Finish notes that a request is no longer in flight. completed says that the engine ran it to its
// end; a request that was cancelled or failed proves nothing. A second call has no effect.
func (t *Table) Finish(run *Run, completed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.running[run]; !ok {
		return
	}
	delete(t.running, run)
	e, known := t.entries[run.fingerprint]
	if !known || !completed || (run.beside && !run.probation) {
		return
	}
	if t.state(e, t.now()) != Refused {
		e.clear()
	}
}

// Crash notes that the engine crashed with the runs in flight and forgets them. It returns how many
// fingerprints became suspects; the sidecar should then exchange with peers at once.
func (t *Table) Crash() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.crashSeq++
	id := t.crashID()
	seen := make(map[uint64]bool, len(t.running))
	for run := range t.running {
		seen[run.fingerprint] = seen[run.fingerprint] || run.beside
	}
	t.running = make(map[*Run]struct{})
	for fingerprint, beside := range seen {
		e := t.entry(fingerprint, now)
		t.learn(e, []crash{{id: id, alone: !beside}}, now, now)
	}
	t.excuseExplained()
	return len(seen)
}

func (t *Table) crashID() uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(t.self)
	_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, t.incarnation))
	_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, t.crashSeq))
	return digest.Sum64()
}
