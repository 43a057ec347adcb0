package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"jacinthfork.example/jacinthfork/gateway/backend"
	"jacinthfork.example/jacinthfork/gateway/pool"
	"jacinthfork.example/jacinthfork/gateway/routes"
	"jacinthfork.example/jacinthfork/retry"
	"jacinthfork.example/jacinthfork/verdict"
)

const (
	// maxAttempts bounds the instances that one request is sent to, refusals included, and maxDials those
	// that it is tried at. A failure domain that just went leaves many that cannot be reached.
	maxAttempts = 4
	maxDials    = 10
	// firstByteShare is the part of the objective after which a request that may be repeated is taken from
	// an instance that has not begun to answer.
	firstByteShare = 0.75
	// staleWithin is the time within which a failure on a kept connection says that the connection was
	// stale, and nothing of the instance.
	staleWithin = 20 * time.Millisecond
	// freshWithin is the idle time above which a request that runs at most once goes on a new connection.
	// A backend server may have dropped a kept one without notice; what is sent on it is lost without a
	// proof, while a new connection that is refused proves that nothing ran. A new one takes 1 ms.
	freshWithin = 500 * time.Millisecond
)

// serverName names one start of an instance, so that connections do not outlive it.
func serverName(i pool.Instance) string { return i.ID + "/" + strconv.FormatInt(i.Born, 36) }

// tryInstances sends the request to one instance after the other as far as that is safe.
func (s *serving) tryInstances(ctx context.Context) error {
	var last error
	sent := 0
	for attempt := 1; attempt <= maxDials && sent < maxAttempts; attempt++ {
		lease := s.g.registry.Choose(s.wanted())
		if lease == nil {
			if last != nil {
				return last
			}
			return retryLater(verdict.ReasonNoCandidate, "no instance takes work", noCandidateRetry)
		}
		s.tried = append(s.tried, lease.Instance.ID)
		begin := time.Now()
		outcome, err := s.attempt(ctx, lease)
		ejected := lease.Release(outcome)
		s.g.metrics.attempts.Add(s.pool+"/"+outcome.String(), 1)
		if ejected {
			s.g.metrics.ejections.Add(s.pool, 1)
			s.g.log.Warn("instance ejected", "instance", lease.Instance.ID, "outcome", outcome.String(), "id", s.call.ID)
		}
		if err == nil {
			s.served(lease, attempt)
			return nil
		}
		failure := verdict.As(err)
		if failure.Reason != verdict.ReasonUnreachable {
			sent++
		}
		s.g.log.InfoContext(failedLine, "attempt failed", "id", s.call.ID, "instance", lease.Instance.ID, "attempt", attempt,
			"reason", string(failure.Reason), "verdict", failure.Verdict.String(), "detail", failure.Detail,
			"took_ms", time.Since(begin).Milliseconds())
		last = err
		if !s.again(ctx, failure) {
			return last
		}
	}
	return last
}

// again decides whether the request goes to another instance.
func (s *serving) again(ctx context.Context, failure *verdict.Error) bool {
	if ctx.Err() != nil || retry.Classify(failure, s.route.Repeatable()) == retry.Never {
		return false
	}
	if s.streamed && !s.route.Resumable {
		return false
	}
	if failure.Verdict != verdict.NotRun && s.sent >= s.route.Attempts {
		return false
	}
	// A request that never left this process is no repeat for the pool.
	free := failure.Reason == verdict.ReasonUnreachable || s.repeatReserved
	s.repeatReserved = false
	if !free && !s.budget.Withdraw(time.Now()) {
		s.g.metrics.repeats.Add(s.pool+"/denied", 1)
		return false
	}
	s.g.metrics.repeats.Add(s.pool+"/"+string(failure.Reason), 1)
	return true
}

