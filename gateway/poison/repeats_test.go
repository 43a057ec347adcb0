package poison

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"jacinthfork.example/jacinthfork/internal/proptest"
)

// Fingerprints of the two requests of a repeatModel.
const (
	crasher = 1
	popular = 2
)

const (
	// stable is the time after the allowed crashes from which on requests that crash workers count, and maxLate the number
	// of those that may reach workers.
	stable         = 3 * time.Second
	allowedCrashes = 3
	maxLate        = 3
	// maxRefusedShare is the share of the popular requests that may be refused.
	maxRefusedShare = 0.25
	modelTick       = 10 * time.Millisecond
)

// repeatModel replays the load pattern of whole requests: one that crashes each worker which begins to run it comes again
// and again at any router, and a sound one is sent by many callers at the same time, while workers also crash for reasons
// of their own.
type repeatModel struct {
	clock  *clock
	random *rand.Rand
	tables []*Table
	// downUntil and incarnation are those of each worker.
	downUntil   []time.Time
	incarnation []uint32
	flights     []*modelFlight
	reports     []modelReport
	// attempts is the number of workers to which a router sends a request one after another, and callerRetries that of the
	// routers that the caller of the crashing one tries.
	attempts, callerRetries int
	// crashed are the times at which the crashing request reached a worker.
	crashed                []time.Time
	sent, refused, sounded int
}

// modelFlight is an attempt under way.
type modelFlight struct {
	router, worker int
	fingerprint    uint64
	attempt        *Attempt
	sentAt, endsAt time.Time
	attemptsLeft   int
	callersLeft    int
}

// modelReport is a crash that a router finds later.
type modelReport struct {
	router   int
	crash    uint32
	at, due  time.Time
	attempts []*Attempt
}

func (m *repeatModel) request(fingerprint uint64) Request { return Request{Fingerprint: fingerprint} }

// send sends a request from a router to a worker that is up. It reports whether the request was refused as one that crashes
// workers.
func (m *repeatModel) send(router int, fingerprint uint64, attemptsLeft, callersLeft int, trial bool) (refused bool) {
	t := m.tables[router]
	if _, blocked := t.Blocked(m.request(fingerprint)); blocked && !trial {
		if attemptsLeft < m.attempts || !t.Try(m.request(fingerprint), Turn{router, len(m.tables)}) {
			return true
		}
		trial = true
	}
	now := m.clock.at
	up := make([]int, 0, len(m.downUntil))
	for w, until := range m.downUntil {
		if !now.Before(until) {
			up = append(up, w)
		}
	}
	if len(up) == 0 {
		if trial {
			t.CancelTrial(m.request(fingerprint))
		}
		return false
	}
	f := &modelFlight{
		router: router, worker: up[m.random.IntN(len(up))], fingerprint: fingerprint, attempt: t.Begin(m.request(fingerprint)),
		sentAt: now, attemptsLeft: attemptsLeft - 1, callersLeft: callersLeft,
	}
	f.endsAt = now.Add(time.Duration(10+m.random.IntN(100)) * time.Millisecond)
	if fingerprint == crasher {
		f.endsAt = now.Add(time.Duration(m.random.IntN(30)) * time.Millisecond)
		m.crashed = append(m.crashed, now)
	}
	m.flights = append(m.flights, f)
	return false
}

