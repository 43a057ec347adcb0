// Package instances is a stand-in for the platform's instance list. A List implements services.InstanceList
// in memory, and its HTTP handler serves it to other processes. Changes become visible after a configurable
// lag, which can differ between readers.
package instances

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthfork.example/jacinthfork/services"
	"jacinthfork.example/jacinthfork/standin"
)

// ErrOutage is returned by reads during an outage.
var ErrOutage = errors.New("instance list is down")

// maxLag limits the lag. Changes older than it are merged into the baseline, so no reader can lag further
// behind.
const maxLag = time.Hour

// maxRegistrationBytes limits the body of a registration.
const maxRegistrationBytes = 64 << 10

// Settings are the injected faults of a List. The keys are those of the settings file and of
// /inspect/settings.
type Settings struct {
	// Lag is the delay until a change becomes visible.
	Lag time.Duration `toml:"lag" min:"0s" max:"1h"`
	// ReaderLag overrides Lag for individual readers, by the name that the reader sends.
	ReaderLag map[string]time.Duration `toml:"reader_lag" min:"0s" max:"1h"`
	// Delay is the delay before each response to a read.
	Delay time.Duration `toml:"delay" min:"0s"`
	// Outage makes all reads fail.
	Outage bool `toml:"outage"`
}

// Counters are cumulative since the start.
type Counters struct {
	Reads   int64 `json:"reads"`
	Changes int64 `json:"changes"`
	// ReadsBy counts reads by the name of the reader.
	ReadsBy map[string]int64 `json:"reads_by"`
}

// List is an in-memory instance list. It is safe for concurrent use.
type List struct {
	standin.Server

	mu       sync.Mutex
	settings Settings
	counters Counters
	baseline map[string]services.Instance
	changes  []change // at most maxLag older than the newest, oldest first
}

type change struct {
	at       time.Time
	instance services.Instance
	removed  bool
}

var _ services.InstanceList = (*List)(nil)

// New returns an empty List.
func New(settings Settings) *List {
	l := &List{settings: settings, baseline: make(map[string]services.Instance)}
	l.counters.ReadsBy = make(map[string]int64)
	l.Server.Handler = l.handler()
	return l
}

// Settings returns the current settings.
func (l *List) Settings() Settings {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.settings
}

// SetSettings replaces the settings.
func (l *List) SetSettings(settings Settings) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settings = settings
}

// Counters returns a copy of the counters.
func (l *List) Counters() Counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	counters := l.counters
	counters.ReadsBy = maps.Clone(counters.ReadsBy)
	return counters
}

// Register adds an instance or replaces the one with the same ID.
func (l *List) Register(instance services.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordChange(change{instance: instance})
}

// Leave marks an instance as leaving. It returns false if the instance is not registered.
func (l *List) Leave(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	instance, ok := l.stateAt(time.Now())[id]
	if !ok {
		return false
	}
	instance.Leaving = true
	l.recordChange(change{instance: instance})
	return true
}

// Remove removes an instance. It returns false if the instance is not registered.
func (l *List) Remove(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	instance, ok := l.stateAt(time.Now())[id]
	if ok {
		l.recordChange(change{instance: instance, removed: true})
	}
	return ok
}

// List implements services.InstanceList for a reader without a name.
func (l *List) List(ctx context.Context) ([]services.Instance, error) { return l.ListFor(ctx, "") }

// ListFor returns the list as the named reader sees it, with that reader's lag.
func (l *List) ListFor(ctx context.Context, reader string) ([]services.Instance, error) {
	settings := l.Settings()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(settings.Delay):
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counters.Reads++
	l.counters.ReadsBy[reader]++
	if l.settings.Outage {
		return nil, ErrOutage
	}
	lag, ok := l.settings.ReaderLag[reader]
	if !ok {
		lag = l.settings.Lag
	}
	return sortedByID(l.stateAt(time.Now().Add(-lag))), nil
}

// Current returns the list without lag.
func (l *List) Current() []services.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	return sortedByID(l.stateAt(time.Now()))
}

// recordChange appends a change and merges changes older than maxLag into the baseline. The caller holds
// mu.
func (l *List) recordChange(c change) {
	c.at = time.Now()
	l.changes = append(l.changes, c)
	l.counters.Changes++
	for len(l.changes) > 0 && c.at.Sub(l.changes[0].at) > maxLag {
		l.changes[0].apply(l.baseline)
		l.changes = l.changes[1:]
	}
}

func (c change) apply(state map[string]services.Instance) {
	if c.removed {
		delete(state, c.instance.ID)
		return
	}
	state[c.instance.ID] = c.instance
}

// stateAt returns the instances after all changes up to the given time. The caller holds mu.
func (l *List) stateAt(until time.Time) map[string]services.Instance {
	state := make(map[string]services.Instance, len(l.baseline))
	for id, instance := range l.baseline {
		state[id] = instance
	}
	for _, c := range l.changes {
		if c.at.After(until) {
			break
		}
		c.apply(state)
	}
	return state
}

func sortedByID(state map[string]services.Instance) []services.Instance {
	list := make([]services.Instance, 0, len(state))
	for _, instance := range state {
		list = append(list, instance)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// ListResponse is the body of the response to a read.
type ListResponse struct {
	Instances []services.Instance `json:"instances"`
}

func (l *List) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", l.serveList)
	mux.HandleFunc("POST /instances", l.serveRegister)
	mux.HandleFunc("POST /instances/{id}/leaving", func(w http.ResponseWriter, r *http.Request) {
		writeChangeResult(w, r, l.Leave(r.PathValue("id")))
	})
	mux.HandleFunc("DELETE /instances/{id}", func(w http.ResponseWriter, r *http.Request) {
		writeChangeResult(w, r, l.Remove(r.PathValue("id")))
	})
	mux.Handle("/inspect/settings", standin.SettingsHandler(l.Settings, l.SetSettings))
	mux.HandleFunc("GET /inspect/counts", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, l.Counters())
	})
	mux.HandleFunc("GET /inspect/truth", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, ListResponse{l.Current()})
	})
	return mux
}

// serveList responds with the list as the reader named by ?reader= sees it.
func (l *List) serveList(w http.ResponseWriter, r *http.Request) {
	list, err := l.ListFor(r.Context(), r.URL.Query().Get("reader"))
	if err != nil {
		standin.WriteError(w, http.StatusServiceUnavailable, err)
		return
	}
	tag := entityTag(list)
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	standin.WriteJSON(w, http.StatusOK, ListResponse{list})
}

// entityTag identifies the content of a list, so that a reader that already has it gets status 304.
func entityTag(list []services.Instance) string {
	digest := xxhash.New()
	_ = json.NewEncoder(digest).Encode(list)
	return fmt.Sprintf(`"%016x"`, digest.Sum64())
}

func (l *List) serveRegister(w http.ResponseWriter, r *http.Request) {
	var instance services.Instance
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRegistrationBytes)).Decode(&instance)
	if err == nil && instance.ID == "" {
		err = errors.New("id is missing")
	}
	if err != nil {
		standin.WriteError(w, http.StatusBadRequest, err)
		return
	}
	l.Register(instance)
	w.WriteHeader(http.StatusNoContent)
}

func writeChangeResult(w http.ResponseWriter, r *http.Request, found bool) {
	if !found {
		standin.WriteError(w, http.StatusNotFound, fmt.Errorf("no instance %q", r.PathValue("id")))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
