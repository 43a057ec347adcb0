package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/wire"
)

const (
	// watchLoadInterval is how often a watcher gets loads when no member's state changes. Responses carry
	// loads as well, so this serves sidecars that a router rarely calls.
	watchLoadInterval = 10 * time.Second
	// minWatchInterval is the minimum interval between two updates on one stream.
	minWatchInterval = 100 * time.Millisecond
	// watchIdleTimeout is how long a router waits for an update before it watches another sidecar.
	watchIdleTimeout = 25 * time.Second
	// watchRetryDelay is the mean delay between two attempts to watch; the actual one has jitter.
	watchRetryDelay = 500 * time.Millisecond
)

// ServeWatch implements the server side of Watch. It returns when ctx ends, send fails, or this sidecar is
// leaving.
func (e *Exchanger) ServeWatch(ctx context.Context, _ *wire.WatchRequest, send func(*wire.PoolUpdate) error) error {
	sent := make(map[string]*wire.Member)
	loadsAt := time.Time{}
	for {
		changed, now := e.pool.Changed(), time.Now()
		withLoads := now.Sub(loadsAt) >= watchLoadInterval
		if withLoads {
			loadsAt = now
		}
		update := e.pool.watchUpdate(sent, withLoads)
		update.ConfigRevision = e.config.Revision()
		update.Suspects = e.suspects.ToSend(suspectsPerMessage)
		if err := send(update); err != nil {
			return err
		}
		if e.pool.isLeaving() {
			return nil
		}
		sleep(ctx, minWatchInterval)
		e.waitForUpdate(ctx, changed, update.ConfigRevision, loadsAt.Add(watchLoadInterval))
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// waitForUpdate waits until a member's state or the configuration revision changes, or until the given time.
func (e *Exchanger) waitForUpdate(ctx context.Context, changed <-chan struct{}, revision uint64, until time.Time) {
	check := time.NewTicker(pollInterval)
	defer check.Stop()
	for ctx.Err() == nil && e.config.Revision() == revision && time.Now().Before(until) {
		select {
		case <-ctx.Done():
		case <-changed:
			return
		case <-check.C:
		}
	}
}

func (p *Pool) isLeaving() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.own.GetLeaving()
}

// watchUpdate returns the members whose state differs from the one in sent, updates sent, and adds all loads if
// withLoads is set.
func (p *Pool) watchUpdate(sent map[string]*wire.Member, withLoads bool) *wire.PoolUpdate {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.expire(now)
	out := &wire.PoolUpdate{Pool: p.self.Pool}
	add := func(state *wire.Member, age time.Duration) {
		if old := sent[state.GetInstance()]; old != nil && compareStates(old, state) == 0 {
			return
		}
		sent[state.GetInstance()] = state
		state = cloneMember(state)
		state.AgeMs = uint32(age / time.Millisecond)
		out.Members = append(out.Members, state)
	}
	add(p.own, 0)
	for _, m := range p.members {
		if m.state != nil {
			add(m.state, now.Sub(m.sampledAt))
		}
	}
	for instance := range sent {
		if m := p.members[instance]; instance != p.self.Instance && (m == nil || m.state == nil) {
			delete(sent, instance)
		}
	}
	if withLoads {
		out.Loads = p.allLoads(now)
	}
	return out
}

// allLoads returns the loads of all members, without the versions, which a router does not need.
func (p *Pool) allLoads(now time.Time) *wire.LoadVector {
	out := &wire.LoadVector{Member: []uint64{p.handle}, Work: []uint64{p.work()}, Age: []uint32{0}}
	for _, m := range p.members {
		if m.version > 0 && now.Sub(m.sampledAt) < p.options.StaleAge {
			out.Member = append(out.Member, m.handle)
			out.Work = append(out.Work, m.work)
			out.Age = append(out.Age, ageUnits(now.Sub(m.sampledAt)))
		}
	}
	return out
}

// Watcher keeps a Watch stream open for each pool that a router knows.
type Watcher struct {
	view     *View
	dial     DialFunc
	config   ConfigSync
	suspects Suspects
	router   Identity
	counters *kernel.Counters
}

// NewWatcher returns a watcher for the router with the given identity.
func NewWatcher(view *View, dial DialFunc, config ConfigSync, suspects Suspects, router Identity, counters *kernel.Counters) *Watcher {
	return &Watcher{view: view, dial: dial, config: config, suspects: suspects, router: router, counters: counters}
}

// Run watches each pool that has instances until ctx ends, with one goroutine per pool.
func (w *Watcher) Run(ctx context.Context) {
	started := make(map[string]bool)
	for ctx.Err() == nil {
		for _, pool := range w.view.Pools() {
			if !started[pool] {
				started[pool] = true
				go w.watchPool(ctx, pool)
			}
		}
		sleep(ctx, pollInterval)
	}
}

// watchPool watches one pool through one sidecar at a time.
func (w *Watcher) watchPool(ctx context.Context, pool string) {
	previous := ""
	for ctx.Err() == nil {
		member, ok := w.chooseMember(pool, previous)
		if !ok {
			sleep(ctx, watchRetryDelay)
			continue
		}
		previous = member.Instance
		received, err := w.watch(ctx, member)
		if err != nil && ctx.Err() == nil {
			w.counters.Int("watch_breaks").Add(1)
		}
		if !received && status.Code(err) == codes.Unavailable {
			w.view.ObserveRefusal(member.Instance, member.Incarnation)
		}
		sleep(ctx, watchRetryDelay/2+rand.N(watchRetryDelay))
	}
}

// chooseMember returns a member, preferring the same failure domain, then the same region. Ties are broken at
// random, so that the routers spread over the pool.
func (w *Watcher) chooseMember(pool, previous string) (Member, bool) {
	members := slices.Clone(w.view.Pool(pool).Members)
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	best, rank := Member{}, 0
	for _, m := range members {
		if m.Address == "" {
			continue
		}
		if r := w.rank(m, previous); r > rank {
			best, rank = m, r
		}
	}
	return best, rank > 0
}

// rank returns the preference for a sidecar to watch; higher is better and 0 stands for none. Members that
// are leaving or were watched last rank below those that are not ready, and these below ready ones.
func (w *Watcher) rank(m Member, previous string) int {
	rank := 1
	if m.Region == w.router.Region {
		rank = 2
	}
	if m.FailureDomain == w.router.FailureDomain {
		rank = 3
	}
	if m.Leaving || m.Instance == previous {
		return rank
	}
	if !m.Ready {
		return rank + 3
	}
	return rank + 6
}

// watch reads the stream of one sidecar until it fails, ends or is idle for too long. received reports whether
// any update arrived.
func (w *Watcher) watch(ctx context.Context, m Member) (received bool, err error) {
	conn, err := w.dial(m.Address)
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idle := time.AfterFunc(watchIdleTimeout, cancel)
	defer idle.Stop()
	client := wire.NewSidecarClient(conn)
	stream, err := client.Watch(ctx, &wire.WatchRequest{Router: w.router.Instance, ConfigRevision: w.config.Revision()})
	if err != nil {
		return false, err
	}
	for {
		update, err := stream.Recv()
		if err != nil {
			return received, err
		}
		received = true
		idle.Reset(watchIdleTimeout)
		w.view.ApplyUpdate(update)
		w.suspects.Merge(update.GetSuspects())
		w.config.ObserveRevision(m.Instance, update.GetConfigRevision(), client)
	}
}
