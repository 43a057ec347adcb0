package gateway

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"jacinthfork.example/jacinthfork/gateway/overload"
	"jacinthfork.example/jacinthfork/gateway/peer/peerpb"
	"jacinthfork.example/jacinthfork/gateway/poison"
	"jacinthfork.example/jacinthfork/gateway/pool"
	"jacinthfork.example/jacinthfork/gateway/routes"
	"jacinthfork.example/jacinthfork/internal/proptest"
	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/verdict"
)

const (
	whereKey   = "secret-key-of-org-1"
	whereSlots = 2
	// whereDocument and whereQuery are the parts of the prompt of a question.
	whereDocument, whereQuery = 0xd0c0d0c0d0c0d0c0, 0x9e9e9e9e9e9e9e9e
)

// newWhereFleet returns gateways before instances of a plain service ("plain") or engines ("engine", or "paced" if requests wait
// at keepers). They do no I/O.
func newWhereFleet(kind string, routers, instances int) []*Gateway {
	p := &routes.Pool{Name: kind, ColdRequestsPerSecond: 2}
	if kind != "plain" {
		p.Engine = &routes.Engine{Slots: whereSlots, CacheTokens: 100_000}
	}
	org := &routes.Organisation{Name: "org-1", Priority: 1, HasPriority: true}
	var list []pool.Instance
	for n := range instances {
		list = append(list, pool.Instance{ID: fmt.Sprintf("i-%d", n), Pool: kind, Address: fmt.Sprintf("a-%d", n), Slots: whereSlots, StartedAt: 1, Sequence: 1})
	}
	fleet := newSimulatedFleet(routers, list, routes.Spec{
		Version: 7, Pools: []*routes.Pool{p}, Organisations: []*routes.Organisation{org}, Keys: map[string]*routes.Organisation{whereKey: org},
		Routes: []*routes.Route{{Name: "r", Host: "h", Prefix: "/x/", Mode: routes.Idempotent, MaxAttempts: 1, Timeout: 5 * time.Second,
			LatencyObjective: 2 * time.Second, Targets: []routes.Target{{Pool: kind, Weight: 1}}}},
	})
	for _, g := range fleet {
		g.log = slog.New(slog.DiscardHandler)
		g.overload = overload.New(rand.Float64)
		g.poison, g.crashes = poison.NewTable(), newCrashDetector(func(pool.Instance, time.Time, []failedRequest) {})
		if kind != "plain" {
			g.registry.SetCacheTokens(map[string]int{kind: 100_000})
			g.registry.SetPaced(kind, kind == "paced")
			if kind == "paced" {
				g.registry.SetContended(kind, true)
			}
		}
		g.registry.SetColdRates(map[string]float64{kind: 2})
		g.admission.refresh()
	}
	return fleet
}

// chatQuestion returns a question about a prompt, or about a request without one to a plain service.
func chatQuestion(kind string) *WhereQuestion {
	q := &WhereQuestion{Host: "h", Path: "/x/1", Key: whereKey, RequestID: "id-1"}
	if kind != "plain" {
		q.Parts = []WherePart{{whereDocument, 9000}, {whereQuery, 100}}
	}
	return q
}

// admitted is what became of a request.
type admitted struct {
	instance string
	refusal  *verdict.Error
	end      func()
}

// ask returns the request that a question is about, as serveCaller begins it.
func (g *Gateway) ask(q *WhereQuestion) *requestState {
	s := &requestState{g: g, start: time.Now(), table: g.table.Load()}
	if err := s.askedFor(q); err != nil {
		panic(err)
	}
	return s
}