// attempt sends the request to one instance and relays its answer.
func (s *serving) attempt(ctx context.Context, lease *pool.Lease) (pool.Outcome, error) {
	i := lease.Instance
	conn, err := s.g.connections.Get(ctx, serverName(i), i.Address, s.maxIdle())
	if err != nil {
		if ctx.Err() != nil {
			return pool.Abandoned, s.ended(ctx, verdict.NotRun)
		}
		return pool.Unreachable, verdict.Wrap(verdict.NotRun, verdict.ReasonUnreachable, err)
	}
	reused := conn.Reused
	begin := time.Now()
	s.sent++
	resp, err := s.g.connections.Do(ctx, conn, s.request(lease))
	if err != nil {
		return s.exchangeFailed(ctx, lease, err, reused && time.Since(begin) < staleWithin)
	}
	lease.Progress()
	return s.relay(ctx, lease, resp)
}

// maxIdle is the idle time of a connection that the request may use, 0 for any. A repeat has no
// attempt to lose either.
func (s *serving) maxIdle() time.Duration {
	if s.route.Mode == routes.NonIdempotent || s.sent > 0 {
		return freshWithin
	}
	return 0
}

// request builds what is sent to an instance.
func (s *serving) request(lease *pool.Lease) *backend.Request {
	header := endToEnd(s.r.Header)
	forwarding := Forwarding{
		Instance:     lease.Instance.ID,
		Organisation: s.organisation,
		TimeLeft:     s.timeLeft(),
		LastEvent:    s.lastEvent,
		FetchFrom:    lease.FetchFrom,
	}
	if p := s.table.Pools[s.pool]; p != nil && p.Engine != nil {
		forwarding.Priority, forwarding.HasPriority = s.priority, true
	}
	s.g.env.Protocol.WriteForward(header, forwarding)
	return &backend.Request{
		Method:    s.r.Method,
		Target:    s.target,
		Host:      s.r.Host,
		Header:    header,
		Body:      s.body,
		HasBody:   len(s.body) > 0 || s.r.ContentLength != 0 || s.r.Header.Get("Content-Length") != "",
		Owns:      s.owns,
		FirstByte: s.firstByteTimeout(),
		GiveUp:    func() bool { return !lease.Overloaded() && s.g.registry.HasOther(s.wanted()) },
	}
}

// owns reports whether an answer belongs to this request. An answer without an ID can only be a
// failure that the backend server made before it knew the request.
func (s *serving) owns(resp *http.Response) bool {
	reply := s.g.env.Protocol.ReadReply(resp)
	if reply.RequestID != "" {
		return reply.RequestID == s.call.ID
	}
	return resp.StatusCode >= http.StatusBadRequest
}

// firstByteTimeout is how long an answer may take to begin before the request goes to another instance. 0 is
// without bound.
func (s *serving) firstByteTimeout() time.Duration {
	if s.route.Mode != routes.Idempotent || s.sent >= s.route.Attempts || s.route.Objective == 0 {
		return 0
	}
	return time.Duration(float64(s.route.Objective) * firstByteShare)
}

// exchangeFailed turns a failure before the answer's header into a verdict.
func (s *serving) exchangeFailed(ctx context.Context, lease *pool.Lease, err error, stale bool) (pool.Outcome, error) {
	if ctx.Err() != nil {
		return pool.Abandoned, s.ended(ctx, verdict.Unknown)
	}
	var failure *backend.Failure
	if errors.As(err, &failure) && (failure.Silent || failure.Foreign) {
		reason := verdict.ReasonBroken
		if failure.Foreign {
			reason = verdict.ReasonForeignChunk
		}
		return pool.Broken, verdict.Wrap(verdict.Unknown, reason, err)
	}
	// What dropped this connection has dropped the other kept ones too.
	s.g.connections.Forget(serverName(lease.Instance))
	if stale {
		return pool.Abandoned, verdict.Wrap(verdict.Unknown, verdict.ReasonBroken, err)
	}
	s.g.crashes.note(lease.Instance, s.fingerprint)
	return pool.Broken, verdict.Wrap(verdict.Unknown, verdict.ReasonBroken, err)
}

// ended is the error of a request whose caller left or whose time is over.
func (s *serving) ended(ctx context.Context, v verdict.Verdict) *verdict.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.New(v, verdict.ReasonDeadline, "the time is over")
	}
	return verdict.New(v, verdict.ReasonCancelled, "the caller left")
}
