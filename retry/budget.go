// Package retry decides whether and when a router sends a request again. It holds the retry budget
// of a pool, the backoff and the rule which verdicts and reasons may be retried.
//
// The attempts of one request are at most MaxAttempts. Over a pool the charged retries within any
// time t are at most Share of the requests of that time, plus MinPerSecond * t, plus Burst, so that
// retries cannot keep an overload alive. A redirect, which is a refusal that placement expects and
// that costs the refusing sidecar no engine time, is free up to MaxRedirects for one request.
package retry

import (
	"errors"
	"sync"
	"time"
)

// Settings of a Policy and its budgets. Start from DefaultSettings.
type Settings struct {
	// SharePercent is the part of recent requests that may be retried.
	SharePercent int `toml:"share_percent" min:"0" max:"100"`
	// MinPerSecond is a rate of retries that is allowed at any load, so that a pool with few
	// requests can retry at all.
	MinPerSecond float64 `toml:"min_per_second" min:"0"`
	// Burst is the number of retries that can be saved up.
	Burst float64 `toml:"burst" min:"0"`
	// MaxAttempts is the largest number of attempts of one request, the first included.
	MaxAttempts int `toml:"max_attempts" min:"1"`
	// MaxRedirects is the number of redirects of one request that are not charged. The default lets
	// a request try its whole exposure set, see package suspect, and then its target.
	MaxRedirects int `toml:"max_redirects" min:"0"`
	// BackoffBase and BackoffMax are the first and the largest upper limit of the random pause.
	BackoffBase time.Duration `toml:"backoff_base" min:"0s"`
	BackoffMax  time.Duration `toml:"backoff_max" min:"0s"`
}

// DefaultSettings returns the settings for a pool.
func DefaultSettings() Settings {
	return Settings{
		SharePercent: 10,
		MinPerSecond: 0.2,
		Burst:        10,
		MaxAttempts:  10,
		MaxRedirects: 8,
		BackoffBase:  25 * time.Millisecond,
		BackoffMax:   2 * time.Second,
	}
}

// Validate returns one error for each broken rule.
func (s Settings) Validate() []error {
	var errs []error
	if s.SharePercent < 0 || s.SharePercent > 100 {
		errs = append(errs, errors.New("share_percent must be from 0 to 100"))
	}
	if s.MaxAttempts < 1 {
		errs = append(errs, errors.New("max_attempts must be at least 1"))
	}
	if s.BackoffMax < s.BackoffBase {
		errs = append(errs, errors.New("backoff_max must not be less than backoff_base"))
	}
	return errs
}

// Budget is the retry budget of one pool at one router. It is safe for concurrent use.
type Budget struct {
	settings Settings

	mu sync.Mutex
	// tokens is in hundredths of a retry, so that whole percentages add up exactly.
	tokens float64
	filled time.Time
	spent  uint64
	denied uint64
}

// hundred is the charge of one retry.
const hundred = 100

// NewBudget returns a full budget.
func NewBudget(settings Settings) *Budget {
	return &Budget{settings: settings, tokens: settings.Burst * hundred}
}

// Request adds the share of one request. Call it once per request, not per attempt.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(now)
	b.tokens = min(b.settings.Burst*hundred, b.tokens+float64(b.settings.SharePercent))
}

// Withdraw takes one retry from the budget. It reports false when the budget is used up.
func (b *Budget) Withdraw(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(now)
	if b.tokens < hundred {
		b.denied++
		return false
	}
	b.tokens -= hundred
	b.spent++
	return true
}

// Totals returns how many retries were allowed and denied since the start.
func (b *Budget) Totals() (spent, denied uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spent, b.denied
}

// fill adds the time-based part.
func (b *Budget) fill(now time.Time) {
	if !b.filled.IsZero() && now.After(b.filled) {
		gained := now.Sub(b.filled).Seconds() * b.settings.MinPerSecond * hundred
		b.tokens = min(b.settings.Burst*hundred, b.tokens+gained)
	}
	if now.After(b.filled) {
		b.filled = now
	}
}

// Resize replaces the settings, for example when the number of routers that share an allowance
// changes. What is saved beyond the new burst is lost.
func (b *Budget) Resize(settings Settings) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settings = settings
	b.tokens = min(b.tokens, settings.Burst*hundred)
}