// obtain takes the steps of serveCaller and run up to the choice of an instance.
func (s *requestState) obtain(ctx context.Context) admitted {
	if err := s.knownFull(s.g.asks.mayAsk); err != nil {
		return admitted{refusal: err}
	}
	s.pool = ""
	if err := s.prepare(s.checkSuspects); err != nil {
		return admitted{refusal: err}
	}
	grant, err := s.g.admission.admit(ctx, s.table.Pools[s.pool], s.organisation, s.priority)
	if err != nil {
		return admitted{refusal: verdict.As(s.exhausted(err))}
	}
	endGrant := func() {}
	if grant != nil {
		endGrant = grant.Done
	}
	lease, place, err := s.acquire(ctx)
	if lease == nil {
		endGrant()
		if err == nil {
			return admitted{refusal: s.noInstance()}
		}
		return admitted{refusal: verdict.As(s.exhausted(err))}
	}
	return admitted{instance: lease.Instance.ID, end: func() {
		lease.Release(pool.Abandoned)
		s.g.reservations.end(place, pool.Abandoned)
		endGrant()
	}}
}

// stateOf returns what requests change at a gateway, for comparison. TestRehearsalIsWhatTheNextRequestGets compares the rest of
// the registry.
func stateOf(g *Gateway, name string) string {
	var b strings.Builder
	pace, _ := g.registry.PaceSummary(name)
	fmt.Fprintln(&b, g.registry.Summary(name), g.registry.LocalLoad(), g.registry.HoldCount(), g.registry.HeldOff(name), pace)
	g.asks.mu.Lock()
	for pool, a := range g.asks.pools {
		fmt.Fprintln(&b, "asks", pool, a.levels, a.total, a.countedAt, a.spread, a.refusedAt, len(a.shares))
		if share := a.shares["org-1"]; share != nil {
			fmt.Fprintln(&b, *share)
		}
	}
	g.asks.mu.Unlock()
	g.places.mu.Lock()
	fmt.Fprintln(&b, "places", len(g.places.requests), len(g.places.instances), g.places.saturatedUntil)
	for n := range 9 {
		if i := g.places.instances[pool.KeyOf(fmt.Sprintf("i-%d", n))]; i != nil {
			fmt.Fprintln(&b, i.controller.Load(), i.controller.Counts(), i.capacity)
		}
	}
	g.places.mu.Unlock()
	g.admission.mu.Lock()
	fmt.Fprintln(&b, "admission", len(g.admission.engines))
	if c := g.admission.engines[name]; c != nil {
		fmt.Fprintln(&b, c.Load(), c.Counts())
	}
	g.admission.mu.Unlock()
	fmt.Fprintln(&b, g.poison.Counts(), len(g.reservations.open), len(g.crashes.reports))
	for _, counter := range []*expvar.Map{g.metrics.localRefusals, g.metrics.reservations, g.metrics.refusals, g.metrics.placeQueue, g.metrics.documents} {
		fmt.Fprintln(&b, counter)
	}
	return b.String()
}

// whereStep is something that happens at a gateway before it is asked.
type whereStep struct {
	what string
	n    int
}

