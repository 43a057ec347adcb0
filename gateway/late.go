package gateway

import (
	"context"
	"errors"
	"time"

	"jacinthfork.example/jacinthfork/gateway/extrawork"
	"jacinthfork.example/jacinthfork/gateway/pool"
	"jacinthfork.example/jacinthfork/gateway/routes"
	"jacinthfork.example/jacinthfork/verdict"
)

const (
	// lateCheckInterval is how often a late response is looked at again that no second instance was asked for.
	lateCheckInterval = 50 * time.Millisecond
	// maxTimerDelay is how much later than set a timer may fire. After that this process was paused, and not the instance.
	maxTimerDelay = 50 * time.Millisecond
	// maxKept bounds the time for which a cancelled request keeps its place. Services take less, and streams about as much.
	maxKept = 5 * time.Second
)

// errLate is the error of an attempt whose response was late, so that another instance was chosen.
var errLate = errors.New("the response is late, and another instance goes on")

// lateResponse is what is known of an attempt whose first response byte or event may be late.
type lateResponse struct {
	kind     extrawork.Kind
	computed int
	sentAt   time.Time
	// at is when the response is late, or is looked at next.
	at time.Time
}

// mayAskSecond reports whether a second instance may be asked for a late response of the request.
func (s *requestState) mayAskSecond() bool {
	return s.g.extraWork.Enabled() && s.route.Retryable() && !s.responseStarted && !s.secondAsked
}

// kindOf returns the kind of the request at a leased instance.
func (s *requestState) kindOf(lease *pool.Lease) extrawork.Kind {
	size := 0
	for _, piece := range s.body {
		size += len(piece)
	}
	if !s.plain() {
		size = lease.ComputedTokens()
	}
	return extrawork.Kind{Pool: s.pool, Mode: uint8(s.route.Mode), Size: extrawork.SizeOf(size)}
}

// lateness returns what tells whether the response of an attempt that was just sent is late, or nil if no second instance
// is asked for it.
func (s *requestState) lateness(lease *pool.Lease) *lateResponse {
	if !s.mayAskSecond() {
		return nil
	}
	kind := s.kindOf(lease)
	delay, ok := s.g.extraWork.Delay(kind, lease.Instance.ID, lease.RelativePace(), time.Now())
	if !ok {
		return nil
	}
	return &lateResponse{kind: kind, computed: lease.ComputedTokens(), sentAt: s.sentAt, at: s.sentAt.Add(delay)}
}

// recordFirstByte records the time to the first response byte or event of the current attempt.
func (s *requestState) recordFirstByte(lease *pool.Lease) {
	if s.g.extraWork.Enabled() && s.route.Retryable() && !s.sentAt.IsZero() {
		s.g.extraWork.RecordAnswer(s.kindOf(lease), lease.Instance.ID, time.Since(s.sentAt), time.Now())
	}
}

// recordWork adds the work of a request that was served to the budget for extra work.
func (s *requestState) recordWork(lease *pool.Lease) {
	if !s.g.extraWork.Enabled() {
		return
	}
	output := float64(s.call.MaxOutputTokens)
	switch {
	case s.plain():
		output = float64(time.Since(s.sentAt)) / float64(time.Millisecond)
	case s.route.Mode == routes.Streaming:
		output = float64(s.eventsRelayed)
	}
	s.g.extraWork.RecordServed(s.pool, lease.ComputedTokens(), output, time.Now())
}

// logSums logs when the fleet's response times become known or are not known any more.
func (g *Gateway) logSums() {
	if !g.extraWork.Enabled() {
		return
	}
	kinds := len(g.extraWork.Sums(time.Now()))
	if known := kinds > 0; known != g.sumsKnown {
		g.sumsKnown = known
		g.log.Info("response times of the fleet", "known", known, "kinds", kinds)
	}
}

// offerLate is what an offer is about that was made because of a late response.
type offerLate struct {
	lateResponse
	// charge is the work that was charged for the second instance.
	charge float64
}

// dueLate decides whether a second instance is asked now because the response is late. Its work is then charged.
func (w *watch) dueLate(now time.Time) *offerLate {
	late := w.late
	if late == nil || now.Before(late.at) {
		return nil
	}
	if w.hasProgressed() {
		w.late = nil
		return nil
	}
	late.at = now.Add(lateCheckInterval)
	if !w.quiet() {
		return nil
	}
	s := w.state
	sum := s.g.registry.Summary(s.pool)
	decision, charge := s.g.extraWork.Decide(extrawork.Request{
		Kind: late.kind, Instance: w.lease.Instance.ID, Pace: w.lease.RelativePace(), Repeatable: s.route.Retryable(), Asked: s.secondAsked,
		Attempts: s.attemptsSent, MaxAttempts: s.route.MaxAttempts, Age: now.Sub(late.sentAt),
		Overloaded: w.lease.Overloaded(), Alternative: s.withinLimits() && s.g.registry.HasAlternative(s.poolRequest()),
		InFlight: sum.Own + sum.Peers, Slots: sum.Slots, Computed: late.computed,
		Spare: func() bool {
			w.paid = w.paid || s.budget.WithdrawSpare(now)
			return w.paid
		},
	}, now)
	if decision == extrawork.OverLimit && !w.refusedByLimit {
		w.refusedByLimit = true
		s.g.metrics.extraWork.Add(s.pool+"/refused by the limit", 1)
	}
	if decision != extrawork.Ask {
		return nil
	}
	s.secondAsked = true
	w.late = nil
	return &offerLate{lateResponse: *late, charge: charge}
}

