package sidecar

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"jacinthfork.example/jacinthfork/dialect"
	"jacinthfork.example/jacinthfork/kernel/journal"
	"jacinthfork.example/jacinthfork/verdict"
	"jacinthfork.example/jacinthfork/wire"
)

// Execute implements wire.SidecarServer. Everything that goes wrong is told in a Failure chunk; a
// gRPC error means a malformed request or a broken connection.
func (s *Sidecar) Execute(req *wire.ExecuteRequest, stream grpc.ServerStreamingServer[wire.Chunk]) error {
	if req.GetAttempt() == nil || req.GetAttempt().GetRouter() == "" {
		return status.Error(codes.InvalidArgument, "attempt is missing")
	}
	open := s.kernel.Counters.Int("requests_open")
	open.Add(1)
	defer open.Add(-1)
	s.pool.MergeRelayed(req.GetLoads())
	out := &chunkWriter{stream: stream, attempt: req.GetAttempt(), load: s.load}
	err := s.execute(req, out)
	s.explain(req, err)
	return out.outcome(err)
}

// explain keeps why an attempt was not served, for "jacinthfork explain".
func (s *Sidecar) explain(req *wire.ExecuteRequest, err error) {
	if err == nil || isConnectionError(err) {
		return
	}
	load := s.load()
	s.journal.Add(journal.KindRefusal, req.GetRequestId(), verdict.As(err).Error(),
		journal.Field{Name: "attempt", Value: wire.AttemptText(req.GetAttempt())},
		journal.Field{Name: "work", Value: strconv.FormatUint(load.GetWork(), 10)},
		journal.Field{Name: "mean", Value: strconv.FormatUint(load.GetMean(), 10)})
}

// execute refuses the attempt, attaches it to an earlier run, or starts a new one.
func (s *Sidecar) execute(req *wire.ExecuteRequest, out *chunkWriter) error {
	if err := s.refuseEarly(req); err != nil {
		return err
	}
	key := runKey{req.GetOrganisation(), req.GetRequestId()}
	if r := s.runs.attach(key); r != nil {
		return s.repeat(r, req, out)
	}
	if req.GetResumeOnly() {
		return s.refuse(verdict.New(verdict.NotRun, verdict.ReasonKeyAnswerGone, "there is no run of this request id to continue"))
	}
	if s.leaving.Load() {
		return s.refuse(verdict.New(verdict.NotRun, verdict.ReasonLeaving, "the sidecar is leaving"))
	}
	if !s.attempts.admit(req.GetAttempt()) {
		refusal := s.attempts.refusal(req.GetAttempt())
		return s.refuse(verdict.New(refusal, verdict.ReasonCancelled, "the attempt was cancelled or is a late copy"))
	}
	if req.GetIdempotencyKey() != "" {
		return s.action(req, out)
	}
	return s.run(key, req, out)
}

// refuseEarly refuses attempts that were meant for another sidecar.
func (s *Sidecar) refuseEarly(req *wire.ExecuteRequest) error {
	if want := req.GetSidecarIncarnation(); want != 0 && want != s.incarnation {
		return s.refuse(verdict.New(verdict.NotRun, verdict.ReasonIncarnation, "the attempt was meant for an earlier incarnation"))
	}
	if req.GetPool() != s.settings.Pool {
		return s.refuse(verdict.New(verdict.NotRun, verdict.ReasonUnknownPool, fmt.Sprintf("this instance serves pool %s", s.settings.Pool)))
	}
	if req.GetTimeLeftMs() <= 0 {
		return s.refuse(verdict.New(verdict.NotRun, verdict.ReasonDeadline, "the deadline has passed"))
	}
	return nil
}

func (s *Sidecar) refuse(err *verdict.Error) error {
	s.kernel.Counters.Map("refused").Add(string(err.Reason), 1)
	return err
}

// refuseWith counts a refusal and keeps the instance that should be asked instead.
func (s *Sidecar) refuseWith(err error) error {
	s.kernel.Counters.Map("refused").Add(string(verdict.As(err).Reason), 1)
	return err
}

// repeat sends the response of an earlier run of the same request ID.
func (s *Sidecar) repeat(r *run, req *wire.ExecuteRequest, out *chunkWriter) error {
	if r.fingerprint != req.GetFingerprint() {
		s.runs.detach(r)
		return s.refuse(verdict.New(verdict.NotRun, verdict.ReasonKeyMismatch, "the request id is in use for another body"))
	}
	s.kernel.Counters.Int("requests_repeated").Add(1)
	if err := out.admitted(true); err != nil {
		s.runs.detach(r)
		return err
	}
	return s.follow(r, position{data: req.GetResumeAfter()}, out)
}

