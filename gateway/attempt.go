package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"jacinthfork.example/jacinthfork/gateway/backend"
	"jacinthfork.example/jacinthfork/gateway/buffer"
	"jacinthfork.example/jacinthfork/gateway/pool"
	"jacinthfork.example/jacinthfork/gateway/routes"
	"jacinthfork.example/jacinthfork/internal/callerconn"
	"jacinthfork.example/jacinthfork/internal/httpcheck"
	"jacinthfork.example/jacinthfork/retry"
	"jacinthfork.example/jacinthfork/verdict"
)

const (
	// maxAttempts bounds the instances that one request is sent to, including those that refuse it. maxDials
	// bounds the instances tried, including unreachable ones: after the loss of a failure domain many
	// instances are unreachable.
	maxAttempts = 4
	maxDials    = 10
	// firstByteFraction is the part of the latency objective after which a request of an idempotent route is offered
	// to another instance if the current one has not started to respond.
	firstByteFraction = 0.75
	// staleConnectionWindow is the time after sending within which a failure on a reused connection is
	// attributed to a stale connection and not to the instance.
	staleConnectionWindow = 20 * time.Millisecond
	// maxIdleAtMostOnce is the longest idle time of a connection reused for a request that may run once only, or for a
	// retry. A backend server may have dropped an idle connection without notice, and it is then
	// unknown whether a request sent on it ran, while a refused new connection proves that nothing ran. A new
	// connection takes 1 ms.
	maxIdleAtMostOnce = 500 * time.Millisecond
	// dialTimeout bounds the time to connect. Links between failure domains take a few milliseconds. A backend server
	// that is cut off answers nothing, and the request must have time left for another one.
	dialTimeout = 250 * time.Millisecond
	// lastDialTimeout is the same for the last instance that is left to try. A lost opening packet is sent again after
	// a second, and a router that is short of processor time connects late.
	lastDialTimeout = 1300 * time.Millisecond
)

// lifetimeName names one incarnation of an instance.
func lifetimeName(i pool.Instance) string { return i.ID + "/" + strconv.FormatInt(i.StartedAt, 36) }

// connectionKey identifies one incarnation of an instance at its address, so that connections are not reused after a restart.
// Two incarnations may have the same name.
func connectionKey(i pool.Instance) string { return lifetimeName(i) + "/" + i.Address }

// tryInstances sends the request to one instance after another as long as retrying is safe.
func (s *requestState) tryInstances(ctx context.Context) error {
	var last error
	for s.offer != nil || s.withinLimits() {
		if s.offer == nil {
			if err := s.checkSuspects(); err != nil {
				return err
			}
		}
		lease, place, err := s.nextLease(ctx)
		if lease == nil {
			if last == nil {
				last = err
			}
			if last == nil {
				return s.noInstance()
			}
			return s.exhausted(last)
		}
		attempt := len(s.triedInstances)
		begin, offered, sent := time.Now(), s.offer != nil, s.attemptsSent
		outcome, err := s.attempt(ctx, lease)
		switch {
		case errors.Is(err, errLate):
			lease.Keep()
			defer s.g.keepPlace(s.pool, lease, place, time.Now(), s.slowdown)
		case !offered && s.attemptsSent == sent:
			s.releaseUnsent(lease, place, outcome)
		default:
			s.release(lease, place, outcome)
		}
		if err == nil {
			s.recordWork(lease)
			s.recordServed(lease, attempt)
			return nil
		}
		s.recordRefusedResponse(lease, err)
		failure := verdict.As(err)
		if failure.Reason != verdict.ReasonUnreachable {
			s.failedAttempts++
		}
		s.g.log.InfoContext(failedContext, "attempt failed", "id", s.call.ID, "instance", lease.Instance.ID, "attempt", attempt,
			"reason", string(failure.Reason), "verdict", failure.Verdict.String(), "detail", failure.Detail,
			"fingerprint", formatID(s.fingerprint), "crash_suspected", s.crashSuspected, "took_ms", time.Since(begin).Milliseconds())
		last = err
		if s.offer != nil {
			// The next attempt has been sent already, and paid for.
			s.g.metrics.retries.Add(s.pool+"/"+takenOverReason(err), 1)
			continue
		}
		if !s.shouldRetry(ctx, failure) {
			break
		}
	}
	return s.exhausted(last)
}

