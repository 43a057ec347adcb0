package admission

import "time"

// milliPerRequest is the cost of one request in the token bucket of a rate limit.
const milliPerRequest = 1000

// burstWindow sets the burst of a rate limit: the allowance of this time may be used at once.
const burstWindow = time.Second

// localLimit is the state of one limited organisation at one sidecar.
type localLimit struct {
	name string
	// credit is the level of the token bucket in thousandths of a request; refilledAt is the time of the last
	// refill.
	credit     int64
	refilledAt time.Time
	lease      Quota
	// leaseUntil and renewAt are zero before the first lease.
	leaseUntil time.Time
	renewAt    time.Time
	// minReportInterval is that of the lease.
	minReportInterval time.Duration
	graceUntil        time.Time
	nextGraceAt       time.Time
	// observedSince is the start of the interval that requests, peakTokens and refused cover.
	observedSince time.Time
	requests      uint64
	peakTokens    uint64
	refused       bool
	// reportedAt and sequence are the time and the number of the last report.
	reportedAt time.Time
	sequence   uint64
}

// localState returns the state of an organisation. A new one starts with credit for one request.
func (l *Limiter) localState(name string, now time.Time) *localLimit {
	s, ok := l.local[name]
	if !ok {
		s = &localLimit{name: name, credit: milliPerRequest, refilledAt: now, observedSince: now}
		l.local[name] = s
	}
	return s
}

// observe adds one request to the observed demand.
func (s *localLimit) observe(tokens uint64, now time.Time) {
	if s.reportedAt.IsZero() && now.Sub(s.observedSince) > burstWindow {
		s.resetObservation(now)
	}
	s.requests++
	s.peakTokens = max(s.peakTokens, tokens)
}

// resetObservation starts a new observation interval.
func (s *localLimit) resetObservation(now time.Time) {
	s.observedSince = now
	s.requests = 0
	s.peakTokens = 0
	s.refused = false
}

// refill adds the credit for the time since the last refill. The bucket holds the allowance of burstWindow,
// but at least one request.
func (s *localLimit) refill(quota Quota, now time.Time) {
	elapsed := now.Sub(s.refilledAt)
	full := max(milliPerRequest, int64(quota.MilliRequests)*int64(burstWindow)/int64(time.Second))
	gained := int64(float64(quota.MilliRequests) * elapsed.Seconds())
	if gained > 0 || elapsed > burstWindow {
		s.refilledAt = now
	}
	s.credit = min(full, s.credit+gained)
}

// demand returns the demand of callers in the current observation interval, which counts as at least shortest.
func (s *localLimit) demand(now time.Time, shortest time.Duration) Quota {
	elapsed := max(now.Sub(s.observedSince), shortest)
	return Quota{
		MilliRequests: uint64(float64(s.requests) * milliPerRequest / elapsed.Seconds()),
		Tokens:        s.peakTokens,
	}
}

// TakeDueReports returns the reports to send now: one for each organisation that had a request refused, uses
// most of its lease, or needs its lease renewed. There is none for organisations within their base share.
func (l *Limiter) TakeDueReports() []LimitReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	var reports []LimitReport
	for name, s := range l.local {
		if l.dropIfIdle(name, s, now) || now.Sub(s.reportedAt) < l.settings.ReportPause {
			continue
		}
		demand := maskUnlimited(s.demand(now, l.settings.ReportPause), l.limits[name])
		if !l.reportDue(s, demand, now) {
			continue
		}
		reports = append(reports, l.newReport(s, demand, now))
		s.reportedAt = now
		s.resetObservation(now)
	}
	return reports
}

// maskUnlimited returns the demand with zero for each unlimited resource.
func maskUnlimited(demand, limit Quota) Quota {
	if limit.MilliRequests == 0 {
		demand.MilliRequests = 0
	}
	if limit.Tokens == 0 {
		demand.Tokens = 0
	}
	return demand
}

// leaseHighWaterPercent is the part of a lease in use above which a sidecar reports before the renewal time.
const leaseHighWaterPercent = 80

func (l *Limiter) reportDue(s *localLimit, demand Quota, now time.Time) bool {
	if !now.Before(s.leaseUntil) {
		return s.refused
	}
	base := l.settings.baseShare(l.limits[s.name], l.members)
	wanted := demand.MilliRequests > base.MilliRequests || demand.Tokens > base.Tokens
	if !now.Before(s.renewAt) {
		return wanted
	}
	short := s.refused || demand.MilliRequests*100 > s.lease.MilliRequests*leaseHighWaterPercent ||
		demand.Tokens*100 > s.lease.Tokens*leaseHighWaterPercent
	return short && now.Sub(s.reportedAt) >= s.minReportInterval
}

func (l *Limiter) newReport(s *localLimit, demand Quota, now time.Time) LimitReport {
	s.sequence++
	r := LimitReport{Organisation: s.name, Instance: l.self, Sequence: s.sequence, Demand: demand}
	if now.Before(s.leaseUntil) {
		r.Held = s.lease
		r.HeldFor = s.leaseUntil.Sub(now)
	}
	return r
}

// dropIfIdle removes the state of an organisation that has neither a lease nor recent requests. It reports
// whether the state was removed.
func (l *Limiter) dropIfIdle(name string, s *localLimit, now time.Time) bool {
	idle := now.Sub(s.refilledAt) > l.settings.RenewIdle && now.After(s.nextGraceAt)
	if !idle || now.Before(s.leaseUntil) {
		return false
	}
	delete(l.local, name)
	return true
}

// Apply puts a lease from the coordinating sidecar in force. The validity counts from the time of the report,
// so that the lease expires here no later than at the coordinator.
func (l *Limiter) Apply(lease LimitLease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit, limited := l.limits[lease.Organisation]
	if !limited {
		return
	}
	now := l.now()
	s := l.localState(lease.Organisation, now)
	if lease.Sequence != s.sequence {
		return
	}
	s.refill(l.currentQuota(s, limit, now), now)
	s.lease = lease.Allowed
	s.leaseUntil = s.reportedAt.Add(lease.ValidFor)
	s.renewAt = s.reportedAt.Add(lease.RenewAfter)
	s.minReportInterval = lease.MinReportInterval
	s.graceUntil = time.Time{}
}
