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
	// urgentGap is the least time between two exchanges with one neighbour, so that a burst of
	// changes shares messages.
	urgentGap = 200 * time.Millisecond
	// mixInterval is how often one neighbour is replaced, so that no two halves of a pool stay apart.
	mixInterval = time.Minute
	// superviseInterval is how often the set of neighbours is checked.
	superviseInterval = time.Second
)

// Conn is a connection to the gRPC server of an instance. A *grpc.ClientConn is one.
type Conn interface {
	grpc.ClientConnInterface
	Close() error
}

// Dial opens a connection for control methods. The caller closes it.
type Dial func(address string) (Conn, error)

// Config is the node's configuration, as far as first contact between nodes needs it.
type Config interface {
	// Revision returns the node's revision.
	Revision() uint64
	// Saw takes the revision of a peer and whom to ask for its state. It does not block.
	Saw(peer string, revision uint64, client wire.SidecarClient)
	// Wants says that the log can't be read here, so that peers should offer newer states at once.
	Wants() bool
	// Offer gives a peer that wants it the newer state of this node.
	Offer(ctx context.Context, client wire.SidecarClient)
	// Taken gets a token when a newer state was taken from a peer.
	Taken() <-chan struct{}
}

// Exchanger runs the exchange of one sidecar with the others of its pool.
type Exchanger struct {
	pool       *Pool
	dial       Dial
	config     Config
	suspects   Suspects
	neighbours map[string]*neighbour
	ended      chan string
}

// NewExchanger returns an exchanger.
func NewExchanger(pool *Pool, dial Dial, config Config, suspects Suspects) *Exchanger {
	return &Exchanger{
		pool: pool, dial: dial, config: config, suspects: suspects,
		neighbours: make(map[string]*neighbour), ended: make(chan string),
	}
}

// Answer is the server side of Exchange.
func (e *Exchanger) Answer(r *wire.ExchangeRequest) *wire.ExchangeReply {
	e.suspects.Merge(r.GetSuspects())
	reply := e.pool.answer(r)
	reply.ConfigRevision, reply.WantsConfig = e.config.Revision(), e.config.Wants()
	reply.Suspects = e.suspects.Newest(suspectsPerMessage)
	return reply
}

// Run keeps exchanges with the neighbours until ctx ends: one goroutine for each, and this one to
// choose them and to give them their turns. Turns at a steady pace bound the time until a sidecar
// that no other one chose as its neighbour hears news.
func (e *Exchanger) Run(ctx context.Context) {
	mix := time.NewTicker(mixInterval)
	defer mix.Stop()
	turn := time.NewTimer(rand.N(e.pool.rules.Interval))
	defer turn.Stop()
	for {
		select {
		case <-ctx.Done():
			e.drain()
			return
		case instance := <-e.ended:
			e.end(instance)
		case <-mix.C:
			e.dropOne()
		case <-e.config.Taken():
			// The neighbours may lack the log as well.
			e.pool.wakeNeighbours()
		case <-turn.C:
			e.choose(ctx)
			e.giveTurn()
			turn.Reset(e.pause())
		}
	}
}

// drain waits for the neighbours' goroutines.
func (e *Exchanger) drain() {
	for len(e.neighbours) > 0 {
		e.end(<-e.ended)
	}
}

func (e *Exchanger) end(instance string) {
	e.neighbours[instance].cancel()
	delete(e.neighbours, instance)
}

// dropOne ends the exchange with one neighbour; choose replaces it.
func (e *Exchanger) dropOne() {
	for _, n := range e.neighbours {
		n.cancel()
		return
	}
}

// pause is the time until the next turn, up to a quarter shorter or longer than the interval. With
// fixed pauses the rounds of a pool lock to fixed phases, in which some loads always come too late.
func (e *Exchanger) pause() time.Duration {
	interval := e.pool.rules.Interval
	return interval*3/4 + rand.N(interval/2)
}

// giveTurn lets a neighbour exchange: a random one of the half whose last turn is the longest ago.
func (e *Exchanger) giveTurn() {
	waiting := slices.Collect(maps.Values(e.neighbours))
	if len(waiting) == 0 {
		return
	}
	slices.SortFunc(waiting, func(a, b *neighbour) int { return a.turnAt.Compare(b.turnAt) })
	next := waiting[rand.IntN((len(waiting)+1)/2)]
	next.turnAt = time.Now()
	select {
	case next.turn <- struct{}{}:
	default:
	}
}

func (e *Exchanger) choose(ctx context.Context) {
	candidates := e.pool.candidates()
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	for _, c := range candidates {
		if len(e.neighbours) >= e.pool.rules.Neighbours {
			return
		}
		if _, ok := e.neighbours[c.instance]; ok {
			continue
		}
		ctx, cancel := context.WithCancel(ctx)
		n := &neighbour{name: c.instance, turn: make(chan struct{}, 1), cancel: cancel}
		e.neighbours[c.instance] = n
		go func() {
			e.follow(ctx, n, c.address)
			e.ended <- c.instance
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
		if m.address != "" && !m.news.GetLeaving() {
			out = append(out, candidate{m.instance, m.address})
		}
	}
	return out
}

// neighbour is the state of the exchange with one neighbour.
type neighbour struct {
	name   string
	cancel context.CancelFunc
	// turn gets a token for each regular round; turnAt belongs to Run.
	turn   chan struct{}
	turnAt time.Time

	client wire.SidecarClient
	digest *wire.ViewDigest
	// changed is closed when a member's state changes after the last request.
	changed <-chan struct{}
	// clock is that of the last reply, which was received at clockAt.
	clock   uint64
	clockAt time.Time
}

// follow exchanges with one neighbour until an exchange fails or ctx ends.
func (e *Exchanger) follow(ctx context.Context, n *neighbour, address string) {
	conn, err := e.dial(address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	n.client, n.changed = wire.NewSidecarClient(conn), e.pool.Changed()
	for {
		urgent := n.await(ctx)
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

// await waits for the next turn and returns true when a member's state changed before.
func (n *neighbour) await(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-n.turn:
		return false
	case <-n.changed:
	}
	sleep(ctx, rand.N(urgentGap))
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

// round is one push-pull exchange.
func (e *Exchanger) round(ctx context.Context, n *neighbour, withLoads bool) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	n.changed = e.pool.Changed()
	request := e.pool.request(n.digest, withLoads)
	request.ConfigRevision = e.config.Revision()
	request.Suspects = e.suspects.Newest(suspectsPerMessage)
	sent := time.Now()
	if n.clock != 0 {
		// Rounded down, so that the callee does not take the time under way for too short.
		request.EchoClock, request.EchoElapsed = n.clock, uint64(sent.Sub(n.clockAt)/time.Millisecond)
	}
	reply, err := n.client.Exchange(ctx, request)
	if err != nil {
		return err
	}
	n.clock, n.clockAt, n.digest = reply.GetClock(), time.Now(), reply.GetDigest()
	e.pool.absorb(reply, sent)
	e.suspects.Merge(reply.GetSuspects())
	// A peer without any state pulls the whole of it from one peer, so it is not offered by several.
	theirs := reply.GetConfigRevision()
	if reply.GetWantsConfig() && theirs > 0 && theirs < e.config.Revision() {
		e.config.Offer(ctx, n.client)
		return nil
	}
	e.config.Saw(n.name, theirs, n.client)
	return nil
}
