package membership

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/grpc"

	"jacinthfork.example/jacinthfork/wire"
)

const (
	// exchangeTimeout bounds one exchange. It is above the latency between regions.
	exchangeTimeout = 2 * time.Second
	// maxUrgentDelay bounds the random delay before an exchange about a state change, so that a burst of
	// changes shares messages.
	maxUrgentDelay = 200 * time.Millisecond
	// rotateInterval is how often one neighbour is replaced, so that a pool does not stay split into two
	// halves.
	rotateInterval = time.Minute
	// pollInterval is how often a router looks for new pools and a Watch stream for a new configuration
	// revision.
	pollInterval = time.Second
)

// Conn is a connection to the gRPC server of an instance, such as a *grpc.ClientConn.
type Conn interface {
	grpc.ClientConnInterface
	Close() error
}

// DialFunc opens a connection for control methods. The caller closes it.
type DialFunc func(address string) (Conn, error)

// ConfigSync is what the exchanges between nodes use of the configuration.
type ConfigSync interface {
	// Revision returns the configuration revision of this node.
	Revision() uint64
	// ObserveRevision records the configuration revision of a peer and the client that can pull its
	// configuration state. It does not block.
	ObserveRevision(peer string, revision uint64, client wire.SidecarClient)
	// WantsUpdates reports whether this node cannot read the log, so that peers should offer newer configuration
	// states at once.
	WantsUpdates() bool
	// Offer sends the newer configuration state of this node to a peer that wants it.
	Offer(ctx context.Context, client wire.SidecarClient)
	// Imported returns a channel that gets a token when a newer configuration state was imported from a peer.
	Imported() <-chan struct{}
}

// Exchanger runs the gossip of one sidecar with the others of its pool.
type Exchanger struct {
	pool       *Pool
	dial       DialFunc
	config     ConfigSync
	suspects   Suspects
	neighbours map[string]*neighbour
	stopped    chan string
}

// NewExchanger returns an exchanger without neighbours.
func NewExchanger(pool *Pool, dial DialFunc, config ConfigSync, suspects Suspects) *Exchanger {
	return &Exchanger{
		pool: pool, dial: dial, config: config, suspects: suspects,
		neighbours: make(map[string]*neighbour), stopped: make(chan string),
	}
}

// HandleExchange implements the server side of Exchange.
func (e *Exchanger) HandleExchange(r *wire.ExchangeRequest) *wire.ExchangeReply {
	e.suspects.Merge(r.GetSuspects())
	reply := e.pool.handleRequest(r)
	reply.ConfigRevision, reply.WantsConfig = e.config.Revision(), e.config.WantsUpdates()
	reply.Suspects = e.suspects.ToSend(suspectsPerMessage)
	return reply
}

// Run exchanges with the neighbours until ctx ends. Each neighbour has a goroutine; this one selects the
// neighbours and schedules their rounds. Rounds at a steady rate bound the time until an update reaches a
// sidecar that no other sidecar selected as its neighbour.
func (e *Exchanger) Run(ctx context.Context) {
	rotate := time.NewTicker(rotateInterval)
	defer rotate.Stop()
	round := time.NewTimer(rand.N(e.pool.options.Interval))
	defer round.Stop()
	for {
		select {
		case <-ctx.Done():
			e.waitNeighbours()
			return
		case instance := <-e.stopped:
			e.removeNeighbour(instance)
		case <-rotate.C:
			e.rotateNeighbour()
		case <-e.config.Imported():
			// The neighbours may be unable to read the log as well, so they are told of the new revision without
			// waiting for the regular round.
			e.pool.wakeNeighbours()
		case <-round.C:
			e.addNeighbours(ctx)
			e.scheduleRound()
			round.Reset(e.nextRoundDelay())
		}
	}
}

// waitNeighbours waits until the goroutines of all neighbours have ended.
func (e *Exchanger) waitNeighbours() {
	for len(e.neighbours) > 0 {
		e.removeNeighbour(<-e.stopped)
	}
}

func (e *Exchanger) removeNeighbour(instance string) {
	e.neighbours[instance].cancel()
	delete(e.neighbours, instance)
}

// rotateNeighbour drops one neighbour; addNeighbours replaces it.
func (e *Exchanger) rotateNeighbour() {
	for _, n := range e.neighbours {
		n.cancel()
		return
	}
}

