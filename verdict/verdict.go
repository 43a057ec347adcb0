// Package verdict defines errors that state whether a request may have been executed. Every error on the
// request path is or wraps an *Error, so that retries and responses to clients are decided from one type.
package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Verdict states whether a request may have been executed by its backend server.
type Verdict uint8

// The zero value is Unknown, so an unset verdict is the safe one: it proves nothing.
const (
	// Unknown means that the request may have run.
	Unknown Verdict = iota
	// NotRun means that the request did not run and will never run.
	NotRun
	// Ran means that the request ran.
	Ran
)

// String returns the value used in the Jacinthfork-Verdict header.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "unknown"
	}
}

// Parse parses the result of String. Any other text is an error.
func Parse(text string) (Verdict, error) {
	for _, v := range []Verdict{Unknown, NotRun, Ran} {
		if text == v.String() {
			return v, nil
		}
	}
	return Unknown, fmt.Errorf("verdict %q is not ran, not-run or unknown", text)
}

// Reason is a machine-readable error code, used in problem documents and counters.
type Reason string

// Reasons. Their values are stable, because clients and dashboards match on them. Package claim
// explains actions and their keys.
const (
	ReasonBadRequest          Reason = "bad-request"          // the request is malformed
	ReasonTooLarge            Reason = "too-large"            // the body, response or record exceeds a size limit
	ReasonHeaderTooLarge      Reason = "header-too-large"     // the header fields exceed the size limit
	ReasonUnknownPool         Reason = "unknown-pool"         // the pool, model or route does not exist
	ReasonMissingOrganisation Reason = "missing-organisation" // the request names no organisation
	ReasonUnauthorised        Reason = "unauthorised"         // the caller's key is unknown or not permitted
	ReasonNoCandidate         Reason = "no-candidate"         // the pool has no instance to try
	ReasonOverBound           Reason = "over-bound"           // the request would exceed the load bound
	ReasonOverCapacity        Reason = "over-capacity"        // the instance has no capacity left
	ReasonOverShare           Reason = "over-share"           // the queue is full and the organisation is over its share
	ReasonOrganisationLimit   Reason = "organisation-limit"   // the limit of the organisation is reached
	ReasonLeaving             Reason = "leaving"              // the instance is shutting down
	ReasonNotReady            Reason = "not-ready"            // the instance or its engine cannot take work now
	ReasonDeadline            Reason = "deadline"             // the deadline passed
	ReasonCancelled           Reason = "cancelled"            // the caller cancelled the request
	ReasonRetryBudget         Reason = "retry-budget"         // the retry budget of the pool is exhausted
	ReasonUnreachable         Reason = "unreachable"          // no connection could be opened
	ReasonConnectionBroken    Reason = "connection-broken"    // the connection broke during the request
	ReasonIncarnationChanged  Reason = "incarnation-changed"  // the instance restarted, or another one has its address
	ReasonForeignChunk        Reason = "foreign-chunk"        // the response is not proven to be of this request
	ReasonTruncated           Reason = "truncated"            // the response is incomplete
	ReasonEngineCrash         Reason = "engine-crash"         // the engine crashed during the request
	ReasonEngineError         Reason = "engine-error"         // the backend server returned an error
	ReasonCrashSuspect        Reason = "crash-suspect"        // may have crashed an engine; see package suspect
	ReasonCrashRefused        Reason = "crash-refused"        // has crashed engines; see package suspect
	ReasonIsolation           Reason = "isolation"            // a request has to run alone on the engine
	ReasonNotATarget          Reason = "not-a-target"         // outside the exposure set; see package suspect
	ReasonKeyInvalid          Reason = "key-invalid"          // the idempotency key is not a UUIDv7
	ReasonKeyExpired          Reason = "key-expired"          // the time of the key is before the acceptance window
	ReasonKeyFromFuture       Reason = "key-from-future"      // the time of the key is too far ahead of the clock
	ReasonKeyMismatch         Reason = "key-body-mismatch"    // the key was used with another request body
	ReasonKeyInProgress       Reason = "key-in-progress"      // another request with the key is in progress
	ReasonKeyOutcomeUnknown   Reason = "key-outcome-unknown"  // it is unknown whether the action ran
	ReasonKeyAnswerNotKept    Reason = "key-answer-not-kept"  // the action ran; its response is not recorded
	ReasonKeyHistoryLost      Reason = "key-history-lost"     // records of the key may be missing or unreadable
	ReasonLogUnavailable      Reason = "log-unavailable"      // the log could not be read or written
	ReasonInternal            Reason = "internal"             // an error without a reason, or a fault of this process
)

// Error is an error with a verdict. RetryAfter is zero if the client gets no advice when to retry.
type Error struct {
	Verdict    Verdict
	Reason     Reason
	Detail     string
	RetryAfter time.Duration
	Err        error
}

// New returns an error with the given verdict and reason.
func New(v Verdict, reason Reason, detail string) *Error {
	return &Error{Verdict: v, Reason: reason, Detail: detail}
}

// Wrap returns an error with the given verdict and reason that wraps err.
func Wrap(v Verdict, reason Reason, err error) *Error {
	return &Error{Verdict: v, Reason: reason, Detail: err.Error(), Err: err}
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Reason, e.Verdict, e.Detail)
}

// Unwrap returns the wrapped error or nil.
func (e *Error) Unwrap() error { return e.Err }

// Of returns the verdict of err: Unknown for an error without a verdict, Ran for nil.
func Of(err error) Verdict {
	if err == nil {
		return Ran
	}
	return As(err).Verdict
}

// As returns the first *Error in the chain of err. An error without one is wrapped in an Error with verdict
// Unknown and ReasonInternal. As(nil) returns nil.
func As(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(Unknown, ReasonInternal, err)
}
