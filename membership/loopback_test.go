package membership

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"jacinthfork.example/jacinthfork/config"
	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/kernel/journal"
	"jacinthfork.example/jacinthfork/services"
	"jacinthfork.example/jacinthfork/traffic"
	"jacinthfork.example/jacinthfork/wire"
)

// node is a sidecar with a real gRPC server on loopback.
type node struct {
	wire.UnimplementedSidecarServer
	*sidecar
	meter   *traffic.Meter
	store   *config.Store
	address string
	server  *grpc.Server
}

func (n *node) Exchange(_ context.Context, r *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	return n.exchanger.HandleExchange(r), nil
}

func (n *node) Watch(r *wire.WatchRequest, s grpc.ServerStreamingServer[wire.PoolUpdate]) error {
	return n.exchanger.ServeWatch(s.Context(), r, s.Send)
}

func (n *node) PullConfig(r *wire.PullConfigRequest, s grpc.ServerStreamingServer[wire.ConfigPart]) error {
	return n.store.ServePull(r, s)
}

func (n *node) OfferConfig(s grpc.ClientStreamingServer[wire.ConfigPart, wire.OfferConfigReply]) error {
	return n.store.ServeOffer(s)
}

func controlDial(meter *traffic.Meter) DialFunc {
	options := append(meter.ClientOptions(traffic.ClassControl), grpc.WithTransportCredentials(insecure.NewCredentials()))
	return func(address string) (Conn, error) { return grpc.NewClient(address, options...) }
}

func newStore(counters *kernel.Counters) *config.Store {
	return config.NewStore(slog.New(slog.NewTextHandler(io.Discard, nil)), journal.New(0), counters)
}

func startNode(ctx context.Context, tb testing.TB, i int) *node {
	counters := kernel.NewCounters()
	meter := traffic.NewMeter(counters)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	n := &node{meter: meter, store: newStore(counters), address: l.Addr().String()}
	n.sidecar = newSidecar(i, controlDial(meter), n.address)
	n.exchanger.config = config.NewSyncer(ctx, n.store)
	n.work.Store(uint64(1000 + i))
	n.server = grpc.NewServer(append(meter.ServerOptions(), grpc.Creds(insecure.NewCredentials()))...)
	wire.RegisterSidecarServer(n.server, n)
	go func() { _ = n.server.Serve(meter.ListenGRPC(l)) }()
	return n
}

func startNodes(ctx context.Context, tb testing.TB, count int) []*node {
	nodes := make([]*node, count)
	var members []Member
	for i := range nodes {
		nodes[i] = startNode(ctx, tb, i)
		members = append(members, Member{Instance: instanceName(i), Address: nodes[i].address})
	}
	for _, n := range nodes {
		n.pool.SetListed(members)
		n.pool.SetState(true, false)
		go n.exchanger.Run(ctx)
	}
	return nodes
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Limits per node. The exchange may use two fifths of the 5 KB/s for control traffic; see DefaultPoolOptions.
const (
	maxBytesPerSecond = 2000
	maxCoreShare      = 0.038
	maxHeapBytes      = 256 << 20
)

// BenchmarkExchange runs whole pools with gRPC over loopback and checks the limits above:
//
//	go test ./membership -run '^$' -bench Exchange -benchtime 1x
func BenchmarkExchange(b *testing.B) {
	for _, count := range []int{2, 8, 32, 64, 75, 128} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			before := memoryInUse()
			nodes := startNodes(ctx, b, count)
			time.Sleep(20 * time.Second)
			measure(b, nodes, before)
			for _, n := range nodes {
				n.server.Stop()
			}
		})
	}
}

func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

func measure(b *testing.B, nodes []*node, before uint64) {
	const window = 20 * time.Second
	control := func() (sum int64) {
		for _, n := range nodes {
			sum += n.meter.ControlBytes()
		}
		return sum
	}
	bytes, busy, stale := control(), processorTime(), 0
	var oldest []time.Duration
	for range window / time.Second {
		time.Sleep(time.Second)
		for _, n := range nodes {
			mean := n.pool.Mean()
			stale += mean.Stale
			oldest = append(oldest, mean.MaxAge)
		}
	}
	per := float64(len(nodes)) * window.Seconds()
	perSecond := float64(control()-bytes) / per
	core := (processorTime() - busy).Seconds() / per
	used := float64(memoryInUse()-before) / float64(len(nodes))
	slices.Sort(oldest)
	b.ReportMetric(perSecond, "B/s/node")
	b.ReportMetric(100*core, "%core/node")
	b.ReportMetric(used/1024, "KiB/node")
	b.ReportMetric(oldest[len(oldest)/2].Seconds(), "oldest-p50-s")
	b.ReportMetric(oldest[len(oldest)*99/100].Seconds(), "oldest-p99-s")
	b.ReportMetric(float64(stale)/float64(len(nodes)*len(oldest)), "stale-share")
	if len(nodes) <= 75 && perSecond > maxBytesPerSecond || core > maxCoreShare || used > maxHeapBytes {
		b.Fatalf("limit exceeded: %.0f B/s, %.4f cores, %.0f bytes of memory per node", perSecond, core, used)
	}
}

