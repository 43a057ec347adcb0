package gateway

import (
	"context"
	"sync"
	"time"

	"jacinthfork.example/jacinthfork/gateway/peer/peerpb"
	"jacinthfork.example/jacinthfork/gateway/pool"
)

const (
	// maxReservations bounds the instances that a request asks for before it takes one in any case.
	maxReservations = 4
	// reservationMargin is added to a request's time limit, and defaultReservationTTL is the time to live of a
	// reservation for a request without one. A keeper that is not told of the end forgets the reservation then.
	reservationMargin     = time.Second
	defaultReservationTTL = 2 * time.Minute
	// maxUntoldEnds bounds the ends that keepers could not be told of.
	maxUntoldEnds = 4096
	// undeliveredTime is how long a keeper is told again of an end that it may not have received. Its link opens again within
	// seconds, or it is lost.
	undeliveredTime = 10 * time.Second
)

// keeperLink is how a router reaches keepers and directories. Package peer implements it.
type keeperLink interface {
	// NextSequence returns the sequence number of a new reservation or question.
	NextSequence() uint64
	// Reserve and Locate ask another router. ok is false if it did not answer in time.
	Reserve(ctx context.Context, node string, r *peerpb.Reserve) (answer *peerpb.Reserved, ok bool)
	Locate(ctx context.Context, node string, l *peerpb.Locate) (answer *peerpb.Located, ok bool)
	// Tell sends another router a message that needs no answer. It returns false, and starts to connect, if there is no link.
	Tell(node string, m *peerpb.Message) (sent bool)
}

// reservations are the places that this router's requests have at instances. It counts those at instances that it keeps
// itself, and has them at hand for the next keeper.
type reservations struct {
	registry *pool.Registry
	fleet    keeperLink
	places   *places
	mu       sync.Mutex
	open     map[uint64]*reservation
	// untoldEnds are the ends that keepers could not be told of, for want of a link.
	untoldEnds map[placeHolder]untoldEnd
}

// untoldEnd is the end of a reservation that its keeper, the router in the key, counts until a time.
type untoldEnd struct {
	outcome  peerpb.Outcome
	until    time.Time
	instance pool.Key
}

// reservation is the place of one request at one instance.
type reservation struct {
	sequence uint64
	instance pool.Key
	registry *pool.Registry
	// id is that of the instance.
	id string
	// keeper changes with the fleet. Its name is "" if it is this router. It is guarded by the lock of reservations.
	keeper pool.Router
	// taken is set once the request has its place, and untold while the keeper does not know of it, for want of a link or
	// because it has given the place back. They have the same lock.
	taken, untold bool
	until         time.Time
	// moved is set once the keeper has changed.
	moved bool
}

func newReservations(registry *pool.Registry, fleet keeperLink, places *places) *reservations {
	return &reservations{registry: registry, fleet: fleet, places: places, open: make(map[uint64]*reservation), untoldEnds: make(map[placeHolder]untoldEnd)}
}

// acquire chooses an instance for the request, and another one from which it copies what it lacks of the prompt. The
// lease is nil when no instance is eligible. The error, a *verdict.Error with verdict.NotRun, says that the instances are
// full.
func (s *requestState) acquire(ctx context.Context) (*pool.Lease, *reservation, error) {
	for {
		lease, place, err := s.acquireOnce(ctx)
		if lease == nil || lease.Usable() {
			return lease, place, err
		}
		// The instance takes no more requests since this one began to wait for its place.
		lease.Release(pool.Abandoned)
		s.g.reservations.end(place, pool.Refused)
	}
}

func (s *requestState) acquireOnce(ctx context.Context) (*pool.Lease, *reservation, error) {
	if s.plain() {
		return s.acquirePlace(ctx)
	}
	var lease *pool.Lease
	var place *reservation
	var err error
	contended := s.contended()
	if !contended {
		s.limited = false
		lease, place = s.reserve(ctx)
		contended = lease == nil && s.limited
	}
	if contended {
		lease, place, err = s.acquirePacedPlace(ctx)
	}
	if lease != nil {
		s.findSource(ctx, lease)
	}
	return lease, place, err
}

