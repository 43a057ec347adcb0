package membership

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/kernel/journal"
	"jacinthfork.example/jacinthfork/services"
	"jacinthfork.example/jacinthfork/wire"
)

// View is one node's view of all pools. It is safe for concurrent use.
type View struct {
	options  ViewOptions
	journal  *journal.Journal
	counters *kernel.Counters
	wake     chan struct{}

	mu        sync.RWMutex
	evidence  map[string]*evidence
	snapshots map[string]*Snapshot
	// nextChange is when a status may change without new evidence.
	nextChange time.Time
}

// NewView returns an empty view.
func NewView(options ViewOptions, j *journal.Journal, counters *kernel.Counters) *View {
	return &View{
		options: options, journal: j, counters: counters, wake: make(chan struct{}, 1),
		evidence: make(map[string]*evidence), snapshots: make(map[string]*Snapshot),
	}
}

// Run polls the instance list at the given interval and keeps the snapshots up to date until ctx ends. It runs
// in the calling goroutine and starts another one that polls the list.
func (v *View) Run(ctx context.Context, list services.InstanceList, interval time.Duration) {
	go v.pollList(ctx, list, interval)
	for ctx.Err() == nil {
		timer := time.NewTimer(v.untilNextChange())
		select {
		case <-ctx.Done():
		case <-v.wake:
		case <-timer.C:
			v.update(func(time.Time) {})
		}
		timer.Stop()
	}
}

