package gateway

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthfork.example/jacinthfork/gateway/memory"
	"jacinthfork.example/jacinthfork/gateway/poison"
	"jacinthfork.example/jacinthfork/gateway/pool"
	"jacinthfork.example/jacinthfork/gateway/routes"
	"jacinthfork.example/jacinthfork/internal/callerconn"
	"jacinthfork.example/jacinthfork/internal/requestbody"
	"jacinthfork.example/jacinthfork/verdict"
)

// requestState is the state of one caller's request while it is being served.
type requestState struct {
	g            *Gateway
	writer       http.ResponseWriter
	request      *http.Request
	start        time.Time
	table        *routes.Table
	route        *routes.Route
	call         RequestInfo
	organisation string
	priority     int
	target       string
	// body is held in the account until the request can't be sent again. hasBody stays set then.
	body    [][]byte
	held    *memory.Body
	hasBody bool
	// fingerprint is the hash of method, target, key and body that identifies the request among those that are suspected
	// of crashes.
	fingerprint uint64
	// deadline is when the caller's or the route's time limit passes. Zero means no limit.
	deadline time.Time
	// timeLimit is the time from start to deadline, 0 if there is none. limitedBy is "route" or "caller".
	timeLimit time.Duration
	limitedBy string
	// pool is the pool that runs the request, set before admission.
	pool string
	// limited is set by reserve if a keeper had no place for the request, which then waits for one in turn.
	limited bool
	// triedInstances are the instances tried so far. attemptsSent counts the attempts that may have run.
	triedInstances []string
	attemptsSent   int
	// failedAttempts counts the attempts that failed, other than at unreachable instances.
	failedAttempts int
	// offer is the attempt that goes on with the request, if it was sent before the current one ended.
	offer *offer
	// offering is set while the request is offered to another instance than the one that keeps it.
	offering bool
	// secondAsked is set once a second instance was asked because the response was late, and onlyFree while one is looked
	// for, which must have a free place.
	secondAsked, onlyFree bool
	// lateLost is set if another instance was chosen than that of the last attempt because its response was late. slowdown is
	// then how many times longer than usual it was expected to take.
	lateLost bool
	slowdown float64
	// uncommitted is set while the response of the first instance is read and a second one has the request as well.
	uncommitted *watch
	// sentAt is when the current attempt was sent, and eventsRelayed the number of events with data that the caller has.
	sentAt        time.Time
	eventsRelayed int
	// answered is set once the current attempt is known to have been answered without a crash.
	answered bool
	// crashSuspected is set if the crash detector was told of the current attempt.
	crashSuspected bool
	// parts are the parts of the prompt that other requests may share, which are all but the last. sent is what was known of
	// them and of the whole request when the current attempt was sent.
	parts []uint64
	sent  *poison.Attempt
	// waits measures how long the current attempt makes the caller wait, nil if that is not measured.
	waits *waitMeter
	// trial is set if the request is sent although it is blocked, to find out whether it is sound.
	trial bool
	// responseStarted is set once part of the response was written to the caller. lastEventID is the ID of
	// the last event of a stream that the caller has.
	responseStarted bool
	lastEventID     string
	// streaming is set once a stream is being relayed, and streamType is its media type.
	streaming  bool
	streamType string
	// cancel ends the request.
	cancel context.CancelCauseFunc
	// unsent ends with the request, or when a router that stops refuses it because it was sent to no instance yet.
	unsent       context.Context
	cancelUnsent context.CancelCauseFunc
	// plainStarted is set as well if the response is not a stream of events, so that nothing can follow it.
	plainStarted bool
	// budget is the retry budget of the pool. retryReserved is set when the next retry was already withdrawn
	// from it.
	budget        *poolBudget
	retryReserved bool
	// bodyTime is the time that the body took to arrive.
	bodyTime time.Duration
	// admissionWait is the time from the start of the request to admission.
	admissionWait time.Duration
}

