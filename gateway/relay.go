package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"jacinthfork.example/jacinthfork/gateway/backend"
	"jacinthfork.example/jacinthfork/gateway/buffer"
	"jacinthfork.example/jacinthfork/gateway/pool"
	"jacinthfork.example/jacinthfork/gateway/routes"
	"jacinthfork.example/jacinthfork/verdict"
)

const (
	// maxBufferedBytes is the size up to which a response is buffered completely before it is relayed, so that a
	// truncated response can still become an error or a retry. Larger responses are streamed, and so are smaller
	// ones while totalBufferBytes are in use.
	maxBufferedBytes = 1 << 20
	// totalBufferBytes bounds the buffered responses and events of all requests together, within the account of memory.
	totalBufferBytes = 8 << 20
	// maxResponseBytes bounds a response that is not a stream of events.
	maxResponseBytes = 64 << 20
	// maxRefusalBytes and refusalTimeout bound the body of a refusal, which is read only in order to reuse the
	// connection.
	maxRefusalBytes = 16 << 10
	refusalTimeout  = 50 * time.Millisecond
)

// relay passes a response on to the caller, or returns an error if it cannot be used.
func (s *requestState) relay(ctx context.Context, lease *pool.Lease, resp *backend.Response) (pool.Outcome, error) {
	if outcome, err := s.screen(lease, resp); err != nil {
		return outcome, err
	}
	if s.route.Mode != routes.Streaming && resp.StatusCode < http.StatusInternalServerError {
		s.recordFirstByte(lease)
	}
	s.releaseSentBody(resp)
	s.streaming = s.streaming && s.responseStarted
	switch {
	case promisesNotRun(resp.StatusCode):
		return s.refusePromise(lease, resp)
	case s.canStream(resp):
		return s.relayStream(ctx, lease, resp)
	case s.responseStarted:
		resp.Abort()
		return pool.Errored, verdict.New(verdict.Ran, verdict.ReasonEngineError, "the stream could not go on")
	}
	return s.relayBuffered(ctx, lease, resp)
}

// promisesNotRun reports whether a status tells a caller that its request has not run and will not.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// refusePromise ends a response whose status makes a promise that its instance has not stated. The request counts as run.
func (s *requestState) refusePromise(lease *pool.Lease, resp *backend.Response) (pool.Outcome, error) {
	s.refuseResponse(lease, "promise", strconv.Itoa(resp.StatusCode))
	s.drain(resp)
	outcome := pool.Served
	if resp.StatusCode >= http.StatusInternalServerError {
		outcome = pool.Errored
	}
	return outcome, verdict.New(verdict.Ran, verdict.ReasonEngineError, "status "+strconv.Itoa(resp.StatusCode)+" without the statement that the request has not run")
}

// screen records what the header of a response says and ends the response with an error if it is not an instance's answer
// to the request.
func (s *requestState) screen(lease *pool.Lease, resp *backend.Response) (pool.Outcome, error) {
	reply := s.g.env.Protocol.ParseResponse(resp.Response)
	s.recordAnnouncements(lease, &reply)
	switch {
	case reply.Misdirected:
		resp.Abort()
		s.attemptsSent--
		s.g.log.Warn("address belongs to another instance", "instance", lease.Instance.ID, "address", lease.Instance.Address)
		return pool.Replaced, verdict.New(verdict.NotRun, verdict.ReasonIncarnationChanged, "another instance has the address")
	case reply.NotRun:
		s.drain(resp)
		s.attemptsSent--
		return pool.Refused, verdict.New(verdict.NotRun, verdict.ReasonOverCapacity, "refused with status "+strconv.Itoa(resp.StatusCode))
	case !reply.Signed:
		resp.Abort()
		return pool.Broken, verdict.New(verdict.Unknown, verdict.ReasonForeignChunk, "an answer without a signature")
	case resp.Header.Get("Content-Encoding") != "":
		resp.Abort()
		return pool.Broken, verdict.New(verdict.Unknown, verdict.ReasonForeignChunk, "an encoded answer")
	}
	return pool.Served, nil
}

// recordAnnouncements records what a backend server says of itself in a response. One that was meant for another instance
// says nothing about that one.
func (s *requestState) recordAnnouncements(lease *pool.Lease, reply *ResponseInfo) {
	if reply.Misdirected {
		return
	}
	if s.g.settings.Pool.LimitEngines && reply.Signed && reply.Load.Pace > 0 && !lease.RecordPace(reply.Load.Pace) {
		s.g.metrics.paceIgnored.Add(s.pool, 1)
	}
	if s.g.extraWork.Enabled() && reply.Signed && reply.Load.Pace > 0 {
		lease.RecordSeenPace(reply.Load.Pace)
	}
	if reply.Leaving && lease.RecordLeaving() {
		s.g.metrics.departures.Add(s.pool, 1)
		s.g.log.Info("departure announced", "instance", lease.Instance.ID, "id", s.call.ID)
	}
	if reply.RetryAfter > 0 && lease.RecordHoldOff(reply.RetryAfter) {
		s.g.metrics.holdOffs.Add(s.pool, 1)
		s.g.log.Info("instance held off", "instance", lease.Instance.ID, "id", s.call.ID, "for_ms", reply.RetryAfter.Milliseconds())
	}
}

// abandon ends a response that is of no use any more, except for what its instance says of itself.
func (s *requestState) abandon(lease *pool.Lease, resp *backend.Response) {
	resp.Abort()
	reply := s.g.env.Protocol.ParseResponse(resp.Response)
	s.recordAnnouncements(lease, &reply)
}

