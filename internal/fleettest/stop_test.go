package fleettest

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"jacinthfork.example/jacinthfork/internal/daemon"
)

// leaveBound is the time after which a leaving backend server must get no new work (design, I5).
const leaveBound = 3 * time.Second

// openStreams opens n streams and waits until each has received an event.
func openStreams(t *testing.T, r *Router, name string, n, tokens int) []*stream {
	t.Helper()
	streams := make([]*stream, n)
	for i := range streams {
		id := fmt.Sprintf("%s-%d", name, i)
		streams[i] = openStream(t, r, id, longChat(id, tokens))
	}
	for _, s := range streams {
		s.waitEvents(t, 1)
	}
	return streams
}

func wantExit(t *testing.T, p *Process, want int) {
	t.Helper()
	status, err := p.Wait(testTimeout)
	if err != nil || status != want {
		t.Errorf("%s: exit status %d, want %d: %v", p.Spec.Name, status, want, err)
	}
}

// Guards against a router or sidecar that breaks its streams when it is stopped by SIGTERM instead of
// finishing them and exiting with 0, and against new work for a leaving sidecar while chats keep arriving.
func TestGracefulStopFinishesStreams(t *testing.T) {
	runParallel(t)
	is := is.New(t)
	f := StartFleet(t, FleetSpec{Routers: 2, Pools: []Pool{{Name: "llm", Kind: "engine", Count: 3, Settings: slowEngine}}})
	leavingRouter, router := f.Routers[0], f.Routers[1]
	streams := openStreams(t, leavingRouter, "router", 4, 500)
	leavingRouter.Signal(syscall.SIGTERM)
	for _, s := range streams {
		s.wantComplete(t)
	}
	wantExit(t, leavingRouter.Process, daemon.ExitOK)

	streams = openStreams(t, router, "sidecar", 4, 800)
	leaving := f.busyBackend(t)
	leaving.Sidecar.Signal(syscall.SIGTERM)
	chatUntil(t, router, time.Now().Add(leaveBound))
	started := leaving.counts().Started
	chatUntil(t, router, time.Now().Add(leaveBound))
	is.Equal(leaving.counts().Started, started) // new work after the time to leave
	for _, s := range streams {
		s.wantComplete(t)
	}
	wantExit(t, leaving.Sidecar, daemon.ExitOK)
}

// Guards against a process that ignores a second SIGTERM while it waits for its streams, or that does not
// report the interruption by its exit status. The interrupted streams must not look complete.
func TestSecondSignalInterruptsStreams(t *testing.T) {
	runParallel(t)
	f := StartFleet(t, FleetSpec{Routers: 2, Pools: []Pool{{Name: "llm", Kind: "engine", Count: 1, Settings: slowEngine}}})
	for _, p := range []*Process{f.Routers[0].Process, f.Backends[0].Sidecar} {
		router := f.Routers[0]
		if !router.Running() {
			router = f.Routers[1]
		}
		streams := openStreams(t, router, p.Spec.Name, 2, 4000)
		p.Signal(syscall.SIGTERM)
		waitFor(t, func() bool { return !answersOK(p.Spec.ReadyURL) })
		p.Signal(syscall.SIGTERM)
		wantExit(t, p, daemon.ExitInterrupted)
		for _, s := range streams {
			s.wantIncomplete(t)
		}
	}
}

// chatUntil sends chats sequentially until end. Each must get a complete answer.
func chatUntil(t *testing.T, r *Router, end time.Time) {
	t.Helper()
	for time.Now().Before(end) {
		id := fmt.Sprintf("new-%d", time.Now().UnixNano())
		openStream(t, r, id, longChat(id, 5)).wantComplete(t)
	}
}
