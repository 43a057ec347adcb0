package placement_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"jacinthfork.example/jacinthfork/placement"
)

const (
	ticksPerSecond    = int(1 / tick)
	meanDelay         = 10 // ticks until sidecars learn the mean load
	maxListLag        = 40 // upper limit, in ticks, of the delay until a router's list shows a change
	shareHalfLife     = 5 * time.Minute
	maxRetries        = 3  // retries by a caller whose request was refused by every engine
	retryAfter        = 20 // ticks
	eventDelay        = 20 // ticks until a cache event reaches the routers
	eventLossInterval = 3  // one in this many cache events is lost, on average
)

// fleet replays a trace against fake engines. Each router places requests by its own view of the fleet.
type fleet struct {
	workload      *workload
	policy        placement.Policy // nil for omniscient placement
	loadBound     loadBound
	eventHints    *placement.CacheHints // from engine cache events, shared by all routers
	rng           *rand.Rand
	mean          float64
	members       int // engines that accept requests
	lastChurned   int // index of the engine of the last churn event
	now           int // ticks
	engines       []*fakeEngine
	listStates    [][]listState // by engine, in order of time
	meanHistory   []float64     // by tick
	reportedLoads []int64       // by engine, as of the last whole second
	views         []*routerView
	tokens        map[int]*placement.Token // by chat
	actions       map[int][]func()
	retries       map[int][]retry // by tick
	result
}

// listState is what the instance list reports about an engine from a given tick on.
type listState struct {
	since                   int
	present, ready, leaving bool
	incarnation             uint64
}

// staleToken is the token of chats that began before the trace. It has no document group and names no
// engine, so policies do not use it.
var staleToken = &placement.Token{Instance: "gone"}

// retry is a turn that the caller sends, with the number of retries remaining if every engine refuses it.
type retry struct {
	turn      *turn
	remaining int
}

// routerView is the state that one router knows of the fleet.
type routerView struct {
	pool            *placement.Pool
	groupShares     *placement.ShareSketch
	refreshedSecond int
	domain          string
	lagSeed         uint64
	hints           *placement.CacheHints
	holders         [placement.MaxHolders]uint64
	retention       *placement.RetentionEstimator
	visibleState    []int // by engine, index into its listStates
	order           []int
}

func replayTrace(w *workload, turns []turn, policy placement.Policy, b loadBound) *result {
	f := &fleet{workload: w, policy: policy, loadBound: b, rng: rand.New(rand.NewPCG(w.seed, 2)),
		tokens: make(map[int]*placement.Token), actions: make(map[int][]func()),
		retries: make(map[int][]retry)}
	for range w.engineCount {
		f.addEngine()
	}
	f.eventHints = placement.NewCacheHints(2*w.orgs*w.docsPerOrg, time.Unix(0, 0))
	// All routers share one estimate. It represents what each would learn in a run much longer than a trace.
	retention := placement.NewRetentionEstimator(2 * time.Minute)
	for r := range w.routerCount {
		hints := f.eventHints
		if w.hints == hintsOwnTraffic {
			hints = placement.NewCacheHints(min(512, 2*w.orgs*w.docsPerOrg), time.Unix(0, 0))
		}
		f.views = append(f.views, &routerView{groupShares: placement.NewShareSketch(shareHalfLife, time.Unix(0, 0)), refreshedSecond: -1,
			domain: fmt.Sprint("d", r%w.domainCount), lagSeed: uint64(r) + 1, hints: hints, retention: retention})
	}
	f.scheduleChurn()
	end := int((w.warmup + w.duration) / tick)
	for f.now = 0; f.now < end; f.now++ {
		f.advanceTick()
		for len(turns) > 0 && turns[0].at < float64(f.now+1)*tick {
			f.place(retry{&turns[0], maxRetries})
			turns = turns[1:]
		}
		for _, pending := range f.retries[f.now] {
			f.place(pending)
		}
	}
	return &f.result
}

func (f *fleet) pastWarmup() bool { return float64(f.now)*tick >= f.workload.warmup }

func (f *fleet) advanceTick() {
	for _, e := range f.engines {
		e.advanceTick(f.now)
	}
	for _, action := range f.actions[f.now] {
		action()
	}
	busiest := f.updateMean()
	f.meanHistory = append(f.meanHistory, f.mean)
	if f.now%ticksPerSecond != 0 {
		return
	}
	f.reportedLoads = f.reportedLoads[:0]
	for _, e := range f.engines {
		f.reportedLoads = append(f.reportedLoads, int64(e.load))
	}
	if f.pastWarmup() && f.mean > 0 {
		f.skew = append(f.skew, busiest/f.mean)
	}
}

// updateMean sets the mean load and the number of engines that accept requests, and returns the highest
// load.
func (f *fleet) updateMean() (busiest float64) {
	f.members, f.mean = 0, 0
	for _, e := range f.engines {
		if e.reachable && !e.leaving {
			f.members++
			f.mean += e.load
			busiest = max(busiest, e.load)
		}
	}
	f.mean /= float64(f.members)
	return busiest
}

