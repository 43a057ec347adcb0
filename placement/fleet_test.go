package placement_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"jacinthfork.example/jacinthfork/placement"
)

const (
	ticksPerSecond = int(1 / tick)
	meanDelay      = 10 // ticks until a sidecar knows the mean
	maxListLag     = 40 // ticks until a router's list shows a change
	heatHalfLife   = 5 * time.Minute
	maxRetries     = 3  // of a caller whose request was refused everywhere
	retryAfter     = 20 // ticks
	eventDelay     = 20 // ticks until a cache event reaches the routers
	eventGap       = 3  // one of so many cache events is lost
)

// fleet replays a trace against fake engines through the views of the routers.
type fleet struct {
	w       *workload
	policy  placement.Policy // nil: omniscient
	bound   bound
	events  *placement.CacheHints // from engine cache events, when routers share them
	rng     *rand.Rand
	mean    float64
	members int // engines that take work
	picked  int // engine of the last churn event
	now     int // ticks
	engines []*fakeEngine
	states  [][]state // by engine, in order of time
	means   []float64 // by tick
	loads   []int64   // by engine, as of the last whole second
	views   []*view
	tokens  map[int]*placement.Token // by chat
	actions map[int][]func()
	retries map[int][]retry // by tick
	result
}

// state is what the instance list says of an engine from a tick on.
type state struct {
	at                      int
	present, ready, leaving bool
	incarnation             uint64
}

// tokenOfPrehistory is what chats hold that began before the trace.
var tokenOfPrehistory = &placement.Token{Instance: "gone"}

// retry is a turn that every engine refused and that the caller sends again.
type retry struct {
	turn *turn
	left int
}

// view is what one router knows.
type view struct {
	pool      *placement.Pool
	heat      *placement.Heat
	refreshed int
	domain    string
	lagSeed   uint64
	hints     *placement.CacheHints
	holders   [placement.MaxHolders]uint64
	retention *placement.Retention
	seen      []int // by engine, index into its states
	dst       []int
}

func replay(w *workload, turns []turn, policy placement.Policy, b bound) *result {
	f := &fleet{w: w, policy: policy, bound: b, rng: rand.New(rand.NewPCG(w.seed, 2)),
		tokens: make(map[int]*placement.Token), actions: make(map[int][]func()),
		retries: make(map[int][]retry)}
	for range w.engines {
		f.join()
	}
	f.events = placement.NewCacheHints(2*w.orgs*w.docsPerOrg, time.Unix(0, 0))
	// One estimate for all routers stands for what each learns over a run much longer than a trace.
	retention := placement.NewRetention(2 * time.Minute)
	for r := range w.routers {
		hints := f.events
		if w.hints == hintsOwnTraffic {
			hints = placement.NewCacheHints(min(512, 2*w.orgs*w.docsPerOrg), time.Unix(0, 0))
		}
		f.views = append(f.views, &view{heat: placement.NewHeat(heatHalfLife, time.Unix(0, 0)), refreshed: -1,
			domain: fmt.Sprint("d", r%w.domains), lagSeed: uint64(r) + 1, hints: hints, retention: retention})
	}
	f.scheduleChurn()
	end := int((w.warmup + w.duration) / tick)
	for f.now = 0; f.now < end; f.now++ {
		f.step()
		for len(turns) > 0 && turns[0].at < float64(f.now+1)*tick {
			f.place(retry{&turns[0], maxRetries})
			turns = turns[1:]
		}
		for _, again := range f.retries[f.now] {
			f.place(again)
		}
	}
	return &f.result
}

func (f *fleet) measuring() bool { return float64(f.now)*tick >= f.w.warmup }

func (f *fleet) step() {
	for _, e := range f.engines {
		e.advance(f.now)
	}
	for _, action := range f.actions[f.now] {
		action()
	}
	busiest := f.sumLoads()
	f.means = append(f.means, f.mean)
	if f.now%ticksPerSecond != 0 {
		return
	}
	f.loads = f.loads[:0]
	for _, e := range f.engines {
		f.loads = append(f.loads, int64(e.load))
	}
	if f.measuring() && f.mean > 0 {
		f.skew = append(f.skew, busiest/f.mean)
	}
}

