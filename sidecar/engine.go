package sidecar

import (
	"context"
	"strconv"
	"sync"
	"time"

	"jacinthfork.example/jacinthfork/kernel/journal"
	"jacinthfork.example/jacinthfork/verdict"
)

const (
	// crashWindow is the pause between the two probes after a broken run.
	crashWindow = 100 * time.Millisecond
	// probeInterval is the pause between two probes of a backend server that is down.
	probeInterval = 200 * time.Millisecond
	// reportInterval is how often the backend server's load report is read.
	reportInterval = time.Second
	// probeTimeout bounds one probe and one load report.
	probeTimeout = 2 * time.Second
)

// isCrashSign reports whether an error can come from a crash of the backend server.
func isCrashSign(err error) bool {
	e := verdict.As(err)
	return e != nil && (e.Reason == verdict.ReasonBroken || e.Reason == verdict.ReasonUnreachable)
}

// crashWatch tells a crash of the backend server from a broken connection: after a crash the server
// does not answer for a while. A server that is back within crashWindow is taken as not crashed.
type crashWatch struct {
	side *Sidecar

	mu sync.Mutex
	// pending is closed when the window of the current suspicion is over.
	pending chan struct{}
	down    bool
}

func newCrashWatch(side *Sidecar) *crashWatch { return &crashWatch{side: side} }

// broken is called by a run whose connection broke. It returns when it is decided whether the backend
// server crashed, so that the run is still in flight for the table of suspects.
func (w *crashWatch) broken() bool {
	w.mu.Lock()
	if w.down {
		w.mu.Unlock()
		return true
	}
	pending := w.pending
	first := pending == nil
	if first {
		pending = make(chan struct{})
		w.pending = pending
	}
	w.mu.Unlock()
	if first {
		w.decide(pending)
	} else {
		<-pending
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.down
}

func (w *crashWatch) decide(pending chan struct{}) {
	defer close(pending)
	alive := w.side.alive()
	if alive {
		// A server that goes down can still accept for a moment.
		time.Sleep(crashWindow)
		alive = w.side.alive()
	}
	w.mu.Lock()
	w.pending = nil
	w.down = !alive
	w.mu.Unlock()
	if !alive {
		w.side.crashed()
	}
}

func (w *crashWatch) recovered() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = false
}

func (s *Sidecar) alive() bool {
	ctx, cancel := context.WithTimeout(s.life, probeTimeout)
	defer cancel()
	return s.dialect.Alive(ctx)
}

// crashed records the crash, refuses work and probes until the backend server is back.
func (s *Sidecar) crashed() {
	suspects := s.suspects.Crash()
	s.admission.Reset()
	s.prefixes.reset()
	s.pool.SetState(false, s.leaving.Load())
	s.kernel.Counters.Int("engine_crashes").Add(1)
	s.journal.Add(journal.KindMember, s.settings.Instance, "backend server crashed",
		journal.Field{Name: "suspects", Value: strconv.Itoa(suspects)})
	s.kernel.Log.Warn("backend server crashed", "suspects", suspects)
	s.spawn(s.probe)
}

// probe waits until the backend server accepts connections again.
func (s *Sidecar) probe(ctx context.Context) {
	for !s.alive() {
		if !pause(ctx, probeInterval) {
			return
		}
	}
	s.crashes.recovered()
	s.admission.Ready()
	s.pool.SetState(true, s.leaving.Load())
	s.journal.Add(journal.KindMember, s.settings.Instance, "backend server is back")
	s.kernel.Log.Info("backend server is back")
}

// followReports reads the backend server's own load reports.
func (s *Sidecar) followReports(ctx context.Context) {
	for pause(ctx, reportInterval) {
		one, cancel := context.WithTimeout(ctx, probeTimeout)
		report, err := s.dialect.Load(one)
		cancel()
		if err == nil {
			s.admission.Report(report.Tokens, report.Age)
		}
	}
}

// pause waits and returns false when ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// spawn runs f until the sidecar ends.
func (s *Sidecar) spawn(f func(context.Context)) {
	s.work.Go(func() { f(s.life) })
}