// withinLimits reports whether the request may be sent to one more instance, as far as maxAttempts and maxDials tell.
func (s *requestState) withinLimits() bool {
	return len(s.triedInstances) < maxDials && s.failedAttempts < maxAttempts
}

// nextLease returns the lease of the next attempt: that of the instance that has taken the request over, or a new one.
// Without a lease, a nil error means that no instance is eligible.
func (s *requestState) nextLease(ctx context.Context) (*pool.Lease, *reservation, error) {
	if s.offer != nil {
		return s.offer.lease, s.offer.place, nil
	}
	waiting := s.untilSent(ctx)
	lease, place, err := s.acquire(waiting)
	if lease == nil && err == nil && ctx.Err() == nil && waiting.Err() != nil {
		err = s.contextError(waiting, verdict.NotRun)
	}
	if lease != nil {
		s.triedInstances = append(s.triedInstances, lease.Instance.ID)
	}
	return lease, place, err
}

// release ends the lease of an attempt and gives its place back.
func (s *requestState) release(lease *pool.Lease, place *reservation, outcome pool.Outcome) {
	s.releasePlace(lease, place, outcome, outcome)
}

// releaseUnsent is release for a request that was not sent.
func (s *requestState) releaseUnsent(lease *pool.Lease, place *reservation, outcome pool.Outcome) {
	told := outcome
	if told == pool.Abandoned {
		told = pool.Refused
	}
	s.releasePlace(lease, place, outcome, told)
}

// releasePlace ends a lease with an outcome and tells the keeper another one.
func (s *requestState) releasePlace(lease *pool.Lease, place *reservation, outcome, told pool.Outcome) {
	ejected := lease.Release(outcome)
	s.g.reservations.end(place, told)
	s.g.metrics.attempts.Add(s.pool+"/"+outcome.String(), 1)
	if ejected {
		s.g.metrics.ejections.Add(s.pool, 1)
		s.g.log.Warn("instance ejected", "instance", lease.Instance.ID, "outcome", outcome.String(), "id", s.call.ID)
	}
	if outcome == pool.Unreachable {
		s.g.probeUnreachable()
	}
}

// exhausted returns the error of a request that is sent to no other instance after the last one did not serve it, or that
// was refused while it waited. If all instances are leaving or held off, it says when to come back.
func (s *requestState) exhausted(last error) error {
	failure, sum := verdict.As(last), s.g.registry.Summary(s.pool)
	heldOff := s.g.registry.HeldOff(s.pool)
	if failure.Verdict != verdict.NotRun || (heldOff == 0 && sum.Members > sum.Leaving) {
		return last
	}
	out := *failure
	out.RetryAfter = s.noInstance().RetryAfter
	return &out
}

// noInstance returns the error of a request for which there is no instance.
func (s *requestState) noInstance() *verdict.Error {
	if heldOff := s.g.registry.HeldOff(s.pool); heldOff > 0 {
		return unavailable(verdict.ReasonOverCapacity, "all instances turn requests away", min(heldOff, maxHeldOffRetryAfter))
	}
	return unavailable(verdict.ReasonNoCandidate, "no instance takes work", noInstanceRetryAfter)
}

// recordRefusedResponse counts and logs a response that was larger than a limit, is malformed or may be that to another request.
func (s *requestState) recordRefusedResponse(lease *pool.Lease, err error) {
	var exceeded *buffer.LimitError
	var malformed *httpcheck.Error
	switch {
	case errors.As(err, &exceeded):
		s.g.metrics.limitsExceeded.Add(exceeded.What, 1)
		s.g.log.WarnContext(failedContext, "backend server exceeded a limit", "instance", lease.Instance.ID, "id", s.call.ID,
			"part", exceeded.What, "limit", exceeded.Limit, "unit", exceeded.Unit)
	case errors.As(err, &malformed):
		s.refuseResponse(lease, malformed.Part, malformed.Text)
	case errors.Is(err, backend.ErrUnidentified):
		s.refuseResponse(lease, "unidentified", "")
	case errors.Is(err, backend.ErrAmbiguous):
		s.refuseResponse(lease, "ambiguous", "")
	}
}

