package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"jacinthfork.example/jacinthfork/internal/fleettest"
	"jacinthfork.example/jacinthfork/platform/standin"
)

var (
	seedFlag   = flag.Uint64("soak.seed", 1, "first seed")
	countFlag  = flag.Int("soak.count", 1, "number of seeds")
	faultsFlag = flag.Int("soak.faults", 8, "number of faults of a seed")
)

func TestMain(m *testing.M) { fleettest.Main(m) }

// regressions are seeds that failed once, with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{}

const (
	gateways = 3
	plain    = 3
	engines  = 4
	callers  = 12
	host     = "127.0.0.1"
	// leaveBound is the time after which no request may reach a worker whose entry was removed, when
	// nothing is disturbed: the platform's two seconds and one for this machine.
	leaveBound = 3 * time.Second
	// recovery is the platform's bound for everything to be back after the last fault.
	recovery = 12 * time.Second
	// steady is the time over which recovery is measured.
	steady = time.Second
	// callerLimit is how long callers wait.
	callerLimit = 2 * time.Second
)

// fleet is the system under test: gateways as processes, everything else in this process.
type fleet struct {
	t        *testing.T
	random   *rand.Rand
	promises *Promises
	store    *standin.Store
	places   []standin.Place
	nodes    []*fleettest.Process
	starts   []atomic.Int32
	// storeLinks are between each gateway and the store, peerLinks between all other gateways and each one,
	// workerLinks between all gateways and a worker.
	storeLinks  []*fleettest.Relay
	peerLinks   []*fleettest.Relay
	workers     []*standin.Worker
	workerLinks []*fleettest.Relay
	version     atomic.Int32
	requests    atomic.Int64
	process     sync.Mutex
}

func newFleet(t *testing.T, seed uint64) *fleet {
	f := &fleet{t: t, random: rand.New(rand.NewPCG(seed, 1)), promises: NewPromises(), store: standin.NewStore(), starts: make([]atomic.Int32, gateways)}
	t.Cleanup(f.store.Close)
	f.configure()
	for n := range plain + engines {
		f.addWorker(n)
	}
	var seeds []string
	for n := range gateways {
		link := fleettest.NewRelay(t, host, f.store.Address())
		f.storeLinks = append(f.storeLinks, link)
		place := standin.Place{
			Name: fmt.Sprintf("node-%d", n), Callers: fleettest.Address(t, host), Ready: fleettest.Address(t, host),
			Peers: fleettest.Address(t, host), Metrics: fleettest.Address(t, host), StoreAddress: link.Address(),
			Seeds: seeds, StopTime: 6 * time.Second, RetryRatio: 0.2, RetrySlack: 50,
		}
		peers := fleettest.NewRelay(t, host, place.Peers)
		f.peerLinks = append(f.peerLinks, peers)
		seeds = append(seeds, peers.Address())
		environment, err := place.WriteSettings(filepath.Join(t.TempDir(), "settings.json"))
		if err != nil {
			t.Fatal(err)
		}
		f.places = append(f.places, place)
		f.nodes = append(f.nodes, fleettest.Start(t, fleettest.Spec{
			Program: "jacinthfork-gateway", Name: place.Name, Args: []string{"--peer-advertise", peers.Address()}, Env: []string{environment}, ReadyURL: place.ReadyURL(),
		}))
	}
	return f
}

// configure publishes the next configuration, whose version shows as a route.
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
	f.store.Configure(version, routes)
}

func (f *fleet) addWorker(n int) {
	pool := "plain"
	if n >= plain {
		pool = "engine"
	}
	w := standin.NewWorker(fmt.Sprintf("w-%d-%d", n, len(f.workers)), pool, "zone-a")
	f.t.Cleanup(w.Crash)
	healthy(w)
	link := fleettest.NewRelay(f.t, host, w.Address())
	f.workers = append(f.workers, w)
	f.workerLinks = append(f.workerLinks, link)
	f.store.Publish(w, "ready", link.Address())
}

func healthy(w *standin.Worker) { misbehave(w, standin.Behaviour{}) }

// misbehave makes a worker answer each request with its own answer, and with the given fault.
func misbehave(w *standin.Worker, fault standin.Behaviour) {
	w.Behave(func(r *http.Request) standin.Behaviour {
		b := fault
		b.Body = Answer(standin.RequestID(r))
		if w.Pool == "engine" {
			b.Events, b.EventGap = streamEvents, 10*time.Millisecond
		}
		return b
	})
}

// call sends requests to random gateways until ctx ends, on connections that are kept.
func (f *fleet) call(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2))
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	for ctx.Err() == nil {
		r, ask := f.request(random)
		f.promises.Sending(r)
		// The request outlives the end of the soak, so that its answer is checked.
		limited, cancel := context.WithTimeout(context.Background(), 3*callerLimit)
		f.promises.Replied(r, ask.Do(limited, transport, f.places[random.IntN(gateways)].Callers))
		cancel()
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	}
}

func (f *fleet) request(random *rand.Rand) (Request, standin.Ask) {
	r := Request{ID: fmt.Sprintf("id-%d", f.requests.Add(1)), Kind: Kind(random.IntN(3))}
	path := [...]string{"/pay/", "/read/", "/chat/"}[r.Kind]
	return r, standin.Ask{ID: r.ID, Method: http.MethodPost, Path: path + "x", Body: r.ID, Limit: callerLimit}
}

