package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"jacinthfork.example/jacinthfork/gateway/pool"
	"jacinthfork.example/jacinthfork/verdict"
)

const (
	// notReadyRetry is the advice before the first configuration is known; a start takes about as long.
	notReadyRetry = 300 * time.Millisecond
	// noCandidateRetry is the advice when no instance takes work. Entries of new instances appear
	// within about a second.
	noCandidateRetry = 500 * time.Millisecond
)

func retryLater(reason verdict.Reason, detail string, after time.Duration) *verdict.Error {
	err := verdict.New(verdict.NotRun, reason, detail)
	err.RetryAfter = after
	return err
}

// refuse answers a request that was not accepted.
func (s *serving) refuse(err *verdict.Error) {
	s.answer(err)
}

// fail ends a request that was accepted. What has begun to go out is cut off, so that it never looks
// whole.
func (s *serving) fail(err error) {
	failure := verdict.As(err)
	if s.streamed {
		s.note(failure, 0)
		panic(http.ErrAbortHandler)
	}
	// An earlier attempt may have run although the last one did not.
	if s.sent > 0 && failure.Verdict == verdict.NotRun {
		changed := *failure
		changed.Verdict = verdict.Unknown
		failure = &changed
	}
	s.answer(failure)
}

// status is the status of an answer of the router's own. 429 and 503 promise that the request did not
// run; they are used with verdict.NotRun only.
func status(err *verdict.Error) int {
	if err.Verdict == verdict.NotRun {
		switch err.Reason {
		case verdict.ReasonUnknownPool:
			return http.StatusNotFound
		case verdict.ReasonUnauthorised:
			return http.StatusUnauthorized
		case verdict.ReasonBadRequest:
			return http.StatusBadRequest
		case verdict.ReasonTooLarge:
			return http.StatusRequestEntityTooLarge
		case verdict.ReasonHeaderTooLarge:
			return http.StatusRequestHeaderFieldsTooLarge
		default:
			return http.StatusServiceUnavailable
		}
	}
	if err.Reason == verdict.ReasonDeadline {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// problem is the body of an answer of the router's own.
type problem struct {
	Verdict string `json:"verdict"`
	Reason  string `json:"reason"`
	Detail  string `json:"detail"`
}

// answer writes an answer of the router's own.
func (s *serving) answer(err *verdict.Error) {
	code := status(err)
	s.note(err, code)
	h := s.w.Header()
	s.g.env.Protocol.WriteAnswer(h, &s.call)
	h.Set("Content-Type", "application/json")
	if err.Verdict == verdict.NotRun && err.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(err.RetryAfter.Seconds(), 'f', 2, 64))
	}
	// A problem of three strings always has a JSON form.
	body, _ := json.Marshal(problem{Verdict: err.Verdict.String(), Reason: string(err.Reason), Detail: err.Detail})
	h.Set("Content-Length", strconv.Itoa(len(body)))
	s.w.WriteHeader(code)
	_, _ = s.w.Write(body)
}

// note logs and counts a request that was not served.
func (s *serving) note(err *verdict.Error, code int) {
	s.g.metrics.refusals.Add(string(err.Reason), 1)
	s.g.log.InfoContext(failedLine, "request failed", "id", s.call.ID, "route", s.routeName(), "pool", s.pool,
		"organisation", s.organisation, "status", code, "reason", string(err.Reason), "verdict", err.Verdict.String(),
		"detail", err.Detail, "attempts", len(s.tried), "tried", s.tried, "last_event", s.lastEvent,
		"retry_after_ms", err.RetryAfter.Milliseconds(), "waited_ms", s.waited.Milliseconds(),
		"took_ms", time.Since(s.start).Milliseconds(), "limit_ms", s.limit.Milliseconds(), "limited_by", s.limitedBy,
		"config", s.version())
}

// served logs and counts a request that was answered by a backend server.
func (s *serving) served(lease *pool.Lease, attempt int) {
	took := time.Since(s.start)
	s.g.metrics.whole.observe(took)
	s.g.metrics.requests.Add(s.pool, 1)
	s.g.suspects.Completed(s.fingerprint)
	s.g.log.InfoContext(servedLine, "request served", "id", s.call.ID, "route", s.routeName(), "pool", s.pool,
		"organisation", s.organisation, "instance", lease.Instance.ID, "attempt", attempt, "cached", lease.Cached, "fetched_from", lease.FetchFrom,
		"load", math.Round(10*lease.Load)/10, "mean", math.Round(10*lease.Mean)/10, "waited_ms", s.waited.Milliseconds(),
		"took_ms", took.Milliseconds(), "config", s.version())
}

func (s *serving) routeName() string {
	if s.route == nil {
		return ""
	}
	return s.route.Name
}

func (s *serving) version() uint64 {
	if s.table == nil {
		return 0
	}
	return s.table.Version
}
