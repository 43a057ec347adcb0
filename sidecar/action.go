package sidecar

import (
	"bytes"
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"jacinthfork.example/jacinthfork/claim"
	"jacinthfork.example/jacinthfork/dialect"
	"jacinthfork.example/jacinthfork/verdict"
	"jacinthfork.example/jacinthfork/wire"
)

// answerReserve is the part of the caller's deadline that is left for sending the answer.
const answerReserve = 100 * time.Millisecond

// newKeeper returns the keeper that runs keyed actions at most once.
func (s *Sidecar) newKeeper() (*claim.Keeper, error) {
	c := s.settings.Claims
	return claim.New(claim.Options{
		Log: s.log, Pool: s.settings.Pool, Instance: s.settings.Instance, Incarnation: s.incarnation,
		Window: c.Window, Skew: c.Skew, ClockError: c.ClockError, Retention: c.Retention,
		Partitions: c.Partitions, Bucket: c.Bucket,
		MaxMemory: int64(c.MaxMemory), MaxAnswer: c.MaxAnswer,
		Holder: s.holder, Counters: s.kernel.Counters, Journal: s.journal,
	})
}

// action runs a non-idempotent action at most once. The claim phase ends with the router's stream;
// once dispatched, the action is finished whether or not somebody still waits.
func (s *Sidecar) action(req *wire.ExecuteRequest, out *chunkWriter) error {
	left := time.Duration(req.GetTimeLeftMs())*time.Millisecond - answerReserve
	ctx, cancel := context.WithTimeout(out.stream.Context(), min(left, s.settings.Claims.Timeout))
	defer cancel()
	action := claim.Action{
		Organisation: req.GetOrganisation(), Method: req.GetMethod(), Path: req.GetPath(),
		Key: req.GetIdempotencyKey(), Body: req.GetBody(),
	}
	granted, err := s.admit(ctx, ctx, req)
	if err != nil {
		return s.refuseWith(err)
	}
	defer granted.Done(false)
	outcome, replayed, err := s.keeper.Run(ctx, action, func(context.Context) (claim.Outcome, error) {
		return s.dispatchAction(req, granted)
	})
	if err != nil {
		return s.refuseWith(err)
	}
	return sendOutcome(outcome, replayed, out)
}

// dispatchAction runs a claimed action at the backend server.
func (s *Sidecar) dispatchAction(req *wire.ExecuteRequest, granted *grant) (claim.Outcome, error) {
	if !s.attempts.start(req.GetAttempt()) {
		return claim.Outcome{}, verdict.New(verdict.NotRun, verdict.ReasonCancelled, "the attempt was cancelled")
	}
	run, cancel := context.WithTimeout(s.life, s.settings.Answers.ActionTimeout)
	defer cancel()
	sink := &outcomeSink{limit: s.settings.Answers.MaxBytes}
	_, err := s.dialect.Run(run, dialectRequest(req), sink)
	err = s.ended(granted, err)
	if err != nil {
		return claim.Outcome{}, err
	}
	return sink.outcome, nil
}

// outcomeSink collects the answer of an action.
type outcomeSink struct {
	outcome claim.Outcome
	limit   int
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
	if len(o.outcome.Body)+len(body) > o.limit {
		return verdict.New(verdict.Ran, verdict.ReasonTooLarge, "the answer of the action exceeds the limit")
	}
	o.outcome.Body = append(o.outcome.Body, body...)
	return nil
}

// outcomeChunkBytes is the size of a data chunk of an action's answer.
const outcomeChunkBytes = 256 << 10

// sendOutcome sends the answer of an action to the router.
func sendOutcome(outcome claim.Outcome, replayed bool, out *chunkWriter) error {
	if err := out.admitted(replayed); err != nil {
		return err
	}
	head := &wire.Head{Status: int32(outcome.Status)}
	for _, h := range outcome.Headers {
		head.Headers = append(head.Headers, &wire.Header{Name: h.Name, Value: h.Value})
	}
	if err := out.step(step{head: head}); err != nil {
		return err
	}
	end := &wire.End{Bytes: uint64(len(outcome.Body)), Checksum: xxhash.Sum64(outcome.Body)}
	for body := bytes.NewBuffer(outcome.Body); body.Len() > 0; {
		end.Chunks++
		if err := out.step(step{data: &wire.Data{Body: body.Next(outcomeChunkBytes), Event: end.Chunks}}); err != nil {
			return err
		}
	}
	return out.step(step{end: end})
}

// holder says what is known about the holder of a claim.
func (s *Sidecar) holder(instance string, incarnation uint64) claim.Liveness {
	if instance == s.settings.Instance {
		return liveness(incarnation == s.incarnation)
	}
	pool := s.view.Pool(s.settings.Pool)
	if len(pool.Members) == 0 {
		return claim.Unsure
	}
	member, ok := pool.Find(instance)
	if !ok {
		return claim.Gone
	}
	if member.Incarnation == 0 {
		return claim.Unsure
	}
	return liveness(member.Incarnation == incarnation)
}

func liveness(alive bool) claim.Liveness {
	if alive {
		return claim.Alive
	}
	return claim.Gone
}
