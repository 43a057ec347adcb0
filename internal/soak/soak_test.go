package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"path"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"jacinthfork.example/jacinthfork/internal/fleettest"
	"jacinthfork.example/jacinthfork/internal/httpcheck"
	"jacinthfork.example/jacinthfork/platform/standin"
)

var (
	seedFlag   = flag.Uint64("soak.seed", 1, "first seed")
	countFlag  = flag.Int("soak.count", 1, "number of seeds")
	faultsFlag = flag.Int("soak.faults", 8, "number of faults per seed, or per gateway where the configuration changes")
)

func TestMain(m *testing.M) { fleettest.Main(m) }

// regressions lists the seeds that have failed, with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{25, "a relay passed a reset on as an orderly end"},
}

const (
	gatewayCount  = 3
	plainWorkers  = 3
	engineWorkers = 4
	callerCount   = 12
	// contendedSlots is the number of slots of an engine in the seeds with a contended pool: fewer than the streams of the callers.
	contendedSlots = 1
	// withdrawalBound is the time after which no request may reach a worker whose entry was removed, in the
	// absence of faults: the platform allows two seconds, and one more is for a slow test machine.
	withdrawalBound = 3 * time.Second
	// recoveryTimeout is the platform's limit for full recovery after the last fault.
	recoveryTimeout = 12 * time.Second
	// recoveryWindow is the time over which the share of served requests is measured after recovery.
	recoveryWindow = time.Second
	// callerTimeout is the deadline that callers set on a request.
	callerTimeout = 2 * time.Second
)

// fleet is the system under test. The gateways are processes; workers, store and callers run in the test
// process.
type fleet struct {
	t   *testing.T
	rng *rand.Rand
	// host is the IP address of the gateways and links.
	host    string
	checker *Checker
	store   *standin.Store
	configs []standin.RouterConfig
	nodes   []*fleettest.Process
	// incarnations is incremented at each end and each start of a gateway.
	incarnations []atomic.Int32
	// storeLinks[n] connects gateway n to the store, peerLinks[n] connects the other gateways to gateway n,
	// and workerLinks[n] connects all gateways to worker n.
	storeLinks  []*fleettest.Relay
	peerLinks   []*fleettest.Relay
	workers     []*standin.Worker
	workerLinks []*fleettest.Relay
	version     atomic.Int32
	requests    atomic.Int64
	// nodeMu[n] serialises faults that signal, end or restart gateway n, and workerMu those that restart a worker.
	nodeMu   [gatewayCount]sync.Mutex
	workerMu sync.Mutex
	// contended is set if the engines have so few slots that their pool is contended, and the gateways limit it then.
	contended bool
	// ends are the ends of gateway processes.
	endsMu sync.Mutex
	ends   []processEnd
}

func newFleet(t *testing.T, seed uint64) *fleet {
	f := &fleet{t: t, rng: rand.New(rand.NewPCG(seed, 1)), host: fleettest.LoopbackIP(t), checker: NewChecker(), store: standin.NewStore(), incarnations: make([]atomic.Int32, gatewayCount)}
	f.contended = seed%2 == 0
	t.Cleanup(f.store.Close)
	f.configure()
	for n := range plainWorkers + engineWorkers {
		f.addWorker(n)
	}
	var seeds []string
	for n := range gatewayCount {
		link := fleettest.NewRelay(t, f.host, f.store.Address())
		f.storeLinks = append(f.storeLinks, link)
		config := standin.RouterConfig{
			Name: fmt.Sprintf("node-%d", n), CallerAddress: fleettest.FreeAddress(t, f.host), ReadyAddress: fleettest.FreeAddress(t, f.host),
			PeerAddress: fleettest.FreeAddress(t, f.host), MetricsAddress: fleettest.FreeAddress(t, f.host), StoreAddress: link.Address(),
			Seeds: seeds, GracePeriod: 6 * time.Second, RetryRatio: 0.2, RetrySlack: 50,
		}
		if f.contended {
			config.Contracts = []string{"pressure"}
		}
		peers := fleettest.NewRelay(t, f.host, config.PeerAddress)
		f.peerLinks = append(f.peerLinks, peers)
		seeds = append(seeds, peers.Address())
		environment, err := config.WriteSettings(filepath.Join(t.TempDir(), "settings.json"))
		if err != nil {
			t.Fatal(err)
		}
		f.configs = append(f.configs, config)
		f.nodes = append(f.nodes, fleettest.Start(t, fleettest.Spec{
			Program: "jacinthfork-gateway", Name: config.Name, Args: []string{"--peer-advertise", peers.Address()}, Env: []string{environment}, ReadyURL: config.ReadyURL(),
		}))
	}
	return f
}

