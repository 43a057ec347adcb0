package router

import (
	"context"
	"net/http"
	"time"

	"google.golang.org/grpc"
	"jacinthfork.example/jacinthfork/config"
	"jacinthfork.example/jacinthfork/internal/transport"
	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/membership"
	"jacinthfork.example/jacinthfork/placement"
	"jacinthfork.example/jacinthfork/suspect"
	"jacinthfork.example/jacinthfork/traffic"
	"jacinthfork.example/jacinthfork/wire"
)

// provisionFleet creates the components that connect the router to the fleet.
func (r *Router) provisionFleet() error {
	r.meter = traffic.NewMeter(r.counters)
	kernel.SetDialer(r.log, r.meter.Dialer(traffic.PeerLog, traffic.ClassControl))
	kernel.SetDialer(r.instances, r.meter.Dialer(traffic.PeerInstances, traffic.ClassControl))
	options, err := transport.DialOptions(r.settings.TLS)
	if err != nil {
		return err
	}
	r.sidecars = newSidecarConns(append(options[:len(options):len(options)], r.meter.ClientOptions(traffic.ClassData)...))
	control := append(options[:len(options):len(options)], r.meter.ClientOptions(traffic.ClassControl)...)
	r.dial = func(address string) (membership.Conn, error) {
		return grpc.NewClient("passthrough:///"+address, control...)
	}
	r.configStore = config.NewStore(r.kernel.Log, r.journal, r.counters)
	r.membershipView = membership.NewView(membership.DefaultViewOptions, r.journal, r.counters)
	r.loadRelay = membership.NewRelay()
	r.suspects, err = suspect.NewTable("", 0, r.settings.Suspects)
	return err
}

// startBackground starts the goroutines that keep the configuration, the members and the connections up to
// date.
func (r *Router) startBackground(ctx context.Context) {
	self := membership.Identity{Instance: r.settings.Instance, FailureDomain: r.settings.FailureDomain, Region: r.settings.Region}
	r.configSync = config.NewSyncer(ctx, r.configStore)
	watcher := membership.NewWatcher(r.membershipView, r.dial, r.configSync, suspectSource{r.suspects}, self, r.counters)
	r.wg.Go(func() {
		config.NewFollower(r.configStore, r.log, r.settings.Instance, r.settings.LogRetention).Run(ctx)
	})
	r.wg.Go(func() { r.membershipView.Run(ctx, r.instances, r.settings.ListInterval) })
	r.wg.Go(func() { watcher.Run(ctx) })
	r.wg.Go(func() { r.closeStaleConnections(ctx) })
}

// suspectSource lets the membership watcher read suspects from the table and merge those of other
// instances into it.
type suspectSource struct{ *suspect.Table }

// ToSend implements membership.Suspects. It returns at most limit suspects; if there are more, half of them are
// the newest and the rest are others in turn.
func (s suspectSource) ToSend(limit int) []*wire.Suspect { return s.Export(limit) }

// pruneInterval is the interval at which connections to instances that are no longer members are closed.
const pruneInterval = 10 * time.Second

func (r *Router) closeStaleConnections(ctx context.Context) {
	tick := time.NewTicker(pruneInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		listed := make(map[string]bool)
		for _, name := range r.membershipView.Pools() {
			for _, member := range r.membershipView.Pool(name).Members {
				listed[member.Instance] = true
			}
		}
		r.sidecars.retain(listed)
	}
}

// placementPool returns the candidates of a pool in the form that placement policies use, or nil if the
// pool is unknown.
func (r *Router) placementPool(name string) (*placement.Pool, *membership.Snapshot) {
	snapshot := r.membershipView.Pool(name)
	if len(snapshot.Members) == 0 {
		if _, ok := r.configStore.View().Pool(name, maxPoolSchema); !ok {
			return nil, snapshot
		}
	}
	now := time.Now()
	candidates := make([]placement.Candidate, len(snapshot.Members))
	total, reported := uint64(0), 0
	for i, member := range snapshot.Members {
		candidates[i] = placement.Candidate{
			ID: member.Instance, FailureDomain: member.FailureDomain, Region: member.Region,
			Incarnation: member.Incarnation, Ready: member.Ready, Leaving: member.Leaving, LoadAge: -1,
		}
		if work, at, ok := member.Load(); ok {
			candidates[i].Load, candidates[i].LoadAge = int64(work), now.Sub(at)
			total += work
			reported++
		}
	}
	return placement.NewPool(name, candidates, int64(total)/int64(max(reported, 1))), snapshot
}

// maxPoolSchema is the newest schema version of pool records that routers support.
const maxPoolSchema = 2

// ReadyInstances returns the number of ready instances of a pool that the router knows.
func (r *Router) ReadyInstances(pool string) int { return r.membershipView.Pool(pool).Ready }

// ControlBytes returns the bytes that the router has spent on coordination: all bytes of its control
// connections (the log, the instance list, the membership watch and configuration transfers), as counted at the
// connection, and the load updates that are piggybacked on requests and responses. It excludes
// the HTTP/2 framing of requests.
func (r *Router) ControlBytes() int64 { return r.piggybackedBytes.Load() + r.meter.ControlClassBytes() }

// ConfigRevision returns the revision of the configuration in force.
func (r *Router) ConfigRevision() uint64 { return r.configStore.Revision() }

// serveFleet writes the state of the fleet as this router knows it, for "jacinthfork status".
func (r *Router) serveFleet(w http.ResponseWriter, _ *http.Request) {
	status := kernel.Status{
		Instance: r.settings.Instance, Role: "router", Incarnation: r.incarnation,
		ConfigRevision: r.configStore.Revision(), ConfigAsOf: r.configStore.View().AsOf, Ready: r.operators.Ready(),
		Leaving: r.draining.Load(),
	}
	for _, name := range r.membershipView.Pools() {
		for _, member := range r.membershipView.Pool(name).Members {
			work, _, _ := member.Load()
			status.Members = append(status.Members, kernel.MemberStatus{
				Instance: member.Instance, Pool: name, Incarnation: member.Incarnation,
				Ready: member.Ready, Leaving: member.Leaving, Work: work,
			})
		}
	}
	kernel.WriteJSON(w, status)
}