// headerNames returns the names in a comma-separated header field, in canonical form.
func headerNames(field string) map[string]bool {
	out := make(map[string]bool)
	for _, name := range strings.Split(field, ",") {
		out[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
	}
	return out
}

// serveCaller handles one request of a caller. After a start that all routers share, such as after a loss of power, callers
// are there before the configuration is: a request that waits for it is served a few hundred milliseconds sooner than
// one that is told to come back.
func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	s := &requestState{g: g, writer: w, request: r, start: time.Now(), target: r.RequestURI}
	defer s.recoverPanic()
	callerconn.BeginRequest(r.Context())
	select {
	case <-g.started:
	case <-r.Context().Done():
	}
	s.table = g.table.Load()
	if g.refusing.Load() {
		w.Header().Set("Connection", "close")
		s.refuseLate()
		return
	}
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if err := s.accept(); err != nil {
		s.rejectUnread(err)
		return
	}
	if s.refuseOverloaded() {
		return
	}
	defer g.overload.Done()
	if s.refuseFull() {
		return
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	s.cancel = cancel
	g.unanswered.enter(s)
	defer s.leaveUnanswered()
	if !s.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, s.deadline)
		defer cancel()
	}
	s.unsent, s.cancelUnsent = context.WithCancelCause(ctx)
	defer s.cancelUnsent(nil)
	g.unsent.enter(s)
	defer g.unsent.leave(s)
	defer s.releaseBody()
	if err := s.readBody(s.unsent); err != nil {
		s.rejectBody(err)
		return
	}
	if err := s.run(ctx); err != nil {
		s.fail(err)
	}
}

// stopRetryAfter is the Retry-After value of a router that stops. The caller reaches another one.
const stopRetryAfter = 50 * time.Millisecond

// leaveUnanswered is called when the response begins: the request no longer ends with those that are unanswered.
func (s *requestState) leaveUnanswered() { s.g.unanswered.leave(s) }

// stop ends a request that the router does not answer in time because it stops.
func (s *requestState) stop() { s.cancel(errStopped) }

// stopUnsent ends a request that was sent to no instance yet, if it may last longer than the router.
func (s *requestState) stopUnsent() {
	if s.outlivesRouter() {
		s.cancelUnsent(errStopped)
	}
}

// outlivesRouter reports whether the router stops and may exit before the request's time is over.
func (s *requestState) outlivesRouter() bool {
	end := s.g.lastAnswer.Load()
	return end != nil && (s.deadline.IsZero() || s.deadline.After(*end))
}

// refuseLate refuses a request that was read too late in a stop.
func (s *requestState) refuseLate() {
	// Without a valid header the response names no request.
	s.call, _ = s.g.env.Protocol.ParseRequest(s.request)
	s.rejectUnread(stoppingError())
}

// stoppingError returns the refusal of a router that stops.
func stoppingError() *verdict.Error {
	return unavailable(verdict.ReasonLeaving, "the router stops", stopRetryAfter)
}

// accept validates and authorises the request by its header.
func (s *requestState) accept() *verdict.Error {
	if s.table == nil {
		return notReadyError()
	}
	if !strings.HasPrefix(s.target, "/") {
		s.target = s.request.URL.RequestURI()
	}
	path, _, _ := strings.Cut(s.target, "?")
	s.route = s.table.Match(s.request.Host, path)
	if s.route == nil {
		return verdict.New(verdict.NotRun, verdict.ReasonUnknownPool, "no route")
	}
	call, err := s.g.env.Protocol.ParseRequest(s.request)
	if err != nil {
		return verdict.Wrap(verdict.NotRun, verdict.ReasonBadRequest, err)
	}
	s.setCall(call)
	owner, ok := s.table.Authorise(s.route, call.APIKey)
	if !ok {
		return verdict.New(verdict.NotRun, verdict.ReasonUnauthorised, "the key is unknown")
	}
	s.setOwner(owner)
	if limit := s.table.Limits.HeaderBytes; limit > 0 && headerSize(s.request) > limit {
		return verdict.New(verdict.NotRun, verdict.ReasonHeaderTooLarge, "the header is over the limit")
	}
	return nil
}

