// Package order reconciles the engine of a sidecar with the state that the configuration wants, without a
// central controller.
//
// An order carries a fencing token, the revision of the pool object that it follows from. A sidecar sends an
// order only after it has read the log to its end, so that a sidecar that was paused does not act on outdated
// knowledge. Engines that check the token reject an older one themselves. For the others, maxReadAge bounds
// the window between that read and the order, and each sidecar keeps comparing its engine with the desired
// state, so that the effect of an older order is corrected.
//
// Model loads are spread over time without a lock: by rank and time slot, and by an announcement to the pool.
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

// Order is a command that tells an engine what to run.
type Order struct {
	// FencingToken is the fencing token: the revision that the order follows from. It only increases.
	FencingToken uint64
	Desired      config.Desired
}

// ErrFenced is returned for an order whose fencing token is lower than one that was already used.
var ErrFenced = errors.New("order has a stale fencing token")

// Engine is the backend server of this sidecar.
type Engine interface {
	// CurrentState returns what the engine runs, or an error while it is loading.
	CurrentState(ctx context.Context) (config.Desired, error)
	// Order starts a load. An engine that checks fencing tokens returns ErrFenced for an old one.
	Order(ctx context.Context, order Order) error
}

// LocalMember gives access to this sidecar's state and to the other members of its pool.
type LocalMember interface {
	// Peers returns the other members that are not leaving.
	Peers() []Peer
	// Serving reports whether this sidecar's own engine is in service.
	Serving() bool
	// Announce tells the pool that this sidecar is about to take its engine out of service, or has finished.
	Announce(loading bool)
	// Drain stops new work and returns once no request is in flight. Resume accepts work again.
	Drain(ctx context.Context) error
	Resume()
}

// Peer is another sidecar of the pool.
type Peer struct {
	Instance string
	// Ready means that its engine is in service.
	Ready bool
	// Loading means that it announced an order that has not finished.
	Loading bool
}

// Source provides the pool object.
type Source interface {
	// Cached returns the pool object known to this node, without a request.
	Cached() (config.Pool, bool)
	// ReadLatest reads the log to its end and returns the pool object and the time at which the read began.
	// After an error, for example when the log is down, no order may be sent; engines keep serving what they
	// run.
	ReadLatest(ctx context.Context) (config.Pool, time.Time, error)
}

// LogSource is a Source that reads the configuration log.
type LogSource struct {
	Log   services.Log
	Store *config.Store
	Pool  string
	// MaxSchema is the highest schema version that the settings allow.
	MaxSchema uint32
}

// Cached implements Source.
func (s *LogSource) Cached() (config.Pool, bool) { return s.Store.View().Pool(s.Pool, s.MaxSchema) }

// ReadLatest implements Source.
func (s *LogSource) ReadLatest(ctx context.Context) (config.Pool, time.Time, error) {
	readAt := time.Now()
	if err := config.CatchUp(ctx, s.Log, s.Store); err != nil {
		return config.Pool{}, readAt, err
	}
	if !s.Store.View().Complete {
		return config.Pool{}, readAt, config.ErrIncomplete
	}
	pool, ok := s.Cached()
	if !ok {
		return pool, readAt, fmt.Errorf("pool %q is not configured", s.Pool)
	}
	return pool, readAt, nil
}

// Options are the intervals and timeouts of a Reconciler.
type Options struct {
	// Interval is the mean interval between comparisons of the engine with the desired state.
	Interval time.Duration
	// PropagationTime bounds the time until a member's state change reaches the pool. An announcement takes
	// effect after twice that time.
	PropagationTime time.Duration
	// SlotLength is the expected duration of one load.
	SlotLength time.Duration
	// LoadTimeout bounds the duration of one load.
	LoadTimeout time.Duration
}

// DefaultOptions are the options that sidecars use. PropagationTime is the target for a member's state change,
// 3 s.
var DefaultOptions = Options{
	Interval:        5 * time.Second,
	PropagationTime: 3 * time.Second,
	SlotLength:      2 * time.Minute,
	LoadTimeout:     15 * time.Minute,
}

