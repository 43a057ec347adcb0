package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"jacinthfork.example/jacinthfork/gateway/pool"
)

// watched is an attempt whose instance may fall silent.
type watched struct {
	// interval is how often silent is called.
	interval time.Duration
	// silent reports whether the instance has been silent for so long that the request is offered to another one. It is nil
	// if that is not known.
	silent func() bool
	// silentAt, if set, returns the time until which silent is false in any case.
	silentAt func() time.Time
	// quiet reports whether nothing has arrived that was not read.
	quiet func() bool
	// late is set if the request is offered to another one, once, when the response is late.
	late *lateResponse
	// abort closes the connection to the instance.
	abort func()
}

// watch offers the request of a silent instance to others, one after another, while the silent one keeps it. An instance
// that answers the offer takes the request over. Until then the connection to the silent one stays open: the others may
// refuse, and it may go on.
//
// The goroutine that serves the caller calls claim, settle, stop and end. A nil watch offers nothing.
type watch struct {
	watched
	ctx   context.Context
	from  string
	lease *pool.Lease
	// state is a copy of the request's state. It belongs to the goroutine of run until that has exited.
	state *requestState
	// paid is set if a retry was withdrawn from the budget and not used yet.
	paid bool
	// pausedUntil is when the next offer may begin.
	pausedUntil time.Time
	// silentCheck is when silent is called next, and wakeAt when run was to look next.
	silentCheck, wakeAt time.Time
	// refusedByLimit is set once the limit on extra work has refused a second instance.
	refusedByLimit bool
	// lost is set if a second instance has taken over a request whose response was late, and slowdown is then how many
	// times longer than usual the first one was expected to take.
	lost     bool
	slowdown float64
	timer    *time.Timer
	stopping chan struct{}
	exited   chan struct{}

	mu sync.Mutex
	// lastEventID is the ID of the last event that was relayed, progressAt the time of the last data.
	lastEventID string
	progressAt  time.Time
	// current is the offer under way, and taken is set once it has taken the request over.
	current *offer
	taken   bool
	stopped bool
	// progressed is set once the instance has sent data, and answering while it answers and a second instance, asked because
	// the response was late, has the request as well.
	progressed, answering bool
}

// watchAttempt starts to watch the current attempt.
func (s *requestState) watchAttempt(ctx context.Context, lease *pool.Lease, a watched) *watch {
	if s.attemptsSent >= s.route.MaxAttempts || (a.silent == nil && a.late == nil) {
		return nil
	}
	state := *s
	state.triedInstances = slices.Clone(s.triedInstances)
	state.offering = true
	w := &watch{
		watched: a, ctx: ctx, from: lease.Instance.ID, lease: lease, state: &state, stopping: make(chan struct{}), exited: make(chan struct{}),
		lastEventID: s.lastEventID, progressAt: time.Now(),
	}
	if a.silent != nil {
		w.silentCheck = w.nextSilentCheck(w.progressAt)
	}
	wait, _ := w.nextCheck(time.Now())
	w.timer = time.AfterFunc(wait, w.run)
	return w
}

// nextCheck returns the time until there is something to look at. ok is false if there is nothing any more.
func (w *watch) nextCheck(now time.Time) (wait time.Duration, ok bool) {
	next := w.silentCheck
	if w.late != nil && (next.IsZero() || w.late.at.Before(next)) {
		next = w.late.at
	}
	w.wakeAt = next
	return max(0, next.Sub(now)), !next.IsZero()
}

// nextSilentCheck returns when silent is called next: after the interval, or as many intervals as pass before it can be true.
// A stream whose instance goes on wakes its watch a third as often as by the interval alone.
func (w *watch) nextSilentCheck(now time.Time) time.Time {
	next := now.Add(w.interval)
	if w.silentAt == nil {
		return next
	}
	if early := w.silentAt().Sub(next); early >= 0 {
		next = next.Add((early/w.interval + 1) * w.interval)
	}
	return next
}

