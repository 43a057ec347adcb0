// Package router is the entry instance: it takes callers' HTTP requests, chooses a backend server,
// retries when the verdict allows it and streams the response.
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
	// journalEntries bounds the journal of a router.
	journalEntries = 8192
	// headerReadTimeout bounds the reading of a request's header fields.
	headerReadTimeout = 10 * time.Second
	// idleTimeout closes idle connections of callers.
	idleTimeout = 2 * time.Minute
)

// Router is one router. Use New, then Start.
type Router struct {
	settings    Settings
	kernel      *kernel.Context
	count       *kernel.Counters
	journal     *journal.Journal
	burn        *burn.Recorder
	incarnation uint64
	sequence    atomic.Uint64

	log         services.Log
	instances   services.InstanceList
	policies    map[string]placement.Policy
	fallback    placement.Policy
	keyring     *placement.Keyring
	learned     map[string]*learned
	learnedLock sync.Mutex

	meter     *traffic.Meter
	store     *config.Store
	contact   *config.Contact
	view      *membership.View
	relay     *membership.Relay
	suspects  *suspect.Table
	dial      membership.Dial
	peers     *peers
	retries   map[string]*retry.Policy
	retryLock sync.Mutex

	open atomic.Int64
	// piggyback counts the bytes of load news on requests and answers.
	piggyback atomic.Int64
	draining  atomic.Bool
	server    *http.Server
	address   string
	operators *kernel.OperatorServer
	stop      context.CancelFunc
	work      sync.WaitGroup
}

// New builds a router from its settings; file is named in faults. It does not listen yet.
func New(file string, s Settings, ctx *kernel.Context) (*Router, error) {
	ctx.SettingsFile = file
	ctx.Region, ctx.FailureDomain = s.Region, s.FailureDomain
	r := &Router{
		settings: s, kernel: ctx, count: ctx.Counters, journal: journal.New(journalEntries),
		burn:        burn.NewRecorder(burn.MaxOrganisations),
		incarnation: uint64(time.Now().UnixNano()),
		policies:    make(map[string]placement.Policy), learned: make(map[string]*learned),
		retries: make(map[string]*retry.Policy),
	}
	if err := r.load(ctx); err != nil {
		return nil, err
	}
	if err := r.provisionFleet(); err != nil {
		return nil, err
	}
	r.operators = kernel.NewOperatorServer(r.count)
	r.operators.Handle("GET /debug/journal", r.journal)
	r.operators.Handle("GET /debug/config", r.store)
	r.operators.Handle("GET /debug/fleet", http.HandlerFunc(r.serveFleet))
	r.count.Func(burn.Variable, func() any { return r.burn.Snapshot() })
	r.count.Func("requests_open", func() any { return r.open.Load() })
	return r, nil
}

// load builds the plug-ins that the settings name.
func (r *Router) load(ctx *kernel.Context) (err error) {
	if r.log, err = kernel.Choose[services.Log](ctx, kernel.KindLog, r.settings.Log); err != nil {
		return err
	}
	if r.instances, err = kernel.Choose[services.InstanceList](ctx, kernel.KindInstances, r.settings.Instances); err != nil {
		return err
	}
	if r.fallback, err = kernel.Choose[placement.Policy](ctx, kernel.KindPlacement, r.settings.Placement.Default); err != nil {
		return err
	}
	for pool, table := range r.settings.Placement.Pools {
		if r.policies[pool], err = kernel.Choose[placement.Policy](ctx, kernel.KindPlacement, table); err != nil {
			return fmt.Errorf("placement.pools.%s: %w", pool, err)
		}
	}
	var secrets [][]byte
	for _, key := range r.settings.Placement.TokenKeys {
		secrets = append(secrets, []byte(key.Reveal()))
	}
	r.keyring, err = placement.NewKeyring(secrets, r.settings.Placement.TokenMaxAge, r.count)
	return err
}

func (r *Router) policy(pool string) placement.Policy {
	if p, ok := r.policies[pool]; ok {
		return p
	}
	return r.fallback
}

// token returns the placement token that names the instance of p.
func (r *Router) token(c *call, p *peer) string {
	if c.place.Group == 0 && c.place.Chat == 0 {
		return ""
	}
	return r.keyring.Encode(c.organisation, c.pool, placement.Token{
		Group: c.place.Group, Instance: p.instance, Incarnation: p.incarnation.Load(),
	})
}

// finished counts what a whole response says about its run.
func (r *Router) finished(c *call, end *wire.End) {
	r.learnedOf(c.pool).ran(&c.place, c.served, end)
	r.count.Map("cached_tokens").Add(c.pool, int64(end.GetCachedTokens()))
	r.count.Map("prompt_tokens").Add(c.pool, int64(c.message.GetPromptTokens()))
	r.count.Map("completion_tokens").Add(c.pool, int64(end.GetCompletionTokens()))
}

// Start listens and serves until Drain or Close.
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
	r.server = &http.Server{
		Handler: r.handler(), ReadHeaderTimeout: headerReadTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: 2 * r.settings.Callers.MaxHeaderBytes,
	}
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	r.work.Go(func() { _ = r.server.Serve(listener) })
	r.background(ctx)
	r.operators.SetReady(true)
	r.kernel.Log.Info("serving", "address", r.address, "incarnation", r.incarnation)
	return nil
}

// Address returns the callers' address, known after Start.
func (r *Router) Address() string { return r.address }

// OperatorAddress returns the address of /healthz and /debug, known after Start.
func (r *Router) OperatorAddress() string { return r.operators.Address() }

// Counters returns the router's expvar variables.
func (r *Router) Counters() *kernel.Counters { return r.count }

// Drain goes unready, waits for the balancer, takes no new connections and returns when every
// request has finished, or with the error of ctx.
func (r *Router) Drain(ctx context.Context) error {
	r.operators.SetReady(false)
	r.draining.Store(true)
	r.journal.Add(journal.KindShutdown, r.settings.Instance, "draining")
	r.kernel.Log.Info("draining", "in_flight", r.open.Load())
	select {
	case <-time.After(r.settings.BalancerDelay):
	case <-ctx.Done():
	}
	if err := r.server.Shutdown(ctx); err != nil {
		return fmt.Errorf("drain interrupted with %d requests in flight: %w", r.open.Load(), err)
	}
	return nil
}

// Close ends the router at once. Use Drain first to let requests finish.
func (r *Router) Close() {
	if r.server != nil {
		_ = r.server.Close()
		r.stop()
	}
	r.operators.Close()
	r.peers.close()
	r.work.Wait()
}
