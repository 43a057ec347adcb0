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

// provisionFleet builds what connects the router with the fleet.
func (r *Router) provisionFleet() error {
	r.meter = traffic.NewMeter(r.count)
	kernel.CountConnections(r.log, r.meter.Dialer(traffic.PeerLog, traffic.ClassControl))
	kernel.CountConnections(r.instances, r.meter.Dialer(traffic.PeerInstances, traffic.ClassControl))
	options, err := transport.DialOptions(r.settings.TLS)
	if err != nil {
		return err
	}
	r.peers = newPeers(append(options[:len(options):len(options)], r.meter.ClientOptions(traffic.ClassData)...))
	control := append(options[:len(options):len(options)], r.meter.ClientOptions(traffic.ClassControl)...)
	r.dial = func(address string) (membership.Conn, error) {
		return grpc.NewClient("passthrough:///"+address, control...)
	}
	r.store = config.NewStore(r.kernel.Log, r.journal, r.count)
	r.view = membership.NewView(membership.DefaultRules, r.journal, r.count)
	r.relay = membership.NewRelay()
	r.suspects, err = suspect.NewTable("", 0, r.settings.Suspects)
	return err
}

// background starts the goroutines that follow the fleet.
func (r *Router) background(ctx context.Context) {
	self := membership.Identity{Instance: r.settings.Instance, FailureDomain: r.settings.FailureDomain, Region: r.settings.Region}
	r.contact = config.NewContact(ctx, r.store)
	watcher := membership.NewWatcher(r.view, r.dial, r.contact, newestSuspects{r.suspects}, self, r.count)
	r.work.Go(func() { config.NewFollower(r.store, r.log, r.settings.Instance, r.settings.LogRetention).Run(ctx) })
	r.work.Go(func() { r.view.Run(ctx, r.instances, r.settings.ListInterval) })
	r.work.Go(func() { watcher.Run(ctx) })
	r.work.Go(func() { r.prunePeers(ctx) })
}

// newestSuspects lets the router take suspects from the news of a pool.
type newestSuspects struct{ *suspect.Table }

// Newest implements membership.Suspects.
func (n newestSuspects) Newest(limit int) []*wire.Suspect { return n.Export(limit) }

// pruneInterval is how often connections to instances that are gone are closed.
const pruneInterval = 10 * time.Second

func (r *Router) prunePeers(ctx context.Context) {
	tick := time.NewTicker(pruneInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		listed := make(map[string]bool)
		for _, name := range r.view.Pools() {
			for _, member := range r.view.Pool(name).Members {
				listed[member.Instance] = true
			}
		}
		r.peers.retain(listed)
	}
}

// pool returns the candidates of a pool as the policies see them, or nil when the pool is unknown.
func (r *Router) pool(name string) (*placement.Pool, *membership.Snapshot) {
	snapshot := r.view.Pool(name)
	if len(snapshot.Members) == 0 {
		if _, ok := r.store.View().Pool(name, maxPoolSchema); !ok {
			return nil, snapshot
		}
	}
	now := time.Now()
	list := make([]placement.Candidate, len(snapshot.Members))
	total, known := uint64(0), 0
	for i, member := range snapshot.Members {
		list[i] = placement.Candidate{
			ID: member.Instance, FailureDomain: member.FailureDomain, Region: member.Region,
			Incarnation: member.Incarnation, Ready: member.Ready, Leaving: member.Leaving, LoadAge: -1,
		}
		if work, at, ok := member.Load(); ok {
			list[i].Load, list[i].LoadAge = int64(work), now.Sub(at)
			total += work
			known++
		}
	}
	return placement.NewPool(name, list, int64(total)/int64(max(known, 1))), snapshot
}

// maxPoolSchema is the newest schema of pool records that routers follow.
const maxPoolSchema = 2

// Candidates returns the number of ready instances that the router knows in a pool.
func (r *Router) Candidates(pool string) int { return r.view.Pool(pool).Ready }

// ControlBytes returns the bytes that the router has spent on coordination and probes: all bytes of
// its control connections, as counted at the connection, and the load news that travels on requests
// and answers. The HTTP/2 framing of requests is not among them.
func (r *Router) ControlBytes() int64 { return r.piggyback.Load() + r.meter.ControlClass() }

// ConfigRevision returns the revision of the configuration in force.
func (r *Router) ConfigRevision() uint64 { return r.store.Revision() }

// serveFleet writes what this router knows of the fleet, for "jacinthfork status".
func (r *Router) serveFleet(w http.ResponseWriter, _ *http.Request) {
	status := kernel.Status{
		Instance: r.settings.Instance, Role: "router", Incarnation: r.incarnation,
		ConfigRevision: r.store.Revision(), ConfigAsOf: r.store.View().AsOf, Ready: r.operators.Ready(),
		Leaving: r.draining.Load(),
	}
	for _, name := range r.view.Pools() {
		for _, member := range r.view.Pool(name).Members {
			work, _, _ := member.Load()
			status.Members = append(status.Members, kernel.MemberStatus{
				Instance: member.Instance, Pool: name, Incarnation: member.Incarnation,
				Ready: member.Ready, Leaving: member.Leaving, Work: work,
			})
		}
	}
	kernel.WriteJSON(w, status)
}
