package router

import (
	"errors"
	"time"

	"jacinthfork.example/jacinthfork/claim"
	"jacinthfork.example/jacinthfork/kernel/settings"
	"jacinthfork.example/jacinthfork/retry"
	"jacinthfork.example/jacinthfork/suspect"
)

// Settings is the content of a router's settings file.
type Settings struct {
	Instance      string `toml:"instance" required:"true"`
	Region        string `toml:"region" required:"true"`
	FailureDomain string `toml:"failure_domain" required:"true"`
	LogLevel      string `toml:"log_level"`
	// Listen is the address that serves callers.
	Listen settings.Address `toml:"listen" required:"true"`
	// OperatorListen is the address that serves /healthz, /readyz and /debug.
	OperatorListen settings.Address `toml:"operator_listen" required:"true"`
	// BalancerDelay is how long a router that shuts down still accepts requests, so that the platform's
	// load balancer can notice that it is not ready.
	BalancerDelay time.Duration `toml:"balancer_delay" min:"0s" max:"5m"`

	Log       settings.Table `toml:"log" required:"true"`
	Instances settings.Table `toml:"instances" required:"true"`
	// ListInterval is the interval at which the instance list is read.
	ListInterval time.Duration `toml:"list_interval" min:"100ms" max:"1m"`

	// LogRetention is how long the platform's log keeps a record.
	LogRetention time.Duration `toml:"log_retention" min:"1m" max:"8760h"`

	TLS   settings.TLS   `toml:"tls"`
	Retry retry.Settings `toml:"retry"`
	// Suspects must equal the sidecars' settings.
	Suspects  suspect.Settings  `toml:"suspects"`
	Placement PlacementSettings `toml:"placement"`
	Callers   CallerSettings    `toml:"callers"`
	Claims    ClaimSettings     `toml:"claims"`
}

// ClaimSettings should equal the sidecars' settings; a difference only costs additional reads of the log.
type ClaimSettings struct {
	// Partitions is the number of claim streams per pool and bucket.
	Partitions int `toml:"partitions" min:"1" max:"65536"`
	// Bucket is the length of the range of key times that share a stream.
	Bucket time.Duration `toml:"bucket" min:"1s" max:"24h"`
}

// PlacementSettings selects the placement policy of each pool.
type PlacementSettings struct {
	// Default is the policy of pools without an entry in Pools.
	Default settings.Table `toml:"default"`
	// Pools sets the policy of individual pools.
	Pools map[string]settings.Table `toml:"pools"`
	// TokenKeys authenticate placement tokens. The first key signs; all are accepted.
	TokenKeys []settings.Secret `toml:"token_keys" required:"true"`
	// TokenMaxAge is the age up to which a placement token is accepted.
	TokenMaxAge time.Duration `toml:"token_max_age" min:"1m" max:"720h"`
}

// Validate implements settings.Validator.
func (p *PlacementSettings) Validate() []error {
	if len(p.TokenKeys) == 0 {
		return []error{errors.New("token_keys must hold at least one key")}
	}
	return nil
}

// CallerSettings limits the requests of callers.
type CallerSettings struct {
	MaxHeaderBytes int `toml:"max_header_bytes" min:"4096" max:"1048576"`
	MaxBodyBytes   int `toml:"max_body_bytes" min:"1024" max:"12582912"`
	// MaxRequests limits the requests in flight.
	MaxRequests int `toml:"max_requests" min:"1" max:"1000000"`
	// BodyTimeout limits the time to read a request body.
	BodyTimeout time.Duration `toml:"body_timeout" min:"100ms" max:"10m"`
	// WriteTimeout limits one write to a caller.
	WriteTimeout time.Duration `toml:"write_timeout" min:"100ms" max:"10m"`
	// Timeout is the timeout of a request that sets none; MaxTimeout is the highest that a request can
	// set.
	Timeout    time.Duration `toml:"timeout" min:"100ms" max:"1h"`
	MaxTimeout time.Duration `toml:"max_timeout" min:"100ms" max:"24h"`
	// BufferBytes is how much of a plain service's response is buffered until it is complete.
	BufferBytes int `toml:"hold_bytes" min:"0" max:"16777216"`
	// DecodeTokens is the expected response length in tokens when a request sets no limit.
	DecodeTokens int `toml:"decode_tokens" min:"1" max:"1000000"`
}

// DefaultSettings returns the defaults for keys that a settings file may omit.
func DefaultSettings() Settings {
	return Settings{
		LogLevel:      "info",
		BalancerDelay: 5 * time.Second,
		ListInterval:  time.Second,
		LogRetention:  72 * time.Hour,
		Retry:         retry.DefaultSettings(),
		Suspects:      suspect.DefaultSettings(),
		Placement:     PlacementSettings{Default: settings.Table{"use": "affinity"}, TokenMaxAge: 7 * 24 * time.Hour},
		Claims:        ClaimSettings{Partitions: claim.DefaultPartitions, Bucket: claim.DefaultBucket},
		Callers: CallerSettings{
			MaxHeaderBytes: 64 << 10, MaxBodyBytes: 8 << 20, MaxRequests: 4096,
			BodyTimeout: 30 * time.Second, WriteTimeout: 30 * time.Second,
			Timeout: 2 * time.Minute, MaxTimeout: 30 * time.Minute,
			BufferBytes: 1 << 20, DecodeTokens: 256,
		},
	}
}
