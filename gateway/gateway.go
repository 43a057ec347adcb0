// Package gateway is a router that reaches backend servers itself, for deployments where anyone may
// call a backend server and no process of the system stands beside it. Where each backend server has
// a sidecar, packages router and sidecar do this work.
//
// Admission, fair shares, the retry budget and the table of crashing requests are those of the
// sidecar. What a sidecar knows because everything passes it, a gateway knows from its own requests
// and from the exchange with the other gateways, see package peer.
//
// A request is served by one goroutine, straight down: match and authorise (serve.go), wait for
// admission (admit.go), choose an instance and try it (attempt.go), relay the answer or the events
// (relay.go, stream.go). The decisions are in packages routes, pool, admission, retry and suspect,
// which do no input or output.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"jacinthfork.example/jacinthfork/gateway/backend"
	"jacinthfork.example/jacinthfork/gateway/feed"
	"jacinthfork.example/jacinthfork/gateway/peer"
	"jacinthfork.example/jacinthfork/gateway/pool"
	"jacinthfork.example/jacinthfork/gateway/routes"
	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/suspect"
	"jacinthfork.example/jacinthfork/traffic"
)

// Environment is what a deployment supplies.
type Environment struct {
	Protocol Protocol
	Decoder  Decoder
	Source   feed.Source
	// Directory finds the other routers. It may be nil.
	Directory Directory
	Log       *slog.Logger
	Counters  *kernel.Counters
}

// Directory keeps the addresses of routers where all of them find them.
type Directory interface {
	// Register publishes a router's address.
	Register(ctx context.Context, node, address string) error
	// Routers returns the published addresses, also of routers that are gone.
	Routers(ctx context.Context) ([]string, error)
}

// Gateway is one router.
type Gateway struct {
	settings Settings
	env      Environment
	log      *slog.Logger

	table         atomic.Pointer[routes.Table]
	registry      *pool.Registry
	connections   *backend.Pool
	suspects      *suspect.Table
	crashes       *crashWatch
	admission     *admissions
	budgets       *budgets
	configuration *feed.Follower
	instances     *feed.Follower
	peers         *peer.Exchange
	callers       *callerConns
	metrics       *metrics

	leaving        atomic.Bool
	server         *http.Server
	ready          *http.Server
	callerListener net.Listener
	readyListener  net.Listener
}

// New returns a gateway that does not listen yet.
func New(settings Settings, env Environment) (*Gateway, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	limits := suspect.DefaultSettings()
	limits.ExposureGroup, limits.ExposureFingerprint = 0, 0
	limits.RefuseCrowded = crowdedCrashes
	limits.Retention = suspectRetention
	limits.ExcuseAfter = suspectRetention
	suspects, err := suspect.NewTable("", uint64(time.Now().UnixNano()), limits)
	if err != nil {
		return nil, err
	}
	g := &Gateway{
		settings:    settings,
		env:         env,
		log:         env.Log,
		registry:    pool.NewRegistry(settings.Pool, settings.FailureDomain),
		connections: backend.NewPool(),
		suspects:    suspects,
		budgets:     newBudgets(settings),
		callers:     newCallerConns(),
		metrics:     newMetrics(env.Counters),
	}
	g.crashes = newCrashWatch(g.confirmCrash)
	g.admission = newAdmissions(g.registry)
	g.configuration = feed.NewFollower(feed.Configuration, env.Source, &configurationSink{g: g}, settings.ConfigurationPace)
	g.instances = feed.NewFollower(feed.Instances, env.Source, &instancesSink{g: g}, settings.InstancesPace)
	for _, f := range []*feed.Follower{g.configuration, g.instances} {
		f.OnState = g.storeState
		f.OnFailure = g.storeFailure
	}
	g.peers = peer.New(settings.Node, settings.PeerAddress, settings.PeerAdvertise, g, traffic.NewMeter(env.Counters))
	g.publish()
	return g, nil
}

// Ready reports whether this router takes requests.
func (g *Gateway) Ready() bool {
	if g.leaving.Load() || g.table.Load() == nil {
		return false
	}
	known := false
	g.instances.Between(func() { known = g.registry.Known() })
	return known
}

// housekeeping is the pause between two rounds of work that no request triggers.
const housekeeping = 200 * time.Millisecond

// Start listens and begins to follow the feeds. Everything ends with ctx except what serves callers,
// which Stop ends.
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
	go g.findPeers(ctx)
	go g.maintain(ctx)
	go g.serve(g.server, g.callerListener)
	go g.serve(g.ready, g.readyListener)
	g.log.Info("started", "callers", g.CallerAddress(), "peers", g.peers.Address(), "domain", g.settings.FailureDomain)
	return nil
}

