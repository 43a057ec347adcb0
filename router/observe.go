package router

import (
	"time"

	"jacinthfork.example/jacinthfork/burn"
	"jacinthfork.example/jacinthfork/verdict"
)

// callersFault are the reasons of refusals that the caller brought about and that no better service
// would avoid. ReasonOverShare is not among them, because it needs an overloaded engine.
var callersFault = map[verdict.Reason]bool{
	verdict.ReasonBadRequest: true, verdict.ReasonTooLarge: true, verdict.ReasonUnknownPool: true,
	verdict.ReasonNoOrganisation: true, verdict.ReasonUnauthorised: true,
	verdict.ReasonOrganisationRate: true, verdict.ReasonCrashRefused: true,
	verdict.ReasonKeyInvalid: true, verdict.ReasonKeyExpired: true, verdict.ReasonKeyFuture: true,
	verdict.ReasonKeyMismatch: true, verdict.ReasonKeyInProgress: true,
}

// isCallersFault reports whether a failed request is left out of the error budget: a refusal in
// callersFault, or a caller that left before the end. A refusal after the request may have run
// counts, except that the age of a key is the caller's choice whatever became of an earlier request.
func isCallersFault(err *verdict.Error) bool {
	if err.Reason == verdict.ReasonCancelled || err.Reason == verdict.ReasonKeyExpired || err.Reason == verdict.ReasonKeyFuture {
		return true
	}
	return err.Verdict == verdict.NotRun && callersFault[err.Reason]
}

// observe records the outcome of one call. A stream without a first token misses that objective,
// also when its caller waited for longer than the limit and left.
func (r *Router) observe(c *call, err *verdict.Error) {
	if err == nil {
		r.burn.Count(burn.WholeAnswer, c.organisation, true)
		return
	}
	fault := isCallersFault(err)
	if !fault {
		r.burn.Count(burn.WholeAnswer, c.organisation, false)
	}
	if c.latency == nil || c.latency.first {
		return
	}
	waited := time.Since(c.started) > burn.FirstTokenLimit
	if !fault || err.Reason == verdict.ReasonCancelled && waited {
		r.burn.Count(burn.FirstToken, c.organisation, false)
	}
}

// observeRejected records a request that ended before it became a call.
func (r *Router) observeRejected(organisation string, err *verdict.Error) {
	if !isCallersFault(err) {
		r.burn.Count(burn.WholeAnswer, organisation, false)
	}
}

// latencyProbe measures the time to the first token and between tokens of a stream. A response that
// is not streamed has no tokens that the router could time. Each event counts as a token, because
// the router does not parse events; those of the role, the end and the usage are among them.
type latencyProbe struct {
	router *Router
	call   *call
	last   time.Time
	first  bool
}

func (l *latencyProbe) token() {
	now := time.Now()
	gap := now.Sub(l.last)
	l.last = now
	objective := burn.BetweenTokens
	if !l.first {
		l.first = true
		objective = burn.FirstToken
	}
	l.router.burn.Observe(objective, l.call.organisation, gap)
	l.router.count.Map("latency_"+string(objective)).Add(bucketName(gap), 1)
}

// latencyBounds are the upper bounds of the latency buckets. The limits of the objectives are among
// them.
var latencyBounds = []time.Duration{
	10 * time.Millisecond, 20 * time.Millisecond, burn.BetweenTokensLimit, 50 * time.Millisecond,
	100 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond, burn.FirstTokenLimit,
	2400 * time.Millisecond, 5 * time.Second,
}

func bucketName(took time.Duration) string {
	for _, bound := range latencyBounds {
		if took <= bound {
			return bound.String()
		}
	}
	return "more"
}
