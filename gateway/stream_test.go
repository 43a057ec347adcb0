package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"jacinthfork.example/jacinthfork/gateway/backend"
	"jacinthfork.example/jacinthfork/gateway/poison"
	"jacinthfork.example/jacinthfork/gateway/pool"
	"jacinthfork.example/jacinthfork/gateway/routes"
	"jacinthfork.example/jacinthfork/kernel"
)

// Guards against a router that was short of processor time, or paused, and cuts off sound streams because it takes its own
// pause for one of the instance: data of the stream waits to be read.
func TestOwnPauseIsNotTakenForAStall(t *testing.T) {
	for name, want := range map[string]bool{"data unread": false, "no data": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer listener.Close()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				_, _ = conn.Read(make([]byte, 1024))
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
				time.Sleep(20 * time.Millisecond) // the header alone is read with it
				if !want {
					_, _ = io.WriteString(conn, "10\r\nid: 1\ndata: one\n\n\r\n")
				}
				_, _ = conn.Read(make([]byte, 1)) // until the router closes it
			}()
			registry := pool.NewRegistry(pool.DefaultSettings(), "a")
			for _, id := range []string{"i-1", "i-2"} {
				registry.ApplyEntry(pool.Instance{ID: id, Pool: "p", Address: listener.Addr().String(), Slots: 2, StartedAt: 1})
			}
			g := &Gateway{registry: registry, connections: backend.NewPool(), metrics: newMetrics(kernel.NewCounters()), poison: poison.NewTable()}
			s := &requestState{g: g, pool: "p", route: &routes.Route{Resumable: true, MaxAttempts: 2}}
			s.budget = newRetryBudgets(Settings{RetryRatio: 1, RetrySlack: 100, RetryWindow: time.Second}).recordRequest("p", time.Now())
			lease := registry.Acquire(s.poolRequest())
			s.triedInstances = []string{lease.Instance.ID}
			conn, err := g.connections.Get(context.Background(), backend.Target{Server: "s", Address: lease.Instance.Address, DialTimeout: time.Second})
			is.NoErr(err)
			resp, err := g.connections.Do(context.Background(), conn, &backend.Request{
				Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, Match: func(*http.Response) backend.Match { return backend.Own },
			})
			is.NoErr(err)
			defer resp.Abort()
			w := s.watchAttempt(context.Background(), lease, watched{
				interval: time.Hour, silent: stalled(lease, resp, 50*time.Millisecond), abort: resp.Abort,
			})
			defer w.stop()
			due := false
			for range 4 {
				time.Sleep(stallCheckInterval)
				due = due || w.due(time.Now())
			}
			is.Equal(due, want)
		})
	}
}
