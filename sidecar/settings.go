package sidecar

import (
	"errors"
	"time"

	"jacinthfork.example/jacinthfork/claim"
	"jacinthfork.example/jacinthfork/kernel/settings"
	"jacinthfork.example/jacinthfork/suspect"
)

// Settings are the settings file of a sidecar.
type Settings struct {
	// Instance is the ID of the backend server instance in the platform's list.
	Instance      string `toml:"instance" required:"true"`
	Pool          string `toml:"pool" required:"true"`
	Region        string `toml:"region" required:"true"`
	FailureDomain string `toml:"failure_domain" required:"true"`
	LogLevel      string `toml:"log_level"`
	// Listen is the address for routers and other sidecars.
	Listen settings.Address `toml:"listen" required:"true"`
	// OperatorListen is the address of /healthz, /readyz and /debug.
	OperatorListen settings.Address `toml:"operator_listen" required:"true"`
	// MaxPoolSchema is the highest schema version of pool records that this sidecar follows.
	MaxPoolSchema int `toml:"max_pool_schema" min:"1" max:"2"`

	Dialect   settings.Table `toml:"dialect" required:"true"`
	Log       settings.Table `toml:"log" required:"true"`
	Instances settings.Table `toml:"instances" required:"true"`

	// ListInterval is how often the instance list is read.
	ListInterval time.Duration `toml:"list_interval" min:"100ms" max:"1m"`

	// ExchangeInterval is the time between two exchanges of the pool's loads that this sidecar starts.
	ExchangeInterval time.Duration `toml:"exchange_interval" min:"50ms" max:"30s"`

	TLS       settings.TLS      `toml:"tls"`
	Suspects  suspect.Settings  `toml:"suspects"`
	Admission AdmissionSettings `toml:"admission"`
	Answers   AnswerSettings    `toml:"answers"`
	Claims    ClaimSettings     `toml:"claims"`
}

// AdmissionSettings bound what the sidecar takes.
type AdmissionSettings struct {
	// BoundFactor is the multiple of the pool's mean load that an engine may carry. A pool record
	// replaces it.
	BoundFactor float64 `toml:"bound_factor" min:"1" max:"10"`
	// OneRequestTokens is a load up to which the engine takes work whatever the pool's mean is.
	OneRequestTokens int `toml:"one_request_tokens" min:"0" max:"1000000000"`
	// AtMean lets an engine that is not above the mean take a request that every candidate refused for
	// the load bound. Without it such requests are shed, and the load stays closer to the mean.
	AtMean bool `toml:"at_mean"`
	// MaxRequests and MaxTokens are the capacity of the backend server.
	MaxRequests int `toml:"max_requests" min:"1" max:"100000"`
	MaxTokens   int `toml:"max_tokens" min:"1" max:"1000000000"`
	// MaxQueue bounds waiting requests.
	MaxQueue int `toml:"max_queue" min:"0" max:"100000"`
}

// AnswerSettings bound the responses that are kept.
type AnswerSettings struct {
	// MaxBytes bounds one response in memory.
	MaxBytes int `toml:"max_bytes" min:"4096" max:"268435456"`
	// KeepBytes bounds all finished responses together.
	KeepBytes int `toml:"keep_bytes" min:"0" max:"1073741824"`
	// KeepFor is how long a finished response is kept for a repeat of its request ID.
	KeepFor time.Duration `toml:"keep_for" min:"0s" max:"1h"`
	// Grace is how long a run goes on after its router is gone.
	Grace time.Duration `toml:"grace" min:"0s" max:"5m"`
	// ActionTimeout bounds a non-idempotent action after dispatch.
	ActionTimeout time.Duration `toml:"action_timeout" min:"100ms" max:"1h"`
}

// ClaimSettings configure at-most-once execution. Window, Skew, ClockError, Retention, Partitions
// and Bucket must be equal on all sidecars of a pool.
type ClaimSettings struct {
	Window     time.Duration `toml:"window" min:"1s" max:"720h"`
	Skew       time.Duration `toml:"skew" min:"0s" max:"1h"`
	ClockError time.Duration `toml:"clock_error" min:"0s" max:"1h"`
	// Retention is how long the platform's log keeps a record.
	Retention  time.Duration `toml:"retention" min:"1s" max:"8760h"`
	Partitions int           `toml:"partitions" min:"1" max:"65536"`
	Bucket     time.Duration `toml:"bucket" min:"1s" max:"24h"`
	MaxMemory  int           `toml:"max_memory" min:"65536" max:"1073741824"`
	// Timeout bounds the wait for a claim, or for the sidecar that holds it. A log that hangs would
	// otherwise keep a caller until its deadline, although not-run is true as soon as the sidecar
	// gives up the claim.
	Timeout   time.Duration `toml:"timeout" min:"100ms" max:"10m"`
	MaxAnswer int           `toml:"max_answer" min:"0" max:"1048576"`
}

// Validate implements settings.Validator. A key must be refused before its claim can expire.
func (c *ClaimSettings) Validate() []error {
	if c.Window+c.Skew+2*c.ClockError >= c.Retention {
		return []error{errors.New("window + skew + 2 x clock_error must be below retention")}
	}
	return nil
}

// DefaultSettings returns the values that a settings file may leave out.
func DefaultSettings() Settings {
	return Settings{
		LogLevel:      "info",
		MaxPoolSchema: 2,
		ListInterval:  time.Second,

		ExchangeInterval: 1500 * time.Millisecond,

		Suspects:  suspect.DefaultSettings(),
		Admission: AdmissionSettings{BoundFactor: 1.25, AtMean: true, MaxRequests: 256, MaxTokens: 1 << 20, MaxQueue: 64},
		Answers: AnswerSettings{
			MaxBytes: 8 << 20, KeepBytes: 64 << 20, KeepFor: time.Minute,
			Grace: 10 * time.Second, ActionTimeout: time.Minute,
		},
		Claims: ClaimSettings{
			Window: 24 * time.Hour, Skew: 2 * time.Minute, ClockError: 30 * time.Second,
			Retention: 72 * time.Hour, Partitions: claim.DefaultPartitions, Bucket: claim.DefaultBucket,
			MaxMemory: 64 << 20, MaxAnswer: 64 << 10, Timeout: 5 * time.Second,
		},
	}
}