const (
	// headerTimeout and headerBytes bound requests before a configuration says more.
	headerTimeout = 10 * time.Second
	headerBytes   = 64 << 10
)

func (g *Gateway) listen() error {
	var err error
	if g.callerListener, err = net.Listen("tcp", g.settings.CallerAddress); err != nil {
		return fmt.Errorf("callers' address: %w", err)
	}
	if g.readyListener, err = net.Listen("tcp", g.settings.ReadyAddress); err != nil {
		return fmt.Errorf("ready address: %w", err)
	}
	g.server = &http.Server{
		Handler:           http.HandlerFunc(g.serveCaller),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    headerBytes,
		ConnState:         g.callers.track,
		ErrorLog:          slog.NewLogLogger(g.log.Handler(), slog.LevelDebug),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+g.settings.ReadyPath, g.serveReady)
	g.ready = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	return nil
}

func (g *Gateway) serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		g.log.Error("server stopped", "address", listener.Addr().String(), "error", err)
	}
}

// CallerAddress returns the address that serves callers, known after Start.
func (g *Gateway) CallerAddress() string { return g.callerListener.Addr().String() }

// ReadyAddress returns the address that answers the balancer, known after Start.
func (g *Gateway) ReadyAddress() string { return g.readyListener.Addr().String() }

// PeerAddress returns the address that serves other routers, known after Start.
func (g *Gateway) PeerAddress() string { return g.peers.Address() }

// AddPeers makes addresses of other routers known.
func (g *Gateway) AddPeers(addresses ...string) { g.peers.Add(addresses...) }

func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

// maintain does what no request triggers until ctx ends.
func (g *Gateway) maintain(ctx context.Context) {
	ticker := time.NewTicker(housekeeping)
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
		g.connections.Expire()
		g.configuration.SetPace(g.configurationPace())
		rank := g.peers.Rank()
		g.configuration.SetRank(rank)
		g.instances.SetRank(rank)
		g.admission.refresh()
		g.budgets.refresh(1+g.registry.Peers(), housekeeping)
		if t := g.table.Load(); t != nil {
			g.callers.closeIdle(t.Limits.IdleTimeout)
		}
	}
}

// configurationPace is how the configuration is read by a fleet of the present size.
func (g *Gateway) configurationPace() feed.Pace {
	if 1+g.registry.Peers() > g.settings.LargeFleet {
		return g.settings.LargeFleetPace
	}
	return g.settings.ConfigurationPace
}

const (
	// directoryRetry is the pause after a failed call to the directory.
	directoryRetry = 2 * time.Second
	// directoryTimeout bounds one call.
	directoryTimeout = 2 * time.Second
)

// findPeers publishes the own address and reads those of the others once; later newcomers call.
func (g *Gateway) findPeers(ctx context.Context) {
	if g.env.Directory == nil {
		return
	}
	for ctx.Err() == nil {
		err := g.registerOnce(ctx)
		if err == nil {
			return
		}
		g.log.Warn("directory unavailable", "error", err)
		timer := time.NewTimer(directoryRetry)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
	}
}

func (g *Gateway) registerOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	if err := g.env.Directory.Register(ctx, g.settings.Node, g.peers.Address()); err != nil {
		return err
	}
	addresses, err := g.env.Directory.Routers(ctx)
	if err != nil {
		return err
	}
	g.peers.Add(addresses...)
	return nil
}

// Stop leaves: it answers the balancer that it is not ready, goes on serving requests and connections
// that still come, closes connections as they become idle, and returns when nothing is in flight or
// the time is over.
func (g *Gateway) Stop() {
	begin := time.Now()
	g.leaving.Store(true)
	g.log.Info("stopping", "in_flight", g.callers.active())
	time.Sleep(min(g.settings.UnreadyTime, g.settings.StopTime/2))
	ctx, cancel := context.WithDeadline(context.Background(), begin.Add(g.settings.StopTime-stopMargin))
	defer cancel()
	announce, end := context.WithTimeout(ctx, time.Second)
	g.peers.AnnounceLeave(announce)
	end()
	err := g.server.Shutdown(ctx)
	g.log.Info("stopped", "took_ms", time.Since(begin).Milliseconds(), "cut_off", err != nil)
	g.peers.Stop()
	g.connections.Close()
	_ = g.ready.Close()
}

// stopMargin is kept between the end of Stop and the kill, for the log and the exit.
const stopMargin = 300 * time.Millisecond

// Close ends everything at once.
func (g *Gateway) Close() {
	g.leaving.Store(true)
	_ = g.server.Close()
	_ = g.ready.Close()
	g.peers.Stop()
	g.connections.Close()
}
