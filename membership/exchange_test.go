package membership

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/wire"
)

// fakeConfig and emptySuspects replace the config and suspect packages.
type fakeConfig struct{ revision atomic.Uint64 }

func (c *fakeConfig) Revision() uint64                                   { return c.revision.Load() }
func (c *fakeConfig) Imported() <-chan struct{}                          { return nil }
func (c *fakeConfig) WantsUpdates() bool                                 { return false }
func (c *fakeConfig) Offer(context.Context, wire.SidecarClient)          {}
func (c *fakeConfig) ObserveRevision(string, uint64, wire.SidecarClient) {}

type emptySuspects struct{}

func (emptySuspects) ToSend(int) []*wire.Suspect { return nil }
func (emptySuspects) Merge([]*wire.Suspect)      {}

// sidecar is one member of a test pool.
type sidecar struct {
	pool      *Pool
	exchanger *Exchanger
	work      atomic.Uint64
	stop      context.CancelFunc
	dead      atomic.Bool
}

func newSidecar(i int, dial DialFunc, address string) *sidecar {
	s := &sidecar{}
	id := Identity{
		Pool: "limon-llm", Instance: instanceName(i), Incarnation: uint64(time.Now().UnixNano()),
		Address: address, FailureDomain: fmt.Sprintf("bq-%d", i%3), Region: "bq",
	}
	s.pool = NewPool(id, DefaultPoolOptions, s.work.Load, kernel.NewCounters())
	s.exchanger = NewExchanger(s.pool, dial, &fakeConfig{}, emptySuspects{})
	return s
}

func instanceName(i int) string { return fmt.Sprintf("limon-llm-%05d", i) }

// grpcOverheadBytes is what gRPC adds to a message on an open connection: frame headers, indexed HTTP/2
// headers, window updates and pings. BenchmarkExchange measures the total over a real transport.
const grpcOverheadBytes = 100

// inMemoryNetwork connects sidecars without sockets, so that synctest controls the time.
type inMemoryNetwork struct {
	sidecars sync.Map // of *sidecar by address
	bytes    atomic.Int64
	messages atomic.Int64
	latency  time.Duration
	ctx      context.Context
}

type inMemoryConn struct {
	network *inMemoryNetwork
	target  string
}

func (c inMemoryConn) Close() error { return nil }

func (c inMemoryConn) NewStream(context.Context, *grpc.StreamDesc, string, ...grpc.CallOption) (grpc.ClientStream, error) {
	return nil, errors.New("no streams")
}

func (c inMemoryConn) Invoke(ctx context.Context, _ string, args, reply any, _ ...grpc.CallOption) error {
	found, ok := c.network.sidecars.Load(c.target)
	sleep(ctx, c.network.latency)
	if !ok {
		return errors.New("refused")
	}
	target := found.(*sidecar)
	if target.dead.Load() {
		return errors.New("refused")
	}
	request := proto.Clone(args.(proto.Message)).(*wire.ExchangeRequest)
	answer := target.exchanger.HandleExchange(request)
	sleep(ctx, c.network.latency)
	proto.Merge(reply.(proto.Message), answer)
	c.network.bytes.Add(int64(proto.Size(request) + proto.Size(answer) + 2*grpcOverheadBytes))
	c.network.messages.Add(2)
	return ctx.Err()
}

func (p *inMemoryNetwork) dial(address string) (Conn, error) { return inMemoryConn{p, address}, nil }

// runPool runs n sidecars that know each other from the instance list.
func runPool(t *testing.T, n int, body func(is *is.I, p *inMemoryNetwork, sidecars []*sidecar)) {
	synctest.Test(t, func(t *testing.T) {
		network := &inMemoryNetwork{latency: 5 * time.Millisecond}
		sidecars := make([]*sidecar, n)
		ctx, cancel := context.WithCancel(t.Context())
		network.ctx = ctx
		for i := range sidecars {
			sidecars[i] = newSidecar(i, network.dial, instanceName(i))
			sidecars[i].work.Store(uint64(1000 + i))
			network.sidecars.Store(instanceName(i), sidecars[i])
		}
		for _, s := range sidecars {
			s.pool.SetListed(addresses(n))
			s.pool.SetState(true, false)
			var own context.Context
			own, s.stop = context.WithCancel(ctx)
			go s.exchanger.Run(own)
		}
		body(is.New(t), network, sidecars)
		cancel()
		synctest.Wait()
	})
}

func addresses(n int) []Member {
	members := make([]Member, n)
	for i := range members {
		members[i] = Member{Instance: instanceName(i), Address: instanceName(i)}
	}
	return members
}

// convergenceTime is long enough for each sidecar to learn all members of its pool.
const convergenceTime = time.Minute

