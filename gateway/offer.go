package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"jacinthfork.example/jacinthfork/gateway/backend"
	"jacinthfork.example/jacinthfork/gateway/poison"
	"jacinthfork.example/jacinthfork/gateway/pool"
	"jacinthfork.example/jacinthfork/gateway/routes"
	"jacinthfork.example/jacinthfork/verdict"
)

const (
	// offerTimeout is how long an instance may take to answer an offer before the request goes over to it all the same:
	// instances refuse at once, and two of them must not work on one request for long.
	offerTimeout = 200 * time.Millisecond
	// offerGrace is how much longer the offer lasts while the silent instance seems to go on.
	offerGrace = 50 * time.Millisecond
	// offerCheckInterval is how often that is checked.
	offerCheckInterval = 10 * time.Millisecond
	// offerPause is the time between an offer that was sent in vain and the next one.
	offerPause = 200 * time.Millisecond
)

// offer is a request that is sent to another instance while a silent one keeps it.
type offer struct {
	ctx    context.Context
	cancel context.CancelFunc
	lease  *pool.Lease
	place  *reservation
	conn   *backend.Conn
	// sentAt is when the request was sent, zero before, and withdrawn the reason for which the offer was cancelled. Both are
	// guarded by the lock of the watch.
	sentAt    time.Time
	withdrawn string
	// sentAttempt is what was known of the request's suspects when it was sent.
	sentAttempt *poison.Attempt
	// waits measures how long the offer makes the caller wait.
	waits *waitMeter
	// late is set if the response of the first instance is late, rather than that one silent.
	late   *offerLate
	result chan exchangeResult
	// received is the result once it was taken from the channel.
	received *exchangeResult
}

// sent reports whether the request was sent. The caller holds the lock of the watch.
func (o *offer) sent() bool { return !o.sentAt.IsZero() }

// receive returns the result of an offer that was sent.
func (o *offer) receive() exchangeResult {
	if o.received == nil {
		r := <-o.result
		o.received = &r
	}
	return *o.received
}

// offerAnswer is what an instance has answered to an offer.
type offerAnswer uint8

const (
	noAnswer offerAnswer = iota
	// acceptance is the header of a response that the caller can be given.
	acceptance
	// rejection is anything else.
	rejection
)

// offerView is what the router knows of an offer that was sent.
type offerView struct {
	answer offerAnswer
	// answering is set while a late first instance answers: its answer may still turn out to be of no use.
	answering bool
	// resumed is set once the silent instance has sent data.
	resumed bool
	// silent is set if it seems to be silent still.
	silent bool
	// late is set if the first instance is late rather than silent, and secondSooner if the other one is expected to answer
	// before it.
	late, secondSooner bool
	// waited is the time since the offer was sent.
	waited time.Duration
}

// offerDecision is what becomes of an offer.
type offerDecision uint8

const (
	waitForAnswer offerDecision = iota
	takeOver
	endOffer
)

// decide decides on an offer.
func (v offerView) decide() offerDecision {
	switch {
	case v.resumed, v.answer == rejection:
		return endOffer
	case v.answering && v.waited < offerTimeout+offerGrace:
		return waitForAnswer
	case v.answering:
		return endOffer
	case v.answer == acceptance:
		return takeOver
	case v.waited < offerTimeout:
		return waitForAnswer
	case v.late && !v.secondSooner:
		return endOffer
	case v.silent:
		return takeOver
	case v.waited < offerTimeout+offerGrace:
		return waitForAnswer
	default:
		return endOffer
	}
}

// offer makes one offer. over is set if it goes on with the request, again if no instance was reached, so that the next one
// can be asked at once.
func (w *watch) offer(late *offerLate) (over, again bool) {
	ctx, cancel := context.WithCancel(w.ctx)
	o := &offer{ctx: ctx, cancel: cancel, late: late, result: make(chan exchangeResult, 1)}
	if !w.begin(o) {
		cancel()
		o.refund(w.state.g)
		return false, false
	}
	reason := w.send(o)
	if reason == "" {
		if over, reason = w.await(o); over {
			return true, false
		}
	}
	w.mu.Lock()
	switch {
	case o.withdrawn != "":
		reason = o.withdrawn
	case ctx.Err() != nil:
		reason = offerPointless
	}
	if w.current == o {
		w.current = nil
	}
	sent := o.sent()
	w.mu.Unlock()
	cancel()
	if !sent {
		o.refund(w.state.g)
	}
	w.recordEnded(o, reason)
	return false, reason == string(verdict.ReasonUnreachable)
}

