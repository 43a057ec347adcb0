package gateway

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"jacinthfork.example/jacinthfork/gateway/backend"
	"jacinthfork.example/jacinthfork/gateway/peer/peerpb"
	"jacinthfork.example/jacinthfork/gateway/poison"
	"jacinthfork.example/jacinthfork/gateway/pool"
	"jacinthfork.example/jacinthfork/gateway/routes"
	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/verdict"
)

// blockPart blocks a part of prompts because of three crashes, the last of which is as old as given.
func blockPart(g *Gateway, part uint64, age time.Duration) {
	g.poison.Merge([]*peerpb.Suspect{{Id: part, Depth: 3, Crashes: []uint32{1, 2, 3}, AgeMs: uint64(age.Milliseconds())}}, nil)
}

// Guards against a request that is sent with a part of a prompt which was found to crash engines while the request waited for
// its place: a queue of them crashes one engine after the other.
func TestWaitingRequestIsNotSentAfterItsPartIsBlocked(t *testing.T) {
	const part = 7
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	received := make(chan int, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			received <- 0
			return
		}
		n, _ := conn.Read(make([]byte, 1))
		_ = conn.Close()
		received <- n
	}()
	g := newPlainFleet(1, []pool.Instance{{ID: "w-0", Pool: "plain", Address: listener.Addr().String(), Slots: 1, StartedAt: 1, Sequence: 1}})[0]
	g.log = slog.New(slog.DiscardHandler)
	g.connections = backend.NewPool()
	g.env.Protocol = plainProtocol{}
	g.crashes = newCrashDetector(func(pool.Instance, time.Time, []failedRequest) {})
	g.poison = poison.NewTable()
	var leases []*pool.Lease
	var held []*reservation
	for range placeCapacity(1) {
		lease, place, err := newWaitingRequest(g).acquire(context.Background())
		is.NoErr(err)
		leases, held = append(leases, lease), append(held, place)
	}

	s := newWaitingRequest(g)
	s.route, s.request, s.parts = &routes.Route{MaxAttempts: 1}, httptest.NewRequest(http.MethodPost, "/", nil), []uint64{part}
	done := make(chan error, 1)
	go func() { done <- s.tryInstances(context.Background()) }()
	time.Sleep(objective / 10)
	blockPart(g, part, 0)
	for n := range leases {
		leases[n].Release(pool.Served)
		g.reservations.end(held[n], pool.Served)
	}
	failure := verdict.As(<-done)
	_ = listener.Close()
	is.Equal(<-received, 0) // bytes of the request
	is.Equal(failure.Reason, verdict.ReasonCrashRefused)
	is.Equal(failure.Verdict, verdict.NotRun)
	is.Equal(g.registry.Summary("plain").Own, 0) // places that are still taken
}

// Guards against a block that lasts for much longer than an outage, because the requests that were to find out whether the
// part is sound came while there was no instance to send them to.
func TestTrialThatReachesNoInstanceIsMadeAgain(t *testing.T) {
	const part = 7
	is := is.New(t)
	route := &routes.Route{Name: "r", Host: "h", Prefix: "/", LatencyObjective: objective, MaxAttempts: 1, Targets: []routes.Target{{Pool: "llm", Weight: 1}}}
	table, err := routes.New(routes.Spec{Version: 1, Pools: []*routes.Pool{{Name: "llm", Engine: &routes.Engine{}}}, Routes: []*routes.Route{route}})
	is.NoErr(err)
	g := &Gateway{
		registry: pool.NewRegistry(pool.DefaultSettings(), "a"), metrics: newMetrics(kernel.NewCounters()), log: slog.New(slog.DiscardHandler),
		poison: poison.NewTable(),
	}
	blockPart(g, part, time.Minute)
	request := func() *requestState {
		return &requestState{g: g, table: table, route: route, start: time.Now(), parts: []uint64{part}}
	}
	for range 3 {
		failure := verdict.As(request().run(context.Background()))
		is.Equal(failure.Reason, verdict.ReasonNoCandidate)
	}
	// One request is tried at a time.
	is.True(request().checkSuspects() == nil)
	is.Equal(request().checkSuspects().Reason, verdict.ReasonCrashRefused)
}
