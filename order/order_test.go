package order

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jacinthfork.example/jacinthfork/config"
	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/kernel/journal"
)

// pool is a pool whose members see state changes of the others after a delay of up to PropagationTime.
type pool struct {
	mu              sync.Mutex
	delay           func() time.Duration
	object          config.Pool
	names           []string
	views           map[string]map[string]Peer // by viewer and member
	unavailable     map[string]bool
	peakUnavailable int
}

func newPool(n int, share float64, serving bool) *pool {
	p := &pool{views: map[string]map[string]Peer{}, unavailable: map[string]bool{}}
	p.delay = func() time.Duration { return rand.N(DefaultOptions.PropagationTime) }
	p.object = config.Pool{Revision: 7, MaxLoadingShare: share, Desired: config.Desired{Model: "m", Version: "2"}}
	for i := range n {
		p.names = append(p.names, fmt.Sprint("engine-", i))
	}
	for _, viewer := range p.names {
		p.views[viewer] = map[string]Peer{}
		for _, name := range p.names {
			p.views[viewer][name] = Peer{name, serving, false}
		}
	}
	return p
}

// propagate applies a state change of one member to the view of each member, after a random delay.
func (p *pool) propagate(name string, change func(*Peer)) {
	for _, viewer := range p.names {
		time.AfterFunc(p.delay(), func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			peer := p.views[viewer][name]
			change(&peer)
			p.views[viewer][name] = peer
		})
	}
}

func (p *pool) Cached() (config.Pool, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.object, true
}

func (p *pool) ReadLatest(context.Context) (config.Pool, time.Time, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.object, time.Now(), nil
}

// member is one sidecar with its engine. A load takes 30 s.
type member struct {
	*pool
	name    string
	serving bool

	lock         sync.Mutex
	running      config.Desired
	loadingUntil time.Time
	highestFence uint64
	fences       []uint64
}

func (m *member) Peers() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Peer
	for _, name := range m.names {
		if name != m.name {
			out = append(out, m.views[m.name][name])
		}
	}
	return out
}

func (m *member) Serving() bool         { return m.serving }
func (m *member) Announce(loading bool) { m.propagate(m.name, func(p *Peer) { p.Loading = loading }) }

func (m *member) Drain(context.Context) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unavailable[m.name] = true
	m.peakUnavailable = max(m.peakUnavailable, len(m.unavailable))
	m.propagate(m.name, func(p *Peer) { p.Ready = false })
	return nil
}

func (m *member) Resume() {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.unavailable, m.name)
	m.serving = true
	m.propagate(m.name, func(p *Peer) { p.Ready = true })
}

var errLoading = errors.New("engine is loading")

func (m *member) CurrentState(context.Context) (config.Desired, error) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if time.Now().Before(m.loadingUntil) {
		return config.Desired{}, errLoading
	}
	return m.running, nil
}

func (m *member) Order(_ context.Context, o Order) error {
	m.lock.Lock()
	defer m.lock.Unlock()
	if o.FencingToken < m.highestFence {
		return ErrFenced
	}
	m.highestFence, m.running, m.loadingUntil = o.FencingToken, o.Desired, time.Now().Add(30*time.Second)
	m.fences = append(m.fences, o.FencingToken)
	return nil
}

func (m *member) reconciler(source Source) *Reconciler {
	ctx := kernel.NewContext(m.name, slog.New(slog.NewTextHandler(io.Discard, nil)))
	return NewReconciler(m.name, DefaultOptions, m, m, source, ctx, journal.New(0))
}

// No more members than the share may be out of service at once, although views are delayed, and every engine
// must reach the desired state. A pool in which no engine serves yet must load as well.
func TestLoadsStayWithinUnavailableShare(t *testing.T) {
	for _, n := range []int{1, 3, 20} {
		for _, serving := range []bool{true, false} {
			// With a slot shorter than a load, only the announcements enforce the limit.
			for _, slot := range []time.Duration{DefaultOptions.SlotLength, 2 * time.Second} {
				for round := range 5 {
					t.Run(fmt.Sprint(n, serving, slot, round), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) { runRollout(t, n, serving, slot) })
					})
				}
			}
		}
	}
}

func runRollout(t *testing.T, n int, serving bool, slot time.Duration) {
	is := is.New(t)
	p := newPool(n, 0.1, serving)
	ctx, cancel := context.WithCancel(t.Context())
	var members []*member
	for _, name := range p.names {
		m := &member{pool: p, name: name, serving: serving}
		members = append(members, m)
		r := m.reconciler(p)
		r.options.SlotLength = slot
		go r.Run(ctx)
	}
	time.Sleep(2 * time.Hour)
	cancel()
	time.Sleep(time.Minute)
	synctest.Wait()
	is.True(p.peakUnavailable <= maxUnavailable(0.1, n))
	for _, m := range members {
		running, err := m.CurrentState(t.Context())
		is.NoErr(err)
		is.Equal(running, p.object.Desired)
		is.Equal(len(m.fences), 1) // One load per engine and revision.
	}
}

// fakeSource is a Source with a replaced ReadLatest.
type fakeSource struct {
	*pool
	readLatest func(context.Context) (config.Pool, time.Time, error)
}

func (s fakeSource) ReadLatest(ctx context.Context) (config.Pool, time.Time, error) {
	return s.readLatest(ctx)
}

// Guards against orders from an outdated read: a sidecar that was paused between its read of the log and the
// order must read again, and must never send an order with a lower fencing token than an earlier one.
func TestPausedSidecarReadsLogAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool(1, 1, true)
		m := &member{pool: p, name: p.names[0]}
		paused := false
		r := m.reconciler(fakeSource{p, func(ctx context.Context) (config.Pool, time.Time, error) {
			object, at, err := p.ReadLatest(ctx)
			if !paused {
				paused = true
				time.Sleep(time.Hour) // The process is paused while the configuration changes.
				p.object.Revision = 9
			}
			return object, at, err
		}})
		order, err := r.sendOrder(t.Context())
		is.NoErr(err)
		is.Equal(order.FencingToken, uint64(9))
		p.object.Revision = 8
		_, err = r.sendOrder(t.Context())
		is.Equal(err, ErrFenced)
		is.Equal(m.fences, []uint64{9})
	})
}

// Without the log no order may be sent, and the engine must stay in service.
func TestNoOrderWithoutLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool(1, 1, true)
		m := &member{pool: p, name: p.names[0]}
		down := errors.New("log is down")
		r := m.reconciler(fakeSource{p, func(context.Context) (config.Pool, time.Time, error) {
			return config.Pool{}, time.Time{}, down
		}})
		r.options.SlotLength = time.Nanosecond
		is.Equal(r.reconcile(t.Context()), down)
		is.Equal(len(m.fences), 0)
		is.Equal(p.peakUnavailable, 0)
	})
}
