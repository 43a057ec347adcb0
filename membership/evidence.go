package membership

import (
	"time"

	"jacinthfork.example/jacinthfork/services"
)

// ViewOptions are the delays that decide how evidence about an instance becomes its status.
type ViewOptions struct {
	// JoinDelay is how long an instance must be listed before it gets work without a report of its own.
	JoinDelay time.Duration
	// RemoveDelay is how long an unlisted instance without a report of its own is kept.
	RemoveDelay time.Duration
	// ReportMaxAge is how long a report of an instance keeps it in the view although it is not listed.
	ReportMaxAge time.Duration
	// ReadmitDelay is the delay after the first refusal. Each further refusal doubles it, up to
	// MaxReadmitDelay.
	ReadmitDelay    time.Duration
	MaxReadmitDelay time.Duration
	// FlapDecay is the time without a refusal after which the refusal count drops by one.
	FlapDecay time.Duration
}

// DefaultViewOptions are the options that routers and sidecars use. MaxReadmitDelay bounds how long a repaired
// instance stays idle.
var DefaultViewOptions = ViewOptions{
	JoinDelay:       time.Second,
	RemoveDelay:     2 * time.Second,
	ReportMaxAge:    10 * time.Second,
	ReadmitDelay:    500 * time.Millisecond,
	MaxReadmitDelay: 30 * time.Second,
	FlapDecay:       time.Minute,
}

// evidence is everything known about one instance.
type evidence struct {
	instance services.Instance

	listed       bool
	listedSince  time.Time
	missingSince time.Time

	incarnation uint64
	// version is the newest version of this incarnation's state that arrived through its pool.
	version         uint64
	reportedLeaving bool
	reportedReady   bool
	// reportedAt is when the newest report of the instance was made, directly or through its pool.
	reportedAt time.Time

	// refusals counts recent refusals; readmitAt is when the instance may get work again.
	refusals  int
	refusedAt time.Time
	readmitAt time.Time

	hint *loadHint
}

// instanceStatus is the status that the evidence gives at one moment.
type instanceStatus struct {
	present bool
	ready   bool
	leaving bool
	// validUntil is when the status may change without new evidence, or zero for never.
	validUntil time.Time
}

// status derives the status from the evidence. A recent report of the instance keeps it present even when it is
// not listed. A departure known from either source, or a refusal, stops new work.
func (e *evidence) status(now time.Time, options ViewOptions) instanceStatus {
	var s instanceStatus
	removeAt := e.removeAt(options)
	if !e.listed {
		if !now.Before(removeAt) {
			return s
		}
		s.validUntil = removeAt
	}
	s.present = true
	s.leaving = e.reportedLeaving || (e.listed && e.instance.Leaving)
	joinAt := e.joinAt(options)
	for _, at := range []time.Time{joinAt, e.readmitAt} {
		if now.Before(at) && (s.validUntil.IsZero() || at.Before(s.validUntil)) {
			s.validUntil = at
		}
	}
	reported := !e.reportedAt.IsZero()
	s.ready = !s.leaving && !now.Before(joinAt) && !now.Before(e.readmitAt) && (!reported || e.reportedReady)
	return s
}

// removeAt returns when an unlisted instance is removed.
func (e *evidence) removeAt(options ViewOptions) time.Time {
	at := e.missingSince.Add(options.RemoveDelay)
	if reportExpiry := e.reportedAt.Add(options.ReportMaxAge); !e.reportedAt.IsZero() && reportExpiry.After(at) {
		return reportExpiry
	}
	return at
}

// joinAt returns when a new instance may get work: at its first report, or after JoinDelay in the list.
func (e *evidence) joinAt(options ViewOptions) time.Time {
	if !e.reportedAt.IsZero() {
		return time.Time{}
	}
	return e.listedSince.Add(options.JoinDelay)
}

// setListed records the instance's entry in the instance list, or nil when it is not listed.
func (e *evidence) setListed(entry *services.Instance, now time.Time) {
	if entry == nil {
		if e.listed {
			e.listed, e.missingSince = false, now
		}
		return
	}
	if !e.listed {
		e.listed, e.listedSince = true, now
	}
	e.instance = *entry
}

// applyReport applies a state that the instance reported at the given time. It returns false for a report that
// is older than the known state.
func (e *evidence) applyReport(incarnation, version uint64, leaving, ready bool, at, now time.Time, options ViewOptions) bool {
	if incarnation < e.incarnation || (incarnation == e.incarnation && version < e.version) {
		return false
	}
	if incarnation > e.incarnation {
		e.recordRestart(incarnation, now, options)
	}
	known := e.version
	e.version = version
	// Leaving is final within one incarnation.
	e.reportedLeaving = e.reportedLeaving || leaving
	if !at.Before(e.reportedAt) || version > known || e.reportedAt.IsZero() {
		e.reportedReady = ready
	}
	e.markAlive(at)
	return true
}

// markAlive records that the instance was up at the given time. After a single refusal it is readmitted at
// once; a flapping instance waits until readmitAt.
func (e *evidence) markAlive(at time.Time) {
	if at.After(e.reportedAt) {
		e.reportedAt = at
	}
	if e.refusals <= 1 && at.After(e.refusedAt) {
		e.readmitAt = time.Time{}
	}
}

// recordRestart records a new incarnation. A restart of a process that was up counts as a flap, but the first
// one causes no delay, because the new process has already reported.
func (e *evidence) recordRestart(incarnation uint64, now time.Time, options ViewOptions) {
	if e.incarnation != 0 && !now.Before(e.readmitAt) {
		e.recordFlap(now, options)
		if e.refusals <= 1 {
			e.readmitAt = time.Time{}
		}
	}
	e.incarnation, e.version = incarnation, 0
	e.reportedLeaving, e.reportedReady = false, false
	e.hint = &loadHint{}
}

// recordRefusal records a refused or broken connection to the given incarnation, 0 for any. Refusals before
// readmitAt count as one, because all requests in flight fail together.
func (e *evidence) recordRefusal(incarnation uint64, now time.Time, options ViewOptions) bool {
	if incarnation != 0 && incarnation < e.incarnation {
		return false
	}
	if now.Before(e.readmitAt) {
		e.refusedAt = now
		return false
	}
	e.recordFlap(now, options)
	return true
}

func (e *evidence) recordFlap(now time.Time, options ViewOptions) {
	if !e.refusedAt.IsZero() {
		e.refusals = max(0, e.refusals-int(now.Sub(e.refusedAt)/options.FlapDecay))
	}
	e.refusals++
	e.refusedAt = now
	e.readmitAt = now.Add(min(options.MaxReadmitDelay, options.ReadmitDelay<<min(e.refusals-1, 16)))
}
