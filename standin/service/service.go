// Package service is a stand-in for a plain HTTP service behind a sidecar. It counts how often each key and
// body was executed, and can be made to fail before or after executing a request.
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

// maxBodyBytes limits the body of a request.
const maxBodyBytes = 8 << 20

// DefaultKeyHeader is the header of the IETF draft for idempotency keys.
const DefaultKeyHeader = "Idempotency-Key"

// Fault is a failure that is injected into a request.
type Fault string

// Kinds of fault.
const (
	// FaultNone means normal service.
	FaultNone Fault = "none"
	// FaultRefuse responds with status 503 without executing the request.
	FaultRefuse Fault = "refuse"
	// FaultDropBefore aborts the connection without executing the request.
	FaultDropBefore Fault = "drop-before"
	// FaultDropAfter aborts the connection after executing the request.
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

// Settings configure the behaviour of a Service. With the zero value it executes requests at once and
// responds with status 200. The keys are those of the settings file and of /inspect/settings.
type Settings struct {
	// KeyHeader is the name of the header with the idempotency key. Empty means DefaultKeyHeader.
	KeyHeader string `toml:"key_header"`
	// Fault applies to the next FaultCount requests whose body contains FaultBody, or to all such requests
	// if FaultCount is 0.
	Fault      Fault  `toml:"fault"`
	FaultCount int    `toml:"fault_count" min:"0"`
	FaultBody  string `toml:"fault_body"`
	// DelayBefore and DelayAfter are the delays before and after the execution. A request is executed even
	// if its caller has disconnected.
	DelayBefore time.Duration `toml:"delay_before" min:"0s"`
	DelayAfter  time.Duration `toml:"delay_after" min:"0s"`
	// Status is the response status of executed requests. 0 means 200.
	Status int `toml:"status" min:"0" max:"599"`
}

// Execution counts the executions of requests with the same key, method, path and body.
type Execution struct {
	Key    string `json:"key"`
	Method string `json:"method"`
	Path   string `json:"path"`
	// Body is the xxhash64 of the request body in hexadecimal.
	Body  string `json:"body"`
	Count int    `json:"count"`
}

// Counters are cumulative since the start.
type Counters struct {
	Requests   int64 `json:"requests"`
	Executions int64 `json:"executions"`
	// RepeatedActions counts the actions that were executed more than once. An action is a combination of
	// key, method and path; requests without a key are not counted.
	RepeatedActions int64 `json:"repeated_actions"`
	// MaxConcurrent is the largest number of requests in flight at one time.
	MaxConcurrent int64 `json:"max_concurrent"`
	Refused       int64 `json:"refused"`
	DroppedBefore int64 `json:"dropped_before"`
	DroppedAfter  int64 `json:"dropped_after"`
}

// Response is the body of the response to an executed request.
type Response struct {
	Key  string `json:"key"`
	Path string `json:"path"`
	// Body is the xxhash64 of the request body in hexadecimal.
	Body string `json:"body"`
	// Execution is the number of executions of the key so far, so 1 for the first.
	Execution int `json:"execution"`
}

// Service simulates a backend service and records its executions. It is safe for concurrent use.
type Service struct {
	standin.Server

	mu         sync.Mutex
	settings   Settings
	counters   Counters
	inFlight   int64
	executions []*Execution // ordered by first execution
	byContent  map[Execution]*Execution
	byKey      map[string]int
	byAction   map[action]int
}

type action struct{ key, method, path string }

// New returns a Service without executions.
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

// Settings returns the current settings. FaultCount is the number of faults that remain.
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

// Counters returns a copy of the counters.
func (s *Service) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// Executions returns how often requests with the given key were executed, whatever their body.
func (s *Service) Executions(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byKey[key]
}

// AllExecutions returns the execution counts of all requests, ordered by first execution.
func (s *Service) AllExecutions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]Execution, len(s.executions))
	for i, e := range s.executions {
		all[i] = *e
	}
	return all
}

// BodyHash returns the hash of a body as used in Response and Execution.
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
	settings, fault := s.beginRequest(body)
	defer s.endRequest()
	time.Sleep(settings.DelayBefore)
	switch fault {
	case FaultRefuse:
		standin.WriteError(w, http.StatusServiceUnavailable, fmt.Errorf("refused as scripted"))
		return
	case FaultDropBefore:
		standin.Abort()
	}
	response := s.execute(settings, r, body)
	time.Sleep(settings.DelayAfter)
	if fault == FaultDropAfter {
		standin.Abort()
	}
	writeResponse(w, settings.Status, response)
}

func writeResponse(w http.ResponseWriter, status int, response Response) {
	if status == 0 {
		status = http.StatusOK
	}
	text, err := json.Marshal(response)
	if err != nil {
		standin.WriteError(w, http.StatusInternalServerError, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}
