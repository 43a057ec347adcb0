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

// pool is a pool whose members see each other's state with a delay of up to the rules' Spread.
type pool struct {
	mu     sync.Mutex
	delay  func() time.Duration
	object config.Pool
	names  []string
	seen   map[string]map[string]Peer // by viewer and member
	down   map[string]bool
	most   int
}

func newPool(n int, share float64, serving bool) *pool {
	p := &pool{seen: map[string]map[string]Peer{}, down: map[string]bool{}}
	p.delay = func() time.Duration { return rand.N(DefaultRules.Spread) }
	p.object = config.Pool{Revision: 7, MaxLoadingShare: share, Desired: config.Desired{Model: "m", Version: "2"}}
	for i := range n {
		p.names = append(p.names, fmt.Sprint("engine-", i))
	}
	for _, viewer := range p.names {
		p.seen[viewer] = map[string]Peer{}
		for _, name := range p.names {
			p.seen[viewer][name] = Peer{name, serving, false}
		}
	}
	return p
}

// tell brings the state of one member to the others, each after its own delay.
func (p *pool) tell(name string, change func(*Peer)) {
	for _, viewer := range p.names {
		time.AfterFunc(p.delay(), func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			peer := p.seen[viewer][name]
			change(&peer)
			p.seen[viewer][name] = peer
		})
	}
}

func (p *pool) Current() (config.Pool, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.object, true
}

func (p *pool) Confirmed(context.Context) (config.Pool, time.Time, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.object, time.Now(), nil
}

// member is one sidecar with its engine. Loads take 30 s.
type member struct {
	*pool
	name    string
	serving bool

	lock    sync.Mutex
	running config.Desired
	until   time.Time
	highest uint64
	given   []uint64
}

func (m *member) Peers() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Peer
	for _, name := range m.names {
		if name != m.name {
			out = append(out, m.seen[m.name][name])
		}
	}
	return out
}

func (m *member) Serving() bool         { return m.serving }
func (m *member) Announce(loading bool) { m.tell(m.name, func(p *Peer) { p.Loading = loading }) }

func (m *member) Drain(context.Context) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down[m.name] = true
	m.most = max(m.most, len(m.down))
	m.tell(m.name, func(p *Peer) { p.Ready = false })
	return nil
}

func (m *member) Resume() {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.down, m.name)
	m.serving = true
	m.tell(m.name, func(p *Peer) { p.Ready = true })
}

var errLoading = errors.New("loading")

func (m *member) Running(context.Context) (config.Desired, error) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if time.Now().Before(m.until) {
		return config.Desired{}, errLoading
	}
	return m.running, nil
}

func (m *member) Order(_ context.Context, o Order) error {
	m.lock.Lock()
	defer m.lock.Unlock()
	if o.Fence < m.highest {
		return ErrFenced
	}
	m.highest, m.running, m.until = o.Fence, o.Desired, time.Now().Add(30*time.Second)
	m.given = append(m.given, o.Fence)
	return nil
}

func (m *member) runner(source Source) *Runner {
	ctx := kernel.NewContext(m.name, slog.New(slog.NewTextHandler(io.Discard, nil)))
	return NewRunner(m.name, DefaultRules, m, m, source, ctx, journal.New(0))
}

// Not more than the share may be out of service at once, although views are late, and every engine
// must reach the desired state. A pool in which nothing serves yet must load as well.
func TestShareOutOfService(t *testing.T) {
	for _, n := range []int{1, 3, 20} {
		for _, serving := range []bool{true, false} {
			// A slot shorter than a load leaves the promise to the announcements alone.
			for _, slot := range []time.Duration{DefaultRules.SlotLength, 2 * time.Second} {
				for round := range 5 {
					t.Run(fmt.Sprint(n, serving, slot, round), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) { load(t, n, serving, slot) })
					})
				}
			}
		}
	}
}

func load(t *testing.T, n int, serving bool, slot time.Duration) {
	is := is.New(t)
	p := newPool(n, 0.1, serving)
	ctx, cancel := context.WithCancel(t.Context())
	var members []*member
	for _, name := range p.names {
		m := &member{pool: p, name: name, serving: serving}
		members = append(members, m)
		r := m.runner(p)
		r.rules.SlotLength = slot
		go r.Run(ctx)
	}
	time.Sleep(2 * time.Hour)
	cancel()
	time.Sleep(time.Minute)
	synctest.Wait()
	is.True(p.most <= allowed(0.1, n))
	for _, m := range members {
		running, err := m.Running(t.Context())
		is.NoErr(err)
		is.Equal(running, p.object.Desired)
		is.Equal(len(m.given), 1) // One load per engine and decision.
	}
}

// source is a source whose confirmation is replaced.
type source struct {
	*pool
	confirmed func(context.Context) (config.Pool, time.Time, error)
}

func (s source) Confirmed(ctx context.Context) (config.Pool, time.Time, error) {
	return s.confirmed(ctx)
}

// A sidecar that was paused between its read of the log and the order must read again, and must never
// give an order of a decision before one that it gave.
func TestPausedSidecarReadsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool(1, 1, true)
		m := &member{pool: p, name: p.names[0]}
		paused := false
		r := m.runner(source{p, func(ctx context.Context) (config.Pool, time.Time, error) {
			object, at, err := p.Confirmed(ctx)
			if !paused {
				paused = true
				time.Sleep(time.Hour) // The process is paused; meanwhile the decision changes.
				p.object.Revision = 9
			}
			return object, at, err
		}})
		order, err := r.give(t.Context())
		is.NoErr(err)
		is.Equal(order.Fence, uint64(9))
		p.object.Revision = 8
		_, err = r.give(t.Context())
		is.Equal(err, ErrFenced)
		is.Equal(m.given, []uint64{9})
	})
}

// Without the log no order may be given, and the engine must stay in service.
func TestNoOrderWithoutTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool(1, 1, true)
		m := &member{pool: p, name: p.names[0]}
		down := errors.New("log is down")
		r := m.runner(source{p, func(context.Context) (config.Pool, time.Time, error) {
			return config.Pool{}, time.Time{}, down
		}})
		r.rules.SlotLength = time.Nanosecond
		is.Equal(r.step(t.Context()), down)
		is.Equal(len(m.given), 0)
		is.Equal(p.most, 0)
	})
}