// notReadyError returns the refusal before the first configuration.
func notReadyError() *verdict.Error {
	return unavailable(verdict.ReasonNotReady, "no configuration is known yet", notReadyRetryAfter)
}

// setCall sets what the caller said of the request.
func (s *requestState) setCall(call RequestInfo) {
	s.call = call
	s.lastEventID = call.LastEventID
	s.parts = sharedParts(call.Prompt)
}

// setOwner sets what follows from the route and from the owner of the caller's key, nil if there is none.
func (s *requestState) setOwner(owner *routes.Organisation) {
	s.priority = s.route.Priority
	if owner != nil {
		s.organisation = owner.Name
		if owner.HasPriority {
			s.priority = owner.Priority
		}
	}
	s.setDeadline()
}

// setDeadline sets the deadline from the caller's or the route's time limit, whichever is shorter.
func (s *requestState) setDeadline() {
	s.timeLimit, s.limitedBy = s.route.Timeout, "route"
	if s.call.Timeout > 0 && (s.timeLimit == 0 || s.call.Timeout < s.timeLimit) {
		s.timeLimit, s.limitedBy = s.call.Timeout, "caller"
	}
	if s.timeLimit > 0 {
		s.deadline = s.start.Add(s.timeLimit)
	}
}

// readBody reads the whole body, so that it can be sent again and never reaches a backend server truncated,
// and computes the fingerprint. It waits for the body no longer than ctx lasts, nor for one that the account drops.
func (s *requestState) readBody(ctx context.Context) *verdict.Error {
	s.held = s.g.memory.Open(clientAddress(s.request), func() {
		// A failure means that the connection has ended.
		_ = http.NewResponseController(s.writer).SetReadDeadline(time.Now())
	})
	release := s.interruptReads(ctx)
	begin := time.Now()
	body, err := requestbody.Collect(s.writer, s.request, s.table.Limits.BodyBytes, s.held)
	s.bodyTime = time.Since(begin)
	release()
	if !s.held.Complete() || errors.Is(err, requestbody.NoMemoryError{}) {
		return s.droppedBody()
	}
	var tooLarge *requestbody.TooLargeError
	if errors.As(err, &tooLarge) {
		return verdict.New(verdict.NotRun, verdict.ReasonTooLarge, tooLarge.Error())
	}
	if err != nil && ctx.Err() != nil {
		return s.contextError(ctx, verdict.NotRun)
	}
	if err != nil {
		return verdict.Wrap(verdict.NotRun, verdict.ReasonCancelled, err)
	}
	s.body, s.hasBody = body, len(body) > 0
	s.fingerprint = Fingerprint(s.request.Method, s.target, s.call.APIKey, body)
	return nil
}

// Fingerprint returns the hash that identifies a request among those that are suspected of crashes. target is the path with
// the query, body the pieces of the body in order.
func Fingerprint(method, target, key string, body [][]byte) uint64 {
	digest := xxhash.New()
	for _, text := range []string{method, "\n", target, "\n", key, "\n"} {
		_, _ = digest.WriteString(text)
	}
	for _, piece := range body {
		_, _ = digest.Write(piece)
	}
	return digest.Sum64()
}

// arrivedTime is how long after the end of a request what has arrived of its body is read. If the process did not run, that
// may be all of it, and closing a connection with unread data would reset it.
const arrivedTime = 50 * time.Millisecond

