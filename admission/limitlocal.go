package admission

import "time"

// milliPerRequest is the charge of one request against a rate.
const milliPerRequest = 1000

// burstWindow is the time whose allowance may be used at once.
const burstWindow = time.Second

// localLimit is the state of one limited organisation at one sidecar.
type localLimit struct {
	name string
	// credit is a token bucket in thousandths of a request; filled is the time of the last refill.
	credit int64
	filled time.Time
	lease  Quota
	// leaseUntil and renewAt are zero without a lease.
	leaseUntil time.Time
	renewAt    time.Time
	// pause is that of the lease.
	pause      time.Duration
	graceUntil time.Time
	nextGrace  time.Time
	// since is the start of the observation of requests, peak and refused.
	since    time.Time
	requests uint64
	peak     uint64
	refused  bool
	// reportedAt and sequence are those of the last report.
	reportedAt time.Time
	sequence   uint64
}

// state returns the state of an organisation, creating it with a full bucket.
func (l *Limiter) state(name string, now time.Time) *localLimit {
	s, ok := l.local[name]
	if !ok {
		s = &localLimit{name: name, credit: milliPerRequest, filled: now, since: now}
		l.local[name] = s
	}
	return s
}

// observe notes the demand of one request.
func (s *localLimit) observe(tokens uint64, now time.Time) {
	if s.reportedAt.IsZero() && now.Sub(s.since) > burstWindow {
		s.restart(now)
	}
	s.requests++
	s.peak = max(s.peak, tokens)
}

// restart begins a new observation.
func (s *localLimit) restart(now time.Time) {
	s.since = now
	s.requests = 0
	s.peak = 0
	s.refused = false
}

// refill adds the credit of the time passed. The bucket holds burstWindow, but at least 1 request.
func (s *localLimit) refill(quota Quota, now time.Time) {
	elapsed := now.Sub(s.filled)
	full := max(milliPerRequest, int64(quota.MilliRequests)*int64(burstWindow)/int64(time.Second))
	gained := int64(float64(quota.MilliRequests) * elapsed.Seconds())
	if gained > 0 || elapsed > burstWindow {
		s.filled = now
	}
	s.credit = min(full, s.credit+gained)
}

// demand returns what callers asked for since the observation began.
func (s *localLimit) demand(now time.Time, shortest time.Duration) Quota {
	elapsed := max(now.Sub(s.since), shortest)
	return Quota{
		MilliRequests: uint64(float64(s.requests) * milliPerRequest / elapsed.Seconds()),
		Tokens:        s.peak,
	}
}

// Due returns the reports to send now, one per organisation that was refused, that uses most of
// its lease, or whose lease needs renewal. Organisations within their silent share have none.
func (l *Limiter) Due() []LimitReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	var reports []LimitReport
	for name, s := range l.local {
		if l.forget(name, s, now) || now.Sub(s.reportedAt) < l.settings.ReportPause {
			continue
		}
		demand := limitedPart(s.demand(now, l.settings.ReportPause), l.limits[name])
		if !l.due(s, demand, now) {
			continue
		}
		reports = append(reports, l.report(s, demand, now))
		s.reportedAt = now
		s.restart(now)
	}
	return reports
}

// limitedPart is the demand for the resources that are limited.
func limitedPart(demand, limit Quota) Quota {
	if limit.MilliRequests == 0 {
		demand.MilliRequests = 0
	}
	if limit.Tokens == 0 {
		demand.Tokens = 0
	}
	return demand
}

// nearlyUsedPercent is the part of a lease above which a sidecar asks for more before renewal.
const nearlyUsedPercent = 80

func (l *Limiter) due(s *localLimit, demand Quota, now time.Time) bool {
	if !now.Before(s.leaseUntil) {
		return s.refused
	}
	silent := l.settings.silent(l.limits[s.name], l.members)
	wanted := demand.MilliRequests > silent.MilliRequests || demand.Tokens > silent.Tokens
	if !now.Before(s.renewAt) {
		return wanted
	}
	short := s.refused || demand.MilliRequests*100 > s.lease.MilliRequests*nearlyUsedPercent ||
		demand.Tokens*100 > s.lease.Tokens*nearlyUsedPercent
	return short && now.Sub(s.reportedAt) >= s.pause
}

func (l *Limiter) report(s *localLimit, demand Quota, now time.Time) LimitReport {
	s.sequence++
	r := LimitReport{Organisation: s.name, Instance: l.self, Sequence: s.sequence, Demand: demand}
	if now.Before(s.leaseUntil) {
		r.Held = s.lease
		r.HeldFor = s.leaseUntil.Sub(now)
	}
	return r
}

// forget drops the state of an organisation that has neither lease nor recent requests.
func (l *Limiter) forget(name string, s *localLimit, now time.Time) bool {
	idle := now.Sub(s.filled) > l.settings.RenewIdle && now.After(s.nextGrace)
	if !idle || now.Before(s.leaseUntil) {
		return false
	}
	delete(l.local, name)
	return true
}

// Apply puts the answer of the home sidecar in force. Its time counts from the report, so that the
// lease ends here no later than at the home.
func (l *Limiter) Apply(lease LimitLease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit, limited := l.limits[lease.Organisation]
	if !limited {
		return
	}
	now := l.now()
	s := l.state(lease.Organisation, now)
	if lease.Sequence != s.sequence {
		return
	}
	s.refill(l.allowed(s, limit, now), now)
	s.lease = lease.Allowed
	s.leaseUntil = s.reportedAt.Add(lease.ValidFor)
	s.renewAt = s.reportedAt.Add(lease.RenewAfter)
	s.pause = lease.Pause
	s.graceUntil = time.Time{}
}
