package gateway

import (
	"fmt"
	"net/http"
	"time"

	"jacinthfork.example/jacinthfork/admission"
	"jacinthfork.example/jacinthfork/gateway/poison"
	"jacinthfork.example/jacinthfork/gateway/pool"
	"jacinthfork.example/jacinthfork/verdict"
)

const (
	// maxForetold bounds the instances that a decision goes through. A request gives up or is forced sooner.
	maxForetold = 16
	// nextInstances is the number of instances named after the one that the request would go to.
	nextInstances = 2
)

// Outcome is what would become of a request.
type Outcome string

// The outcomes of a request.
const (
	// OutcomeRun means that the request would be sent at once.
	OutcomeRun Outcome = "run"
	// OutcomeWait means that it would wait for a place.
	OutcomeWait Outcome = "wait"
	// OutcomeRefuse means that its caller would be refused.
	OutcomeRefuse Outcome = "refuse"
)

// Where says where a request would go now, and why. It is decided by the code that serves requests, on copies of the state
// that this code changes: nothing is sent, taken or counted. Sizes of headers and bodies and the memory for them do not count.
func (g *Gateway) Where(q *WhereQuestion) (*WhereAnswer, *WhereError) {
	s := &requestState{g: g, start: time.Now(), table: g.table.Load()}
	if s.table == nil {
		return nil, whereError(http.StatusServiceUnavailable, notReadyError())
	}
	if err := s.askedFor(q); err != nil {
		return nil, err
	}
	w := &whereDecision{state: s, asked: make(map[string][]admission.Request), answer: &WhereAnswer{
		Node: g.settings.Node, Route: s.route.Name, Organisation: s.organisation, Priority: s.priority, Outcome: OutcomeRun,
	}}
	w.decide()
	w.answer.Pool = s.pool
	w.describe()
	return w.answer, nil
}

// askedFor sets the request that a question is about.
func (s *requestState) askedFor(q *WhereQuestion) *WhereError {
	call, err := q.call()
	if err != nil {
		return badQuestion(err)
	}
	if s.route = s.table.Match(q.Host, q.Path); q.Route != "" {
		s.route = s.table.Named(q.Route)
	}
	if s.route == nil {
		return &WhereError{Status: http.StatusNotFound, Reason: "unknown-route", Detail: "the configuration has no such route"}
	}
	s.setCall(call)
	owner, ok := s.table.Authorise(s.route, q.Key)
	if q.Organisation != "" {
		if owner, ok = s.table.Organisation(q.Organisation), true; owner == nil {
			return badQuestion(fmt.Errorf("no organisation is named %q", q.Organisation))
		}
	}
	if !ok {
		return whereError(http.StatusUnauthorized, verdict.New(verdict.NotRun, verdict.ReasonUnauthorised, "the route needs a known key or the name of an organisation"))
	}
	s.setOwner(owner)
	if q.Priority != nil {
		s.priority = *q.Priority
	}
	s.fingerprint = uint64(q.Fingerprint)
	return nil
}

// whereDecision is the answer to one question while it is being made.
type whereDecision struct {
	state  *requestState
	answer *WhereAnswer
	// asked are the places that the request would have asked for before, by instance.
	asked map[string][]admission.Request
	// chosen is the instance that the request would go to or wait at, nil if there is none.
	chosen *pool.Considered
}

// decide goes through the steps of serveCaller and run.
func (w *whereDecision) decide() {
	s := w.state
	if s.g.refusing.Load() {
		w.refuse(stoppingError())
		return
	}
	w.answer.OverloadRefused = s.g.overload.State().Share
	if err := s.knownFull(s.g.asks.wouldAsk); err != nil {
		w.refuse(err)
		return
	}
	s.pool = ""
	if err := s.prepare(w.checkSuspects); err != nil {
		w.refuse(err)
		return
	}
	if out, ok := s.g.admission.outlook(s.table.Pools[s.pool], s.organisation, s.priority); ok && !out.Runs {
		if out.Refusal != nil {
			w.refuse(s.exhausted(out.Refusal))
			return
		}
		w.wait(out)
	}
	switch rehearsal := s.g.registry.Rehearse(s.pool); {
	case s.plain():
		w.foretellPlain(rehearsal)
	case s.contended():
		w.foretellPaced(rehearsal)
	default:
		w.foretellEngine(rehearsal)
	}
}

