package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"jacinthfork.example/jacinthfork/gateway/backend"
	"jacinthfork.example/jacinthfork/gateway/pool"
	"jacinthfork.example/jacinthfork/gateway/routes"
	"jacinthfork.example/jacinthfork/verdict"
)

// wholeBytes is the largest answer that is held whole before it is relayed, so that one that breaks
// off can still become a failure or a repeat. Longer ones are relayed as they come.
const wholeBytes = 4 << 20

// relay passes an answer on, or says why it is no answer.
func (s *serving) relay(ctx context.Context, lease *pool.Lease, resp *backend.Response) (pool.Outcome, error) {
	reply := s.g.env.Protocol.ReadReply(resp.Response)
	switch {
	case reply.Misdirected:
		resp.Abort()
		s.sent--
		s.g.registry.Mismatch(lease.Instance.ID, lease.Instance.Born)
		s.g.log.Warn("address belongs to another instance", "instance", lease.Instance.ID, "address", lease.Instance.Address)
		return pool.Full, verdict.New(verdict.NotRun, verdict.ReasonIncarnation, "another instance has the address")
	case reply.NotRun:
		s.discard(resp)
		s.sent--
		return pool.Full, verdict.New(verdict.NotRun, verdict.ReasonOverCapacity, "refused with status "+strconv.Itoa(resp.StatusCode))
	case !reply.Signed:
		resp.Abort()
		return pool.Broken, verdict.New(verdict.Unknown, verdict.ReasonForeignChunk, "an answer without a signature")
	case resp.Header.Get("Content-Encoding") != "":
		resp.Abort()
		return pool.Broken, verdict.New(verdict.Unknown, verdict.ReasonForeignChunk, "an encoded answer")
	case s.route.Mode == routes.Streaming && resp.StatusCode == http.StatusOK:
		return s.stream(ctx, lease, resp)
	case s.streamed:
		resp.Abort()
		return pool.Errored, verdict.New(verdict.Ran, verdict.ReasonEngineError, "the stream could not go on")
	}
	return s.relayWhole(ctx, lease, resp)
}

// discard reads a short answer to its end to keep the connection.
func (s *serving) discard(resp *backend.Response) {
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, wholeBytes)); err != nil {
		resp.Abort()
		return
	}
	resp.Finish()
}

// relayWhole reads the whole answer and passes it on.
func (s *serving) relayWhole(ctx context.Context, lease *pool.Lease, resp *backend.Response) (pool.Outcome, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, wholeBytes))
	if err != nil {
		resp.Abort()
		if ctx.Err() != nil {
			return pool.Abandoned, s.ended(ctx, verdict.Ran)
		}
		if !errors.Is(err, io.ErrUnexpectedEOF) {
			s.g.crashes.note(lease.Instance, s.fingerprint)
		}
		return pool.Broken, verdict.Wrap(verdict.Ran, verdict.ReasonTruncated, err)
	}
	failed := resp.StatusCode >= http.StatusInternalServerError
	if failed && s.repeatsError() {
		resp.Finish()
		return pool.Errored, verdict.New(verdict.Ran, verdict.ReasonEngineError, "status "+strconv.Itoa(resp.StatusCode))
	}
	if len(body) == wholeBytes {
		return s.relayLong(resp, body)
	}
	resp.Finish()
	s.writeHeader(resp.Response)
	s.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	s.w.WriteHeader(resp.StatusCode)
	s.streamed = true
	// An error means that the caller left, which net/http notes.
	_, _ = s.w.Write(body)
	s.g.metrics.firstByte.observe(time.Since(s.start))
	if failed {
		return pool.Errored, nil
	}
	return pool.Served, nil
}

// repeatsError decides whether a request that a backend server answered with an error is sent to
// another one, and pays for it. Otherwise the caller gets the backend server's own answer.
func (s *serving) repeatsError() bool {
	if !s.route.Repeatable() || s.sent >= s.route.Attempts || !s.g.registry.HasOther(s.wanted()) {
		return false
	}
	s.repeatReserved = s.budget.Withdraw(time.Now())
	return s.repeatReserved
}

// relayLong passes on an answer that is too long to be held.
func (s *serving) relayLong(resp *backend.Response, begin []byte) (pool.Outcome, error) {
	s.writeHeader(resp.Response)
	if resp.ContentLength >= 0 {
		s.w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	s.w.WriteHeader(resp.StatusCode)
	s.streamed = true
	_, err := s.w.Write(begin)
	if err == nil {
		_, err = io.Copy(s.w, resp.Body)
	}
	if err != nil {
		resp.Abort()
		return pool.Broken, verdict.Wrap(verdict.Ran, verdict.ReasonTruncated, err)
	}
	resp.Finish()
	return pool.Served, nil
}

// writeHeader copies the header fields of an answer.
func (s *serving) writeHeader(resp *http.Response) {
	out := s.w.Header()
	for name, values := range endToEnd(resp.Header) {
		out[name] = values
	}
}