// run admits and dispatches a request that may be cancelled, and follows its response.
func (s *Sidecar) run(key runKey, req *wire.ExecuteRequest, out *chunkWriter) error {
	deadline := time.Duration(req.GetTimeLeftMs()) * time.Millisecond
	ctx, cancel := context.WithTimeout(s.life, deadline)
	granted, err := s.admit(ctx, out.stream.Context(), req)
	if err != nil {
		cancel()
		return s.refuseWith(err)
	}
	r := &run{key: key, fingerprint: req.GetFingerprint(), cancel: cancel, recording: newRecording(s.settings.Answers.MaxBytes), keepOnDetach: !req.GetRepeatable()}
	if !s.runs.add(r) {
		granted.Done(false)
		cancel()
		return s.refuse(verdict.New(verdict.NotRun, verdict.ReasonKeyInProgress, "the request id started at the same time"))
	}
	if !s.attempts.start(req.GetAttempt()) {
		granted.Done(false)
		cancel()
		s.runs.finish(r, false)
		return s.refuse(verdict.New(verdict.NotRun, verdict.ReasonCancelled, "the attempt was cancelled"))
	}
	s.work.Go(func() { s.dispatch(ctx, r, req, granted) })
	if err := out.admitted(false); err != nil {
		s.runs.detach(r)
		return err
	}
	return s.follow(r, position{data: req.GetResumeAfter()}, out)
}

// dispatch runs the request at the backend server and records the response.
func (s *Sidecar) dispatch(ctx context.Context, r *run, req *wire.ExecuteRequest, granted *grant) {
	defer r.cancel()
	sink := &recorder{ctx: ctx, recording: r.recording, granted: granted, last: time.Now()}
	if req.GetStream() {
		sink.pacer = &s.pacer
	} else {
		estimate, stop := context.WithCancel(ctx)
		defer stop()
		go s.pacer.follow(estimate, granted)
	}
	usage, err := s.dialect.Run(ctx, dialectRequest(req), sink)
	if err == nil {
		s.prefixes.ran(req, usage.CachedTokens)
	}
	err = s.ended(granted, err)
	r.recording.finish(usage, err)
	s.runs.finish(r, err == nil)
}

// follow sends the recorded response to one router until it ends or the router goes.
func (s *Sidecar) follow(r *run, at position, out *chunkWriter) error {
	for {
		next, err := r.recording.next(out.stream.Context(), &at)
		if err != nil {
			s.runs.detach(r)
			return status.FromContextError(err).Err()
		}
		if next.err != nil {
			s.runs.detach(r)
			return next.err
		}
		if err := out.step(next); err != nil {
			s.runs.detach(r)
			return err
		}
		if next.end != nil {
			s.runs.detach(r)
			return nil
		}
	}
}

// Hello implements wire.SidecarServer.
func (s *Sidecar) Hello(context.Context, *wire.HelloRequest) (*wire.Load, error) {
	return s.load(), nil
}

// Cancel implements wire.SidecarServer. It ends the run when it has one reader, and says whether
// the attempt may have run.
func (s *Sidecar) Cancel(_ context.Context, req *wire.CancelRequest) (*wire.CancelReply, error) {
	reply := &wire.CancelReply{Incarnation: s.incarnation}
	if want := req.GetSidecarIncarnation(); want != 0 && want != s.incarnation {
		reply.Verdict = wire.Verdict_UNKNOWN
		return reply, nil
	}
	if req.GetAttempt() == nil {
		return nil, status.Error(codes.InvalidArgument, "attempt is missing")
	}
	reply.Verdict = s.attempts.cancel(req.GetAttempt())
	s.kernel.Counters.Map("cancels").Add(reply.Verdict.String(), 1)
	if req.GetAbandon() {
		s.runs.abandon(runKey{req.GetOrganisation(), req.GetRequestId()})
	}
	return reply, nil
}

// recorder is the dialect.Sink of a run.
type recorder struct {
	ctx       context.Context
	recording *recording
	granted   *grant
	// pacer is set for a streamed response.
	pacer *pacer
	last  time.Time
	begun bool
}

// Head implements dialect.Sink.
func (r *recorder) Head(statusCode int, headers []dialect.Header) error {
	head := &wire.Head{Status: int32(statusCode)}
	for _, h := range headers {
		head.Headers = append(head.Headers, &wire.Header{Name: h.Name, Value: h.Value})
	}
	r.recording.setHead(head)
	return nil
}

// Data implements dialect.Sink.
func (r *recorder) Data(body []byte) error {
	if r.pacer != nil {
		now := time.Now()
		r.pacer.observe(now.Sub(r.last), !r.begun)
		r.last, r.begun = now, true
		r.granted.Progress()
	}
	return r.recording.append(r.ctx, body)
}

func dialectRequest(req *wire.ExecuteRequest) *dialect.Request {
	out := &dialect.Request{
		Attempt: wire.AttemptText(req.GetAttempt()),
		Method:  req.GetMethod(), Path: req.GetPath(), Body: req.GetBody(), Stream: req.GetStream(),
	}
	for _, h := range req.GetHeaders() {
		out.Headers = append(out.Headers, dialect.Header{Name: h.GetName(), Value: h.GetValue()})
	}
	return out
}

// isConnectionError reports whether err is a gRPC error that must be returned as it is.
func isConnectionError(err error) bool {
	var v *verdict.Error
	return !errors.As(err, &v)
}
