package sidecar

import (
	"errors"
	"time"

	"jacinthfork.example/jacinthfork/claim"
	"jacinthfork.example/jacinthfork/kernel/settings"
	"jacinthfork.example/jacinthfork/suspect"
)

// Settings is the content of a sidecar's settings file.
type Settings struct {
	// Instance is the ID of the backend server instance in the platform's instance list.
	Instance      string `toml:"instance" required:"true"`
	Pool          string `toml:"pool" required:"true"`
	Region        string `toml:"region" required:"true"`
	FailureDomain string `toml:"failure_domain" required:"true"`
	LogLevel      string `toml:"log_level"`
	// Listen is the gRPC address for routers and other sidecars.
	Listen settings.Address `toml:"listen" required:"true"`
	// OperatorListen is the address of /healthz, /readyz and /debug.
	OperatorListen settings.Address `toml:"operator_listen" required:"true"`
	// MaxPoolSchema is the highest schema version of pool records that this sidecar applies.
	MaxPoolSchema int `toml:"max_pool_schema" min:"1" max:"2"`

	Dialect   settings.Table `toml:"dialect" required:"true"`
	Log       settings.Table `toml:"log" required:"true"`
	Instances settings.Table `toml:"instances" required:"true"`

	// ListInterval is the interval between reads of the instance list.
	ListInterval time.Duration `toml:"list_interval" min:"100ms" max:"1m"`

	// ExchangeInterval is the interval at which this sidecar starts an exchange of pool loads with a peer.
	ExchangeInterval time.Duration `toml:"exchange_interval" min:"50ms" max:"30s"`

	TLS       settings.TLS      `toml:"tls"`
	Suspects  suspect.Settings  `toml:"suspects"`
	Admission AdmissionSettings `toml:"admission"`
	Responses ResponseSettings  `toml:"answers"`
	Claims    ClaimSettings     `toml:"claims"`
}

// AdmissionSettings configure admission control.
type AdmissionSettings struct {
	// BoundFactor is the highest load of an engine, as a multiple of the pool's mean load. A pool record
	// overrides it.
	BoundFactor float64 `toml:"bound_factor" min:"1" max:"10"`
	// OneRequestTokens is the load up to which requests are admitted regardless of the pool's mean load.
	OneRequestTokens int `toml:"one_request_tokens" min:"0" max:"1000000000"`
	// AtMean lets an engine whose load is not above the mean admit a request that every candidate refused
	// because of the load bound. Without it such requests are shed, and loads stay closer to the mean.
	AtMean bool `toml:"at_mean"`
	// MaxRequests and MaxTokens are the capacity of the backend server, in concurrent requests and tokens.
	MaxRequests int `toml:"max_requests" min:"1" max:"100000"`
	MaxTokens   int `toml:"max_tokens" min:"1" max:"1000000000"`
	// MaxQueue is the maximum number of queued requests.
	MaxQueue int `toml:"max_queue" min:"0" max:"100000"`
}

// ResponseSettings bound the recorded responses and the time that a run may take.
type ResponseSettings struct {
	// MaxBytes is the memory limit of one response.
	MaxBytes int `toml:"max_bytes" min:"4096" max:"268435456"`
	// KeepBytes is the memory limit of all finished responses together.
	KeepBytes int `toml:"keep_bytes" min:"0" max:"1073741824"`
	// KeepFor is how long a finished response is kept for repeats of its request ID.
	KeepFor time.Duration `toml:"keep_for" min:"0s" max:"1h"`
	// Grace is how long a run continues after its last reader has disconnected.
	Grace time.Duration `toml:"grace" min:"0s" max:"5m"`
	// ActionTimeout bounds the run time of a non-idempotent action after dispatch.
	ActionTimeout time.Duration `toml:"action_timeout" min:"100ms" max:"1h"`
}

// ClaimSettings configure at-most-once execution. Window, Skew, ClockError, Retention, Partitions and Bucket
// must have the same values on all sidecars of a pool.
type ClaimSettings struct {
	// Window and Skew define the accepted range of key times: [now - Window, now + Skew].
	Window time.Duration `toml:"window" min:"1s" max:"720h"`
	Skew   time.Duration `toml:"skew" min:"0s" max:"1h"`
	// ClockError is the maximum difference between any two clocks of the sidecars and the log service.
	ClockError time.Duration `toml:"clock_error" min:"0s" max:"1h"`
	// Retention is the retention time of the platform's log.
	Retention time.Duration `toml:"retention" min:"1s" max:"8760h"`
	// Partitions and Bucket determine the log stream of a key, from its hash and its time.
	Partitions int           `toml:"partitions" min:"1" max:"65536"`
	Bucket     time.Duration `toml:"bucket" min:"1s" max:"24h"`
	// MaxMemoryBytes is the maximum size in bytes of the claim streams in memory.
	MaxMemoryBytes int `toml:"max_memory" min:"65536" max:"1073741824"`
	// Timeout bounds the wait for a claim, or for the sidecar that holds it. Without it, a log that does not
	// respond would block the caller until its deadline, although the sidecar can answer not-run as soon as
	// it gives up the claim.
	Timeout time.Duration `toml:"timeout" min:"100ms" max:"10m"`
	// MaxResponseBytes is the maximum size in bytes of a response body that is recorded for replay.
	MaxResponseBytes int `toml:"max_answer" min:"0" max:"1048576"`
}

// Validate implements settings.Validator. Retention must exceed the time during which a key is accepted, so that a
// claim does not expire from the log while its key can still be used.
func (c *ClaimSettings) Validate() []error {
	if c.Window+c.Skew+2*c.ClockError >= c.Retention {
		return []error{errors.New("window + skew + 2 x clock_error must be below retention")}
	}
	return nil
}

// DefaultSettings returns the defaults of the optional settings.
func DefaultSettings() Settings {
	return Settings{
		LogLevel:      "info",
		MaxPoolSchema: 2,
		ListInterval:  time.Second,

		ExchangeInterval: 1500 * time.Millisecond,

		Suspects:  suspect.DefaultSettings(),
		Admission: AdmissionSettings{BoundFactor: 1.25, AtMean: true, MaxRequests: 256, MaxTokens: 1 << 20, MaxQueue: 64},
		Responses: ResponseSettings{
			MaxBytes: 8 << 20, KeepBytes: 64 << 20, KeepFor: time.Minute,
			Grace: 10 * time.Second, ActionTimeout: time.Minute,
		},
		Claims: ClaimSettings{
			Window: 24 * time.Hour, Skew: 2 * time.Minute, ClockError: 30 * time.Second,
			Retention: 72 * time.Hour, Partitions: claim.DefaultPartitions, Bucket: claim.DefaultBucket,
			MaxMemoryBytes: 64 << 20, MaxResponseBytes: 64 << 10, Timeout: 5 * time.Second,
		},
	}
}
