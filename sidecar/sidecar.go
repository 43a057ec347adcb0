// Package sidecar is the small process beside each backend server instance. It is the only way in
// to its backend server, so it enforces admission, at-most-once execution, draining and orders.
// Routers call it over gRPC; see wire.SidecarServer.
package sidecar

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"jacinthfork.example/jacinthfork/admission"
	"jacinthfork.example/jacinthfork/claim"
	"jacinthfork.example/jacinthfork/config"
	"jacinthfork.example/jacinthfork/dialect"
	"jacinthfork.example/jacinthfork/internal/transport"
	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/kernel/journal"
	"jacinthfork.example/jacinthfork/membership"
	"jacinthfork.example/jacinthfork/services"
	"jacinthfork.example/jacinthfork/suspect"
	"jacinthfork.example/jacinthfork/traffic"
	"jacinthfork.example/jacinthfork/wire"
)

// journalEntries bounds the journal of a sidecar.
const journalEntries = 4096

// Sidecar is one sidecar. Use New, then Start.
type Sidecar struct {
	wire.UnimplementedSidecarServer

	settings    Settings
	kernel      *kernel.Context
	journal     *journal.Journal
	incarnation uint64

	dialect   dialect.Dialect
	log       services.Log
	instances services.InstanceList

	attempts *attempts
	runs     *runTable
	keeper   *claim.Keeper
	leaving  atomic.Bool

	admission *admission.Controller
	limiter   *admission.Limiter
	home      *admission.Home
	suspects  *suspect.Table
	crashes   *crashWatch
	// heardSuspects is set once a peer has told its suspects.
	heardSuspects atomic.Bool
	prefixes      *prefixes
	pacer         pacer

	meter     *traffic.Meter
	store     *config.Store
	contact   *config.Contact
	view      *membership.View
	pool      *membership.Pool
	exchanger *membership.Exchanger
	dial      membership.Dial
	members   atomic.Pointer[[]string]

	server    *grpc.Server
	address   string
	operators *kernel.OperatorServer
	work      sync.WaitGroup
	stop      context.CancelFunc
	life      context.Context
}

// New builds a sidecar from its settings; file is named in faults. It does not listen yet.
func New(file string, s Settings, ctx *kernel.Context) (*Sidecar, error) {
	ctx.SettingsFile = file
	ctx.Region, ctx.FailureDomain = s.Region, s.FailureDomain
	d, err := kernel.Choose[dialect.Dialect](ctx, kernel.KindDialect, s.Dialect)
	if err != nil {
		return nil, err
	}
	log, err := kernel.Choose[services.Log](ctx, kernel.KindLog, s.Log)
	if err != nil {
		return nil, err
	}
	instances, err := kernel.Choose[services.InstanceList](ctx, kernel.KindInstances, s.Instances)
	if err != nil {
		return nil, err
	}
	life, stop := context.WithCancel(context.Background())
	side := &Sidecar{
		settings: s, kernel: ctx, journal: journal.New(journalEntries),
		incarnation: uint64(time.Now().UnixNano()),
		dialect:     d, log: log, instances: instances,
		attempts: newAttempts(),
		runs:     newRunTable(s.Answers.KeepBytes, s.Answers.KeepFor, s.Answers.Grace),
		life:     life, stop: stop,
	}
	return side, side.provision()
}

// provision builds the parts that do not need the address that the sidecar listens on.
func (s *Sidecar) provision() (err error) {
	counters := s.kernel.Counters
	s.operators = kernel.NewOperatorServer(counters)
	s.meter = traffic.NewMeter(counters)
	s.countPlatform()
	s.store = config.NewStore(s.kernel.Log, s.journal, counters)
	s.view = membership.NewView(membership.DefaultRules, s.journal, counters)
	s.limiter = admission.NewLimiter(s.settings.Instance, admission.DefaultLimitSettings())
	s.home = admission.NewHome(admission.DefaultLimitSettings())
	s.members.Store(&[]string{s.settings.Instance})
	s.crashes = newCrashWatch(s)
	s.prefixes = newPrefixes()
	if s.suspects, err = suspect.NewTable(s.settings.Instance, s.incarnation, s.settings.Suspects); err != nil {
		return err
	}
	if s.keeper, err = s.newKeeper(); err != nil {
		return err
	}
	s.operators.Handle("GET /debug/journal", s.journal)
	s.operators.Handle("GET /debug/config", s.store)
	s.operators.Handle("GET /debug/fleet", http.HandlerFunc(s.serveFleet))
	return nil
}

