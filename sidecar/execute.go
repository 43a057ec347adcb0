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

// Execute implements wire.SidecarServer. Errors are reported in a Failure chunk; a gRPC error means a
// malformed request or a broken connection.
func (s *Sidecar) Execute(req *wire.ExecuteRequest, stream grpc.ServerStreamingServer[wire.Chunk]) error {
	if req.GetAttempt() == nil || req.GetAttempt().GetRouter() == "" {
		return status.Error(codes.InvalidArgument, "attempt is missing")
	}
	open := s.kernel.Counters.Int("requests_open")
	open.Add(1)
	defer open.Add(-1)
	s.pool.MergeRelayed(req.GetLoads())
	out := &chunkWriter{stream: stream, attempt: req.GetAttempt(), loadReport: s.loadReport}
	err := s.execute(req, out)
	s.recordRefusal(req, err)
	return out.sendFailure(err)
}

// recordRefusal adds the reason why an attempt failed to the journal, for "jacinthfork explain".
func (s *Sidecar) recordRefusal(req *wire.ExecuteRequest, err error) {
	if err == nil || lacksVerdict(err) {
		return
	}
	load := s.loadReport()
	s.journal.Add(journal.KindRefusal, req.GetRequestId(), verdict.As(err).Error(),
		journal.Field{Name: "attempt", Value: wire.FormatAttemptID(req.GetAttempt())},
		journal.Field{Name: "work", Value: strconv.FormatUint(load.GetWork(), 10)},
		journal.Field{Name: "mean", Value: strconv.FormatUint(load.GetMean(), 10)},
		journal.Field{Name: journal.KeyField, Value: req.GetIdempotencyKey()})
}

// execute refuses the attempt, attaches it to an existing run of the same request ID, or starts a new run.
func (s *Sidecar) execute(req *wire.ExecuteRequest, out *chunkWriter) error {
	if err := s.validateAttempt(req); err != nil {
		return err
	}
	key := runKey{req.GetOrganisation(), req.GetRequestId()}
	if r := s.runs.attach(key); r != nil {
		return s.replay(r, req, out)
	}
	if req.GetResumeOnly() {
		return s.refuse(verdict.New(verdict.NotRun, verdict.ReasonKeyAnswerNotKept, "there is no run of this request id to continue"))
	}
	if s.leaving.Load() {
		return s.refuse(verdict.New(verdict.NotRun, verdict.ReasonLeaving, "the sidecar is leaving"))
	}
	if !s.attempts.register(req.GetAttempt()) {
		refusal := s.attempts.refusalVerdict(req.GetAttempt())
		return s.refuse(verdict.New(refusal, verdict.ReasonCancelled, "the attempt was cancelled or is a late copy"))
	}
	if req.GetIdempotencyKey() != "" {
		return s.runAction(req, out)
	}
	return s.startRun(key, req, out)
}

// validateAttempt refuses attempts for another incarnation or pool and attempts whose deadline has passed.
func (s *Sidecar) validateAttempt(req *wire.ExecuteRequest) error {
	if want := req.GetSidecarIncarnation(); want != 0 && want != s.incarnation {
		return s.refuse(verdict.New(verdict.NotRun, verdict.ReasonIncarnationChanged, "the attempt was meant for an earlier incarnation"))
	}
	if req.GetPool() != s.settings.Pool {
		return s.refuse(verdict.New(verdict.NotRun, verdict.ReasonUnknownPool, fmt.Sprintf("this instance serves pool %s", s.settings.Pool)))
	}
	if req.GetTimeLeftMs() <= 0 {
		return s.refuse(verdict.New(verdict.NotRun, verdict.ReasonDeadline, "the deadline has passed"))
	}
	return nil
}

// refuse counts a refusal by its reason and returns it.
func (s *Sidecar) refuse(err *verdict.Error) error {
	s.kernel.Counters.Map("refused").Add(string(err.Reason), 1)
	return err
}

// countRefusal is refuse for an error that wraps a verdict.Error, such as a redirectError, which it
// preserves.
func (s *Sidecar) countRefusal(err error) error {
	s.kernel.Counters.Map("refused").Add(string(verdict.As(err).Reason), 1)
	return err
}

