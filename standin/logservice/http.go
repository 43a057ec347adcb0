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

// Limits of the HTTP interface. maxReadWait limits the wait parameter of a read.
const (
	maxBodyBytes     = 8 << 20
	defaultReadLimit = 1000
	maxReadWait      = time.Minute
)

// AppendResponse is the body of the response to a successful append.
type AppendResponse struct {
	Offset uint64 `json:"offset"`
}

// ErrorResponse is the body of an error response. If MayBeStored is false, an append is guaranteed not to
// be stored, now or later.
type ErrorResponse struct {
	Error       string `json:"error"`
	MayBeStored bool   `json:"may_be_stored"`
}

// RecordResponse is one record in a ReadResponse. The payload is base64-encoded.
type RecordResponse struct {
	Offset  uint64    `json:"offset"`
	Time    time.Time `json:"time"`
	Payload []byte    `json:"payload"`
}

// ReadResponse is the body of the response to a read.
type ReadResponse struct {
	Records  []RecordResponse `json:"records"`
	Earliest uint64           `json:"earliest"`
	Next     uint64           `json:"next"`
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
		writeError(w, &services.AppendError{Err: fmt.Errorf("%w: %w", ErrRecordTooLarge, err)})
		return
	}
	offset, err := s.Append(r.Context(), r.PathValue("stream"), payload)
	if err != nil {
		writeError(w, err)
		return
	}
	standin.WriteJSON(w, http.StatusCreated, AppendResponse{Offset: offset})
}

// writeError sends an error response. For a lost response it aborts the connection, which is what a caller
// sees of a real loss.
func writeError(w http.ResponseWriter, err error) {
	if errors.Is(err, ErrResponseLost) {
		standin.Abort()
	}
	var appendError *services.AppendError
	mayBeStored := errors.As(err, &appendError) && appendError.MayBeStored
	standin.WriteJSON(w, statusCode(err), ErrorResponse{Error: err.Error(), MayBeStored: mayBeStored})
}

func statusCode(err error) int {
	switch {
	case errors.Is(err, ErrRecordTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrRateLimited):
		return http.StatusTooManyRequests
	default:
		return http.StatusServiceUnavailable
	}
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	from, limit, wait, err := parseReadQuery(r)
	if err != nil {
		standin.WriteError(w, http.StatusBadRequest, err)
		return
	}
	page, err := s.Read(r.Context(), r.PathValue("stream"), from, limit, wait)
	if err != nil {
		writeError(w, err)
		return
	}
	response := ReadResponse{Records: []RecordResponse{}, Earliest: page.Earliest, Next: page.Next}
	for _, record := range page.Records {
		response.Records = append(response.Records, RecordResponse(record))
	}
	standin.WriteJSON(w, http.StatusOK, response)
}

// parseReadQuery parses the parameters from (default 0), limit (default 1000) and wait (a duration, default
// 0, capped at one minute).
func parseReadQuery(r *http.Request) (from uint64, limit int, wait time.Duration, err error) {
	query := r.URL.Query()
	limit = defaultReadLimit
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
	return from, limit, min(wait, maxReadWait), nil
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
