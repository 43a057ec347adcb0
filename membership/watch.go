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
	// watchInterval is how often a watcher gets loads when no member's state changes. Loads also come
	// with each answer, so this serves sidecars that a router rarely asks.
	watchInterval = 10 * time.Second
	// watchGap is the least time between two pieces of news on one stream.
	watchGap = 100 * time.Millisecond
	// watchSilence is how long a router waits for news before it watches another sidecar.
	watchSilence = 25 * time.Second
	// watchRetry is the pause between two attempts to watch.
	watchRetry = 500 * time.Millisecond
)

// Serve is the server side of Watch. It returns when ctx ends, send fails, or the sidecar leaves.
func (e *Exchanger) Serve(ctx context.Context, _ *wire.WatchRequest, send func(*wire.PoolNews) error) error {
	sent := make(map[string]*wire.Member)
	loadsAt := time.Time{}
	for {
		changed, now := e.pool.Changed(), time.Now()
		withLoads := now.Sub(loadsAt) >= watchInterval
		if withLoads {
			loadsAt = now
		}
		news := e.pool.watchNews(sent, withLoads)
		news.ConfigRevision = e.config.Revision()
		news.Suspects = e.suspects.Newest(suspectsPerMessage)
		if err := send(news); err != nil {
			return err
		}
		if e.pool.leaving() {
			return nil
		}
		sleep(ctx, watchGap)
		e.await(ctx, changed, news.ConfigRevision, loadsAt.Add(watchInterval))
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// await waits for a change of a member's state, of the configuration revision, or the given time.
func (e *Exchanger) await(ctx context.Context, changed <-chan struct{}, revision uint64, until time.Time) {
	check := time.NewTicker(superviseInterval)
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

func (p *Pool) leaving() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.own.GetLeaving()
}

// watchNews returns the members whose news is not in sent, which it updates, and all loads if asked.
func (p *Pool) watchNews(sent map[string]*wire.Member, withLoads bool) *wire.PoolNews {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.forget(now)
	out := &wire.PoolNews{Pool: p.self.Pool}
	add := func(news *wire.Member, age time.Duration) {
		if old := sent[news.GetInstance()]; old != nil && compareNews(old, news) == 0 {
			return
		}
		sent[news.GetInstance()] = news
		news = cloneMember(news)
		news.AgeMs = uint32(age / time.Millisecond)
		out.Members = append(out.Members, news)
	}
	add(p.own, 0)
	for _, m := range p.members {
		if m.news != nil {
			add(m.news, now.Sub(m.born))
		}
	}
	for instance := range sent {
		if m := p.members[instance]; instance != p.self.Instance && (m == nil || m.news == nil) {
			delete(sent, instance)
		}
	}
	if withLoads {
		out.Loads = p.allLoads(now)
	}
	return out
}

// allLoads returns the loads of all members without versions, which a router does not need.
func (p *Pool) allLoads(now time.Time) *wire.LoadVector {
	out := &wire.LoadVector{Member: []uint64{p.handle}, Work: []uint64{p.work()}, Age: []uint32{0}}
	for _, m := range p.members {
		if m.version > 0 && now.Sub(m.born) < p.rules.StaleAge {
			out.Member = append(out.Member, m.handle)
			out.Work = append(out.Work, m.work)
			out.Age = append(out.Age, ageUnits(now.Sub(m.born)))
		}
	}
	return out
}

// Watcher keeps one stream of news for each pool of a router.
type Watcher struct {
	view     *View
	dial     Dial
	config   Config
	suspects Suspects
	router   Identity
	counters *kernel.Counters
}

// NewWatcher returns a watcher for the router of the given identity.
func NewWatcher(view *View, dial Dial, config Config, suspects Suspects, router Identity, counters *kernel.Counters) *Watcher {
	return &Watcher{view: view, dial: dial, config: config, suspects: suspects, router: router, counters: counters}
}

// Run watches each pool that has instances until ctx ends: one goroutine for each pool, and this one
// to start them.
func (w *Watcher) Run(ctx context.Context) {
	started := make(map[string]bool)
	for ctx.Err() == nil {
		for _, pool := range w.view.Pools() {
			if !started[pool] {
				started[pool] = true
				go w.follow(ctx, pool)
			}
		}
		sleep(ctx, superviseInterval)
	}
}

// follow watches one pool, one sidecar after the other.
func (w *Watcher) follow(ctx context.Context, pool string) {
	failed := ""
	for ctx.Err() == nil {
		member, ok := w.choose(pool, failed)
		if !ok {
			sleep(ctx, watchRetry)
			continue
		}
		failed = member.Instance
		heard, err := w.watch(ctx, member)
		if err != nil && ctx.Err() == nil {
			w.counters.Int("watch_breaks").Add(1)
		}
		if !heard && status.Code(err) == codes.Unavailable {
			w.view.Refused(member.Instance, member.Incarnation)
		}
		sleep(ctx, watchRetry/2+rand.N(watchRetry))
	}
}

// choose returns a member of the near failure domain, or else of the region, or else any. Among equal
// ones it is random, so that the routers spread over the pool.
func (w *Watcher) choose(pool, except string) (Member, bool) {
	members := slices.Clone(w.view.Pool(pool).Members)
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	best, rank := Member{}, 0
	for _, m := range members {
		if m.Address == "" {
			continue
		}
		if r := w.rank(m, except); r > rank {
			best, rank = m, r
		}
	}
	return best, rank > 0
}

// rank is higher for a better sidecar to watch and 0 for none.
func (w *Watcher) rank(m Member, except string) int {
	rank := 1
	if m.Region == w.router.Region {
		rank = 2
	}
	if m.FailureDomain == w.router.FailureDomain {
		rank = 3
	}
	if m.Leaving || m.Instance == except {
		return rank
	}
	if !m.Ready {
		return rank + 3
	}
	return rank + 6
}

// watch reads the stream of one sidecar until it breaks, ends or falls silent. heard is set when it
// gave any news.
func (w *Watcher) watch(ctx context.Context, m Member) (heard bool, err error) {
	conn, err := w.dial(m.Address)
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(watchSilence, cancel)
	defer silence.Stop()
	client := wire.NewSidecarClient(conn)
	stream, err := client.Watch(ctx, &wire.WatchRequest{Router: w.router.Instance, ConfigRevision: w.config.Revision()})
	if err != nil {
		return false, err
	}
	for {
		news, err := stream.Recv()
		if err != nil {
			return heard, err
		}
		heard = true
		silence.Reset(watchSilence)
		w.view.Learn(news)
		w.suspects.Merge(news.GetSuspects())
		w.config.Saw(m.Instance, news.GetConfigRevision(), client)
	}
}
