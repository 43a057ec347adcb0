// Package order brings the engine of a sidecar to the state that the configuration wants, without a
// central controller.
//
// An order carries a fencing number, the revision of the pool object that wants it. A sidecar gives
// an order only after it read the log to its end, so that one which was paused does not act on what
// it knew before. Engines that check the number refuse an older one themselves; for the others the
// window between that read and the order is bounded by confirmAge, and each sidecar keeps comparing
// its engine with the desired state, so that an older order is put right.
//
// Loads are spread without a lock: by rank and time slot, and by an announcement to the pool.
package order

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"time"

	"jacinthfork.example/jacinthfork/config"
	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/kernel/journal"
	"jacinthfork.example/jacinthfork/services"
)

// Order tells an engine what to run.
type Order struct {
	// Fence is the revision of the decision. It only increases.
	Fence   uint64
	Desired config.Desired
}

// ErrFenced is returned for an order with a fencing number below one that was given before.
var ErrFenced = errors.New("order has an old fencing number")

// Engine is the backend server of this sidecar.
type Engine interface {
	// Running returns what the engine runs. An engine that is loading returns an error.
	Running(ctx context.Context) (config.Desired, error)
	// Order starts a load. An engine that checks fencing numbers returns ErrFenced for an old one.
	Order(ctx context.Context, order Order) error
}

// Slot is this sidecar's place in its pool.
type Slot interface {
	// Peers returns the other members that do not leave.
	Peers() []Peer
	// Serving says whether this sidecar's own engine serves now.
	Serving() bool
	// Announce tells the pool that this sidecar is about to take its engine out of service, or is
	// done with it.
	Announce(loading bool)
	// Drain stops new work and returns once nothing is in flight. Resume ends that.
	Drain(ctx context.Context) error
	Resume()
}

// Peer is another sidecar of the pool.
type Peer struct {
	Instance string
	// Ready means that its engine serves.
	Ready bool
	// Loading means that it announced an order that is not done.
	Loading bool
}

// Source gives the pool object.
type Source interface {
	// Current returns what the node knows, without a message.
	Current() (config.Pool, bool)
	// Confirmed returns the pool object after reading the log to its end, and when that read began.
	// An error means that no order may be given, for example because the log is down; engines keep
	// serving what they run.
	Confirmed(ctx context.Context) (config.Pool, time.Time, error)
}

// LogSource is the source of a sidecar.
type LogSource struct {
	Log   services.Log
	Store *config.Store
	Pool  string
	// MaxSchema is the highest schema version that the settings allow.
	MaxSchema uint32
}

// Current implements Source.
func (s *LogSource) Current() (config.Pool, bool) { return s.Store.View().Pool(s.Pool, s.MaxSchema) }

// Confirmed implements Source.
func (s *LogSource) Confirmed(ctx context.Context) (config.Pool, time.Time, error) {
	began := time.Now()
	if err := config.CatchUp(ctx, s.Log, s.Store); err != nil {
		return config.Pool{}, began, err
	}
	if !s.Store.View().Complete {
		return config.Pool{}, began, config.ErrIncomplete
	}
	pool, ok := s.Current()
	if !ok {
		return pool, began, fmt.Errorf("pool %q has no configuration", s.Pool)
	}
	return pool, began, nil
}

// Rules are the times of a runner.
type Rules struct {
	// Interval is how often the engine is compared with the desired state.
	Interval time.Duration
	// Spread bounds the time until the news of a member reaches the pool. An announcement is given
	// twice that time before it counts.
	Spread time.Duration
	// SlotLength is the time that one load is expected to take.
	SlotLength time.Duration
	// LoadTimeout bounds one load.
	LoadTimeout time.Duration
}

// DefaultRules use the target for news of a member, 3 s.
var DefaultRules = Rules{
	Interval:    5 * time.Second,
	Spread:      3 * time.Second,
	SlotLength:  2 * time.Minute,
	LoadTimeout: 15 * time.Minute,
}

