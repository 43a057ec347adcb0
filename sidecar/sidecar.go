// Package sidecar implements the proxy process that runs beside each backend server instance. All requests to
// the backend server pass through it, so it enforces admission control, at-most-once execution, draining and
// orders. Routers call it over gRPC; see wire.SidecarServer.
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

// journalEntries is the capacity of the journal.
const journalEntries = 4096

// Sidecar admits and runs requests on one backend server instance. Create it with New, then call Start.
type Sidecar struct {
	wire.UnimplementedSidecarServer

	settings    Settings
	kernel      *kernel.Context
	journal     *journal.Journal
	incarnation uint64

	dialect   dialect.Dialect
	log       services.Log
	instances services.InstanceList

	attempts *attemptTable
	runs     *runTable
	executor *claim.Executor
	leaving  atomic.Bool

	admission     *admission.Controller
	limiter       *admission.Limiter
	coordinator   *admission.LimitCoordinator
	suspects      *suspect.Table
	crashDetector *crashDetector
	// suspectsReceived is set once a peer has sent its crash suspects.
	suspectsReceived atomic.Bool
	prefixes         *prefixTable
	progress         progressEstimator

	meter      *traffic.Meter
	store      *config.Store
	configSync *config.Syncer
	view       *membership.View
	pool       *membership.Pool
	exchanger  *membership.Exchanger
	dial       membership.DialFunc
	// members holds the IDs of the pool's members, this instance included.
	members atomic.Pointer[[]string]

	server    *grpc.Server
	address   string
	operators *kernel.OperatorServer
	wg        sync.WaitGroup
	cancel    context.CancelFunc
	runCtx    context.Context
}

// New builds a sidecar from its settings; file is the settings file that error messages name. The sidecar
// does not listen until Start.
func New(file string, s Settings, ctx *kernel.Context) (*Sidecar, error) {
	ctx.SettingsFile = file
	ctx.Region, ctx.FailureDomain = s.Region, s.FailureDomain
	d, err := kernel.LoadSelected[dialect.Dialect](ctx, kernel.KindDialect, s.Dialect)
	if err != nil {
		return nil, err
	}
	log, err := kernel.LoadSelected[services.Log](ctx, kernel.KindLog, s.Log)
	if err != nil {
		return nil, err
	}
	instances, err := kernel.LoadSelected[services.InstanceList](ctx, kernel.KindInstances, s.Instances)
	if err != nil {
		return nil, err
	}
	runCtx, cancel := context.WithCancel(context.Background())
	sidecar := &Sidecar{
		settings: s, kernel: ctx, journal: journal.New(journalEntries),
		incarnation: uint64(time.Now().UnixNano()),
		dialect:     d, log: log, instances: instances,
		attempts: newAttemptTable(),
		runs:     newRunTable(s.Responses.KeepBytes, s.Responses.KeepFor, s.Responses.Grace),
		runCtx:   runCtx, cancel: cancel,
	}
	return sidecar, sidecar.buildComponents()
}

// buildComponents creates the components that do not depend on the listening address.
func (s *Sidecar) buildComponents() (err error) {
	counters := s.kernel.Counters
	s.operators = kernel.NewOperatorServer(counters)
	s.meter = traffic.NewMeter(counters)
	s.countServiceTraffic()
	s.store = config.NewStore(s.kernel.Log, s.journal, counters)
	s.view = membership.NewView(membership.DefaultViewOptions, s.journal, counters)
	s.limiter = admission.NewLimiter(s.settings.Instance, admission.DefaultLimitSettings())
	s.coordinator = admission.NewLimitCoordinator(admission.DefaultLimitSettings())
	s.members.Store(&[]string{s.settings.Instance})
	s.crashDetector = newCrashDetector(s)
	s.prefixes = newPrefixTable()
	if s.suspects, err = suspect.NewTable(s.settings.Instance, s.incarnation, s.settings.Suspects); err != nil {
		return err
	}
	if s.executor, err = s.newExecutor(); err != nil {
		return err
	}
	s.operators.Handle("GET /debug/journal", s.journal)
	s.operators.Handle("GET /debug/config", s.store)
	s.operators.Handle("GET /debug/fleet", http.HandlerFunc(s.serveFleet))
	return nil
}