// drain reads the body of a refusal, so that the connection can be reused, or closes the connection.
func (s *requestState) drain(resp *backend.Response) {
	if resp.Close || !resp.BodySent() {
		resp.Abort()
		return
	}
	resp.SetReadDeadline(time.Now().Add(refusalTimeout))
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxRefusalBytes))
	if err != nil || n == maxRefusalBytes {
		resp.Abort()
		return
	}
	resp.FinishRefusal(s.call.ID)
}

// relayBuffered reads the whole response and passes it on.
func (s *requestState) relayBuffered(ctx context.Context, lease *pool.Lease, resp *backend.Response) (pool.Outcome, error) {
	// The length of a response to HEAD is that of the response to GET.
	isHead := s.request.Method == http.MethodHead
	if resp.ContentLength > maxResponseBytes && !isHead {
		resp.Abort()
		return pool.Broken, verdict.Wrap(verdict.Ran, verdict.ReasonTooLarge, errResponseTooLarge)
	}
	body := s.g.buffers.New("response", maxBufferedBytes)
	defer body.Close()
	length := resp.ContentLength
	if !isHead {
		body.Expect(length)
	}
	complete, err := body.Fill(resp.Body)
	if err != nil {
		resp.Abort()
		if ctx.Err() != nil {
			return pool.Abandoned, s.contextError(ctx, verdict.Ran)
		}
		s.reportFailedConnection(lease)
		return pool.Broken, verdict.Wrap(verdict.Ran, verdict.ReasonTruncated, err)
	}
	if !complete {
		if answersPrompt(resp.StatusCode) {
			s.recordAnswer()
		}
		return s.relayUnbuffered(ctx, lease, resp, body)
	}
	s.recordEnd(lease, resp)
	failed := resp.StatusCode >= http.StatusInternalServerError
	if failed && (s.secondHasRequest() || s.retriesErrorResponse()) {
		resp.Finish()
		return pool.Errored, verdict.New(verdict.Ran, verdict.ReasonEngineError, "status "+strconv.Itoa(resp.StatusCode))
	}
	s.commit()
	resp.Finish()
	s.copyHeader(resp.Response)
	if !isHead {
		length = int64(body.Len())
	}
	if length >= 0 {
		s.writer.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	s.writer.WriteHeader(resp.StatusCode)
	s.responseStarted = true
	// An error means that the caller disconnected, which net/http handles.
	_, _ = s.writer.Write(body.Bytes())
	s.g.metrics.firstByte.observe(time.Since(s.start))
	if failed {
		return pool.Errored, nil
	}
	return pool.Served, nil
}

// retriesErrorResponse decides whether a request that a backend server answered with an error is sent to
// another one, and if so withdraws the retry from the budget. Otherwise the caller receives the backend
// server's response.
func (s *requestState) retriesErrorResponse() bool {
	if !s.route.Retryable() || s.attemptsSent >= s.route.MaxAttempts || !s.g.registry.HasAlternative(s.poolRequest()) {
		return false
	}
	s.retryReserved = s.budget.Withdraw(time.Now())
	return s.retryReserved
}

// errResponseTooLarge is the error of a response larger than maxResponseBytes.
var errResponseTooLarge = &buffer.LimitError{What: "whole response", Limit: maxResponseBytes, Unit: "bytes"}

// relayUnbuffered passes on a response that is too long to buffer. If it does not end properly, the caller's
// response is cut off.
func (s *requestState) relayUnbuffered(ctx context.Context, lease *pool.Lease, resp *backend.Response, begin *buffer.Buffer) (pool.Outcome, error) {
	s.commit()
	s.copyHeader(resp.Response)
	if resp.ContentLength >= 0 {
		s.writer.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	s.writer.WriteHeader(resp.StatusCode)
	s.responseStarted, s.plainStarted = true, true
	s.leaveUnanswered()
	rest := int64(maxResponseBytes - begin.Len())
	out := &callerWriter{ResponseWriter: s.writer}
	_, err := out.Write(begin.Bytes())
	begin.Close()
	if err == nil {
		var n int64
		n, err = io.Copy(out, io.LimitReader(resp.Body, rest+1))
		if err == nil && n > rest {
			err = errResponseTooLarge
		}
	}
	if err != nil {
		resp.Abort()
		if ctx.Err() != nil {
			return pool.Abandoned, s.contextError(ctx, verdict.Ran)
		}
		if out.failed {
			return pool.Abandoned, verdict.Wrap(verdict.Ran, verdict.ReasonCancelled, err)
		}
		s.reportFailedConnection(lease)
		return pool.Broken, verdict.Wrap(verdict.Ran, verdict.ReasonTruncated, err)
	}
	s.recordEnd(lease, resp)
	resp.Finish()
	return pool.Served, nil
}

// callerWriter notes that a write to the caller has failed, which is not a failure of the instance.
type callerWriter struct {
	http.ResponseWriter
	failed bool
}

// Write implements io.Writer.
func (w *callerWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.failed = w.failed || err != nil
	return n, err
}

// framed reports whether a response has a length or chunks, so that its end differs from a lost connection.
func framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// copyHeader copies the end-to-end header fields of a response.
func (s *requestState) copyHeader(resp *http.Response) {
	copyEndToEnd(s.writer.Header(), resp.Header)
}
