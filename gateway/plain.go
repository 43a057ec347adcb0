package gateway

import (
	"context"
	"errors"
	"time"

	"jacinthfork.example/jacinthfork/admission"
	"jacinthfork.example/jacinthfork/gateway/peer/peerpb"
	"jacinthfork.example/jacinthfork/gateway/pool"
	"jacinthfork.example/jacinthfork/verdict"
)

const (
	// unwaitedAsks is the number of instances of a plain service that are asked for a free place before the request
	// waits for one.
	unwaitedAsks = 2
	// saturation is how long requests wait at the first instance, after one has found unwaitedAsks of them full: asking for
	// free places then only keeps the keepers busy.
	saturation = 100 * time.Millisecond
	// maxBodyPart is the part of its time to wait that the body of a request may take to arrive, so that its refusal says that the queue is
	// too long for others. Time for which the router itself was late does count as a wait: when it is short of processor time,
	// requests would otherwise ask keepers in vain (0.73 instead of 0.88 to 0.92 served in time at 4 times the capacity).
	maxBodyPart = 0.5
	// fullRetryAfter is the Retry-After value when the service is full and no keeper has said more.
	fullRetryAfter = 200 * time.Millisecond
)

// errKeeperChanged is the error of a request whose keeper gave up its wait because another router keeps the instance now.
var errKeeperChanged = errors.New("the instance has another keeper")

// errUnusable is the error of a request for which it is pointless to wait any longer at its instance.
var errUnusable = errors.New("the instance takes no more requests, or has another keeper")

// plain reports whether the request's pool is a plain service.
func (s *requestState) plain() bool {
	p := s.table.Pools[s.pool]
	return p != nil && p.Engine == nil
}

// acquirePlace chooses an instance of a plain service and takes a place there: a free one at the first instances, and
// then one for which the request waits as long as its objective allows. Instances that their keepers have ejected do not
// count; when all are ejected, the lease is forced.
func (s *requestState) acquirePlace(ctx context.Context) (*pool.Lease, *reservation, error) {
	waitUntil := s.start.Add(s.g.admission.placeWait(s.pool))
	if len(s.triedInstances) > 0 {
		// The caller gets the failure of the earlier attempt if no place becomes free.
		waitUntil = time.Now().Add(s.g.admission.placeWait(s.pool))
	}
	question := s.question()
	search := plainSearch{saturated: s.g.places.saturated(s.pool) || s.g.asks.full(time.Now(), &question)}
	for {
		lease := s.g.registry.Acquire(s.poolRequest())
		if lease == nil {
			return nil, nil, nil
		}
		if s.onlyFree && (search.waits(false) || lease.Forced || lease.Denied || lease.Full()) {
			lease.Release(pool.Abandoned)
			return nil, nil, nil
		}
		wait := time.Duration(0)
		last := search.waits(lease.Denied)
		if last {
			wait = max(0, time.Until(waitUntil))
		}
		place, refusal, err := s.waitForPlace(ctx, lease, wait, last)
		switch {
		case errors.Is(err, errUnusable):
			// The next lease is for another instance.
		case errors.Is(err, errKeeperChanged) && time.Now().Before(waitUntil):
			// The next lease names the new keeper.
		case errors.Is(err, errKeeperChanged):
			return nil, nil, unavailable(verdict.ReasonOverCapacity, "no place became free in time", fullRetryAfter)
		case err != nil:
			return nil, nil, err
		case refusal == nil:
			s.g.asks.granted(&question)
			if len(s.triedInstances) == 0 {
				s.admissionWait = time.Since(s.start)
			}
			return lease, place, nil
		case refusal.Ejected > 0:
			// The next lease is for another instance, or forced.
		case !last:
			if search.full++; search.full == unwaitedAsks {
				s.g.places.saturate(s.pool)
			}
		default:
			// A cold instance refuses for another reason than a full queue.
			usual := s.g.admission.placeWait(s.pool)
			lateBody := len(s.triedInstances) == 0 && float64(s.bodyTime) > maxBodyPart*float64(usual)
			if !lateBody && (refusal.RetryAfter > 0 || !lease.Cold) {
				s.recordFull(refusal.RetryAfter, usual)
			}
			return nil, nil, unavailable(verdict.ReasonOverCapacity, "no place became free in time", max(refusal.RetryAfter, fullRetryAfter))
		}
	}
}

// plainSearch decides on the instances of a plain service that a request asks for a place. It does no I/O.
type plainSearch struct {
	// saturated is set if requests of this router have just found the service full.
	saturated bool
	// full is the number of instances that had no free place.
	full int
}