// findSource asks the router whose directory has the prompt's document where it can be copied from, if the instance lacks
// it. Without an answer the lease keeps the source that this router knows or guesses.
func (s *requestState) findSource(ctx context.Context, lease *pool.Lease) {
	document, ok := lease.MissingDocument()
	if !ok {
		return
	}
	instance := pool.KeyOf(lease.Instance.ID)
	router := s.g.registry.DirectoryOf(document)
	if router == "" {
		lease.CopyFrom(s.g.registry.Locate(document, instance))
		return
	}
	question := &peerpb.Locate{Sequence: s.g.keepers.NextSequence(), Document: document, Instance: uint32(instance)}
	answer, ok := s.g.keepers.Locate(ctx, router, question)
	if !ok {
		s.g.metrics.documents.Add("unanswered", 1)
		return
	}
	holders := make([]pool.Key, 0, len(answer.GetInstances()))
	for _, key := range answer.GetInstances() {
		holders = append(holders, pool.Key(key))
	}
	s.g.metrics.documents.Add("asked", 1)
	lease.CopyFrom(holders)
}

// reserve chooses an instance and asks its keeper for a place, until one is granted. A keeper that does not answer in
// time leaves the decision to this router. It returns nil when no instance is eligible, and when a keeper refuses for want of
// places, or requests of other routers wait for one at an engine that this router keeps: the pool is contended by what others
// know, and neither this request nor the next ones must be forced onto a full engine.
func (s *requestState) reserve(ctx context.Context) (*pool.Lease, *reservation) {
	for n := 1; ; n++ {
		q := s.poolRequest()
		q.ExcludeCold = n > maxReservations
		lease := s.g.registry.Acquire(q)
		if lease == nil {
			return nil, nil
		}
		if s.onlyFree && (n > maxReservations || lease.Forced || lease.Denied || lease.Full()) {
			lease.Release(pool.Abandoned)
			return nil, nil
		}
		if s.wouldPass(lease.Instance.ID, lease.Keeper, lease.Forced) {
			lease.Confirm(pool.Answer{})
			s.limit()
			return nil, nil
		}
		r := s.g.reservations.begin(lease, s.reservationTTL())
		if lease.Keeper == "" {
			s.g.reservations.force(r)
			return lease, r
		}
		if n > maxReservations || ((lease.Forced || lease.Denied) && !lease.Cold) {
			s.g.reservations.force(r)
			s.g.metrics.reservations.Add("forced", 1)
			return lease, r
		}
		answer, ok := s.g.reservations.ask(ctx, r, s.call.Prompt)
		if !ok && (lease.Cold || s.onlyFree) {
			lease.Withdraw()
			s.g.reservations.end(r, pool.Refused)
			s.g.metrics.reservations.Add("withdrawn", 1)
			continue
		}
		if !ok && !lease.WithinShare() {
			lease.Withdraw()
			s.g.reservations.end(r, pool.Refused)
			s.g.metrics.reservations.Add("over share", 1)
			continue
		}
		if !ok {
			s.g.reservations.force(r)
			s.g.metrics.reservations.Add("unanswered", 1)
			return lease, r
		}
		if lease.Confirm(answer) {
			s.g.reservations.granted(r)
			s.g.metrics.reservations.Add("granted", 1)
			return lease, r
		}
		if answer.Granted {
			s.g.reservations.end(r, pool.Refused)
			continue
		}
		s.g.reservations.refused(r)
		s.g.metrics.reservations.Add("refused", 1)
		if answer.RetryAfter > 0 {
			s.limit()
			return nil, nil
		}
	}
}

// limit makes this request, and the next ones of the router, wait for places in turn.
func (s *requestState) limit() {
	s.g.places.saturate(s.pool)
	s.limited = true
}

// wouldPass reports whether the request, sent to an engine without a place, would pass others that wait for one there at this
// router.
func (s *requestState) wouldPass(instance, keeper string, forced bool) bool {
	return keeper == "" && !forced && s.g.places.awaited(pool.KeyOf(instance))
}

// reservationTTL returns how long the request can take at most.
func (s *requestState) reservationTTL() time.Duration {
	if left := s.timeLeft(); left > 0 {
		return left + reservationMargin
	}
	return defaultReservationTTL
}