// countServiceTraffic meters the connections to the log and to the instance list.
func (s *Sidecar) countServiceTraffic() {
	kernel.SetDialer(s.log, s.meter.Dialer(traffic.PeerLog, traffic.ClassControl))
	kernel.SetDialer(s.instances, s.meter.Dialer(traffic.PeerInstances, traffic.ClassControl))
}

// Start listens and serves requests in the background until Close.
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
	if err := s.setUpFleet(); err != nil {
		_ = listener.Close()
		return err
	}
	s.server = grpc.NewServer(append(options, s.meter.ServerOptions()...)...)
	wire.RegisterSidecarServer(s.server, s)
	go func() { _ = s.server.Serve(s.meter.ListenGRPC(listener)) }()
	s.startBackground()
	s.kernel.Log.Info("serving", "address", s.address, "pool", s.settings.Pool, "incarnation", s.incarnation)
	return nil
}

// Address returns the gRPC listening address. It is valid after Start.
func (s *Sidecar) Address() string { return s.address }

// OperatorAddress returns the listening address of /healthz and /debug. It is valid after Start.
func (s *Sidecar) OperatorAddress() string { return s.operators.Address() }

// Counters returns the sidecar's expvar variables.
func (s *Sidecar) Counters() *kernel.Counters { return s.kernel.Counters }

// drainPollInterval is the interval at which Drain and orderMember.Drain check for requests in flight.
const drainPollInterval = 50 * time.Millisecond

// flushTimeout bounds the wait for appends to the log at the end of a drain.
const flushTimeout = 10 * time.Second

// Drain rejects new requests and returns once every request in flight has finished and its readers have
// received the whole response, or with an error when ctx ends first.
func (s *Sidecar) Drain(ctx context.Context) error {
	s.leave("shutdown")
	s.operators.SetReady(false)
	for s.inFlight() > 0 {
		select {
		case <-time.After(drainPollInterval):
		case <-ctx.Done():
			return fmt.Errorf("drain interrupted with %d requests in flight: %w", s.inFlight(), ctx.Err())
		}
	}
	return s.flush(ctx)
}

// flush waits until the outcomes of actions are stored in the log. It waits for flushTimeout at most, so that
// a log outage does not block shutdown indefinitely.
func (s *Sidecar) flush(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	if err := s.executor.Flush(ctx); err != nil {
		return fmt.Errorf("action outcomes not stored in the log: %w", err)
	}
	return nil
}

// leave permanently stops accepting new requests and announces that this instance is leaving the pool.
func (s *Sidecar) leave(cause string) {
	if s.leaving.Swap(true) {
		return
	}
	s.admission.Drain()
	s.pool.SetState(false, true)
	s.journal.Add(journal.KindShutdown, s.settings.Instance, "refusing new work", journal.Field{Name: "cause", Value: cause})
	s.kernel.Log.Info("leaving", "cause", cause, "in_flight", s.inFlight())
}

// inFlight returns the number of unfinished runs plus the number of open Execute streams.
func (s *Sidecar) inFlight() int64 {
	return s.kernel.Counters.Int("requests_open").Value() + int64(s.runs.active())
}

// Close stops the sidecar immediately and cancels runs. Call Drain first to let requests finish.
func (s *Sidecar) Close() {
	s.cancel()
	if s.server != nil {
		s.server.Stop()
	}
	s.operators.Close()
	s.wg.Wait()
	s.executor.Close()
}

// Pool returns the name of the pool.
func (s *Sidecar) Pool() string { return s.settings.Pool }

// LoadBound returns the current load bound, as a multiple of the pool's mean load.
func (s *Sidecar) LoadBound() float64 { return float64(s.admission.FactorPercent()) / percent }

// ControlBytes returns the number of bytes of coordination and probe traffic.
func (s *Sidecar) ControlBytes() int64 { return s.meter.ControlClassBytes() }
