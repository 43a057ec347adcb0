package logservice

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"jacinthfork.example/jacinthfork/services"
	"jacinthfork.example/jacinthfork/standin"
)

// Limits of the HTTP interface.
const (
	maxBodyBytes = 8 << 20
	defaultLimit = 1000
	maxWait      = time.Minute
)

// AppendAnswer is the body of a successful append.
type AppendAnswer struct {
	Offset uint64 `json:"offset"`
}

// ErrorAnswer is the body of a failed request. MayBeStored false on an append is proof that the
// record is not stored, now or later.
type ErrorAnswer struct {
	Error       string `json:"error"`
	MayBeStored bool   `json:"may_be_stored"`
}

// RecordAnswer is one record of a read. The payload is in base64.
type RecordAnswer struct {
	Offset  uint64    `json:"offset"`
	Time    time.Time `json:"time"`
	Payload []byte    `json:"payload"`
}

// PageAnswer is the body of a read.
type PageAnswer struct {
	Records  []RecordAnswer `json:"records"`
	Earliest uint64         `json:"earliest"`
	Next     uint64         `json:"next"`
}

func (s *Store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream...}", s.serveAppend)
	mux.HandleFunc("GET /streams/{stream...}", s.serveRead)
	mux.Handle("/inspect/settings", standin.SettingsHandler(s.Settings, s.SetSettings))
	mux.HandleFunc("GET /inspect/counts", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, s.Counters())
	})
	mux.HandleFunc("GET /inspect/streams", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, s.Streams())
	})
	mux.HandleFunc("POST /inspect/expire", s.serveExpire)
	return mux
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	payload, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, &services.AppendError{Err: fmt.Errorf("%w: %w", ErrTooLarge, err)})
		return
	}
	offset, err := s.Append(r.Context(), r.PathValue("stream"), payload)
	if err != nil {
		writeError(w, err)
		return
	}
	standin.WriteJSON(w, http.StatusCreated, AppendAnswer{Offset: offset})
}

// writeError breaks the connection for a lost answer, as a real loss would look to the caller.
func writeError(w http.ResponseWriter, err error) {
	if errors.Is(err, ErrAnswerLost) {
		standin.Abort()
	}
	var appendError *services.AppendError
	mayBeStored := errors.As(err, &appendError) && appendError.MayBeStored
	standin.WriteJSON(w, statusOf(err), ErrorAnswer{Error: err.Error(), MayBeStored: mayBeStored})
}

func statusOf(err error) int {
	switch {
	case errors.Is(err, ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrRate):
		return http.StatusTooManyRequests
	default:
		return http.StatusServiceUnavailable
	}
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	from, limit, wait, err := readQuery(r)
	if err != nil {
		standin.WriteError(w, http.StatusBadRequest, err)
		return
	}
	page, err := s.Read(r.Context(), r.PathValue("stream"), from, limit, wait)
	if err != nil {
		writeError(w, err)
		return
	}
	answer := PageAnswer{Records: []RecordAnswer{}, Earliest: page.Earliest, Next: page.Next}
	for _, record := range page.Records {
		answer.Records = append(answer.Records, RecordAnswer(record))
	}
	standin.WriteJSON(w, http.StatusOK, answer)
}

// readQuery reads from (0), limit (1000) and wait (a duration, at most a minute) with their defaults.
func readQuery(r *http.Request) (from uint64, limit int, wait time.Duration, err error) {
	query := r.URL.Query()
	limit = defaultLimit
	if text := query.Get("from"); text != "" {
		if from, err = strconv.ParseUint(text, 10, 64); err != nil {
			return 0, 0, 0, fmt.Errorf("from: %w", err)
		}
	}
	if text := query.Get("limit"); text != "" {
		if limit, err = strconv.Atoi(text); err != nil {
			return 0, 0, 0, fmt.Errorf("limit: %w", err)
		}
	}
	if text := query.Get("wait"); text != "" {
		if wait, err = time.ParseDuration(text); err != nil {
			return 0, 0, 0, fmt.Errorf("wait: %w", err)
		}
	}
	return from, limit, min(wait, maxWait), nil
}

// serveExpire drops the records of a stream below an offset: ?stream=NAME&before=OFFSET.
func (s *Store) serveExpire(w http.ResponseWriter, r *http.Request) {
	before, err := strconv.ParseUint(r.FormValue("before"), 10, 64)
	if err != nil {
		standin.WriteError(w, http.StatusBadRequest, fmt.Errorf("before: %w", err))
		return
	}
	s.Expire(r.FormValue("stream"), before)
	w.WriteHeader(http.StatusNoContent)
}
