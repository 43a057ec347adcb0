package feed

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"jacinthfork.example/jacinthfork/gateway/pool"
	"jacinthfork.example/jacinthfork/internal/proptest"
)

const (
	lifetimeHistories = 2000
	historyWorkers    = 3
	// heartbeat is how often a worker publishes its entry, and lateBy how much later the store does a write at most.
	heartbeat = 1200 * time.Millisecond
	lateBy    = 10 * time.Second
	// settleTime is how long the workers publish at the end of a history, and refreshTime the time after which all routers must
	// agree.
	settleTime  = 30 * time.Second
	refreshTime = 10 * time.Minute
)

// historyWorker is a worker in a history. Its clock is set whenever it starts. Each worker is a pool of its own.
type historyWorker struct {
	entry pool.Instance
	up    bool
	// late are writes that the store has not done, and beats is set if the worker has published since the last late one.
	late  []lateEntry
	beats bool
}

type lateEntry struct {
	entry pool.Instance
	at    time.Time
}

// lifetimes is a history of workers that start again under their IDs, and of routers whose pools follow it.
type lifetimes struct {
	*history
	workers []*historyWorker
	names   map[int64]bool
}

// applyEntry applies a record to the pool, as the gateway does.
func (r *historyRouter) applyEntry(record Record, from Origin) (changed bool) {
	if len(record.Value) == 0 {
		r.registry.Remove(record.Key)
		return true
	}
	var i pool.Instance
	if err := json.Unmarshal(record.Value, &i); err != nil {
		r.h.Fatal(err)
	}
	i.Offset = record.Offset
	apply := r.registry.ApplyEntry
	if from.Peer != "" {
		apply = r.registry.ApplyTakenEntry
	}
	change := apply(i)
	return !change.Ignored() && change != pool.Unchanged
}

func (h *lifetimes) publish(i pool.Instance) {
	value, err := json.Marshal(i)
	if err != nil {
		h.Fatal(err)
	}
	h.log = append(h.log, Record{Key: i.ID, Offset: uint64(len(h.log)), Value: value})
}

func (h *lifetimes) heartbeat(w *historyWorker) {
	if w.up {
		w.entry.Sequence++
		w.beats = true
		h.publish(w.entry)
	}
}

// start starts a lifetime of a worker, with a name of its own.
func (h *lifetimes) start(w *historyWorker) {
	w.entry.StartedAt, w.entry.Sequence, w.entry.Leaving = 0, 0, false
	for w.entry.StartedAt == 0 || h.names[w.entry.StartedAt] {
		w.entry.StartedAt = time.Now().UnixMilli() + rapid.Int64Range(-100_000, 100_000).Draw(h.T, "clock")
	}
	h.names[w.entry.StartedAt] = true
	w.entry.Address = fmt.Sprintf("10.0.0.%d:80", rapid.IntRange(0, 3).Draw(h.T, "address"))
	w.up = true
	h.heartbeat(w)
}

// doLate lets the store do a write of a worker that was superseded meanwhile.
func (h *lifetimes) doLate(w *historyWorker) {
	if len(w.late) == 0 || !w.beats {
		return
	}
	l := w.late[0]
	w.late = w.late[1:]
	if time.Since(l.at) <= lateBy && (l.entry.StartedAt != w.entry.StartedAt || l.entry.Sequence < w.entry.Sequence && w.up) {
		w.beats = false
		h.publish(l.entry)
	}
}

func (h *lifetimes) remove(w *historyWorker) {
	if len(h.log) > 0 {
		w.up = false
		h.log = append(h.log, Record{Key: w.entry.ID, Offset: uint64(len(h.log))})
	}
}

func (h *lifetimes) pause(d time.Duration) {
	time.Sleep(d)
	h.now = time.Now()
	for _, r := range h.routers {
		r.registry.Sweep(h.now)
	}
}

