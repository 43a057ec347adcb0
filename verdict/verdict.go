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

// Reasons. Their values are stable, because clients and dashboards match on them.
const (
	ReasonBadRequest       Reason = "bad-request"
	ReasonTooLarge         Reason = "too-large"
	ReasonHeaderTooLarge   Reason = "header-too-large"
	ReasonUnknownPool      Reason = "unknown-pool"
	ReasonNoOrganisation   Reason = "missing-organisation"
	ReasonUnauthorised     Reason = "unauthorised"
	ReasonNoCandidate      Reason = "no-candidate"
	ReasonOverBound        Reason = "over-bound"
	ReasonOverCapacity     Reason = "over-capacity"
	ReasonOverShare        Reason = "over-share"
	ReasonOrganisationRate Reason = "organisation-limit"
	ReasonLeaving          Reason = "leaving"
	ReasonNotReady         Reason = "not-ready"
	ReasonDeadline         Reason = "deadline"
	ReasonCancelled        Reason = "cancelled"
	ReasonRetryBudget      Reason = "retry-budget"
	ReasonUnreachable      Reason = "unreachable"
	ReasonBroken           Reason = "connection-broken"
	ReasonIncarnation      Reason = "incarnation-changed"
	ReasonForeignChunk     Reason = "foreign-chunk"
	ReasonTruncated        Reason = "truncated"
	ReasonEngineCrash      Reason = "engine-crash"
	ReasonEngineError      Reason = "engine-error"
	ReasonCrashSuspect     Reason = "crash-suspect"
	ReasonCrashRefused     Reason = "crash-refused"
	ReasonIsolation        Reason = "isolation"
	ReasonNotTarget        Reason = "not-a-target"
	ReasonKeyInvalid       Reason = "key-invalid"
	ReasonKeyExpired       Reason = "key-expired"
	ReasonKeyFuture        Reason = "key-from-future"
	ReasonKeyMismatch      Reason = "key-body-mismatch"
	ReasonKeyInProgress    Reason = "key-in-progress"
	ReasonKeyOutcomeLost   Reason = "key-outcome-unknown"
	ReasonKeyAnswerGone    Reason = "key-answer-not-kept"
	ReasonKeyHistoryLost   Reason = "key-history-lost"
	ReasonLogUnavailable   Reason = "log-unavailable"
	ReasonInternal         Reason = "internal"
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
