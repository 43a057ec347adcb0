package engine

import "time"

// Settings configure the speed, the limits and the injected faults of an Engine. The keys are those of the
// settings file and of /inspect/settings.
type Settings struct {
	// Model and Version are what the engine serves after a start or a crash, until the first order.
	Model   string `toml:"model"`
	Version string `toml:"version"`

	// FirstToken is the delay from the start of a run to its first token. PrefillToken is added for each
	// prompt token that is not cached.
	FirstToken   time.Duration `toml:"first_token" min:"0s"`
	PrefillToken time.Duration `toml:"prefill_token" min:"0s"`
	// TokenInterval is the delay between tokens. Each other running request adds the fraction BatchSlowdown
	// of it.
	TokenInterval time.Duration `toml:"token_interval" min:"0s"`
	BatchSlowdown float64       `toml:"batch_slowdown" min:"0"`
	// Slots is the maximum number of concurrent runs. 0 means DefaultSlots.
	Slots int `toml:"slots" min:"0"`
	// MaxWaiting is the queue length at which new requests get status 503 while all slots are taken. 0
	// means no limit.
	MaxWaiting int `toml:"max_waiting" min:"0"`

	// CacheTokens is the capacity of the prefix cache in tokens. 0 disables the cache.
	CacheTokens int `toml:"cache_tokens" min:"0"`
	// BlockTokens is the size of a cache block in tokens. 0 means DefaultBlockTokens.
	BlockTokens int `toml:"block_tokens" min:"0"`
	// EventLag is the delay until a cache event becomes visible. Every EventGapEvery-th event is lost; 0
	// loses none.
	EventLag      time.Duration `toml:"event_lag" min:"0s"`
	EventGapEvery int           `toml:"event_gap_every" min:"0"`
	// LoadLag is the age of the load that GET /load reports.
	LoadLag time.Duration `toml:"load_lag" min:"0s"`

	// CheckFencing makes the engine refuse orders with a fencing number below the highest one received.
	CheckFencing bool `toml:"check_fencing"`
	// OrderTime is how long an order for different weights takes. New requests get status 503 during that
	// time.
	OrderTime time.Duration `toml:"order_time" min:"0s"`

	// A request whose body contains CrashMarker crashes the engine CrashDelay after its run has started. An
	// empty marker disables this. The engine then stays down for DownTime.
	CrashMarker string        `toml:"crash_marker"`
	CrashDelay  time.Duration `toml:"crash_delay" min:"0s"`
	DownTime    time.Duration `toml:"down_time" min:"0s"`

	// KeepAfterDisconnect is how long a run continues without a reader. 0 cancels it at once.
	KeepAfterDisconnect time.Duration `toml:"keep_after_disconnect" min:"0s"`
	// KeepFinished is how long an ended run can still be resumed and inspected. 0 means
	// DefaultKeepFinished.
	KeepFinished time.Duration `toml:"keep_finished" min:"0s"`

	// ForeignEvents is the number of upcoming streams that get an event of another request.
	ForeignEvents int `toml:"foreign_events" min:"0"`
	// TruncatedStreams is the number of upcoming streams that end early, without [DONE].
	TruncatedStreams int `toml:"truncated_streams" min:"0"`
}

// Default values of Settings.
const (
	DefaultSlots        = 8
	DefaultBlockTokens  = 16
	DefaultKeepFinished = 30 * time.Second
	DefaultCrashMarker  = "CRASH-ENGINE"
)

// DefaultSettings returns the settings of a small and fast engine.
func DefaultSettings() Settings {
	return Settings{
		Model:         "standin",
		Version:       "1",
		FirstToken:    5 * time.Millisecond,
		TokenInterval: time.Millisecond,
		Slots:         DefaultSlots,
		CacheTokens:   1 << 16,
		BlockTokens:   DefaultBlockTokens,
		CrashMarker:   DefaultCrashMarker,
		DownTime:      500 * time.Millisecond,
		KeepFinished:  DefaultKeepFinished,
	}
}

func (s Settings) withDefaults() Settings {
	if s.Slots == 0 {
		s.Slots = DefaultSlots
	}
	if s.BlockTokens == 0 {
		s.BlockTokens = DefaultBlockTokens
	}
	if s.KeepFinished == 0 {
		s.KeepFinished = DefaultKeepFinished
	}
	return s
}

// consumeFault decrements a number of injected faults and reports whether one was left.
func consumeFault(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}
