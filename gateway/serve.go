package gateway

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthfork.example/jacinthfork/gateway/pool"
	"jacinthfork.example/jacinthfork/gateway/routes"
	"jacinthfork.example/jacinthfork/internal/requestbody"
	"jacinthfork.example/jacinthfork/suspect"
	"jacinthfork.example/jacinthfork/verdict"
)

// serving is one caller's request on its way.
type serving struct {
	g            *Gateway
	w            http.ResponseWriter
	r            *http.Request
	start        time.Time
	table        *routes.Table
	route        *routes.Route
	call         Call
	organisation string
	priority     int
	target       string
	body         []byte
	fingerprint  uint64
	// deadline is when the caller or the route gives up; zero is never.
	deadline time.Time
	// limit is the time from start to deadline, 0 when there is none. limitedBy is "route" or "caller".
	limit     time.Duration
	limitedBy string
	// pool is the one that runs the request, once admitted.
	pool string
	// tried are the instances that had the request, sent the attempts that may have run.
	tried []string
	sent  int
	// streamed is set when a part of the answer has gone to the caller; lastEvent is then the last
	// event of a stream.
	streamed  bool
	lastEvent string
	// budget is the retry budget of the pool; repeatReserved is set when the next
	// repeat is taken from it already.
	budget         *poolBudget
	repeatReserved bool
	// waited is the time before admission.
	waited time.Duration
}

// listed returns the names in a comma-separated field, in canonical form.
func listed(field string) map[string]bool {
	out := make(map[string]bool)
	for _, name := range strings.Split(field, ",") {
		out[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
	}
	return out
}

// serveCaller serves one request of a caller.
func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	s := &serving{g: g, w: w, r: r, start: time.Now(), target: r.RequestURI, table: g.table.Load()}
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if err := s.accept(); err != nil {
		s.refuse(err)
		return
	}
	ctx := r.Context()
	if !s.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, s.deadline)
		defer cancel()
	}
	if err := s.run(ctx); err != nil {
		s.fail(err)
	}
}

// accept checks the request and reads its body.
func (s *serving) accept() *verdict.Error {
	if s.table == nil {
		return retryLater(verdict.ReasonNotReady, "no configuration is known yet", notReadyRetry)
	}
	if !strings.HasPrefix(s.target, "/") {
		s.target = s.r.URL.RequestURI()
	}
	path, _, _ := strings.Cut(s.target, "?")
	s.route = s.table.Match(s.r.Host, path)
	if s.route == nil {
		return verdict.New(verdict.NotRun, verdict.ReasonUnknownPool, "no route")
	}
	call, err := s.g.env.Protocol.ReadCall(s.r)
	if err != nil {
		return verdict.Wrap(verdict.NotRun, verdict.ReasonBadRequest, err)
	}
	s.call = call
	s.lastEvent = call.LastEvent
	owner, ok := s.table.Authorise(s.route, call.Key)
	if !ok {
		return verdict.New(verdict.NotRun, verdict.ReasonUnauthorised, "the key is unknown")
	}
	s.priority = s.route.Priority
	if owner != nil {
		s.organisation = owner.Name
		if owner.HasPriority {
			s.priority = owner.Priority
		}
	}
	s.limitTime()
	return s.readBody()
}

// limitTime sets the deadline from the caller's and the route's limit, whichever is shorter.
func (s *serving) limitTime() {
	s.limit, s.limitedBy = s.route.Timeout, "route"
	if s.call.TimeLimit > 0 && (s.limit == 0 || s.call.TimeLimit < s.limit) {
		s.limit, s.limitedBy = s.call.TimeLimit, "caller"
	}
	if s.limit > 0 {
		s.deadline = s.start.Add(s.limit)
	}
}

// readBody reads the whole body, so that it can be sent again and is never cut off at a backend
// server, and computes the fingerprint.
func (s *serving) readBody() *verdict.Error {
	limits := s.table.Limits
	if limits.HeaderBytes > 0 && headerSize(s.r) > limits.HeaderBytes {
		return verdict.New(verdict.NotRun, verdict.ReasonHeaderTooLarge, "the header is over the limit")
	}
	body, err := requestbody.Read(s.w, s.r, limits.BodyBytes)
	var tooLarge *requestbody.TooLargeError
	if errors.As(err, &tooLarge) {
		return verdict.New(verdict.NotRun, verdict.ReasonTooLarge, tooLarge.Error())
	}
	if err != nil {
		return verdict.Wrap(verdict.NotRun, verdict.ReasonCancelled, err)
	}
	s.body = body
	digest := xxhash.New()
	for _, text := range []string{s.r.Method, "\n", s.target, "\n", s.call.Key, "\n"} {
		_, _ = digest.WriteString(text)
	}
	_, _ = digest.Write(body)
	s.fingerprint = digest.Sum64()
	return nil
}

// headerSize is the size of the request line and the header fields in bytes.
func headerSize(r *http.Request) int64 {
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host) + 10
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + 4
		}
	}
	return int64(size)
}

// run admits the request and tries instances until it is answered. An error means that nothing was
// answered yet, unless s.streamed.
func (s *serving) run(ctx context.Context) error {
	if d := s.g.suspects.Check(suspect.Request{Fingerprint: s.fingerprint}); d.Err != nil {
		return d.Err
	}
	if err := s.choosePool(); err != nil {
		return err
	}
	grant, err := s.g.admission.admit(ctx, s.pool, s.organisation, s.priority)
	s.waited = time.Since(s.start)
	s.g.metrics.waiting.observe(s.waited)
	if err != nil {
		return err
	}
	defer grant.Done()
	s.budget = s.g.budgets.request(s.pool, time.Now())
	return s.tryInstances(ctx)
}

// choosePool takes the first pool of the route with an instance that takes work.
func (s *serving) choosePool() *verdict.Error {
	order := s.route.Order(s.poolKey())
	for _, name := range order {
		if sum := s.g.registry.Summary(name); sum.Members > sum.Leaving {
			s.pool = name
			return nil
		}
	}
	return retryLater(verdict.ReasonNoCandidate, "no instance takes work", noCandidateRetry)
}

// poolKey draws the pool of a split route. Requests with one prompt share a draw, so that the prompt
// is read in one pool only.
func (s *serving) poolKey() uint64 {
	if n := len(s.call.Prompt); n > 1 {
		return xxhash.Sum64String(s.route.Name) ^ s.call.Prompt[n-2].ID
	}
	return xxhash.Sum64String(s.call.ID)
}

// wanted describes the instance that the request needs, one that has not had it.
func (s *serving) wanted() *pool.Request {
	return &pool.Request{
		Pool:    s.pool,
		Parts:   s.call.Prompt,
		Tokens:  s.call.PromptTokens,
		Exclude: s.tried,
	}
}

// timeLeft is the time until the deadline, 0 when there is none.
func (s *serving) timeLeft() time.Duration {
	if s.deadline.IsZero() {
		return 0
	}
	return max(time.Millisecond, time.Until(s.deadline))
}
