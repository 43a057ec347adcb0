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

// handle returns an 8-byte hash that identifies one incarnation of an instance.
func handle(instance string, incarnation uint64) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(instance)
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], incarnation)
	_, _ = d.Write(number[:])
	return d.Sum64()
}

// PoolOptions are the intervals and limits of the gossip between the sidecars of one pool.
type PoolOptions struct {
	// Interval is the mean time between two regular exchanges that one sidecar starts.
	Interval time.Duration
	// Neighbours is the number of sidecars with which a sidecar starts exchanges.
	Neighbours int
	// LoadsPerMessage bounds the entries of a load vector, including the sender's own.
	LoadsPerMessage int
	// StaleAge is the age from which a member's load counts as zero.
	StaleAge time.Duration
	// ExpireAge is the age above which the state of a listed member expires.
	ExpireAge time.Duration
}

// DefaultPoolOptions keep a pool of 75 sidecars within two fifths of the control budget of 5 KB/s per node; see
// docs/measurements/fleet.md.
var DefaultPoolOptions = PoolOptions{
	Interval:        1500 * time.Millisecond,
	Neighbours:      6,
	LoadsPerMessage: 40,
	StaleAge:        15 * time.Second,
	ExpireAge:       45 * time.Second,
}

// Identity identifies a node to its pool and to its peers.
type Identity struct {
	Pool          string
	Instance      string
	Incarnation   uint64
	Address       string
	FailureDomain string
	Region        string
}

// Suspects is the table of requests suspected of crashing engines, which the gossip carries along; see package
// suspect. Implementations are safe for concurrent use.
type Suspects interface {
	// ToSend returns at most limit suspects, newest first.
	ToSend(limit int) []*wire.Suspect
	// Merge merges the suspects of another sidecar.
	Merge(suspects []*wire.Suspect)
}

// Pool holds what a sidecar knows about the members of its own pool, including itself. It is safe for
// concurrent use.
type Pool struct {
	self     Identity
	handle   uint64
	options  PoolOptions
	counters *kernel.Counters
	work     func() uint64
	started  time.Time
	// clockBase is a random offset that makes clock values of other incarnations invalid.
	clockBase uint64

	mean atomic.Pointer[PoolLoad]

	mu       sync.Mutex
	own      *wire.Member
	members  map[string]*member
	byHandle map[uint64]*member
	// unknownHandles holds members from load vectors whose state is not known; the next request asks for it.
	unknownHandles map[uint64]struct{}
	// changed is closed and replaced when a member's state changes.
	changed chan struct{}
}

// member is another sidecar of the pool.
type member struct {
	instance string
	handle   uint64
	// state is nil while the member is known from the instance list only.
	state  *wire.Member
	listed bool
	// address comes from the instance list or the state.
	address string
	version uint64
	work    uint64
	// sampledAt is a lower bound, by the local clock, on the time at which the newest load was sampled, so that
	// now minus sampledAt is at least its age. Before the first load it is that of the state; for a member
	// without state, it is set to an age of StaleAge when the member is first listed.
	sampledAt time.Time
	// transmissionsLeft is how many more messages carry the state, which was received at changedAt.
	transmissionsLeft int
	changedAt         time.Time
}

// NewPool returns a pool that contains only this sidecar, not ready. work returns the sidecar's work in
// flight in tokens.
func NewPool(self Identity, options PoolOptions, work func() uint64, counters *kernel.Counters) *Pool {
	return &Pool{
		self: self, handle: handle(self.Instance, self.Incarnation), options: options, counters: counters,
		work: work, started: time.Now(), clockBase: rand.Uint64N(1<<40) + 1,
		own: &wire.Member{
			Instance: self.Instance, Incarnation: self.Incarnation, Version: 1, Address: self.Address,
			FailureDomain: self.FailureDomain, Region: self.Region,
		},
		members: make(map[string]*member), byHandle: make(map[uint64]*member),
		unknownHandles: make(map[uint64]struct{}),
		changed:        make(chan struct{}),
	}
}

// SetState sets the state of this sidecar that the pool and the routers see. A change is sent after a short
// random delay, without waiting for the regular round.
func (p *Pool) SetState(ready, leaving bool) {
	p.updateOwn(func(own *wire.Member) { own.Ready, own.Leaving = ready, leaving })
}

// SetLoading announces that this sidecar is about to load a model into its engine, or has finished.
func (p *Pool) SetLoading(loading bool) {
	p.updateOwn(func(own *wire.Member) { own.Loading = loading })
}

func (p *Pool) updateOwn(change func(own *wire.Member)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := cloneMember(p.own)
	change(next)
	if proto.Equal(next, p.own) {
		return
	}
	next.Version++
	p.own = next
	p.notifyChanged()
}

// Peer is the known state of another sidecar of the pool.
type Peer struct {
	Instance string
	Ready    bool
	Loading  bool
}

// Peers returns the other members that are not leaving. A member without state is not ready.
func (p *Pool) Peers() []Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	out := make([]Peer, 0, len(p.members))
	for _, m := range p.members {
		age := now.Sub(m.sampledAt)
		if m.state.GetLeaving() || age > p.expireAfter(m.listed) {
			continue
		}
		fresh := age < p.options.StaleAge
		out = append(out, Peer{m.instance, fresh && m.state.GetReady(), m.state.GetLoading()})
	}
	return out
}

// SetListed sets the members of this pool according to the node's view; the first neighbours are selected from
// them. A member that is no longer listed expires once its load is stale.
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
			m = &member{instance: listed.Instance, sampledAt: time.Now().Add(-p.options.StaleAge)}
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

