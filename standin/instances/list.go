// Package instances is a stand-in for the platform's instance list. A List implements
// services.InstanceList in memory, and its HTTP handler serves it to other processes. Changes become
// visible after a settable lag, which can differ between readers.
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

// ErrOutage is the error of a List that is down.
var ErrOutage = errors.New("instance list is down")

// maxLag bounds the lag, because older changes are folded into the base list.
const maxLag = time.Hour

// maxInstanceBytes bounds the body of a registration.
const maxInstanceBytes = 64 << 10

// Settings are the faults of a List. The keys are those of the settings file and of
// /inspect/settings.
type Settings struct {
	// Lag is the time after which a change becomes visible.
	Lag time.Duration `toml:"lag" min:"0s" max:"1h"`
	// ReaderLag replaces Lag for single readers, by the name that the reader gives.
	ReaderLag map[string]time.Duration `toml:"reader_lag" min:"0s" max:"1h"`
	// Delay passes before each answer.
	Delay time.Duration `toml:"delay" min:"0s"`
	// Outage refuses reads.
	Outage bool `toml:"outage"`
}

// Counters count requests since the start.
type Counters struct {
	Reads   int64 `json:"reads"`
	Changes int64 `json:"changes"`
	// ReadsBy counts reads by the reader's name.
	ReadsBy map[string]int64 `json:"reads_by"`
}

// List is an in-memory instance list. It is safe for concurrent use.
type List struct {
	standin.Server

	mu       sync.Mutex
	settings Settings
	counters Counters
	base     map[string]services.Instance
	changes  []change // newer than maxLag, oldest first
}

type change struct {
	at       time.Time
	instance services.Instance
	removed  bool
}

var _ services.InstanceList = (*List)(nil)

// New returns an empty list.
func New(settings Settings) *List {
	l := &List{settings: settings, base: make(map[string]services.Instance)}
	l.counters.ReadsBy = make(map[string]int64)
	l.Server.Handler = l.handler()
	return l
}

// Settings returns the settings in force.
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

// Counters returns the counters.
func (l *List) Counters() Counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	counters := l.counters
	counters.ReadsBy = maps.Clone(counters.ReadsBy)
	return counters
}

// Register adds an instance or replaces the one of the same ID.
func (l *List) Register(instance services.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(change{instance: instance})
}

// Leave marks an instance as leaving and reports whether it is registered.
func (l *List) Leave(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	instance, ok := l.state(time.Now())[id]
	if !ok {
		return false
	}
	instance.Leaving = true
	l.add(change{instance: instance})
	return true
}

// Remove drops an instance and reports whether it was registered.
func (l *List) Remove(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	instance, ok := l.state(time.Now())[id]
	if ok {
		l.add(change{instance: instance, removed: true})
	}
	return ok
}

// List implements services.InstanceList for a reader without a name.
func (l *List) List(ctx context.Context) ([]services.Instance, error) { return l.ListFor(ctx, "") }

// ListFor returns the list as the named reader sees it.
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
	return sorted(l.state(time.Now().Add(-lag))), nil
}

// Truth returns the list without lag.
func (l *List) Truth() []services.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	return sorted(l.state(time.Now()))
}

func (l *List) add(c change) {
	c.at = time.Now()
	l.changes = append(l.changes, c)
	l.counters.Changes++
	for len(l.changes) > 0 && c.at.Sub(l.changes[0].at) > maxLag {
		l.changes[0].apply(l.base)
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

// state returns the instances with all changes up to the given time. The caller holds mu.
func (l *List) state(until time.Time) map[string]services.Instance {
	state := make(map[string]services.Instance, len(l.base))
	for id, instance := range l.base {
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

func sorted(state map[string]services.Instance) []services.Instance {
	list := make([]services.Instance, 0, len(state))
	for _, instance := range state {
		list = append(list, instance)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// ListAnswer is the body of a read.
type ListAnswer struct {
	Instances []services.Instance `json:"instances"`
}

func (l *List) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", l.serveList)
	mux.HandleFunc("POST /instances", l.serveRegister)
	mux.HandleFunc("POST /instances/{id}/leaving", func(w http.ResponseWriter, r *http.Request) {
		answerChange(w, r, l.Leave(r.PathValue("id")))
	})
	mux.HandleFunc("DELETE /instances/{id}", func(w http.ResponseWriter, r *http.Request) {
		answerChange(w, r, l.Remove(r.PathValue("id")))
	})
	mux.Handle("/inspect/settings", standin.SettingsHandler(l.Settings, l.SetSettings))
	mux.HandleFunc("GET /inspect/counts", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, l.Counters())
	})
	mux.HandleFunc("GET /inspect/truth", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, ListAnswer{l.Truth()})
	})
	return mux
}

// serveList answers with the list as the reader named by ?reader= sees it.
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
	standin.WriteJSON(w, http.StatusOK, ListAnswer{list})
}

// entityTag identifies the content of a list, so that a reader with the same one is not sent it again.
func entityTag(list []services.Instance) string {
	digest := xxhash.New()
	_ = json.NewEncoder(digest).Encode(list)
	return fmt.Sprintf(`"%016x"`, digest.Sum64())
}

func (l *List) serveRegister(w http.ResponseWriter, r *http.Request) {
	var instance services.Instance
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxInstanceBytes)).Decode(&instance)
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

func answerChange(w http.ResponseWriter, r *http.Request, found bool) {
	if !found {
		standin.WriteError(w, http.StatusNotFound, fmt.Errorf("no instance %q", r.PathValue("id")))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