// watchVersions asks each gateway for its newest configuration until ctx ends.
func (f *fleet) watchVersions(ctx context.Context) {
	transport := &http.Transport{DisableKeepAlives: true}
	for ctx.Err() == nil {
		for n := range gateways {
			process := fmt.Sprintf("node-%d start %d", n, f.starts[n].Load())
			for v := int(f.version.Load()); v > 0; v-- {
				r := Request{ID: fmt.Sprintf("id-%d", f.requests.Add(1)), Kind: Repeatable}
				f.promises.Sending(r)
				limited, cancel := context.WithTimeout(ctx, callerLimit)
				reply := standin.Ask{ID: r.ID, Method: http.MethodGet, Path: fmt.Sprintf("/v%d/", v), Limit: callerLimit}.Do(limited, transport, f.places[n].Callers)
				cancel()
				if reply.Status == 0 || reply.Status == http.StatusServiceUnavailable {
					break
				}
				if reply.Status != http.StatusNotFound {
					if process == fmt.Sprintf("node-%d start %d", n, f.starts[n].Load()) {
						f.promises.Showed(process, v)
					}
					break
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// soak runs one seed and returns the broken promises. prepare changes the fleet before it is used.
func soak(t *testing.T, seed uint64, faults int, prepare func(f *fleet)) []string {
	f := newFleet(t, seed)
	prepare(f)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var running sync.WaitGroup
	for n := range callers {
		running.Go(func() { f.call(ctx, seed*100+uint64(n)) })
	}
	running.Go(func() { f.watchVersions(ctx) })
	var series sync.WaitGroup
	for range faults {
		fault := f.draw()
		series.Go(fault)
		// Faults overlap: the next one begins while this one lasts, as often as not.
		time.Sleep(time.Duration(f.random.IntN(900)) * time.Millisecond)
	}
	series.Wait()
	f.checkRecovery()
	f.checkLeaving()
	cancel()
	running.Wait()
	var arrivals []standin.Arrival
	for _, w := range f.workers {
		arrivals = append(arrivals, w.Arrivals()...)
	}
	f.promises.Ran(arrivals)
	t.Logf("seed %d: %d requests, %d served", seed, f.requests.Load(), f.promises.Served())
	return f.promises.Broken()
}

// checkRecovery waits until all gateways are ready and then counts what is served.
func (f *fleet) checkRecovery() {
	for end := time.Now().Add(recovery); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if f.trial(steady/10) == nil {
			break
		}
	}
	var served, all atomic.Int64
	var done sync.WaitGroup
	for range callers {
		done.Go(func() {
			for end := time.Now().Add(steady); time.Now().Before(end); {
				all.Add(1)
				if f.trial(0) == nil {
					served.Add(1)
				}
			}
		})
	}
	done.Wait()
	f.promises.Recovered(int(served.Load()), int(all.Load()))
}

// trial sends a repeatable request to each gateway and returns an error when one is not served.
func (f *fleet) trial(pause time.Duration) error {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	for n := range gateways {
		r := Request{ID: fmt.Sprintf("id-%d", f.requests.Add(1)), Kind: Repeatable}
		f.promises.Sending(r)
		ctx, cancel := context.WithTimeout(context.Background(), callerLimit)
		reply := standin.Ask{ID: r.ID, Method: http.MethodPost, Path: "/read/x", Limit: callerLimit}.Do(ctx, transport, f.places[n].Callers)
		cancel()
		f.promises.Replied(r, reply)
		if reply.Err != nil || reply.Status != http.StatusOK {
			return fmt.Errorf("node-%d answers %d: %v", n, reply.Status, reply.Err)
		}
	}
	time.Sleep(pause)
	return nil
}

// checkLeaving takes a worker away while nothing is disturbed.
func (f *fleet) checkLeaving() {
	leaver := f.workers[0]
	f.store.Withdraw(leaver)
	since := time.Now()
	var late []time.Time
	seen := len(leaver.Arrivals())
	for time.Since(since) < leaveBound+steady {
		time.Sleep(10 * time.Millisecond)
		if n := len(leaver.Arrivals()); n > seen {
			late = append(late, time.Now())
			seen = n
		}
	}
	f.promises.Left(leaver.ID, since, leaveBound, late)
	f.store.Publish(leaver, "ready", f.workerLinks[0].Address())
}

// TestRegressions repeats the seeds that failed once.
func TestRegressions(t *testing.T) {
	for _, r := range regressions {
		t.Run(fmt.Sprint(r.seed), func(t *testing.T) { run(t, r.seed) })
	}
}

// TestSoak runs seeds; -soak.count sets how many.
func TestSoak(t *testing.T) {
	for n := range *countFlag {
		seed := *seedFlag + uint64(n)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { run(t, seed) })
	}
}

func run(t *testing.T, seed uint64) {
	t.Parallel()
	for _, text := range soak(t, seed, *faultsFlag, func(*fleet) {}) {
		t.Errorf("seed %d: %s", seed, text)
	}
}

// stopped is the signal by which the platform stops a process.
const stopped = syscall.SIGTERM