// crash crashes a worker, and with it the requests in flight there.
func (m *repeatModel) crash(worker int) {
	now := m.clock.at
	crash := m.incarnation[worker]*100 + uint32(worker) + 1
	m.incarnation[worker]++
	m.downUntil[worker] = now.Add(time.Duration(2000+m.random.IntN(2500)) * time.Millisecond)
	byRouter := make([][]*Attempt, len(m.tables))
	var kept, broken []*modelFlight
	for _, f := range m.flights {
		if f.worker != worker {
			kept = append(kept, f)
			continue
		}
		byRouter[f.router] = append(byRouter[f.router], f.attempt)
		broken = append(broken, f)
	}
	m.flights = kept
	for router, attempts := range byRouter {
		if len(attempts) == 0 {
			continue
		}
		due := now.Add(time.Duration(150+m.random.IntN(300)) * time.Millisecond)
		m.reports = append(m.reports, modelReport{router: router, crash: crash, at: now, due: due, attempts: attempts})
	}
	for _, f := range broken {
		switch {
		case f.attemptsLeft > 0:
			m.send(f.router, f.fingerprint, f.attemptsLeft, f.callersLeft, false)
		case f.fingerprint == crasher && f.callersLeft > 0:
			m.send(m.random.IntN(len(m.tables)), crasher, m.attempts, f.callersLeft-1, false)
		}
	}
}

// step advances the model by one tick.
func (m *repeatModel) step() {
	m.clock.at = m.clock.at.Add(modelTick)
	now := m.clock.at
	crashing := make([]bool, len(m.downUntil))
	var kept []*modelFlight
	for _, f := range m.flights {
		switch {
		case now.Before(f.endsAt):
			kept = append(kept, f)
		case f.fingerprint == crasher:
			crashing[f.worker] = true
			kept = append(kept, f)
		default:
			m.sounded++
			m.tables[f.router].RecordCompletion(m.request(f.fingerprint))
		}
	}
	m.flights = kept
	for worker, crashes := range crashing {
		if crashes {
			m.crash(worker)
		}
	}
	var waiting []modelReport
	for _, r := range m.reports {
		if now.Before(r.due) {
			waiting = append(waiting, r)
			continue
		}
		m.tables[r.router].RecordCrash(r.crash, r.at, r.attempts)
	}
	m.reports = waiting
}

// late returns the number of requests that reached a worker later than stable after the third crash.
func (m *repeatModel) late() int {
	if len(m.crashed) < allowedCrashes {
		return 0
	}
	third, late := m.crashed[allowedCrashes-1], 0
	for _, at := range m.crashed {
		if at.Sub(third) > stable {
			late++
		}
	}
	return late
}

// Guards against a request that crashes workers for longer than it takes to refuse it, and against a sound one beside it that
// is refused: what lets one back in must not let in the other.
func TestCrashingAndPopularRequestsAreToldApart(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		routers := rapid.IntRange(1, 6).Draw(t, "routers")
		workers := rapid.IntRange(2, 12).Draw(t, "workers")
		c, tables := newTables(routers)
		m := &repeatModel{
			clock: c, tables: tables, downUntil: make([]time.Time, workers), incarnation: make([]uint32, workers),
			random:   rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
			attempts: rapid.IntRange(1, 2).Draw(t, "attempts"), callerRetries: rapid.IntRange(0, 1).Draw(t, "caller retries"),
		}
		crasherPause := time.Duration(rapid.IntRange(100, 6000).Draw(t, "time between crashing requests in ms")) * time.Millisecond
		popularPause := time.Duration(rapid.IntRange(1, 50).Draw(t, "time between popular requests in 10 ms")) * modelTick
		burst := rapid.IntRange(1, 8).Draw(t, "popular requests at once")
		ownPause := time.Duration(rapid.IntRange(5, 60).Draw(t, "time between other crashes of a worker in s")) * time.Second / time.Duration(workers)
		exchangePause := time.Duration(rapid.IntRange(10, 50).Draw(t, "time between exchanges in 10 ms")) * modelTick
		const warmUp, duration = 2 * time.Second, time.Minute
		begin := c.at
		next := map[string]time.Time{"crasher": begin.Add(warmUp), "own": begin.Add(warmUp)}
		due := func(name string, pause time.Duration) bool {
			if c.at.Before(next[name]) {
				return false
			}
			next[name] = c.at.Add(pause)
			return true
		}
		for c.at.Sub(begin) < duration {
			m.step()
			if due("crasher", crasherPause) {
				m.send(m.random.IntN(routers), crasher, m.attempts, m.callerRetries, false)
			}
			if due("popular", popularPause) {
				for range burst {
					m.sent++
					if m.send(m.random.IntN(routers), popular, m.attempts, 0, false) {
						m.refused++
					}
				}
			}
			if due("own", ownPause) {
				m.crash(m.random.IntN(workers))
			}
			if due("exchange", exchangePause) {
				exchange(tables...)
			}
		}
		if late := m.late(); late > maxLate {
			t.Fatalf("the crashing request reached workers %d times later than %v after its third crash, %d times in all", late, stable, len(m.crashed))
		}
		if share := float64(m.refused) / float64(m.sent); share > maxRefusedShare {
			t.Fatalf("%d of %d popular requests were refused", m.refused, m.sent)
		}
	})
}

