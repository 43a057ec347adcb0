// Package engine is a stand-in for an LLM inference engine. It serves chat completions with deterministic
// responses and models continuous batching, a prefix cache of limited size, request priorities, cancelling
// and resuming of streams, load reports, cache events, orders with fencing numbers and export of cached
// prefixes. It can be slowed down and crashed.
package engine

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"jacinthfork.example/jacinthfork/standin"
)

// Counters are cumulative since the stand-in was started; Crash does not reset them.
type Counters struct {
	// Accepted counts accepted requests, Started those that got a slot. Each accepted request ends as one
	// of Finished, Cancelled and Broken; Broken counts those ended by a crash.
	Accepted  int64 `json:"accepted"`
	Started   int64 `json:"started"`
	Finished  int64 `json:"finished"`
	Cancelled int64 `json:"cancelled"`
	Broken    int64 `json:"broken"`
	// Refused counts requests that got status 503.
	Refused int64 `json:"refused"`
	// DuplicateIDs counts requests with the ID of a run that is still known.
	DuplicateIDs int64 `json:"duplicate_ids"`
	Resumed      int64 `json:"resumed"`
	// PromptTokens and CachedTokens count the prompt tokens of started runs.
	PromptTokens    int64 `json:"prompt_tokens"`
	CachedTokens    int64 `json:"cached_tokens"`
	GeneratedTokens int64 `json:"generated_tokens"`
	Crashes         int64 `json:"crashes"`
	// MaxTokens is the largest amount of outstanding work in tokens, MaxRunning the largest number of
	// concurrent runs.
	MaxTokens  int `json:"max_tokens"`
	MaxRunning int `json:"max_running"`
	// OrdersApplied and OrdersRefused count orders. FencingRegressions counts applied orders whose fencing
	// number is lower than that of the order in force.
	OrdersApplied      int64 `json:"orders_applied"`
	OrdersRefused      int64 `json:"orders_refused"`
	FencingRegressions int64 `json:"fencing_regressions"`
	ExportedTokens     int64 `json:"exported_tokens"`
	ImportedTokens     int64 `json:"imported_tokens"`
}

// Engine simulates one inference engine. It is safe for concurrent use.
type Engine struct {
	standin.Server

	mu        sync.Mutex
	settings  Settings
	counters  Counters
	downUntil time.Time

	runs            map[string]*run // latest run by request ID
	waiting         []*run          // highest priority first, then oldest first
	activeRuns      map[*run]bool   // waiting or running
	endedRuns       []*run          // oldest first
	lastRunSequence uint64
	startsByContent map[uint64]int // by content hash

	load        Load
	loadHistory []loadSample

	cache             *prefixCache
	groups            map[string][]uint64 // blocks by cache group; may include evicted blocks
	events            []CacheEvent
	lastEventSequence uint64

	orders orderState
}

// New returns an Engine with an empty cache.
func New(settings Settings) *Engine {
	settings = settings.withDefaults()
	e := &Engine{
		settings:        settings,
		runs:            make(map[string]*run),
		activeRuns:      make(map[*run]bool),
		startsByContent: make(map[uint64]int),
	}
	e.boot()
	e.Server.Handler = e.handler()
	return e
}

// boot resets the engine to its state after a start: empty cache, no orders, the configured model. The
// caller holds mu.
func (e *Engine) boot() {
	e.load.Boot++
	e.cache = newPrefixCache(e.settings.CacheTokens / e.settings.BlockTokens)
	e.groups = make(map[string][]uint64)
	e.orders = orderState{current: Order{Model: e.settings.Model, Version: e.settings.Version}}
	e.addEvent(EventCleared, "", nil)
	e.recordLoad()
}

// Settings returns the current settings.
func (e *Engine) Settings() Settings {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.settings
}

// SetSettings replaces the settings. Runs that have started keep their token timing, and the block size
// stays as given to New.
func (e *Engine) SetSettings(settings Settings) {
	e.mu.Lock()
	defer e.mu.Unlock()
	settings = settings.withDefaults()
	settings.BlockTokens = e.settings.BlockTokens
	e.settings = settings
	e.cache.maxBlocks = settings.CacheTokens / settings.BlockTokens
	e.schedule()
	e.recordLoad()
}

// Counters returns a copy of the counters.
func (e *Engine) Counters() Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counters
}

// StartCount returns how many runs with the same content as body have got a slot, whatever their request
// IDs.
func (e *Engine) StartCount(body []byte) int {
	request, err := parseRequest(body)
	if err != nil {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.startsByContent[request.contentHash()]
}

// CachedTokens returns how many prompt tokens of body are in the prefix cache. The lookup does not affect
// the eviction order.
func (e *Engine) CachedTokens(body []byte) int {
	request, err := parseRequest(body)
	if err != nil {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.cachedPrefix(blockHashes(request.prompt(), e.settings.BlockTokens)) * e.settings.BlockTokens
}

// Crash breaks all streams, drops the cache and the orders, and makes the engine unavailable for DownTime.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counters.Crashes++
	e.downUntil = time.Now().Add(e.settings.DownTime)
	e.waiting = nil
	for r := range e.activeRuns {
		e.end(r, StateBroken)
	}
	e.runs = make(map[string]*run)
	e.endedRuns = nil
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
	e.registerInspectRoutes(all)
	return all
}

// registerInspectRoutes adds the /inspect endpoints, which also work while the engine is down.
func (e *Engine) registerInspectRoutes(mux *http.ServeMux) {
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
	// Tokens is the number of tokens still to be computed.
	Tokens int `json:"tokens"`
	// Started is true once the run has got a slot.
	Started bool `json:"started"`
}

// Requests returns the waiting, running and recently ended runs, oldest first.
func (e *Engine) Requests() []RequestInfo {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := slices.Clone(e.endedRuns)
	for r := range e.activeRuns {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int { return int(a.sequence) - int(b.sequence) })
	infos := make([]RequestInfo, len(runs))
	for i, r := range runs {
		infos[i] = r.info()
	}
	return infos
}
