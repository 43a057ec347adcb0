package fleettest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"jacinthfork.example/jacinthfork/internal/daemon"
	"jacinthfork.example/jacinthfork/internal/httpcheck"
	"jacinthfork.example/jacinthfork/kernel/settings"
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

// Guards against a planned stop of a router under load that cuts off requests on kept connections: one whose header
// is arriving when the drain ends, and those that callers send in the instant in which their connections are closed.
func TestRouterStopUnderLoadCutsNothingOff(t *testing.T) {
	runParallel(t)
	is := is.New(t)
	f := StartFleet(t, FleetSpec{
		Routers: 1, Pools: []Pool{{Name: "orders", Kind: "service", Count: 2}},
		ConfigureRouter: func(s settings.Table) { s["balancer_delay"] = "200ms" },
	})
	router := f.Routers[0]
	address := strings.TrimPrefix(router.URL, "http://")
	head := func(id string) string {
		return "GET /services/orders/" + id + " HTTP/1.1\r\nHost: h\r\nJacinthfork-Organisation: org\r\nX-Request-Id: " + id + "\r\n\r\n"
	}
	dial := func() (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", address)
		is.NoErr(err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn, bufio.NewReader(httpcheck.NewReader(conn, nil))
	}
	// answered reads a response and reports whether the router keeps the connection.
	answered := func(id string, reader *bufio.Reader) (kept bool) {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Errorf("request %s: %v", id, err)
			return false
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("request %s: status %d, %v", id, resp.StatusCode, err)
		}
		return err == nil && !resp.Close
	}
	slow, slowReader := dial()
	_, err := io.WriteString(slow, head("slow-0"))
	is.NoErr(err)
	is.True(answered("slow-0", slowReader))
	var callers sync.WaitGroup
	for c := range 12 {
		conn, reader := dial()
		callers.Go(func() {
			for n := 0; ; n++ {
				id := fmt.Sprintf("c%d-%d", c, n)
				if _, err := io.WriteString(conn, head(id)); err != nil {
					t.Errorf("request %s: %v", id, err)
					return
				}
				if !answered(id, reader) {
					return
				}
			}
		})
	}
	router.Signal(syscall.SIGTERM)
	waitFor(t, func() bool { return !answersOK(router.Spec.ReadyURL) })
	text := head("slow-1")
	_, err = io.WriteString(slow, text[:len(text)/2])
	is.NoErr(err)
	waitFor(t, func() bool {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	})
	_, err = io.WriteString(slow, text[len(text)/2:])
	is.NoErr(err)
	answered("slow-1", slowReader)
	callers.Wait()
	wantExit(t, router.Process, daemon.ExitOK)
}

// Guards against a backend server that has left and is used again by a router or sidecar that has just started: its
// processes still run, and other processes may know it as they did before.
func TestRestartUsesNoServerThatHasLeft(t *testing.T) {
	runParallel(t)
	is := is.New(t)
	f := StartFleet(t, FleetSpec{Routers: 1, Pools: []Pool{{Name: "llm", Kind: "engine", Count: 3}}})
	router, left := f.Routers[0], f.Backends[2]
	f.Remove(left.ID)
	f.WaitInstanceList()
	chatUntil(t, router, time.Now().Add(leaveBound))
	started := left.counts().Started
	router.Restart()
	f.Backends[0].Sidecar.Restart()
	chatUntil(t, router, time.Now().Add(leaveBound))
	is.Equal(left.counts().Started, started)
}

// Guards against a slow but sound stream that is cut because its events are seconds apart.
func TestSlowStreamStaysWhole(t *testing.T) {
	runParallel(t)
	f := StartFleet(t, FleetSpec{Routers: 1, Pools: []Pool{{Name: "llm", Kind: "engine", Count: 1, Settings: "token_interval = \"2s\""}}})
	openStream(t, f.Routers[0], "slow", longChat("slow", 4)).wantComplete(t)
}
