// Package services defines the interfaces to the services that the system uses: an append-only log service
// and a list of instances. Adapters in plugin/log and plugin/instances implement the interfaces. The test
// doubles of the services themselves are in standin.
package services

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Record is one record of a log stream.
type Record struct {
	// Offset is the position in the stream. The first record of a stream has offset 0.
	Offset uint64
	// Time is the append time by the clock of the log service.
	Time time.Time
	// Payload contains the bytes that were appended.
	Payload []byte
}

// Page is the result of one read.
type Page struct {
	Records []Record
	// Earliest is the lowest offset that is still available. If it is above 0, older records have expired.
	Earliest uint64
	// Next is the offset that the next appended record will have.
	Next uint64
}

// Log is an append-only log service. The first append to a stream creates it. Implementations must be safe
// for concurrent use.
type Log interface {
	// Append appends one record and returns its offset. Errors are of type *AppendError, which says whether
	// the record may have been stored.
	Append(ctx context.Context, stream string, payload []byte) (uint64, error)
	// Read returns up to limit records with offsets at or above from. If there are none, it waits up to wait
	// for the first one. Reading a stream that does not exist returns no records.
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Page, error)
}

// AppendError is the error of a failed append.
type AppendError struct {
	// MayBeStored is false only if it is certain that the record is not stored and will not be stored later.
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

// MayBeStored reports whether the record of a failed append may be stored, now or later. Any error that is
// not an *AppendError counts as possibly stored, which is the safe assumption.
func MayBeStored(err error) bool {
	var e *AppendError
	if errors.As(err, &e) {
		return e.MayBeStored
	}
	return err != nil
}

// Role is the function of an instance in the fleet.
type Role string

// Roles of instances.
const (
	RoleRouter  Role = "router"
	RoleSidecar Role = "sidecar"
)

// Instance is one entry of the list of instances.
type Instance struct {
	// ID identifies the instance. A replacement has a different ID.
	ID   string `json:"id"`
	Role Role   `json:"role"`
	// Pool is the pool of the backend server of a sidecar.
	Pool string `json:"pool,omitempty"`
	// Address is the host:port of the gRPC server of the instance, with an IP address as host. It is empty
	// for routers.
	Address string `json:"address,omitempty"`
	// OperatorAddress is the host:port that serves /healthz, /readyz and /debug.
	OperatorAddress string `json:"operator_address,omitempty"`
	FailureDomain   string `json:"failure_domain"`
	Region          string `json:"region"`
	// Leaving is set as soon as the departure of the instance is known.
	Leaving bool `json:"leaving,omitempty"`
}

// InstanceList provides the list of live and leaving instances, which may be out of date.
type InstanceList interface {
	// List returns all instances. If it returns an error, the caller keeps using the previous list.
	List(ctx context.Context) ([]Instance, error)
}