// configure publishes the next configuration. Version n adds the route /vn/, by which watchVersions
// recognises it.
func (f *fleet) configure() {
	version := int(f.version.Add(1))
	routes := []standin.Route{
		{Prefix: "/pay/", Mode: "non_idempotent", Pool: "plain", Timeout: 1500 * time.Millisecond},
		{Prefix: "/read/", Mode: "idempotent", Pool: "plain", Attempts: 2, Timeout: 1500 * time.Millisecond},
		{Prefix: "/chat/", Mode: "streaming", Pool: "engine", Attempts: 2, Resumable: true, Timeout: 4 * time.Second},
	}
	for n := 1; n <= version; n++ {
		routes = append(routes, standin.Route{Prefix: fmt.Sprintf("/v%d/", n), Mode: "idempotent", Pool: "plain", Timeout: time.Second})
	}
	c := standin.Configuration{Version: version, Routes: routes}
	if f.contended {
		c.EngineSlots = map[string]int{"engine": contendedSlots}
	}
	f.store.Configure(c)
}

func (f *fleet) addWorker(n int) {
	pool := "plain"
	if n >= plainWorkers {
		pool = "engine"
	}
	f.addWorkerTo(pool)
}

func (f *fleet) addWorkerTo(pool string) {
	n := len(f.workers)
	w := standin.NewWorker(fmt.Sprintf("w-%d-%d", n, n), pool, "zone-a")
	if f.contended && strings.HasPrefix(pool, "engine") {
		w.Slots = contendedSlots
	}
	f.t.Cleanup(w.Crash)
	setHealthy(w)
	link := fleettest.NewRelay(f.t, f.host, w.Address())
	f.workers = append(f.workers, w)
	f.workerLinks = append(f.workerLinks, link)
	f.store.Publish(w, "ready", link.Address())
}

func setHealthy(w *standin.Worker) { setBehaviour(w, standin.Behaviour{}) }

// setBehaviour makes a worker respond to each request with the body expected for it and the given fault. A number at the
// end of the path is the delay in milliseconds.
func setBehaviour(w *standin.Worker, fault standin.Behaviour) {
	w.SetBehaviourFunc(func(r *http.Request) standin.Behaviour {
		b := fault
		b.Body = Answer(standin.RequestID(r))
		if delay, err := strconv.Atoi(path.Base(r.URL.Path)); err == nil {
			b.Delay = time.Duration(delay) * time.Millisecond
		}
		if strings.HasPrefix(w.Pool, "engine") {
			b.Events, b.EventGap = streamEvents, 10*time.Millisecond
			b.InstanceLoad = fmt.Sprintf("1,0,%d,100", w.Slots)
		}
		return b
	})
}

// sendRequests sends requests to random gateways until ctx ends, over persistent connections.
func (f *fleet) sendRequests(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 2))
	transport := httpcheck.Transport(&http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1})
	defer transport.CloseIdleConnections()
	for ctx.Err() == nil {
		r, ask := f.nextRequest(rng)
		f.checker.RecordRequest(r)
		// The request does not inherit ctx, so that a response in progress at the end of the soak is checked
		// too.
		replyCtx, cancel := context.WithTimeout(context.Background(), 3*callerTimeout)
		f.checker.CheckReply(r, ask.Send(replyCtx, transport, f.configs[rng.IntN(gatewayCount)].CallerAddress))
		cancel()
		time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
	}
}

func (f *fleet) nextRequest(rng *rand.Rand) (Request, standin.CallerRequest) {
	r := Request{ID: fmt.Sprintf("id-%d", f.requests.Add(1)), Kind: Kind(rng.IntN(3))}
	path := [...]string{"/pay/", "/read/", "/chat/"}[r.Kind]
	return r, standin.CallerRequest{ID: r.ID, Method: http.MethodPost, Path: path + "x", Body: r.ID, Timeout: callerTimeout}
}

