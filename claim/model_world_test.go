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

type world struct {
	script  script
	variant variant
	log     *memLog
	start   time.Time

	mu         sync.Mutex
	random     *rand.Rand
	faults     int
	procs      []*process
	executions map[int][]execution // by key
	ranRequest map[int]bool
	answers    map[string]int
	violations []string
	wg         sync.WaitGroup
}

// process is one incarnation of a holder.
type process struct {
	w           *world
	holder      int
	incarnation uint64
	keeper      *Keeper
	ctx         context.Context
	cancel      context.CancelFunc
	// The fields below are guarded by world.mu.
	dead        bool
	steps       int
	pausedUntil time.Time
	expected    map[string]uint64
}

func (w *world) violate(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// fails draws whether a log operation fails.
func (w *world) fails() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(100) < w.faults
}

func (w *world) intN(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

// boot starts the next incarnation of a holder.
func (w *world) boot(holder int, incarnation uint64) {
	p := &process{w: w, holder: holder, incarnation: incarnation, expected: make(map[string]uint64)}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	k, err := New(Options{
		Log: &gateLog{p}, Pool: "pedidos", Instance: fmt.Sprint(holder), Incarnation: incarnation,
		Window: modelWindow, Skew: modelSkew, ClockError: modelClockError, Retention: w.script.retention,
		Partitions: 1, Bucket: 10 * time.Second, MaxAnswer: 64, MaxMemory: 3000,
		Holder: w.liveness,
		Now:    func() time.Time { return time.Now().Add(w.script.skews[holder]) },
	})
	if err != nil {
		panic(err)
	}
	p.keeper = k
	w.mu.Lock()
	defer w.mu.Unlock()
	w.procs[holder] = p
}

// recordLayout makes the pool one that is in use already.
func (w *world) recordLayout() {
	k := w.procs[0].keeper
	payload, _ := proto.Marshal(k.layoutRecord())
	w.log.set(func(l *memLog) { l.store(k.layoutStream(), payload) })
}

// liveness is right about ended incarnations and sometimes wrong about a paused one.
func (w *world) liveness(instance string, incarnation uint64) Liveness {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.procs {
		if fmt.Sprint(p.holder) != instance {
			continue
		}
		if p.dead || p.incarnation != incarnation {
			return Gone
		}
		if time.Now().Before(p.pausedUntil) && w.random.IntN(2) == 0 {
			return Gone
		}
		return Alive
	}
	return Unsure
}

// pass is a step at which a process can be paused or can crash.
func (p *process) pass() bool {
	p.w.mu.Lock()
	p.steps++
	if p.steps == p.w.script.crashStep[p.holder] {
		p.kill()
	}
	dead, pause := p.dead, time.Until(p.pausedUntil)
	p.w.mu.Unlock()
	if dead {
		return false
	}
	if pause > 0 {
		time.Sleep(pause)
		return p.pass()
	}
	return true
}

// kill ends the process and starts its successor one second later. world.mu is held.
func (p *process) kill() {
	if p.dead {
		return
	}
	p.dead = true
	p.cancel()
	p.w.wg.Go(func() {
		p.keeper.Close()
		time.Sleep(time.Second)
		p.w.boot(p.holder, p.incarnation+1)
	})
}

// gateLog is the log as one process sees it, with pauses, crashes and faults.
type gateLog struct{ p *process }

func (g *gateLog) Append(ctx context.Context, stream string, payload []byte) (uint64, error) {
	w := g.p.w
	unsure := &services.AppendError{MayBeStored: true, Err: errOutage}
	if !g.p.pass() {
		return 0, unsure
	}
	time.Sleep(time.Duration(w.intN(40_000)) * time.Microsecond)
	if w.fails() {
		switch w.intN(4) {
		case 0: // never stored
			return 0, unsure
		case 1: // stored late, and the answer is lost
			delay := time.Duration(w.intN(8000)) * time.Millisecond
			w.wg.Go(func() {
				time.Sleep(delay)
				w.log.set(func(l *memLog) { l.store(stream, payload) })
			})
			return 0, unsure
		case 2: // stored, and the answer is lost
			w.log.set(func(l *memLog) { l.store(stream, payload) })
			g.p.pass()
			return 0, unsure
		default:
			return 0, &services.AppendError{Err: errOutage}
		}
	}
	offset, err := w.log.Append(ctx, stream, payload)
	time.Sleep(time.Duration(w.intN(20_000)) * time.Microsecond)
	if !g.p.pass() {
		return 0, unsure
	}
	if err == nil && w.variant == noReadBack {
		return g.pretend(stream), nil
	}
	return offset, err
}

// pretend returns the offset that follows the last record read, as if nobody else had appended.
func (g *gateLog) pretend(stream string) uint64 {
	g.p.w.mu.Lock()
	defer g.p.w.mu.Unlock()
	g.p.expected[stream]++
	return g.p.expected[stream] - 1
}

func (g *gateLog) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (services.Page, error) {
	w := g.p.w
	if !g.p.pass() {
		return services.Page{}, errOutage
	}
	time.Sleep(time.Duration(w.intN(20_000)) * time.Microsecond)
	if w.fails() {
		return services.Page{}, errOutage
	}
	if w.variant == claimsLapse {
		w.lapse(stream, g.p)
	}
	page, err := w.log.Read(ctx, stream, from, limit, wait)
	if !g.p.pass() {
		return services.Page{}, errOutage
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	g.p.expected[stream] = max(g.p.expected[stream], from+uint64(len(page.Records)))
	return page, err
}

// lapse releases the claims of other holders that are older than modelLapse and have no outcome.
func (w *world) lapse(stream string, reader *process) {
	w.log.set(func(l *memLog) {
		v := newView()
		s := l.streams[stream]
		if s == nil {
			return
		}
		for _, r := range s.records {
			if time.Since(r.Time) < modelLapse {
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

// dispatch is the fake service: it counts the execution after a part of the delay.
func (p *process) dispatch(n int, q scriptRequest) func(context.Context) (Outcome, error) {
	w := p.w
	return func(context.Context) (Outcome, error) {
		broken := verdict.New(verdict.Unknown, verdict.ReasonBroken, "connection broken")
		if !p.pass() {
			return Outcome{}, broken
		}
		time.Sleep(q.delay / 2)
		switch q.service {
		case serviceRefuses:
			return Outcome{}, verdict.New(verdict.NotRun, verdict.ReasonLeaving, "service is leaving")
		case serviceBreaksBefore:
			return Outcome{}, w.breakError(broken)
		}
		w.mu.Lock()
		w.executions[q.key] = append(w.executions[q.key], execution{n, time.Now()})
		w.ranRequest[n] = true
		w.mu.Unlock()
		time.Sleep(q.delay / 2)
		p.pass()
		if q.service == serviceRunsAndBreaks {
			return Outcome{}, w.breakError(broken)
		}
		return w.answer(n, q), nil
	}
}

func (w *world) breakError(broken *verdict.Error) error {
	if w.variant == unknownIsReleased {
		return verdict.New(verdict.NotRun, verdict.ReasonBroken, "connection broken")
	}
	return fmt.Errorf("dispatch: %w", broken)
}

func (w *world) answer(n int, q scriptRequest) Outcome {
	body := fmt.Sprintf("key %d body %d request %d", q.key, q.body, n)
	if q.service == serviceAnswersTooMuch {
		body += strings.Repeat(".", 64)
	}
	return Outcome{Status: 200 + n, Headers: []Header{{"N", fmt.Sprint(n)}}, Body: []byte(body)}
}

func (w *world) request(n int, q scriptRequest) {
	w.mu.Lock()
	p := w.procs[q.holder]
	dead := p.dead
	w.mu.Unlock()
	if dead {
		return
	}
	ctx, cancel := context.WithTimeout(p.ctx, q.deadline)
	defer cancel()
	began := time.Now()
	action := Action{
		Organisation: testOrganisation, Method: "POST", Path: "/pay",
		Key: keyAt(w.start.Add(w.script.keyTimes[q.key]), uint16(q.key)), Body: []byte(fmt.Sprint(q.body)),
	}
	out, replayed, err := p.keeper.Run(ctx, action, p.dispatch(n, q))
	w.mu.Lock()
	dead = p.dead
	w.mu.Unlock()
	// The caller of a dead process gets no answer.
	if !dead {
		w.check(n, q, began, out, replayed, err)
	}
}

// check compares one answer with what the service counted up to now.
func (w *world) check(n int, q scriptRequest, began time.Time, out Outcome, replayed bool, err error) {
	w.mu.Lock()
	runs := append([]execution(nil), w.executions[q.key]...)
	reason := "answered"
	if err != nil {
		reason = verdict.Of(err).String() + " " + string(verdict.As(err).Reason)
	} else if replayed {
		reason = "replayed"
	}
	w.answers[reason]++
	w.mu.Unlock()
	var e *verdict.Error
	if err != nil && !errors.As(err, &e) {
		w.violate("request %d: error without a verdict: %v", n, err)
		return
	}
	switch verdict.Of(err) {
	case verdict.Ran:
		w.checkRan(n, q, runs, out, replayed, err)
	case verdict.NotRun:
		w.wg.Go(func() { w.checkNeverRuns(n, err) })
		if e.Reason == verdict.ReasonLeaving && len(runs) > 0 && runs[0].at.Before(began) {
			w.violate("request %d: not-run after request %d ran the key", n, runs[0].request)
		}
	}
}

func (w *world) checkRan(n int, q scriptRequest, runs []execution, out Outcome, replayed bool, err error) {
	if len(runs) == 0 {
		w.violate("request %d: ran, but the service counted nothing", n)
		return
	}
	by := w.script.requests[runs[0].request]
	if replayed == (runs[0].request == n) && err == nil {
		w.violate("request %d: replayed is %v", n, replayed)
	}
	want := w.answer(runs[0].request, by)
	if err == nil && (by.body != q.body || fmt.Sprint(out) != fmt.Sprint(want)) {
		w.violate("request %d: got %v, want %v", n, out, want)
	}
}

// checkNeverRuns waits until the end of the script, because not-run holds for good.
func (w *world) checkNeverRuns(n int, err error) {
	time.Sleep(time.Until(w.start.Add(modelLength)))
	w.mu.Lock()
	ran := w.ranRequest[n]
	w.mu.Unlock()
	if ran {
		w.violate("request %d: told %v, but it ran", n, err)
	}
}

func (w *world) disturb(e scriptEvent) {
	if e.kind == logOutage {
		w.log.set(func(l *memLog) { l.down = true })
		time.Sleep(e.length)
		w.log.set(func(l *memLog) { l.down = false })
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.procs[e.holder]
	if e.kind == crashHolder {
		p.kill()
		return
	}
	p.pausedUntil = time.Now().Add(e.length)
}
