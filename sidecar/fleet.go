package sidecar

import (
	"context"
	"net/http"
	"sync/atomic"

	"google.golang.org/grpc"
	"jacinthfork.example/jacinthfork/config"
	"jacinthfork.example/jacinthfork/internal/transport"
	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/membership"
	"jacinthfork.example/jacinthfork/suspect"
	"jacinthfork.example/jacinthfork/traffic"
	"jacinthfork.example/jacinthfork/wire"
)

// setUpFleet creates the components that depend on the listening address.
func (s *Sidecar) setUpFleet() error {
	options, err := transport.DialOptions(s.settings.TLS)
	if err != nil {
		return err
	}
	options = append(options, s.meter.ClientOptions(traffic.ClassControl)...)
	dial := func(address string) (membership.Conn, error) {
		return grpc.NewClient("passthrough:///"+address, options...)
	}
	s.dial = dial
	self := membership.Identity{
		Pool: s.settings.Pool, Instance: s.settings.Instance, Incarnation: s.incarnation,
		Address: s.address, FailureDomain: s.settings.FailureDomain, Region: s.settings.Region,
	}
	rules := membership.DefaultPoolOptions
	rules.Interval = s.settings.ExchangeInterval
	s.pool = membership.NewPool(self, rules, s.workInFlight, s.kernel.Counters)
	if s.admission, err = s.newController(); err != nil {
		return err
	}
	s.admission.Reset() // Not ready until warmUp calls Resume.
	s.kernel.Counters.Func("admission", func() any { return s.admission.Counts() })
	s.kernel.Counters.Func("load", func() any { return s.admission.Load() })
	s.configSync = config.NewSyncer(s.runCtx, s.store)
	s.exchanger = membership.NewExchanger(s.pool, dial, s.configSync, suspectExchange{s.suspects, &s.suspectsReceived})
	return nil
}

// startBackground starts the background goroutines.
func (s *Sidecar) startBackground() {
	s.spawn(config.NewFollower(s.store, s.log, s.settings.Instance, s.settings.Claims.Retention).Run)
	s.spawn(func(ctx context.Context) { s.view.Run(ctx, s.instances, s.settings.ListInterval) })
	s.spawn(s.exchanger.Run)
	s.spawn(s.forwardPoolUpdates)
	s.spawn(s.followMembers)
	s.spawn(s.followConfig)
	s.spawn(s.pollLoadReports)
	s.spawn(s.runLimitReports)
	s.spawn(s.newOrderReconciler().Run)
	s.spawn(s.warmUp)
}

// maxWarmUpWaits is how many times warmUp waits for the settle time of the crash suspect table. It is bounded so
// that a sidecar whose peers are all unreachable still becomes ready.
const maxWarmUpWaits = 5

// lacksPeerSuspects reports whether the pool has other members and none of them has sent its crash suspects
// yet.
func (s *Sidecar) lacksPeerSuspects() bool {
	return len(*s.members.Load()) > 1 && !s.suspectsReceived.Load()
}

// warmUp marks the sidecar as ready after waiting for crash suspects from peers, so that it does not run a
// request that is known to crash backend servers.
func (s *Sidecar) warmUp(ctx context.Context) {
	for waits := 0; waits == 0 || (waits < maxWarmUpWaits && s.lacksPeerSuspects()); waits++ {
		if !sleep(ctx, s.settings.Suspects.Settle) {
			return
		}
	}
	if s.leaving.Load() {
		return
	}
	s.suspects.MarkSynced()
	s.admission.Resume()
	s.pool.SetState(true, s.leaving.Load())
	s.operators.SetReady(true)
	s.kernel.Log.Info("ready to serve requests")
}

// forwardPoolUpdates passes the updates that the exchange receives to the view, as Watch does for a router's
// view.
func (s *Sidecar) forwardPoolUpdates(ctx context.Context) {
	_ = s.exchanger.ServeWatch(ctx, &wire.WatchRequest{}, func(update *wire.PoolUpdate) error {
		s.view.ApplyUpdate(update)
		return nil
	})
}

