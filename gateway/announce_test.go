package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jacinthfork.example/jacinthfork/gateway/backend"
	"jacinthfork.example/jacinthfork/gateway/poison"
	"jacinthfork.example/jacinthfork/gateway/pool"
	"jacinthfork.example/jacinthfork/gateway/routes"
	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/verdict"
)

// newWaitingRequest returns a request to the plain service of newPlainFleet.
func newWaitingRequest(g *Gateway) *requestState {
	s := &requestState{g: g, table: g.table.Load(), pool: "plain", start: time.Now()}
	s.deadline = s.start.Add(5 * objective)
	return s
}

// A request waits for a place, at its own gateway or at another one that keeps the instance, while the instance announces
// its departure to the gateway or turns it away for some time. Guards against a request that is sent there once a place is
// free, and against a place that is never given back.
func TestWaitingRequestIsNotSentAfterAnnouncement(t *testing.T) {
	for name, c := range map[string]struct {
		// router is 0 for the keeper of the instance.
		router   int
		announce func(l *pool.Lease)
	}{
		"keeper, departure":        {0, func(l *pool.Lease) { l.RecordLeaving() }},
		"other gateway, departure": {1, func(l *pool.Lease) { l.RecordLeaving() }},
		"keeper, hold-off":         {0, func(l *pool.Lease) { l.RecordHoldOff(time.Minute) }},
		"other gateway, hold-off":  {1, func(l *pool.Lease) { l.RecordHoldOff(time.Minute) }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				instance := pool.Instance{ID: "w-0", Pool: "plain", Slots: 1, StartedAt: 1, Sequence: 1}
				fleet := newPlainFleet(2, []pool.Instance{instance})
				if _, kept := fleet[0].registry.Kept(pool.KeyOf(instance.ID)); !kept {
					fleet[0], fleet[1] = fleet[1], fleet[0]
				}
				g := fleet[c.router]
				var leases []*pool.Lease
				var held []*reservation
				for range placeCapacity(instance.Slots) {
					lease, place, err := newWaitingRequest(g).acquire(context.Background())
					if lease == nil {
						t.Fatal(err)
					}
					leases, held = append(leases, lease), append(held, place)
				}
				done := make(chan *pool.Lease)
				go func() {
					lease, _, _ := newWaitingRequest(g).acquire(context.Background())
					done <- lease
				}()
				time.Sleep(objective / 10)
				c.announce(leases[0])
				for n := range leases {
					leases[n].Release(pool.Served)
					g.reservations.end(held[n], pool.Served)
				}
				if lease := <-done; lease != nil {
					t.Error("the request is sent to an instance that takes no more")
				}
				time.Sleep(time.Second)
				if n := fleet[0].registry.HoldCount(); n > 0 {
					t.Errorf("%d places are still taken", n)
				}
				if n := g.registry.Summary("plain").Own; n > 0 {
					t.Errorf("%d requests are still counted", n)
				}
			})
		})
	}
}

// plainProtocol sets no header fields. An instance that answers with status 503 turns the router away for a minute.
type plainProtocol struct{ Protocol }

func (plainProtocol) SetForwardHeader(http.Header, ForwardInfo) {}

func (plainProtocol) ParseResponse(resp *http.Response) (r ResponseInfo) {
	if resp.StatusCode == http.StatusServiceUnavailable {
		r.NotRun, r.RetryAfter = true, time.Minute
	}
	return r
}

// Guards against a request that is sent although its instance has announced its departure while the connection was made.
func TestConnectedRequestIsNotSentAfterAnnouncedDeparture(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	received := make(chan int, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		n, _ := conn.Read(make([]byte, 1))
		_ = conn.Close()
		received <- n
	}()
	g := newPlainFleet(1, []pool.Instance{{ID: "w-0", Pool: "plain", Address: listener.Addr().String(), Slots: 1, StartedAt: 1, Sequence: 1}})[0]
	g.connections = backend.NewPool()
	g.env.Protocol = plainProtocol{}
	g.crashes = newCrashDetector(func(pool.Instance, time.Time, []failedRequest) {})
	g.poison = poison.NewTable()
	s := newWaitingRequest(g)
	s.route, s.request = &routes.Route{}, httptest.NewRequest(http.MethodPost, "/", nil)
	lease := g.registry.Acquire(s.poolRequest())
	lease.RecordLeaving()
	outcome, err := s.attempt(context.Background(), lease)
	is.Equal(<-received, 0) // bytes of the request
	is.Equal(outcome, pool.Abandoned)
	is.Equal(verdict.As(err).Verdict, verdict.NotRun)
}

