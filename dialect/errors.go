package dialect

import (
	"context"
	"errors"
	"net"
	"syscall"

	"jacinthfork.example/jacinthfork/verdict"
)

// Errors of ReadLoad, SubmitOrder and CurrentOrder.
var (
	ErrNoLoadReport      = errors.New("backend server does not report its load")
	ErrOrdersUnsupported = errors.New("backend server does not support orders")
	ErrOrderInProgress   = errors.New("engine is applying an order")
	// ErrStaleOrder means that the engine has already seen a higher fencing number.
	ErrStaleOrder = errors.New("engine rejected an outdated fencing number")
)

// DispatchError classifies the error of an HTTP round trip. Only a failed dial proves that the request was
// not sent; after any other error it may have run.
func DispatchError(ctx context.Context, err error) error {
	if isDialError(err) {
		return verdict.Wrap(verdict.NotRun, verdict.ReasonUnreachable, err)
	}
	return StreamError(ctx, err)
}

// StreamError classifies an error that occurred after the request was sent. Its verdict is Unknown.
func StreamError(ctx context.Context, err error) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.Wrap(verdict.Unknown, verdict.ReasonDeadline, err)
	}
	if ctx.Err() != nil {
		return verdict.Wrap(verdict.Unknown, verdict.ReasonCancelled, err)
	}
	return verdict.Wrap(verdict.Unknown, verdict.ReasonConnectionBroken, err)
}

func isDialError(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
