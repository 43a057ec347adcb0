package wire

import (
	"fmt"
	"time"

	"jacinthfork.example/jacinthfork/verdict"
)

// FromVerdict converts v to its wire enum value.
func FromVerdict(v verdict.Verdict) Verdict {
	switch v {
	case verdict.NotRun:
		return Verdict_NOT_RUN
	case verdict.Ran:
		return Verdict_RAN
	}
	return Verdict_UNKNOWN
}

// ToVerdict converts a wire enum value to a verdict. Values added by newer versions become Unknown.
func ToVerdict(v Verdict) verdict.Verdict {
	switch v {
	case Verdict_NOT_RUN:
		return verdict.NotRun
	case Verdict_RAN:
		return verdict.Ran
	}
	return verdict.Unknown
}

// Err converts the failure to a verdict.Error.
func (f *Failure) Err() *verdict.Error {
	e := verdict.New(ToVerdict(f.GetVerdict()), verdict.Reason(f.GetReason()), f.GetDetail())
	e.RetryAfter = time.Duration(f.GetRetryAfterMs()) * time.Millisecond
	return e
}

// FormatAttemptID formats the attempt ID as sent to backend servers in X-Request-Id.
func FormatAttemptID(id *AttemptID) string {
	return fmt.Sprintf("%s-%d-%d", id.GetRouter(), id.GetRouterIncarnation(), id.GetSequence())
}

// Equal reports whether id and other identify the same attempt.
func (id *AttemptID) Equal(other *AttemptID) bool {
	return id.GetRouter() == other.GetRouter() &&
		id.GetRouterIncarnation() == other.GetRouterIncarnation() &&
		id.GetSequence() == other.GetSequence()
}
