// Package retry decides whether and when a router sends a request again. It implements the retry budget of a
// pool, the backoff, and the classification of verdicts and reasons by whether they may be retried.
//
// A request has at most MaxAttempts attempts. For a pool, the charged retries in any interval t are at most
// SharePercent of the requests in that interval, plus MinPerSecond * t, plus Burst, so that retries cannot
// sustain an overload. A redirect follows a refusal that is normal in routing, such as over-bound, and
// that costs the refusing sidecar no engine time. Up to MaxRedirects redirects of one request are not charged.
package retry

import (
	"fmt"
	"sync"
	"time"
)

// Settings of a Policy and its budgets. Start from DefaultSettings.
type Settings struct {
	// SharePercent is the number of retries that each 100 requests add to the budget.
	SharePercent int `toml:"share_percent" min:"0" max:"100"`
	// MinPerSecond is the rate of retries that is allowed at any load, so that a pool with few requests can
	// retry at all.
	MinPerSecond float64 `toml:"min_per_second" min:"0"`
	// Burst is the maximum number of retries that the budget can accumulate.
	Burst float64 `toml:"burst" min:"0"`
	// MaxAttempts is the maximum number of attempts of one request, including the first.
	MaxAttempts int `toml:"max_attempts" min:"1"`
	// MaxRedirects is the number of redirects of one request that are not charged. The default lets a request
	// try every instance of its exposure set, and then the one target on which it may run once it is suspected
	// of crashing engines; see package suspect.
	MaxRedirects int `toml:"max_redirects" min:"0"`
	// BackoffBase and BackoffMax are the initial and the largest upper limit of the random backoff.
	BackoffBase time.Duration `toml:"backoff_base" min:"0s"`
	BackoffMax  time.Duration `toml:"backoff_max" min:"0s"`
}

// DefaultSettings returns the default settings for one pool.
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

// Validate returns one error for each setting that it finds invalid. The tags of the fields check the rest when
// settings are loaded: negative values of MinPerSecond, Burst, MaxRedirects and the durations.
func (s Settings) Validate() []error {
	var errs []error
	if s.SharePercent < 0 || s.SharePercent > 100 {
		errs = append(errs, fmt.Errorf("share_percent is %d, must be from 0 to 100", s.SharePercent))
	}
	if s.MaxAttempts < 1 {
		errs = append(errs, fmt.Errorf("max_attempts is %d, must be at least 1", s.MaxAttempts))
	}
	if s.BackoffMax < s.BackoffBase {
		errs = append(errs, fmt.Errorf("backoff_max is %v, must not be less than backoff_base %v", s.BackoffMax, s.BackoffBase))
	}
	return errs
}

// Budget is the retry budget of one pool at one router. It is safe for concurrent use.
type Budget struct {
	settings Settings

	mu sync.Mutex
	// tokens is the level of a token bucket in hundredths of a retry, so that whole percentages add up exactly.
	tokens     float64
	refilledAt time.Time
	spent      uint64
	denied     uint64
}

// retryCost is the cost of one retry in tokens.
const retryCost = 100

// NewBudget returns a full budget.
func NewBudget(settings Settings) *Budget {
	return &Budget{settings: settings, tokens: settings.Burst * retryCost}
}

// Deposit adds the share of one request to the budget. Call it once per request, not per attempt.
func (b *Budget) Deposit(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens = min(b.settings.Burst*retryCost, b.tokens+float64(b.settings.SharePercent))
}

// Withdraw charges one retry. It returns false when the budget is exhausted.
func (b *Budget) Withdraw(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens < retryCost {
		b.denied++
		return false
	}
	b.tokens -= retryCost
	b.spent++
	return true
}

// spareShare is the part of the burst that WithdrawSpare leaves to retries after failures.
const spareShare = 0.5

// WithdrawSpare charges a request that is sent again without a failure. It returns false unless half of the burst is left
// afterwards, so that retries after failures do not lack it.
func (b *Budget) WithdrawSpare(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens < retryCost+spareShare*b.settings.Burst*retryCost {
		return false
	}
	b.tokens -= retryCost
	b.spent++
	return true
}

// Totals returns the numbers of retries allowed and denied since the budget was created.
func (b *Budget) Totals() (spent, denied uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spent, b.denied
}

// refill adds the tokens that MinPerSecond yields for the time since the last refill.
func (b *Budget) refill(now time.Time) {
	if !b.refilledAt.IsZero() && now.After(b.refilledAt) {
		gained := now.Sub(b.refilledAt).Seconds() * b.settings.MinPerSecond * retryCost
		b.tokens = min(b.settings.Burst*retryCost, b.tokens+gained)
	}
	if now.After(b.refilledAt) {
		b.refilledAt = now
	}
}

// UpdateSettings replaces the settings, for example when the number of routers that share the retry budget of a
// pool changes. Tokens beyond the new burst are discarded.
func (b *Budget) UpdateSettings(settings Settings) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settings = settings
	b.tokens = min(b.tokens, settings.Burst*retryCost)
}
