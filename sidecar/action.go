package sidecar

import (
	"bytes"
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"jacinthfork.example/jacinthfork/claim"
	"jacinthfork.example/jacinthfork/dialect"
	"jacinthfork.example/jacinthfork/kernel/journal"
	"jacinthfork.example/jacinthfork/verdict"
	"jacinthfork.example/jacinthfork/wire"
)

// responseReserve is the part of the caller's time limit that is reserved for sending the response.
const responseReserve = 100 * time.Millisecond

// newExecutor returns the executor that runs actions with an idempotency key at most once.
func (s *Sidecar) newExecutor() (*claim.Executor, error) {
	c := s.settings.Claims
	return claim.New(claim.Options{
		Log: s.log, Pool: s.settings.Pool, Instance: s.settings.Instance, Incarnation: s.incarnation,
		Window: c.Window, Skew: c.Skew, ClockError: c.ClockError, Retention: c.Retention,
		Partitions: c.Partitions, Bucket: c.Bucket,
		MaxMemory: int64(c.MaxMemoryBytes), MaxResponseBytes: c.MaxResponseBytes,
		HolderLiveness: s.holderLiveness, Counters: s.kernel.Counters, Journal: s.journal,
	})
}

// runAction runs a non-idempotent action at most once. Claiming the key is aborted when the router's stream
// ends; after dispatch, the action runs until it completes or ResponseSettings.ActionTimeout has passed, whether
// or not a caller still waits for it.
func (s *Sidecar) runAction(req *wire.ExecuteRequest, out *chunkWriter) error {
	timeLeft := time.Duration(req.GetTimeLeftMs())*time.Millisecond - responseReserve
	ctx, cancel := context.WithTimeout(out.stream.Context(), min(timeLeft, s.settings.Claims.Timeout))
	defer cancel()
	action := claim.Action{
		Organisation: req.GetOrganisation(), Method: req.GetMethod(), Path: req.GetPath(),
		Key: req.GetIdempotencyKey(), Body: req.GetBody(),
	}
	granted, err := s.admit(ctx, ctx, req)
	if err != nil {
		return s.countRefusal(err)
	}
	defer granted.Done(false)
	outcome, replayed, err := s.executor.Run(ctx, action, func(context.Context) (claim.Outcome, error) {
		return s.dispatchAction(req, granted)
	})
	if err != nil {
		return s.countRefusal(err)
	}
	s.journal.Add(journal.KindRoute, req.GetRequestId(), "action answered",
		journal.Field{Name: journal.KeyField, Value: req.GetIdempotencyKey()},
		journal.Field{Name: "status", Value: strconv.Itoa(outcome.Status)},
		journal.Field{Name: "replayed", Value: strconv.FormatBool(replayed)})
	return sendOutcome(outcome, replayed, out)
}

// dispatchAction runs an action on the backend server after its key was claimed.
func (s *Sidecar) dispatchAction(req *wire.ExecuteRequest, granted *grant) (claim.Outcome, error) {
	if !s.attempts.start(req.GetAttempt()) {
		return claim.Outcome{}, verdict.New(verdict.NotRun, verdict.ReasonCancelled, "the attempt was cancelled")
	}
	ctx, cancel := context.WithTimeout(s.runCtx, s.settings.Responses.ActionTimeout)
	defer cancel()
	sink := &outcomeSink{maxBytes: s.settings.Responses.MaxBytes}
	_, err := s.dialect.Run(ctx, dialectRequest(req), sink)
	err = s.finishRun(granted, err)
	if err != nil {
		return claim.Outcome{}, err
	}
	return sink.outcome, nil
}

// outcomeSink is the dialect.Sink that collects the response of an action in memory.
type outcomeSink struct {
	outcome claim.Outcome
	// maxBytes bounds the response body.
	maxBytes int
}

// Head implements dialect.Sink.
func (o *outcomeSink) Head(status int, headers []dialect.Header) error {
	o.outcome.Status = status
	for _, h := range headers {
		o.outcome.Headers = append(o.outcome.Headers, claim.Header{Name: h.Name, Value: h.Value})
	}
	return nil
}

// Data implements dialect.Sink.
func (o *outcomeSink) Data(body []byte) error {
	if len(o.outcome.Body)+len(body) > o.maxBytes {
		return verdict.New(verdict.Ran, verdict.ReasonTooLarge, "the answer of the action exceeds the limit")
	}
	o.outcome.Body = append(o.outcome.Body, body...)
	return nil
}

// outcomeChunkBytes is the maximum size of a data chunk of an action's response.
const outcomeChunkBytes = 256 << 10

// sendOutcome sends the response of an action to the router.
func sendOutcome(outcome claim.Outcome, replayed bool, out *chunkWriter) error {
	if err := out.sendAdmitted(replayed); err != nil {
		return err
	}
	head := &wire.Head{Status: int32(outcome.Status)}
	for _, h := range outcome.Headers {
		head.Headers = append(head.Headers, &wire.Header{Name: h.Name, Value: h.Value})
	}
	if err := out.sendPart(responsePart{head: head}); err != nil {
		return err
	}
	end := &wire.End{Bytes: uint64(len(outcome.Body)), Checksum: xxhash.Sum64(outcome.Body)}
	for body := bytes.NewBuffer(outcome.Body); body.Len() > 0; {
		end.Chunks++
		if err := out.sendPart(responsePart{data: &wire.Data{Body: body.Next(outcomeChunkBytes), Event: end.Chunks}}); err != nil {
			return err
		}
	}
	return out.sendPart(responsePart{end: end})
}

// holderLiveness reports whether the incarnation that holds a claim is known to be alive or to have ended.
func (s *Sidecar) holderLiveness(instance string, incarnation uint64) claim.Liveness {
	if instance == s.settings.Instance {
		return liveness(incarnation == s.incarnation)
	}
	pool := s.view.Pool(s.settings.Pool)
	if len(pool.Members) == 0 {
		return claim.LivenessUnknown
	}
	member, ok := pool.Find(instance)
	if !ok {
		return claim.LivenessEnded
	}
	if member.Incarnation == 0 {
		return claim.LivenessUnknown
	}
	return liveness(member.Incarnation == incarnation)
}

func liveness(alive bool) claim.Liveness {
	if alive {
		return claim.LivenessAlive
	}
	return claim.LivenessEnded
}