// begin registers a reservation.
func (r *reservations) begin(lease *pool.Lease, ttl time.Duration) *reservation {
	out := r.prepare(lease, ttl)
	r.register(out)
	return out
}

// prepare returns a reservation that is not registered yet.
func (r *reservations) prepare(lease *pool.Lease, ttl time.Duration) *reservation {
	return &reservation{registry: r.registry, sequence: r.fleet.NextSequence(), id: lease.Instance.ID, instance: pool.KeyOf(lease.Instance.ID), until: time.Now().Add(ttl)}
}

func (r *reservations) register(res *reservation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A change of the keeper after this finds the reservation in open.
	res.keeper = r.registry.KeeperOf(res.id)
	r.open[res.sequence] = res
}

// keeperOf returns the name of the router that keeps the reservation's instance.
func (r *reservations) keeperOf(res *reservation) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return res.keeper.Name
}

// refused forgets a reservation that its keeper has refused. A router that has become the keeper meanwhile counts it, and
// is told of the end.
func (r *reservations) refused(res *reservation) {
	r.mu.Lock()
	moved := res.moved
	delete(r.open, res.sequence)
	r.mu.Unlock()
	if moved {
		r.end(res, pool.Refused)
	}
}

// message asks for the place, or says that it is taken, and tells the keeper what was observed of the instance.
func (res *reservation) message(forced bool) *peerpb.Reserve {
	return &peerpb.Reserve{
		Observed: encodeObservation(0, res.registry.TakeObservation(res.instance)),
		Sequence: res.sequence, Instance: uint32(res.instance), Forced: forced,
		TtlMs: uint32(max(0, time.Until(res.until).Milliseconds())),
	}
}

// ask asks the keeper for the place. ok is false if it did not answer.
func (r *reservations) ask(ctx context.Context, res *reservation, parts []pool.PromptPart) (answer pool.Answer, ok bool) {
	m, taken := res.message(false), time.Now()
	addParts(m, parts)
	reserved, ok := r.fleet.Reserve(ctx, r.keeperOf(res), m)
	if !ok {
		r.returnObservation(ctx, res.instance, m.GetObserved(), taken)
		return pool.Answer{}, false
	}
	return decodeAnswer(reserved), true
}

// returnObservation keeps an observation that a keeper was not told, or has not answered, for the next message to it. If the
// question ended with ctx, the keeper may well have been told.
func (r *reservations) returnObservation(ctx context.Context, instance pool.Key, o *peerpb.Observation, taken time.Time) {
	if o != nil && ctx.Err() == nil {
		r.registry.ReturnObservation(instance, decodeObservation(o), taken)
	}
}

// addParts adds the parts of a prompt to a reservation.
func addParts(m *peerpb.Reserve, parts []pool.PromptPart) {
	for _, p := range parts {
		m.Ids = append(m.Ids, p.ID)
		m.Tokens = append(m.Tokens, uint32(p.Tokens))
	}
}

// force tells the keeper that the place is taken, now or once there is a link to it.
func (r *reservations) force(res *reservation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// Otherwise its keeper was told of the end.
	if r.open[res.sequence] == res {
		res.taken = true
		r.tell(res)
	}
}

// granted records that the keeper has granted the place.
func (r *reservations) granted(res *reservation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	res.taken = true
	if res.untold && r.open[res.sequence] == res {
		r.tell(res)
	}
}

// tell tells the keeper of a place that is taken, if there is a link. The caller holds mu: a link queues what it is told,
// and a request that ends now is told to its keeper after that.
func (r *reservations) tell(res *reservation) {
	keeper := res.keeper.Name
	delete(r.untoldEnds, placeHolder{keeper, res.sequence})
	if res.untold = false; keeper == "" {
		return
	}
	m, taken := res.message(true), time.Now()
	if res.untold = !r.fleet.Tell(keeper, &peerpb.Message{Reserve: m}); res.untold {
		r.returnObservation(context.Background(), res.instance, m.GetObserved(), taken)
	}
}

// own returns the sequence numbers of this router's requests that have their place at an instance that it keeps.
func (r *reservations) own(instance pool.Key) []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []uint64
	for _, res := range r.open {
		if res.instance == instance && res.taken && res.keeper.Name == "" {
			out = append(out, res.sequence)
		}
	}
	return out
}

