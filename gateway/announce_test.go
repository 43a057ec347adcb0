package gateway

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jacinthfork.example/jacinthfork/gateway/backend"
	"jacinthfork.example/jacinthfork/gateway/poison"
	"jacinthfork.example/jacinthfork/gateway/pool"
	"jacinthfork.example/jacinthfork/gateway/routes"
	"jacinthfork.example/jacinthfork/verdict"
)

// newWaitingRequest returns a request to the plain service of newPlainFleet.
func newWaitingRequest(g *Gateway) *requestState {
	s := &requestState{g: g, table: g.table.Load(), pool: "plain", start: time.Now()}
	s.deadline = s.start.Add(5 * objective)
	return s
}

// A request waits for a place, at its own gateway or at another one that keeps the instance, while the instance announces
// its departure to the gateway. Guards against a request that is sent there once a place is free, and against a place
// that is never given back.
func TestWaitingRequestIsNotSentAfterAnnouncedDeparture(t *testing.T) {
	for router, name := range []string{"keeper", "other gateway"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				instance := pool.Instance{ID: "w-0", Pool: "plain", Slots: 1, StartedAt: 1, Sequence: 1}
				fleet := newPlainFleet(2, []pool.Instance{instance})
				if _, kept := fleet[0].registry.Kept(pool.KeyOf(instance.ID)); !kept {
					fleet[0], fleet[1] = fleet[1], fleet[0]
				}
				g := fleet[router]
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
				leases[0].RecordLeaving()
				for n := range leases {
					leases[n].Release(pool.Served)
					g.reservations.end(held[n], pool.Served)
				}
				if lease := <-done; lease != nil {
					t.Error("the request is sent to an instance that has announced its departure")
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

// plainProtocol sets no header fields.
type plainProtocol struct{ Protocol }

func (plainProtocol) SetForwardHeader(http.Header, ForwardInfo) {}

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
	g.crashes = newCrashDetector(func(pool.Instance, []failedRequest) {})
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
