package router

import (
	"context"
	"sync"
	"time"

	"jacinthfork.example/jacinthfork/placement"
	"jacinthfork.example/jacinthfork/platform"
	"jacinthfork.example/jacinthfork/wire"
)

// retryDown is how long an instance counts as not ready after a failure.
const retryDown = 2 * time.Second

// view is the router's picture of the instances.
type view struct {
	mu      sync.Mutex
	list    []platform.Instance
	loads   map[string]*wire.Load
	heard   map[string]time.Time
	downFor map[string]time.Time
}

func newView() *view {
	return &view{loads: make(map[string]*wire.Load), heard: make(map[string]time.Time), downFor: make(map[string]time.Time)}
}

func (v *view) update(list []platform.Instance) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.list = list
}

func (v *view) news(instance string, load *wire.Load) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.loads[instance] = load
	v.heard[instance] = time.Now()
	delete(v.downFor, instance)
}

func (v *view) failed(instance string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.downFor[instance] = time.Now().Add(retryDown)
}

func (v *view) address(instance string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, i := range v.list {
		if i.ID == instance {
			return i.Address
		}
	}
	return ""
}

// pool returns the candidates of a pool, or nil when no instance has ever been listed for it.
func (v *view) pool(name string) *placement.Pool {
	v.mu.Lock()
	defer v.mu.Unlock()
	var list []placement.Candidate
	now := time.Now()
	for _, i := range v.list {
		if i.Role != platform.RoleSidecar || i.Pool != name {
			continue
		}
		list = append(list, v.candidate(i, now))
	}
	if list == nil {
		return nil
	}
	return placement.NewPool(name, list, 0)
}

func (v *view) candidate(i platform.Instance, now time.Time) placement.Candidate {
	load := v.loads[i.ID]
	c := placement.Candidate{
		ID: i.ID, FailureDomain: i.FailureDomain, Region: i.Region,
		Leaving: i.Leaving || load.GetLeaving(), Ready: now.After(v.downFor[i.ID]),
		Incarnation: load.GetIncarnation(), Load: int64(load.GetWork()), LoadAge: -1,
	}
	if load != nil {
		c.LoadAge = now.Sub(v.heard[i.ID])
	}
	return c
}

// follow reads the instance list until ctx ends.
func (r *Router) followList(ctx context.Context) {
	for {
		list, err := r.instances.List(ctx)
		if err == nil {
			r.view.update(list)
		} else {
			r.count.Int("list_errors").Add(1)
		}
		select {
		case <-time.After(r.settings.ListInterval):
		case <-ctx.Done():
			return
		}
	}
}
