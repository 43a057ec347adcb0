package admission

import (
	"errors"
	"time"
)

// Settings of a Controller. The zero value is not valid; start from DefaultSettings.
type Settings struct {
	// FactorPercent is the load bound as a percentage of the pool's mean, at least 100.
	FactorPercent uint64 `toml:"factor_percent" min:"100" max:"10000"`
	// OneRequestTokens is a load up to which an engine takes work whatever the mean is, for example
	// the work of a large request of the pool. 0 is the request at hand on an idle engine.
	OneRequestTokens uint64 `toml:"one_request_tokens" min:"0"`
	// CapacityTokens is the work in tokens that the engine may hold at once.
	CapacityTokens uint64 `toml:"capacity_tokens" min:"1"`
	// CapacityRequests is the number of requests that the engine may hold at once.
	CapacityRequests int `toml:"capacity_requests" min:"1"`
	// QueueRequests is the number of requests that may wait. 0 switches the queue off.
	QueueRequests int `toml:"queue_requests" min:"0"`
	// QueueWait is the longest wait, even when the deadline is later.
	QueueWait time.Duration `toml:"queue_wait" min:"0s"`
	// ReservePercent is the part of the capacity closed to organisations over their share.
	ReservePercent uint64 `toml:"reserve_percent" min:"0" max:"90"`
	// ActiveWindow is how long an organisation keeps its share after its last request.
	ActiveWindow time.Duration `toml:"active_window" min:"0s"`
	// IsolationWait is how long an isolated request may hold other work back until it runs.
	IsolationWait time.Duration `toml:"isolation_wait" min:"0s"`
	// ReportWeightPercent is the weight of a fresh engine report, at most 50.
	ReportWeightPercent uint64 `toml:"report_weight_percent" min:"0" max:"50"`
	// ReportMaxAge is the age at which a report has no weight left.
	ReportMaxAge time.Duration `toml:"report_max_age" min:"0s"`
}

// DefaultSettings returns the settings for an engine with continuous batching.
func DefaultSettings() Settings {
	return Settings{
		FactorPercent:       125,
		CapacityTokens:      400_000,
		CapacityRequests:    64,
		QueueRequests:       64,
		QueueWait:           2 * time.Second,
		ReservePercent:      10,
		ActiveWindow:        10 * time.Second,
		IsolationWait:       10 * time.Second,
		ReportWeightPercent: 50,
		ReportMaxAge:        5 * time.Second,
	}
}

// Validate returns one error for each broken rule.
func (s Settings) Validate() []error {
	var errs []error
	add := func(broken bool, text string) {
		if broken {
			errs = append(errs, errors.New(text))
		}
	}
	add(s.FactorPercent < 100, "factor_percent must be at least 100")
	add(s.CapacityTokens == 0, "capacity_tokens must be positive")
	add(s.CapacityRequests < 1, "capacity_requests must be positive")
	add(s.QueueRequests < 0, "queue_requests must not be negative")
	add(s.ReservePercent > 90, "reserve_percent must be at most 90")
	add(s.ReportWeightPercent > 50, "report_weight_percent must be at most 50")
	return errs
}

// maxTokens caps the work of one request, so that sums of work never overflow.
const maxTokens = 1 << 40

// Request describes work before it is admitted. The deadline is that of the context of Admit.
type Request struct {
	Organisation string
	// PromptTokens and DecodeTokens are the tokens of the prompt and the expected tokens of the
	// response. A plain service uses one DecodeTokens per unit of work.
	PromptTokens uint64
	DecodeTokens uint64
	// CachedTokens is a hint how many prompt tokens the engine has cached.
	CachedTokens uint64
	// Priority orders waiting requests of one organisation, higher first. It gives no advantage
	// over other organisations.
	Priority int
	// AtMean is set when every instance that may run the request is at its load bound. It is then
	// taken by an engine that is not above the mean.
	AtMean bool
	// Isolate asks for a run with nothing beside it.
	Isolate bool
	// Fingerprint identifies the request in reports; see package suspect.
	Fingerprint uint64
}

// Work returns the tokens that the request adds to the load, at least 1.
func (r Request) Work() uint64 {
	prompt := min(r.PromptTokens, maxTokens)
	prompt -= min(prompt, r.CachedTokens)
	return max(1, prompt+min(r.DecodeTokens, maxTokens))
}

// Pool is the view of the pool's load, supplied by package membership.
type Pool interface {
	// Mean returns the summed work of all members in tokens and their number, both with this
	// instance, whose own work is given. A member whose news is stale counts with zero work. It is
	// called for each request with the controller's lock held, so it must be fast and must not
	// call the controller.
	Mean(own uint64) (total uint64, members int)
}

// Alone is a pool with this instance as its only member.
type Alone struct{}

// Mean implements Pool.
func (Alone) Mean(own uint64) (uint64, int) { return own, 1 }