// waits reports whether the request waits at the next instance if it is full.
func (p *plainSearch) waits(denied bool) bool { return p.saturated || p.full >= unwaitedAsks || denied }

// waitForPlace is askForPlace with a wait that ends with errUnusable when the instance takes no more requests, has been
// ejected or has another keeper.
func (s *requestState) waitForPlace(ctx context.Context, lease *pool.Lease, wait time.Duration, last bool) (*reservation, *pool.Answer, error) {
	if wait == 0 {
		return s.askForPlace(ctx, lease, wait, last)
	}
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	defer lease.OnUnusable(cancel)()
	if !s.plain() {
		lease.BeginWait()
		defer lease.EndWait()
	}
	place, refusal, err := s.askForPlace(waiting, lease, wait, last)
	if err != nil && waiting.Err() != nil && ctx.Err() == nil {
		s.g.metrics.reservations.Add("wait ended", 1)
		err = errUnusable
	}
	return place, refusal, err
}

// askForPlace asks the keeper of a lease's instance for a place, or this router's own places. A refusal withdraws the
// lease. A keeper that does not answer in time counts as one that refuses, because it may be slow for the requests that
// the service gets; if it is the last one, the request is sent unless the service is full. The error is that of ctx, or
// errKeeperChanged.
func (s *requestState) askForPlace(ctx context.Context, lease *pool.Lease, wait time.Duration, last bool) (*reservation, *pool.Answer, error) {
	if lease.Keeper == "" {
		return s.takeLocalPlace(ctx, lease, wait)
	}
	r := s.g.reservations.begin(lease, s.reservationTTL())
	if lease.Forced {
		s.g.reservations.force(r)
		s.g.metrics.reservations.Add("forced", 1)
		return r, nil, nil
	}
	m, taken := r.message(false), time.Now()
	m.WaitMs = uint32(wait.Milliseconds())
	m.Organisation, m.Priority = organisationHash(s.organisation), uint32(max(0, s.priority))
	if !s.plain() {
		addParts(m, s.call.Prompt)
	}
	asked := s.g.reservations.keeperOf(r)
	reserved, ok := s.g.keepers.Reserve(ctx, asked, m)
	if !ok {
		s.g.reservations.returnObservation(ctx, r.instance, m.GetObserved(), taken)
	}
	if !ok && ctx.Err() != nil {
		lease.Release(pool.Abandoned)
		s.g.reservations.end(r, pool.Refused)
		return nil, nil, s.contextError(ctx, verdict.NotRun)
	}
	if !ok && !s.plain() && s.g.reservations.keeperOf(r) != asked {
		s.g.metrics.reservations.Add("moved", 1)
		lease.Withdraw()
		s.g.reservations.end(r, pool.Refused)
		return nil, nil, errKeeperChanged
	}
	if !ok {
		// The share counts this request.
		lease.EndWait()
	}
	if !ok && (!last || s.onlyFree || s.serviceIsFull() || lease.Cold || !lease.WithinShareInTurn()) {
		s.g.metrics.reservations.Add("withdrawn", 1)
		lease.Withdraw()
		s.g.reservations.end(r, pool.Refused)
		return nil, &pool.Answer{}, nil
	}
	if !ok {
		s.g.reservations.force(r)
		s.g.metrics.reservations.Add("unanswered", 1)
		return r, nil, nil
	}
	answer := decodeAnswer(reserved)
	if !answer.Granted && (answer.Unknown || s.g.reservations.keeperOf(r) != asked) {
		s.g.metrics.reservations.Add("moved", 1)
		lease.Confirm(answer)
		s.g.reservations.end(r, pool.Refused)
		return nil, nil, errKeeperChanged
	}
	if lease.Confirm(answer) {
		s.g.reservations.granted(r)
		s.g.metrics.reservations.Add("granted", 1)
		return r, nil, nil
	}
	if answer.Granted {
		// A cold instance that its keeper does not know yet.
		s.g.reservations.end(r, pool.Refused)
		return nil, &pool.Answer{}, nil
	}
	s.g.reservations.refused(r)
	s.g.metrics.reservations.Add("refused", 1)
	return nil, &answer, nil
}

// serviceIsFull reports whether all gateways together have as many requests in flight as the service has slots, or as the
// engines of a contended pool serve in time but for fullShare, by the sums of the tree.
func (s *requestState) serviceIsFull() bool { return s.isFull(s.g.registry.PoolLimit) }