// watchVersions polls each gateway for its newest configuration version until ctx ends. It discards the
// result when the gateway was restarted meanwhile.
func (f *fleet) watchVersions(ctx context.Context) {
	transport := httpcheck.Transport(&http.Transport{DisableKeepAlives: true})
	for ctx.Err() == nil {
		for n := range gatewayCount {
			process := fmt.Sprintf("node-%d start %d", n, f.incarnations[n].Load())
			for v := int(f.version.Load()); v > 0; v-- {
				r := Request{ID: fmt.Sprintf("id-%d", f.requests.Add(1)), Kind: Idempotent}
				f.checker.RecordRequest(r)
				replyCtx, cancel := context.WithTimeout(ctx, callerTimeout)
				reply := standin.CallerRequest{ID: r.ID, Method: http.MethodGet, Path: fmt.Sprintf("/v%d/", v), Timeout: callerTimeout}.Send(replyCtx, transport, f.configs[n].CallerAddress)
				cancel()
				if reply.Status == 0 || reply.Status == http.StatusServiceUnavailable {
					break
				}
				if reply.Status != http.StatusNotFound {
					if process == fmt.Sprintf("node-%d start %d", n, f.incarnations[n].Load()) {
						f.checker.CheckVersion(process, v)
					}
					break
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// runSoak runs one seed and returns the violations. prepare can change the fleet before requests are sent.
func runSoak(t *testing.T, seed uint64, faults int, prepare func(f *fleet)) []string {
	f := newFleet(t, seed)
	prepare(f)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var running sync.WaitGroup
	for n := range callerCount {
		running.Go(func() { f.sendRequests(ctx, seed*100+uint64(n)) })
	}
	running.Go(func() { f.watchVersions(ctx) })
	var faultsRunning sync.WaitGroup
	for range faults {
		fault := f.drawFault()
		faultsRunning.Go(fault)
		// The next fault often starts while this one is still active, so that faults overlap.
		time.Sleep(time.Duration(f.rng.IntN(900)) * time.Millisecond)
	}
	faultsRunning.Wait()
	f.checkRecovery()
	f.checkWithdrawal()
	cancel()
	running.Wait()
	var arrivals []standin.Arrival
	for _, w := range f.workers {
		arrivals = append(arrivals, w.Arrivals()...)
	}
	f.checker.CheckExecutions(arrivals)
	t.Logf("seed %d: %d requests, %d served", seed, f.requests.Load(), f.checker.ServedCount())
	return f.checker.Violations()
}

// checkRecovery waits until all gateways serve requests, then measures the share of requests that are served.
func (f *fleet) checkRecovery() {
	for end := time.Now().Add(recoveryTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if f.probe(recoveryWindow/10) == nil {
			break
		}
	}
	var served, all atomic.Int64
	var done sync.WaitGroup
	for range callerCount {
		done.Go(func() {
			for end := time.Now().Add(recoveryWindow); time.Now().Before(end); {
				all.Add(1)
				if f.probe(0) == nil {
					served.Add(1)
				}
			}
		})
	}
	done.Wait()
	f.checker.CheckRecovery(int(served.Load()), int(all.Load()))
}

// probe sends an idempotent request to each gateway and returns an error if one is not served. It sleeps for
// pause after a success.
func (f *fleet) probe(pause time.Duration) error {
	transport := httpcheck.Transport(&http.Transport{DisableKeepAlives: true, DisableCompression: true})
	for n := range gatewayCount {
		r := Request{ID: fmt.Sprintf("id-%d", f.requests.Add(1)), Kind: Idempotent}
		f.checker.RecordRequest(r)
		ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
		reply := standin.CallerRequest{ID: r.ID, Method: http.MethodPost, Path: "/read/x", Timeout: callerTimeout}.Send(ctx, transport, f.configs[n].CallerAddress)
		cancel()
		f.checker.CheckReply(r, reply)
		if reply.Err != nil || reply.Status != http.StatusOK {
			return fmt.Errorf("node-%d answers %d: %v", n, reply.Status, reply.Err)
		}
	}
	time.Sleep(pause)
	return nil
}

// checkWithdrawal withdraws a worker while no fault is active and checks that requests to it stop.
func (f *fleet) checkWithdrawal() {
	withdrawn := f.workers[0]
	f.store.Withdraw(withdrawn)
	since := time.Now()
	var late []time.Time
	seen := len(withdrawn.Arrivals())
	for time.Since(since) < withdrawalBound+recoveryWindow {
		time.Sleep(10 * time.Millisecond)
		if n := len(withdrawn.Arrivals()); n > seen {
			late = append(late, time.Now())
			seen = n
		}
	}
	f.checker.CheckWithdrawal(withdrawn.ID, since, withdrawalBound, late)
	f.store.Publish(withdrawn, "ready", f.workerLinks[0].Address())
}

// TestRegressions runs the seeds that have failed.
func TestRegressions(t *testing.T) {
	for _, r := range regressions {
		t.Run(fmt.Sprint(r.seed), func(t *testing.T) { runSeed(t, r.seed) })
	}
}

// TestSoak runs -soak.count seeds, starting at -soak.seed.
func TestSoak(t *testing.T) {
	for n := range *countFlag {
		seed := *seedFlag + uint64(n)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSeed(t, seed) })
	}
}

func runSeed(t *testing.T, seed uint64) {
	t.Parallel()
	for _, text := range runSoak(t, seed, *faultsFlag, func(*fleet) {}) {
		t.Errorf("seed %d: %s", seed, text)
	}
}