// reportedMean returns the mean load that sidecars and routers know, which lags behind.
func (f *fleet) reportedMean() float64 { return f.meanHistory[max(0, f.now-meanDelay)] }

// place tries the engines in the router's order until one admits the turn.
func (f *fleet) place(r retry) {
	t, v := r.turn, f.views[r.turn.router]
	f.refreshView(v)
	n := f.members
	order := f.engineOrder(v, t, n)
	firstRound := len(order)
	if f.workload.secondRound {
		order = append(order, order...)
	}
	for attempt, i := range order {
		e, b := f.engines[i], f.loadBound
		b.atMean = b.atMean || attempt >= firstRound
		f.count(&f.attempts, 1)
		if work := e.uncachedWork(t); e.admits(b, work, f.reportedMean(), n) {
			f.recordBoundUse(e, work, n)
			f.recordTurn(t, e)
			f.recordCacheState(v, t, e)
			e.admit(t, f.now)
			f.mean += work / float64(n)
			f.updateView(v, e)
			f.tokens[t.chat] = &placement.Token{Group: t.group, Instance: e.id, Incarnation: e.incarnation, Issued: f.clock()}
			return
		}
		f.updateView(v, e)
	}
	if r.remaining > 0 {
		f.retries[f.now+retryAfter] = append(f.retries[f.now+retryAfter], retry{t, r.remaining - 1})
		return
	}
	f.count(&f.shed, 1)
	f.recordTurn(t, nil)
}

// recordBoundUse records the load after admission relative to the bound, by the reported and the true mean.
// Idle engines, with a load below one token, are left out because they admit any request.
func (f *fleet) recordBoundUse(e *fakeEngine, work float64, n int) {
	if f.pastWarmup() && e.load >= 1 {
		b := loadBound{factor: f.workload.boundFactor, oneRequest: f.workload.oneRequest}
		f.maxKnownBoundRatio = max(f.maxKnownBoundRatio, (e.load+work)/b.limit(work, f.reportedMean(), n))
		f.maxTrueBoundRatio = max(f.maxTrueBoundRatio, (e.load+work)/b.limit(work, f.mean, n))
	}
}

func (f *fleet) count(counter *int, n int) {
	if f.pastWarmup() {
		*counter += n
	}
}

// recordTurn counts a turn and the cache reuse on the engine that admitted it; e is nil if none did.
func (f *fleet) recordTurn(t *turn, e *fakeEngine) {
	doc, history := 0, 0
	if e != nil {
		doc, history = e.cache.cachedTokens(t)
	}
	f.count(&f.requests, 1)
	f.count(&f.promptTokens, t.docTokens+t.history+t.question)
	f.count(&f.cachedTokens, doc+history)
	if t.returning {
		f.count(&f.returning, 1)
	}
	if t.returning && doc+history == t.docTokens+t.history {
		f.count(&f.hits, 1)
	} else if t.returning {
		f.count(f.missCause(t), 1)
	}
}

// missCause returns the counter for the reason why a returning turn missed the cache.
func (f *fleet) missCause(t *turn) *int {
	last := f.tokens[t.chat]
	if last == nil {
		return &f.misses.first
	}
	e := f.engines[engineIndex(last.Instance)]
	doc, history := e.cache.cachedTokens(t)
	switch {
	case !e.reachable || e.leaving || e.incarnation != last.Incarnation:
		return &f.misses.gone
	case doc+history != t.docTokens+t.history:
		return &f.misses.evicted
	case e.admits(f.loadBound, e.uncachedWork(t), f.reportedMean(), f.members):
		return &f.misses.skipped
	}
	return &f.misses.refused
}

// engineOrder returns the indices of the engines to try, best first. n is the number of engines that accept
// requests.
func (f *fleet) engineOrder(v *routerView, t *turn, n int) []int {
	if f.policy == nil {
		return f.omniscientOrder(t, n)
	}
	req := &placement.Request{
		Chat: t.chatHash, Group: t.group, FailureDomain: v.domain,
		Work:         int64(t.docTokens + t.history + t.question + t.decode),
		DocumentWork: int64(t.docTokens), ChatWork: int64(t.docTokens + t.history),
	}
	req.GroupShare = v.groupShares.Observe(t.group, req.Work-req.ChatWork, f.clock())
	req.Returning = t.returning
	if last := f.tokens[t.chat]; last != nil {
		// The cache of a leaving engine is now on its successor, so the token names the successor.
		if s := f.engines[engineIndex(last.Instance)].successor; s != nil {
			last.Instance, last.Incarnation = s.id, s.incarnation
		}
		req.Token, req.TokenAge, req.Retention = last, f.clock().Sub(last.Issued), v.retention.Estimate()
	} else if t.returning {
		req.Token = staleToken
	}
	if f.workload.noTokens {
		req.Token = nil
	}
	if f.workload.hints != hintsNone {
		req.Holders = v.hints.Holders(v.holders[:0], t.group, f.clock(), v.retention.Estimate())
	}
	v.order = f.policy.Order(v.order, req, v.pool)
	for position, i := range v.order {
		v.order[position] = engineIndex(v.pool.At(i).ID)
	}
	return v.order
}