// sumLoads sets the mean load and the number of engines that take work, and returns the highest load.
func (f *fleet) sumLoads() (busiest float64) {
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

func (f *fleet) knownMean() float64 { return f.means[max(0, f.now-meanDelay)] }

func (f *fleet) place(r retry) {
	t, v := r.turn, f.views[r.turn.router]
	f.refresh(v)
	n := f.members
	order := f.order(v, t, n)
	rounds := len(order)
	if f.w.secondRound {
		order = append(order, order...)
	}
	for asked, i := range order {
		e, b := f.engines[i], f.bound
		b.atMean = b.atMean || asked >= rounds
		f.count(&f.attempts, 1)
		if work := e.work(t); e.admits(b, work, f.knownMean(), n) {
			f.checkBound(e, work, n)
			f.measure(t, e)
			f.learnCache(v, t, e)
			e.start(t, f.now)
			f.mean += work / float64(n)
			f.learn(v, e)
			f.tokens[t.chat] = &placement.Token{Group: t.group, Instance: e.id, Incarnation: e.incarnation, Issued: f.clock()}
			return
		}
		f.learn(v, e)
	}
	if r.left > 0 {
		f.retries[f.now+retryAfter] = append(f.retries[f.now+retryAfter], retry{t, r.left - 1})
		return
	}
	f.count(&f.shed, 1)
	f.measure(t, nil)
}

// checkBound records how close an admission comes to the bound, by the known and the true mean.
func (f *fleet) checkBound(e *fakeEngine, work float64, n int) {
	if f.measuring() && e.load >= 1 {
		b := bound{factor: f.w.factor, oneRequest: f.w.oneRequest}
		f.overKnown = max(f.overKnown, (e.load+work)/b.limit(work, f.knownMean(), n))
		f.overTrue = max(f.overTrue, (e.load+work)/b.limit(work, f.mean, n))
	}
}

func (f *fleet) count(counter *int, n int) {
	if f.measuring() {
		*counter += n
	}
}

func (f *fleet) measure(t *turn, e *fakeEngine) {
	doc, history := 0, 0
	if e != nil {
		doc, history = e.cache.cached(t)
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

func (f *fleet) missCause(t *turn) *int {
	last := f.tokens[t.chat]
	if last == nil {
		return &f.misses.first
	}
	e := f.engines[engineNumber(last.Instance)]
	doc, history := e.cache.cached(t)
	switch {
	case !e.reachable || e.leaving || e.incarnation != last.Incarnation:
		return &f.misses.gone
	case doc+history != t.docTokens+t.history:
		return &f.misses.evicted
	case e.admits(f.bound, e.work(t), f.knownMean(), f.members):
		return &f.misses.skipped
	}
	return &f.misses.refused
}

// order returns engines, best first.
func (f *fleet) order(v *view, t *turn, n int) []int {
	if f.policy == nil {
		return f.omniscient(t, n)
	}
	req := &placement.Request{
		Chat: t.chatHash, Group: t.group, FailureDomain: v.domain,
		Work:         int64(t.docTokens + t.history + t.question + t.decode),
		DocumentWork: int64(t.docTokens), ChatWork: int64(t.docTokens + t.history),
	}
	req.GroupShare = v.heat.Observe(t.group, req.Work-req.ChatWork, f.clock())
	req.Returning = t.returning
	if last := f.tokens[t.chat]; last != nil {
		if s := f.engines[engineNumber(last.Instance)].successor; s != nil {
			last.Instance, last.Incarnation = s.id, s.incarnation
		}
		req.Token, req.TokenAge, req.Retention = last, f.clock().Sub(last.Issued), v.retention.Estimate()
	} else if t.returning {
		req.Token = tokenOfPrehistory
	}
	if f.w.noTokens {
		req.Token = nil
	}
	if f.w.hints != hintsNone {
		req.Holders = v.hints.Holders(v.holders[:0], t.group, f.clock(), v.retention.Estimate())
	}
	v.dst = f.policy.Order(v.dst, req, v.pool)
	for position, i := range v.dst {
		v.dst[position] = engineNumber(v.pool.At(i).ID)
	}
	return v.dst
}

// omniscient returns the engine that admits the turn and caches most of its prefix, of several the
// least loaded.
func (f *fleet) omniscient(t *turn, n int) []int {
	best, bestCached := -1, -1
	for i, e := range f.engines {
		doc, history := e.cache.cached(t)
		work := float64(t.docTokens+t.history+t.question+t.decode) - float64(doc+history)
		if !e.admits(f.bound, work, f.knownMean(), n) {
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

// learnCache notes what a response says about caches: the document is now on this engine, and the
// chat was or was not still cached.
func (f *fleet) learnCache(v *view, t *turn, e *fakeEngine) {
	instance := placement.HashID(e.id)
	if f.w.hints == hintsOwnTraffic {
		v.hints.Add(t.group, instance, f.clock())
	}
	seen := f.clock()
	f.event(func() { f.events.Add(t.group, instance, seen) })
	e.cache.evicted = func(doc int) {
		f.event(func() { f.events.Remove(groupHash(doc), instance) })
	}
	if last := f.tokens[t.chat]; last != nil && last.Instance == e.id && last.Incarnation == e.incarnation {
		doc, history := e.cache.cached(t)
		v.retention.Observe(f.clock().Sub(last.Issued), doc+history == t.docTokens+t.history)
	}
}

// event delivers an engine cache event to the routers, late and with gaps.
func (f *fleet) event(action func()) {
	if f.rng.IntN(eventGap) > 0 {
		f.actions[f.now+eventDelay] = append(f.actions[f.now+eventDelay], action)
	}
}

// learn updates the router's view from a response or a failed connection.
func (f *fleet) learn(v *view, e *fakeEngine) {
	i := v.pool.Find(e.id)
	if i < 0 {
		return
	}
	c := v.pool.At(i)
	c.Ready, c.Leaving = e.reachable, e.leaving
	c.Load, c.LoadAge, c.Incarnation = int64(e.load), 0, e.incarnation
}

// refresh gives a router the list with its lags and the loads of the last whole second.
func (f *fleet) refresh(v *view) {
	second := f.now / ticksPerSecond
	if v.refreshed == second {
		return
	}
	v.refreshed = second
	if f.sees(v) {
		list := make([]placement.Candidate, 0, len(f.engines))
		for i, e := range f.engines {
			if s := f.states[i][v.seen[i]]; s.present {
				list = append(list, placement.Candidate{ID: e.id, FailureDomain: e.domain,
					Incarnation: s.incarnation, Ready: s.ready, Leaving: s.leaving})
			}
		}
		v.pool = placement.NewPool(f.w.name, list, 0)
	}
	v.pool = v.pool.WithLoads(int64(f.knownMean()), func(c *placement.Candidate) (int64, time.Duration) {
		return f.loads[engineNumber(c.ID)], time.Second
	})
}

// sees reports whether the router's list changes: each engine's state shows after a lag.
func (f *fleet) sees(v *view) bool {
	changed := v.pool == nil
	for i := range f.engines {
		if i == len(v.seen) {
			v.seen = append(v.seen, f.initial(i))
		}
		lag := int(placement.Score(v.lagSeed, uint64(i)) % maxListLag)
		for next := v.seen[i] + 1; next < len(f.states[i]) && f.states[i][next].at+lag <= f.now; next++ {
			v.seen[i] = next
			changed = true
		}
	}
	return changed
}

// initial returns the first state that routers see: engines of the start are listed at once.
func (f *fleet) initial(i int) int {
	if i < f.w.engines {
		return 1
	}
	return 0
}

func engineNumber(id string) int {
	n := 0
	for _, digit := range id[1:] {
		n = n*10 + int(digit-'0')
	}
	return n
}