func (s *requestState) isFull(poolLimit func(pool string) int) bool {
	sum := s.g.registry.Summary(s.pool)
	if !s.plain() {
		sum.Slots = int(fullShare * float64(poolLimit(s.pool)))
	}
	return sum.Own+sum.Peers >= sum.Slots
}

// takeLocalPlace takes a place at an instance that this router keeps.
func (s *requestState) takeLocalPlace(ctx context.Context, lease *pool.Lease, wait time.Duration) (*reservation, *pool.Answer, error) {
	controller, ok := s.g.placesAt(pool.KeyOf(lease.Instance.ID))
	r := s.g.reservations.prepare(lease, s.reservationTTL())
	if !ok || lease.Forced {
		s.g.reservations.register(r)
		s.g.reservations.force(r)
		return r, nil, nil
	}
	req := placeRequestOf(organisationHash(s.organisation), s.priority, wait, s.timeLeft())
	err := s.g.places.wait(s.g.places.enter(ctx, placeHolder{sequence: r.sequence}), controller, req)
	switch {
	case err == nil:
		s.g.reservations.register(r)
		s.g.reservations.force(r)
		return r, nil, nil
	case ctx.Err() != nil:
		lease.Release(pool.Abandoned)
		return nil, nil, s.contextError(ctx, verdict.NotRun)
	}
	refusal := &pool.Answer{RetryAfter: fullAnswer(err)}
	lease.Confirm(*refusal)
	return nil, refusal, nil
}

// fullAnswer returns the RetryAfter of a refusal because all places are taken. It is never 0, which says that the refusal has
// another reason.
func fullAnswer(err error) time.Duration { return max(time.Millisecond, verdict.As(err).RetryAfter) }

// placesAt returns the places at an instance of a plain service, or an engine of a paced pool, that this router keeps.
func (g *Gateway) placesAt(instance pool.Key) (*admission.Controller, bool) {
	i, ok := g.registry.Kept(instance)
	t := g.table.Load()
	if !ok || t == nil {
		return nil, false
	}
	p := t.Pools[i.Pool]
	if p == nil {
		return nil, false
	}
	kind := placeKind{capacity: placeCapacity(i.Slots), wait: g.admission.placeWait(i.Pool)}
	if p.Engine != nil {
		limit, paced := g.registry.PlaceLimit(instance)
		if !paced {
			return nil, false
		}
		kind = placeKind{capacity: max(1, limit), wait: maxPlaceWait, byUrgency: true}
		kind.untold, kind.untoldFor = g.registry.Untold(instance)
	}
	return g.places.at(instance, kind, func() []placeHolder { return g.running(instance) }), true
}

// running returns the requests of all routers that this one counts at an instance that it keeps. It is called with the
// lock of places.
func (g *Gateway) running(instance pool.Key) []placeHolder {
	var out []placeHolder
	for _, h := range g.registry.Held(instance) {
		out = append(out, placeHolder{h.Router, h.Sequence})
	}
	for _, sequence := range g.reservations.own(instance) {
		out = append(out, placeHolder{sequence: sequence})
	}
	return out
}

// reservePlace decides on a reservation of another router at an instance that has places, whose wait entry is. It
// returns once there is a place, or the time to wait for one is over.
func (g *Gateway) reservePlace(controller *admission.Controller, q *pool.Reservation, r *peerpb.Reserve, entry *placeRequest) pool.Answer {
	if g.registry.Closed(q.Instance) {
		g.places.release(entry.holder, false)
		return g.registry.Reserve(q)
	}
	wait := time.Duration(r.GetWaitMs()) * time.Millisecond
	if q.Placed = wait > 0; !q.Placed && len(q.Parts) > 0 && g.registry.AtBound(q.Instance) {
		g.places.release(entry.holder, false)
		return g.registry.Refusal(q)
	}
	defer g.registry.OnClosed(q.Instance, entry.cancel)()
	err := g.places.wait(entry, controller, placeRequestOf(r.GetOrganisation(), int(r.GetPriority()), wait, q.TTL))
	if err != nil {
		a := g.registry.Refusal(q)
		a.RetryAfter = fullAnswer(err)
		return a
	}
	return g.places.count(entry, func() pool.Answer { return g.registry.Reserve(q) })
}

// holds reports whether a request that has a place is still in flight.
func (g *Gateway) holds(router string, sequence uint64) bool {
	return router == "" || g.registry.Holds(router, sequence)
}

// keeps reports whether this router keeps an instance.
func (g *Gateway) keeps(instance pool.Key) bool {
	_, ok := g.registry.Kept(instance)
	return ok
}
