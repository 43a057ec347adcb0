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

// startFleet builds what needs the address that the sidecar listens on.
func (s *Sidecar) startFleet() error {
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
	rules := membership.DefaultPoolRules
	rules.Interval = s.settings.ExchangeInterval
	s.pool = membership.NewPool(self, rules, s.workInFlight, s.kernel.Counters)
	if s.admission, err = s.newController(); err != nil {
		return err
	}
	s.admission.Reset()
	s.kernel.Counters.Func("admission", func() any { return s.admission.Counts() })
	s.kernel.Counters.Func("load", func() any { return s.admission.Load() })
	s.contact = config.NewContact(s.life, s.store)
	s.exchanger = membership.NewExchanger(s.pool, dial, s.contact, newestSuspects{s.suspects, &s.heardSuspects})
	return nil
}

// background starts the goroutines that follow the fleet.
func (s *Sidecar) background() {
	s.spawn(config.NewFollower(s.store, s.log, s.settings.Instance, s.settings.Claims.Retention).Run)
	s.spawn(func(ctx context.Context) { s.view.Run(ctx, s.instances, s.settings.ListInterval) })
	s.spawn(s.exchanger.Run)
	s.spawn(s.followPool)
	s.spawn(s.followView)
	s.spawn(s.followConfig)
	s.spawn(s.followReports)
	s.spawn(s.followLimits)
	s.spawn(s.newRunner().Run)
	s.spawn(s.warmUp)
}

// warmWaits bounds the wait for a peer, so that a pool whose peers are all unreachable still starts.
const warmWaits = 5

// lacksPeerNews reports whether there are peers and none has told its suspects yet.
func (s *Sidecar) lacksPeerNews() bool {
	return len(*s.members.Load()) > 1 && !s.heardSuspects.Load()
}

// warmUp opens the sidecar for work once news of crashing requests has had time to arrive.
func (s *Sidecar) warmUp(ctx context.Context) {
	for waits := 0; waits == 0 || (waits < warmWaits && s.lacksPeerNews()); waits++ {
		if !pause(ctx, s.settings.Suspects.Settle) {
			return
		}
	}
	if s.leaving.Load() {
		return
	}
	s.suspects.Warm()
	s.admission.Ready()
	s.pool.SetState(true, s.leaving.Load())
	s.operators.SetReady(true)
	s.kernel.Log.Info("ready for work")
}

// followPool lets the view learn what the exchange brings, as a router's view does from Watch.
func (s *Sidecar) followPool(ctx context.Context) {
	_ = s.exchanger.Serve(ctx, &wire.WatchRequest{}, func(news *wire.PoolNews) error {
		s.view.Learn(news)
		return nil
	})
}

// followView gives the members of the pool to everything that needs them, and leaves when the
// instance list says so.
func (s *Sidecar) followView(ctx context.Context) {
	for ctx.Err() == nil {
		snapshot := s.view.Pool(s.settings.Pool)
		s.takeMembers(snapshot)
		select {
		case <-snapshot.Changed():
		case <-ctx.Done():
		}
	}
}

func (s *Sidecar) takeMembers(snapshot *membership.Snapshot) {
	s.pool.SetListed(snapshot.Members)
	names := make([]string, 0, len(snapshot.Members)+1)
	self := false
	for _, m := range snapshot.Members {
		names = append(names, m.Instance)
		if m.Instance == s.settings.Instance {
			self = true
			if m.Leaving {
				s.leave("instance list")
			}
		}
	}
	if !self {
		names = append(names, s.settings.Instance)
	}
	s.suspects.SetMembers(names)
	s.limiter.SetMembers(len(names))
	s.home.SetMembers(len(names))
	s.members.Store(&names)
}

// newestSuspects lets suspects travel with the news of the pool.
type newestSuspects struct {
	*suspect.Table
	heard *atomic.Bool
}

// Merge implements membership.Suspects.
func (n newestSuspects) Merge(suspects []*wire.Suspect) {
	n.Table.Merge(suspects)
	n.heard.Store(true)
}

// Newest implements membership.Suspects.
func (n newestSuspects) Newest(limit int) []*wire.Suspect { return n.Export(limit) }

// Watch implements wire.SidecarServer.
func (s *Sidecar) Watch(req *wire.WatchRequest, stream grpc.ServerStreamingServer[wire.PoolNews]) error {
	return s.exchanger.Serve(stream.Context(), req, stream.Send)
}

// Exchange implements wire.SidecarServer.
func (s *Sidecar) Exchange(_ context.Context, req *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	return s.exchanger.Answer(req), nil
}

// PullConfig implements wire.SidecarServer.
func (s *Sidecar) PullConfig(req *wire.PullConfigRequest, stream grpc.ServerStreamingServer[wire.ConfigPart]) error {
	return s.store.ServePull(req, stream)
}

// OfferConfig implements wire.SidecarServer.
func (s *Sidecar) OfferConfig(stream grpc.ClientStreamingServer[wire.ConfigPart, wire.OfferConfigReply]) error {
	return s.store.ServeOffer(stream)
}

// followConfig applies the records of this sidecar's pool and of the organisations.
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

// workInFlight is the load that the pool is told.
func (s *Sidecar) workInFlight() uint64 {
	if s.admission == nil {
		return 0
	}
	return s.admission.Work()
}

// serveFleet writes what this sidecar knows of its pool, for "jacinthfork status".
func (s *Sidecar) serveFleet(w http.ResponseWriter, _ *http.Request) {
	load := s.admission.Load()
	mean := s.pool.Mean()
	kernel.WriteJSON(w, kernel.Status{
		Instance: s.settings.Instance, Role: "sidecar", Pool: s.settings.Pool,
		Incarnation: s.incarnation, ConfigRevision: s.store.Revision(), ConfigAsOf: s.store.View().AsOf,
		Ready: load.Ready && !load.Leaving, Leaving: load.Leaving, Work: load.Work,
		PoolMean: mean.Of(load.Work), PoolMembers: mean.Members, StaleMembers: mean.Stale,
	})
}
