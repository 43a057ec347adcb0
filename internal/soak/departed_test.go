package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"jacinthfork.example/jacinthfork/internal/fleettest"
	"jacinthfork.example/jacinthfork/internal/httpcheck"
	"jacinthfork.example/jacinthfork/platform/standin"
)

const (
	// leaverCount is the number of workers that leave for good, and joinCount that of the gateways that are added meanwhile.
	leaverCount = 6
	joinCount   = 2
	// joinedRequests is how many requests an added gateway gets in a check. A worker in use gets one in ten or more.
	joinedRequests = 100
	// heartbeat is how often a draining worker is published, and lateWriteBeat the publication before which one of its lifetime
	// before is done: as late as a call of the store may be executed.
	heartbeat     = 1200 * time.Millisecond
	lateWriteBeat = 3
)

// departures are workers that leave for good while the store deletes its history, beside gateways that are added.
type departures struct {
	*fleet
	leavers []*standin.Worker
	// addresses are those at which the leavers are published.
	addresses []string
	// draining counts the leavers that are published as draining.
	draining sync.WaitGroup
	mu       sync.Mutex
	joined   []standin.RouterConfig
}

func newDepartures(t *testing.T, seed uint64) *departures {
	d := &departures{fleet: newFleet(t, seed)}
	known := len(d.workers)
	for n := range leaverCount {
		d.addWorkerTo([]string{"plain", "engine"}[n%2])
	}
	// The faults of workers, some of which publish them again, do not concern those that leave.
	d.leavers, d.workers = d.workers[known:], d.workers[:known]
	for _, link := range d.workerLinks[known:] {
		d.addresses = append(d.addresses, link.Address())
	}
	return d
}

// leaveOneByOne restarts the leavers under their IDs, after their clocks were set, and lets them leave: most entries are removed, in
// the same moment as the history or by a record, the others report draining. They go on serving.
func (d *departures) leaveOneByOne(ctx context.Context, rng *rand.Rand) {
	for n, w := range d.leavers {
		time.Sleep(time.Duration(rng.IntN(900)) * time.Millisecond)
		earlier := w.Entry("ready")
		earlier["addr"] = d.addresses[n]
		w.Crash()
		w.RestartAt(w.Address(), drawClockStep(rng))
		d.store.Publish(w, "ready", d.addresses[n])
		time.Sleep(time.Duration(rng.IntN(900)) * time.Millisecond)
		switch rng.IntN(3) {
		case 0:
			d.store.Withdraw(w)
		case 1:
			d.draining.Go(func() { d.drain(ctx, n, earlier) })
		default:
			d.store.Forget(standin.InstanceTopic, w.ID)
		}
	}
}

// drain publishes a leaver as draining until ctx ends. A write of its lifetime before is done late, in between.
func (d *departures) drain(ctx context.Context, n int, earlier map[string]any) {
	for beat := 0; ctx.Err() == nil; beat++ {
		if beat == lateWriteBeat {
			d.store.PutJSON(standin.InstanceTopic, d.leavers[n].ID, earlier)
			time.Sleep(heartbeat / 2)
		}
		d.store.Publish(d.leavers[n], "draining", d.addresses[n])
		time.Sleep(heartbeat)
	}
}