// replay sends the response of an existing run of the same request ID.
func (s *Sidecar) replay(r *run, req *wire.ExecuteRequest, out *chunkWriter) error {
	if r.fingerprint != req.GetFingerprint() {
		s.runs.detach(r)
		return s.refuse(verdict.New(verdict.NotRun, verdict.ReasonKeyMismatch, "the request id is in use for another body"))
	}
	s.kernel.Counters.Int("requests_repeated").Add(1)
	if err := out.sendAdmitted(true); err != nil {
		s.runs.detach(r)
		return err
	}
	return s.streamRecording(r, position{chunksRead: req.GetResumeAfter()}, out)
}

// startRun admits and dispatches a request without an idempotency key, and streams its response.
func (s *Sidecar) startRun(key runKey, req *wire.ExecuteRequest, out *chunkWriter) error {
	timeLeft := time.Duration(req.GetTimeLeftMs()) * time.Millisecond
	ctx, cancel := context.WithTimeout(s.runCtx, timeLeft)
	granted, err := s.admit(ctx, out.stream.Context(), req)
	if err != nil {
		cancel()
		return s.countRefusal(err)
	}
	r := &run{key: key, fingerprint: req.GetFingerprint(), cancel: cancel, recording: newRecording(s.settings.Responses.MaxBytes), runToCompletion: !req.GetRepeatable()}
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
	s.wg.Go(func() { s.dispatch(ctx, r, req, granted) })
	if err := out.sendAdmitted(false); err != nil {
		s.runs.detach(r)
		return err
	}
	return s.streamRecording(r, position{chunksRead: req.GetResumeAfter()}, out)
}

// dispatch runs the request on the backend server and records the response.
func (s *Sidecar) dispatch(ctx context.Context, r *run, req *wire.ExecuteRequest, granted *grant) {
	defer r.cancel()
	sink := &runSink{ctx: ctx, recording: r.recording, grant: granted, lastData: time.Now()}
	if req.GetStream() {
		sink.progress = &s.progress
	} else {
		estimateCtx, stop := context.WithCancel(ctx)
		defer stop()
		go s.progress.estimate(estimateCtx, granted)
	}
	usage, err := s.dialect.Run(ctx, dialectRequest(req), sink)
	if err == nil {
		s.prefixes.recordRun(req, usage.CachedTokens)
	}
	err = s.finishRun(granted, err)
	r.recording.finish(usage, err)
	s.runs.finish(r, err == nil)
}

// streamRecording sends the recorded response to one router until the response ends or the router
// disconnects.
func (s *Sidecar) streamRecording(r *run, at position, out *chunkWriter) error {
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
		if err := out.sendPart(next); err != nil {
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
	return s.loadReport(), nil
}

// Cancel implements wire.SidecarServer. It reports whether the attempt may have run. If the abandon field is set,
// it also cancels the run of the request ID, unless the run has other readers or must run to completion.
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

// runSink is the dialect.Sink of a run.
type runSink struct {
	ctx       context.Context
	recording *recording
	grant     *grant
	// progress is set only for a streamed response.
	progress *progressEstimator
	// lastData is the time of the last data chunk, or of the dispatch before the first one.
	lastData time.Time
	// started is set at the first data chunk of a streamed response.
	started bool
}

// Head implements dialect.Sink.
func (r *runSink) Head(statusCode int, headers []dialect.Header) error {
	head := &wire.Head{Status: int32(statusCode)}
	for _, h := range headers {
		head.Headers = append(head.Headers, &wire.Header{Name: h.Name, Value: h.Value})
	}
	r.recording.setHead(head)
	return nil
}

// Data implements dialect.Sink.
func (r *runSink) Data(body []byte) error {
	if r.progress != nil {
		now := time.Now()
		r.progress.observe(now.Sub(r.lastData), !r.started)
		r.lastData, r.started = now, true
		r.grant.Progress()
	}
	return r.recording.append(r.ctx, body)
}

func dialectRequest(req *wire.ExecuteRequest) *dialect.Request {
	out := &dialect.Request{
		AttemptID: wire.FormatAttemptID(req.GetAttempt()),
		Method:    req.GetMethod(), Path: req.GetPath(), Body: req.GetBody(), Stream: req.GetStream(),
	}
	for _, h := range req.GetHeaders() {
		out.Headers = append(out.Headers, dialect.Header{Name: h.GetName(), Value: h.GetValue()})
	}
	return out
}

// lacksVerdict reports whether err carries no verdict and must be returned as a gRPC error.
func lacksVerdict(err error) bool {
	var v *verdict.Error
	return !errors.As(err, &v)
}