// forgotten records that the keepers have given back all places of this router, which they took for lost.
func (r *reservations) forgotten() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, res := range r.open {
		res.untold = res.keeper.Name != ""
	}
}

// tellKeepers tells the keepers of the places that they could not be told of before, or have given back, and of the ends of
// others.
func (r *reservations) tellKeepers() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, res := range r.open {
		if res.untold && res.taken {
			r.tell(res)
		}
	}
	for h, e := range r.untoldEnds {
		if time.Now().After(e.until) {
			delete(r.untoldEnds, h)
			continue
		}
		r.tellEnd(h, e)
	}
}

// end gives the place back and tells the keeper the outcome of the request, pool.Refused if it was not run. A nil reservation is
// allowed.
func (r *reservations) end(res *reservation, o pool.Outcome) {
	if res == nil {
		return
	}
	r.mu.Lock()
	delete(r.open, res.sequence)
	r.tellEnd(placeHolder{res.keeper.Name, res.sequence}, untoldEnd{outcome: encodeOutcome(o), until: res.until, instance: res.instance})
	r.mu.Unlock()
	// It may have one at an instance that this router keeps, or has kept.
	r.places.release(placeHolder{sequence: res.sequence}, mayHaveRun(encodeOutcome(o)))
}

// tellEnd tells a keeper of the end of a reservation, now or once there is a link to it. The caller holds mu.
func (r *reservations) tellEnd(h placeHolder, e untoldEnd) {
	if h.router == "" {
		delete(r.untoldEnds, h)
		return
	}
	observed, taken := encodeObservation(e.instance, r.registry.TakeObservation(e.instance)), time.Now()
	if r.fleet.Tell(h.router, &peerpb.Message{Released: h.sequence, Outcome: e.outcome, Observed: observed}) {
		delete(r.untoldEnds, h)
		return
	}
	r.returnObservation(context.Background(), e.instance, observed, taken)
	if len(r.untoldEnds) < maxUntoldEnds {
		r.untoldEnds[h] = e
	}
}

// undelivered has a keeper told again of what it may not have received.
func (r *reservations) undelivered(node string, m *peerpb.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reserve := m.GetReserve(); reserve != nil {
		if res := r.open[reserve.GetSequence()]; res != nil && res.keeper.Name == node {
			res.untold = true
		}
		return
	}
	if res := r.open[m.GetReleased()]; res != nil && res.keeper.Name == node {
		// The request has returned to its keeper, which it had left.
		return
	}
	if len(r.untoldEnds) < maxUntoldEnds {
		r.untoldEnds[placeHolder{node, m.GetReleased()}] = untoldEnd{outcome: m.GetOutcome(), until: time.Now().Add(undeliveredTime)}
	}
}

// moveToKeepers tells the new keepers of instances, and those that have restarted, of the requests in flight there. The
// keepers' state is rebuilt by this after a router is lost.
func (r *reservations) moveToKeepers() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, res := range r.open {
		keeper := r.registry.KeeperOf(res.id)
		if keeper == res.keeper {
			continue
		}
		if res.keeper.Name != keeper.Name {
			r.tellEnd(placeHolder{res.keeper.Name, res.sequence}, untoldEnd{outcome: peerpb.Outcome_UNKNOWN, until: res.until, instance: res.instance})
		}
		res.keeper, res.moved = keeper, true
		if res.taken {
			r.tell(res)
		} else {
			// The wait for the place ends, unless the former keeper has granted it just before.
			res.untold = keeper.Name != ""
		}
	}
}

// report tells the keeper of an instance at once what was observed of it, or with the next message if there is no link.
func (r *reservations) report(id string) {
	keeper, instance := r.registry.KeeperOf(id).Name, pool.KeyOf(id)
	if keeper == "" {
		return
	}
	observed, taken := encodeObservation(instance, r.registry.TakeObservation(instance)), time.Now()
	if observed != nil && !r.fleet.Tell(keeper, &peerpb.Message{Observed: observed}) {
		r.returnObservation(context.Background(), instance, observed, taken)
	}
}
