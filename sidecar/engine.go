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
	// crashRecheckDelay is the delay before the second probe after a broken connection. There is a second probe
	// only if the first one succeeded.
	crashRecheckDelay = 100 * time.Millisecond
	// recoveryProbeInterval is the delay between probes of a backend server that is down.
	recoveryProbeInterval = 200 * time.Millisecond
	// loadReportInterval is the interval between reads of the backend server's load report.
	loadReportInterval = time.Second
	// probeTimeout bounds one probe or one read of the load report.
	probeTimeout = 2 * time.Second
)

// mayBeCrash reports whether err can result from a crash of the backend server.
func mayBeCrash(err error) bool {
	e := verdict.As(err)
	return e != nil && (e.Reason == verdict.ReasonConnectionBroken || e.Reason == verdict.ReasonUnreachable)
}

// crashDetector distinguishes a crash of the backend server from a broken connection: after a crash the
// server does not respond for some time. A server counts as crashed if it fails one of two probes that are
// crashRecheckDelay apart. A crash after which the server has restarted before the first probe is not detected.
type crashDetector struct {
	sidecar *Sidecar

	mu sync.Mutex
	// checkDone is closed when the check in progress is complete; it is nil when there is none.
	checkDone chan struct{}
	down      bool
}

func newCrashDetector(sidecar *Sidecar) *crashDetector { return &crashDetector{sidecar: sidecar} }

// confirmCrash reports whether the backend server crashed. A run calls it when its connection broke, and
// blocks until the check is complete, so that the crash suspect table still counts the run as in flight.
func (d *crashDetector) confirmCrash() bool {
	d.mu.Lock()
	if d.down {
		d.mu.Unlock()
		return true
	}
	pending := d.checkDone
	first := pending == nil
	if first {
		pending = make(chan struct{})
		d.checkDone = pending
	}
	d.mu.Unlock()
	if first {
		d.check(pending)
	} else {
		<-pending
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.down
}

// check probes the backend server, records a crash if it does not respond, and closes pending.
func (d *crashDetector) check(pending chan struct{}) {
	defer close(pending)
	alive := d.sidecar.engineAlive()
	if alive {
		// A crashing server can still accept connections for a moment.
		time.Sleep(crashRecheckDelay)
		alive = d.sidecar.engineAlive()
	}
	d.mu.Lock()
	d.checkDone = nil
	d.down = !alive
	d.mu.Unlock()
	if !alive {
		d.sidecar.handleCrash()
	}
}

func (d *crashDetector) markRecovered() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = false
}

func (s *Sidecar) engineAlive() bool {
	ctx, cancel := context.WithTimeout(s.runCtx, probeTimeout)
	defer cancel()
	return s.dialect.Alive(ctx)
}

// handleCrash records the crash, stops admitting requests and starts probing until the backend server has
// recovered.
func (s *Sidecar) handleCrash() {
	suspects := s.suspects.RecordCrash()
	s.admission.Reset()
	s.prefixes.reset()
	s.pool.SetState(false, s.leaving.Load())
	s.kernel.Counters.Int("engine_crashes").Add(1)
	s.journal.Add(journal.KindMember, s.settings.Instance, "backend server crashed",
		journal.Field{Name: "suspects", Value: strconv.Itoa(suspects)})
	s.kernel.Log.Warn("backend server crashed", "suspects", suspects)
	s.spawn(s.awaitRecovery)
}

// awaitRecovery probes the backend server until a probe succeeds, then puts it back into service.
func (s *Sidecar) awaitRecovery(ctx context.Context) {
	for !s.engineAlive() {
		if !sleep(ctx, recoveryProbeInterval) {
			return
		}
	}
	s.crashDetector.markRecovered()
	s.admission.Resume()
	s.pool.SetState(true, s.leaving.Load())
	s.journal.Add(journal.KindMember, s.settings.Instance, "backend server recovered")
	s.kernel.Log.Info("backend server recovered")
}

// pollLoadReports periodically passes the backend server's own load report to admission.
func (s *Sidecar) pollLoadReports(ctx context.Context) {
	for sleep(ctx, loadReportInterval) {
		callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		report, err := s.dialect.ReadLoad(callCtx)
		cancel()
		if err == nil {
			s.admission.Report(report.Tokens, report.Age)
		}
	}
}

// sleep waits for d. It returns false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// spawn runs f in a goroutine; its context ends when the sidecar is closed.
func (s *Sidecar) spawn(f func(context.Context)) {
	s.wg.Go(func() { f(s.runCtx) })
}
