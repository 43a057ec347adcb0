// Package gateway implements a router that connects to backend servers directly, for deployments where any
// client may call a backend server and no sidecar runs beside it. Where each backend server has a sidecar,
// packages router and sidecar are used instead.
//
// Admission, fair shares, the retry budget and the table of crash suspects are the same as in the sidecar. A
// sidecar sees all requests to its backend server; a gateway combines its own requests with what the other
// gateways report through package peer.
//
// Each request is served by a single goroutine: match and authorise (serve.go), wait for admission
// (admit.go), choose and try an instance (attempt.go), relay the response or the events (relay.go,
// stream.go). The decisions are made in packages routes, pool, admission, retry and suspect, which do no I/O.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"jacinthfork.example/jacinthfork/gateway/backend"
	"jacinthfork.example/jacinthfork/gateway/buffer"
	"jacinthfork.example/jacinthfork/gateway/extrawork"
	"jacinthfork.example/jacinthfork/gateway/feed"
	"jacinthfork.example/jacinthfork/gateway/memory"
	"jacinthfork.example/jacinthfork/gateway/overload"
	"jacinthfork.example/jacinthfork/gateway/peer"
	"jacinthfork.example/jacinthfork/gateway/peer/peerpb"
	"jacinthfork.example/jacinthfork/gateway/poison"
	"jacinthfork.example/jacinthfork/gateway/pool"
	"jacinthfork.example/jacinthfork/gateway/routes"
	"jacinthfork.example/jacinthfork/internal/callerconn"
	"jacinthfork.example/jacinthfork/internal/connlimit"
	"jacinthfork.example/jacinthfork/internal/socket"
	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/traffic"
)

// Dependencies holds the dependencies that a deployment provides.
type Dependencies struct {
	Protocol Protocol
	Decoder  Decoder
	Source   feed.Source
	// Directory is used to discover the other routers. It may be nil.
	Directory Directory
	Log       *slog.Logger
	Counters  *kernel.Counters
}

// Directory stores the addresses of all routers for discovery.
type Directory interface {
	// Register publishes the address of a router.
	Register(ctx context.Context, node, address string) error
	// Routers returns the published addresses, which may include routers that no longer run.
	Routers(ctx context.Context) ([]string, error)
}

// Gateway is one router of the fleet.
type Gateway struct {
	settings Settings
	env      Dependencies
	log      *slog.Logger

	table         atomic.Pointer[routes.Table]
	registry      *pool.Registry
	connections   *backend.Pool
	memory        *memory.Account
	limits        *callerLimits
	buffers       *buffer.Budget
	poison        *poison.Table
	crashes       *crashDetector
	admission     *admissionControllers
	budgets       *retryBudgets
	extraWork     *extrawork.Decider
	overload      *overload.Controller
	configuration *feed.Follower
	instances     *feed.Follower
	peers         *peer.Fleet
	keepers       keeperLink
	reservations  *reservations
	places        *places
	asks          askLimits
	// refusingPools are the pools of which requests are refused without asking a keeper. It belongs to maintain.
	refusingPools map[string]bool
	// contendedPools are the pools of engines whose requests wait at keepers. It belongs to maintain.
	contendedPools map[string]bool
	// sumsKnown is set while the fleet's response times are known. It belongs to maintain.
	sumsKnown bool
	// overloaded is set while requests are refused for want of processor time. It belongs to maintain.
	overloaded bool
	// self is this router as MembersChanged was told of it last. A later version means that it was taken for lost.
	self    *peerpb.Member
	callers *callerconn.Tracker
	metrics *metrics
	pauses  pauseDetector

	// started is closed once the router is ready for the first time, or StartHold after its start.
	started chan struct{}
	leaving atomic.Bool
	// refusing is set when it is too late in a stop for a request that has just been read.
	refusing atomic.Bool
	// lastAnswer is when a router that stops gives up the requests that are not answered. It is nil until requests are refused
	// that were sent to no instance yet and may last longer: those of unsent end then with errStopped.
	lastAnswer atomic.Pointer[time.Time]
	unsent     requestGroup
	// requests is the context of all callers' requests. endRequests cancels it with errStopped.
	requests    context.Context
	endRequests context.CancelCauseFunc
	// unanswered are the requests whose response has not begun.
	unanswered     requestGroup
	callerServer   *http.Server
	readyServer    *http.Server
	callerListener *callerconn.Listener
	readyListener  *connlimit.Listener
}