// refuseResponse counts and logs a response that was refused because of a part of it. text is what the part was, if known.
func (s *requestState) refuseResponse(lease *pool.Lease, part, text string) {
	s.g.metrics.responsesRefused.Add(part, 1)
	s.g.log.WarnContext(failedContext, "response refused", "instance", lease.Instance.ID, "id", s.call.ID, "part", part, "text", text)
}

// shouldRetry decides whether the request is sent to another instance.
func (s *requestState) shouldRetry(ctx context.Context, failure *verdict.Error) bool {
	if ctx.Err() != nil || retry.Classify(failure, s.route.Retryable()) == retry.Never {
		return false
	}
	if s.responseStarted && (s.plainStarted || !s.route.Resumable) {
		return false
	}
	if failure.Verdict != verdict.NotRun && s.attemptsSent >= s.route.MaxAttempts {
		return false
	}
	// A request that never left this process adds no load to the pool.
	free := failure.Reason == verdict.ReasonUnreachable || s.retryReserved
	s.retryReserved = false
	if !free && !s.budget.Withdraw(time.Now()) {
		s.g.metrics.retries.Add(s.pool+"/denied", 1)
		return false
	}
	s.g.metrics.retries.Add(s.pool+"/"+string(failure.Reason), 1)
	return true
}

// attempt sends the request to one instance and relays its response. If the request was offered to the instance, the
// response is that of the offer.
func (s *requestState) attempt(ctx context.Context, lease *pool.Lease) (pool.Outcome, error) {
	if o := s.offer; o != nil {
		s.offer = nil
		defer o.cancel()
		s.answered, s.sent, s.sentAt, s.waits = false, o.sentAttempt, o.sentAt, o.waits
		return s.goOn(ctx, o)
	}
	conn, outcome, err := s.connect(ctx, lease)
	if err != nil {
		return outcome, err
	}
	s.recordSending()
	s.waits = s.measureWaits(lease, conn)
	watch := s.watchForResponse(ctx, lease, conn)
	defer watch.stop()
	request := s.backendRequest(lease)
	if watch != nil {
		request.FirstByte = watch.beginAnswer
	}
	r := s.g.exchange(ctx, conn, request)
	return s.relayWatched(ctx, lease, watch, r)
}

// goOn relays the response to an offer, which other instances may take over in turn.
func (s *requestState) goOn(ctx context.Context, o *offer) (pool.Outcome, error) {
	if o.received != nil {
		return s.relayResult(ctx, o.lease, *o.received)
	}
	watch := s.watchForResponse(ctx, o.lease, o.conn)
	defer watch.stop()
	r := o.receive()
	if r.response != nil && watch != nil && !watch.beginAnswer() {
		s.abandon(o.lease, r.response)
	}
	return s.relayWatched(ctx, o.lease, watch, r)
}

// relayWatched relays what came of sending the request, unless another instance has taken it over.
func (s *requestState) relayWatched(ctx context.Context, lease *pool.Lease, watch *watch, r exchangeResult) (pool.Outcome, error) {
	if r.response != nil && watch.isAnswering() {
		return s.relayAnswering(ctx, lease, watch, r)
	}
	if ctx.Err() == nil && s.goOnWith(watch) {
		if s.lateLost {
			return pool.Abandoned, verdict.Wrap(verdict.Unknown, verdict.ReasonConnectionBroken, errLate)
		}
		return pool.Broken, verdict.Wrap(verdict.Unknown, verdict.ReasonConnectionBroken, errUnanswered)
	}
	return s.relayResult(ctx, lease, r)
}

// relayResult relays what came of sending the request.
func (s *requestState) relayResult(ctx context.Context, lease *pool.Lease, r exchangeResult) (pool.Outcome, error) {
	if r.err != nil {
		return s.classifyFailure(ctx, lease, r.err, r.stale)
	}
	lease.RecordProgress()
	return s.relay(ctx, lease, r.response)
}

