package peer

import (
	"sync"
	"time"
)

// silentRounds is the number of rounds of questions in a row without an answer after which a link is closed. An open connection may have gone silent for good while a new one works.
const silentRounds = 2

const (
	// checkInterval is the time between two looks of a waiting request whether its keeper is silent.
	checkInterval = 50 * time.Millisecond
	// probeInterval is the time between two liveness probes on a link whose answers are awaited.
	probeInterval = 200 * time.Millisecond
	// probeTimeout is how long the other router may take. It is longer than reserveTimeout, because a request that waits keeps its
	// place in a queue, and shorter than most waits: half of the objective, some hundred milliseconds.
	probeTimeout = 150 * time.Millisecond
)

// silence decides whether a link has gone silent for good. It does no I/O.
//
// It answers a load pattern: at a peak a router gets too little processor time and answers late. Many questions are then open
// at once and time out together, before the first late answer. Closing the link would make both sides connect again, which
// costs the busy router more time and ends in its being declared lost.
//
// Questions that were asked before the last counted time-out are of the same round. The asker pauses for reserveBackoff between
// rounds, so an answer that is late by less than that keeps the link open. Other messages prove nothing: a router that no longer
// reads a link may still write to it.
type silence struct {
	mu sync.Mutex
	// heardAt is when the last answer was received.
	heardAt time.Time
	// countedAt is when the last counted question timed out, and rounds the number of those in a row.
	countedAt time.Time
	rounds    int
	// askedAt is when the last liveness probe was sent, checkedAt when check was last called.
	askedAt, checkedAt time.Time
}

// check is called now and then while requests wait for answers that may take long. It reports whether to send a liveness probe,
// and whether the last one was not answered in time. Time in which check was not called, perhaps because this process did not run,
// does not count.
func (s *silence) check(now time.Time) (ask, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	gap := now.Sub(s.checkedAt)
	s.checkedAt = now
	if s.askedAt.IsZero() || !s.heardAt.Before(s.askedAt) {
		if ask = now.Sub(s.askedAt) >= probeInterval; ask {
			s.askedAt = now
		}
		return ask, false
	}
	if gap > 2*checkInterval {
		s.askedAt = s.askedAt.Add(gap)
	}
	return false, now.Sub(s.askedAt) >= probeTimeout
}

// heard records an answer, also a late one, which proves that the link works.
func (s *silence) heard(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heardAt, s.rounds = now, 0
}

// timedOut records that a question was not answered in time, and reports whether the link is silent for good.
func (s *silence) timedOut(askedAt, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heardAt.After(askedAt) || askedAt.Before(s.countedAt) {
		return false
	}
	s.rounds++
	s.countedAt = now
	return s.rounds >= silentRounds
}
