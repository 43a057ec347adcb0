package sidecar

import (
	"context"
	"errors"

	"jacinthfork.example/jacinthfork/config"
	"jacinthfork.example/jacinthfork/dialect"
	"jacinthfork.example/jacinthfork/order"
)

// newOrderReconciler returns the order.Reconciler that reconciles the engine with the desired state in the
// pool's record.
func (s *Sidecar) newOrderReconciler() *order.Reconciler {
	source := &order.LogSource{
		Log: s.log, Store: s.store, Pool: s.settings.Pool, MaxSchema: uint32(s.settings.MaxPoolSchema),
	}
	return order.NewReconciler(s.settings.Instance, order.DefaultOptions, orderEngine{s.dialect}, orderMember{s}, source, s.kernel, s.journal)
}

// orderEngine implements order.Engine on top of the dialect.
type orderEngine struct{ dialect dialect.Dialect }

// CurrentState implements order.Engine.
func (e orderEngine) CurrentState(ctx context.Context) (config.Desired, error) {
	current, err := e.dialect.CurrentOrder(ctx)
	if err != nil {
		return config.Desired{}, err
	}
	return config.Desired{
		Model: current.Model, Adapter: current.Adapter, Version: current.Version, Role: config.Role(current.Role),
	}, nil
}

// Order implements order.Engine.
func (e orderEngine) Order(ctx context.Context, o order.Order) error {
	err := e.dialect.SubmitOrder(ctx, dialect.Order{
		FencingToken: o.FencingToken, Model: o.Desired.Model, Adapter: o.Desired.Adapter,
		Version: o.Desired.Version, Role: string(o.Desired.Role),
	})
	if errors.Is(err, dialect.ErrStaleOrder) {
		return order.ErrFenced
	}
	return err
}

// orderMember implements order.LocalMember: it takes the engine out of service for an order and puts it back.
type orderMember struct{ sidecar *Sidecar }

// Peers implements order.LocalMember.
func (o orderMember) Peers() []order.Peer {
	peers := o.sidecar.pool.Peers()
	out := make([]order.Peer, len(peers))
	for i, p := range peers {
		out[i] = order.Peer{Instance: p.Instance, Ready: p.Ready, Loading: p.Loading}
	}
	return out
}

// Serving implements order.LocalMember.
func (o orderMember) Serving() bool { return o.sidecar.admission.Load().Ready }

// Announce implements order.LocalMember.
func (o orderMember) Announce(loading bool) { o.sidecar.pool.SetLoading(loading) }

// Drain implements order.LocalMember.
func (o orderMember) Drain(ctx context.Context) error {
	o.sidecar.admission.Suspend()
	o.sidecar.pool.SetState(false, o.sidecar.leaving.Load())
	for o.sidecar.admission.Load().InFlight > 0 {
		if !sleep(ctx, drainPollInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// Resume implements order.LocalMember.
func (o orderMember) Resume() {
	if !o.sidecar.engineAlive() {
		return // awaitRecovery marks the engine as ready when it has recovered.
	}
	o.sidecar.prefixes.reset()
	o.sidecar.admission.Resume()
	o.sidecar.pool.SetState(true, o.sidecar.leaving.Load())
}