// join adds a gateway to the fleet and waits until it is ready.
func (d *departures) join(n int) {
	config := d.configs[0]
	config.Name = fmt.Sprintf("node-joined-%d", n)
	config.StoreAddress, config.Seeds = d.store.Address(), nil
	for _, link := range d.peerLinks {
		config.Seeds = append(config.Seeds, link.Address())
	}
	for _, address := range []*string{&config.CallerAddress, &config.ReadyAddress, &config.PeerAddress, &config.MetricsAddress} {
		*address = fleettest.FreeAddress(d.t, d.host)
	}
	environment, err := config.WriteSettings(filepath.Join(d.t.TempDir(), "settings.json"))
	if err != nil {
		d.checker.Violation(err.Error())
		return
	}
	process := fleettest.Launch(d.t, fleettest.Spec{Program: "jacinthfork-gateway", Name: config.Name, Env: []string{environment}, ReadyURL: config.ReadyURL()})
	for end := time.Now().Add(recoveryTimeout); !ready(config) && time.Now().Before(end) && process.Running(); {
		time.Sleep(20 * time.Millisecond)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.joined = append(d.joined, config)
}

// ready reports whether a gateway says that it is ready.
func ready(config standin.RouterConfig) bool {
	resp, err := http.Get(config.ReadyURL())
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (d *departures) arrivals() (all int) {
	for _, w := range d.leavers {
		all += len(w.Arrivals())
	}
	return all
}

// checkGone checks that no gateway sends requests to a worker that has left, while no fault is active. The callers' requests go to
// the gateways of the fleet, and those of this function to the added ones.
func (d *departures) checkGone(occasion string) {
	time.Sleep(withdrawalBound)
	before := d.arrivals()
	transport := httpcheck.Transport(&http.Transport{DisableCompression: true})
	defer transport.CloseIdleConnections()
	d.mu.Lock()
	joined := d.joined
	d.mu.Unlock()
	for _, config := range joined {
		var served atomic.Int64
		var asking sync.WaitGroup
		for n := range joinedRequests {
			asking.Go(func() {
				r := Request{ID: fmt.Sprintf("id-%d", d.requests.Add(1)), Kind: Idempotent}
				ask := standin.CallerRequest{ID: r.ID, Method: http.MethodPost, Path: "/read/x", Body: r.ID, Timeout: callerTimeout}
				if n%2 == 0 {
					r.Kind, ask.Path = Stream, "/chat/x"
				}
				d.checker.RecordRequest(r)
				reply := ask.Send(context.Background(), transport, config.CallerAddress)
				d.checker.CheckReply(r, reply)
				if reply.Status == http.StatusOK {
					served.Add(1)
				}
			})
		}
		asking.Wait()
		d.t.Logf("%s, %s: %d of %d served", occasion, config.Name, served.Load(), joinedRequests)
		if served.Load() == 0 {
			d.checker.Violation(fmt.Sprintf("%s: %s serves nothing", occasion, config.Name))
		}
	}
	time.Sleep(recoveryWindow)
	if late := d.arrivals() - before; late > 0 {
		d.checker.Violation(fmt.Sprintf("%s: %d requests reached departed workers", occasion, late))
	}
}

// runDepartures runs one seed and returns the violations.
func runDepartures(t *testing.T, seed uint64, faults int) []string {
	d := newDepartures(t, seed)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var callers, events sync.WaitGroup
	for n := range callerCount {
		callers.Go(func() { d.sendRequests(ctx, seed*100+uint64(n)) })
	}
	events.Go(func() { d.leaveOneByOne(ctx, rand.New(rand.NewPCG(seed, 5))) })
	for n := range joinCount {
		delay := time.Duration(d.rng.IntN(5000)) * time.Millisecond
		events.Go(func() {
			time.Sleep(delay)
			d.join(n)
		})
	}
	for range faults {
		events.Go(d.drawFault())
		time.Sleep(time.Duration(d.rng.IntN(900)) * time.Millisecond)
	}
	events.Wait()
	d.checkRecovery()
	d.checkGone("after the faults")
	for n := range gatewayCount {
		d.restart(n, syscall.SIGTERM)
	}
	d.join(joinCount)
	d.checkRecovery()
	d.checkGone("after all were restarted in turn")
	cancel()
	callers.Wait()
	d.draining.Wait()
	var arrivals []standin.Arrival
	for _, w := range append(d.workers, d.leavers...) {
		arrivals = append(arrivals, w.Arrivals()...)
	}
	d.checker.CheckExecutions(arrivals)
	t.Logf("seed %d: %d requests, %d served, %d at workers before they left", seed, d.requests.Load(), d.checker.ServedCount(), d.arrivals())
	return d.checker.Violations()
}

// Guards against gateways that use a worker which has left for good, after the store has deleted its history beside restarts,
// pauses, outages and gateways that are added. It runs -soak.count seeds, starting at -soak.seed.
func TestDepartedWorkersStayGone(t *testing.T) {
	for n := range *countFlag {
		seed := *seedFlag + uint64(n)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			for _, text := range runDepartures(t, seed, *faultsFlag) {
				t.Errorf("seed %d: %s", seed, text)
			}
		})
	}
}

// Guards against a soak that does not notice requests to a worker that has left.
func TestUseOfDepartedWorkersIsDetected(t *testing.T) {
	t.Parallel()
	d := newDepartures(t, 1)
	d.join(0)
	d.checkGone("before they leave")
	is.New(t).True(strings.Contains(strings.Join(d.checker.Violations(), "\n"), "reached departed workers"))
}
