package dialect

import (
	"context"
	"errors"
	"net"
	"syscall"

	"jacinthfork.example/jacinthfork/verdict"
)

// Errors of backend servers that lack a feature.
var (
	ErrNoReport = errors.New("the backend server has no load report")
	ErrNoOrders = errors.New("the backend server takes no orders")
	ErrLoading  = errors.New("the engine is carrying out an order")
	// ErrOldOrder means that the engine has seen a higher fencing number.
	ErrOldOrder = errors.New("the engine refused an old fencing number")
)

// DispatchError classifies the error of an HTTP round trip whose request body may have been sent.
// Only a failed dial proves that nothing was dispatched.
func DispatchError(ctx context.Context, err error) error {
	if isDialError(err) {
		return verdict.Wrap(verdict.NotRun, verdict.ReasonUnreachable, err)
	}
	return StreamError(ctx, err)
}

// StreamError classifies an error after the request was sent; its verdict is Unknown.
func StreamError(ctx context.Context, err error) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.Wrap(verdict.Unknown, verdict.ReasonDeadline, err)
	}
	if ctx.Err() != nil {
		return verdict.Wrap(verdict.Unknown, verdict.ReasonCancelled, err)
	}
	return verdict.Wrap(verdict.Unknown, verdict.ReasonBroken, err)
}

func isDialError(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
