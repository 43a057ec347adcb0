package feed

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jacinthfork.example/jacinthfork/gateway/pool"
	"jacinthfork.example/jacinthfork/internal/proptest"
)

// Sizes of a random history: few keys and values, so that keys are removed and written again with the same content.
const (
	historyRouters = 4
	historySteps   = 80
	histories      = 2000
	historyKeys    = 5
	// snapshotPage and readLimit are the numbers of records that the store returns at once.
	snapshotPage = 2
	readLimit    = 3
	// maxDepth is how deep events nest that happen while a read is on its way.
	maxDepth = 3
)

// history is a random history of a store, the routers that follow it and the updates that are on their way between them.
type history struct {
	*rapid.T
	// log holds all records ever written, and first is the oldest one that the store still returns to reads.
	log     []Record
	first   uint64
	now     time.Time
	routers []*historyRouter
	updates []historyUpdate
	depth   int
	// pools is set if the records are entries of workers, and the routers have pools.
	pools bool
}

// historyRouter is a router in a history. It implements Source and Sink.
type historyRouter struct {
	h *history
	f *Follower
	// unserved is set while the store does not serve this router, and reading while a read is on its way.
	unserved, reading bool
	// used are the records in use, and applied the offsets of the newest records that were applied.
	used    map[string]Record
	applied map[string]uint64
	// registry is the pool, nil if the records are no entries.
	registry *pool.Registry
}

// historyUpdate is an update that is on its way. It may arrive late, out of order, at a successor of the router that it was made
// for, or never.
type historyUpdate struct {
	to    int
	delta Delta
	ended []pool.EndedLifetime
}

func (h *history) newRouter() *historyRouter {
	r := &historyRouter{h: h, used: make(map[string]Record), applied: make(map[string]uint64)}
	r.f = NewFollower(Instances, r, r, testPollPolicy)
	r.f.now = func() time.Time { return h.now }
	if h.pools {
		r.registry = pool.NewRegistry(pool.DefaultSettings(), "a")
	}
	return r
}

var errUnserved = errors.New("status 503")

// Newest implements Source. Pages are not a snapshot: the store may change between them.
func (r *historyRouter) Newest(context.Context, ID) (records []Record, next uint64, err error) {
	if r.unserved {
		return nil, 0, errUnserved
	}
	next = uint64(len(r.h.log))
	for after := ""; ; {
		state := r.h.stateAt(uint64(len(r.h.log)))
		keys := slices.DeleteFunc(slices.Sorted(maps.Keys(state)), func(key string) bool { return key <= after })
		for _, key := range keys[:min(snapshotPage, len(keys))] {
			records = append(records, state[key])
			after = key
		}
		r.h.interleave()
		if len(keys) <= snapshotPage {
			return records, next, nil
		}
	}
}

// Read implements Source.
func (r *historyRouter) Read(_ context.Context, _ ID, from uint64, _ time.Duration) ([]Record, uint64, error) {
	switch {
	case r.unserved:
		return nil, 0, errUnserved
	case from < r.h.first:
		return nil, 0, ErrExpired
	}
	next := min(from+readLimit, uint64(len(r.h.log)))
	records := slices.Clone(r.h.log[from:next])
	r.h.interleave()
	return records, next, nil
}

// Apply implements Sink.
func (r *historyRouter) Apply(record Record, from Origin) (changed bool) {
	if applied, ok := r.applied[record.Key]; ok && record.Offset <= applied {
		r.h.Fatalf("%s is applied at offset %d after %d", record.Key, record.Offset, applied)
	}
	r.applied[record.Key] = record.Offset
	if r.registry != nil {
		return r.applyEntry(record, from)
	}
	if len(record.Value) == 0 {
		delete(r.used, record.Key)
		return true
	}
	before, ok := r.used[record.Key]
	r.used[record.Key] = record
	return !ok || string(before.Value) != string(record.Value)
}

// StoreRecovered implements Sink.
func (r *historyRouter) StoreRecovered() {}

// SnapshotApplied implements Sink.
func (r *historyRouter) SnapshotApplied(keys map[string]bool, from Origin) {
	if r.registry != nil {
		r.registry.RemoveMissing(keys)
		return
	}
	for key, record := range r.used {
		if !keys[key] {
			if record.Offset >= from.Complete {
				r.h.Fatalf("%s at offset %d is removed by a snapshot that ends at %d", key, record.Offset, from.Complete)
			}
			delete(r.used, key)
		}
	}
}

// stateAt returns the newest records below a position, without removed keys.
func (h *history) stateAt(position uint64) map[string]Record {
	state := make(map[string]Record)
	for _, r := range h.log[:position] {
		if state[r.Key] = r; len(r.Value) == 0 {
			delete(state, r.Key)
		}
	}
	return state
}

// interleave lets some events happen while a read is on its way.
func (h *history) interleave() {
	if h.depth >= maxDepth {
		return
	}
	h.depth++
	for range rapid.IntRange(0, 4).Draw(h.T, "events meanwhile") {
		h.step()
	}
	h.depth--
}

func (h *history) write(value string) {
	key := fmt.Sprint("key-", rapid.IntRange(1, historyKeys).Draw(h.T, "key"))
	h.log = append(h.log, Record{Key: key, Offset: uint64(len(h.log)), Value: []byte(value)})
}

func (h *history) drawRouter() int { return rapid.IntRange(0, historyRouters-1).Draw(h.T, "router") }

// read makes one read of a router, unless it is waiting for one.
func (h *history) read(n int) {
	r := h.routers[n]
	if r.reading {
		return
	}
	r.reading = true
	if err := r.f.readNext(context.Background()); err != nil {
		r.f.recordFailure(err)
	} else {
		r.f.recordSuccess()
	}
	r.reading = false
}