// nextRoundDelay returns the delay until the next round, the interval with a jitter of a quarter. With fixed
// delays the rounds of a pool become phase-locked, and some loads always arrive too late.
func (e *Exchanger) nextRoundDelay() time.Duration {
	interval := e.pool.options.Interval
	return interval*3/4 + rand.N(interval/2)
}

// scheduleRound starts a round with a random neighbour from the half whose last rounds are the oldest.
func (e *Exchanger) scheduleRound() {
	neighbours := slices.Collect(maps.Values(e.neighbours))
	if len(neighbours) == 0 {
		return
	}
	slices.SortFunc(neighbours, func(a, b *neighbour) int { return a.lastRound.Compare(b.lastRound) })
	next := neighbours[rand.IntN((len(neighbours)+1)/2)]
	next.lastRound = time.Now()
	select {
	case next.roundDue <- struct{}{}:
	default:
	}
}

func (e *Exchanger) addNeighbours(ctx context.Context) {
	candidates := e.pool.candidates()
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	for _, c := range candidates {
		if len(e.neighbours) >= e.pool.options.Neighbours {
			return
		}
		if _, ok := e.neighbours[c.instance]; ok {
			continue
		}
		ctx, cancel := context.WithCancel(ctx)
		n := &neighbour{name: c.instance, roundDue: make(chan struct{}, 1), cancel: cancel}
		e.neighbours[c.instance] = n
		go func() {
			e.runNeighbour(ctx, n, c.address)
			e.stopped <- c.instance
		}()
	}
}

type candidate struct{ instance, address string }

// candidates returns the members that an exchange can be started with.
func (p *Pool) candidates() []candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]candidate, 0, len(p.members))
	for _, m := range p.members {
		if m.address != "" && !m.state.GetLeaving() {
			out = append(out, candidate{m.instance, m.address})
		}
	}
	return out
}

// neighbour is the state of the exchanges with one neighbour.
type neighbour struct {
	name   string
	cancel context.CancelFunc
	// roundDue gets a token for each regular round. Only Exchanger.Run uses lastRound.
	roundDue  chan struct{}
	lastRound time.Time

	client wire.SidecarClient
	digest *wire.ViewDigest
	// changed is closed when a member's state changes after the last request.
	changed <-chan struct{}
	// replyClock is the clock value in the last reply, which was received at replyAt.
	replyClock uint64
	replyAt    time.Time
}

// runNeighbour exchanges with one neighbour until an exchange fails or ctx ends.
func (e *Exchanger) runNeighbour(ctx context.Context, n *neighbour, address string) {
	conn, err := e.dial(address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	n.client, n.changed = wire.NewSidecarClient(conn), e.pool.Changed()
	for {
		urgent := n.waitForRound(ctx)
		if ctx.Err() != nil {
			return
		}
		if err := e.round(ctx, n, !urgent); err != nil {
			e.pool.counters.Map("exchange_rounds").Add("failed", 1)
			return
		}
		e.pool.counters.Map("exchange_rounds").Add("done", 1)
	}
}

// waitForRound waits for the next regular round. It returns true if a member's state changed first.
func (n *neighbour) waitForRound(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-n.roundDue:
		return false
	case <-n.changed:
	}
	sleep(ctx, rand.N(maxUrgentDelay))
	return true
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// round runs one push-pull exchange.
func (e *Exchanger) round(ctx context.Context, n *neighbour, withLoads bool) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	n.changed = e.pool.Changed()
	request := e.pool.newRequest(n.digest, withLoads)
	request.ConfigRevision = e.config.Revision()
	request.Suspects = e.suspects.ToSend(suspectsPerMessage)
	sent := time.Now()
	if n.replyClock != 0 {
		// Rounded down, so that the callee does not underestimate the transit time.
		request.EchoClock, request.EchoElapsed = n.replyClock, uint64(sent.Sub(n.replyAt)/time.Millisecond)
	}
	reply, err := n.client.Exchange(ctx, request)
	if err != nil {
		return err
	}
	n.replyClock, n.replyAt, n.digest = reply.GetClock(), time.Now(), reply.GetDigest()
	e.pool.mergeReply(reply, sent)
	e.suspects.Merge(reply.GetSuspects())
	// A peer without any configuration state pulls it from a single peer, so several peers must not offer it.
	remote := reply.GetConfigRevision()
	if reply.GetWantsConfig() && remote > 0 && remote < e.config.Revision() {
		e.config.Offer(ctx, n.client)
		return nil
	}
	e.config.ObserveRevision(n.name, remote, n.client)
	return nil
}