// Guards against a request that is refused for crashes although it was answered just before, or before the crash was found.
func TestAnswersNearACrashVoidIt(t *testing.T) {
	is := is.New(t)
	c, all := newTables(2)
	request := Request{Fingerprint: popular}
	before := c.at
	attempt := all[0].Begin(request)
	c.at = c.at.Add(50 * time.Millisecond)
	all[0].RecordCompletion(request)
	c.at = c.at.Add(150 * time.Millisecond)
	crashes++
	all[0].RecordCrash(crashes, before, []*Attempt{attempt})
	is.Equal(all[0].Counts(), Counts{})

	// The other router has been told of the crash by a third one.
	third := newTableAt(c)
	third.RecordCrash(crashes, before, []*Attempt{third.Begin(request)})
	exchange(third, all[0])
	exchange(third, all[0])
	is.Equal(third.Counts().Suspects, 0)

	c.at = before.Add(answerProtection)
	crashes++
	all[0].RecordCrash(crashes, c.at, []*Attempt{all[0].Begin(request)})
	is.Equal(all[0].Counts().Suspects, 0)
	// An answer from longer before does not count.
	c.at = c.at.Add(time.Second)
	crashes++
	all[0].RecordCrash(crashes, c.at, []*Attempt{all[0].Begin(request)})
	is.Equal(all[0].Counts().Suspects, 1)
}

// Guards against trials by several routers at once, and against a request that is not tried because the first router of its
// order gets none of its repeats.
func TestRoutersTryOneAfterAnother(t *testing.T) {
	is := is.New(t)
	c, all := newTables(3)
	request := Request{Fingerprint: crasher}
	for range blockCrashes {
		crashes++
		all[0].RecordCrash(crashes, c.at, []*Attempt{{request: request}})
	}
	exchange(all...)
	for _, table := range all {
		_, blocked := table.Blocked(request)
		is.True(blocked)
	}
	turn := func(rank int) Turn { return Turn{rank, len(all)} }
	crashedAt := c.at
	is.True(!all[0].Try(request, turn(0)))
	// The time of the first router's turn is over.
	c.at = crashedAt.Add(2 * trialSlot)
	is.True(!all[0].Try(request, turn(0)))
	is.True(!all[1].Try(request, turn(1)))
	is.True(all[2].Try(request, turn(2)))
	crashes++
	crashedAt = c.at
	all[2].RecordCrash(crashes, crashedAt, []*Attempt{all[2].Begin(request)})
	// Another router may not have been told when the first one's turn comes.
	c.at = crashedAt.Add(trialSlot - trialGuard)
	for rank, table := range all {
		is.True(!table.Try(request, turn(rank)))
	}
	exchange(all...)
	// The second trial follows much later.
	c.at = crashedAt.Add(trialGrowth*trialPeriod - time.Millisecond)
	for rank, table := range all {
		is.True(!table.Try(request, turn(rank)))
	}
	c.at = c.at.Add(time.Millisecond)
	for range len(all) {
		tried := 0
		for rank, table := range all {
			if table.Try(request, turn(rank)) {
				tried++
			}
		}
		is.Equal(tried, 1)
		c.at = c.at.Add(trialSlot)
	}
}