// maxReadAge bounds the time between the start of the log read and the order that relies on it. A process
// that was paused in between reads again.
const maxReadAge = time.Second

// Reconciler reconciles one engine with its desired state.
type Reconciler struct {
	instance string
	options  Options
	engine   Engine
	local    LocalMember
	source   Source
	log      *slog.Logger
	journal  *journal.Journal
	counters *kernel.Counters
	// fence is the highest fencing token used so far.
	fence uint64
}

// NewReconciler returns a Reconciler for the sidecar with the given instance.
func NewReconciler(instance string, options Options, engine Engine, local LocalMember, source Source, ctx *kernel.Context, j *journal.Journal) *Reconciler {
	return &Reconciler{
		instance: instance, options: options, engine: engine, local: local, source: source,
		log: ctx.Log, journal: j, counters: ctx.Counters,
	}
}

// Run reconciles the engine with the desired state until ctx ends. It runs in the calling goroutine.
func (r *Reconciler) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := r.reconcile(ctx); err != nil && ctx.Err() == nil {
			r.counters.Map("orders").Add("failed", 1)
			r.journal.Add(journal.KindOrder, r.instance, err.Error())
		}
		// The jitter keeps the checks from always falling into the same time slots.
		sleep(ctx, r.options.Interval/2+rand.N(r.options.Interval))
	}
}

// reconcile sends an order if the engine does not run what is desired and this sidecar's time slot is active.
func (r *Reconciler) reconcile(ctx context.Context) error {
	pool, ok := r.source.Cached()
	if !ok || pool.Desired == (config.Desired{}) {
		return nil
	}
	running, err := r.engine.CurrentState(ctx)
	if err != nil || running == pool.Desired {
		return err
	}
	if !r.slotActive(pool, time.Now()) {
		return nil
	}
	// Nothing is announced or drained while the log cannot be read. sendOrder reads the pool object again.
	if _, _, err := r.source.ReadLatest(ctx); err != nil {
		return err
	}
	r.local.Announce(true)
	defer r.local.Announce(false)
	sleep(ctx, 2*r.options.PropagationTime)
	if ctx.Err() != nil || !r.mayProceed(pool) {
		r.counters.Map("orders").Add("postponed", 1)
		return ctx.Err()
	}
	return r.execute(ctx)
}

// execute takes the engine out of service, sends the order and waits for the load. The engine returns to
// service in any case and serves whatever it runs.
func (r *Reconciler) execute(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.options.LoadTimeout)
	defer cancel()
	defer r.local.Resume()
	if err := r.local.Drain(ctx); err != nil {
		return err
	}
	order, err := r.sendOrder(ctx)
	if err != nil {
		return err
	}
	r.counters.Map("orders").Add("given", 1)
	r.log.Info("order sent to the engine", "model", order.Desired.Model, "version", order.Desired.Version, "fence", order.FencingToken)
	return r.awaitLoad(ctx, order)
}

// sendOrder reads the log to its end and sends the resulting order.
func (r *Reconciler) sendOrder(ctx context.Context) (Order, error) {
	for ctx.Err() == nil {
		pool, readAt, err := r.source.ReadLatest(ctx)
		if err != nil {
			return Order{}, err
		}
		if pool.Revision < r.fence {
			return Order{}, ErrFenced
		}
		order := Order{FencingToken: pool.Revision, Desired: pool.Desired}
		if time.Since(readAt) > maxReadAge {
			continue
		}
		r.fence = order.FencingToken
		return order, r.engine.Order(ctx, order)
	}
	return Order{}, ctx.Err()
}

func (r *Reconciler) awaitLoad(ctx context.Context, order Order) error {
	for ctx.Err() == nil {
		running, err := r.engine.CurrentState(ctx)
		if err == nil && running == order.Desired {
			r.journal.Add(journal.KindOrder, r.instance, "load finished",
				journal.Field{Name: "fence", Value: strconv.FormatUint(order.FencingToken, 10)})
			return nil
		}
		sleep(ctx, min(time.Second, r.options.Interval))
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
