package admission

import (
	"fmt"
	"time"
)

// Settings of a Controller. The zero value is not valid; start from DefaultSettings.
type Settings struct {
	// FactorPercent is the load bound as a percentage of the pool's mean load, at least 100.
	FactorPercent uint64 `toml:"factor_percent" min:"100" max:"10000"`
	// OneRequestTokens is a load up to which an engine admits work regardless of the mean, for example the
	// work of a large request of the pool. With 0, only an idle engine admits a request regardless of the mean.
	OneRequestTokens uint64 `toml:"one_request_tokens" min:"0"`
	// CapacityTokens is the maximum work in flight at the engine, in tokens.
	CapacityTokens uint64 `toml:"capacity_tokens" min:"1"`
	// CapacityRequests is the maximum number of requests in flight at the engine.
	CapacityRequests int `toml:"capacity_requests" min:"1"`
	// QueueRequests is the maximum number of queued requests. 0 disables the queue.
	QueueRequests int `toml:"queue_requests" min:"0"`
	// QueueWait is the maximum time in the queue, even when the deadline is later.
	QueueWait time.Duration `toml:"queue_wait" min:"0s"`
	// ReservePercent is the part of the capacity that organisations over their share may not use.
	ReservePercent uint64 `toml:"reserve_percent" min:"0" max:"90"`
	// ActiveWindow is how long an organisation keeps its share after its last request.
	ActiveWindow time.Duration `toml:"active_window" min:"0s"`
	// IsolationWait is the maximum time for which a queued isolated request may block other requests.
	IsolationWait time.Duration `toml:"isolation_wait" min:"0s"`
	// ReportWeightPercent is the weight of a new engine report, at most 50.
	ReportWeightPercent uint64 `toml:"report_weight_percent" min:"0" max:"50"`
	// ByServiceTime bounds the queue by QueueWait: a request is refused at once when those before it take that long, by
	// the time that recent requests took. Refused callers are told to come back one after the other, as places become
	// free. It is for plain services, whose requests take about as long as each other.
	ByServiceTime bool `toml:"-"`
	// ByUrgency orders the queue by Request.Priority across all organisations, of which 0 and above are the most urgent
	// level and -9 and below the least urgent. A bounded share of the grants is for less urgent levels, and the requests of one
	// level are ordered by fair shares of organisations, then by arrival. A request is refused at once when those before it
	// take longer than it may wait, and a full queue refuses the least urgent one first. It is for engines whose capacity is
	// the number of requests that they serve in time.
	ByUrgency bool `toml:"-"`
	// OnQueue, if not nil, is told of each change of the queue with ByUrgency and of the level of the request. It is called
	// with the controller's lock held.
	OnQueue func(event QueueEvent, level int) `toml:"-"`
	// ReportMaxAge is the age at which the weight of a report reaches zero.
	ReportMaxAge time.Duration `toml:"report_max_age" min:"0s"`
}

// DefaultSettings returns settings for an engine with continuous batching.
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

// Validate returns one error for each setting that is outside the range that the code relies on. The tags of
// the fields check the rest when settings are loaded: negative durations and the maximum of FactorPercent.
func (s Settings) Validate() []error {
	var errs []error
	add := func(invalid bool, format string, value any) {
		if invalid {
			errs = append(errs, fmt.Errorf(format, value))
		}
	}
	add(s.FactorPercent < 100, "factor_percent is %d, must be at least 100", s.FactorPercent)
	add(s.CapacityTokens == 0, "capacity_tokens is %d, must be positive", s.CapacityTokens)
	add(s.CapacityRequests < 1, "capacity_requests is %d, must be positive", s.CapacityRequests)
	add(s.QueueRequests < 0, "queue_requests is %d, must not be negative", s.QueueRequests)
	add(s.ReservePercent > 90, "reserve_percent is %d, must be at most 90", s.ReservePercent)
	add(s.ReportWeightPercent > 50, "report_weight_percent is %d, must be at most 50", s.ReportWeightPercent)
	return errs
}

// maxTokens caps the prompt and decode tokens of one request, so that sums of work never overflow.
const maxTokens = 1 << 40

// Request describes a request to be admitted. Its deadline is that of the context passed to Admit.
type Request struct {
	Organisation string
	// PromptTokens is the length of the prompt and DecodeTokens the expected length of the response. A request
	// to a plain service has one token in total.
	PromptTokens uint64
	DecodeTokens uint64
	// CachedTokens is a hint of how many prompt tokens the engine has cached.
	CachedTokens uint64
	// Priority orders the queued requests of one organisation, higher first. It gives no advantage over
	// other organisations, except with Settings.ByUrgency.
	Priority int
	// MaxWait is the maximum time in the queue if it is shorter than Settings.QueueWait; 0 is no other limit, and a
	// negative one admits the request at once or not at all.
	MaxWait time.Duration
	// Patience is how long the caller can still come back after a refusal, 0 if that is not known. With
	// Settings.ByServiceTime or Settings.ByUrgency no place is kept for one that cannot.
	Patience time.Duration
	// AtMean is set when every instance that may run the request is at its load bound. The request is then
	// admitted by an engine that is not above the mean.
	AtMean bool
	// Isolate requests that nothing else runs on the engine at the same time.
	Isolate bool
	// Fingerprint identifies the request in crash reports; see package suspect.
	Fingerprint uint64
}

// Work returns the tokens that the request adds to the load, at least 1.
func (r Request) Work() uint64 {
	prompt := min(r.PromptTokens, maxTokens)
	prompt -= min(prompt, r.CachedTokens)
	return max(1, prompt+min(r.DecodeTokens, maxTokens))
}

// Pool is a view of the load of the pool, implemented by package membership.
type Pool interface {
	// Mean returns the total work of all members in tokens and their number. Both include this instance,
	// whose work is own. A member whose state is stale counts with zero work. Mean is called for each request
	// with the controller's lock held, so it must be fast and must not call methods of the controller that
	// take the lock; Controller.Work takes none.
	Mean(own uint64) (total uint64, members int)
}

// SingleMember is a Pool with this instance as its only member.
type SingleMember struct{}

// Mean implements Pool.
func (SingleMember) Mean(own uint64) (uint64, int) { return own, 1 }