// Guards against an answer that differs from what becomes of the next request, at one gateway that keeps all instances, and
// against a question that leaves a trace: a place, a lease, a wait, a count or a trial.
func TestWhereIsWhatTheNextRequestGets(t *testing.T) {
	outcomes := make(map[Outcome]int)
	step := rapid.Custom(func(rt *rapid.T) whereStep {
		return whereStep{
			rapid.SampledFrom([]string{"send", "send", "send", "send", "end", "time", "eject", "leave", "hold off", "full", "loads", "crash"}).Draw(rt, "step"),
			rapid.IntRange(0, 11).Draw(rt, "n"),
		}
	})
	proptest.Check(t, func(rt *rapid.T) {
		kind := rapid.SampledFrom([]string{"plain", "engine", "paced"}).Draw(rt, "kind")
		instances := rapid.IntRange(0, 3).Draw(rt, "instances")
		steps := rapid.SliceOfN(step, 0, 14).Draw(rt, "steps")
		failure := ""
		// rapid can't stop a case within the bubble.
		synctest.Test(t, func(*testing.T) {
			g := newWhereFleet(kind, 1, instances)[0]
			f := &whereCase{g: g, kind: kind}
			f.ctx, f.cancel = context.WithCancel(context.Background())
			defer f.close()
			for _, s := range steps {
				f.step(s)
			}
			var outcome Outcome
			outcome, failure = f.compare()
			outcomes[outcome]++
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
	t.Log(outcomes)
	for _, o := range []Outcome{OutcomeRun, OutcomeWait, OutcomeRefuse} {
		if outcomes[o] == 0 {
			t.Errorf("no case has the outcome %q", o)
		}
	}
}

// whereCase is a gateway with requests that run or wait.
type whereCase struct {
	g       *Gateway
	kind    string
	ctx     context.Context
	cancel  context.CancelFunc
	running []admitted
}

// close ends all requests.
func (f *whereCase) close() {
	f.cancel()
	synctest.Wait()
	for _, a := range f.running {
		a.end()
	}
}

// send sends a request and reports whether its fate is known at once, and which. Otherwise it waits until the context ends.
func (f *whereCase) send(q *WhereQuestion) (a admitted, known bool) {
	done := make(chan admitted, 1)
	s := f.g.ask(q)
	go func() { done <- s.obtain(f.ctx) }()
	synctest.Wait()
	select {
	case a = <-done:
		if a.end != nil {
			f.running = append(f.running, a)
		}
		return a, true
	default:
		go func() {
			if a := <-done; a.end != nil {
				a.end()
			}
		}()
		return a, false
	}
}

func (f *whereCase) step(s whereStep) {
	lease := func() *pool.Lease { return f.g.registry.Acquire(&pool.Request{Pool: f.kind}) }
	switch s.what {
	case "send":
		q := chatQuestion(f.kind)
		if f.kind != "plain" {
			q.Parts[0].ID += HexID(s.n % 2)
		}
		f.send(q)
	case "end":
		if len(f.running) > 0 {
			f.running[0].end()
			f.running = f.running[1:]
		}
	case "time":
		time.Sleep([]time.Duration{1, 60, 250, 1100}[s.n%4] * time.Millisecond)
		f.g.admission.refresh()
	case "eject":
		if l := lease(); l != nil {
			l.Release(pool.Unreachable)
		}
	case "leave":
		if l := lease(); l != nil {
			if s.n == 0 {
				l.RecordLeaving()
			}
			l.Release(pool.Refused)
		}
	case "hold off":
		if l := lease(); l != nil {
			l.RecordHoldOff(300 * time.Millisecond)
			l.Release(pool.Refused)
		}
	case "full":
		r := f.g.ask(chatQuestion(f.kind))
		r.pool = f.kind
		question := r.question()
		f.g.asks.refused(time.Now(), &question, 100*time.Millisecond)
	case "loads":
		f.g.registry.SetFleetLoad(map[uint32]pool.PoolLoad{pool.PoolHash(f.kind): {Requests: uint32(s.n)}})
	case "crash":
		request := poison.Request{Parts: []uint64{whereDocument}}
		f.g.poison.RecordCrash(uint32(s.n), time.Now(), []*poison.Attempt{f.g.poison.Begin(request)})
	}
	synctest.Wait()
}

// compare asks where a request would go, sends it, and returns the outcome foretold and what differs.
func (f *whereCase) compare() (outcome Outcome, failure string) {
	q := chatQuestion(f.kind)
	before := stateOf(f.g, f.kind)
	answer, fault := f.g.Where(q)
	if fault != nil {
		return "", fault.Error()
	}
	foretold, _ := json.MarshalIndent(answer, "", " ")
	differs := func(format string, args ...any) (Outcome, string) {
		return answer.Outcome, fmt.Sprintf(format, args...) + "\nforetold: " + string(foretold)
	}
	if after := stateOf(f.g, f.kind); after != before {
		return differs("the question changes the gateway from\n%s\nto\n%s", before, after)
	}
	possible := map[string]bool{f.fate(answer): true}
	for range randomQuestions {
		if !answer.Random {
			break
		}
		other, _ := f.g.Where(q)
		possible[f.fate(other)] = true
	}
	queued := f.queued()
	got, known := f.send(q)
	actual := string(OutcomeWait)
	switch {
	case known && got.refusal != nil:
		actual = string(OutcomeRefuse) + " " + string(got.refusal.Reason)
		if r := answer.Refusal; !answer.Random && r != nil && r.RetryAfterMillis != got.refusal.RetryAfter.Milliseconds() {
			return differs("the caller is told to come back after %s", got.refusal.RetryAfter)
		}
	case known:
		actual = string(OutcomeRun) + " " + got.instance
	case answer.Outcome == OutcomeWait && answer.LongestWaitMillis <= 0:
		return differs("the answer does not say how long the request waits at most")
	case f.kind != "engine":
		for instance, n := range f.queued() {
			if n > queued[instance] {
				actual = string(OutcomeWait) + " " + instance
			}
		}
	}
	if !possible[actual] {
		return differs("%s, possible: %v, %v", actual, possible, got.refusal)
	}
	return answer.Outcome, ""
}

// randomQuestions is the number of times that a question is asked whose answer depends on random choices. Each of a few
// possible answers comes up then.
const randomQuestions = 400

// queued returns the number of requests that have waited at each instance.
func (f *whereCase) queued() map[string]uint64 {
	out := make(map[string]uint64)
	for n := range 3 {
		id := fmt.Sprintf("i-%d", n)
		if c := f.g.places.known(pool.KeyOf(id)); c != nil {
			out[id] = c.Counts().Queued
		}
	}
	return out
}

// fate describes what becomes of a request.
func (f *whereCase) fate(a *WhereAnswer) string {
	switch {
	case a.Outcome == OutcomeRefuse:
		return string(OutcomeRefuse) + " " + a.Refusal.Reason
	case a.Outcome == OutcomeRun:
		return string(OutcomeRun) + " " + a.Instance.Instance
	case f.kind != "engine":
		return string(OutcomeWait) + " " + a.Instance.Instance
	}
	return string(a.Outcome) // the instance is chosen after the wait
}

// Guards against an answer of a gateway that differs from where its next request goes, in a fleet in which other gateways keep
// most instances and few requests are in flight.
func TestWhereInAQuietFleet(t *testing.T) {
	provisional := 0
	proptest.Check(t, func(rt *rapid.T) {
		kind := rapid.SampledFrom([]string{"plain", "engine", "paced"}).Draw(rt, "kind")
		gateways, instances := rapid.IntRange(2, 4).Draw(rt, "gateways"), rapid.IntRange(1, 4).Draw(rt, "instances")
		// No instance is full with so few requests.
		running := rapid.SliceOfN(rapid.IntRange(0, gateways-1), 0, whereSlots-1).Draw(rt, "running")
		ended := rapid.SliceOfN(rapid.IntRange(0, gateways-1), 0, 4).Draw(rt, "ended")
		asked := rapid.IntRange(0, gateways-1).Draw(rt, "asked")
		failure := ""
		synctest.Test(t, func(*testing.T) {
			fleet := newWhereFleet(kind, gateways, instances)
			var open []admitted
			for _, n := range ended {
				if a := fleet[n].ask(chatQuestion(kind)).obtain(context.Background()); a.end != nil {
					a.end()
				}
				// Quiet: the keeper knows of the end before it is asked again. Otherwise it tells a load that the next gateway
				// takes for true until it asks again.
				time.Sleep(10 * linkDelay)
			}
			for _, n := range running {
				open = append(open, fleet[n].ask(chatQuestion(kind)).obtain(context.Background()))
			}
			time.Sleep(10 * linkDelay)
			shareLoads(fleet)
			g := fleet[asked]
			before := stateOf(g, kind)
			answer, err := g.Where(chatQuestion(kind))
			if err != nil {
				failure = err.Error()
				return
			}
			if after := stateOf(g, kind); after != before {
				failure = "the question changes the gateway from\n" + before + "\nto\n" + after
			}
			if answer.Provisional {
				provisional++
			}
			got := g.ask(chatQuestion(kind)).obtain(context.Background())
			if answer.Outcome != OutcomeRun || (got.instance != answer.Instance.Instance && !slices.Contains(answer.Instance.TiedWith, got.instance)) {
				failure = fmt.Sprintf("the request runs at %q, %v; foretold: %+v %+v", got.instance, got.refusal, answer, answer.Instance)
			}
			for _, a := range append(open, got) {
				if a.end != nil {
					a.end()
				}
			}
			time.Sleep(10 * linkDelay)
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
	if provisional == 0 {
		t.Error("no other gateway keeps an instance")
	}
}

// Guards against an answer that a request of a keeper runs at once at an engine at which requests of other gateways wait for a
// place, while the keeper does not know yet that the pool is contended.
func TestWhereAtAKeeperThatDoesNotKnowOfTheContention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newWhereFleet("paced", 2, 1)
		keeper, asker := keeperOf(fleet, pool.KeyOf("i-0"))
		keeper.registry.SetContended("paced", false)
		var open []admitted
		for range whereSlots {
			open = append(open, asker.ask(chatQuestion("paced")).obtain(context.Background()))
		}
		ctx, cancel := context.WithCancel(context.Background())
		waits, own := make(chan admitted, 1), make(chan admitted, 1)
		go func() { waits <- asker.ask(chatQuestion("paced")).obtain(ctx) }()
		time.Sleep(10 * linkDelay)
		before := stateOf(keeper, "paced")
		answer, err := keeper.Where(chatQuestion("paced"))
		is.True(err == nil)
		is.Equal(stateOf(keeper, "paced"), before)
		is.Equal(answer.Outcome, OutcomeWait)
		is.Equal(answer.Instance.Instance, "i-0")
		go func() { own <- keeper.ask(chatQuestion("paced")).obtain(ctx) }()
		synctest.Wait()
		is.Equal(len(own), 0)
		controller, _ := keeper.placesAt(pool.KeyOf("i-0"))
		is.Equal(controller.Load().Waiting, 2)
		cancel()
		<-waits
		<-own
		for _, a := range open {
			a.end()
		}
		time.Sleep(10 * linkDelay)
	})
}

// Guards against an answer that names a limit or the pace as a reason in a pool that is paced but not contended, where neither
// counts.
func TestWhereNamesLimitsOnlyWhileTheyApply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newWhereFleet("paced", 1, 2)[0]
		for n, pace := range []int{100, 300} {
			lease := g.registry.Acquire(&pool.Request{Pool: "paced", Exclude: []string{fmt.Sprintf("i-%d", 1-n)}})
			is.True(lease.RecordPace(pace))
			lease.Release(pool.Served)
		}
		time.Sleep(time.Second) // the mean pace of the pool is computed again
		for _, contended := range []bool{true, false} {
			g.registry.SetContended("paced", contended)
			answer, err := g.Where(chatQuestion("paced"))
			is.True(err == nil)
			all := append(answer.Next, *answer.Instance)
			is.Equal(len(all), 2)
			for _, i := range all {
				is.Equal(i.Limited, contended)
				is.Equal(i.PaceFactor != 1, contended)
				is.True(i.Pace > 0) // it is known all the same
			}
		}
	})
}

// silentLink fails a test in which a keeper is asked or told anything.
type silentLink struct{ t *testing.T }

func (l silentLink) NextSequence() uint64 {
	l.t.Error("a sequence number was used")
	return 0
}

func (l silentLink) Reserve(context.Context, string, *peerpb.Reserve) (*peerpb.Reserved, bool) {
	l.t.Error("a keeper was asked for a place")
	return nil, false
}

func (l silentLink) Locate(context.Context, string, *peerpb.Locate) (*peerpb.Located, bool) {
	l.t.Error("a directory was asked")
	return nil, false
}

func (l silentLink) Tell(string, *peerpb.Message) bool {
	l.t.Error("a keeper was told something")
	return false
}

// Guards against a question that asks the keeper of an instance, and against an answer that hides that another gateway decides.
func TestWhereAsksNoKeeper(t *testing.T) {
	for _, kind := range []string{"plain", "engine", "paced"} {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fleet := newWhereFleet(kind, 5, 1)
				g := fleet[0]
				if g.keeps(pool.KeyOf("i-0")) {
					g = fleet[1]
				}
				g.keepers = silentLink{t}
				g.reservations = newReservations(g.registry, g.keepers, g.places)
				g.registry.SetFleetLoad(nil)
				time.Sleep(100 * time.Millisecond)
				before := stateOf(g, kind)
				a, err := g.Where(chatQuestion(kind))
				is.True(err == nil)
				is.Equal(stateOf(g, kind), before)
				is.Equal(a.Outcome, OutcomeRun)
				is.True(a.Provisional)
				is.True(a.Instance.Keeper != "")
				is.Equal(a.Instance.LoadAgeMillis, int64(100)) // the gateway has kept the instance until then
				is.Equal(a.Data.TotalsAgeMillis, int64(100))
				is.Equal(a.Data.Gateways, 5)
			})
		})
	}
}