// send makes an update of one router for another one, at the position that it has, had or may have had.
func (h *history) send() {
	from, to := h.routers[h.drawRouter()], h.drawRouter()
	base := h.routers[to].f.Position()
	switch rapid.IntRange(0, 3).Draw(h.T, "known position") {
	case 0:
		base = 0
	case 1:
		base = rapid.Uint64Range(0, uint64(len(h.log))).Draw(h.T, "position of a predecessor")
	}
	h.updates = append(h.updates, from.update(to, base))
}

// update returns the update of a router for another one at a position.
func (r *historyRouter) update(to int, base uint64) historyUpdate {
	u := historyUpdate{to: to, delta: r.f.Since(base)}
	u.delta.Sender = "peer"
	if r.registry != nil {
		u.ended = r.registry.EndedLifetimes(base)
	}
	return u
}

// deliver applies one of the updates that are on their way.
func (h *history) deliver() {
	if len(h.updates) == 0 {
		return
	}
	i := rapid.IntRange(0, len(h.updates)-1).Draw(h.T, "update")
	u := h.updates[i]
	h.updates = slices.Delete(h.updates, i, i+1)
	h.apply(u)
}

// exchange lets a router read, and another one take its update at once.
func (h *history) exchange() {
	from, to := h.drawRouter(), h.drawRouter()
	h.read(from)
	h.apply(h.routers[from].update(to, h.routers[to].f.Position()))
}

// apply applies an update, and checks that what is sound is taken: a recent copy by a router without a position, and the position
// of a peer whose update covers the gap.
func (h *history) apply(u historyUpdate) {
	f := h.routers[u.to].f
	if h.pools {
		h.routers[u.to].registry.RecordEnded(u.ended)
	}
	position := f.Position()
	usable := f.Failing() || h.now.Sub(u.delta.FreshAt) <= outageThreshold
	f.ApplyDelta(u.delta)
	covered := u.delta.Base <= position && (position == 0 && usable || position > 0 && position >= u.delta.HistoryFrom)
	if covered && f.Position() < u.delta.Next {
		h.Fatalf("router %d at %d did not adopt %+v", u.to, position, u.delta)
	}
}

// step makes one event happen.
func (h *history) step() {
	events := []func(){
		func() { h.write("1") },
		func() { h.write("2") },
		func() { h.write("") },
		func() { h.write("") },
		func() { h.read(h.drawRouter()) },
		func() { h.read(h.drawRouter()) },
		h.send,
		h.send,
		h.deliver,
		h.deliver,
		h.exchange,
		h.exchange,
		func() { h.first = rapid.Uint64Range(h.first, uint64(len(h.log))).Draw(h.T, "first offset") },
		func() { h.first = uint64(len(h.log)) },
		func() { // restart
			if n := h.drawRouter(); !h.routers[n].reading {
				h.routers[n] = h.newRouter()
			}
		},
		func() { r := h.routers[h.drawRouter()]; r.unserved = !r.unserved },
		func() {
			h.now = h.now.Add(time.Duration(rapid.IntRange(100, 3000).Draw(h.T, "pause in ms")) * time.Millisecond)
		},
		func() { h.now = h.now.Add(removalsKept) },
	}
	events[rapid.IntRange(0, len(events)-1).Draw(h.T, "event")]()
}

// writtenSince reports whether a record of a key was written at a position or later.
func (h *history) writtenSince(key string, position uint64) bool {
	return slices.ContainsFunc(h.log[position:], func(r Record) bool { return r.Key == key })
}

// check checks that a router uses exactly what is in force at its position, besides records that peers have sent ahead.
func (h *history) check(name string, r *historyRouter) {
	position := r.f.Position()
	state := h.stateAt(position)
	for key, used := range r.used {
		if _, ok := state[key]; !ok && used.Offset < position {
			h.Fatalf("%s at %d uses %s, which was removed, with the record at %d", name, position, key, used.Offset)
		}
	}
	for key, want := range state {
		used, ok := r.used[key]
		// A page of a snapshot may be newer than its end, and lack a key that was removed since.
		missing := !ok && !h.writtenSince(key, position)
		if missing || ok && used.Offset < position && string(used.Value) != string(want.Value) {
			h.Fatalf("%s at %d uses %s: %t, %+v, want %+v", name, position, key, ok, used, want)
		}
	}
}

// Guards against a follower that uses a removed key, takes back what is newer, or ends with another state than the store, in any
// order of writes, removals, deletions of history, reads, snapshots, copies, updates that arrive late, pauses and restarts; and
// against one that hands such a state to a router that starts with a copy. It also fails if a sound update is refused.
func TestFollowersAgreeWithTheStoreInAnyHistory(t *testing.T) {
	proptest.CheckMany(t, histories, func(t *rapid.T) {
		h := &history{T: t, now: time.Unix(1000, 0)}
		for range historyRouters {
			h.routers = append(h.routers, h.newRouter())
		}
		for range historySteps {
			h.step()
			for n, r := range h.routers {
				h.check(fmt.Sprint("router ", n), r)
				started := h.newRouter()
				started.f.recordFailure(errUnserved)
				started.f.ApplyDelta(r.f.Since(0))
				h.check(fmt.Sprint("a copy of router ", n), started)
			}
		}
		h.depth = maxDepth
		for len(h.updates) > 0 {
			h.deliver()
		}
		for n, r := range h.routers {
			r.unserved = false
			for r.f.Position() < uint64(len(h.log)) {
				h.read(n)
			}
			h.check(fmt.Sprint("router ", n, " at the end"), r)
		}
	})
}
