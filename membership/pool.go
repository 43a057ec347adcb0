package membership

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/wire"
)

// ageUnit is the unit of ages and versions in a wire.LoadVector.
const ageUnit = 10 * time.Millisecond

// handle identifies one incarnation of an instance in 8 bytes.
func handle(instance string, incarnation uint64) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(instance)
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], incarnation)
	_, _ = d.Write(number[:])
	return d.Sum64()
}

// PoolRules are the times and bounds of the exchange between the sidecars of one pool.
type PoolRules struct {
	// Interval is the time between two exchanges that one sidecar starts.
	Interval time.Duration
	// Neighbours is the number of sidecars that one sidecar starts exchanges with.
	Neighbours int
	// Loads bounds the members in one load vector, the sender's own entry included.
	Loads int
	// StaleAge is the age from which a member's load counts as zero.
	StaleAge time.Duration
	// ForgetAge is the age from which a member without news is not a member any more.
	ForgetAge time.Duration
}

// DefaultPoolRules keep a pool of 75 within two fifths of the target of 5 KB/s per node; see
// docs/measurements/fleet.md.
var DefaultPoolRules = PoolRules{
	Interval:   1500 * time.Millisecond,
	Neighbours: 6,
	Loads:      40,
	StaleAge:   15 * time.Second,
	ForgetAge:  45 * time.Second,
}

// Identity names a sidecar to its pool.
type Identity struct {
	Pool          string
	Instance      string
	Incarnation   uint64
	Address       string
	FailureDomain string
	Region        string
}

// Suspects is the book of crash suspects that travels with the pool's news. Implementations are safe
// for concurrent use.
type Suspects interface {
	// Newest returns at most limit suspects, newest first.
	Newest(limit int) []*wire.Suspect
	// Merge takes suspects of another sidecar.
	Merge(suspects []*wire.Suspect)
}

// Pool is what a sidecar knows of the members of its own pool, itself included. It is safe for
// concurrent use.
type Pool struct {
	self     Identity
	handle   uint64
	rules    PoolRules
	counters *kernel.Counters
	work     func() uint64
	started  time.Time
	// clockBase makes a clock value of another incarnation invalid.
	clockBase uint64

	mean atomic.Pointer[Mean]

	mu       sync.Mutex
	own      *wire.Member
	members  map[string]*member
	byHandle map[uint64]*member
	// unknown holds members of load vectors whose news did not come, to be asked for.
	unknown map[uint64]struct{}
	// changed is closed when a member's state changes, and replaced.
	changed chan struct{}
}

// member is another sidecar of the pool.
type member struct {
	instance string
	handle   uint64
	// news is nil while the member is known from the instance list only.
	news   *wire.Member
	listed bool
	// address comes from the list or the news.
	address string
	version uint64
	work    uint64
	// born is a time by the local clock at which the load was not yet produced or just was, so
	// that now minus born is at least its age.
	born time.Time
	// fresh counts the messages that still carry the news, which is from changedAt.
	fresh     int
	changedAt time.Time
}

// NewPool returns a pool that knows only its own sidecar, which is not ready. work returns the
// sidecar's work in flight in tokens.
func NewPool(self Identity, rules PoolRules, work func() uint64, counters *kernel.Counters) *Pool {
	return &Pool{
		self: self, handle: handle(self.Instance, self.Incarnation), rules: rules, counters: counters,
		work: work, started: time.Now(), clockBase: rand.Uint64N(1<<40) + 1,
		own: &wire.Member{
			Instance: self.Instance, Incarnation: self.Incarnation, Version: 1, Address: self.Address,
			FailureDomain: self.FailureDomain, Region: self.Region,
		},
		members: make(map[string]*member), byHandle: make(map[uint64]*member),
		unknown: make(map[uint64]struct{}),
		changed: make(chan struct{}),
	}
}

// SetState sets what the pool and the routers are told of this sidecar. A change is spread at once.
func (p *Pool) SetState(ready, leaving bool) {
	p.state(func(own *wire.Member) { own.Ready, own.Leaving = ready, leaving })
}

// SetLoading tells the pool that this sidecar is about to give its engine an order, or is done.
func (p *Pool) SetLoading(loading bool) {
	p.state(func(own *wire.Member) { own.Loading = loading })
}

func (p *Pool) state(change func(own *wire.Member)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := cloneMember(p.own)
	change(next)
	if proto.Equal(next, p.own) {
		return
	}
	next.Version++
	p.own = next
	p.announce()
}

// Peer is another sidecar of the pool, as far as the pool's news tell.
type Peer struct {
	Instance string
	Ready    bool
	Loading  bool
}

// Peers returns the other members that do not leave. One without news is not ready.
func (p *Pool) Peers() []Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	out := make([]Peer, 0, len(p.members))
	for _, m := range p.members {
		age := now.Sub(m.born)
		if m.news.GetLeaving() || age > p.lifetime(m.listed) {
			continue
		}
		fresh := age < p.rules.StaleAge
		out = append(out, Peer{m.instance, fresh && m.news.GetReady(), m.news.GetLoading()})
	}
	return out
}

// SetListed takes the members of this pool in the node's view, from which the first neighbours are
// chosen. A member that the list dropped is forgotten once its load is stale.
func (p *Pool) SetListed(members []Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.members {
		m.listed = false
	}
	for _, listed := range members {
		if listed.Instance == p.self.Instance || listed.Address == "" {
			continue
		}
		m, ok := p.members[listed.Instance]
		if !ok {
			m = &member{instance: listed.Instance, born: time.Now().Add(-p.rules.StaleAge)}
			p.members[listed.Instance] = m
		}
		m.listed, m.address = true, listed.Address
	}
	p.mean.Store(nil)
}