// New returns a gateway that is not listening yet.
func New(settings Settings, env Dependencies) (*Gateway, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	g := &Gateway{
		settings:    settings,
		env:         env,
		log:         env.Log,
		registry:    pool.NewRegistry(settings.Pool, settings.FailureDomain),
		connections: backend.NewPool(),
		poison:      poison.NewTable(),
		budgets:     newRetryBudgets(settings),
		extraWork:   extrawork.New(settings.ExtraWork),
		overload:    overload.New(rand.Float64),
		callers:     callerconn.NewTracker(),
		metrics:     newMetrics(env.Counters),
		started:     make(chan struct{}),
	}
	g.memory = memory.New(memory.Settings{Limit: settings.MemoryBytes, BodyStall: settings.BodyStall})
	g.buffers = buffer.NewBudget(totalBufferBytes, g.memory.Part(memory.Responses))
	g.limits = newCallerLimits(g)
	g.connections.Limit(int64(settings.ServingConnections), g.limits.open.Load)
	g.requests, g.endRequests = context.WithCancelCause(context.Background())
	g.crashes = newCrashDetector(func(i pool.Instance, at time.Time, failed []failedRequest) {
		g.recordCrash(i, at, failed)
		g.peers.Changed()
	})
	g.admission = newAdmissionControllers(g.registry)
	g.configuration = feed.NewFollower(feed.Configuration, env.Source, &configurationSink{g: g}, settings.ConfigurationPollPolicy)
	g.instances = feed.NewFollower(feed.Instances, env.Source, &instancesSink{g: g}, settings.InstancesPollPolicy)
	for _, f := range []*feed.Follower{g.configuration, g.instances} {
		f.OnAvailabilityChange = g.logStoreState
		f.OnFailure = g.countStoreFailure
		f.OnLoad = g.logFeedLoaded
		f.OnAdvance = func() { g.peers.Changed() }
		f.SetRank(g.rankBeforeContact())
		f.StartWait = g.startWait()
	}
	g.peers = peer.New(settings.Node, settings.PeerAddress, settings.PeerAdvertise, g, traffic.NewMeter(env.Counters))
	g.peers.MaxConnections = settings.PeerConnections
	g.keepers = g.peers
	g.places = newPlaces()
	g.places.onQueue = g.metrics.recordQueueEvent
	g.reservations = newReservations(g.registry, g.keepers, g.places)
	g.publishCounters()
	return g, nil
}

// Ready reports whether the health check passes: the router knows a configuration and an instance, and is not
// leaving. A leaving router still serves requests.
func (g *Gateway) Ready() bool {
	if g.leaving.Load() || g.table.Load() == nil {
		return false
	}
	known := false
	g.instances.WithLock(func() { known = g.registry.HasInstances() })
	return known
}

// startCheckInterval is how often a router that has just started checks whether it is ready.
const startCheckInterval = 5 * time.Millisecond

// StoreChanged makes the gateway read the store at once if its last reads failed: the store has moved.
func (g *Gateway) StoreChanged() {
	for _, f := range g.followers() {
		f.follower.SourceChanged()
	}
}

// awaitReady closes started once the router is ready or has been up for StartHold.
func (g *Gateway) awaitReady(ctx context.Context) {
	defer close(g.started)
	for end := time.Now().Add(g.settings.StartHold); time.Now().Before(end) && !g.Ready() && sleep(ctx, startCheckInterval); {
	}
}

// maintenanceInterval is the time between two runs of periodic work.
const maintenanceInterval = 200 * time.Millisecond

// Start listens and begins to follow the feeds. All background work ends when ctx is done, except the servers
// for callers, health checks and peers, which Stop or Close shuts down.
func (g *Gateway) Start(ctx context.Context) error {
	if err := g.listen(); err != nil {
		return err
	}
	if err := g.peers.Start(); err != nil {
		return err
	}
	g.peers.Add(g.settings.Seeds...)
	go g.configuration.Run(ctx)
	go g.instances.Run(ctx)
	go g.peers.Run(ctx)
	go g.discoverPeers(ctx)
	go g.maintain(ctx)
	go g.limits.run(ctx)
	go g.pauses.run(ctx)
	if g.settings.Overload.Refuse {
		go g.sampleDelay(ctx)
	}
	go g.awaitReady(ctx)
	go g.serve(g.callerServer, g.callerListener)
	go g.serve(g.readyServer, g.readyListener)
	g.log.Info("started", "callers", g.CallerAddress(), "peers", g.peers.Address(), "domain", g.settings.FailureDomain,
		"memory_bytes", g.settings.MemoryBytes, "caller_connections", g.settings.CallerConnections)
	return nil
}

