package gateway

import (
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"jacinthfork.example/jacinthfork/gateway/backend"
	"jacinthfork.example/jacinthfork/gateway/poison"
	"jacinthfork.example/jacinthfork/gateway/pool"
	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/verdict"
)

// crashTimeout bounds the time until a crash is found.
const crashTimeout = 5 * time.Second

// newCrashGateway returns a gateway that records crashes, and a channel that is sent to at each of them.
func newCrashGateway() (*Gateway, chan struct{}) {
	g := &Gateway{
		registry: pool.NewRegistry(pool.DefaultSettings(), "a"), connections: backend.NewPool(), metrics: newMetrics(kernel.NewCounters()),
		log: slog.New(slog.DiscardHandler), poison: poison.NewTable(),
	}
	crashed := make(chan struct{})
	g.crashes = newCrashDetector(func(i pool.Instance, at time.Time, failed []failedRequest) {
		g.recordCrash(i, at, failed)
		crashed <- struct{}{}
	})
	return g, crashed
}

// failConnection breaks the connection of an attempt to send a request to an instance.
func failConnection(g *Gateway, fingerprint uint64, answered bool, i pool.Instance) {
	s := &requestState{g: g, fingerprint: fingerprint}
	s.recordSending()
	s.answered = answered
	s.reportFailedConnection(&pool.Lease{Instance: i})
}

func waitForCrash(t *testing.T, crashed chan struct{}) {
	t.Helper()
	select {
	case <-crashed:
	case <-time.After(crashTimeout):
		t.Fatal("the crash was not found")
	}
}

// Guards against a sound request that is refused because two backend servers crashed while they were answering it: at a
// router with few requests it is the only one in flight, whoever else's request is the cause. One that had not been answered
// is refused, and so is one that was being answered at a third crash.
func TestRequestBeingAnsweredIsNotBlamedAlone(t *testing.T) {
	for name, answered := range map[string]bool{"answered": true, "not answered": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const fingerprint = 5
			is := is.New(t)
			g, crashed := newCrashGateway()
			refused := func() bool {
				_, blocked := g.poison.Blocked(poison.Request{Fingerprint: fingerprint})
				return blocked
			}
			for _, id := range []string{"e-0", "e-1"} {
				is.True(!refused())
				failConnection(g, fingerprint, answered, pool.Instance{ID: id, Address: "127.0.0.1:1", StartedAt: 1})
				waitForCrash(t, crashed)
			}
			is.Equal(refused(), !answered)
			failConnection(g, fingerprint, answered, pool.Instance{ID: "e-2", Address: "127.0.0.1:1", StartedAt: 1})
			waitForCrash(t, crashed)
			is.True(refused())
		})
	}
}

// Guards against broken connections that are taken for crashes although the backend server accepts connections, such as the
// reset of an idle one.
func TestBrokenConnectionOfARunningServerIsNoCrash(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	g, crashed := newCrashGateway()
	for n := range 4 {
		failConnection(g, 5, false, pool.Instance{ID: "w-0", Address: listener.Addr().String(), StartedAt: int64(n + 1)})
		select {
		case <-crashed:
			t.Fatal("a broken connection was taken for a crash")
		case <-time.After(2 * crashWindow):
		}
	}
	is.Equal(g.poison.Counts().Suspects, 0)
}

// Guards against two gateways that count one crash twice: requests that are alike were in flight at both.
func TestCrashHasOneIDAtAllGateways(t *testing.T) {
	const fingerprint = 5
	is := is.New(t)
	gateways := make([]*Gateway, 4)
	for n := range gateways {
		g, crashed := newCrashGateway()
		gateways[n] = g
		failConnection(g, fingerprint, false, pool.Instance{ID: "w-0", Address: "127.0.0.1:1", StartedAt: 1})
		waitForCrash(t, crashed)
	}
	for _, from := range gateways {
		parts, requests := from.poison.Export()
		is.Equal(len(requests), 1)
		for _, to := range gateways {
			to.poison.Merge(parts, requests)
		}
	}
	for _, g := range gateways {
		s := &requestState{g: g, fingerprint: fingerprint}
		is.Equal(s.checkSuspects(), (*verdict.Error)(nil))
		_, requests := g.poison.Export()
		is.Equal(len(requests[0].GetCrashes()), 1)
	}
}
