package engine

import "time"

// Settings are the speed, the limits and the faults of an Engine. The keys are those of the settings
// file and of /inspect/settings.
type Settings struct {
	// Model and Version are loaded at the start and after a crash.
	Model   string `toml:"model"`
	Version string `toml:"version"`

	// FirstToken passes between the start of a run and its first token, and PrefillToken in addition
	// for each prompt token that is not cached.
	FirstToken   time.Duration `toml:"first_token" min:"0s"`
	PrefillToken time.Duration `toml:"prefill_token" min:"0s"`
	// TokenInterval passes between tokens. It grows by the share BatchSlowdown for each other run.
	TokenInterval time.Duration `toml:"token_interval" min:"0s"`
	BatchSlowdown float64       `toml:"batch_slowdown" min:"0"`
	// Slots is the number of concurrent runs. 0 is DefaultSlots.
	Slots int `toml:"slots" min:"0"`
	// MaxWaiting is the number of waiting requests above which new ones get 503. 0 is no limit.
	MaxWaiting int `toml:"max_waiting" min:"0"`

	// CacheTokens is the memory of the prefix cache in tokens. 0 caches nothing.
	CacheTokens int `toml:"cache_tokens" min:"0"`
	// BlockTokens is the size of a cache block. 0 is DefaultBlockTokens.
	BlockTokens int `toml:"block_tokens" min:"0"`
	// EventLag is the age at which cache events become visible. Each EventGapEvery-th event is lost;
	// 0 loses none.
	EventLag      time.Duration `toml:"event_lag" min:"0s"`
	EventGapEvery int           `toml:"event_gap_every" min:"0"`
	// LoadLag is the age of load reports.
	LoadLag time.Duration `toml:"load_lag" min:"0s"`

	// CheckFencing refuses orders with a fencing number below the highest one seen.
	CheckFencing bool `toml:"check_fencing"`
	// OrderTime passes while an order loads other weights. New requests get 503 meanwhile.
	OrderTime time.Duration `toml:"order_time" min:"0s"`

	// CrashMarker in the body of a request crashes the engine CrashDelay after the run has started.
	// Empty is no marker. The engine is down for DownTime.
	CrashMarker string        `toml:"crash_marker"`
	CrashDelay  time.Duration `toml:"crash_delay" min:"0s"`
	DownTime    time.Duration `toml:"down_time" min:"0s"`

	// KeepAfterDisconnect is how long a run goes on without a reader. 0 cancels it at once.
	KeepAfterDisconnect time.Duration `toml:"keep_after_disconnect" min:"0s"`
	// KeepFinished is how long an ended run can be resumed and inspected. 0 is DefaultKeepFinished.
	KeepFinished time.Duration `toml:"keep_finished" min:"0s"`

	// ForeignEvents is the number of next streams that contain an event of another request.
	ForeignEvents int `toml:"foreign_events" min:"0"`
	// TruncatedStreams is the number of next streams that end early without [DONE].
	TruncatedStreams int `toml:"truncated_streams" min:"0"`
}

// Defaults of Settings.
const (
	DefaultSlots        = 8
	DefaultBlockTokens  = 16
	DefaultKeepFinished = 30 * time.Second
	DefaultCrashMarker  = "CRASH-ENGINE"
)

// DefaultSettings are those of a small and fast engine.
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

// take uses up one of a number of scripted faults.
func take(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}