// followMembers applies every change of the pool's members, and makes this instance leave when the instance
// list marks it as leaving.
func (s *Sidecar) followMembers(ctx context.Context) {
	for ctx.Err() == nil {
		snapshot := s.view.Pool(s.settings.Pool)
		s.applyMembers(snapshot)
		select {
		case <-snapshot.Changed():
		case <-ctx.Done():
		}
	}
}

// applyMembers passes the members of the pool to the components that depend on them, and makes this instance leave
// if it is listed as leaving. The crash suspects, the limiter and the coordinators count this instance as a member
// even when it is not listed.
func (s *Sidecar) applyMembers(snapshot *membership.Snapshot) {
	s.pool.SetListed(snapshot.Members)
	names := make([]string, 0, len(snapshot.Members)+1)
	listed := false
	for _, m := range snapshot.Members {
		names = append(names, m.Instance)
		if m.Instance == s.settings.Instance {
			listed = true
			if m.Leaving {
				s.leave("instance list")
			}
		}
	}
	if !listed {
		names = append(names, s.settings.Instance)
	}
	s.suspects.SetMembers(names)
	s.limiter.SetMembers(len(names))
	s.coordinator.SetMembers(len(names))
	s.members.Store(&names)
}

// suspectExchange attaches crash suspects to the exchange of pool loads.
type suspectExchange struct {
	*suspect.Table
	received *atomic.Bool
}

// Merge implements membership.Suspects.
func (e suspectExchange) Merge(suspects []*wire.Suspect) {
	e.Table.Merge(suspects)
	e.received.Store(true)
}

// ToSend implements membership.Suspects.
func (e suspectExchange) ToSend(limit int) []*wire.Suspect { return e.Export(limit) }

// Watch implements wire.SidecarServer.
func (s *Sidecar) Watch(req *wire.WatchRequest, stream grpc.ServerStreamingServer[wire.PoolUpdate]) error {
	return s.exchanger.ServeWatch(stream.Context(), req, stream.Send)
}

// Exchange implements wire.SidecarServer.
func (s *Sidecar) Exchange(_ context.Context, req *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	return s.exchanger.HandleExchange(req), nil
}

// PullConfig implements wire.SidecarServer.
func (s *Sidecar) PullConfig(req *wire.PullConfigRequest, stream grpc.ServerStreamingServer[wire.ConfigPart]) error {
	return s.store.ServePull(req, stream)
}

// OfferConfig implements wire.SidecarServer.
func (s *Sidecar) OfferConfig(stream grpc.ClientStreamingServer[wire.ConfigPart, wire.OfferConfigReply]) error {
	return s.store.ServeOffer(stream)
}

// followConfig applies every change of the configuration.
func (s *Sidecar) followConfig(ctx context.Context) {
	changed, end := s.store.Subscribe()
	defer end()
	for ctx.Err() == nil {
		s.applyConfig(s.store.View())
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// workInFlight returns the load that is reported to the pool.
func (s *Sidecar) workInFlight() uint64 {
	if s.admission == nil {
		return 0
	}
	return s.admission.Work()
}

// serveFleet writes the status of this sidecar and its view of the pool, for "jacinthfork status".
func (s *Sidecar) serveFleet(w http.ResponseWriter, _ *http.Request) {
	load := s.admission.Load()
	mean := s.pool.Mean()
	kernel.WriteJSON(w, kernel.Status{
		Instance: s.settings.Instance, Role: "sidecar", Pool: s.settings.Pool,
		Incarnation: s.incarnation, ConfigRevision: s.store.Revision(), ConfigAsOf: s.store.View().AsOf,
		Ready: load.Ready && !load.Leaving, Leaving: load.Leaving, Work: load.Work,
		PoolMean: mean.PerMember(load.Work), PoolMembers: mean.Members, StaleMembers: mean.Stale,
	})
}
