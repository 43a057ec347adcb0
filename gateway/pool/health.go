package pool

import "time"

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
	// failureWeight is the weight of the newest request in the moving failure rate.
	failureWeight = 0.2
	// erroredShare is what an error of the service's own counts against a broken connection. Services
	// answer some requests with an error in normal operation.
	erroredShare = 0.6
	// ejectRate is the failure rate above which an instance is left: two broken connections in a row, or
	// four errors.
	ejectRate = 0.3
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
	rate float64
	// until is the end of the current time away; hard is set when no connection could be made.
	until time.Time
	hard  bool
	// times is the number of times away since the last success.
	times int
	// trial is set from the end of a time away to the first success; one request is let through.
	trial     bool
	fullUntil time.Time
}

// left reports whether the instance is left alone now.
func (h *health) left(now time.Time) bool { return now.Before(h.until) }

// note takes an outcome in and reports whether the instance is to be left now.
func (h *health) note(o Outcome, now time.Time) (eject bool) {
	switch o {
	case Served:
		h.rate *= 1 - failureWeight
		h.times = 0
		h.trial = false
		h.hard = false
	case Full:
		h.fullUntil = now.Add(fullPause)
	case Unreachable:
		h.rate = 1
		h.hard = true
		return true
	case Broken:
		h.rate = h.rate*(1-failureWeight) + failureWeight
		return h.trial || h.rate > ejectRate
	case Errored:
		h.rate = h.rate*(1-failureWeight) + failureWeight*erroredShare
		return h.rate > ejectRate
	}
	return false
}

// leave starts a time away, twice as long as the one before.
func (h *health) leave(now time.Time) {
	if h.left(now) {
		return
	}
	away := min(longestEjection, firstEjection<<min(h.times, 8))
	h.until = now.Add(away)
	h.times++
	h.trial = true
}
