package admission

import (
	"sync"
	"time"

	"jacinthfork.example/jacinthfork/verdict"
)

// Quota is an amount of each of the two limited resources. In a limit, zero means unlimited.
type Quota struct {
	// MilliRequests is a rate in thousandths of a request per second.
	MilliRequests uint64
	// Tokens is the work in flight in tokens.
	Tokens uint64
}

// LimitReport is sent by a sidecar to the sidecar that coordinates the limit of an organisation.
type LimitReport struct {
	Organisation string
	// Instance is the sender.
	Instance string
	// Sequence numbers the sender's reports on this organisation.
	Sequence uint64
	// Demand is the demand of callers since the last report, refused requests included.
	Demand Quota
	// Held is the sender's current lease, so that a new coordinator can count it.
	Held Quota
	// HeldFor is the remaining validity of Held.
	HeldFor time.Duration
}

// LimitLease is the answer to a LimitReport. It replaces the sender's earlier lease.
type LimitLease struct {
	Organisation string
	// Sequence is copied from the report. An answer to an earlier report is ignored.
	Sequence uint64
	// Allowed is what the sidecar may use instead of its base share.
	Allowed Quota
	// ValidFor is the time after which the lease expires.
	ValidFor time.Duration
	// RenewAfter is the time after which the sidecar reports again.
	RenewAfter time.Duration
	// MinReportInterval is the minimum time until the next report when the lease is too small.
	MinReportInterval time.Duration
}

// LimitSettings are used by Limiter and LimitCoordinator. All sidecars must use the same values.
type LimitSettings struct {
	// SilentPercent is the part of a limit that is divided evenly among all sidecars. Each sidecar may use
	// its base share of it without reporting.
	SilentPercent uint64 `toml:"silent_percent" min:"1" max:"100"`
	// GracePercent is the part of a limit that one sidecar may use without a lease, until a report is answered.
	GracePercent uint64 `toml:"grace_percent" min:"0" max:"100"`
	// Grace is the longest duration of this grace period.
	Grace time.Duration `toml:"grace" min:"0s"`
	// ReportPause is the minimum time between two reports on one organisation.
	ReportPause time.Duration `toml:"report_pause" min:"1ms"`
	// RenewBusy is the renewal interval of leases while the demand for requests or for tokens exceeds half of
	// what can be leased: the limit less the base shares of the sidecars without a lease. It is also the
	// RetryAfter of refusals. RenewIdle is the renewal interval otherwise, and the minimum time between the
	// starts of two grace periods.
	RenewBusy time.Duration `toml:"renew_busy" min:"1ms"`
	RenewIdle time.Duration `toml:"renew_idle" min:"1ms"`
	// RenewPerHolder is the minimum of both renewal intervals for each sidecar that holds a lease: they are at
	// least RenewPerHolder times the number of holders, so that a coordinator gets at most one renewal per
	// RenewPerHolder and organisation.
	RenewPerHolder time.Duration `toml:"renew_per_holder" min:"0s"`
}

// DefaultLimitSettings returns the settings for a fleet of about 600 sidecars.
func DefaultLimitSettings() LimitSettings {
	return LimitSettings{
		SilentPercent:  10,
		GracePercent:   25,
		Grace:          500 * time.Millisecond,
		ReportPause:    250 * time.Millisecond,
		RenewBusy:      time.Second,
		RenewIdle:      10 * time.Second,
		RenewPerHolder: 20 * time.Millisecond,
	}
}

// renewalsPerLease is the validity of a lease in renewal intervals: a lease expires after this many lost
// renewals.
const renewalsPerLease = 3

// baseShare returns the part of a limit that each of the given number of sidecars may use without reporting.
func (s LimitSettings) baseShare(limit Quota, members int) Quota {
	n := uint64(max(1, members))
	return Quota{
		MilliRequests: limit.MilliRequests * s.SilentPercent / 100 / n,
		Tokens:        limit.Tokens * s.SilentPercent / 100 / n,
	}
}

func (s LimitSettings) graceQuota(limit Quota) Quota {
	return Quota{
		MilliRequests: limit.MilliRequests * s.GracePercent / 100,
		Tokens:        limit.Tokens * s.GracePercent / 100,
	}
}

// Limiter enforces the limits of organisations at one sidecar, by its base shares and leases. It is safe for
// concurrent use.
type Limiter struct {
	self     string
	settings LimitSettings
	now      func() time.Time
	notify   chan struct{}

	mu      sync.Mutex
	members int
	limits  map[string]Quota
	local   map[string]*localLimit
}

