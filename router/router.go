// Package router accepts HTTP requests from callers, places each on a backend server, retries when the
// verdict allows it and streams the response back.
package router

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"jacinthfork.example/jacinthfork/burn"
	"jacinthfork.example/jacinthfork/config"
	"jacinthfork.example/jacinthfork/internal/callerconn"
	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/kernel/journal"
	"jacinthfork.example/jacinthfork/membership"
	"jacinthfork.example/jacinthfork/placement"
	"jacinthfork.example/jacinthfork/retry"
	"jacinthfork.example/jacinthfork/services"
	"jacinthfork.example/jacinthfork/suspect"
	"jacinthfork.example/jacinthfork/traffic"
	"jacinthfork.example/jacinthfork/wire"
)

const (
	// maxJournalEntries bounds the journal of a router.
	maxJournalEntries = 8192
	// headerReadTimeout bounds the time to read a request's header fields.
	headerReadTimeout = 10 * time.Second
	// idleTimeout is the time after which idle connections of callers are closed.
	idleTimeout = 2 * time.Minute
)

// Router accepts requests from callers and forwards them to sidecars. Create it with New, then call Start.
type Router struct {
	settings    Settings
	kernel      *kernel.Context
	counters    *kernel.Counters
	journal     *journal.Journal
	burn        *burn.Recorder
	incarnation uint64
	sequence    atomic.Uint64

	log           services.Log
	instances     services.InstanceList
	policies      map[string]placement.Policy
	defaultPolicy placement.Policy
	keyring       *placement.Keyring
	cacheStats    map[string]*cacheStats
	cacheStatsMu  sync.Mutex

	meter          *traffic.Meter
	configStore    *config.Store
	configSync     *config.Syncer
	membershipView *membership.View
	loadRelay      *membership.Relay
	suspects       *suspect.Table
	dial           membership.DialFunc
	sidecars       *sidecarConns
	retryPolicies  map[string]*retry.Policy
	retryMu        sync.Mutex

	openRequests atomic.Int64
	// piggybackedBytes counts the bytes of load updates on requests and responses.
	piggybackedBytes atomic.Int64
	draining         atomic.Bool
	server           *http.Server
	listener         *callerconn.Listener
	callers          *callerconn.Tracker
	address          string
	operators        *kernel.OperatorServer
	stop             context.CancelFunc
	wg               sync.WaitGroup
}

// New creates a router from its settings; file is named in error messages. It does not listen yet.
func New(file string, s Settings, ctx *kernel.Context) (*Router, error) {
	ctx.SettingsFile = file
	ctx.Region, ctx.FailureDomain = s.Region, s.FailureDomain
	r := &Router{
		settings: s, kernel: ctx, counters: ctx.Counters, journal: journal.New(maxJournalEntries),
		burn:        burn.NewRecorder(burn.MaxOrganisations),
		incarnation: uint64(time.Now().UnixNano()),
		policies:    make(map[string]placement.Policy), cacheStats: make(map[string]*cacheStats),
		retryPolicies: make(map[string]*retry.Policy),
	}
	if err := r.loadPlugins(ctx); err != nil {
		return nil, err
	}
	if err := r.provisionFleet(); err != nil {
		return nil, err
	}
	r.operators = kernel.NewOperatorServer(r.counters)
	r.operators.Handle("GET /debug/journal", r.journal)
	r.operators.Handle("GET /debug/config", r.configStore)
	r.operators.Handle("GET /debug/fleet", http.HandlerFunc(r.serveFleet))
	r.counters.Func(burn.ExpvarName, func() any { return r.burn.Snapshot() })
	r.counters.Func("requests_open", func() any { return r.openRequests.Load() })
	return r, nil
}

