package router

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"jacinthfork.example/jacinthfork/internal/requestbody"
	"jacinthfork.example/jacinthfork/verdict"
	"jacinthfork.example/jacinthfork/wire"
)

// Length limits of values that callers choose.
const (
	maxNameBytes      = 128
	maxRequestIDBytes = 200
)

// handler returns the HTTP handler for callers.
func (r *Router) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", r.endpoint(r.parseChat))
	mux.HandleFunc("/services/{pool}/{path...}", r.endpoint(r.parseService))
	mux.HandleFunc("/", r.endpoint(func(*callerRequest) (*call, error) {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonUnknownPool, "there is no such endpoint")
	}))
	return mux
}

// callerRequest is a request of a caller with the values that all endpoints need.
type callerRequest struct {
	http             *http.Request
	w                http.ResponseWriter
	id               string
	callerSuppliedID bool
	organisation     string
	body             []byte
	arrived          time.Time
}

// endpoint returns a handler that runs the checks common to all endpoints, parses the request with parse
// and serves the call.
func (r *Router) endpoint(parse func(*callerRequest) (*call, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, h *http.Request) {
		defer r.openRequests.Add(-1)
		if r.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		in := &callerRequest{http: h, w: w, arrived: time.Now()}
		if r.openRequests.Add(1) > int64(r.settings.Callers.MaxRequests) {
			r.rejectUnread(in, verdict.New(verdict.NotRun, verdict.ReasonOverCapacity, "this router has no free request slot"))
			return
		}
		timeout, err := r.checkHead(in)
		if err != nil {
			r.rejectUnread(in, verdict.As(err))
			return
		}
		c, err := r.readCall(in, parse)
		if err != nil {
			r.reject(in, verdict.As(err))
			return
		}
		ctx, cancel := context.WithTimeout(h.Context(), timeout)
		defer cancel()
		r.serve(ctx, c)
	}
}

// checkHead checks what the header of a request says and returns the request's time limit.
func (r *Router) checkHead(in *callerRequest) (time.Duration, error) {
	if err := r.readIdentity(in); err != nil {
		return 0, err
	}
	if err := r.checkHeaders(in.http); err != nil {
		return 0, err
	}
	return r.requestTimeout(in.http)
}

// readCall reads the body of a request and parses it.
func (r *Router) readCall(in *callerRequest, parse func(*callerRequest) (*call, error)) (*call, error) {
	if err := r.readBody(in); err != nil {
		return nil, err
	}
	return parse(in)
}

// checkHeaders limits the size of the header fields. net/http has its own limit, twice as high, beyond
// which it answers 431 without a verdict.
func (r *Router) checkHeaders(h *http.Request) error {
	size := len(h.RequestURI)
	for name, values := range h.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	if size > r.settings.Callers.MaxHeaderBytes {
		return verdict.New(verdict.NotRun, verdict.ReasonTooLarge, fmt.Sprintf("the header fields exceed %d bytes", r.settings.Callers.MaxHeaderBytes))
	}
	return nil
}

// rejectUnread answers a request whose body was not read.
func (r *Router) rejectUnread(in *callerRequest, err *verdict.Error) {
	requestbody.Discard(in.w, in.http)
	r.reject(in, err)
}

// reject answers a request that was not sent to any sidecar.
func (r *Router) reject(in *callerRequest, err *verdict.Error) {
	r.observeRejected(in.organisation, err)
	r.counters.Map("verdicts").Add(err.Verdict.String(), 1)
	r.counters.Map("outcomes").Add(string(err.Reason), 1)
	headers := make(http.Header)
	headers.Set(headerRequestID, in.id)
	writeProblem(in.w, err, headers)
}

// readIdentity reads and checks the request ID and the organisation.
func (r *Router) readIdentity(in *callerRequest) error {
	in.id = in.http.Header.Get(headerRequestID)
	in.callerSuppliedID = in.id != ""
	if !in.callerSuppliedID {
		in.id = uuid.NewString()
	}
	if !isVisibleASCII(in.id, maxRequestIDBytes) {
		in.id = uuid.NewString()
		return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "X-Request-Id is too long or has characters other than visible ASCII")
	}
	in.organisation = in.http.Header.Get(headerOrganisation)
	if in.organisation == "" {
		return verdict.New(verdict.NotRun, verdict.ReasonMissingOrganisation, headerOrganisation+" is missing")
	}
	if !isVisibleASCII(in.organisation, maxNameBytes) {
		return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, headerOrganisation+" is too long or has characters other than visible ASCII")
	}
	return nil
}

// isVisibleASCII reports whether text has 1 to maxBytes bytes, all of them visible ASCII characters.
func isVisibleASCII(text string, maxBytes int) bool {
	if len(text) == 0 || len(text) > maxBytes {
		return false
	}
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}

// requestTimeout returns the timeout that the request asks for, within the limit, or the default.
func (r *Router) requestTimeout(h *http.Request) (time.Duration, error) {
	text := h.Header.Get(headerTimeout)
	if text == "" {
		return r.settings.Callers.Timeout, nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds > 0) {
		return 0, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, fmt.Sprintf("%s must be a number of seconds above 0", headerTimeout))
	}
	limit := r.settings.Callers.MaxTimeout
	if seconds >= limit.Seconds() {
		return limit, nil
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// readBody reads the body within the limits of size and time.
func (r *Router) readBody(in *callerRequest) error {
	controller := http.NewResponseController(in.w)
	if err := controller.SetReadDeadline(time.Now().Add(r.settings.Callers.BodyTimeout)); err != nil {
		return verdict.Wrap(verdict.NotRun, verdict.ReasonInternal, err)
	}
	body, err := requestbody.Read(in.w, in.http, int64(r.settings.Callers.MaxBodyBytes))
	var tooLarge *requestbody.TooLargeError
	if errors.As(err, &tooLarge) {
		return verdict.New(verdict.NotRun, verdict.ReasonTooLarge, tooLarge.Error())
	}
	if err != nil {
		return verdict.Wrap(verdict.NotRun, verdict.ReasonBadRequest, fmt.Errorf("reading the body: %w", err))
	}
	if err := controller.SetReadDeadline(time.Time{}); err != nil {
		return verdict.Wrap(verdict.NotRun, verdict.ReasonInternal, err)
	}
	in.body = body
	return nil
}

// newCall returns a call with the fields that all endpoints share.
func (r *Router) newCall(in *callerRequest, pool string) *call {
	return &call{
		id: in.id, callerSuppliedID: in.callerSuppliedID, organisation: in.organisation, pool: pool, body: in.body,
		template: &wire.ExecuteRequest{Method: in.http.Method}, started: in.arrived,
	}
}