// begin registers an offer, unless the watch has ended.
func (w *watch) begin(o *offer) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return false
	}
	w.current = o
	w.state.lastEventID = w.lastEventID
	return true
}

// Reasons for which an offer ends, besides those of its verdict.
const (
	offerNoInstance = "no instance"
	// offerOverLimit means that the second instance would compute more than the limit on extra work leaves.
	offerOverLimit = "over the limit"
	// offerResumed means that the silent instance has sent data, offerPointless that the request has ended otherwise.
	offerResumed   = "resumed"
	offerPointless = "request ended"
)

// send sends an offer to an instance, or returns the reason why not.
func (w *watch) send(o *offer) (reason string) {
	s := w.state
	s.onlyFree = o.late != nil
	lease, place, err := s.acquire(o.ctx)
	if lease == nil {
		if err != nil && o.ctx.Err() == nil {
			return string(verdict.As(err).Reason)
		}
		return offerNoInstance
	}
	o.lease, o.place = lease, place
	if o.late != nil && !o.late.raise(s.g, lease) {
		s.releaseUnsent(lease, place, pool.Abandoned)
		return offerOverLimit
	}
	conn, outcome, err := s.connect(o.ctx, lease)
	if outcome == pool.Unreachable {
		s.triedInstances = append(s.triedInstances, lease.Instance.ID)
	}
	if err != nil {
		s.releaseUnsent(lease, place, outcome)
		return string(verdict.As(err).Reason)
	}
	if !w.markSent(o) {
		_ = conn.Close()
		s.releaseUnsent(lease, place, pool.Abandoned)
		return offerResumed
	}
	o.conn = conn
	w.paid = false
	s.triedInstances = append(s.triedInstances, lease.Instance.ID)
	s.recordSending()
	o.sentAttempt, o.waits = s.sent, s.measureWaits(lease, conn)
	request := s.backendRequest(lease)
	if o.late != nil {
		s.g.metrics.extraWork.Add(s.pool+"/asked", 1)
	}
	firstEvent := o.late != nil && s.route.Mode == routes.Streaming
	go func() {
		r := s.g.exchange(o.ctx, conn, request)
		if firstEvent && r.err == nil && r.response.StatusCode == http.StatusOK {
			r = awaitData(r.response)
		}
		o.result <- r
	}()
	return ""
}

// awaitData waits for the first data of a stream. A header alone does not show that its instance is sooner.
func awaitData(resp *backend.Response) exchangeResult {
	if err := resp.AwaitData(); err != nil {
		return exchangeResult{err: err}
	}
	return exchangeResult{response: resp}
}

// markSent records that an offer is being sent, unless it was withdrawn.
func (w *watch) markSent(o *offer) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.current != o {
		return false
	}
	o.sentAt = time.Now()
	return true
}

// await waits until it is decided what becomes of an offer that was sent. over is set if it goes on with the request.
func (w *watch) await(o *offer) (over bool, reason string) {
	timer := time.NewTimer(offerTimeout)
	defer timer.Stop()
	for {
		v := offerView{answer: noAnswer}
		var outcome pool.Outcome
		var failure error
		select {
		case r := <-o.result:
			o.received = &r
			if w.adopted(o) {
				return true, ""
			}
			v.answer, outcome, failure = w.judge(o)
		case <-o.ctx.Done():
		case <-w.stopping:
			if w.adopted(o) {
				return true, ""
			}
		case <-timer.C:
			timer.Reset(offerCheckInterval)
		}
		v.resumed, v.silent, v.waited = o.ctx.Err() != nil, w.seemsSilent(o), time.Since(o.sentAt)
		v.answering = w.isAnswering()
		if v.late = o.late != nil; v.late && v.waited >= offerTimeout {
			v.secondSooner = o.secondSooner(w.state.g, w.lease)
		}
		decision := v.decide()
		if decision == takeOver {
			if w.take(o) {
				if o.late != nil {
					w.settleFirst(o, v.answer == acceptance)
				}
				w.recordTakenOver(o, v)
				return true, ""
			}
			if w.adopted(o) {
				return true, ""
			}
			decision = endOffer
			if w.isAnswering() {
				decision = waitForAnswer
			}
		}
		if decision == endOffer {
			return false, w.endSent(o, outcome, failure)
		}
	}
}