// claim records that the instance has sent data, which ends an offer. It returns false if another instance has taken the
// request over; the data must then not be used. id is that of the event, if it has one.
func (w *watch) claim(id string, now time.Time) bool {
	if w == nil {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.taken {
		return false
	}
	w.withdraw(offerResumed)
	w.progressAt = now
	w.progressed = true
	if id != "" && isAfter(id, w.lastEventID) {
		w.lastEventID = id
	}
	return true
}

// beginAnswer records that the instance begins to answer. It returns false if another one has taken the request over. An
// offer that was made because the response was late lasts until the answer is known to be of use, see commit.
func (w *watch) beginAnswer() bool {
	w.mu.Lock()
	late := !w.taken && !w.stopped && w.current != nil && w.current.late != nil && w.current.sent()
	if late {
		w.answering, w.progressed = true, true
	}
	w.mu.Unlock()
	return late || w.settle()
}

// isAnswering reports whether the instance answers while a second one has the request.
func (w *watch) isAnswering() bool {
	if w == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.answering
}

// settle ends the watch because the instance has answered. It returns false if another one has taken the request over.
func (w *watch) settle() bool {
	if w == nil {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.taken {
		return false
	}
	w.withdraw(offerResumed)
	w.halt()
	return true
}

// stop ends the watch, and an offer even if it has taken the request over. After settle or end it has no effect.
func (w *watch) stop() {
	if w == nil {
		return
	}
	w.mu.Lock()
	if w.stopped {
		w.mu.Unlock()
		return
	}
	o, taken := w.current, w.taken
	w.withdraw(offerPointless)
	w.halt()
	w.mu.Unlock()
	if taken {
		w.state.endOffer(o)
	}
}

// end ends the watch of an attempt that failed or is settled. It returns the offer that goes on with the request, if there is one, and
// whether that one had taken over. An offer that was not sent yet ends. The state of the watch then belongs to the caller.
func (w *watch) end() (o *offer, taken bool) {
	w.mu.Lock()
	if w.current != nil && !w.current.sent() {
		w.withdraw(offerPointless)
	}
	w.halt()
	w.mu.Unlock()
	<-w.exited
	return w.current, w.taken
}

// withdraw cancels the offer under way for a reason. The caller holds the lock.
func (w *watch) withdraw(reason string) {
	if w.current != nil {
		w.current.withdrawn = reason
		w.current.cancel()
		w.current = nil
	}
}

// halt makes run return. The caller holds the lock.
func (w *watch) halt() {
	if w.stopped {
		return
	}
	w.stopped = true
	close(w.stopping)
	if w.timer.Stop() {
		close(w.exited)
	}
}

// goOnWith ends the watch of an attempt and counts the offers that were made. If the attempt has failed, the offer under way,
// if there is one, is the next attempt. It reports whether the attempt failed because the offer had taken over.
func (s *requestState) goOnWith(w *watch) (taken bool) {
	if w == nil {
		return false
	}
	s.offer, taken = w.end()
	s.triedInstances, s.attemptsSent, s.failedAttempts = w.state.triedInstances, w.state.attemptsSent, w.state.failedAttempts
	s.secondAsked, s.lateLost, s.slowdown = w.state.secondAsked, w.lost, w.slowdown
	if s.offer != nil && !taken {
		// The first attempt has failed, so that the second one is a retry.
		s.offer.refund(s.g)
	}
	return taken
}

// run makes offers while the instance is silent, or when its response is late, until one takes over or the watch ends.
func (w *watch) run() {
	defer close(w.exited)
	timer := time.NewTimer(w.interval)
	defer timer.Stop()
	for {
		if w.late != nil && time.Since(w.wakeAt) > maxTimerDelay {
			w.late.at = time.Now().Add(lateCheckInterval)
		}
		over, again := false, true
		for again {
			now := time.Now()
			late := w.dueLate(now)
			if late == nil && !(w.checksSilence(now) && w.due(now)) {
				break
			}
			over, again = w.offer(late)
		}
		if over {
			return
		}
		now := time.Now()
		if w.checksSilence(now) {
			w.silentCheck = w.nextSilentCheck(now)
		}
		wait, ok := w.nextCheck(now)
		if !ok {
			return
		}
		timer.Reset(wait)
		select {
		case <-w.stopping:
			return
		case <-timer.C:
		}
	}
}

// checksSilence reports whether it is time to see whether the instance is silent.
func (w *watch) checksSilence(now time.Time) bool {
	return !w.silentCheck.IsZero() && !now.Before(w.silentCheck)
}

// due reports whether to offer the request of a silent instance now, and if so withdraws it from the budget.
func (w *watch) due(now time.Time) bool {
	s := w.state
	if s.attemptsSent >= s.route.MaxAttempts || !s.withinLimits() || now.Before(w.pausedUntil) {
		return false
	}
	if w.isAnswering() || !w.silent() || !s.g.registry.HasAlternative(s.poolRequest()) {
		return false
	}
	if _, blocked := s.g.poison.Blocked(s.content()); blocked {
		return false
	}
	w.paid = w.paid || s.budget.Withdraw(now)
	return w.paid
}
