package claim

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"jacinthfork.example/jacinthfork/services"
	"jacinthfork.example/jacinthfork/verdict"
)

type execution struct {
	request int
	at      time.Time
}

type simulation struct {
	script  script
	variant variant
	log     *memLog
	start   time.Time

	mu           sync.Mutex
	random       *rand.Rand
	faultPercent int
	processes    []*process
	executions   map[int][]execution // by key
	ranRequest   map[int]bool
	resultCounts map[string]int
	violations   []string
	wg           sync.WaitGroup
}

// process is one incarnation of a holder's process.
type process struct {
	sim         *simulation
	holder      int
	incarnation uint64
	executor    *Executor
	ctx         context.Context
	cancel      context.CancelFunc
	// The fields below are guarded by simulation.mu.
	dead        bool
	steps       int
	pausedUntil time.Time
	nextOffset  map[string]uint64
}

func (sim *simulation) addViolation(format string, args ...any) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.violations = append(sim.violations, fmt.Sprintf(format, args...))
}

// drawFault draws whether a log operation fails.
func (sim *simulation) drawFault() bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.random.IntN(100) < sim.faultPercent
}

func (sim *simulation) intN(n int) int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.random.IntN(n)
}

// startProcess starts the given incarnation of a holder.
func (sim *simulation) startProcess(holder int, incarnation uint64) {
	p := &process{sim: sim, holder: holder, incarnation: incarnation, nextOffset: make(map[string]uint64)}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	k, err := New(Options{
		Log: &faultyLog{p}, Pool: "pedidos", Instance: fmt.Sprint(holder), Incarnation: incarnation,
		Window: modelWindow, Skew: modelSkew, ClockError: modelClockError, Retention: sim.script.retention,
		Partitions: 1, Bucket: 10 * time.Second, MaxResponseBytes: 64, MaxMemory: 3000,
		HolderLiveness: sim.liveness,
		Now:            func() time.Time { return time.Now().Add(sim.script.skews[holder]) },
	})
	if err != nil {
		panic(err)
	}
	p.executor = k
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.processes[holder] = p
}

// recordLayout stores a layout record, so that the pool is already in use.
func (sim *simulation) recordLayout() {
	k := sim.processes[0].executor
	payload, _ := proto.Marshal(k.layoutRecord())
	sim.log.update(func(l *memLog) { l.store(k.layoutStream(), payload) })
}

// liveness is always correct for ended incarnations and sometimes wrong for a paused one.
func (sim *simulation) liveness(instance string, incarnation uint64) Liveness {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, p := range sim.processes {
		if fmt.Sprint(p.holder) != instance {
			continue
		}
		if p.dead || p.incarnation != incarnation {
			return LivenessEnded
		}
		if time.Now().Before(p.pausedUntil) && sim.random.IntN(2) == 0 {
			return LivenessEnded
		}
		return LivenessAlive
	}
	return LivenessUnknown
}

// step marks a point at which the process can be paused or can crash. It reports false if the process is dead.
func (p *process) step() bool {
	p.sim.mu.Lock()
	p.steps++
	if p.steps == p.sim.script.crashSteps[p.holder] {
		p.kill()
	}
	dead, pause := p.dead, time.Until(p.pausedUntil)
	p.sim.mu.Unlock()
	if dead {
		return false
	}
	if pause > 0 {
		time.Sleep(pause)
		return p.step()
	}
	return true
}

// kill ends the process and starts its successor one second later. simulation.mu must be held.
func (p *process) kill() {
	if p.dead {
		return
	}
	p.dead = true
	p.cancel()
	p.sim.wg.Go(func() {
		p.executor.Close()
		time.Sleep(time.Second)
		p.sim.startProcess(p.holder, p.incarnation+1)
	})
}

// faultyLog is the log as seen by one process, with pauses, crashes and faults.
type faultyLog struct{ p *process }

