package gateway

import (
	"net/http"
	"time"

	"jacinthfork.example/jacinthfork/internal/requestbody"
	"jacinthfork.example/jacinthfork/verdict"
)

// logRefusingWindow is the time without a local refusal after which a pool no longer counts as refused here. It spans the short
// times between the answers of keepers.
const logRefusingWindow = time.Second

// waitsAtKeepers reports whether the requests of the pool wait for places at the keepers of its instances.
func (s *requestState) waitsAtKeepers() bool { return s.plain() || s.contended() }

// question describes the request to askLimits.
func (s *requestState) question() placeQuestion {
	q := placeQuestion{pool: s.pool, priority: s.priority, organisation: s.organisation, timeLeft: s.timeLeft(), byUrgency: !s.plain()}
	switch {
	case s.plain():
		q.wait = s.g.admission.placeWait(s.pool)
	case s.route != nil:
		q.wait = queueWait(s.route.LatencyObjective)
	}
	return q
}

// refuseFull responds to a request whose pool is known to be full, before its body is read, and reports whether it did.
func (s *requestState) refuseFull() bool {
	err := s.knownFull(s.g.asks.mayAsk)
	if err == nil {
		// The pool is chosen again once the body is read.
		s.pool = ""
		return false
	}
	s.g.metrics.localRefusals.Add(s.pool, 1)
	s.rejectBeforeBody(err)
	return true
}

// knownFull selects the pool and returns the refusal of a request for which no keeper is asked, nil if it is served.
func (s *requestState) knownFull(mayAsk func(now time.Time, q *placeQuestion) (ok bool, retryAfter time.Duration)) *verdict.Error {
	if s.choosePool() != nil || s.g.registry.HeldOff(s.pool) > 0 || !s.waitsAtKeepers() {
		return nil
	}
	q := s.question()
	ok, retryAfter := mayAsk(time.Now(), &q)
	if ok {
		return nil
	}
	return unavailable(verdict.ReasonOverCapacity, "the pool is known to be full, no keeper was asked", retryAfter)
}

// rejectBeforeBody responds to a request whose body was not read, and then drops the body, so that the connection can be used
// again.
func (s *requestState) rejectBeforeBody(err *verdict.Error) {
	controller := http.NewResponseController(s.writer)
	// Otherwise net/http reads the body before it sends the response.
	if s.request.ContentLength == 0 || controller.EnableFullDuplex() != nil {
		s.rejectUnread(err)
		return
	}
	s.reject(err)
	if controller.Flush() != nil || !requestbody.Discard(s.writer, s.request) {
		// The rest of the body would be taken for the next request: with full duplex net/http keeps the connection. The
		// response has been sent.
		panic(http.ErrAbortHandler)
	}
}

// representativeWait is the part of the time that requests like it may wait from which on a refused request stands for all of them.
// The rest is what a request has spent before it asks: with none, no refusal would count for the next request.
const representativeWait = 0.75

// recordFull records that a request got no place: a keeper said after what time its caller is to come back, or none answered
// while the pool is full by the totals of the fleet. waited is how long it could have waited.
func (s *requestState) recordFull(retryAfter, waited time.Duration) {
	if s.onlyFree || waited <= 0 {
		// It could not wait, which says nothing about the queue.
		return
	}
	q := s.question()
	if float64(waited) < representativeWait*float64(q.wait) {
		q.wait = waited
	}
	s.g.asks.refused(time.Now(), &q, max(retryAfter, fullRetryAfter))
}

// logRefusing logs the pools of which requests have begun or ceased to be refused without asking a keeper.
func (g *Gateway) logRefusing() {
	refusing := g.asks.refusing(time.Now(), logRefusingWindow)
	for name := range refusing {
		if !g.refusingPools[name] {
			g.log.Info("pool refused locally", "pool", name, "refused", true)
		}
	}
	for name := range g.refusingPools {
		if !refusing[name] {
			g.log.Info("pool refused locally", "pool", name, "refused", false)
		}
	}
	g.refusingPools = refusing
}