// countPlatform counts the bytes to the log and the instance list.
func (s *Sidecar) countPlatform() {
	kernel.CountConnections(s.log, s.meter.Dialer(traffic.PeerLog, traffic.ClassControl))
	kernel.CountConnections(s.instances, s.meter.Dialer(traffic.PeerInstances, traffic.ClassControl))
}

// Start listens and serves until Close or the end of a drain.
func (s *Sidecar) Start() error {
	options, err := transport.ServerOptions(s.settings.TLS)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", string(s.settings.Listen))
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if err := s.operators.Start(string(s.settings.OperatorListen)); err != nil {
		_ = listener.Close()
		return err
	}
	s.address = listener.Addr().String()
	if err := s.startFleet(); err != nil {
		_ = listener.Close()
		return err
	}
	s.server = grpc.NewServer(append(options, s.meter.ServerOptions()...)...)
	wire.RegisterSidecarServer(s.server, s)
	go func() { _ = s.server.Serve(s.meter.ListenFleet(listener)) }()
	s.background()
	s.kernel.Log.Info("serving", "address", s.address, "pool", s.settings.Pool, "incarnation", s.incarnation)
	return nil
}

// Address returns the gRPC address, known after Start.
func (s *Sidecar) Address() string { return s.address }

// OperatorAddress returns the address of /healthz and /debug, known after Start.
func (s *Sidecar) OperatorAddress() string { return s.operators.Address() }

// Counters returns the sidecar's expvar variables.
func (s *Sidecar) Counters() *kernel.Counters { return s.kernel.Counters }

// drainPoll is how often Drain looks for unfinished work.
const drainPoll = 50 * time.Millisecond

// flushTimeout bounds the wait for the log at the end of a drain.
const flushTimeout = 10 * time.Second

// Drain refuses new work and returns when everything in flight has finished and its readers have
// the whole response, or with the error of ctx.
func (s *Sidecar) Drain(ctx context.Context) error {
	s.leave("shutdown")
	s.operators.SetReady(false)
	for s.busy() > 0 {
		select {
		case <-time.After(drainPoll):
		case <-ctx.Done():
			return fmt.Errorf("drain interrupted with %d requests in flight: %w", s.busy(), ctx.Err())
		}
	}
	return s.flush(ctx)
}

// flush waits until the outcomes of actions are in the log, at most flushTimeout: during a log
// outage a leaving instance does not wait for ever.
func (s *Sidecar) flush(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	if err := s.keeper.Flush(ctx); err != nil {
		return fmt.Errorf("outcomes of actions are not in the log: %w", err)
	}
	return nil
}

// leave stops new work for good.
func (s *Sidecar) leave(cause string) {
	if s.leaving.Swap(true) {
		return
	}
	s.admission.Drain()
	s.pool.SetState(false, true)
	s.journal.Add(journal.KindShutdown, s.settings.Instance, "refusing new work", journal.Field{Name: "cause", Value: cause})
	s.kernel.Log.Info("leaving", "cause", cause, "in_flight", s.busy())
}

// busy counts runs and the streams that still read a response.
func (s *Sidecar) busy() int64 {
	return s.kernel.Counters.Int("requests_open").Value() + int64(s.runs.active())
}

// Close ends the sidecar at once. Use Drain first to let requests finish.
func (s *Sidecar) Close() {
	s.stop()
	if s.server != nil {
		s.server.Stop()
	}
	s.operators.Close()
	s.work.Wait()
	s.keeper.Close()
}

// Pool returns the name of the pool.
func (s *Sidecar) Pool() string { return s.settings.Pool }

// LoadBound returns the load bound in force, as a multiple of the pool's mean.
func (s *Sidecar) LoadBound() float64 { return float64(s.admission.FactorPercent()) / percent }

// ControlBytes returns the bytes that the sidecar has spent on coordination and probes.
func (s *Sidecar) ControlBytes() int64 { return s.meter.ControlClass() }
