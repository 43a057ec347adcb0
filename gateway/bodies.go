package gateway

import (
	"net"
	"net/http"
	"time"

	"jacinthfork.example/jacinthfork/gateway/backend"
	"jacinthfork.example/jacinthfork/gateway/memory"
	"jacinthfork.example/jacinthfork/internal/requestbody"
	"jacinthfork.example/jacinthfork/verdict"
)

// memoryRetryAfter is the Retry-After value of a request that was refused for want of memory. Unfinished bodies without
// progress give theirs back sooner.
const memoryRetryAfter = time.Second

// clientAddress returns the address of a caller without its port.
func clientAddress(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// droppedBody returns the error of a request whose body has been dropped. No instance has seen it.
func (s *requestState) droppedBody() *verdict.Error {
	if s.held.Dropped() == memory.Stalled {
		return verdict.New(verdict.NotRun, verdict.ReasonDeadline, "the body makes no progress")
	}
	return unavailable(verdict.ReasonOverCapacity, "no memory for the body", memoryRetryAfter)
}

// rejectBody responds to a request whose body was not read to its end, before it reads and discards what the caller still
// sends. A caller whose body makes no progress sends nothing.
func (s *requestState) rejectBody(err *verdict.Error) {
	dropped := s.held.Dropped()
	s.releaseBody()
	if dropped == 0 {
		s.reject(err)
		return
	}
	s.writer.Header().Set("Connection", "close")
	out := http.NewResponseController(s.writer)
	// Without it net/http would not let the body be read after the response. Failures mean that the connection has ended.
	_ = out.EnableFullDuplex()
	s.reject(err)
	_ = out.Flush()
	if dropped == memory.Short {
		requestbody.Discard(s.writer, s.request)
	}
}

// releaseBody gives the memory of the body back.
func (s *requestState) releaseBody() {
	s.body = nil
	if s.held != nil {
		s.held.Close()
	}
}

// releaseSentBody gives the memory of the body back once an instance has answered a request that can't be sent to another one.
func (s *requestState) releaseSentBody(resp *backend.Response) {
	if !s.route.Retryable() && resp.BodySent() {
		s.releaseBody()
	}
}