// checkSuspects is checkSuspects of the request, without beginning a trial.
func (w *whereDecision) checkSuspects() *verdict.Error {
	s := w.state
	suspicion, blocked := s.g.poison.Blocked(s.content())
	if !blocked {
		return nil
	}
	w.answer.Suspect = "request"
	if !suspicion.Request {
		// The ID of the part is not told: it is derived from the prompt.
		for n, id := range s.parts {
			if id == suspicion.ID {
				w.answer.Suspect = fmt.Sprintf("part %d", n+1)
			}
		}
	}
	rank, routers := s.g.registry.RouterRank()
	if w.answer.Trial = s.g.poison.WouldTry(s.content(), poison.Turn{Rank: rank, Routers: routers}); w.answer.Trial {
		return nil
	}
	err := *blockedError(suspicion)
	err.Detail = "it crashes engines: " + w.answer.Suspect
	return &err
}

// foretellEngine is reserve: the keepers decide only to which instance the request goes.
func (w *whereDecision) foretellEngine(rehearsal *pool.Rehearsal) {
	c, ok := rehearsal.Choose(w.state.poolRequest())
	if !ok && w.answer.Outcome == OutcomeWait {
		// The instance is chosen after the wait.
		return
	}
	if !ok {
		w.refuse(w.state.noInstance())
		return
	}
	if w.state.wouldPass(c.Instance.ID, c.Keeper, c.Forced) {
		w.passedBy(rehearsal, c)
		w.foretellPaced(rehearsal)
		return
	}
	w.choose(c, c.Keeper != "" && (c.Cold || !(c.Forced || c.Denied)))
}

// foretellPlain is acquirePlace.
func (w *whereDecision) foretellPlain(rehearsal *pool.Rehearsal) {
	s := w.state
	question := s.question()
	search := plainSearch{saturated: s.g.places.saturated(s.pool) || s.g.asks.full(time.Now(), &question)}
	for range maxForetold {
		c, ok := rehearsal.Choose(s.poolRequest())
		if !ok {
			w.refuse(s.noInstance())
			return
		}
		wait, last := time.Duration(0), search.waits(c.Denied)
		if last {
			wait = s.g.admission.placeWait(s.pool)
		}
		out := w.placeAt(c, wait, placeCapacity(c.Instance.Slots))
		switch {
		case out.Refusal == nil:
			w.take(c, out)
			return
		case last:
			w.choose(c, false)
			w.refuse(s.exhausted(unavailable(verdict.ReasonOverCapacity, "no place would become free in time", max(fullAnswer(out.Refusal), fullRetryAfter))))
			return
		}
		search.full++
		w.passedBy(rehearsal, c)
	}
	w.refuse(s.exhausted(unavailable(verdict.ReasonOverCapacity, "no place would become free in time", fullRetryAfter)))
}

// foretellPaced is acquirePacedPlace.
func (w *whereDecision) foretellPaced(rehearsal *pool.Rehearsal) {
	s := w.state
	question := s.question()
	search := placeSearch{saturated: s.g.places.saturated(s.pool) || s.g.asks.full(time.Now(), &question), poolFull: s.isFull(rehearsal.PoolLimit)}
	for range maxForetold {
		c, ok := rehearsal.Choose(s.poolRequest())
		if !ok {
			w.refuse(s.noInstance())
			return
		}
		wait, waits := time.Duration(0), search.waits(c.Denied)
		if waits {
			wait = max(0, time.Until(s.pacedWaitEnd()))
		}
		out := w.placeAt(c, wait, c.Limit)
		if out.Refusal == nil {
			w.take(c, out)
			return
		}
		if search.refused(&pool.Answer{RetryAfter: fullAnswer(out.Refusal)}, waits, true) {
			w.choose(c, false)
			break
		}
		w.passedBy(rehearsal, c)
	}
	w.refuse(s.exhausted(s.pacedRefusal(&search)))
}

// placeAt returns what the keeper of an instance would do with the request. If another gateway is the keeper it is not asked,
// and the answer follows from the load and the capacity that are known here.
func (w *whereDecision) placeAt(c pool.Considered, wait time.Duration, capacity int) admission.Outlook {
	s := w.state
	controller := s.g.places.known(pool.KeyOf(c.Instance.ID))
	switch {
	case c.Forced:
		return admission.Outlook{Runs: true}
	case c.Keeper == "" && controller != nil:
		req, earlier := placeRequestOf(organisationHash(s.organisation), s.priority, wait, s.timeLeft()), w.asked[c.Instance.ID]
		w.asked[c.Instance.ID] = append(earlier, req)
		return controller.Outlook(req, earlier...)
	case c.Load < float64(max(1, capacity)):
		return admission.Outlook{Runs: true}
	case wait <= 0:
		return admission.Outlook{Refusal: unavailable(verdict.ReasonOverCapacity, "no place is known to be free", 0)}
	}
	return admission.Outlook{Longest: wait}
}