// Guards against a sound request that stays blocked because its trial met that of the request which crashes workers.
func TestOneRequestIsTriedAtATime(t *testing.T) {
	is := is.New(t)
	c, table := newTable()
	a, b := Request{Fingerprint: crasher}, Request{Fingerprint: popular}
	alone := Turn{Rank: 0, Routers: 1}
	for range blockCrashes {
		crashes++
		table.RecordCrash(crashes, c.at, []*Attempt{table.Begin(a), table.Begin(b)})
	}
	c.at = c.at.Add(firstTrialPeriod)
	is.True(table.Try(a, alone))
	is.True(!table.Try(b, alone))
	// It reached no server.
	table.CancelTrial(a)
	is.True(table.Try(b, alone))
	is.True(!table.Try(a, alone))
	// It was answered.
	is.True(table.RecordCompletion(b))
	is.True(table.Try(a, alone))
}

// Guards against a table that is full of requests which were in flight at one crash each, so that a request that crashes one
// worker after the other is not recorded any more.
func TestCrashingRequestIsFoundInAFullTable(t *testing.T) {
	is := is.New(t)
	c, table := newTable()
	for i := range uint64(2 * maxSuspects) {
		c.at = c.at.Add(time.Millisecond)
		crashes++
		table.RecordCrash(crashes, c.at, []*Attempt{{request: Request{Fingerprint: 1000 + i}}})
	}
	for range blockCrashes {
		crashes++
		table.RecordCrash(crashes, c.at, []*Attempt{table.Begin(Request{Fingerprint: crasher})})
	}
	_, blocked := table.Blocked(Request{Fingerprint: crasher})
	is.True(blocked)
	is.True(len(table.evidence) <= maxSuspects)
}

// Guards against control traffic that stays high for minutes after an outage, and against a router that has just started and is
// never told of some of the requests that are blocked since.
func TestManyBlockedRequestsAreToldSlowly(t *testing.T) {
	const blockedRequests = 100
	is := is.New(t)
	c, all := newTables(2)
	for i := range uint64(blockedRequests) {
		for range blockCrashes {
			crashes++
			all[0].RecordCrash(crashes, c.at, []*Attempt{all[0].Begin(Request{Fingerprint: 1000 + i})})
		}
	}
	c.at = c.at.Add(time.Minute)
	_, requests := all[0].Export()
	is.Equal(len(requests), maxOldRequests)
	for range 4 * blockedRequests {
		exchange(all...)
	}
	is.Equal(all[1].Counts().BlockedRequests, blockedRequests)
}

// Guards against two requests in flight at the same crashes that excuse each other, so that the one which crashes workers is
// never refused.
func TestWholeRequestsDoNotExplainEachOther(t *testing.T) {
	is := is.New(t)
	c, table := newTable()
	a, b := Request{Fingerprint: crasher}, Request{Fingerprint: popular}
	for range blockCrashes {
		crashes++
		table.RecordCrash(crashes, c.at, []*Attempt{table.Begin(a), table.Begin(b)})
	}
	_, blocked := table.Blocked(a)
	is.True(blocked)
}

// Guards against a sound request that is refused for a part which crashes engines while it is in flight there.
func TestPartExplainsTheCrashesOfAWholeRequest(t *testing.T) {
	is := is.New(t)
	c, table := newTable()
	sound := Request{Fingerprint: popular, Parts: []uint64{guide}}
	for n := range uint64(blockDepth) {
		crashes++
		table.RecordCrash(crashes, c.at, []*Attempt{table.Begin(sound), table.Begin(Request{Fingerprint: 100 + n, Parts: []uint64{deadly}})})
		table.RecordAnswer(prompt(guide))
	}
	_, refused := table.Blocked(sound)
	is.True(!refused)
	is.True(blocked(table, deadly))
}
