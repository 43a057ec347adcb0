// Package engine is a stand-in for a model engine: chat completions with a deterministic answer,
// continuous batching, a prefix cache in limited memory, priorities, cancel and resume of streams,
// load reports, cache events, orders with fencing numbers and export of cached prefixes. It can be
// slowed down and crashed.
package engine

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"jacinthfork.example/jacinthfork/standin"
)

// Counters count since the start of the stand-in; crashes do not reset them.
type Counters struct {
	// Accepted counts requests, Started those that took a slot. Each ends as one of Finished,
	// Cancelled and Broken, the last by a crash.
	Accepted  int64 `json:"accepted"`
	Started   int64 `json:"started"`
	Finished  int64 `json:"finished"`
	Cancelled int64 `json:"cancelled"`
	Broken    int64 `json:"broken"`
	// Refused counts requests answered with 503.
	Refused int64 `json:"refused"`
	// DuplicateIDs counts requests whose id was already known.
	DuplicateIDs int64 `json:"duplicate_ids"`
	Resumed      int64 `json:"resumed"`
	// PromptTokens and CachedTokens are those of started runs.
	PromptTokens    int64 `json:"prompt_tokens"`
	CachedTokens    int64 `json:"cached_tokens"`
	GeneratedTokens int64 `json:"generated_tokens"`
	Crashes         int64 `json:"crashes"`
	// MaxTokens and MaxRunning are the highest concurrent work in tokens and in runs.
	MaxTokens  int `json:"max_tokens"`
	MaxRunning int `json:"max_running"`
	// OrdersApplied and OrdersRefused count orders. FencingRegressions counts applied orders with a
	// lower fencing number than one applied before.
	OrdersApplied      int64 `json:"orders_applied"`
	OrdersRefused      int64 `json:"orders_refused"`
	FencingRegressions int64 `json:"fencing_regressions"`
	ExportedTokens     int64 `json:"exported_tokens"`
	ImportedTokens     int64 `json:"imported_tokens"`
}

// Engine is the stand-in. It is safe for concurrent use.
type Engine struct {
	standin.Server

	mu        sync.Mutex
	settings  Settings
	counters  Counters
	downUntil time.Time

	runs     map[string]*run // the last run of each id
	waiting  []*run          // by priority, then age
	active   map[*run]bool   // waiting or running
	ended    []*run          // oldest first
	sequence uint64
	starts   map[uint64]int // by content

	load  Load
	loads []pastLoad

	cache         *prefixCache
	groups        map[string][]uint64
	events        []CacheEvent
	eventSequence uint64

	orders orderState
}

// New returns an engine with an empty cache.
func New(settings Settings) *Engine {
	settings = settings.withDefaults()
	e := &Engine{
		settings: settings,
		runs:     make(map[string]*run),
		active:   make(map[*run]bool),
		starts:   make(map[uint64]int),
	}
	e.boot()
	e.Server.Handler = e.handler()
	return e
}

// boot puts the engine into the state after a start. The caller holds mu.
func (e *Engine) boot() {
	e.load.Boot++
	e.cache = newPrefixCache(e.settings.CacheTokens / e.settings.BlockTokens)
	e.groups = make(map[string][]uint64)
	e.orders = orderState{current: Order{Model: e.settings.Model, Version: e.settings.Version}}
	e.addEvent(EventCleared, "", nil)
	e.noteLoad()
}

// Settings returns the settings in force.
func (e *Engine) Settings() Settings {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.settings
}

// SetSettings replaces the settings. Runs in flight keep their speed, and the block size stays that
// of New.
func (e *Engine) SetSettings(settings Settings) {
	e.mu.Lock()
	defer e.mu.Unlock()
	settings = settings.withDefaults()
	settings.BlockTokens = e.settings.BlockTokens
	e.settings = settings
	e.cache.limit = settings.CacheTokens / settings.BlockTokens
	e.schedule()
	e.noteLoad()
}

// Counters returns the counters.
func (e *Engine) Counters() Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counters
}

// Starts returns how many runs of the content of body took a slot, whatever their ids.
func (e *Engine) Starts(body []byte) int {
	request, err := parseRequest(body)
	if err != nil {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.starts[request.contentHash()]
}

// CachedTokens returns the prompt tokens of body that are cached now. It does not count as use.
func (e *Engine) CachedTokens(body []byte) int {
	request, err := parseRequest(body)
	if err != nil {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.prefix(blockHashes(request.prompt(), e.settings.BlockTokens)) * e.settings.BlockTokens
}

// Crash breaks all streams, loses the cache and the orders, and leaves the engine down for DownTime.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counters.Crashes++
	e.downUntil = time.Now().Add(e.settings.DownTime)
	e.waiting = nil
	for r := range e.active {
		e.end(r, StateBroken)
	}
	e.runs = make(map[string]*run)
	e.ended = nil
	e.boot()
}

func (e *Engine) down() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.downUntil)
}

func (e *Engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("GET /v1/requests/{id}/stream", e.serveResume)
	mux.HandleFunc("DELETE /v1/requests/{id}", e.serveCancel)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("GET /cache/events", e.serveEvents)
	mux.HandleFunc("POST /orders", e.serveOrder)
	mux.HandleFunc("GET /orders", e.serveOrderState)
	mux.HandleFunc("GET /kv/{group}", e.serveExport)
	mux.HandleFunc("PUT /kv/{group}", e.serveImport)
	all := http.NewServeMux()
	all.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		if e.down() {
			standin.Abort()
		}
		mux.ServeHTTP(w, r)
	})
	e.inspect(all)
	return all
}

// inspect adds the endpoints that work while the engine is down.
func (e *Engine) inspect(mux *http.ServeMux) {
	mux.Handle("/inspect/settings", standin.SettingsHandler(e.Settings, e.SetSettings))
	mux.HandleFunc("GET /inspect/counts", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, e.Counters())
	})
	mux.HandleFunc("GET /inspect/requests", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, e.Requests())
	})
	mux.HandleFunc("GET /inspect/orders", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, e.Orders())
	})
	mux.HandleFunc("POST /inspect/crash", func(w http.ResponseWriter, _ *http.Request) {
		e.Crash()
		w.WriteHeader(http.StatusNoContent)
	})
}

// RequestInfo describes one run.
type RequestInfo struct {
	ID           string `json:"id"`
	State        State  `json:"state"`
	Priority     int    `json:"priority"`
	PromptTokens int    `json:"prompt_tokens"`
	CachedTokens int    `json:"cached_tokens"`
	Generated    int    `json:"generated"`
	// Tokens is the work left.
	Tokens int `json:"tokens"`
	// Started is set once the run took a slot.
	Started bool `json:"started"`
}

// Requests returns the waiting, running and recently ended runs, oldest first.
func (e *Engine) Requests() []RequestInfo {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := slices.Clone(e.ended)
	for r := range e.active {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int { return int(a.sequence) - int(b.sequence) })
	infos := make([]RequestInfo, len(runs))
	for i, r := range runs {
		infos[i] = r.info()
	}
	return infos
}