// Guards against an answer that names other instances after the first one, or gives no reason for those left out.
func TestWhereNamesTheNextAndTheLeftOut(t *testing.T) {
	is := is.New(t)
	g := newWhereFleet("engine", 1, 5)[0]
	g.registry.ApplyEntry(pool.Instance{ID: "i-4", Pool: "engine", Address: "a-4", Slots: whereSlots, StartedAt: 1, Sequence: 2, Leaving: true})
	g.registry.Acquire(&pool.Request{Pool: "engine", Exclude: []string{"i-1", "i-2", "i-3"}}).Release(pool.Unreachable)
	first, err := g.Where(chatQuestion("engine"))
	is.True(err == nil)
	is.Equal(first.Instance.Rule, string(pool.First))
	is.Equal(len(first.Next), 2)
	s := g.ask(chatQuestion("engine"))
	s.pool = "engine"
	for _, want := range append([]WhereInstance{*first.Instance}, first.Next...) {
		is.Equal(g.registry.Acquire(s.poolRequest()).Instance.ID, want.Instance)
		s.triedInstances = append(s.triedInstances, want.Instance)
	}
	is.Equal(first.LeftOutCount, 2)
	is.True(slices.Contains(first.LeftOut, WhereLeftOut{"i-4", string(pool.IsLeaving)}))
	is.True(slices.Contains(first.LeftOut, WhereLeftOut{"i-0", "ejected"}))
	again, err := g.Where(chatQuestion("engine"))
	is.True(err == nil)
	is.Equal(again.Instance.Rule, string(pool.Holder)) // it has the prompt now
	is.Equal(again.Instance.CachedTokens, 9100)
	is.Equal(again.Instance.CachedKnown, "all-gateways")
}

