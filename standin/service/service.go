// Package service is a stand-in for a plain service behind a sidecar. It counts how often each key
// and body was executed, and fails as scripted before or after the effect of a request.
package service

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthfork.example/jacinthfork/standin"
)

// maxBodyBytes bounds a request.
const maxBodyBytes = 8 << 20

// DefaultKeyHeader is the header of the IETF draft for idempotency keys.
const DefaultKeyHeader = "Idempotency-Key"

// Fault is what goes wrong with a request.
type Fault string

// Faults.
const (
	// FaultNone is normal service.
	FaultNone Fault = "none"
	// FaultRefuse answers 503 without the effect.
	FaultRefuse Fault = "refuse"
	// FaultDropBefore breaks the connection without the effect.
	FaultDropBefore Fault = "drop-before"
	// FaultDropAfter breaks the connection after the effect.
	FaultDropAfter Fault = "drop-after"
)

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fault) UnmarshalText(text []byte) error {
	switch got := Fault(text); got {
	case "", FaultNone, FaultRefuse, FaultDropBefore, FaultDropAfter:
		*f = got
		return nil
	}
	return fmt.Errorf("%q is not none, refuse, drop-before or drop-after", text)
}

// Settings are the behaviour of a Service. The zero value executes at once and answers 200. The
// keys are those of the settings file and of /inspect/settings.
type Settings struct {
	// KeyHeader names the header with the key of an execution. Empty is DefaultKeyHeader.
	KeyHeader string `toml:"key_header"`
	// Fault applies to the next FaultCount requests whose body contains FaultBody, or to all of them
	// when FaultCount is 0.
	Fault      Fault  `toml:"fault"`
	FaultCount int    `toml:"fault_count" min:"0"`
	FaultBody  string `toml:"fault_body"`
	// DelayBefore and DelayAfter pass before and after the effect. A request is executed even when
	// its caller has gone meanwhile.
	DelayBefore time.Duration `toml:"delay_before" min:"0s"`
	DelayAfter  time.Duration `toml:"delay_after" min:"0s"`
	// Status is the status of an executed request. 0 is 200.
	Status int `toml:"status" min:"0" max:"599"`
}

// Execution counts the executions of one key and body.
type Execution struct {
	Key    string `json:"key"`
	Method string `json:"method"`
	Path   string `json:"path"`
	// Body is the xxhash64 of the body in hexadecimal.
	Body  string `json:"body"`
	Count int    `json:"count"`
}

// Counters count requests since the start.
type Counters struct {
	Requests   int64 `json:"requests"`
	Executions int64 `json:"executions"`
	// RepeatedActions counts the actions that were executed more than once. An action is a key with
	// method and path; requests without a key are not counted.
	RepeatedActions int64 `json:"repeated_actions"`
	// MaxConcurrent is the highest number of requests at one time.
	MaxConcurrent int64 `json:"max_concurrent"`
	Refused       int64 `json:"refused"`
	DroppedBefore int64 `json:"dropped_before"`
	DroppedAfter  int64 `json:"dropped_after"`
}

// Answer is the body of the answer to an executed request.
type Answer struct {
	Key  string `json:"key"`
	Path string `json:"path"`
	// Body is the xxhash64 of the request's body in hexadecimal.
	Body string `json:"body"`
	// Execution is 1 for the first execution of the key.
	Execution int `json:"execution"`
}

// Service is the stand-in. It is safe for concurrent use.
type Service struct {
	standin.Server

	mu         sync.Mutex
	settings   Settings
	counters   Counters
	concurrent int64
	executions []*Execution // in the order of the first execution
	byContent  map[Execution]*Execution
	byKey      map[string]int
	byAction   map[action]int
}

type action struct{ key, method, path string }

// New returns a service that has executed nothing.
func New(settings Settings) *Service {
	s := &Service{
		settings:  settings,
		byContent: make(map[Execution]*Execution),
		byKey:     make(map[string]int),
		byAction:  make(map[action]int),
	}
	s.Server.Handler = s.handler()
	return s
}

// Settings returns the settings in force. FaultCount is what is left of it.
func (s *Service) Settings() Settings {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settings
}

// SetSettings replaces the settings.
func (s *Service) SetSettings(settings Settings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings = settings
}

// Counters returns the counters.
func (s *Service) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// Executions returns the number of executions of a key, with any body.
func (s *Service) Executions(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byKey[key]
}

// AllExecutions returns each key and body that was executed.
func (s *Service) AllExecutions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]Execution, len(s.executions))
	for i, e := range s.executions {
		all[i] = *e
	}
	return all
}

// BodyHash returns the hash of a body as used in Answer and Execution.
func BodyHash(body []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(body)) }

func (s *Service) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.serve)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.Handle("/inspect/settings", standin.SettingsHandler(s.Settings, s.SetSettings))
	mux.HandleFunc("GET /inspect/counts", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, s.Counters())
	})
	mux.HandleFunc("GET /inspect/executions", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, s.AllExecutions())
	})
	return mux
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		standin.WriteError(w, http.StatusBadRequest, err)
		return
	}
	settings, fault := s.begin(body)
	defer s.end()
	time.Sleep(settings.DelayBefore)
	switch fault {
	case FaultRefuse:
		standin.WriteError(w, http.StatusServiceUnavailable, fmt.Errorf("refused as scripted"))
		return
	case FaultDropBefore:
		standin.Abort()
	}
	answer := s.execute(settings, r, body)
	time.Sleep(settings.DelayAfter)
	if fault == FaultDropAfter {
		standin.Abort()
	}
	writeAnswer(w, settings.Status, answer)
}

func writeAnswer(w http.ResponseWriter, status int, answer Answer) {
	if status == 0 {
		status = http.StatusOK
	}
	text, err := json.Marshal(answer)
	if err != nil {
		standin.WriteError(w, http.StatusInternalServerError, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}