// hasProgressed reports whether the instance has sent data.
func (w *watch) hasProgressed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.progressed
}

// raise charges what the second instance computes beyond the first one.
func (l *offerLate) raise(g *Gateway, lease *pool.Lease) bool {
	charge, ok := g.extraWork.Raise(l.kind.Pool, lease.ComputedTokens(), l.charge, time.Now())
	l.charge = charge
	return ok
}

// secondSooner reports whether the second instance is expected to answer first.
func (o *offer) secondSooner(g *Gateway, first *pool.Lease) bool {
	now := time.Now()
	sent := func(lease *pool.Lease, at time.Time) extrawork.Sent {
		return extrawork.Sent{Instance: lease.Instance.ID, Pace: lease.RelativePace(), Age: now.Sub(at)}
	}
	return g.extraWork.SecondSooner(o.late.kind, sent(first, o.late.sentAt), sent(o.lease, o.sentAt), now)
}

// refund gives back the work charged for an offer that was not sent, or whose request has no other attempt any more.
func (o *offer) refund(g *Gateway) {
	if o.late != nil {
		g.extraWork.Refund(o.late.kind.Pool, o.late.charge, time.Now())
		o.late.charge = 0
	}
}

// settleFirst records that the first instance's request is cancelled.
func (w *watch) settleFirst(o *offer, answered bool) {
	s := w.state
	w.lost = true
	_, w.slowdown = s.g.extraWork.Settle(s.cancelled(w.lease, o.late.kind, o.late.computed, o.late.sentAt), o.late.charge, time.Now())
	result := "/won"
	if !answered {
		result = "/chosen unanswered"
	}
	s.g.metrics.extraWork.Add(s.pool+result, 1)
}

// settleSecond records that the second instance's request has ended while the first one keeps the request. failure is set
// if the second one did not take it; what it has run of the request is then unknown.
func (w *watch) settleSecond(o *offer, failure error) {
	s := w.state
	switch {
	case failure == nil:
		s.g.extraWork.Settle(s.cancelled(o.lease, s.kindOf(o.lease), o.lease.ComputedTokens(), o.sentAt), o.late.charge, time.Now())
		s.g.metrics.extraWork.Add(s.pool+"/cancelled", 1)
		return
	case verdict.As(failure).Verdict == verdict.NotRun:
		o.refund(s.g)
	}
	s.g.metrics.extraWork.Add(s.pool+"/failed", 1)
}

func (s *requestState) cancelled(lease *pool.Lease, kind extrawork.Kind, computed int, sentAt time.Time) extrawork.Cancelled {
	return extrawork.Cancelled{Kind: kind, Instance: lease.Instance.ID, Pace: lease.RelativePace(), Stream: s.route.Mode == routes.Streaming,
		Computed: computed, After: time.Since(sentAt)}
}

// keepPlace lets a cancelled request keep its place for about as long as it would have run there: slowdown times as long as
// it has run elsewhere. A slow instance whose requests are cancelled would otherwise seem free and get more of them.
func (g *Gateway) keepPlace(pool string, lease *pool.Lease, place *reservation, since time.Time, slowdown float64) {
	kept := min(maxKept, time.Duration((slowdown-1)*float64(time.Since(since))))
	time.AfterFunc(max(0, kept), func() { g.abandonPlace(pool, lease, place) })
}

// abandonPlace ends the lease of an attempt that was cancelled and gives its place back.
func (g *Gateway) abandonPlace(name string, lease *pool.Lease, place *reservation) {
	lease.Release(pool.Abandoned)
	g.reservations.end(place, pool.Abandoned)
	g.metrics.attempts.Add(name+"/"+pool.Abandoned.String(), 1)
}

// takenOverReason returns the reason under which an attempt counts that another one goes on with.
func takenOverReason(err error) string {
	if errors.Is(err, errLate) {
		return "late"
	}
	return string(verdict.As(err).Reason)
}

// relayAnswering relays the response of an instance while a second one has the request as well. If the response is of no
// use, the request goes on there.
func (s *requestState) relayAnswering(ctx context.Context, lease *pool.Lease, watch *watch, r exchangeResult) (pool.Outcome, error) {
	s.uncommitted = watch
	sent := s.attemptsSent
	outcome, err := s.relayResult(ctx, lease, r)
	if s.uncommitted == nil || err == nil || ctx.Err() != nil {
		return outcome, err
	}
	s.uncommitted = nil
	notRun := sent - s.attemptsSent
	s.goOnWith(watch)
	s.attemptsSent -= notRun
	return outcome, err
}

// commit records that the caller gets the response of the current attempt, which ends that of a second instance.
func (s *requestState) commit() {
	if w := s.uncommitted; w != nil {
		s.uncommitted = nil
		w.settle()
		s.goOnWith(w)
	}
}

// secondHasRequest reports whether a second instance has the request while the first one answers.
func (s *requestState) secondHasRequest() bool {
	w := s.uncommitted
	if w == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.current != nil
}
