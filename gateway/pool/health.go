package pool

import (
	"math"
	"time"
)

// Outcome is how a request at an instance ended, as far as it tells something of the instance.
type Outcome uint8

// Outcomes.
const (
	// Served means that the instance answered.
	Served Outcome = iota
	// Abandoned means that the caller went away or the time was over; it tells nothing.
	Abandoned
	// Full means that the instance proved that it did not run the request.
	Full
	// Unreachable means that no connection could be made.
	Unreachable
	// Broken means that the connection broke, or that what came was no answer to the request.
	Broken
	// Errored means that the instance answered with an error of its own.
	Errored
)

// String returns the outcome as logged.
func (o Outcome) String() string {
	return [...]string{"served", "abandoned", "full", "unreachable", "broken", "errored"}[o]
}

const (
	// failingShare is the share of failed requests of an instance that is to be found, and suspectScore
	// the evidence at which it is ejected: it is then 300 times as likely to fail that share of its requests
	// as to fail no more than its pool does.
	failingShare = 0.45
	suspectScore = 5.7
	// leastNormal is the least share of failures that counts as normal, so that one failure alone ejects
	// nobody.
	leastNormal = 0.02
	// normalWeight is the weight of the newest request in the pool's share of failures. It adapts over
	// some hundred requests, while an instance that fails is found within a few.
	normalWeight = 0.005
	// firstEjection and longestEjection are the shortest and longest time away. A restart of a backend
	// server takes a few seconds.
	firstEjection   = 500 * time.Millisecond
	longestEjection = 4 * time.Second
	// fullPause keeps an instance that refused from being asked again at once; its queue needs some
	// service times to empty.
	fullPause = 50 * time.Millisecond
)

// health is what the last requests say of an instance.
type health struct {
	// score is the evidence, a sum of logarithms, that the instance fails more than its pool.
	score float64
	// until is the end of the current time away; hard is set when no connection could be made.
	until time.Time
	hard  bool
	// times is the number of times away since the last success.
	times int
	// trial is set from the end of a time away to the first success; one request is let through.
	trial     bool
	fullUntil time.Time
}

// ejected reports whether the instance gets no requests now.
func (h *health) ejected(now time.Time) bool { return now.Before(h.until) }

// away reports whether the instance is ejected, or waits for the end of the request that tries it again. inFlight
// is the number of requests that this router has there.
func (h *health) away(now time.Time, inFlight int) bool {
	return h.ejected(now) || h.trial && inFlight > 0
}

// note takes an outcome in and reports whether the instance is to be ejected now. normal is the share of
// requests that fail in the whole pool.
func (h *health) note(o Outcome, normal float64, now time.Time) (eject bool) {
	normal = min(max(normal, leastNormal), failingShare/2)
	switch o {
	case Served:
		h.score = max(0, h.score+math.Log((1-failingShare)/(1-normal)))
		h.times = 0
		h.trial = false
		h.hard = false
	case Full:
		h.fullUntil = now.Add(fullPause)
	case Unreachable:
		h.hard = true
		return true
	case Broken, Errored:
		h.score += math.Log(failingShare / normal)
		if h.trial || h.score >= suspectScore {
			h.score = 0
			return true
		}
	}
	return false
}

// startEjection starts a time away, twice as long as the one before.
func (h *health) startEjection(now time.Time) {
	if h.ejected(now) {
		return
	}
	away := min(longestEjection, firstEjection<<min(h.times, 8))
	h.until = now.Add(away)
	h.times++
	h.trial = true
}