// Guards against requests to an instance that has turned this router away in the answer to an offer which ended before the
// answer was looked at.
func TestHoldOffInTheAnswerToAnEndedOfferIsKept(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }))
	defer server.Close()
	g := newPlainFleet(1, []pool.Instance{{ID: "w-0", Pool: "plain", Address: server.Listener.Addr().String(), Slots: 1, StartedAt: 1, Sequence: 1}})[0]
	g.connections = backend.NewPool()
	g.log = slog.New(slog.DiscardHandler)
	g.env.Protocol = plainProtocol{}
	g.poison = poison.NewTable()
	s := newWaitingRequest(g)
	s.route, s.request = &routes.Route{}, httptest.NewRequest(http.MethodPost, "/", nil)
	s.target = "/"
	o := &offer{lease: g.registry.Acquire(s.poolRequest()), result: make(chan exchangeResult, 1)}
	o.ctx, o.cancel = context.WithCancel(t.Context())
	conn, _, err := s.connect(o.ctx, o.lease)
	is.NoErr(err)
	r := g.exchange(o.ctx, conn, s.backendRequest(o.lease))
	is.NoErr(r.err)
	o.result <- r
	s.endOffer(o)
	is.True(g.registry.HeldOff("plain") > 0)
}

// Guards against a request that goes on waiting for a place at an instance which takes no more: another instance has one,
// or there is no other and its caller can be told at once.
func TestWaitEndsWhenTheInstanceTakesNoMore(t *testing.T) {
	const waits = objective / 10
	leaving := func(_ *Gateway, l *pool.Lease) { l.RecordLeaving() }
	holdOff := func(_ *Gateway, l *pool.Lease) { l.RecordHoldOff(time.Minute) }
	entry := func(g *Gateway, l *pool.Lease) {
		i := l.Instance
		i.Sequence, i.Leaving = i.Sequence+1, true
		g.registry.ApplyEntry(i)
	}
	for name, c := range map[string]struct {
		// router is 0 for the keeper of the instance.
		router   int
		announce func(g *Gateway, l *pool.Lease)
		// joins is set if another instance joins the service meanwhile.
		joins bool
	}{
		"keeper, departure":                         {0, leaving, false},
		"keeper, entry":                             {0, entry, false},
		"keeper, hold-off":                          {0, holdOff, false},
		"keeper, hold-off, another instance":        {0, holdOff, true},
		"other gateway, departure":                  {1, leaving, false},
		"other gateway, entry":                      {1, entry, false},
		"other gateway, hold-off":                   {1, holdOff, false},
		"other gateway, hold-off, another instance": {1, holdOff, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				instance := pool.Instance{ID: "w-0", Pool: "plain", Slots: 1, StartedAt: 1, Sequence: 1}
				other := pool.Instance{ID: "w-1", Pool: "plain", Slots: 1, StartedAt: 1, Sequence: 1}
				fleet := newPlainFleet(2, []pool.Instance{instance})
				if _, kept := fleet[0].registry.Kept(pool.KeyOf(instance.ID)); !kept {
					fleet[0], fleet[1] = fleet[1], fleet[0]
				}
				g := fleet[c.router]
				var running []*pool.Lease
				for range placeCapacity(instance.Slots) {
					lease, _, err := newWaitingRequest(g).acquire(context.Background())
					is.NoErr(err)
					running = append(running, lease)
				}
				time.AfterFunc(waits, func() {
					if c.joins {
						for _, g := range fleet {
							g.registry.ApplyEntry(other)
						}
					}
					c.announce(g, running[0])
				})
				begin := time.Now()
				lease, place, err := newWaitingRequest(g).acquire(context.Background())
				is.True(time.Since(begin) < 2*waits)
				is.NoErr(err)
				is.Equal(lease != nil, c.joins)
				if lease != nil {
					is.Equal(lease.Instance.ID, other.ID)
					lease.Release(pool.Served)
					g.reservations.end(place, pool.Served)
				}
				time.Sleep(time.Second)
				is.Equal(g.registry.Summary("plain").Own, len(running))
				is.Equal(fleet[0].registry.HoldCount()+fleet[1].registry.HoldCount(), c.router*len(running))
			})
		})
	}
}

// Guards against a caller that is told to come back sooner than its pool takes requests again, because its request waited
// for a place when the last instance turned requests away.
func TestRefusalAfterAWaitSaysWhenAHeldOffPoolReturns(t *testing.T) {
	for router, name := range []string{"keeper", "other gateway"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				instance := pool.Instance{ID: "w-0", Pool: "plain", Slots: 1, StartedAt: 1, Sequence: 1}
				fleet := newPlainFleet(2, []pool.Instance{instance})
				if _, kept := fleet[0].registry.Kept(pool.KeyOf(instance.ID)); !kept {
					fleet[0], fleet[1] = fleet[1], fleet[0]
				}
				g := fleet[router]
				g.poison = poison.NewTable()
				var running []*pool.Lease
				for range placeCapacity(instance.Slots) {
					lease, _, err := newWaitingRequest(g).acquire(context.Background())
					is.NoErr(err)
					running = append(running, lease)
				}
				const holdOff = 20 * time.Second
				time.AfterFunc(objective/10, func() { running[0].RecordHoldOff(holdOff) })
				err := newWaitingRequest(g).tryInstances(context.Background())
				is.True(verdict.As(err).RetryAfter >= holdOff-objective)
				time.Sleep(time.Second) // the keeper is told of the end
			})
		})
	}
}

