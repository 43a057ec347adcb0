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
	rules    Rules
	journal  *journal.Journal
	counters *kernel.Counters
	wake     chan struct{}

	mu        sync.RWMutex
	evidence  map[string]*evidence
	snapshots map[string]*Snapshot
	// due is when a status may change without new evidence.
	due time.Time
}

// NewView returns an empty view.
func NewView(rules Rules, j *journal.Journal, counters *kernel.Counters) *View {
	return &View{
		rules: rules, journal: j, counters: counters, wake: make(chan struct{}, 1),
		evidence: make(map[string]*evidence), snapshots: make(map[string]*Snapshot),
	}
}

// Run reads the instance list at the given interval and keeps the snapshots up to date until ctx
// ends. It needs one goroutine; reading the list takes another one.
func (v *View) Run(ctx context.Context, list services.InstanceList, interval time.Duration) {
	go v.follow(ctx, list, interval)
	for ctx.Err() == nil {
		timer := time.NewTimer(v.untilDue())
		select {
		case <-ctx.Done():
		case <-v.wake:
		case <-timer.C:
			v.update(func(time.Time) {})
		}
		timer.Stop()
	}
}

// follow reads the list. A failed read leaves the previous list in place.
func (v *View) follow(ctx context.Context, list services.InstanceList, interval time.Duration) {
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

// SetList takes a whole instance list.
func (v *View) SetList(instances []services.Instance) {
	v.update(func(now time.Time) {
		listed := make(map[string]*services.Instance, len(instances))
		for i := range instances {
			if instances[i].Role == services.RoleSidecar {
				listed[instances[i].ID] = &instances[i]
				v.get(instances[i].ID, now)
			}
		}
		for id, e := range v.evidence {
			e.list(listed[id], now)
		}
	})
}

// Refused takes a refused or broken connection to an instance. incarnation is the one that was meant,
// 0 for any.
func (v *View) Refused(instance string, incarnation uint64) {
	v.update(func(now time.Time) {
		e, ok := v.evidence[instance]
		if ok && e.refused(incarnation, now, v.rules) {
			v.counters.Map("membership_evidence").Add("refused", 1)
		}
	})
}

// Heard takes the load that a sidecar put on its answer. Most answers change no state and take only
// the read lock.
func (v *View) Heard(instance string, load *wire.Load) {
	if load == nil || v.quick(instance, load) {
		return
	}
	v.update(func(now time.Time) {
		e, ok := v.evidence[instance]
		if !ok || !e.word(load.GetIncarnation(), e.versionFor(load), load.GetLeaving(), !load.GetNotReady(), now, now, v.rules) {
			return
		}
		e.hint.raise(load.GetWork(), now)
	})
}

// versionFor returns the version for a word that carries none: the newest of its incarnation.
func (e *evidence) versionFor(load *wire.Load) uint64 {
	if load.GetIncarnation() == e.incarnation {
		return e.version
	}
	return 0
}

// quick takes load news that leaves the instance's status as it is. It returns false if the news may
// change it.
func (v *View) quick(instance string, load *wire.Load) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	e, ok := v.evidence[instance]
	now := time.Now()
	if !ok || e.incarnation != load.GetIncarnation() || load.GetLeaving() != e.wordLeaving || load.GetNotReady() == e.wordReady {
		return false
	}
	if now.Before(e.readmitAt) || now.Sub(e.wordAt) > v.rules.WordAge/4 {
		return false
	}
	e.hint.raise(load.GetWork(), now)
	return true
}

// Learn takes news of a pool that came through one of its members.
func (v *View) Learn(news *wire.PoolNews) {
	v.update(func(now time.Time) {
		for _, m := range news.GetMembers() {
			v.learnMember(news.GetPool(), m, now)
		}
		v.learnLoads(news.GetLoads(), now)
	})
}

func (v *View) learnMember(pool string, m *wire.Member, now time.Time) {
	at := now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond)
	e, ok := v.evidence[m.GetInstance()]
	if !ok && now.Sub(at) > v.rules.WordAge {
		return
	}
	if !ok {
		e = v.get(m.GetInstance(), now)
	}
	if !e.listed {
		e.instance = services.Instance{
			ID: m.GetInstance(), Role: services.RoleSidecar, Pool: pool, Address: m.GetAddress(),
			FailureDomain: m.GetFailureDomain(), Region: m.GetRegion(),
		}
	}
	e.word(m.GetIncarnation(), m.GetVersion(), m.GetLeaving(), m.GetReady(), at, now, v.rules)
}

func (v *View) learnLoads(loads *wire.LoadVector, now time.Time) {
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
		e.spoke(at)
		e.hint.raise(loads.GetWork()[i], at)
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
	return v.snapshot(name)
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

func (v *View) get(instance string, now time.Time) *evidence {
	e, ok := v.evidence[instance]
	if !ok {
		e = &evidence{missingSince: now, hint: &loadHint{}}
		v.evidence[instance] = e
	}
	return e
}

func (v *View) snapshot(pool string) *Snapshot {
	snapshot, ok := v.snapshots[pool]
	if !ok {
		snapshot = &Snapshot{Pool: pool, changed: make(chan struct{})}
		v.snapshots[pool] = snapshot
	}
	return snapshot
}

// update runs change under the lock and publishes the snapshots that differ after it.
func (v *View) update(change func(now time.Time)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	change(now)
	v.due = time.Time{}
	pools := make(map[string][]Member)
	for id, e := range v.evidence {
		s := e.standing(now, v.rules)
		if !s.present {
			delete(v.evidence, id)
			continue
		}
		if !s.until.IsZero() && (v.due.IsZero() || s.until.Before(v.due)) {
			v.due = s.until
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

func (e *evidence) member(id string, s standing) Member {
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
	old := v.snapshot(pool)
	if slices.Equal(old.Members, members) {
		return
	}
	next := &Snapshot{Pool: pool, Members: members, changed: make(chan struct{})}
	for _, m := range members {
		if m.Ready {
			next.Ready++
		}
	}
	v.note(old, next)
	v.snapshots[pool] = next
	close(old.changed)
}

// note records each member whose state changed.
func (v *View) note(old, next *Snapshot) {
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

// idleTimer is how long Run sleeps when no status is due to change.
const idleTimer = time.Hour

func (v *View) untilDue() time.Duration {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if v.due.IsZero() {
		return idleTimer
	}
	return max(0, time.Until(v.due))
}
