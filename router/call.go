package router

import (
	"context"
	"time"

	"jacinthfork.example/jacinthfork/placement"
	"jacinthfork.example/jacinthfork/wire"
)

// call is the state of one caller request while it is being served.
type call struct {
	id string
	// callerSuppliedID is set when the request ID came from the caller, who can then resume the response.
	callerSuppliedID bool
	// resuming is set when the caller asks for the rest of an earlier response.
	resuming     bool
	organisation string
	pool         string
	// repeatable is set when the request may be sent again although an earlier attempt may have run.
	repeatable bool
	body       []byte
	// template holds the fields that all attempts share. It is not sent itself.
	template     *wire.ExecuteRequest
	placementReq placement.Request
	response     responseWriter
	// latency measures the time to the first token and between tokens of a stream; nil for other requests.
	latency *latencyProbe
	started time.Time
	// failedAttempts lists the attempts that did not serve the request, for the Jacinthfork-Route field
	// and the journal.
	failedAttempts []failedAttempt
	attempts       int
	// resumeAttempts counts the attempts to resume a stream that broke after its start.
	resumeAttempts int
	// redirectTo is the instance that the last failure told the router to try next.
	redirectTo string
	// servedBy is the instance whose response the caller receives.
	servedBy string
	// explanation is the placement policy's account of the candidate order.
	explanation string
}

// failedAttempt is one attempt that did not serve the request.
type failedAttempt struct {
	instance string
	reason   string
}

// executeRequest returns the ExecuteRequest of the next attempt.
func (c *call) executeRequest(ctx context.Context, attempt *wire.AttemptID, incarnation uint64) *wire.ExecuteRequest {
	m := &wire.ExecuteRequest{
		Attempt: attempt, RequestId: c.id, SidecarIncarnation: incarnation,
		Organisation: c.organisation, Pool: c.pool, Chat: c.template.GetChat(),
		Method: c.template.GetMethod(), Path: c.template.GetPath(), Headers: c.template.GetHeaders(),
		Body: c.body, Stream: c.template.GetStream(), IdempotencyKey: c.template.GetIdempotencyKey(),
		Repeatable: c.repeatable, PromptTokens: c.template.GetPromptTokens(), DecodeTokens: c.template.GetDecodeTokens(),
		DocumentGroup: c.rankingKey(), ChatHash: c.placementReq.Chat, Fingerprint: c.template.GetFingerprint(),
		Isolate: c.template.GetIsolate(), ByToken: c.template.GetByToken(), AtMean: c.template.GetAtMean(), ResumeAfter: c.response.deliveredEvents(), ResumeOnly: c.response.deliveredEvents() > 0,
	}
	if deadline, ok := ctx.Deadline(); ok {
		m.TimeLeftMs = time.Until(deadline).Milliseconds()
	}
	return m
}

// addFailure records a failed attempt.
func (c *call) addFailure(instance, reason string) {
	c.failedAttempts = append(c.failedAttempts, failedAttempt{instance, reason})
}