// Guards against an answer that hides why a request is blocked, and against a question that uses up the trial of a blocked
// request.
func TestWhereTellsSuspectsAndLeavesTheTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newWhereFleet("engine", 1, 1)[0]
		q := chatQuestion("engine")
		q.Fingerprint = 0xabcdef
		for crash := range uint32(2) {
			g.poison.RecordCrash(crash, time.Now(), []*poison.Attempt{g.poison.Begin(poison.Request{Fingerprint: uint64(q.Fingerprint)})})
		}
		a, err := g.Where(q)
		is.True(err == nil)
		is.Equal(a.Outcome, OutcomeRefuse)
		is.Equal(a.Suspect, "request")
		is.Equal(a.Refusal.Reason, string(verdict.ReasonCrashRefused))
		time.Sleep(2 * time.Second)
		for range 2 {
			a, err = g.Where(q)
			is.True(err == nil)
			is.True(a.Trial)
			is.Equal(a.Outcome, OutcomeRun)
		}
		is.True(g.ask(q).checkSuspects() == nil) // the trial is still to be had
		a, err = g.Where(q)
		is.True(err == nil)
		is.Equal(a.Outcome, OutcomeRefuse)
		for crash := uint32(10); crash < 13; crash++ {
			g.poison.RecordCrash(crash, time.Now(), []*poison.Attempt{g.poison.Begin(poison.Request{Parts: []uint64{whereDocument}})})
		}
		q.Fingerprint = 0
		a, err = g.Where(q)
		is.True(err == nil)
		is.Equal(a.Suspect, "part 1")
	})
}