// Changed returns a channel that is closed at the next change of a member's state.
func (p *Pool) Changed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

// announce tells the goroutines of the peers and watchers that a member's state changed.
func (p *Pool) announce() {
	close(p.changed)
	p.changed = make(chan struct{})
	p.mean.Store(nil)
}

// wakeNeighbours starts an exchange with each neighbour at once.
func (p *Pool) wakeNeighbours() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.announce()
}

// lifetime is how long a member without news is kept as one.
func (p *Pool) lifetime(listed bool) time.Duration {
	if listed {
		return p.rules.ForgetAge
	}
	return p.rules.StaleAge
}

// forget drops the news of members that are gone. It runs before each message, so that their number
// is bounded. What the list still has stays as an address to try.
func (p *Pool) forget(now time.Time) {
	for instance, m := range p.members {
		if now.Sub(m.born) <= p.lifetime(m.listed) {
			continue
		}
		delete(p.byHandle, m.handle)
		m.news, m.version, m.work, m.handle = nil, 0, 0, 0
		if !m.listed {
			delete(p.members, instance)
		}
	}
}

// mergeMember takes the news of one member and returns whether it was new.
func (p *Pool) mergeMember(news *wire.Member, now time.Time, extra time.Duration) bool {
	age := time.Duration(news.GetAgeMs())*time.Millisecond + extra
	if news.GetInstance() == p.self.Instance {
		return false
	}
	m, ok := p.members[news.GetInstance()]
	if age > p.lifetime(ok && m.listed) {
		return false
	}
	if !ok {
		m = &member{instance: news.GetInstance()}
		p.members[m.instance] = m
	}
	if m.news != nil && compareNews(m.news, news) >= 0 {
		return false
	}
	if m.news.GetIncarnation() != news.GetIncarnation() {
		delete(p.byHandle, m.handle)
		m.handle = handle(news.GetInstance(), news.GetIncarnation())
		m.version, m.work, m.born = 0, 0, now.Add(-age)
		p.byHandle[m.handle] = m
	}
	m.news, m.address = news, news.GetAddress()
	m.fresh, m.changedAt = rumourMessages, now
	return true
}

func compareNews(a, b *wire.Member) int {
	return cmp.Or(cmp.Compare(a.GetIncarnation(), b.GetIncarnation()), cmp.Compare(a.GetVersion(), b.GetVersion()))
}

// mergeLoads takes loads that are up to extra older than they say.
func (p *Pool) mergeLoads(loads *wire.LoadVector, now time.Time, extra time.Duration) {
	n := min(len(loads.GetMember()), len(loads.GetVersion()), len(loads.GetWork()), len(loads.GetAge()))
	for i := range n {
		m, ok := p.byHandle[loads.Member[i]]
		if !ok {
			p.missing(loads.Member[i])
			continue
		}
		born := now.Add(-time.Duration(loads.Age[i])*ageUnit - extra)
		switch {
		case loads.Version[i] > m.version:
			m.version, m.work, m.born = loads.Version[i], loads.Work[i], born
		case loads.Version[i] == m.version && born.After(m.born):
			// The same statement with a tighter bound of its age.
			m.born = born
		}
	}
	p.mean.Store(nil)
}

// missing notes a member whose news the next request asks for.
func (p *Pool) missing(handle uint64) {
	if handle != p.handle && len(p.unknown) < unknownMembers {
		p.unknown[handle] = struct{}{}
	}
}

// loads returns this sidecar's own load and the freshest loads of the others, without those that the
// receiver has in known.
func (p *Pool) loads(now time.Time, known *wire.LoadVector) *wire.LoadVector {
	has := make(map[uint64]uint64, len(known.GetMember()))
	for i, h := range known.GetMember() {
		if i < len(known.GetVersion()) {
			has[h] = known.Version[i]
		}
	}
	candidates := make([]*member, 0, len(p.members))
	for _, m := range p.members {
		version, sent := has[m.handle]
		stale := now.Sub(m.born) >= p.rules.StaleAge
		if m.version > 0 && !stale && (!sent || version < m.version) {
			candidates = append(candidates, m)
		}
	}
	candidates = selectLoads(candidates, max(0, p.rules.Loads-1))
	out := &wire.LoadVector{}
	out.Member = append(out.Member, p.handle)
	out.Version = append(out.Version, uint64(now.Sub(p.started)/ageUnit)+1)
	out.Work = append(out.Work, p.work())
	out.Age = append(out.Age, 0)
	for _, m := range candidates {
		out.Member = append(out.Member, m.handle)
		out.Version = append(out.Version, m.version)
		out.Work = append(out.Work, m.work)
		out.Age = append(out.Age, ageUnits(now.Sub(m.born)))
	}
	return out
}

// selectLoads returns at most limit members: two thirds are the freshest, the others are random. Only
// the freshest would starve a member for minutes, because sidecars exchange at a fixed pace and a load
// can be among the older ones in each message on its way.
func selectLoads(members []*member, limit int) []*member {
	if len(members) <= limit {
		return members
	}
	slices.SortFunc(members, func(a, b *member) int { return b.born.Compare(a.born) })
	rest := members[limit*2/3:]
	rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return members[:limit]
}

// ageUnits rounds up, because an age on the wire is an upper bound.
func ageUnits(age time.Duration) uint32 {
	return uint32((max(0, age) + ageUnit - 1) / ageUnit)
}
