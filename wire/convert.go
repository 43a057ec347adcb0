package wire

import (
	"fmt"
	"time"

	"jacinthfork.example/jacinthfork/verdict"
)

// FromVerdict returns the message form of v.
func FromVerdict(v verdict.Verdict) Verdict {
	switch v {
	case verdict.NotRun:
		return Verdict_NOT_RUN
	case verdict.Ran:
		return Verdict_RAN
	}
	return Verdict_UNKNOWN
}

// ToVerdict returns the verdict of a message. A value that this version does not know is Unknown.
func ToVerdict(v Verdict) verdict.Verdict {
	switch v {
	case Verdict_NOT_RUN:
		return verdict.NotRun
	case Verdict_RAN:
		return verdict.Ran
	}
	return verdict.Unknown
}

// Err returns the failure as an error with its verdict.
func (f *Failure) Err() *verdict.Error {
	e := verdict.New(ToVerdict(f.GetVerdict()), verdict.Reason(f.GetReason()), f.GetDetail())
	e.RetryAfter = time.Duration(f.GetRetryAfterMs()) * time.Millisecond
	return e
}

// AttemptText returns the attempt ID as text, as backend servers see it in X-Request-Id.
func AttemptText(id *AttemptID) string {
	return fmt.Sprintf("%s-%d-%d", id.GetRouter(), id.GetRouterIncarnation(), id.GetSequence())
}

// Equal reports whether two attempt IDs name the same attempt.
func (id *AttemptID) Equal(other *AttemptID) bool {
	return id.GetRouter() == other.GetRouter() &&
		id.GetRouterIncarnation() == other.GetRouterIncarnation() &&
		id.GetSequence() == other.GetSequence()
}