// confirmAge is the longest time between the read of the log and the order that relies on it. A
// process that was paused in between reads again.
const confirmAge = time.Second

// Runner brings one engine to its desired state.
type Runner struct {
	instance string
	rules    Rules
	engine   Engine
	slot     Slot
	source   Source
	log      *slog.Logger
	journal  *journal.Journal
	counters *kernel.Counters
	// fence is the highest number that was used.
	fence uint64
}

// NewRunner returns a runner for the sidecar with the given instance.
func NewRunner(instance string, rules Rules, engine Engine, slot Slot, source Source, ctx *kernel.Context, j *journal.Journal) *Runner {
	return &Runner{
		instance: instance, rules: rules, engine: engine, slot: slot, source: source,
		log: ctx.Log, journal: j, counters: ctx.Counters,
	}
}

// Run compares the engine with the desired state until ctx ends. It needs one goroutine.
func (r *Runner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := r.step(ctx); err != nil && ctx.Err() == nil {
			r.counters.Map("orders").Add("failed", 1)
			r.journal.Add(journal.KindOrder, r.instance, err.Error())
		}
		// The jitter keeps the checks from always falling into the same time slots.
		sleep(ctx, r.rules.Interval/2+rand.N(r.rules.Interval))
	}
}

// step gives an order if the engine does not run what is desired and it is this sidecar's turn.
func (r *Runner) step(ctx context.Context) error {
	pool, ok := r.source.Current()
	if !ok || pool.Desired == (config.Desired{}) {
		return nil
	}
	running, err := r.engine.Running(ctx)
	if err != nil || running == pool.Desired {
		return err
	}
	if !r.turn(pool, time.Now()) {
		return nil
	}
	if _, _, err := r.source.Confirmed(ctx); err != nil {
		return err
	}
	r.slot.Announce(true)
	defer r.slot.Announce(false)
	sleep(ctx, 2*r.rules.Spread)
	if ctx.Err() != nil || !r.granted(pool) {
		r.counters.Map("orders").Add("postponed", 1)
		return ctx.Err()
	}
	return r.carryOut(ctx)
}

// carryOut takes the engine out of service, orders and waits for the load. The engine is back in
// service in any case: it serves what it runs.
func (r *Runner) carryOut(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.rules.LoadTimeout)
	defer cancel()
	defer r.slot.Resume()
	if err := r.slot.Drain(ctx); err != nil {
		return err
	}
	order, err := r.give(ctx)
	if err != nil {
		return err
	}
	r.counters.Map("orders").Add("given", 1)
	r.log.Info("order given to the engine", "model", order.Desired.Model, "version", order.Desired.Version, "fence", order.Fence)
	return r.await(ctx, order)
}

// give reads the log to its end and gives the order that follows from it.
func (r *Runner) give(ctx context.Context) (Order, error) {
	for ctx.Err() == nil {
		pool, confirmed, err := r.source.Confirmed(ctx)
		if err != nil {
			return Order{}, err
		}
		if pool.Revision < r.fence {
			return Order{}, ErrFenced
		}
		order := Order{Fence: pool.Revision, Desired: pool.Desired}
		if time.Since(confirmed) > confirmAge {
			continue
		}
		r.fence = order.Fence
		return order, r.engine.Order(ctx, order)
	}
	return Order{}, ctx.Err()
}

func (r *Runner) await(ctx context.Context, order Order) error {
	for ctx.Err() == nil {
		running, err := r.engine.Running(ctx)
		if err == nil && running == order.Desired {
			r.journal.Add(journal.KindOrder, r.instance, "load done",
				journal.Field{Name: "fence", Value: strconv.FormatUint(order.Fence, 10)})
			return nil
		}
		sleep(ctx, min(time.Second, r.rules.Interval))
	}
	return ctx.Err()
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
