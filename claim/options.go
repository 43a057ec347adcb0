package claim

import (
	"errors"
	"fmt"
	"time"

	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/kernel/journal"
	"jacinthfork.example/jacinthfork/services"
)

// Liveness is the known state of the holder of a claim.
type Liveness uint8

// The zero value is LivenessUnknown, so requests wait for a holder of unknown state.
const (
	// LivenessUnknown means that the state is unknown and the holder may be running.
	LivenessUnknown Liveness = iota
	// LivenessAlive means that the instance is running with the incarnation of the claim.
	LivenessAlive
	// LivenessEnded means that the instance or its incarnation has ended. A wrong LivenessEnded only changes the
	// verdict to unknown; it never allows a second execution.
	LivenessEnded
)

// Default values of Layout. A small number of partitions lets many actions share an append.
const (
	DefaultPartitions = 8
	DefaultBucket     = 10 * time.Minute
)

// Default values of Options.
const (
	DefaultMaxMemory         = 64 << 20
	DefaultMaxResponseBytes  = 64 << 10
	DefaultMaxRecordBytes    = 256 << 10
	DefaultMaxConcurrentRuns = 8192
	DefaultMaxPending        = 4096
	DefaultMaxPendingBytes   = 16 << 20
	DefaultAppendTimeout     = 2 * time.Second
	DefaultRetryInterval     = 200 * time.Millisecond
	DefaultPollWait          = time.Second
	DefaultOutcomeDelay      = 20 * time.Millisecond
)

const (
	// maxBatchEntries limits the work of a reader for one record.
	maxBatchEntries = 512
	// readLimit is the maximum number of records requested in one read.
	readLimit = 1000
)

// Options configure an Executor. A zero duration or size is replaced by its default, if it has one.
type Options struct {
	Log services.Log
	// Pool is part of the scope of each key and of the stream names.
	Pool string
	// Instance and Incarnation identify the holder. An incarnation is never reused.
	Instance    string
	Incarnation uint64

	// Window and Skew define the accepted range of key times: [now - Window, now + Skew].
	Window, Skew time.Duration
	// ClockError is the maximum difference between any two clocks of the sidecars and the log service.
	ClockError time.Duration
	// Retention is the time after which the log may delete a record.
	Retention time.Duration

	// Partitions and Bucket determine the stream of a key. All sidecars of a pool must use the
	// same values. A sidecar with other values rejects every action until the last layout record
	// with the earlier values has expired from the log.
	Partitions int
	Bucket     time.Duration

	// MaxMemory limits the bytes of the streams in memory.
	MaxMemory int64
	// MaxResponseBytes is the maximum size in bytes of a response body that is recorded for replay.
	MaxResponseBytes int
	// MaxRecordBytes is the maximum size in bytes of a record that the log accepts.
	MaxRecordBytes int
	// MaxConcurrentRuns limits the concurrent calls of Run, including those that wait.
	MaxConcurrentRuns int
	// MaxPending limits the number of claims, outcomes and releases that wait for the log.
	MaxPending int
	// MaxPendingBytes limits the total size of response bodies that wait for the log. An outcome
	// over the limit is recorded without its response.
	MaxPendingBytes int64

	// AppendTimeout is the timeout of one append and of one read without long polling.
	AppendTimeout time.Duration
	// RetryInterval is the pause after a failed append or read.
	RetryInterval time.Duration
	// PollWait is the wait time of one long poll while a request waits for another holder.
	PollWait time.Duration
	// OutcomeDelay is how long an outcome waits for a claim that can share its append. A negative
	// value disables the delay. No request waits for it.
	OutcomeDelay time.Duration
	// AppendInterval is the minimum time between two appends to one stream; 0 means no limit.
	AppendInterval time.Duration

	// HolderLiveness reports whether a holder in this pool is still running. Nil means always LivenessUnknown.
	HolderLiveness func(instance string, incarnation uint64) Liveness
	// Now is the sidecar's clock. Nil means time.Now.
	Now func() time.Time
	// Counters and Journal are optional.
	Counters *kernel.Counters
	Journal  *journal.Journal
}

func (o *Options) setDefaults() {
	setDefault(&o.MaxMemory, DefaultMaxMemory)
	setDefault(&o.MaxResponseBytes, DefaultMaxResponseBytes)
	setDefault(&o.MaxRecordBytes, DefaultMaxRecordBytes)
	setDefault(&o.MaxConcurrentRuns, DefaultMaxConcurrentRuns)
	setDefault(&o.MaxPending, DefaultMaxPending)
	setDefault(&o.MaxPendingBytes, DefaultMaxPendingBytes)
	setDefault(&o.AppendTimeout, DefaultAppendTimeout)
	setDefault(&o.RetryInterval, DefaultRetryInterval)
	setDefault(&o.PollWait, DefaultPollWait)
	setDefault(&o.OutcomeDelay, DefaultOutcomeDelay)
	if o.HolderLiveness == nil {
		o.HolderLiveness = func(string, uint64) Liveness { return LivenessUnknown }
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Counters == nil {
		o.Counters = kernel.NewCounters()
	}
}

func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}

// validate returns all invalid options as one joined error.
func (o *Options) validate() error {
	var errs []error
	check := func(ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf("claim: "+format, args...))
		}
	}
	check(o.Log != nil, "Log is missing")
	check(o.Pool != "", "Pool is empty")
	check(o.Instance != "", "Instance is empty")
	check(o.Partitions > 0, "Partitions is %d, must be at least 1", o.Partitions)
	check(o.Bucket >= time.Second, "Bucket is %v, must be at least 1s", o.Bucket)
	check(o.Window > 0, "Window is %v, must be above 0", o.Window)
	check(o.Skew >= 0, "Skew is %v, must not be negative", o.Skew)
	check(o.ClockError >= 0, "ClockError is %v, must not be negative", o.ClockError)
	check(o.Window+o.Skew+o.ClockError < o.Retention,
		"Window %v + Skew %v + ClockError %v must be less than Retention %v, or a key would be accepted after its record expired",
		o.Window, o.Skew, o.ClockError, o.Retention)
	check(o.MaxMemory > 0, "MaxMemory is %d, must be above 0", o.MaxMemory)
	// The other half of a record is for headers and framing, see run.outcomeRecord.
	check(o.MaxResponseBytes >= 0 && o.MaxResponseBytes <= o.MaxRecordBytes/2,
		"MaxResponseBytes is %d, must be from 0 to half of MaxRecordBytes %d", o.MaxResponseBytes, o.MaxRecordBytes)
	check(o.MaxConcurrentRuns > 0, "MaxConcurrentRuns is %d, must be above 0", o.MaxConcurrentRuns)
	check(o.MaxPending > 0, "MaxPending is %d, must be above 0", o.MaxPending)
	check(o.MaxPendingBytes > 0, "MaxPendingBytes is %d, must be above 0", o.MaxPendingBytes)
	check(o.AppendTimeout > 0, "AppendTimeout is %v, must be above 0", o.AppendTimeout)
	check(o.RetryInterval > 0, "RetryInterval is %v, must be above 0", o.RetryInterval)
	check(o.PollWait > 0, "PollWait is %v, must be above 0", o.PollWait)
	return errors.Join(errs...)
}
