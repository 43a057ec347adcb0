package gateway

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"jacinthfork.example/jacinthfork/admission"
	"jacinthfork.example/jacinthfork/gateway/pool"
	"jacinthfork.example/jacinthfork/internal/rendezvous"
	"jacinthfork.example/jacinthfork/verdict"
)

const (
	// maxQueuedPerInstance bounds the requests of all routers that wait for a place at one instance.
	maxQueuedPerInstance = 256
	// extraPlacesDivisor sets the places beyond an instance's slots: one more for each so many. They bridge the time
	// between the end of one request and the arrival of the next.
	extraPlacesDivisor = 3
)

// places are those at the instances of plain services, and at the engines of contended pools, that this router keeps. Requests
// of all routers wait here for a place, so that the instance holds little more than it runs at a time, whatever the routers
// know of each other.
//
// It answers a load pattern: for some seconds a service gets more requests than it can run, through many routers. Each of
// them would need to know at once what the others send to keep the service from holding more than it runs in time; sums
// that are half a second old make all of them send too much and then too little.
type places struct {
	mu        sync.Mutex
	instances map[pool.Key]*instancePlaces
	requests  map[placeHolder]*placeRequest
	// onQueue is told what happens in the queues of engines.
	onQueue func(event admission.QueueEvent, level int)
	// saturatedUntil holds the ends of the times for which requests of this router do not ask for free places in a full pool, and
	// wait in turn if this router does not know yet that the pool is contended.
	saturatedUntil map[string]time.Time
}

// instancePlaces are the places at one instance.
type instancePlaces struct {
	controller *admission.Controller
	capacity   int
	// untold are the places of requests that other routers have in flight but have not told of yet, after a change of the keeper.
	untold []*admission.Grant
}

// placeHolder identifies a request of any router.
type placeHolder struct {
	router   string
	sequence uint64
}

// placeRequest is a request that waits for a place, or has one.
type placeRequest struct {
	holder placeHolder
	// ctx ends with the wait.
	ctx    context.Context
	cancel context.CancelFunc
	// grant is nil while the request waits.
	grant *admission.Grant
	// counted is set once the registry counts the request.
	counted bool
	// forgotten is set if the request's router was gone.
	forgotten bool
}

func newPlaces() *places {
	return &places{instances: make(map[pool.Key]*instancePlaces), requests: make(map[placeHolder]*placeRequest), saturatedUntil: make(map[string]time.Time)}
}

// saturate records that a service is full.
func (p *places) saturate(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.saturatedUntil[name] = time.Now().Add(saturation)
}

// saturated reports whether a service was found full just before.
func (p *places) saturated(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.saturatedUntil[name])
}

// known returns the controller of an instance, nil if no request has asked for a place there.
func (p *places) known(instance pool.Key) *admission.Controller {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := p.instances[instance]; i != nil {
		return i.controller
	}
	return nil
}

// placeCapacity returns the number of places at an instance.
func placeCapacity(slots int) int { return max(1, slots) + max(1, slots/extraPlacesDivisor) }

// at returns the places at an instance. running returns the requests that this router
// counts there from before, if it did not keep the instance then: they have their places.
func (p *places) at(instance pool.Key, kind placeKind, running func() []placeHolder) *admission.Controller {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := p.instances[instance]
	if i == nil {
		s := admission.DefaultSettings()
		s.QueueRequests = maxQueuedPerInstance
		s.QueueWait = kind.wait
		s.ByServiceTime = !kind.byUrgency
		if kind.byUrgency {
			s.ByUrgency, s.OnQueue = true, p.onQueue
			// Shares of organisations decide within one level of urgency, and none keeps a place from the others.
			s.ReservePercent = 0
		}
		// The settings are valid by construction, so NewController cannot fail.
		controller, err := admission.NewController(s, admission.SingleMember{}, nil)
		if err != nil {
			panic(err)
		}
		i = &instancePlaces{controller: controller}
		p.instances[instance] = i
		for _, h := range running() {
			p.take(h, controller)
		}
		for range kind.untold {
			i.untold = append(i.untold, controller.Count(placeRequestOf(0, 0, 0, 0)))
		}
		if kind.untold > 0 {
			time.AfterFunc(kind.untoldFor, func() { p.forgetUntold(i) })
		}
	}
	if kind.capacity != i.capacity {
		i.capacity = kind.capacity
		i.controller.SetCapacity(uint64(kind.capacity), kind.capacity)
	}
	return i.controller
}

// enter registers a request that is about to wait for a place, so that release ends its wait from now on. wait must be
// called next.
func (p *places) enter(ctx context.Context, h placeHolder) *placeRequest {
	entry := &placeRequest{holder: h}
	entry.ctx, entry.cancel = context.WithCancel(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.requests[h]; old != nil {
		old.end(false)
	}
	p.requests[h] = entry
	return entry
}

// wait waits for a place until the context of enter ends or the request's time to wait is over. The error is a
// *verdict.Error with verdict.NotRun; without one, release must be called.
func (p *places) wait(entry *placeRequest, controller *admission.Controller, req admission.Request) error {
	grant, err := controller.Admit(entry.ctx, req)
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.requests[entry.holder] != entry:
		if err == nil {
			grant.Withdraw()
		}
		return verdict.New(verdict.NotRun, verdict.ReasonCancelled, "the request was given up while it waited")
	case err != nil:
		delete(p.requests, entry.holder)
		entry.cancel()
		return err
	}
	entry.grant = grant
	return nil
}