// pollList polls the instance list. After a failed read the previous list stays in effect.
func (v *View) pollList(ctx context.Context, list services.InstanceList, interval time.Duration) {
	for ctx.Err() == nil {
		instances, err := list.List(ctx)
		if err == nil {
			v.SetList(instances)
		} else {
			v.counters.Int("instance_list_failures").Add(1)
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

// SetList applies a complete instance list.
func (v *View) SetList(instances []services.Instance) {
	v.update(func(now time.Time) {
		listed := make(map[string]*services.Instance, len(instances))
		for i := range instances {
			if instances[i].Role == services.RoleSidecar {
				listed[instances[i].ID] = &instances[i]
				v.evidenceFor(instances[i].ID, now)
			}
		}
		for id, e := range v.evidence {
			e.setListed(listed[id], now)
		}
	})
}

// ObserveRefusal records a refused or broken connection to an instance. incarnation is the one that was
// addressed, 0 for any.
func (v *View) ObserveRefusal(instance string, incarnation uint64) {
	v.update(func(now time.Time) {
		e, ok := v.evidence[instance]
		if ok && e.recordRefusal(incarnation, now, v.options) {
			v.counters.Map("membership_evidence").Add("refused", 1)
		}
	})
}

// ObserveLoad records the load that a sidecar attached to its response. Most responses change no state and
// need only the read lock.
func (v *View) ObserveLoad(instance string, load *wire.Load) {
	if load == nil || v.updateLoadOnly(instance, load) {
		return
	}
	v.update(func(now time.Time) {
		e, ok := v.evidence[instance]
		if !ok || !e.applyReport(load.GetIncarnation(), e.versionFor(load), load.GetLeaving(), !load.GetNotReady(), now, now, v.options) {
			return
		}
		e.hint.storeIfNewer(load.GetWork(), now)
	})
}

// versionFor returns the state version of a load report: the newest known one of its incarnation, or 0. The
// report carries no state version (Load.version numbers loads).
func (e *evidence) versionFor(load *wire.Load) uint64 {
	if load.GetIncarnation() == e.incarnation {
		return e.version
	}
	return 0
}

// updateLoadOnly records the load under the read lock if the report leaves the instance's status unchanged. It
// returns false if the report may change the status.
func (v *View) updateLoadOnly(instance string, load *wire.Load) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	e, ok := v.evidence[instance]
	now := time.Now()
	if !ok || e.incarnation != load.GetIncarnation() || load.GetLeaving() != e.reportedLeaving || load.GetNotReady() == e.reportedReady {
		return false
	}
	// reportedAt cannot be written under the read lock, so the report takes the slow path before reportedAt gets
	// close to ReportMaxAge.
	if now.Before(e.readmitAt) || now.Sub(e.reportedAt) > v.options.ReportMaxAge/4 {
		return false
	}
	e.hint.storeIfNewer(load.GetWork(), now)
	return true
}

// ApplyUpdate applies an update about a pool that one of its members sent.
func (v *View) ApplyUpdate(update *wire.PoolUpdate) {
	v.update(func(now time.Time) {
		for _, m := range update.GetMembers() {
			v.applyMember(update.GetPool(), m, now)
		}
		v.applyLoads(update.GetLoads(), now)
	})
}

func (v *View) applyMember(pool string, m *wire.Member, now time.Time) {
	at := now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond)
	e, ok := v.evidence[m.GetInstance()]
	if !ok && now.Sub(at) > v.options.ReportMaxAge {
		return
	}
	if !ok {
		e = v.evidenceFor(m.GetInstance(), now)
	}
	if !e.listed {
		e.instance = services.Instance{
			ID: m.GetInstance(), Role: services.RoleSidecar, Pool: pool, Address: m.GetAddress(),
			FailureDomain: m.GetFailureDomain(), Region: m.GetRegion(),
		}
	}
	e.applyReport(m.GetIncarnation(), m.GetVersion(), m.GetLeaving(), m.GetReady(), at, now, v.options)
}

func (v *View) applyLoads(loads *wire.LoadVector, now time.Time) {
	if len(loads.GetMember()) == 0 {
		return
	}
	byHandle := make(map[uint64]*evidence, len(v.evidence))
	for id, e := range v.evidence {
		byHandle[handle(id, e.incarnation)] = e
	}
	for i, h := range loads.GetMember() {
		e, ok := byHandle[h]
		if !ok || i >= len(loads.GetWork()) || i >= len(loads.GetAge()) {
			continue
		}
		at := now.Add(-time.Duration(loads.GetAge()[i]) * ageUnit)
		e.markAlive(at)
		e.hint.storeIfNewer(loads.GetWork()[i], at)
	}
}

// Pool returns the newest snapshot of a pool. A pool without instances has an empty one.
func (v *View) Pool(name string) *Snapshot {
	v.mu.RLock()
	snapshot, ok := v.snapshots[name]
	v.mu.RUnlock()
	if ok {
		return snapshot
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.snapshotFor(name)
}

// Pools returns the names of the pools that have instances, sorted.
func (v *View) Pools() []string {
	v.mu.RLock()
	defer v.mu.RUnlock()
	names := make([]string, 0, len(v.snapshots))
	for name, snapshot := range v.snapshots {
		if len(snapshot.Members) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (v *View) evidenceFor(instance string, now time.Time) *evidence {
	e, ok := v.evidence[instance]
	if !ok {
		e = &evidence{missingSince: now, hint: &loadHint{}}
		v.evidence[instance] = e
	}
	return e
}

func (v *View) snapshotFor(pool string) *Snapshot {
	snapshot, ok := v.snapshots[pool]
	if !ok {
		snapshot = &Snapshot{Pool: pool, changed: make(chan struct{})}
		v.snapshots[pool] = snapshot
	}
	return snapshot
}

// update runs change under the lock, then publishes the snapshots that differ.
func (v *View) update(change func(now time.Time)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	change(now)
	v.nextChange = time.Time{}
	pools := make(map[string][]Member)
	for id, e := range v.evidence {
		s := e.status(now, v.options)
		if !s.present {
			delete(v.evidence, id)
			continue
		}
		if !s.validUntil.IsZero() && (v.nextChange.IsZero() || s.validUntil.Before(v.nextChange)) {
			v.nextChange = s.validUntil
		}
		pools[e.instance.Pool] = append(pools[e.instance.Pool], e.member(id, s))
	}
	for name := range v.snapshots {
		if _, ok := pools[name]; !ok {
			pools[name] = nil
		}
	}
	for name, members := range pools {
		v.publish(name, members)
	}
	select {
	case v.wake <- struct{}{}:
	default:
	}
}

func (e *evidence) member(id string, s instanceStatus) Member {
	return Member{
		Instance: id, Address: e.instance.Address, FailureDomain: e.instance.FailureDomain,
		Region: e.instance.Region, Incarnation: e.incarnation,
		Ready: s.ready, Leaving: s.leaving, hint: e.hint,
	}
}

func (v *View) publish(pool string, members []Member) {
	slices.SortFunc(members, func(a, b Member) int {
		if a.Instance < b.Instance {
			return -1
		}
		return 1
	})
	old := v.snapshotFor(pool)
	if slices.Equal(old.Members, members) {
		return
	}
	next := &Snapshot{Pool: pool, Members: members, changed: make(chan struct{})}
	for _, m := range members {
		if m.Ready {
			next.Ready++
		}
	}
	v.recordChanges(old, next)
	v.snapshots[pool] = next
	close(old.changed)
}

// recordChanges writes a journal entry for each member whose state changed.
func (v *View) recordChanges(old, next *Snapshot) {
	before := make(map[string]Member, len(old.Members))
	for _, m := range old.Members {
		before[m.Instance] = m
	}
	for _, m := range next.Members {
		was, ok := before[m.Instance]
		delete(before, m.Instance)
		if !ok || was.Ready != m.Ready || was.Leaving != m.Leaving || was.Incarnation != m.Incarnation {
			v.journal.Add(journal.KindMember, m.Instance,
				fmt.Sprintf("ready %t, leaving %t, incarnation %d", m.Ready, m.Leaving, m.Incarnation))
		}
	}
	for id := range maps.Keys(before) {
		v.journal.Add(journal.KindMember, id, "removed")
	}
}

// idleWait is how long Run waits when no status is due to change.
const idleWait = time.Hour

func (v *View) untilNextChange() time.Duration {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if v.nextChange.IsZero() {
		return idleWait
	}
	return max(0, time.Until(v.nextChange))
}
