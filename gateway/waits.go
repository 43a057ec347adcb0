package gateway

import (
	"time"

	"jacinthfork.example/jacinthfork/gateway/backend"
	"jacinthfork.example/jacinthfork/gateway/pool"
	"jacinthfork.example/jacinthfork/gateway/routes"
)

// shortWait is the wait below which no pause of this process is looked for. One that counts takes minPause, and may have begun
// pauseCheckInterval before the wait.
const shortWait = minPause - 2*pauseCheckInterval

// waitMeter measures how long one attempt of a stream makes the caller wait: for the first event since it was sent, then
// between two events. What this process or the caller was slow at does not count: pauses of the process, and the time
// spent writing to the caller. A nil waitMeter measures nothing. It belongs to the goroutine that serves the caller, but
// for the timer.
type waitMeter struct {
	lease *pool.Lease
	// first and gap are the objectives, 0 if there is none.
	first, gap time.Duration
	pauses     *pauseDetector
	// report tells the keeper that a response has become late.
	report func()
	// since is when the current wait began, paused the total time of pauses then.
	since  time.Time
	paused int64
	begun  bool
	// longestGap is the longest wait between two events so far.
	longestGap time.Duration
	timer      *time.Timer
}

// measureWaits starts to measure the attempt that is about to be sent, if it is a stream of a paced pool. If its first event is not there in time, it counts as
// late then, and not when the event comes at last.
func (s *requestState) measureWaits(lease *pool.Lease, conn *backend.Conn) *waitMeter {
	if s.route == nil || s.route.Mode != routes.Streaming || !s.g.registry.Paced(lease.Instance.Pool) {
		return nil
	}
	id, reservations := lease.Instance.ID, s.g.reservations
	m := &waitMeter{
		lease: lease, first: s.route.LatencyObjective, gap: s.route.EventGapObjective, pauses: &s.g.pauses,
		report: func() { reservations.report(id) }, since: time.Now(), paused: s.g.pauses.total.Load(),
	}
	if m.first > 0 {
		sent, paused := m.since, m.paused
		m.timer = time.AfterFunc(m.first, func() {
			// With data unread, it is this router that is late.
			if conn.Unread() {
				return
			}
			// At the time of the timer the wait is as long as the objective or longer.
			if waited := m.pauses.waited(sent, time.Now(), paused); waited >= m.first && lease.RecordWait(waited+1, m.first) {
				m.report()
			}
		})
	}
	return m
}

// arrived records an event with data.
func (m *waitMeter) arrived(now time.Time) {
	if m == nil {
		return
	}
	waited, objective := m.pauses.waited(m.since, now, m.paused), m.gap
	if !m.begun {
		m.begun, objective = true, m.first
		if m.timer != nil {
			m.timer.Stop()
		}
		m.record(waited, objective)
	} else if waited > m.longestGap {
		m.longestGap = waited
		m.record(waited, objective)
	}
	m.written(now)
}

func (m *waitMeter) record(waited, objective time.Duration) {
	if m.lease.RecordWait(waited, objective) {
		m.report()
	}
}

// written records that everything that has arrived was written to the caller.
func (m *waitMeter) written(now time.Time) {
	if m != nil {
		m.since, m.paused = now, m.pauses.total.Load()
	}
}

// waited returns the time of a wait without the pauses of the process in it. paused is the total time of pauses at its
// begin.
func (p *pauseDetector) waited(since, now time.Time, paused int64) time.Duration {
	waited := now.Sub(since)
	if waited < shortWait {
		return waited
	}
	p.note(now)
	return max(0, waited-time.Duration(p.total.Load()-paused))
}