func (h *lifetimes) step() {
	w := h.workers[rapid.IntRange(0, historyWorkers-1).Draw(h.T, "worker")]
	events := []func(){
		func() { h.heartbeat(w) },
		func() { h.heartbeat(w) },
		func() { h.start(w) },
		func() { w.entry.Leaving = w.up; h.heartbeat(w) },
		func() {
			if w.up {
				w.entry.Sequence++
				w.late = append(w.late, lateEntry{w.entry, time.Now()})
			}
		},
		func() { h.doLate(w) },
		func() { h.remove(w) },
		func() { h.read(h.drawRouter()) },
		func() { h.read(h.drawRouter()) },
		h.exchange,
		h.exchange,
		h.exchange,
		func() { h.first = uint64(len(h.log)) },
		func() { h.routers[h.drawRouter()] = h.newRouter() },
		func() { h.pause(time.Duration(rapid.IntRange(100, 3000).Draw(h.T, "pause in ms")) * time.Millisecond) },
	}
	events[rapid.IntRange(0, len(events)-1).Draw(h.T, "event")]()
}

// settle lets the workers publish for a while. One router reads the store, and the others have their updates from it.
func (h *lifetimes) settle() {
	for _, w := range h.workers {
		if !w.up {
			h.remove(w) // what was written late lapses
		}
	}
	for end := time.Now().Add(settleTime); time.Now().Before(end); {
		for _, w := range h.workers {
			h.heartbeat(w)
		}
		for h.routers[0].f.Position() < uint64(len(h.log)) {
			h.read(0)
		}
		for to := 1; to < historyRouters; to++ {
			h.apply(h.routers[0].update(to, h.routers[to].f.Position()))
			// One that can't follow reads the store.
			for h.routers[to].f.Position() < uint64(len(h.log)) {
				h.read(to)
			}
		}
		h.pause(heartbeat)
	}
}

// disagreement says which router uses another lifetime of a worker than the last one, if any does.
func (h *lifetimes) disagreement() string {
	for n, r := range h.routers {
		for _, w := range h.workers {
			lease := r.registry.Acquire(&pool.Request{Pool: w.entry.Pool})
			switch used := w.up && !w.entry.Leaving; {
			case used != (lease != nil):
				return fmt.Sprintf("router %d uses %s: %t, last is %+v", n, w.entry.ID, lease != nil, w.entry)
			case used && lease.Instance.StartedAt != w.entry.StartedAt:
				return fmt.Sprintf("router %d uses %+v, last is %+v", n, lease.Instance, w.entry)
			case used:
				lease.Release(pool.Served)
			}
		}
	}
	return ""
}

// inBubble calls do in a bubble of package synctest, with a clock of its own.
func inBubble(t *testing.T, do func()) {
	var failure any
	synctest.Test(t, func(*testing.T) {
		defer func() { failure = recover() }()
		do()
	})
	if failure != nil {
		panic(failure)
	}
}

// Guards against routers that end with different lifetimes of a worker, or with another one than the last, whatever their clocks
// showed, and whichever writes were done late, read by some, and passed on: one that reads nothing itself would go on using a worker
// that has left, or never use one that runs.
func TestRoutersAgreeOnTheLastLifetimeInAnyHistory(t *testing.T) {
	proptest.CheckMany(t, lifetimeHistories, func(rt *rapid.T) {
		wrong := ""
		inBubble(t, func() {
			h := &lifetimes{history: &history{T: rt, now: time.Now(), pools: true, depth: maxDepth}, names: make(map[int64]bool)}
			for n := range historyWorkers {
				id := fmt.Sprint("worker-", n)
				h.workers = append(h.workers, &historyWorker{entry: pool.Instance{ID: id, Pool: id, FailureDomain: "a", Slots: 1000}})
			}
			for range historyRouters {
				h.routers = append(h.routers, h.newRouter())
			}
			for range historySteps {
				h.step()
			}
			h.settle()
			h.pause(refreshTime)
			h.settle()
			wrong = h.disagreement()
		})
		if wrong != "" {
			rt.Fatal(wrong)
		}
	})
}