// omniscientOrder returns, of the engines that admit the turn, the one that caches most of its prefix; of
// several equal ones, the least loaded.
func (f *fleet) omniscientOrder(t *turn, n int) []int {
	best, bestCached := -1, -1
	for i, e := range f.engines {
		doc, history := e.cache.cachedTokens(t)
		work := float64(t.docTokens+t.history+t.question+t.decode) - float64(doc+history)
		if !e.admits(f.loadBound, work, f.reportedMean(), n) {
			continue
		}
		if doc+history > bestCached || doc+history == bestCached && e.load < f.engines[best].load {
			best, bestCached = i, doc+history
		}
	}
	if best < 0 {
		return nil
	}
	return []int{best}
}

func (f *fleet) clock() time.Time {
	return time.Unix(0, 0).Add(time.Duration(f.now) * time.Second / time.Duration(ticksPerSecond))
}

// recordCacheState records what a response reveals about the caches: the document is now cached on this
// engine, and whether the chat was still cached there.
func (f *fleet) recordCacheState(v *routerView, t *turn, e *fakeEngine) {
	instance := placement.HashID(e.id)
	if f.workload.hints == hintsOwnTraffic {
		v.hints.Add(t.group, instance, f.clock())
	}
	seen := f.clock()
	f.deliverCacheEvent(func() { f.eventHints.Add(t.group, instance, seen) })
	e.cache.onEvictDocument = func(doc int) {
		f.deliverCacheEvent(func() { f.eventHints.Remove(groupHash(doc), instance) })
	}
	if last := f.tokens[t.chat]; last != nil && last.Instance == e.id && last.Incarnation == e.incarnation {
		doc, history := e.cache.cachedTokens(t)
		v.retention.Observe(f.clock().Sub(last.Issued), doc+history == t.docTokens+t.history)
	}
}

// deliverCacheEvent delivers an engine cache event to the routers after a delay, or loses it.
func (f *fleet) deliverCacheEvent(action func()) {
	if f.rng.IntN(eventLossInterval) > 0 {
		f.actions[f.now+eventDelay] = append(f.actions[f.now+eventDelay], action)
	}
}

// updateView updates the router's view from a response or a failed connection. It modifies the snapshot,
// which is safe only because the replay has a single goroutine.
func (f *fleet) updateView(v *routerView, e *fakeEngine) {
	i := v.pool.Find(e.id)
	if i < 0 {
		return
	}
	c := v.pool.At(i)
	c.Ready, c.Leaving = e.reachable, e.leaving
	c.Load, c.LoadAge, c.Incarnation = int64(e.load), 0, e.incarnation
}

// refreshView updates a router's list, which lags, and the loads as of the last whole second.
func (f *fleet) refreshView(v *routerView) {
	second := f.now / ticksPerSecond
	if v.refreshedSecond == second {
		return
	}
	v.refreshedSecond = second
	if f.updateVisibleStates(v) {
		list := make([]placement.Candidate, 0, len(f.engines))
		for i, e := range f.engines {
			if s := f.listStates[i][v.visibleState[i]]; s.present {
				list = append(list, placement.Candidate{ID: e.id, FailureDomain: e.domain,
					Incarnation: s.incarnation, Ready: s.ready, Leaving: s.leaving})
			}
		}
		v.pool = placement.NewPool(f.workload.name, list, 0)
	}
	v.pool = v.pool.WithLoads(int64(f.reportedMean()), func(c *placement.Candidate) (int64, time.Duration) {
		return f.reportedLoads[engineIndex(c.ID)], time.Second
	})
}

// updateVisibleStates advances the list states that the router sees, each after a lag that depends on the
// router and the engine, and reports whether its list changed.
func (f *fleet) updateVisibleStates(v *routerView) bool {
	changed := v.pool == nil
	for i := range f.engines {
		if i == len(v.visibleState) {
			v.visibleState = append(v.visibleState, f.initialListState(i))
		}
		lag := int(placement.Score(v.lagSeed, uint64(i)) % maxListLag)
		for next := v.visibleState[i] + 1; next < len(f.listStates[i]) && f.listStates[i][next].since+lag <= f.now; next++ {
			v.visibleState[i] = next
			changed = true
		}
	}
	return changed
}

// initialListState returns the index of the first state that routers see: the engines at the start are
// listed immediately.
func (f *fleet) initialListState(i int) int {
	if i < f.workload.engineCount {
		return 1
	}
	return 0
}

func engineIndex(id string) int {
	n := 0
	for _, digit := range id[1:] {
		n = n*10 + int(digit-'0')
	}
	return n
}
