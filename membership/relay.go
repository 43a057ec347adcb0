package membership

import (
	"slices"
	"sync"
	"time"

	"jacinthfork.example/jacinthfork/wire"
)

const (
	// relayLoads is the number of loads that the first attempt of a request carries; each further
	// attempt carries as many more. A router has 5 KB/s for control, and at the target size sends 12
	// requests a second.
	relayLoads = 4
	// maxRelayLoads bounds the loads that one attempt carries.
	maxRelayLoads = 12
)

// relayAge is the age from which a load is not worth relaying.
const relayAge = 2 * time.Second

// Relay passes the loads that a router hears on answers on to the next sidecars that it calls, so
// that the known mean follows a surge as fast as requests arrive. It is safe for concurrent use.
type Relay struct {
	mu    sync.Mutex
	pools map[string]map[string]*relayed
}

// relayed is the newest load that was heard of one instance.
type relayed struct {
	handle  uint64
	version uint64
	work    uint64
	at      time.Time
}

// NewRelay returns an empty relay.
func NewRelay() *Relay { return &Relay{pools: make(map[string]map[string]*relayed)} }

// Heard takes the load that a sidecar put on its answer.
func (r *Relay) Heard(pool, instance string, load *wire.Load) {
	if load.GetVersion() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.pools[pool]
	if known == nil {
		known = make(map[string]*relayed)
		r.pools[pool] = known
	}
	known[instance] = &relayed{handle(instance, load.GetIncarnation()), load.GetVersion(), load.GetWork(), time.Now()}
}

// Loads returns the freshest loads of a pool without that of the receiver, for the attempt of the
// given number, from 1. Ages are left out: the
// receiver derives them from the versions.
func (r *Relay) Loads(pool, receiver string, attempt int) *wire.LoadVector {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	var fresh []*relayed
	for instance, load := range r.pools[pool] {
		if now.Sub(load.at) > relayAge {
			delete(r.pools[pool], instance)
			continue
		}
		if instance != receiver {
			fresh = append(fresh, load)
		}
	}
	slices.SortFunc(fresh, func(a, b *relayed) int { return b.at.Compare(a.at) })
	out := &wire.LoadVector{}
	for _, load := range fresh[:min(len(fresh), relayLoads*attempt, maxRelayLoads)] {
		out.Member = append(out.Member, load.handle)
		out.Version = append(out.Version, load.version)
		out.Work = append(out.Work, load.work)
	}
	return out
}

// MergeRelayed takes loads that a router relayed. The version of a load is the time since its
// sidecar's start, so the birth of a newer version follows from that of a known one, whose age is
// bounded; how long the router held the load does not matter. A member of which no load is known
// is skipped.
func (p *Pool) MergeRelayed(loads *wire.LoadVector) {
	if len(loads.GetMember()) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	changed := false
	for i := range min(len(loads.GetMember()), len(loads.GetVersion()), len(loads.GetWork())) {
		m, ok := p.byHandle[loads.Member[i]]
		if !ok || m.version == 0 || loads.Version[i] <= m.version {
			continue
		}
		born := m.born.Add(time.Duration(loads.Version[i]-m.version) * ageUnit)
		if born.After(now) {
			born = now
		}
		m.version, m.work, m.born = loads.Version[i], loads.Work[i], born
		changed = true
	}
	if changed {
		p.mean.Store(nil)
	}
}

// LoadVersion returns the version of this sidecar's own load at this moment.
func (p *Pool) LoadVersion() uint64 { return uint64(time.Since(p.started)/ageUnit) + 1 }