// Guards against errors that do not say what is wrong, and against answers that hold a key or something of a prompt.
func TestWhereErrorsAndSecrets(t *testing.T) {
	question := func(change func(q *WhereQuestion)) string {
		q := chatQuestion("engine")
		change(q)
		text, err := json.Marshal(q)
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	}
	ten := 10
	for name, c := range map[string]struct {
		method, body string
		status       int
		reason       string
		unready      bool
	}{
		"answer":               {body: question(func(*WhereQuestion) {}), status: http.StatusOK},
		"by name":              {body: `{"route":"r","organisation":"org-1"}`, status: http.StatusOK},
		"method":               {method: http.MethodGet, body: question(func(*WhereQuestion) {}), status: http.StatusMethodNotAllowed, reason: "method-not-allowed"},
		"no JSON":              {body: "where " + whereKey, status: http.StatusBadRequest, reason: "bad-request"},
		"empty":                {status: http.StatusBadRequest, reason: "bad-request"},
		"unknown field":        {body: `{"route":"r","wehre":1}`, status: http.StatusBadRequest, reason: "bad-request"},
		"two questions":        {body: `{"route":"r"}{"route":"r"}`, status: http.StatusBadRequest, reason: "bad-request"},
		"no route":             {body: `{"host":"h"}`, status: http.StatusBadRequest, reason: "bad-request"},
		"too large":            {body: question(func(q *WhereQuestion) { q.RequestID = strings.Repeat("x", maxQuestionBytes) }), status: http.StatusRequestEntityTooLarge, reason: "too-large"},
		"too many parts":       {body: question(func(q *WhereQuestion) { q.Parts = make([]WherePart, maxQuestionParts+1) }), status: http.StatusBadRequest, reason: "bad-request"},
		"negative part":        {body: question(func(q *WhereQuestion) { q.Parts[0].Tokens = -1 }), status: http.StatusBadRequest, reason: "bad-request"},
		"too many tokens":      {body: question(func(q *WhereQuestion) { q.Tokens = maxQuestionTokens + 1 }), status: http.StatusBadRequest, reason: "bad-request"},
		"negative timeout":     {body: question(func(q *WhereQuestion) { q.TimeoutMillis = -1 }), status: http.StatusBadRequest, reason: "bad-request"},
		"priority":             {body: question(func(q *WhereQuestion) { q.Priority = &ten }), status: http.StatusBadRequest, reason: "bad-request"},
		"unknown route":        {body: question(func(q *WhereQuestion) { q.Path = "/y" }), status: http.StatusNotFound, reason: "unknown-route"},
		"unknown route name":   {body: `{"route":"q"}`, status: http.StatusNotFound, reason: "unknown-route"},
		"unknown organisation": {body: question(func(q *WhereQuestion) { q.Organisation = "org-9" }), status: http.StatusBadRequest, reason: "bad-request"},
		"unknown key":          {body: question(func(q *WhereQuestion) { q.Key += "x" }), status: http.StatusUnauthorized, reason: "unauthorised"},
		"no key":               {body: `{"route":"r"}`, status: http.StatusUnauthorized, reason: "unauthorised"},
		"no configuration":     {body: question(func(*WhereQuestion) {}), unready: true, status: http.StatusServiceUnavailable, reason: "not-ready"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newWhereFleet("engine", 1, 2)[0]
			for range 2 {
				g.ask(chatQuestion("engine")).obtain(context.Background()) // the prompt is cached
			}
			for crash := range uint32(3) {
				g.poison.RecordCrash(crash, time.Now(), []*poison.Attempt{g.poison.Begin(poison.Request{Parts: []uint64{whereDocument}})})
			}
			if c.unready {
				g.table.Store(nil)
			}
			if c.method == "" {
				c.method = http.MethodPost
			}
			w := httptest.NewRecorder()
			g.WhereHandler().ServeHTTP(w, httptest.NewRequest(c.method, "/where", strings.NewReader(c.body)))
			is.Equal(w.Code, c.status)
			for _, secret := range []string{whereKey, formatID(whereDocument), formatID(whereQuery), fmt.Sprint(uint64(whereDocument))} {
				is.True(!strings.Contains(w.Body.String(), secret))
			}
			var got struct{ Error, Outcome string }
			is.NoErr(json.Unmarshal(w.Body.Bytes(), &got))
			is.Equal(got.Error, c.reason)
			is.Equal(got.Outcome == "", c.reason != "")
		})
	}
}

