package membership

import (
	"slices"
	"sync"
	"time"

	"jacinthfork.example/jacinthfork/wire"
)

const (
	// relayLoadsPerAttempt is the number of loads that the first attempt of a request carries; each further
	// attempt carries as many more. A router has a budget of 5 KB/s for control traffic and sends 12 requests
	// a second in a fleet of 600 sidecars.
	relayLoadsPerAttempt = 4
	// maxRelayLoads bounds the loads that one attempt carries.
	maxRelayLoads = 12
)

// relayMaxAge is the age above which a load is no longer relayed.
const relayMaxAge = 2 * time.Second

// Relay forwards the loads that a router receives on responses to the sidecars that it calls next, so that the
// known mean follows a load surge at the rate of requests. It is safe for concurrent use.
type Relay struct {
	mu    sync.Mutex
	pools map[string]map[string]*relayedLoad
}

// relayedLoad is the newest load received from one instance.
type relayedLoad struct {
	handle     uint64
	version    uint64
	work       uint64
	receivedAt time.Time
}

// NewRelay returns an empty relay.
func NewRelay() *Relay { return &Relay{pools: make(map[string]map[string]*relayedLoad)} }

// ObserveLoad records the load that a sidecar attached to its response.
func (r *Relay) ObserveLoad(pool, instance string, load *wire.Load) {
	if load.GetVersion() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.pools[pool]
	if known == nil {
		known = make(map[string]*relayedLoad)
		r.pools[pool] = known
	}
	known[instance] = &relayedLoad{handle(instance, load.GetIncarnation()), load.GetVersion(), load.GetWork(), time.Now()}
}

// Loads returns the newest loads of a pool except that of the receiver, for the attempt with the given number,
// counted from 1. Ages are omitted: the receiver derives them from the versions.
func (r *Relay) Loads(pool, receiver string, attempt int) *wire.LoadVector {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	var fresh []*relayedLoad
	for instance, load := range r.pools[pool] {
		if now.Sub(load.receivedAt) > relayMaxAge {
			delete(r.pools[pool], instance)
			continue
		}
		if instance != receiver {
			fresh = append(fresh, load)
		}
	}
	slices.SortFunc(fresh, func(a, b *relayedLoad) int { return b.receivedAt.Compare(a.receivedAt) })
	out := &wire.LoadVector{}
	for _, load := range fresh[:min(len(fresh), relayLoadsPerAttempt*attempt, maxRelayLoads)] {
		out.Member = append(out.Member, load.handle)
		out.Version = append(out.Version, load.version)
		out.Work = append(out.Work, load.work)
	}
	return out
}

// MergeRelayed merges loads that a router relayed. The version of a load is the time since its sidecar's
// start, so the sampling time of a newer version follows from that of a known version, whose age is bounded;
// how long the router held the load does not matter. Members without a known load are skipped.
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
		sampledAt := m.sampledAt.Add(time.Duration(loads.Version[i]-m.version) * ageUnit)
		if sampledAt.After(now) {
			sampledAt = now
		}
		m.version, m.work, m.sampledAt = loads.Version[i], loads.Work[i], sampledAt
		changed = true
	}
	if changed {
		p.mean.Store(nil)
	}
}

// LoadVersion returns the current version of this sidecar's own load.
func (p *Pool) LoadVersion() uint64 { return uint64(time.Since(p.started)/ageUnit) + 1 }
