// Package services defines what the system needs from the platform: an append-only log service and
// a list of instances. Adapters in plugin/log and plugin/instances implement the interfaces;
// stand-ins for tests live in standin.
package services

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Record is one record of a log stream.
type Record struct {
	// Offset is the position in the stream; the first record of a stream has offset 0.
	Offset uint64
	// Time is the append time by the log service's clock.
	Time time.Time
	// Payload is the record as appended.
	Payload []byte
}

// Page is the result of one read.
type Page struct {
	Records []Record
	// Earliest is the lowest offset still kept. Above 0, older records have expired.
	Earliest uint64
	// Next is the offset that the next appended record will get.
	Next uint64
}

// Log is the platform's append-only log service. Streams are created by the first append.
// Implementations are safe for concurrent use.
type Log interface {
	// Append adds one record and returns its offset. A failure is an *AppendError, which says
	// whether the record may have been stored.
	Append(ctx context.Context, stream string, payload []byte) (uint64, error)
	// Read returns records with offsets at or after from, at most limit of them. When there are
	// none it waits up to wait for the first. A stream that does not exist reads as empty.
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Page, error)
}

// AppendError is the error of a failed append.
type AppendError struct {
	// MayBeStored is false only when the record is proven not to be stored, now or later.
	MayBeStored bool
	Err         error
}

// Error implements the error interface.
func (e *AppendError) Error() string {
	if e.MayBeStored {
		return fmt.Sprintf("append outcome unknown: %v", e.Err)
	}
	return fmt.Sprintf("append refused: %v", e.Err)
}

// Unwrap returns the wrapped error.
func (e *AppendError) Unwrap() error { return e.Err }

// MayBeStored reports whether the record of a failed append may be stored, now or later. An error
// of another type counts as stored, which is the safe side.
func MayBeStored(err error) bool {
	var e *AppendError
	if errors.As(err, &e) {
		return e.MayBeStored
	}
	return err != nil
}

// Role is what an instance does.
type Role string

// Roles.
const (
	RoleRouter  Role = "router"
	RoleSidecar Role = "sidecar"
)

// Instance is one entry of the platform's instance list.
type Instance struct {
	// ID names the instance. A replacement has another ID.
	ID   string `json:"id"`
	Role Role   `json:"role"`
	// Pool is the pool that the backend server of a sidecar belongs to.
	Pool string `json:"pool,omitempty"`
	// Address is the host:port of the instance's own gRPC server, by IP number. Empty for routers.
	Address string `json:"address,omitempty"`
	// OperatorAddress is the host:port of /healthz, /readyz and /debug.
	OperatorAddress string `json:"operator_address,omitempty"`
	FailureDomain   string `json:"failure_domain"`
	Region          string `json:"region"`
	// Leaving is set from the moment that the departure is known to the platform.
	Leaving bool `json:"leaving,omitempty"`
}

// InstanceList is the platform's list of live and leaving instances. It lags behind the truth.
type InstanceList interface {
	// List returns all instances. An error leaves the caller with its previous list.
	List(ctx context.Context) ([]Instance, error)
}