// loadPlugins creates the plug-ins that the settings select.
func (r *Router) loadPlugins(ctx *kernel.Context) (err error) {
	if r.log, err = kernel.LoadSelected[services.Log](ctx, kernel.KindLog, r.settings.Log); err != nil {
		return err
	}
	if r.instances, err = kernel.LoadSelected[services.InstanceList](ctx, kernel.KindInstances, r.settings.Instances); err != nil {
		return err
	}
	if r.defaultPolicy, err = kernel.LoadSelected[placement.Policy](ctx, kernel.KindPlacement, r.settings.Placement.Default); err != nil {
		return err
	}
	for pool, table := range r.settings.Placement.Pools {
		if r.policies[pool], err = kernel.LoadSelected[placement.Policy](ctx, kernel.KindPlacement, table); err != nil {
			return fmt.Errorf("placement.pools.%s: %w", pool, err)
		}
	}
	var secrets [][]byte
	for _, key := range r.settings.Placement.TokenKeys {
		secrets = append(secrets, []byte(key.Reveal()))
	}
	r.keyring, err = placement.NewKeyring(secrets, r.settings.Placement.TokenMaxAge, r.counters)
	return err
}

func (r *Router) placementPolicy(pool string) placement.Policy {
	if p, ok := r.policies[pool]; ok {
		return p
	}
	return r.defaultPolicy
}

// placementToken returns the placement token that names the sidecar's instance, or "" if the request has
// neither a document group nor a chat.
func (r *Router) placementToken(c *call, sidecar *sidecarConn) string {
	if c.placementReq.Group == 0 && c.placementReq.Chat == 0 {
		return ""
	}
	return r.keyring.Encode(c.organisation, c.pool, placement.Token{
		Group: c.placementReq.Group, Instance: sidecar.instance, Incarnation: sidecar.incarnation.Load(),
	})
}

// recordUsage records the token usage that a complete response reports.
func (r *Router) recordUsage(c *call, end *wire.End) {
	r.cacheStatsFor(c.pool).recordResponse(&c.placementReq, c.servedBy, end)
	r.counters.Map("cached_tokens").Add(c.pool, int64(end.GetCachedTokens()))
	r.counters.Map("prompt_tokens").Add(c.pool, int64(c.template.GetPromptTokens()))
	r.counters.Map("completion_tokens").Add(c.pool, int64(end.GetCompletionTokens()))
}

// Start listens, starts serving in the background and returns. Drain or Close ends the serving.
func (r *Router) Start() error {
	listener, err := net.Listen("tcp", string(r.settings.Listen))
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if err := r.operators.Start(string(r.settings.OperatorListen)); err != nil {
		_ = listener.Close()
		return err
	}
	r.address = listener.Addr().String()
	r.listener, r.callers = &callerconn.Listener{Listener: listener}, callerconn.NewTracker()
	r.server = &http.Server{
		Handler: r.handler(), ReadHeaderTimeout: headerReadTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: 2 * r.settings.Callers.MaxHeaderBytes, ConnState: r.callers.Track,
	}
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	r.wg.Go(func() { _ = r.server.Serve(r.listener) })
	r.startBackground(ctx)
	r.operators.SetReady(true)
	r.kernel.Log.Info("serving", "address", r.address, "incarnation", r.incarnation)
	return nil
}

// Address returns the address that serves callers. It is known after Start.
func (r *Router) Address() string { return r.address }

// OperatorAddress returns the address of /healthz and /debug. It is known after Start.
func (r *Router) OperatorAddress() string { return r.operators.Address() }

// Counters returns the router's expvar variables.
func (r *Router) Counters() *kernel.Counters { return r.counters }

// Drain reports the router as not ready, waits for BalancerDelay, stops accepting connections and
// returns when every request has finished, or with the error of ctx. From its start on callers are told to close their
// connections after the next response.
func (r *Router) Drain(ctx context.Context) error {
	r.operators.SetReady(false)
	r.draining.Store(true)
	r.journal.Add(journal.KindShutdown, r.settings.Instance, "draining")
	r.kernel.Log.Info("draining", "in_flight", r.openRequests.Load())
	select {
	case <-time.After(r.settings.BalancerDelay):
	case <-ctx.Done():
	}
	if err := callerconn.Drain(ctx, r.server, r.listener, r.callers); err != nil {
		return fmt.Errorf("drain interrupted with %d requests in flight: %w", r.openRequests.Load(), err)
	}
	return nil
}

// Close stops the router immediately. Call Drain first to let requests finish.
func (r *Router) Close() {
	if r.server != nil {
		_ = r.server.Close()
		r.stop()
	}
	r.operators.Close()
	r.sidecars.close()
	r.wg.Wait()
}