// whereProtocol reads the ID, the key and the document of a request from simple fields.
type whereProtocol struct{ Protocol }

func (whereProtocol) ParseRequest(r *http.Request) (RequestInfo, error) {
	return RequestInfo{ID: "id-1", APIKey: whereKey, Prompt: []pool.PromptPart{{ID: whereDocument, Tokens: 9000}, {ID: whereQuery, Tokens: 100}}, PromptTokens: 9100}, nil
}

func (whereProtocol) SetForwardHeader(http.Header, ForwardInfo) {}

func (whereProtocol) SetResponseHeader(http.Header, *RequestInfo) {}

func (whereProtocol) ParseResponse(*http.Response) ResponseInfo {
	return ResponseInfo{Signed: true, RequestID: "id-1"}
}

// Guards against an answer that differs from where a caller's request arrives: at a gateway that serves HTTP, before instances
// that say who they are, while it has an instance and after all have left.
func TestCallerReachesTheInstanceForetold(t *testing.T) {
	is := is.New(t)
	s := DefaultSettings()
	s.Node, s.CallerAddress, s.ReadyAddress, s.PeerAddress = "r-000", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	g, err := New(s, Dependencies{Protocol: whereProtocol{}, Log: slog.New(slog.DiscardHandler), Counters: kernel.NewCounters()})
	is.NoErr(err)
	table := newWhereFleet("engine", 1, 0)[0].table.Load()
	g.table.Store(table)
	g.admission.configure(table)
	g.registry.SetCacheTokens(map[string]int{"engine": 100_000})
	g.registry.SetFleet(s.Node, []pool.Router{{Name: s.Node}})
	close(g.started)
	var instances []pool.Instance
	for n := range 4 {
		id := fmt.Sprintf("i-%d", n)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			fmt.Fprint(w, id)
		}))
		t.Cleanup(server.Close)
		instances = append(instances, pool.Instance{ID: id, Pool: "engine", Address: server.Listener.Addr().String(), Slots: whereSlots, StartedAt: 1, Sequence: 1})
		g.registry.ApplyEntry(instances[n])
	}
	g.admission.refresh()
	callers := httptest.NewServer(http.HandlerFunc(g.serveCaller))
	t.Cleanup(callers.Close)
	post := func() (int, string, http.Header) {
		request, err := http.NewRequest(http.MethodPost, callers.URL+"/x/1", strings.NewReader("hello"))
		is.NoErr(err)
		request.Host = "h"
		response, err := http.DefaultClient.Do(request)
		is.NoErr(err)
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		return response.StatusCode, string(body), response.Header
	}
	for len(instances) > 0 {
		for range 2 {
			a, fault := g.Where(chatQuestion("engine"))
			is.True(fault == nil)
			is.Equal(a.Outcome, OutcomeRun)
			status, served, _ := post()
			is.Equal(status, http.StatusOK)
			is.Equal(a.Instance.Instance, served)
		}
		// The instance that has the prompt leaves.
		a, _ := g.Where(chatQuestion("engine"))
		n := slices.IndexFunc(instances, func(i pool.Instance) bool { return i.ID == a.Instance.Instance })
		instances[n].Leaving, instances[n].Sequence = true, 2
		g.registry.ApplyEntry(instances[n])
		instances = slices.Delete(instances, n, n+1)
	}
	a, fault := g.Where(chatQuestion("engine"))
	is.True(fault == nil)
	is.Equal(a.Outcome, OutcomeRefuse)
	status, _, header := post()
	is.Equal(status, a.Refusal.Status)
	is.Equal(header.Get("Retry-After"), fmt.Sprintf("%.2f", float64(a.Refusal.RetryAfterMillis)/1000))
}