func (g *Gateway) listen() error {
	listener, err := socket.Listen(g.settings.CallerAddress, g.settings.ReceiveBuffer, g.settings.SendBuffer)
	if err != nil {
		return fmt.Errorf("caller address: %w", err)
	}
	g.callerListener = &callerconn.Listener{Listener: listener, Budget: g.limits}
	ready, err := socket.Listen(g.settings.ReadyAddress, smallBuffer, smallBuffer)
	if err != nil {
		return fmt.Errorf("ready address: %w", err)
	}
	g.readyListener = connlimit.New(ready, g.settings.ReadyConnections)
	g.callerServer = &http.Server{
		Handler:           http.HandlerFunc(g.serveCaller),
		ReadHeaderTimeout: g.settings.HeaderTimeout,
		MaxHeaderBytes:    g.settings.HeaderBytes,
		ConnState:         g.callers.Track,
		ConnContext:       callerconn.ConnContext,
		BaseContext:       func(net.Listener) context.Context { return g.requests },
		ErrorLog:          slog.NewLogLogger(g.log.Handler(), slog.LevelDebug),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+g.settings.ReadyPath, g.serveReady)
	g.readyServer = &http.Server{Handler: mux, ReadTimeout: smallRequestTimeout, WriteTimeout: smallRequestTimeout,
		IdleTimeout: g.settings.HeaderTimeout, MaxHeaderBytes: smallHeaderBytes}
	return nil
}

const (
	// smallBuffer, smallRequestTimeout and smallHeaderBytes bound requests of the health check, which have no body.
	smallBuffer         = 16 << 10
	smallRequestTimeout = 5 * time.Second
	smallHeaderBytes    = 8 << 10
)

func (g *Gateway) serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !g.leaving.Load() {
		g.log.Error("server stopped", "address", listener.Addr().String(), "error", err)
	}
}

// CallerAddress returns the address that serves callers. It is known after Start.
func (g *Gateway) CallerAddress() string { return g.callerListener.Addr().String() }

// ReadyAddress returns the address that serves health checks. It is known after Start.
func (g *Gateway) ReadyAddress() string { return g.readyListener.Addr().String() }

// PeerAddress returns the address that serves other routers. It is known after Start.
func (g *Gateway) PeerAddress() string { return g.peers.Address() }

// Peers returns the names of the other routers that are alive.
func (g *Gateway) Peers() []string { return g.peers.Peers() }

// ReservedPlaces returns the number of places that other routers hold at the instances that this one keeps.
func (g *Gateway) ReservedPlaces() int { return g.registry.HoldCount() }

// AddPeers adds addresses of other routers.
func (g *Gateway) AddPeers(addresses ...string) { g.peers.Add(addresses...) }

func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

// maintain runs periodic work until ctx is done.
func (g *Gateway) maintain(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, id := range g.registry.Sweep(g.instances.FreshAt()) {
			g.log.Info("instance", "instance", id, "change", "lapsed")
		}
		g.logLimits()
		g.probeUnreachable()
		g.reservations.tellKeepers()
		g.maintainPlaces()
		g.logContended()
		g.logSums()
		g.asks.setRouters(1 + g.registry.PeerCount())
		g.logRefusing()
		g.logOverload()
		g.connections.CloseExpired()
		rank := g.readRank()
		g.configuration.SetRank(rank)
		g.instances.SetRank(rank)
		g.admission.refresh()
		g.budgets.refresh(1+g.registry.PeerCount(), maintenanceInterval)
		g.closeIdleCallers()
	}
}

// maxLoggedCallers bounds the addresses in a log line about closed connections.
const maxLoggedCallers = 8

// closeIdleCallers closes idle connections of callers. The log names their addresses, because a caller whose request has
// crossed the close sees the same as one whose request was lost.
func (g *Gateway) closeIdleCallers() {
	t := g.table.Load()
	if t == nil {
		return
	}
	closed := g.callers.CloseIdle(t.Limits.IdleTimeout)
	if len(closed) > 0 {
		g.log.InfoContext(failedContext, "idle connections closed", "count", len(closed), "limit_ms", t.Limits.IdleTimeout.Milliseconds(),
			"config", t.Version, "callers", closed[:min(len(closed), maxLoggedCallers)])
	}
}