func (f *faultyLog) Append(ctx context.Context, stream string, payload []byte) (uint64, error) {
	sim := f.p.sim
	unsure := &services.AppendError{MayBeStored: true, Err: errOutage}
	if !f.p.step() {
		return 0, unsure
	}
	time.Sleep(time.Duration(sim.intN(40_000)) * time.Microsecond)
	if sim.drawFault() {
		switch sim.intN(4) {
		case 0: // never stored
			return 0, unsure
		case 1: // stored late, and the reply is lost
			delay := time.Duration(sim.intN(8000)) * time.Millisecond
			sim.wg.Go(func() {
				time.Sleep(delay)
				sim.log.update(func(l *memLog) { l.store(stream, payload) })
			})
			return 0, unsure
		case 2: // stored, and the reply is lost
			sim.log.update(func(l *memLog) { l.store(stream, payload) })
			f.p.step()
			return 0, unsure
		default:
			return 0, &services.AppendError{Err: errOutage}
		}
	}
	offset, err := sim.log.Append(ctx, stream, payload)
	time.Sleep(time.Duration(sim.intN(20_000)) * time.Microsecond)
	if !f.p.step() {
		return 0, unsure
	}
	if err == nil && sim.variant == noReadBack {
		return f.nextExpectedOffset(stream), nil
	}
	return offset, err
}

// nextExpectedOffset returns the offset after the last record read, as if no other process had appended.
func (f *faultyLog) nextExpectedOffset(stream string) uint64 {
	f.p.sim.mu.Lock()
	defer f.p.sim.mu.Unlock()
	f.p.nextOffset[stream]++
	return f.p.nextOffset[stream] - 1
}

