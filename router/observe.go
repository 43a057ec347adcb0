package router

import (
	"time"

	"jacinthfork.example/jacinthfork/burn"
	"jacinthfork.example/jacinthfork/verdict"
)

// callerErrorReasons are the reasons of refusals that the caller caused and that no better service would
// avoid. ReasonOverShare is not included, because it occurs only when an engine is overloaded.
var callerErrorReasons = map[verdict.Reason]bool{
	verdict.ReasonBadRequest: true, verdict.ReasonTooLarge: true, verdict.ReasonUnknownPool: true,
	verdict.ReasonMissingOrganisation: true, verdict.ReasonUnauthorised: true,
	verdict.ReasonOrganisationLimit: true, verdict.ReasonCrashRefused: true,
	verdict.ReasonKeyInvalid: true, verdict.ReasonKeyExpired: true, verdict.ReasonKeyFromFuture: true,
	verdict.ReasonKeyMismatch: true, verdict.ReasonKeyInProgress: true,
}

// isCallerError reports whether a failed request is excluded from the error budget: a refusal with one of
// callerErrorReasons, or a caller that disconnected early. A refusal of a request that may have run
// uses error budget, except for an expired or future key: the caller chooses the age of a key,
// whatever happened to an earlier request.
func isCallerError(err *verdict.Error) bool {
	if err.Reason == verdict.ReasonCancelled || err.Reason == verdict.ReasonKeyExpired || err.Reason == verdict.ReasonKeyFromFuture {
		return true
	}
	return err.Verdict == verdict.NotRun && callerErrorReasons[err.Reason]
}

// observeOutcome records the outcome of one call. A stream that failed without a first token misses the
// first-token objective, unless the caller caused the error. A stream whose caller disconnected misses it only
// if the caller had waited longer than the limit.
func (r *Router) observeOutcome(c *call, err *verdict.Error) {
	if err == nil {
		r.burn.Count(burn.WholeAnswer, c.organisation, true)
		return
	}
	callerError := isCallerError(err)
	if !callerError {
		r.burn.Count(burn.WholeAnswer, c.organisation, false)
	}
	if c.latency == nil || c.latency.hasFirst {
		return
	}
	overLimit := time.Since(c.started) > burn.FirstTokenLimit
	if !callerError || err.Reason == verdict.ReasonCancelled && overLimit {
		r.burn.Count(burn.FirstToken, c.organisation, false)
	}
}

// observeRejected records a request that was rejected before it became a call.
func (r *Router) observeRejected(organisation string, err *verdict.Error) {
	if !isCallerError(err) {
		r.burn.Count(burn.WholeAnswer, organisation, false)
	}
}

// latencyProbe measures the time to the first token and between tokens of a stream. A response that is not
// streamed has no tokens that the router could time. Each event counts as a token, because the router does
// not parse events; role, finish and usage events are therefore counted too.
type latencyProbe struct {
	router    *Router
	call      *call
	lastToken time.Time
	hasFirst  bool
}

func (l *latencyProbe) observeToken() {
	now := time.Now()
	gap := now.Sub(l.lastToken)
	l.lastToken = now
	objective := burn.BetweenTokens
	if !l.hasFirst {
		l.hasFirst = true
		objective = burn.FirstToken
	}
	l.router.burn.Observe(objective, l.call.organisation, gap)
	l.router.counters.Map("latency_"+string(objective)).Add(latencyBucket(gap), 1)
}

// latencyBounds are the upper bounds of the latency histogram buckets. They include the limits of the
// objectives.
var latencyBounds = []time.Duration{
	10 * time.Millisecond, 20 * time.Millisecond, burn.BetweenTokensLimit, 50 * time.Millisecond,
	100 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond, burn.FirstTokenLimit,
	2400 * time.Millisecond, 5 * time.Second,
}

func latencyBucket(took time.Duration) string {
	for _, bound := range latencyBounds {
		if took <= bound {
			return bound.String()
		}
	}
	return "more"
}