// connect returns a connection to a leased instance. After an error nothing was sent.
func (s *requestState) connect(ctx context.Context, lease *pool.Lease) (*backend.Conn, pool.Outcome, error) {
	i := lease.Instance
	conn, err := s.g.connections.Get(ctx, backend.Target{
		Server: connectionKey(i), Address: i.Address, MaxIdle: s.maxIdleTime(), DialTimeout: s.dialTimeout(lease),
		RequestID: s.call.ID,
	})
	if err != nil {
		if ctx.Err() != nil {
			return nil, pool.Abandoned, s.contextError(ctx, verdict.NotRun)
		}
		if errors.Is(err, backend.ErrNoDescriptor) {
			return nil, pool.Abandoned, unavailable(verdict.ReasonOverCapacity, err.Error(), fullRetryAfter)
		}
		return nil, pool.Unreachable, verdict.Wrap(verdict.NotRun, verdict.ReasonUnreachable, err)
	}
	if !lease.Usable() {
		_ = conn.Close()
		s.retryReserved = true
		return nil, pool.Abandoned, verdict.New(verdict.NotRun, verdict.ReasonNotReady, "the instance takes no more requests")
	}
	if s.attemptsSent == 0 && s.outlivesRouter() {
		_ = conn.Close()
		return nil, pool.Abandoned, unavailable(verdict.ReasonLeaving, errStopped.Error(), stopRetryAfter)
	}
	if callerconn.CallerLeft(s.request.Context()) {
		_ = conn.Close()
		return nil, pool.Abandoned, verdict.New(verdict.NotRun, verdict.ReasonCancelled, "the caller left before the request was sent")
	}
	// The request may have been blocked while it waited for its place.
	if err := s.checkSuspects(); err != nil {
		_ = conn.Close()
		return nil, pool.Abandoned, err
	}
	return conn, pool.Served, nil
}

// recordSending records that the request is about to be sent.
func (s *requestState) recordSending() {
	s.attemptsSent++
	s.sentAt = time.Now()
	s.answered, s.crashSuspected = false, false
	s.sent = s.g.poison.Begin(s.content())
}

// exchangeResult is what came of sending a request on a connection.
type exchangeResult struct {
	response *backend.Response
	err      error
	// stale is set if the error is attributed to a stale connection.
	stale bool
}

// exchange sends a request and returns once the response header was read.
func (g *Gateway) exchange(ctx context.Context, conn *backend.Conn, req *backend.Request) exchangeResult {
	reused := conn.Reused
	begin := time.Now()
	resp, err := g.connections.Do(ctx, conn, req)
	var failure *backend.ExchangeError
	stale := errors.As(err, &failure) && !failure.Begun && reused && time.Since(begin) < staleConnectionWindow
	return exchangeResult{response: resp, err: err, stale: stale}
}

// dialTimeout returns how long connecting to the leased instance may take.
func (s *requestState) dialTimeout(lease *pool.Lease) time.Duration {
	if lease.Forced || s.g.registry.HasOther(s.poolRequest()) {
		return dialTimeout
	}
	return lastDialTimeout
}

// maxIdleTime returns the longest idle time of a connection that the request may reuse, 0 for any. Retries
// avoid long idle connections too, because a failure on a stale connection could use up the last attempt.
func (s *requestState) maxIdleTime() time.Duration {
	if !s.route.Retryable() || s.attemptsSent > 0 {
		return maxIdleAtMostOnce
	}
	return 0
}

// backendRequest builds the request to an instance.
func (s *requestState) backendRequest(lease *pool.Lease) *backend.Request {
	header := endToEnd(s.request.Header)
	forwarding := ForwardInfo{
		Instance:     lease.Instance.ID,
		Organisation: s.organisation,
		Timeout:      s.timeLeft(),
		LastEventID:  s.lastEventID,
		FetchFrom:    lease.FetchFrom,
	}
	if p := s.table.Pools[s.pool]; p != nil && p.Engine != nil {
		forwarding.Priority, forwarding.HasPriority = s.priority, true
	}
	s.g.env.Protocol.SetForwardHeader(header, forwarding)
	return &backend.Request{
		Method:  s.request.Method,
		Target:  s.target,
		Host:    s.request.Host,
		Header:  header,
		Body:    s.body,
		HasBody: s.hasBody || s.request.ContentLength != 0 || s.request.Header.Get("Content-Length") != "",
		Match:   s.matchResponse,
		Skipped: func(*http.Response) { s.refuseResponse(lease, "foreign", "") },
	}
}