// seemsSilent reports whether the first instance seems to be silent still.
func (w *watch) seemsSilent(o *offer) bool {
	if o.late != nil {
		return w.quiet()
	}
	return w.silent()
}

// adopted reports whether the silent instance's attempt has failed, so that the offer is the next attempt.
func (w *watch) adopted(o *offer) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stopped && w.current == o
}

// take lets an offer take the request over, and closes the connection to the silent instance. It returns false if that one
// has sent data or its attempt has ended.
func (w *watch) take(o *offer) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.current != o || w.answering {
		return false
	}
	w.taken = true
	w.abort()
	return true
}

// judge says what an instance has answered. A rejection has an outcome and an error, and its response has ended.
func (w *watch) judge(o *offer) (offerAnswer, pool.Outcome, error) {
	s, resp := w.state, o.received.response
	if err := o.received.err; err != nil {
		outcome, err := s.classifyFailure(o.ctx, o.lease, err, o.received.stale)
		return rejection, outcome, err
	}
	o.lease.RecordProgress()
	if outcome, err := s.screen(o.lease, resp); err != nil {
		return rejection, outcome, err
	}
	if !s.canRelay(resp) {
		resp.Abort()
		return rejection, pool.Errored, verdict.New(verdict.Ran, verdict.ReasonEngineError, "status "+strconv.Itoa(resp.StatusCode))
	}
	return acceptance, pool.Served, nil
}

// canRelay reports whether the request can go on with a response that is an instance's answer to it.
func (s *requestState) canRelay(resp *backend.Response) bool {
	if s.route.Mode == routes.Streaming {
		return s.canStream(resp)
	}
	return resp.StatusCode < http.StatusInternalServerError && !promisesNotRun(resp.StatusCode)
}

// endSent ends an offer that was sent. failure is that of a rejection.
func (w *watch) endSent(o *offer, outcome pool.Outcome, failure error) (reason string) {
	w.state.failedAttempts++
	w.pausedUntil = time.Now().Add(offerPause)
	if o.late != nil {
		w.settleSecond(o, failure)
	}
	if failure == nil {
		w.state.endOffer(o)
		return offerResumed
	}
	w.state.recordRefusedResponse(o.lease, failure)
	w.state.release(o.lease, o.place, outcome)
	return string(verdict.As(failure).Reason)
}

// endOffer gives up an offer that was sent.
func (s *requestState) endOffer(o *offer) {
	o.cancel()
	if resp := o.receive().response; resp != nil {
		s.abandon(o.lease, resp)
	}
	s.release(o.lease, o.place, pool.Abandoned)
}

// recordTakenOver logs and counts an offer that has taken the request over.
func (w *watch) recordTakenOver(o *offer, v offerView) {
	s := w.state
	s.g.metrics.offers.Add(s.pool+"/taken over", 1)
	s.g.log.InfoContext(failedContext, "request taken over", "id", s.call.ID, "from", w.from, "to", o.lease.Instance.ID,
		"silent_ms", w.silentFor().Milliseconds(), "waited_ms", v.waited.Milliseconds(), "answered", v.answer == acceptance, "late", v.late,
		"last_event", s.lastEventID)
}

// recordEnded logs and counts an offer that ended while the silent instance keeps the request.
func (w *watch) recordEnded(o *offer, reason string) {
	s := w.state
	to := ""
	if o.lease != nil {
		to = o.lease.Instance.ID
	}
	s.g.metrics.offers.Add(s.pool+"/"+reason, 1)
	s.g.log.InfoContext(failedContext, "offer ended", "id", s.call.ID, "from", w.from, "to", to, "reason", reason,
		"late", o.late != nil, "silent_ms", w.silentFor().Milliseconds(), "last_event", s.lastEventID)
}

// silentFor returns the time since the instance sent data.
func (w *watch) silentFor() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.progressAt)
}
