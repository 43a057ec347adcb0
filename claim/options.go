package claim

import (
	"errors"
	"fmt"
	"time"

	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/kernel/journal"
	"jacinthfork.example/jacinthfork/services"
)

// Liveness says what is known about the holder of a claim.
type Liveness uint8

// The zero value is Unsure, so a holder that nobody knows about is waited for.
const (
	// Unsure means that the holder may be running.
	Unsure Liveness = iota
	// Alive means that the instance runs with the incarnation of the claim.
	Alive
	// Gone means that the instance or its incarnation has ended. A wrong Gone only changes the
	// answer to unknown; it never lets an action run again.
	Gone
)

// Defaults of a Layout. Few partitions let many actions share an append.
const (
	DefaultPartitions = 8
	DefaultBucket     = 10 * time.Minute
)

// Defaults of Options.
const (
	DefaultMaxMemory       = 64 << 20
	DefaultMaxAnswer       = 64 << 10
	DefaultMaxRecord       = 256 << 10
	DefaultMaxRuns         = 8192
	DefaultMaxPending      = 4096
	DefaultMaxPendingBytes = 16 << 20
	DefaultAppendTimeout   = 2 * time.Second
	DefaultRetryInterval   = 200 * time.Millisecond
	DefaultPollWait        = time.Second
	DefaultOutcomeDelay    = 20 * time.Millisecond
)

const (
	// maxBatchEntries bounds the work of a reader on one record.
	maxBatchEntries = 512
	// readLimit is the number of records asked for in one read.
	readLimit = 1000
)

// Options configure a Keeper. Durations and sizes that have a default use it when zero.
type Options struct {
	Log services.Log
	// Pool is part of the scope of each key and of the stream names.
	Pool string
	// Instance and Incarnation identify the holder. An incarnation is never used twice.
	Instance    string
	Incarnation uint64

	// Window and Skew bound the time of a key: [now - Window, now + Skew].
	Window, Skew time.Duration
	// ClockError is the largest difference between any two clocks of the sidecars and the log.
	ClockError time.Duration
	// Retention is how long the log keeps a record.
	Retention time.Duration

	// Partitions and Bucket determine the stream of a key. All sidecars of a pool must use the
	// same values. A sidecar with other values refuses every action until the log has dropped the
	// last record of the earlier ones.
	Partitions int
	Bucket     time.Duration

	// MaxMemory bounds the bytes of the streams kept in memory.
	MaxMemory int64
	// MaxAnswer is the largest body in bytes that is kept for repeats.
	MaxAnswer int
	// MaxRecord is the largest record in bytes that the log accepts.
	MaxRecord int
	// MaxRuns bounds the calls of Run in progress, waiting ones included.
	MaxRuns int
	// MaxPending bounds the claims, outcomes and releases that wait for the log.
	MaxPending int
	// MaxPendingBytes bounds the bodies that wait for the log. An outcome over the bound is
	// recorded without its body.
	MaxPendingBytes int64

	// AppendTimeout bounds one append and one read without a long poll.
	AppendTimeout time.Duration
	// RetryInterval is the pause after a failed append or read.
	RetryInterval time.Duration
	// PollWait is how long one long poll waits while a request waits for another holder.
	PollWait time.Duration
	// OutcomeDelay is how long an outcome waits for a claim to share its append with. Negative
	// means not at all. No caller waits for it.
	OutcomeDelay time.Duration
	// AppendInterval is the shortest time between two appends to one stream; 0 means no limit.
	AppendInterval time.Duration

	// Holder reports whether a holder of this pool still runs. Nil means Unsure.
	Holder func(instance string, incarnation uint64) Liveness
	// Now is the sidecar's clock. Nil means time.Now.
	Now func() time.Time
	// Counters and Journal are optional.
	Counters *kernel.Counters
	Journal  *journal.Journal
}

func (o *Options) setDefaults() {
	setDefault(&o.MaxMemory, DefaultMaxMemory)
	setDefault(&o.MaxAnswer, DefaultMaxAnswer)
	setDefault(&o.MaxRecord, DefaultMaxRecord)
	setDefault(&o.MaxRuns, DefaultMaxRuns)
	setDefault(&o.MaxPending, DefaultMaxPending)
	setDefault(&o.MaxPendingBytes, DefaultMaxPendingBytes)
	setDefault(&o.AppendTimeout, DefaultAppendTimeout)
	setDefault(&o.RetryInterval, DefaultRetryInterval)
	setDefault(&o.PollWait, DefaultPollWait)
	setDefault(&o.OutcomeDelay, DefaultOutcomeDelay)
	if o.Holder == nil {
		o.Holder = func(string, uint64) Liveness { return Unsure }
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Counters == nil {
		o.Counters = kernel.NewCounters()
	}
}

func setDefault[T comparable](value *T, standard T) {
	var zero T
	if *value == zero {
		*value = standard
	}
}

// validate returns all faults at once.
func (o *Options) validate() error {
	var faults []error
	check := func(ok bool, format string, args ...any) {
		if !ok {
			faults = append(faults, fmt.Errorf("claim: "+format, args...))
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
		"Window %v + Skew %v + ClockError %v must be less than Retention %v, or a key is accepted after its record expired",
		o.Window, o.Skew, o.ClockError, o.Retention)
	check(o.MaxMemory > 0, "MaxMemory is %d, must be above 0", o.MaxMemory)
	check(o.MaxAnswer >= 0 && o.MaxAnswer <= o.MaxRecord/2,
		"MaxAnswer is %d, must be from 0 to half of MaxRecord %d", o.MaxAnswer, o.MaxRecord)
	check(o.MaxRuns > 0, "MaxRuns is %d, must be above 0", o.MaxRuns)
	check(o.MaxPending > 0, "MaxPending is %d, must be above 0", o.MaxPending)
	check(o.MaxPendingBytes > 0, "MaxPendingBytes is %d, must be above 0", o.MaxPendingBytes)
	check(o.AppendTimeout > 0, "AppendTimeout is %v, must be above 0", o.AppendTimeout)
	check(o.RetryInterval > 0, "RetryInterval is %v, must be above 0", o.RetryInterval)
	check(o.PollWait > 0, "PollWait is %v, must be above 0", o.PollWait)
	return errors.Join(faults...)
}
