package fleettest

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"jacinthfork.example/jacinthfork/internal/daemon"
)

// noNewWork is the time after which a leaving backend server gets no new work (design, I5).
const noNewWork = 3 * time.Second

// openStreams opens n streams and waits until all have begun.
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
	status, err := p.Wait(longEnough)
	if err != nil || status != want {
		t.Errorf("%s: exit status %d, want %d: %v", p.Spec.Name, status, want, err)
	}
}

// A router and a sidecar that are told to stop must finish their streams and exit with 0, and the
// leaving sidecar must not be given new work although chats keep coming.
func TestGracefulStop(t *testing.T) {
	parallel(t)
	is := is.New(t)
	f := StartFleet(t, FleetSpec{Routers: 2, Pools: []Pool{{Name: "llm", Kind: "engine", Count: 3, Settings: slowEngine}}})
	leavingRouter, router := f.Routers[0], f.Routers[1]
	streams := openStreams(t, leavingRouter, "router", 4, 500)
	leavingRouter.Signal(syscall.SIGTERM)
	for _, s := range streams {
		s.wantWhole(t)
	}
	wantExit(t, leavingRouter.Process, daemon.ExitOK)

	streams = openStreams(t, router, "sidecar", 4, 800)
	leaving := f.running(t)
	leaving.Sidecar.Signal(syscall.SIGTERM)
	chatUntil(t, router, time.Now().Add(noNewWork))
	started := leaving.counts().Started
	chatUntil(t, router, time.Now().Add(noNewWork))
	is.Equal(leaving.counts().Started, started) // new work after the time to leave
	for _, s := range streams {
		s.wantWhole(t)
	}
	wantExit(t, leaving.Sidecar, daemon.ExitOK)
}

// A second signal must end a process that waits for its streams, and say so with its exit status.
// The streams must not look whole.
func TestSecondSignal(t *testing.T) {
	parallel(t)
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
			s.wantBroken(t)
		}
	}
}

// chatUntil sends chats one after another, each of which must get a whole answer.
func chatUntil(t *testing.T, r *Router, end time.Time) {
	t.Helper()
	for time.Now().Before(end) {
		id := fmt.Sprintf("new-%d", time.Now().UnixNano())
		openStream(t, r, id, longChat(id, 5)).wantWhole(t)
	}
}
