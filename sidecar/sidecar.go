// Package sidecar is the small process beside each backend server instance. It is the only way in
// to its backend server, so it enforces admission, at-most-once execution, draining and orders.
// Routers call it over gRPC; see wire.SidecarServer.
package sidecar

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"jacinthfork.example/jacinthfork/claim"
	"jacinthfork.example/jacinthfork/dialect"
	"jacinthfork.example/jacinthfork/internal/transport"
	"jacinthfork.example/jacinthfork/journal"
	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/platform"
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
	log       platform.Log
	instances platform.InstanceList

	attempts  *attempts
	runs      *runTable
	admission admitter
	keeper    *claim.Keeper
	leaving   atomic.Bool

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
	log, err := kernel.Choose[platform.Log](ctx, kernel.KindLog, s.Log)
	if err != nil {
		return nil, err
	}
	instances, err := kernel.Choose[platform.InstanceList](ctx, kernel.KindInstances, s.Instances)
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
	s.server = grpc.NewServer(options...)
	wire.RegisterSidecarServer(s.server, s)
	go func() { _ = s.server.Serve(listener) }()
	s.background()
	s.operators.SetReady(true)
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
