package gateway

import (
	"context"
	"errors"
	"time"

	"jacinthfork.example/jacinthfork/admission"
	"jacinthfork.example/jacinthfork/gateway/pool"
	"jacinthfork.example/jacinthfork/verdict"
)

const (
	// fullShare is the part of its limit at which a paced pool counts as full: between the end of one request and the arrival
	// of the next a place counts as free.
	fullShare = 0.9
	// waitedAsks is the number of engines at which a request asks to wait, if its router has not just found the pool full. The
	// first may have the longest queue of the pool, if its prompt is much in demand.
	waitedAsks = 2
	// offerPlaceWait is how long an offer to another engine waits for a place. An instance has been silent for its request,
	// which may go on there at any moment.
	offerPlaceWait = 100 * time.Millisecond
	// maxPlaceWait bounds the time in the queue of an engine, whatever time the objective of a route leaves.
	maxPlaceWait = 10 * time.Second
)

// placeKind says how the places at an instance are limited and ordered.
type placeKind struct {
	capacity int
	// wait bounds the time in the queue.
	wait time.Duration
	// byUrgency is set for engines.
	byUrgency bool
	// untold is the number of requests that other routers may have in flight there without having told of them, and untoldFor how
	// long they count, if they do not tell.
	untold    int
	untoldFor time.Duration
}

// contended reports whether the request waits for a place at the keeper of an engine: by the load of its pool that this router
// knows, or because a keeper that knows of more has just refused a request for want of a place.
func (s *requestState) contended() bool {
	p := s.table.Pools[s.pool]
	return p != nil && p.Engine != nil && (s.g.registry.Contended(s.pool) || s.g.places.saturated(s.pool))
}

// placeSearch decides on the engines that a request asks for a place. It does no I/O.
//
// It answers two load patterns. In a pool with room, some engines are full, because they are slow or hold a document that is
// much in demand: the request asks others, and no other request is kept from asking. In a full pool, questions for free places
// only keep the keepers busy: the request soon waits. If this router has just found the pool full, each question costs it and the
// keepers processor time that answers need: the request waits at the engine that holds its prompt, and asks no other one if that
// refuses it.
type placeSearch struct {
	// saturated is set if requests of this router have just found the pool full, poolFull if there is no room by the totals that
	// the routers exchange.
	saturated, poolFull bool
	// asked are the engines that had no free place, waited those whose queue refused the request. other are those that refused
	// to let it wait for another reason, or whose keepers did not answer.
	asked, waited, other int
	// retryAfter is the shortest of the refusals.
	retryAfter time.Duration
}

// waits reports whether the request waits at the next engine if it is full. The load bound then no longer refuses it.
func (p *placeSearch) waits(denied bool) bool {
	if p.poolFull && (p.saturated || p.asked >= unwaitedAsks) {
		return true
	}
	return denied || p.asked >= maxReservations
}

// refused records the refusal of an engine, at which the request waited or not, and reports whether to give up.
func (p *placeSearch) refused(a *pool.Answer, waited, timeLeft bool) (giveUp bool) {
	if a.RetryAfter > 0 && (p.retryAfter == 0 || a.RetryAfter < p.retryAfter) {
		p.retryAfter = a.RetryAfter
	}
	switch {
	case !waited:
		p.asked++
		return false
	case a.RetryAfter > 0:
		p.waited++
	default:
		p.other++
	}
	asks := waitedAsks
	if p.saturated && p.poolFull {
		asks = 1
	}
	return p.waited >= asks || p.other >= maxReservations || !timeLeft
}

// pacedWaitEnd returns until when the request may wait for a place: a part of its own route's objective after its arrival, or
// after the failure of an earlier attempt.
func (s *requestState) pacedWaitEnd() time.Time {
	objective := time.Duration(0)
	if s.route != nil {
		objective = s.route.LatencyObjective
	}
	switch {
	case s.offering:
		return time.Now().Add(offerPlaceWait)
	case len(s.triedInstances) > 0:
		return time.Now().Add(queueWait(objective))
	default:
		return s.start.Add(queueWait(objective))
	}
}