func (f *faultyLog) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (services.Page, error) {
	sim := f.p.sim
	if !f.p.step() {
		return services.Page{}, errOutage
	}
	time.Sleep(time.Duration(sim.intN(20_000)) * time.Microsecond)
	if sim.drawFault() {
		return services.Page{}, errOutage
	}
	if sim.variant == claimsExpire {
		sim.releaseOldClaims(stream, f.p)
	}
	page, err := sim.log.Read(ctx, stream, from, limit, wait)
	if !f.p.step() {
		return services.Page{}, errOutage
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	f.p.nextOffset[stream] = max(f.p.nextOffset[stream], from+uint64(len(page.Records)))
	return page, err
}

// releaseOldClaims releases claims of other holders that are older than modelClaimExpiry and have no outcome.
func (sim *simulation) releaseOldClaims(stream string, reader *process) {
	sim.log.update(func(l *memLog) {
		v := newView()
		s := l.streams[stream]
		if s == nil {
			return
		}
		for _, r := range s.records {
			if time.Since(r.Time) < modelClaimExpiry {
				break
			}
			entries, _ := decode(r.Payload)
			for _, e := range entries {
				v.apply(e, r.Offset, true)
			}
		}
		for key, state := range v.keys {
			for _, c := range state.claims {
				if c.holder.instance != fmt.Sprint(reader.holder) {
					l.store(stream, releasePayload(key, c.nonce))
				}
			}
		}
	})
}

// dispatch returns the fake service's handler, which counts the execution after half of the delay.
func (p *process) dispatch(n int, q scriptRequest) func(context.Context) (Outcome, error) {
	sim := p.sim
	return func(context.Context) (Outcome, error) {
		broken := verdict.New(verdict.Unknown, verdict.ReasonConnectionBroken, "connection broken")
		if !p.step() {
			return Outcome{}, broken
		}
		time.Sleep(q.delay / 2)
		switch q.service {
		case serviceRejects:
			return Outcome{}, verdict.New(verdict.NotRun, verdict.ReasonLeaving, "service is leaving")
		case serviceBreaksBeforeRun:
			return Outcome{}, sim.connectionError(broken)
		}
		sim.mu.Lock()
		sim.executions[q.key] = append(sim.executions[q.key], execution{n, time.Now()})
		sim.ranRequest[n] = true
		sim.mu.Unlock()
		time.Sleep(q.delay / 2)
		p.step()
		if q.service == serviceRunsAndBreaks {
			return Outcome{}, sim.connectionError(broken)
		}
		return sim.response(n, q), nil
	}
}

func (sim *simulation) connectionError(broken *verdict.Error) error {
	if sim.variant == unknownIsReleased {
		return verdict.New(verdict.NotRun, verdict.ReasonConnectionBroken, "connection broken")
	}
	return fmt.Errorf("dispatch: %w", broken)
}

func (sim *simulation) response(n int, q scriptRequest) Outcome {
	body := fmt.Sprintf("key %d body %d request %d", q.key, q.body, n)
	if q.service == serviceResponseTooLarge {
		body += strings.Repeat(".", 64)
	}
	return Outcome{Status: 200 + n, Headers: []Header{{"N", fmt.Sprint(n)}}, Body: []byte(body)}
}

func (sim *simulation) request(n int, q scriptRequest) {
	sim.mu.Lock()
	p := sim.processes[q.holder]
	dead := p.dead
	sim.mu.Unlock()
	if dead {
		return
	}
	ctx, cancel := context.WithTimeout(p.ctx, q.deadline)
	defer cancel()
	began := time.Now()
	action := Action{
		Organisation: testOrganisation, Method: "POST", Path: "/pay",
		Key: keyAt(sim.start.Add(sim.script.keyTimes[q.key]), uint16(q.key)), Body: []byte(fmt.Sprint(q.body)),
	}
	out, replayed, err := p.executor.Run(ctx, action, p.dispatch(n, q))
	sim.mu.Lock()
	dead = p.dead
	sim.mu.Unlock()
	// The client of a dead process gets no response.
	if !dead {
		sim.checkResult(n, q, began, out, replayed, err)
	}
}

// checkResult compares one result with the executions that the service has counted so far.
func (sim *simulation) checkResult(n int, q scriptRequest, began time.Time, out Outcome, replayed bool, err error) {
	sim.mu.Lock()
	runs := append([]execution(nil), sim.executions[q.key]...)
	result := "executed"
	if err != nil {
		result = verdict.Of(err).String() + " " + string(verdict.As(err).Reason)
	} else if replayed {
		result = "replayed"
	}
	sim.resultCounts[result]++
	sim.mu.Unlock()
	var e *verdict.Error
	if err != nil && !errors.As(err, &e) {
		sim.addViolation("request %d: error without a verdict: %v", n, err)
		return
	}
	switch verdict.Of(err) {
	case verdict.Ran:
		sim.checkRan(n, q, runs, out, replayed, err)
	case verdict.NotRun:
		sim.wg.Go(func() { sim.checkNeverRuns(n, err) })
		if e.Reason == verdict.ReasonLeaving && len(runs) > 0 && runs[0].at.Before(began) {
			sim.addViolation("request %d: not-run after request %d ran the key", n, runs[0].request)
		}
	}
}

func (sim *simulation) checkRan(n int, q scriptRequest, runs []execution, out Outcome, replayed bool, err error) {
	if len(runs) == 0 {
		sim.addViolation("request %d: ran, but the service counted nothing", n)
		return
	}
	by := sim.script.requests[runs[0].request]
	if replayed == (runs[0].request == n) && err == nil {
		sim.addViolation("request %d: replayed is %v, but request %d executed the key", n, replayed, runs[0].request)
	}
	want := sim.response(runs[0].request, by)
	if err == nil && (by.body != q.body || fmt.Sprint(out) != fmt.Sprint(want)) {
		sim.addViolation("request %d: got %v, want %v", n, out, want)
	}
}

// checkNeverRuns checks at the end of the script, because a not-run verdict must stay true.
func (sim *simulation) checkNeverRuns(n int, err error) {
	time.Sleep(time.Until(sim.start.Add(modelLength)))
	sim.mu.Lock()
	ran := sim.ranRequest[n]
	sim.mu.Unlock()
	if ran {
		sim.addViolation("request %d: got %v, but it ran", n, err)
	}
}

func (sim *simulation) injectFailure(e failureEvent) {
	if e.kind == logOutage {
		sim.log.update(func(l *memLog) { l.down = true })
		time.Sleep(e.length)
		sim.log.update(func(l *memLog) { l.down = false })
		return
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	p := sim.processes[e.holder]
	if e.kind == crashHolder {
		p.kill()
		return
	}
	p.pausedUntil = time.Now().Add(e.length)
}