// take makes an instance the one that the request goes to, or waits at.
func (w *whereDecision) take(c pool.Considered, out admission.Outlook) {
	if !out.Runs {
		w.wait(out)
	}
	w.choose(c, c.Keeper != "" && !c.Forced)
}

func (w *whereDecision) choose(c pool.Considered, provisional bool) {
	w.chosen, w.answer.Provisional = &c, w.answer.Provisional || provisional
	w.drawn(c)
}

// drawn notes whether an instance was chosen at random.
func (w *whereDecision) drawn(c pool.Considered) {
	w.answer.Random = w.answer.Random || len(c.Ties) > 0
}

func (w *whereDecision) wait(out admission.Outlook) {
	w.answer.Outcome = OutcomeWait
	w.answer.WaitMillis, w.answer.LongestWaitMillis = out.Wait.Milliseconds(), out.Longest.Milliseconds()
}

// passedBy records an instance that is known to be full, so that the request asks the next one.
func (w *whereDecision) passedBy(rehearsal *pool.Rehearsal, c pool.Considered) {
	w.answer.Full = append(w.answer.Full, w.instance(c))
	w.answer.Provisional = w.answer.Provisional || c.Keeper != ""
	w.drawn(c)
	rehearsal.Refuse(c)
}

// refuse makes the refusal of the request the answer.
func (w *whereDecision) refuse(err error) {
	failure := verdict.As(err)
	w.answer.Outcome, w.answer.WaitMillis, w.answer.LongestWaitMillis = OutcomeRefuse, 0, 0
	w.answer.Refusal = &WhereRefusal{Status: statusCode(failure), Reason: string(failure.Reason), Detail: failure.Detail,
		RetryAfterMillis: failure.RetryAfter.Milliseconds()}
}

// describe adds the instances and the age of what was known.
func (w *whereDecision) describe() {
	s, a := w.state, w.answer
	a.PoolBy = s.poolBy()
	a.Data = s.g.whereData()
	a.Data.ConfigurationVersion = s.table.Version
	if s.pool == "" {
		return
	}
	sum := s.g.registry.Summary(s.pool)
	a.Load = WherePool{Members: sum.Members, Usable: sum.Usable, Leaving: sum.Leaving, Ejected: sum.Ejected, Slots: sum.Slots, Own: sum.Own, Peers: sum.Peers}
	rehearsal := s.g.registry.Rehearse(s.pool)
	a.Data.TotalsAgeMillis = ageMillis(rehearsal.TotalsAge())
	q := s.poolRequest()
	for _, o := range rehearsal.PassedOver(q) {
		if a.LeftOutCount++; len(a.LeftOut) < maxLeftOut {
			a.LeftOut = append(a.LeftOut, leftOut(o))
		}
	}
	if w.chosen != nil {
		first := w.instance(*w.chosen)
		a.Instance = &first
		q.Exclude = append(q.Exclude, w.chosen.Instance.ID)
	}
	for len(a.Next) < nextInstances {
		c, ok := rehearsal.Choose(q)
		if !ok {
			return
		}
		a.Next = append(a.Next, w.instance(c))
		rehearsal.Refuse(c)
		q.Exclude = append(q.Exclude, c.Instance.ID)
	}
}

// poolBy says what selects the pool of the request's route.
func (s *requestState) poolBy() string {
	switch {
	case len(s.route.Targets) == 1:
		return "route"
	case len(s.call.Prompt) > 1:
		return "prompt"
	}
	return "request-id"
}

// whereData returns the age of what this gateway knows.
func (g *Gateway) whereData() WhereData {
	d := WhereData{Gateways: 1 + g.registry.PeerCount(), ConfigurationAgeMillis: -1, InstancesAgeMillis: -1, TotalsAgeMillis: -1}
	if g.configuration != nil && !g.configuration.FreshAt().IsZero() {
		d.ConfigurationAgeMillis = time.Since(g.configuration.FreshAt()).Milliseconds()
	}
	if g.instances != nil && !g.instances.FreshAt().IsZero() {
		d.InstancesAgeMillis = time.Since(g.instances.FreshAt()).Milliseconds()
	}
	return d
}
