package admission

import (
	"sync"
	"time"

	"jacinthfork.example/jacinthfork/verdict"
)

// Quota is an amount of both limited resources. As a limit, zero means no limit.
type Quota struct {
	// MilliRequests is a rate in thousandths of a request per second.
	MilliRequests uint64
	// Tokens is work in flight.
	Tokens uint64
}

// LimitReport is sent by a sidecar to the home sidecar of an organisation.
type LimitReport struct {
	Organisation string
	// Instance is the sender.
	Instance string
	// Sequence numbers the sender's reports on this organisation.
	Sequence uint64
	// Demand is what callers asked for since the last report, refused requests included.
	Demand Quota
	// Held is the lease still in force at the sender, so that a new home can count it.
	Held Quota
	// HeldFor is the remaining validity of Held.
	HeldFor time.Duration
}

// LimitLease is the answer to a LimitReport. It replaces the sender's earlier lease.
type LimitLease struct {
	Organisation string
	// Sequence is that of the report. An answer to an earlier report is ignored.
	Sequence uint64
	// Allowed is what the sidecar may use instead of its silent share.
	Allowed Quota
	// ValidFor is the time after which the lease ends.
	ValidFor time.Duration
	// RenewAfter is the time after which the sidecar reports again.
	RenewAfter time.Duration
	// Pause is the shortest time until the next report when the lease is too small.
	Pause time.Duration
}

// LimitSettings are shared by Limiter and Home; all sidecars must use the same values.
type LimitSettings struct {
	// SilentPercent is the part of a limit that is divided evenly among all sidecars and used
	// without any message.
	SilentPercent uint64 `toml:"silent_percent" min:"1" max:"100"`
	// GracePercent is the part of a limit that one sidecar may use while its first report is on
	// the way.
	GracePercent uint64 `toml:"grace_percent" min:"0" max:"100"`
	// Grace is how long that lasts.
	Grace time.Duration `toml:"grace" min:"0s"`
	// ReportPause is the shortest time between two reports on one organisation.
	ReportPause time.Duration `toml:"report_pause" min:"1ms"`
	// RenewBusy and RenewIdle are the renewal times above and below half of a limit.
	RenewBusy time.Duration `toml:"renew_busy" min:"1ms"`
	RenewIdle time.Duration `toml:"renew_idle" min:"1ms"`
	// RenewPerHolder stretches both with the number of sidecars that hold a lease, so that a home
	// gets at most one renewal per RenewPerHolder and organisation.
	RenewPerHolder time.Duration `toml:"renew_per_holder" min:"0s"`
}

// DefaultLimitSettings returns the settings for the target size.
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

// leaseRenewals is how many renewals may be lost before a lease ends.
const leaseRenewals = 3

// silent is the part of a limit that each of the given number of sidecars may use unreported.
func (s LimitSettings) silent(limit Quota, members int) Quota {
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

// Limiter enforces one sidecar's part of the limits of all organisations. It is safe for
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

// NewLimiter returns a limiter without limits.
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

// SetLimits replaces the limits of all organisations. An organisation not listed has none.
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

// Notify receives a value when Due has become worth calling before the next regular call.
func (l *Limiter) Notify() <-chan struct{} { return l.notify }

// take charges one request against the limit of its organisation, of which inFlight tokens are in
// flight or queued here. It returns nil when the request may run.
func (l *Limiter) take(name string, inFlight, work uint64) *verdict.Error {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit, limited := l.limits[name]
	if !limited {
		return nil
	}
	now := l.now()
	s := l.state(name, now)
	s.observe(inFlight+work, now)
	s.refill(l.allowed(s, limit, now), now)
	if l.permits(s, limit, inFlight, work, now) {
		s.credit -= milliPerRequest
		return nil
	}
	if l.startGrace(s, now) && l.permits(s, limit, inFlight, work, now) {
		s.credit -= milliPerRequest
		return nil
	}
	s.refused = true
	l.wake()
	return retryLater(verdict.ReasonOrganisationRate, "the limit of the organisation is reached", l.settings.RenewBusy)
}

// giveBack refunds the rate charge of a request that take let through and that did not run.
func (l *Limiter) giveBack(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, ok := l.local[name]; ok {
		s.credit += milliPerRequest
	}
}

// permits decides on the quota in force. An organisation with nothing in flight here may run one
// request of any size, except under a lease of zero tokens.
func (l *Limiter) permits(s *localLimit, limit Quota, inFlight, work uint64, now time.Time) bool {
	quota := l.allowed(s, limit, now)
	if limit.MilliRequests > 0 && s.credit < milliPerRequest {
		return false
	}
	if limit.Tokens == 0 || inFlight+work <= quota.Tokens {
		return true
	}
	return inFlight == 0 && quota.Tokens > 0
}

// allowed is the quota in force: lease, grace or silent share.
func (l *Limiter) allowed(s *localLimit, limit Quota, now time.Time) Quota {
	switch {
	case now.Before(s.leaseUntil):
		return s.lease
	case now.Before(s.graceUntil):
		return l.settings.graceQuota(limit)
	default:
		return l.settings.silent(limit, l.members)
	}
}

// startGrace begins the grace of a first report. It reports false when a lease is in force or the
// last grace was too short ago.
func (l *Limiter) startGrace(s *localLimit, now time.Time) bool {
	if now.Before(s.leaseUntil) || now.Before(s.nextGrace) {
		return false
	}
	s.graceUntil = now.Add(l.settings.Grace)
	s.nextGrace = now.Add(l.settings.RenewIdle)
	s.credit = max(s.credit, int64(l.settings.graceQuota(l.limits[s.name]).MilliRequests))
	s.refused = true
	l.wake()
	return true
}

func (l *Limiter) wake() {
	select {
	case l.notify <- struct{}{}:
	default:
	}
}

// takeLimit and returnLimit connect a Controller to its limiter.
func (c *Controller) takeLimit(o *organisation, work uint64) *verdict.Error {
	if c.limiter == nil {
		return nil
	}
	return c.limiter.take(o.name, o.tokens+o.queued, work)
}

func (c *Controller) returnLimit(o *organisation) {
	if c.limiter != nil {
		c.limiter.giveBack(o.name)
	}
}
