package router

import (
	"context"
	"time"

	"jacinthfork.example/jacinthfork/placement"
	"jacinthfork.example/jacinthfork/wire"
)

// call is one request of a caller while it is being served.
type call struct {
	id string
	// named is set when the caller chose the ID; it may then come back for the rest.
	named bool
	// resuming is set when the caller asks for the rest of an earlier response.
	resuming     bool
	organisation string
	pool         string
	repeatable   bool
	body         []byte
	message      *wire.ExecuteRequest
	place        placement.Request
	answer       answer
	// latency times the tokens of a stream; nil for other calls.
	latency *latencyProbe
	started time.Time
	// refusals says who refused the call and why, for the explanation.
	refusals []refusal
	attempts int
	// resumes counts the attempts to continue a stream that broke after it had begun.
	resumes int
	// askNext is the instance that a refusal named.
	askNext string
	// served is the instance whose response the caller gets.
	served  string
	explain string
}

// refusal is one attempt that did not serve the call.
type refusal struct {
	instance string
	reason   string
}

// request returns the message of the next attempt.
func (c *call) request(ctx context.Context, attempt *wire.AttemptID, incarnation uint64) *wire.ExecuteRequest {
	m := &wire.ExecuteRequest{
		Attempt: attempt, RequestId: c.id, SidecarIncarnation: incarnation,
		Organisation: c.organisation, Pool: c.pool, Chat: c.message.GetChat(),
		Method: c.message.GetMethod(), Path: c.message.GetPath(), Headers: c.message.GetHeaders(),
		Body: c.body, Stream: c.message.GetStream(), IdempotencyKey: c.message.GetIdempotencyKey(),
		Repeatable: c.repeatable, PromptTokens: c.message.GetPromptTokens(), DecodeTokens: c.message.GetDecodeTokens(),
		DocumentGroup: c.exposureKey(), ChatHash: c.place.Chat, Fingerprint: c.message.GetFingerprint(),
		Isolate: c.message.GetIsolate(), ByToken: c.message.GetByToken(), AtMean: c.message.GetAtMean(), ResumeAfter: c.answer.delivered(), ResumeOnly: c.answer.delivered() > 0,
	}
	if deadline, ok := ctx.Deadline(); ok {
		m.TimeLeftMs = time.Until(deadline).Milliseconds()
	}
	return m
}

// refuse records an attempt that failed.
func (c *call) refuse(instance, reason string) {
	c.refusals = append(c.refusals, refusal{instance, reason})
}