// count makes the registry count a request that has a place, unless the place was given back before. The place is given
// back if the registry does not count it.
func (p *places) count(entry *placeRequest, reserve func() pool.Answer) pool.Answer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.requests[entry.holder] != entry {
		return pool.Answer{}
	}
	a := reserve()
	if entry.counted = a.Granted && !a.Unknown; !entry.counted {
		delete(p.requests, entry.holder)
		entry.cancel()
		entry.grant.Withdraw()
	}
	return a
}

// take gives a request a place that it has anyway, or moves the one that it has to another controller. The caller holds the
// lock.
func (p *places) take(h placeHolder, controller *admission.Controller) {
	if entry := p.requests[h]; entry != nil {
		entry.end(false)
	}
	p.requests[h] = &placeRequest{
		holder: h, cancel: func() {}, grant: controller.Count(placeRequestOf(0, 0, 0, 0)), counted: true,
	}
}

// countTaken makes the registry count a request whose place is taken, whatever the capacity of the instance. It may have been
// granted the place before, or wait for it.
func (p *places) countTaken(h placeHolder, controller *admission.Controller, reserve func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	reserve()
	if entry := p.requests[h]; entry != nil && entry.grant != nil {
		entry.counted = true
		return
	}
	p.take(h, controller)
	for _, i := range p.instances {
		if i.controller == controller {
			i.dropUntold(1)
		}
	}
}

// forgetUntold gives back the places of requests that no router has told of.
func (p *places) forgetUntold(i *instancePlaces) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i.dropUntold(len(i.untold))
}

// dropUntold gives back some places of requests that have not been told of yet.
func (i *instancePlaces) dropUntold(n int) {
	n = min(n, len(i.untold))
	for _, g := range i.untold[:n] {
		g.Withdraw()
	}
	i.untold = i.untold[n:]
}

// release gives a place back, or ends the wait for one. ran says that the instance may have run the request: only then does its end
// count as a completion, by whose rate the time in the queue is estimated.
func (p *places) release(h placeHolder, ran bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if entry := p.requests[h]; entry != nil {
		delete(p.requests, h)
		entry.end(ran)
	}
}

// releaseAll does the same for all requests of some routers, and returns them.
func (p *places) releaseAll(routers []string) (released []placeHolder) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for h, entry := range p.requests {
		if slices.Contains(routers, h.router) {
			delete(p.requests, h)
			entry.forgotten = true
			entry.end(false)
			released = append(released, h)
		}
	}
	return released
}

// forgot reports whether a request's router was gone before the request was answered. If it is alive after all, it decides alone
// rather than being refused a place that may be free.
func (p *places) forgot(entry *placeRequest) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return entry.forgotten
}

// end gives the place back, or ends the wait for it. The caller holds the lock of places.
func (r *placeRequest) end(ran bool) {
	r.cancel()
	switch {
	case r.grant == nil:
	case ran:
		r.grant.Done()
	default:
		r.grant.Withdraw()
	}
}

// has reports whether this router has places at an instance.
func (p *places) has(instance pool.Key) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.instances[instance] != nil
}

// awaited reports whether a request waits for a place at an instance.
func (p *places) awaited(instance pool.Key) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := p.instances[instance]
	return i != nil && i.controller.Load().Waiting > 0
}

// kept returns the instances at which this router has places.
func (p *places) kept() []pool.Key {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Keys(p.instances))
}

// reconcile counts the requests in flight that have no place: those that were sent while the keeper did not know that the
// pool is contended.
func (p *places) reconcile(controller *admission.Controller, running func() []placeHolder) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range running() {
		if p.requests[h] == nil {
			p.take(h, controller)
		}
	}
}

// sweep gives back the places of requests that have ended without a message, and forgets instances that this router no longer
// keeps, and those at which places no longer apply once no request waits there. held reports whether the registry still
// counts a request, keeps whether this router keeps an instance.
func (p *places) sweep(held func(router string, sequence uint64) bool, keeps, apply func(instance pool.Key) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for h, entry := range p.requests {
		if entry.counted && !held(h.router, h.sequence) {
			delete(p.requests, h)
			entry.end(false)
		}
	}
	for key, i := range p.instances {
		if !keeps(key) || (!apply(key) && i.controller.Load().Waiting == 0) {
			delete(p.instances, key)
		}
	}
	for name, until := range p.saturatedUntil {
		if time.Now().After(until) {
			delete(p.saturatedUntil, name)
		}
	}
}

// organisationHash identifies an organisation between routers.
func organisationHash(name string) uint32 { return uint32(rendezvous.Hash(name) >> 32) }

// placeRequestOf describes a request of an organisation to the controller of an instance.
func placeRequestOf(organisation uint32, priority int, wait, patience time.Duration) admission.Request {
	if wait <= 0 {
		wait = -1
	}
	return admission.Request{
		Organisation: strconv.FormatUint(uint64(organisation), 36), DecodeTokens: 1, Priority: -priority, MaxWait: wait, Patience: patience,
	}
}
