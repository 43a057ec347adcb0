package pool

import (
	"math"
	"time"
)

// Outcome is the result of a request as used for the health of the instance.
type Outcome uint8

// Outcomes of a request.
const (
	// Served means that the instance responded completely, other than with Errored.
	Served Outcome = iota
	// Abandoned means that the caller disconnected, the deadline passed, or a reused connection turned out to
	// be stale. It says nothing about the instance.
	Abandoned
	// Refused means that the instance provably did not run the request.
	Refused
	// Unreachable means that no connection could be made.
	Unreachable
	// Broken means that the connection broke, the response did not answer the request, or a response too long
	// to buffer could not be relayed completely, whether the instance or the caller caused it.
	Broken
	// Errored means that the instance responded with a 5xx status and a body short enough to buffer, or with
	// something other than the rest of a stream that was to be resumed.
	Errored
	// Replaced means that another instance has the address. The request did not run.
	Replaced
)

// String returns the outcome as it appears in logs.
func (o Outcome) String() string {
	return [...]string{"served", "abandoned", "full", "unreachable", "broken", "errored", "replaced"}[o]
}

const (
	// failingRate is the failure rate to detect.
	failingRate = 0.45
	// minBaselineRate is the lowest failure rate assumed for a pool, so that a single failure does not eject
	// an instance.
	minBaselineRate = 0.02
	// failureRateWeight is the weight of the newest request in the failure rate of a pool. The rate adapts
	// over a few hundred requests, while a failing instance is detected within a few.
	failureRateWeight = 0.005
	// minEjection and maxEjection are the shortest and the longest ejection. A restart of a backend server
	// takes a few seconds.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// refusalBackoff is how long an instance that refused a request is not preferred. Its queue needs some
	// service times to drain.
	refusalBackoff = 50 * time.Millisecond
)

// detector says when an instance is ejected for failed requests.
type detector struct {
	// score is the log-likelihood ratio at which it is: the outcomes observed since the score was last 0 are then
	// exp(score) times as likely at failingRate as at the failure rate of the pool.
	score float64
	// sticky is set if it takes some successes to clear the score. Otherwise the first one after an ejection does.
	sticky bool
}

var (
	// ownDetector is for the outcomes of this router's own requests, which are few in a large fleet. It ejects an
	// instance for this router alone.
	ownDetector = detector{score: 5.7}
	// keeperDetector is for the outcomes of all routers' requests. It ejects an instance for all of them, and must not
	// do so for errors that a service returns in normal operation, of which there are many.
	keeperDetector = detector{score: 9, sticky: true}
)

// health is the state of one instance derived from the outcomes of its recent requests.
type health struct {
	// score is the CUSUM score: the sum of the log-likelihood ratios of the outcomes at failingRate and at
	// the failure rate of the pool, never below 0.
	score float64
	// ejectedUntil is the end of the current ejection. unreachable is set when no connection could be made.
	ejectedUntil time.Time
	unreachable  bool
	// ejections is the number of ejections since the score was last 0.
	ejections int
	// probing is set from the start of an ejection to the first success. After the ejection one request at a
	// time is let through.
	probing bool
	// backoffUntil is the end of the backoff after a refusal.
	backoffUntil time.Time
}

// ejected reports whether the instance is ejected at the given time.
func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// unavailable reports whether the instance is ejected or its probe request is still running. inFlight is the
// number of requests that this router has in flight there.
func (h *health) unavailable(now time.Time, inFlight int) bool {
	return h.ejected(now) || h.probing && inFlight > 0
}

// record adds an outcome and reports whether the instance should be ejected now. baseline is the failure rate
// of the whole pool.
func (h *health) record(o Outcome, d detector, baseline float64, now time.Time) (eject bool) {
	baseline = min(max(baseline, minBaselineRate), failingRate/2)
	switch o {
	case Served:
		h.score = max(0, h.score+math.Log((1-failingRate)/(1-baseline)))
		if h.score == 0 {
			h.ejections = 0
		}
		h.probing = false
		h.unreachable = false
	case Refused:
		h.backoffUntil = now.Add(refusalBackoff)
	case Unreachable:
		h.unreachable = true
		return true
	case Broken, Errored:
		h.score += math.Log(failingRate / baseline)
		if h.probing || h.score >= d.score {
			h.score = 0
			if d.sticky {
				h.score = d.score
			}
			return true
		}
	}
	return false
}

// startEjection starts an ejection that lasts twice as long as the one before, up to maxEjection.
func (h *health) startEjection(now time.Time) {
	if h.ejected(now) {
		return
	}
	period := min(maxEjection, minEjection<<min(h.ejections, 8))
	h.ejectedUntil = now.Add(period)
	h.ejections++
	h.probing = true
}

// readmit ends an ejection without a request as a probe.
func (h *health) readmit(now time.Time) {
	h.unreachable = false
	h.probing = false
	h.ejectedUntil = now
}