// notifyChanged wakes the goroutines of neighbours and watchers after a member's state changed.
func (p *Pool) notifyChanged() {
	close(p.changed)
	p.changed = make(chan struct{})
	p.mean.Store(nil)
}

// wakeNeighbours starts an exchange with each neighbour without waiting for its regular round.
func (p *Pool) wakeNeighbours() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notifyChanged()
}

// expireAfter returns the age above which the state of a member expires.
func (p *Pool) expireAfter(listed bool) time.Duration {
	if listed {
		return p.options.ExpireAge
	}
	return p.options.StaleAge
}

// expire removes the state of members that have been silent for too long. It runs before each message, which
// bounds the number of members. Members that are still listed stay as addresses to try.
func (p *Pool) expire(now time.Time) {
	for instance, m := range p.members {
		if now.Sub(m.sampledAt) <= p.expireAfter(m.listed) {
			continue
		}
		delete(p.byHandle, m.handle)
		m.state, m.version, m.work, m.handle = nil, 0, 0, 0
		if !m.listed {
			delete(p.members, instance)
		}
	}
}

// mergeMember merges one member's state and returns whether it was new. extra is an upper bound on the transit
// time, which is added to the age.
func (p *Pool) mergeMember(state *wire.Member, now time.Time, extra time.Duration) bool {
	age := time.Duration(state.GetAgeMs())*time.Millisecond + extra
	if state.GetInstance() == p.self.Instance {
		return false
	}
	m, ok := p.members[state.GetInstance()]
	if age > p.expireAfter(ok && m.listed) {
		return false
	}
	if !ok {
		m = &member{instance: state.GetInstance()}
		p.members[m.instance] = m
	}
	if m.state != nil && compareStates(m.state, state) >= 0 {
		return false
	}
	if m.state.GetIncarnation() != state.GetIncarnation() {
		delete(p.byHandle, m.handle)
		m.handle = handle(state.GetInstance(), state.GetIncarnation())
		m.version, m.work, m.sampledAt = 0, 0, now.Add(-age)
		p.byHandle[m.handle] = m
	}
	m.state, m.address = state, state.GetAddress()
	m.transmissionsLeft, m.changedAt = stateTransmissions, now
	return true
}

func compareStates(a, b *wire.Member) int {
	return cmp.Or(cmp.Compare(a.GetIncarnation(), b.GetIncarnation()), cmp.Compare(a.GetVersion(), b.GetVersion()))
}

// mergeLoads merges loads that may be older than their stated age by up to extra.
func (p *Pool) mergeLoads(loads *wire.LoadVector, now time.Time, extra time.Duration) {
	n := min(len(loads.GetMember()), len(loads.GetVersion()), len(loads.GetWork()), len(loads.GetAge()))
	for i := range n {
		m, ok := p.byHandle[loads.Member[i]]
		if !ok {
			p.requestState(loads.Member[i])
			continue
		}
		sampledAt := now.Add(-time.Duration(loads.Age[i])*ageUnit - extra)
		switch {
		case loads.Version[i] > m.version:
			m.version, m.work, m.sampledAt = loads.Version[i], loads.Work[i], sampledAt
		case loads.Version[i] == m.version && sampledAt.After(m.sampledAt):
			// The same sample with a tighter bound on its age.
			m.sampledAt = sampledAt
		}
	}
	p.mean.Store(nil)
}

// requestState makes the next request ask for the state of the given member.
func (p *Pool) requestState(handle uint64) {
	if handle != p.handle && len(p.unknownHandles) < maxStateRequests {
		p.unknownHandles[handle] = struct{}{}
	}
}

// loadVector returns this sidecar's own load and the newest loads of the others, without those that the
// receiver already has, given in known.
func (p *Pool) loadVector(now time.Time, known *wire.LoadVector) *wire.LoadVector {
	knownVersions := make(map[uint64]uint64, len(known.GetMember()))
	for i, h := range known.GetMember() {
		if i < len(known.GetVersion()) {
			knownVersions[h] = known.Version[i]
		}
	}
	candidates := make([]*member, 0, len(p.members))
	for _, m := range p.members {
		version, sent := knownVersions[m.handle]
		stale := now.Sub(m.sampledAt) >= p.options.StaleAge
		if m.version > 0 && !stale && (!sent || version < m.version) {
			candidates = append(candidates, m)
		}
	}
	candidates = selectLoads(candidates, max(0, p.options.LoadsPerMessage-1))
	out := &wire.LoadVector{}
	out.Member = append(out.Member, p.handle)
	out.Version = append(out.Version, uint64(now.Sub(p.started)/ageUnit)+1)
	out.Work = append(out.Work, p.work())
	out.Age = append(out.Age, 0)
	for _, m := range candidates {
		out.Member = append(out.Member, m.handle)
		out.Version = append(out.Version, m.version)
		out.Work = append(out.Work, m.work)
		out.Age = append(out.Age, ageUnits(now.Sub(m.sampledAt)))
	}
	return out
}

// selectLoads returns at most limit members: two thirds are the newest and the rest is random. With only the
// newest, a member could be starved for minutes, because sidecars exchange at a fixed rate and one load can
// be among the older ones in every message on its path.
func selectLoads(members []*member, limit int) []*member {
	if len(members) <= limit {
		return members
	}
	slices.SortFunc(members, func(a, b *member) int { return b.sampledAt.Compare(a.sampledAt) })
	rest := members[limit*2/3:]
	rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return members[:limit]
}

// ageUnits rounds up, because an age on the wire is an upper bound.
func ageUnits(age time.Duration) uint32 {
	return uint32((max(0, age) + ageUnit - 1) / ageUnit)
}