// Guards against a request that waits in the queue of a pool of engines while all of them turn requests away.
func TestHeldOffPoolRefusesWithoutQueueing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, table, route := newEngineGateway(t)
		grant, err := g.admission.admit(context.Background(), table.Pools["llm"], "", 0)
		is.NoErr(err)
		defer grant.Done()
		g.registry.Acquire(&pool.Request{Pool: "llm"}).RecordHoldOff(time.Minute)

		s := &requestState{g: g, table: table, route: route, start: time.Now()}
		failure := verdict.As(s.run(context.Background()))
		is.Equal(failure.Verdict, verdict.NotRun)
		is.Equal(failure.RetryAfter, time.Minute)
		is.Equal(time.Since(s.start), time.Duration(0))
	})
}

// Guards against a request that is refused because all instances of its pool turn requests away, while another pool of its
// route would serve it, and against one that is told to come back later than the first pool does.
func TestHeldOffPoolLeavesItsRequestsToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		names := []string{"p-0", "p-1", "p-2"}
		route := &routes.Route{Name: "r", Host: "h", Prefix: "/", LatencyObjective: objective, MaxAttempts: 1}
		spec := routes.Spec{Version: 1, Routes: []*routes.Route{route}}
		g := &Gateway{registry: pool.NewRegistry(pool.DefaultSettings(), "a")}
		for n, name := range names {
			route.Targets = append(route.Targets, routes.Target{Pool: name, Weight: 1})
			spec.Pools = append(spec.Pools, &routes.Pool{Name: name})
			g.registry.ApplyEntry(pool.Instance{ID: fmt.Sprintf("w-%d", n), Pool: name, Slots: 1, StartedAt: 1, Sequence: 1})
		}
		table, err := routes.New(spec)
		is.NoErr(err)
		chosen := func() (count map[string]int) {
			count = make(map[string]int)
			for n := range 60 {
				s := &requestState{g: g, table: table, route: route, call: RequestInfo{ID: strconv.Itoa(n)}}
				is.True(s.choosePool() == nil)
				count[s.pool]++
			}
			return count
		}
		is.Equal(len(chosen()), 3)
		for n, name := range names {
			g.registry.Acquire(&pool.Request{Pool: name}).RecordHoldOff(time.Duration(3-n) * time.Minute)
			is.Equal(len(chosen()), max(1, 2-n))
		}
		is.Equal(chosen()["p-2"], 60) // the first to come back
		time.Sleep(2 * time.Minute)
		is.Equal(chosen()["p-0"], 0)
		time.Sleep(time.Minute)
		is.Equal(len(chosen()), 3)
	})
}

// The same for a request that waited in the queue of a pool of engines.
func TestRefusalAfterAQueueSaysWhenAHeldOffPoolReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, table, route := newEngineGateway(t)
		grant, err := g.admission.admit(context.Background(), table.Pools["llm"], "", 0)
		is.NoErr(err)
		defer grant.Done()
		const holdOff = 20 * time.Second
		time.AfterFunc(objective/10, func() { g.registry.Acquire(&pool.Request{Pool: "llm"}).RecordHoldOff(holdOff) })
		s := &requestState{g: g, table: table, route: route, start: time.Now()}
		is.True(verdict.As(s.run(context.Background())).RetryAfter >= holdOff-objective)
	})
}

// newEngineGateway returns a gateway before one engine with one slot. It does no I/O.
func newEngineGateway(t *testing.T) (*Gateway, *routes.Table, *routes.Route) {
	is := is.New(t)
	route := &routes.Route{Name: "r", Host: "h", Prefix: "/", LatencyObjective: objective, MaxAttempts: 1, Targets: []routes.Target{{Pool: "llm", Weight: 1}}}
	table, err := routes.New(routes.Spec{Version: 1, Pools: []*routes.Pool{{Name: "llm", Engine: &routes.Engine{}}}, Routes: []*routes.Route{route}})
	is.NoErr(err)
	g := &Gateway{registry: pool.NewRegistry(pool.DefaultSettings(), "a"), metrics: newMetrics(kernel.NewCounters()), poison: poison.NewTable()}
	g.admission = newAdmissionControllers(g.registry)
	g.admission.configure(table)
	g.registry.ApplyEntry(pool.Instance{ID: "e-0", Pool: "llm", Slots: 1, StartedAt: 1, Sequence: 1})
	g.admission.refresh()
	return g, table, route
}