// Guards against a gossip that exceeds its budget or leaves the mean unknown or older than it claims. The
// budget is 5 KB/s for the whole node, of which the exchange may use two fifths.
func TestExchangeStaysWithinByteBudget(t *testing.T) {
	for _, n := range []int{2, 8, 32, 75} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			runPool(t, n, func(is *is.I, p *inMemoryNetwork, sidecars []*sidecar) {
				time.Sleep(convergenceTime)
				p.bytes.Store(0)
				const seconds = 120
				stale := 0
				for range seconds {
					time.Sleep(time.Second)
					for _, s := range sidecars {
						mean := s.pool.Mean()
						is.Equal(mean.Members, n)
						is.True(mean.MaxAge <= DefaultPoolOptions.StaleAge+meanCacheTTL)
						stale += mean.Stale
						if mean.Stale == 0 {
							is.Equal(mean.OtherWork+s.work.Load(), uint64(n*1000+n*(n-1)/2))
						}
					}
				}
				// The ages have a long tail. A load that now and then counts as zero lowers the bound only a
				// little.
				is.True(stale <= seconds*n*n/1000)
				// Each message counts at both of its ends.
				perNode := 2 * p.bytes.Load() / int64(n) / seconds
				t.Logf("%d sidecars: %d B/s per node", n, perNode)
				is.True(perNode <= 2000)
			})
		})
	}
}

// Guards against a counted load that is older than MaxAge, although loads travel through several sidecars,
// messages are delayed and the clocks of the sidecars differ.
func TestMeanAgeIsUpperBound(t *testing.T) {
	runPool(t, 20, func(is *is.I, p *inMemoryNetwork, sidecars []*sidecar) {
		p.latency = 700 * time.Millisecond
		// The work is the time at which it was sampled, so a load shows its own age.
		start := time.Now()
		for _, s := range sidecars {
			s.pool.mu.Lock()
			s.pool.work = func() uint64 { return uint64(time.Since(start).Milliseconds()) + 1 }
			s.pool.mu.Unlock()
		}
		time.Sleep(convergenceTime)
		for range 200 {
			time.Sleep(500 * time.Millisecond)
			now := uint64(time.Since(start).Milliseconds()) + 1
			for _, s := range sidecars {
				mean := s.pool.Mean()
				s.pool.mu.Lock()
				for _, m := range s.pool.members {
					age := time.Duration(now-m.work) * time.Millisecond
					is.True(m.version == 0 || age <= time.Since(m.sampledAt)+time.Millisecond)
					is.True(m.version == 0 || time.Since(m.sampledAt) >= DefaultPoolOptions.StaleAge || age <= mean.MaxAge)
				}
				s.pool.mu.Unlock()
			}
		}
	})
}

// A departure must reach the whole pool within the target of 3 s.
func TestDepartureReachesPoolInTime(t *testing.T) {
	runPool(t, 75, func(is *is.I, p *inMemoryNetwork, sidecars []*sidecar) {
		time.Sleep(convergenceTime)
		p.bytes.Store(0)
		sidecars[7].pool.SetState(true, true)
		start := time.Now()
		for _, s := range sidecars {
			for s.pool.Mean().Members != 74 && s != sidecars[7] && time.Since(start) < convergenceTime {
				time.Sleep(20 * time.Millisecond)
			}
		}
		t.Logf("departure known to 75 sidecars after %v, %d B per node", time.Since(start), 2*p.bytes.Load()/75)
		is.True(time.Since(start) < 3*time.Second)
	})
}

// A sidecar that dies without a leaving state counts as a member with zero load while it is listed and its
// state has not expired, and is no longer counted afterwards. A new incarnation joins again.
func TestDeadMemberExpiresAndRejoins(t *testing.T) {
	runPool(t, 8, func(is *is.I, p *inMemoryNetwork, sidecars []*sidecar) {
		time.Sleep(convergenceTime)
		dead := sidecars[3]
		dead.dead.Store(true)
		dead.stop()
		time.Sleep(DefaultPoolOptions.StaleAge + time.Second)
		mean := sidecars[0].pool.Mean()
		is.Equal(mean.Members, 8)
		is.Equal(mean.Stale, 1)
		time.Sleep(DefaultPoolOptions.ExpireAge)
		mean = sidecars[0].pool.Mean()
		is.Equal(mean.Members, 7)
		is.Equal(mean.Stale, 0)
		next := newSidecar(3, p.dial, instanceName(3))
		next.pool.SetListed(addresses(8))
		p.sidecars.Store(instanceName(3), next)
		ctx, cancel := context.WithCancel(p.ctx)
		defer cancel()
		go next.exchanger.Run(ctx)
		time.Sleep(convergenceTime)
		is.Equal(next.pool.Mean().Members, 8)
		is.Equal(sidecars[0].pool.Mean().Members, 8)
		is.Equal(sidecars[0].pool.Mean().Stale, 0)
		cancel()
		synctest.Wait()
	})
}