// acquirePacedPlace chooses an engine of a contended pool in the order of the prompt and takes a place there: a free one at the
// first engines, and then one for which the request waits in the order of urgency. The error says that the pool is full.
func (s *requestState) acquirePacedPlace(ctx context.Context) (*pool.Lease, *reservation, error) {
	waitUntil := s.pacedWaitEnd()
	question := s.question()
	search := placeSearch{saturated: s.g.places.saturated(s.pool) || s.g.asks.full(time.Now(), &question), poolFull: s.serviceIsFull()}
	for {
		q := s.poolRequest()
		q.Tentative = true
		lease := s.g.registry.Acquire(q)
		if lease == nil {
			return nil, nil, nil
		}
		waits, wait := search.waits(lease.Denied), time.Duration(0)
		if s.onlyFree && (waits || search.poolFull || lease.Forced || lease.Denied) {
			lease.Release(pool.Abandoned)
			return nil, nil, nil
		}
		if waits {
			wait = max(0, time.Until(waitUntil))
		}
		place, refusal, err := s.waitForPlace(ctx, lease, wait, waits)
		switch {
		case errors.Is(err, errUnusable), errors.Is(err, errKeeperChanged) && time.Now().Before(waitUntil):
			// The next lease is for another instance, or names the new keeper.
			continue
		case errors.Is(err, errKeeperChanged):
			return nil, nil, s.pacedRefusal(&search)
		case err != nil:
			return nil, nil, err
		case refusal == nil:
			lease.RecordPrompt()
			s.g.asks.granted(&question)
			if len(s.triedInstances) == 0 {
				s.admissionWait = time.Since(s.start)
			}
			return lease, place, nil
		case refusal.Ejected > 0:
			// The next lease is for another instance, or forced.
			continue
		}
		if search.refused(refusal, waits, time.Now().Before(waitUntil)) {
			// An offer waits for a shorter time than the requests that it would limit.
			if !s.offering && (search.waited > 0 || search.poolFull) {
				s.recordFull(search.retryAfter, wait)
			}
			return nil, nil, s.pacedRefusal(&search)
		}
		// Without an answer the keepers of a full pool are as busy as if they had refused.
		if search.poolFull && (search.asked == unwaitedAsks || search.other > 0) {
			s.g.places.saturate(s.pool)
		}
	}
}

// pacedRefusal returns the error of a request that no engine serves in time.
func (s *requestState) pacedRefusal(search *placeSearch) *verdict.Error {
	if len(s.triedInstances) == 0 {
		s.admissionWait = time.Since(s.start)
	}
	return unavailable(verdict.ReasonOverCapacity, "no place becomes free in time", max(search.retryAfter, fullRetryAfter))
}

// refreshPlaces sets the capacity of the places at an instance that this router keeps to its limit now.
func (g *Gateway) refreshPlaces(instance pool.Key) {
	if g.places.has(instance) {
		g.placesAt(instance)
	}
}

// maintainPlaces keeps the places of all instances true: limits that have changed, requests that were sent before the pool
// was known to be contended, and requests that have ended without a message.
func (g *Gateway) maintainPlaces() {
	g.places.sweep(g.holds, g.keeps, g.placesApply)
	for _, instance := range g.places.kept() {
		controller, ok := g.placesAt(instance)
		if _, paced := g.registry.PlaceLimit(instance); ok && paced {
			g.places.reconcile(controller, func() []placeHolder { return g.running(instance) })
		}
	}
}

// placesApply reports whether all requests to an instance take places, by the load of its pool that this router knows.
func (g *Gateway) placesApply(instance pool.Key) bool {
	i, ok := g.registry.Kept(instance)
	t := g.table.Load()
	if !ok || t == nil {
		return ok
	}
	p := t.Pools[i.Pool]
	return p == nil || p.Engine == nil || g.registry.Contended(i.Pool)
}

// placesFor returns the places at an instance that this router keeps for a request that waits for one, or not. The routers may
// disagree about contention, so a request that waits gets its place in turn, and while one waits no other passes it.
func (g *Gateway) placesFor(instance pool.Key, waits bool) (*admission.Controller, bool) {
	if !waits && !g.placesApply(instance) && !g.places.awaited(instance) {
		return nil, false
	}
	return g.placesAt(instance)
}

// logContended logs the pools whose engines have begun or ceased to be limited to what they serve in time.
func (g *Gateway) logContended() {
	t := g.table.Load()
	if t == nil {
		return
	}
	for name, p := range t.Pools {
		contended := p.Engine != nil && g.registry.Contended(name)
		if contended == g.contendedPools[name] {
			continue
		}
		if g.contendedPools == nil {
			g.contendedPools = make(map[string]bool)
		}
		g.contendedPools[name] = contended
		if contended {
			g.metrics.contentions.Add(name, 1)
		}
		s, _ := g.registry.PaceSummary(name)
		g.log.Info("pool contended", "pool", name, "contended", contended, "in_flight", s.InFlight, "serves", s.Serves)
	}
}