// NewLimiter returns a Limiter without limits.
func NewLimiter(self string, settings LimitSettings) *Limiter {
	return &Limiter{
		self:     self,
		settings: settings,
		now:      time.Now,
		notify:   make(chan struct{}, 1),
		members:  1,
		limits:   make(map[string]Quota),
		local:    make(map[string]*localLimit),
	}
}

// SetMembers sets the number of sidecars that share the limits, this one included.
func (l *Limiter) SetMembers(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members = max(1, n)
}

// SetLimits replaces the limits of all organisations. An organisation that is not listed is unlimited.
func (l *Limiter) SetLimits(limits map[string]Quota) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits = limits
	for name := range l.local {
		if _, ok := limits[name]; !ok {
			delete(l.local, name)
		}
	}
}

// Notify returns a channel that receives a value when TakeDueReports should be called before the caller's
// next periodic call.
func (l *Limiter) Notify() <-chan struct{} { return l.notify }

// acquire charges one request to the limit of its organisation and returns nil when the request may run.
// inFlight is the work in tokens that the organisation has in flight or queued here.
func (l *Limiter) acquire(name string, inFlight, work uint64) *verdict.Error {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit, limited := l.limits[name]
	if !limited {
		return nil
	}
	now := l.now()
	s := l.localState(name, now)
	s.observe(inFlight+work, now)
	s.refill(l.currentQuota(s, limit, now), now)
	if l.permits(s, limit, inFlight, work, now) {
		s.credit -= milliPerRequest
		return nil
	}
	if l.startGrace(s, now) && l.permits(s, limit, inFlight, work, now) {
		s.credit -= milliPerRequest
		return nil
	}
	s.refused = true
	l.signalDue()
	return newRetryAfterError(verdict.ReasonOrganisationLimit, "the limit of the organisation is reached", l.settings.RenewBusy)
}

// refund returns the rate charge of a request that acquire admitted and that did not run.
func (l *Limiter) refund(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, ok := l.local[name]; ok {
		s.credit += milliPerRequest
	}
}

// permits reports whether the current quota allows a request. An organisation with nothing in flight here
// may run one request of any size, except under a quota of zero tokens: a lease can be zero, and small base
// shares and grace quotas are rounded down to it.
func (l *Limiter) permits(s *localLimit, limit Quota, inFlight, work uint64, now time.Time) bool {
	quota := l.currentQuota(s, limit, now)
	if limit.MilliRequests > 0 && s.credit < milliPerRequest {
		return false
	}
	if limit.Tokens == 0 || inFlight+work <= quota.Tokens {
		return true
	}
	return inFlight == 0 && quota.Tokens > 0
}

// currentQuota returns the lease, the grace quota or the base share, whichever applies now.
func (l *Limiter) currentQuota(s *localLimit, limit Quota, now time.Time) Quota {
	switch {
	case now.Before(s.leaseUntil):
		return s.lease
	case now.Before(s.graceUntil):
		return l.settings.graceQuota(limit)
	default:
		return l.settings.baseShare(limit, l.members)
	}
}

// startGrace starts a grace period while no lease is in force, so that requests can run until a report is
// answered. It returns false when a lease is in force or the previous grace period started less than RenewIdle
// ago.
func (l *Limiter) startGrace(s *localLimit, now time.Time) bool {
	if now.Before(s.leaseUntil) || now.Before(s.nextGraceAt) {
		return false
	}
	s.graceUntil = now.Add(l.settings.Grace)
	s.nextGraceAt = now.Add(l.settings.RenewIdle)
	s.credit = max(s.credit, int64(l.settings.graceQuota(l.limits[s.name]).MilliRequests))
	s.refused = true
	l.signalDue()
	return true
}

func (l *Limiter) signalDue() {
	select {
	case l.notify <- struct{}{}:
	default:
	}
}

// acquireLimit charges a request to the limiter, if there is one.
func (c *Controller) acquireLimit(o *organisation, work uint64) *verdict.Error {
	if c.limiter == nil {
		return nil
	}
	return c.limiter.acquire(o.name, o.inFlightTokens+o.queuedTokens, work)
}

// refundLimit returns the charge of a request that did not run.
func (c *Controller) refundLimit(o *organisation) {
	if c.limiter != nil {
		c.limiter.refund(o.name)
	}
}