const (
	// restartWait is how long a router waits for a copy of the feeds from a peer before it reads the store. One that
	// restarts alone has it sooner; when all have restarted, callers wait for each of them.
	restartWait = 100 * time.Millisecond
	// firstStartWait is the same at the first start of the whole fleet, when callers do not wait yet.
	firstStartWait = 600 * time.Millisecond
)

func (g *Gateway) startWait() time.Duration {
	if g.settings.FirstStart {
		return firstStartWait
	}
	return restartWait
}

// readRank returns the number of routers that read the store before this one: the root of the tree, and then the others
// in an order that mixes failure domains, because a domain may lose the store together.
func (g *Gateway) readRank() int {
	if rank := g.peers.Rank(); rank <= 0 {
		return rank
	}
	return 1 + g.peers.MixedRank()
}

// rankBeforeContact returns the rank before the fleet is known: a router that can have no peers reads at once.
func (g *Gateway) rankBeforeContact() int {
	if len(g.settings.Seeds) == 0 {
		return 0
	}
	return -1
}

// Stop shuts down gracefully: it fails health checks, keeps serving requests and connections that still
// arrive, closes connections as they become idle, and returns when no request is in flight or GracePeriod is
// nearly over. Requests that are then left get an error response, unless their response has begun. If the process was paused
// just before, GracePeriod may have begun earlier: they get it as much earlier. A response that has begun goes on all the
// same, because its caller would see no difference.
func (g *Gateway) Stop() {
	begin := time.Now()
	signalled := g.pauses.earliestSignal(begin, g.settings.GracePeriod)
	end := signalled.Add(g.settings.GracePeriod)
	g.leaving.Store(true)
	g.log.Info("stopping", "in_flight", g.callers.Active(), "paused_ms", begin.Sub(signalled).Milliseconds())
	g.peers.AnnounceLeave()
	time.Sleep(min(g.settings.DrainDelay, end.Sub(begin)/2))
	ctx, cancel := context.WithDeadline(context.Background(), begin.Add(g.settings.GracePeriod-stopMargin))
	defer cancel()
	lastAnswer := end.Add(-stopMargin)
	answering := time.AfterFunc(time.Until(lastAnswer), func() { g.unanswered.endAll((*requestState).stop) })
	defer answering.Stop()
	refusal := time.AfterFunc(lateArrival, func() {
		g.refusing.Store(true)
		g.lastAnswer.Store(&lastAnswer)
		g.unsent.endAll((*requestState).stopUnsent)
	})
	defer refusal.Stop()
	err := callerconn.Drain(ctx, g.callerServer, g.callerListener, g.callers)
	if err != nil {
		g.log.Warn("stop is not complete", "error", err)
	}
	if ctx.Err() != nil {
		g.endRequests(errStopped)
		ctx, cancel := context.WithTimeout(context.Background(), answerMargin)
		defer cancel()
		// Connections that are left are closed when the process exits.
		_ = g.callerServer.Shutdown(ctx)
	}
	g.log.Info("stopped", "took_ms", time.Since(begin).Milliseconds(), "cut_off", ctx.Err() != nil)
	g.peers.Stop()
	g.connections.Close()
	_ = g.readyServer.Close()
}

// lateArrival is how long after the drain delay requests are still served that were sent on connections made before. Later
// ones could be cut off when the process is killed, and so could those that have been waiting for a place, or for the rest
// of their body, since.
const lateArrival = 400 * time.Millisecond

const (
	// stopMargin is reserved between the end of Drain and the kill, for the responses to requests that are left, logging
	// and process exit. answerMargin is the part for the responses.
	stopMargin   = 300 * time.Millisecond
	answerMargin = 100 * time.Millisecond
)

// errStopped is the cause with which the contexts of requests end that are not done when the router has to exit.
var errStopped = errors.New("the router stopped")

// Close stops the gateway immediately.
func (g *Gateway) Close() {
	g.leaving.Store(true)
	_ = g.callerServer.Close()
	_ = g.readyServer.Close()
	g.peers.Stop()
	g.connections.Close()
}