// matchResponse says whether a response belongs to this request. One without a request ID can only be an error that the backend
// server generated before it knew the request.
func (s *requestState) matchResponse(resp *http.Response) backend.Match {
	reply := s.g.env.Protocol.ParseResponse(resp)
	switch {
	case reply.Ambiguous:
		return backend.Ambiguous
	case reply.RequestID != "" && reply.RequestID == s.call.ID:
		return backend.Own
	case reply.RequestID == "" && resp.StatusCode >= http.StatusBadRequest:
		return backend.Unidentified
	}
	return backend.Foreign
}

// errUnanswered is the error of a request that another instance has taken over before the first one answered.
var errUnanswered = errors.New("the instance does not answer")

// watchForResponse watches for an instance that does not begin to answer a request which may run more than once, or does so
// late.
func (s *requestState) watchForResponse(ctx context.Context, lease *pool.Lease, conn *backend.Conn) *watch {
	a := watched{
		quiet: func() bool { return !conn.Unread() },
		late:  s.lateness(lease),
		abort: func() { _ = conn.Close() },
	}
	if s.route.Mode == routes.Idempotent && s.route.LatencyObjective > 0 {
		a.interval = time.Duration(float64(s.route.LatencyObjective) * firstByteFraction)
		a.silent = func() bool { return !lease.Overloaded() && a.quiet() }
	}
	return s.watchAttempt(ctx, lease, a)
}

// classifyFailure turns a failure before the response header into a pool outcome and a verdict.
func (s *requestState) classifyFailure(ctx context.Context, lease *pool.Lease, err error, stale bool) (pool.Outcome, error) {
	if ctx.Err() != nil {
		return pool.Abandoned, s.contextError(ctx, verdict.Unknown)
	}
	var failure *backend.ExchangeError
	if errors.As(err, &failure) && (failure.TimedOut || failure.Mismatched) {
		reason := verdict.ReasonConnectionBroken
		if failure.Mismatched {
			reason = verdict.ReasonForeignChunk
		}
		return pool.Broken, verdict.Wrap(verdict.Unknown, reason, err)
	}
	// The other idle connections to this instance have probably been dropped too.
	s.g.connections.CloseIdle(connectionKey(lease.Instance))
	// The request may have crashed the instance as soon as it arrived, which also looks like a stale connection.
	s.reportFailedConnection(lease)
	if stale {
		return pool.Abandoned, verdict.Wrap(verdict.Unknown, verdict.ReasonConnectionBroken, err)
	}
	return pool.Broken, verdict.Wrap(verdict.Unknown, verdict.ReasonConnectionBroken, err)
}

// reportFailedConnection tells the crash detector that the connection of an attempt broke.
func (s *requestState) reportFailedConnection(lease *pool.Lease) {
	s.crashSuspected = true
	s.g.crashes.connectionFailed(lease.Instance, s.failedRequest())
}

// reportUnframedEnd tells the crash detector that the connection of an attempt ended, and with it a response which is whole
// unless the instance has crashed.
func (s *requestState) reportUnframedEnd(lease *pool.Lease, status int) {
	r := s.failedRequest()
	g, content, id := s.g, s.content(), s.call.ID
	r.onSurvival = func() {
		if answersPrompt(status) {
			g.recordAnswer(content, id)
		}
		if answersRequest(status) {
			g.recordCompletion(content, id)
		}
	}
	g.crashes.connectionFailed(lease.Instance, r)
}

// failedRequest describes the current attempt for the crash detector.
func (s *requestState) failedRequest() failedRequest {
	return failedRequest{id: s.call.ID, fingerprint: s.fingerprint, answered: s.answered, attempt: s.sent}
}

// contextError returns the error of a request whose caller disconnected, whose deadline passed or which the router does
// not finish before it exits.
func (s *requestState) contextError(ctx context.Context, v verdict.Verdict) *verdict.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.New(v, verdict.ReasonDeadline, "the time is over")
	}
	if errors.Is(context.Cause(ctx), errStopped) {
		err := verdict.Wrap(v, verdict.ReasonLeaving, errStopped)
		err.RetryAfter = stopRetryAfter
		return err
	}
	return verdict.New(v, verdict.ReasonCancelled, "the caller left")
}
