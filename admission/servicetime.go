package admission

import "time"

// serviceTimeSmoothing is the number of requests over which the mean service time adapts.
const serviceTimeSmoothing = 32

// returnShare is the part of the capacity that refused callers are told to come back to. The rest is for new ones.
const returnShare = 0.5

// serviceTime is an exponential moving average of the time that a request takes, and what follows from it.
//
// It answers a load pattern of plain services: more requests than places for some seconds. Those that would wait too
// long are refused at once, and come back spread over the time that the excess takes, instead of all together into a
// queue that is still full.
type serviceTime struct {
	mean time.Duration
	// lastReturn is when the caller that was refused last is told to come back.
	lastReturn time.Time
}

func (s *serviceTime) observe(took time.Duration) {
	if s.mean == 0 {
		s.mean = took
		return
	}
	s.mean += (took - s.mean) / serviceTimeSmoothing
}

// interval returns the mean time between two completions at full capacity.
func (s *serviceTime) interval(capacity int) time.Duration {
	return s.mean / time.Duration(max(1, capacity))
}

// fits returns the number of requests that can wait without exceeding a time.
func (s *serviceTime) fits(wait time.Duration, capacity int) int {
	interval := s.interval(capacity)
	if interval <= 0 {
		return int(^uint(0) >> 1)
	}
	return int(wait / interval)
}

// nextReturn returns the time after which the next refused caller is to come back: when the queue has run, and after the
// one that was refused before. If that is beyond the caller's patience, no time is kept for it.
func (s *serviceTime) nextReturn(now time.Time, queued, capacity int, patience time.Duration) time.Duration {
	interval := s.interval(capacity)
	earliest := now.Add(interval * time.Duration(queued+1))
	next := s.lastReturn.Add(time.Duration(float64(interval) / returnShare))
	if next.Before(earliest) {
		next = earliest
	}
	after := next.Sub(now)
	if after <= maxRetryAfter && (patience == 0 || after <= patience) {
		s.lastReturn = next
	}
	return after
}

// queueLimit returns the number of requests that may wait.
func (c *Controller) queueLimit() int {
	if !c.settings.ByServiceTime || c.settings.QueueRequests == 0 {
		return c.settings.QueueRequests
	}
	return min(c.settings.QueueRequests, max(1, c.service.fits(c.settings.QueueWait, c.settings.CapacityRequests)))
}