// interruptReads makes reads from the caller fail once ctx ends, until release is called. The connection is then closed after
// the response.
func (s *requestState) interruptReads(ctx context.Context) (release func()) {
	interrupted := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(interrupted)
		// A failure means that the connection has ended.
		_ = http.NewResponseController(s.writer).SetReadDeadline(time.Now().Add(arrivedTime))
	})
	return func() {
		if !stop() {
			<-interrupted
			s.writer.Header().Set("Connection", "close")
		}
	}
}

// headerSize returns the size of the request line and the header fields in bytes.
func headerSize(r *http.Request) int64 {
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host) + 10
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + 4
		}
	}
	return int64(size)
}

// run admits the request and tries instances until one answers. If it returns an error, no response was
// written yet, unless s.responseStarted is set.
func (s *requestState) run(ctx context.Context) error {
	defer s.endTrial()
	if err := s.prepare(s.checkSuspects); err != nil {
		return err
	}
	grant, err := s.g.admission.admit(s.untilSent(ctx), s.table.Pools[s.pool], s.organisation, s.priority)
	s.admissionWait = time.Since(s.start)
	s.g.metrics.admissionWait.observe(s.admissionWait)
	if err != nil && ctx.Err() == nil && s.untilSent(ctx).Err() != nil {
		return s.contextError(s.unsent, verdict.NotRun)
	}
	if err != nil {
		return s.exhausted(err)
	}
	if grant != nil {
		defer grant.Done()
	}
	s.budget = s.g.budgets.recordRequest(s.pool, time.Now())
	return s.tryInstances(ctx)
}

// prepare selects the pool of a request. The error is its refusal before admission.
func (s *requestState) prepare(checkSuspects func() *verdict.Error) *verdict.Error {
	if err := checkSuspects(); err != nil {
		return err
	}
	if err := s.choosePool(); err != nil {
		return err
	}
	if s.g.registry.HeldOff(s.pool) > 0 {
		return s.noInstance()
	}
	return nil
}

// untilSent returns the context for a wait before the next attempt: that of the request, or unsent before the first one.
func (s *requestState) untilSent(ctx context.Context) context.Context {
	if s.attemptsSent > 0 || s.unsent == nil {
		return ctx
	}
	return s.unsent
}

// choosePool selects the first pool of the route that has an instance that is not leaving, even if it is ejected. A pool
// whose instances all turn requests away follows the others; if there is no other, the first one to come back is selected.
func (s *requestState) choosePool() *verdict.Error {
	least := time.Duration(0)
	for _, name := range s.route.PoolOrder(s.poolHash()) {
		if sum := s.g.registry.Summary(name); sum.Members == sum.Leaving {
			continue
		}
		heldOff := s.g.registry.HeldOff(name)
		if s.pool == "" || heldOff < least {
			s.pool, least = name, heldOff
		}
		if heldOff == 0 {
			return nil
		}
	}
	if s.pool != "" {
		return nil
	}
	return unavailable(verdict.ReasonNoCandidate, "no instance takes work", noInstanceRetryAfter)
}

// poolHash returns the hash that selects the pool of a split route. Requests whose prompts agree in all parts
// but the last share a hash, so that the shared parts are computed in one pool only. The hash of a request
// without such parts is that of its ID.
func (s *requestState) poolHash() uint64 {
	if n := len(s.call.Prompt); n > 1 {
		return xxhash.Sum64String(s.route.Name) ^ s.call.Prompt[n-2].ID
	}
	return xxhash.Sum64String(s.call.ID)
}

// poolRequest describes the instance that the request needs, excluding those already tried.
func (s *requestState) poolRequest() *pool.Request {
	return &pool.Request{
		Pool:    s.pool,
		Parts:   s.call.Prompt,
		Tokens:  s.call.PromptTokens,
		Exclude: s.triedInstances,
	}
}

// timeLeft returns the time until the deadline, 0 if there is none.
func (s *requestState) timeLeft() time.Duration {
	if s.deadline.IsZero() {
		return 0
	}
	return max(time.Millisecond, time.Until(s.deadline))
}