// BenchmarkWatch measures the control bytes of a router for each pool of 75 sidecars that it watches. In a
// fleet of 600 sidecars a router watches 8 pools, which together may use half of 5 KB/s.
//
//	go test ./membership -run '^$' -bench Watch -benchtime 1x
func BenchmarkWatch(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	nodes := startNodes(ctx, b, 75)
	var meters []*traffic.Meter
	for i := range 8 {
		_, _, meter := newRouter(ctx, nodes[0], i)
		meters = append(meters, meter)
	}
	control := func() (sum int64) {
		for _, m := range meters {
			sum += m.ControlBytes()
		}
		return sum
	}
	time.Sleep(20 * time.Second)
	start := control()
	time.Sleep(30 * time.Second)
	perPool := float64(control()-start) / 30 / float64(len(meters))
	b.ReportMetric(float64(start)/float64(len(meters)), "B-to-join")
	b.ReportMetric(perPool, "B/s/pool")
	if 8*perPool > 2500 {
		b.Fatalf("8 pools use %.0f B/s of control traffic, limit 2500", 8*perPool)
	}
	for _, n := range nodes {
		n.server.Stop()
	}
}

// BenchmarkConfigSpread changes the configuration on one sidecar of a pool while the log is down for all other
// sidecars and the routers, and measures the time until every node has the change. The target is 16 s.
//
//	go test ./membership -run '^$' -bench ConfigSpread -benchtime 1x
func BenchmarkConfigSpread(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	nodes := startNodes(ctx, b, 75)
	var stores []*config.Store
	for i := range 8 {
		stores = append(stores, startRouter(ctx, nodes, i))
	}
	for _, n := range nodes {
		stores = append(stores, n.store)
	}
	importConfig(b, nodes[0].store, 7)
	measurePropagation(b, stores, 7, "fresh-s")
	time.Sleep(15 * time.Second)
	importConfig(b, nodes[0].store, 19)
	measurePropagation(b, stores, 19, "change-s")
	for _, n := range nodes {
		n.server.Stop()
	}
}

func measurePropagation(b *testing.B, stores []*config.Store, revision uint64, unit string) {
	start := time.Now()
	for _, s := range stores {
		for s.Revision() < revision && time.Since(start) < time.Minute {
			time.Sleep(10 * time.Millisecond)
		}
	}
	took := time.Since(start).Seconds()
	b.ReportMetric(took, unit)
	if took > 16 {
		b.Fatalf("revision %d: waited %.1f s for all nodes, limit 16 s", revision, took)
	}
}

// startRouter starts the view and the watcher of a router that knows only the first sidecar, and returns its
// configuration store.
func startRouter(ctx context.Context, nodes []*node, i int) *config.Store {
	_, store, _ := newRouter(ctx, nodes[0], i)
	return store
}

func newRouter(ctx context.Context, first *node, i int) (*View, *config.Store, *traffic.Meter) {
	counters := kernel.NewCounters()
	view, store := NewView(DefaultViewOptions, journal.New(10), counters), newStore(counters)
	meter := traffic.NewMeter(counters)
	id := Identity{Instance: fmt.Sprint("router-", i), FailureDomain: fmt.Sprintf("bq-%d", i%3), Region: "bq"}
	watcher := NewWatcher(view, controlDial(meter), config.NewSyncer(ctx, store), emptySuspects{}, id, counters)
	view.SetList([]services.Instance{{
		ID: first.pool.self.Instance, Role: services.RoleSidecar, Pool: "limon-llm",
		Address: first.address, FailureDomain: first.pool.self.FailureDomain, Region: "bq",
	}})
	go view.Run(ctx, listFunc(func() []services.Instance { <-ctx.Done(); return nil }), time.Hour)
	go watcher.Run(ctx)
	return view, store, meter
}

// Covers the whole path over real connections: a router that knows one sidecar discovers the pool, learns of a
// departure, and gets the configuration although its log is down.
func TestRouterLearnsPoolAndConfigOverLoopback(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	nodes := startNodes(ctx, t, 4)
	importConfig(t, nodes[2].store, 7)
	view, store, meter := newRouter(ctx, nodes[1], 1)
	waitForSnapshot(t, view, func(s *Snapshot) bool { return s.Ready == 4 })
	nodes[0].pool.SetState(true, true)
	waitForSnapshot(t, view, func(s *Snapshot) bool { m, _ := s.Find(instanceName(0)); return m.Leaving })
	nodes[1].server.Stop() // The watched sidecar dies; the router must watch another one.
	nodes[3].pool.SetState(true, true)
	waitForSnapshot(t, view, func(s *Snapshot) bool { m, _ := s.Find(instanceName(3)); return m.Leaving })
	changed, end := store.Subscribe()
	defer end()
	for store.Revision() != nodes[2].store.Revision() {
		<-changed
	}
	importConfig(t, nodes[2].store, 19) // The others cannot read the log, so the change is offered to them.
	for store.Revision() != 19 {
		<-changed
	}
	if totals := meter.BytesByKey(); totals["sidecar/control/in"] == 0 || totals["sidecar/data/in"] != 0 {
		t.Fatalf("control and data bytes are not separated: %v", totals)
	}
	for _, n := range nodes {
		n.server.Stop()
	}
}

// waitForSnapshot returns once the pool's snapshot satisfies want. Only the timeout of go test bounds it.
func waitForSnapshot(t *testing.T, view *View, want func(*Snapshot) bool) {
	t.Helper()
	for {
		s := view.Pool("limon-llm")
		if want(s) {
			return
		}
		<-s.Changed()
	}
}

// importConfig puts a configuration into the store as if the store had read it from the log.
func importConfig(tb testing.TB, store *config.Store, revision uint64) {
	tb.Helper()
	err := store.Import([]*wire.ConfigPart{{AsOf: revision + 2, Last: true, Objects: []*wire.ConfigObject{{
		Kind: "pool", Name: "limon-llm", Schema: 1, Revision: revision, Author: "operator",
		Body: []byte(`{"workload":"model"}`),
	}}}})
	if err != nil {
		tb.Fatal(err)
	}
}
