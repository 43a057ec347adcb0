package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"jacinthfork.example/jacinthfork/standin"
)

// maxBodyBytes bounds a request.
const maxBodyBytes = 64 << 20

// Headers that the engine reads.
const (
	HeaderRequestID = "X-Request-Id"
	// HeaderPriority is a whole number; a higher one runs first. The default is 0.
	HeaderPriority = "X-Priority"
	// HeaderCacheGroup names the group of cached prefixes for export.
	HeaderCacheGroup = "X-Cache-Group"
)

// idPrefix precedes the request id in the id of each event.
const idPrefix = "chatcmpl-"

// Positions of chunks that are not tokens.
const (
	chunkStart  = -1
	chunkFinish = -2
	chunkUsage  = -3
)

// Usage is the token count of an answer.
type Usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	PromptDetails    PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails says how many prompt tokens came from the cache.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

type completion struct {
	ID          string   `json:"id"`
	Object      string   `json:"object"`
	Created     int64    `json:"created"`
	Model       string   `json:"model"`
	Fingerprint string   `json:"system_fingerprint"`
	Choices     []choice `json:"choices"`
	Usage       *Usage   `json:"usage,omitempty"`
}

type choice struct {
	Index   int          `json:"index"`
	Delta   *turn        `json:"delta,omitempty"`
	Message *turn        `json:"message,omitempty"`
	Finish  *finishCause `json:"finish_reason"`
}

type turn struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type finishCause string

var finishStop finishCause = "stop"

type apiError struct {
	Error apiErrorDetail `json:"error"`
}

type apiErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
}

func writeAPIError(w http.ResponseWriter, status int, kind string, err error) {
	standin.WriteJSON(w, status, apiError{apiErrorDetail{err.Error(), kind}})
}

func (e *Engine) frame(r *run, object string) completion {
	return completion{
		ID:          idPrefix + r.id,
		Object:      object,
		Created:     time.Now().Unix(),
		Model:       r.model,
		Fingerprint: e.orders.current.fingerprint(),
		Choices:     []choice{},
	}
}

func (r *run) usage() *Usage {
	return &Usage{r.promptTokens(), r.made, r.promptTokens() + r.made, PromptDetails{r.cached}}
}

// chunk returns the JSON of one event: the token at a position or one of the other chunks.
func (e *Engine) chunk(r *run, position int) string {
	frame := e.frame(r, "chat.completion.chunk")
	switch position {
	case chunkStart:
		frame.Choices = []choice{{Delta: &turn{Role: "assistant"}}}
	case chunkFinish:
		frame.Choices = []choice{{Delta: &turn{}, Finish: &finishStop}}
	case chunkUsage:
		frame.Usage = r.usage()
	default:
		frame.Choices = []choice{{Delta: &turn{Content: r.tokens[position]}}}
	}
	text, _ := json.Marshal(frame)
	return string(text)
}

// foreignChunk is an event that belongs to another request.
func foreignChunk(r *run) string {
	return strings.Replace(r.events[len(r.events)-1], idPrefix, idPrefix+"foreign-", 1)
}

func (e *Engine) serveChat(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxBodyBytes))
	if err != nil {
		writeAPIError(w, http.StatusBadRequest, "invalid_request_error", err)
		return
	}
	request, err := parseRequest(body)
	if err != nil {
		writeAPIError(w, http.StatusBadRequest, "invalid_request_error", err)
		return
	}
	r, err := e.newRun(req.Header, request)
	if err != nil {
		writeAPIError(w, http.StatusBadRequest, "invalid_request_error", err)
		return
	}
	r.crash = crashes(body, e.Settings().CrashMarker)
	if err := e.submit(r); err != nil {
		if errors.Is(err, errDown) {
			standin.Abort()
		}
		w.Header().Set("Retry-After", "1")
		writeAPIError(w, http.StatusServiceUnavailable, "overloaded_error", err)
		return
	}
	defer e.detach(r)
	if request.Stream {
		e.stream(w, req, r, 0)
		return
	}
	e.whole(w, req, r)
}

func (e *Engine) newRun(header http.Header, request *chatRequest) (*run, error) {
	r := &run{
		id:       header.Get(HeaderRequestID),
		group:    header.Get(HeaderCacheGroup),
		model:    request.Model,
		prompt:   request.prompt(),
		content:  request.contentHash(),
		streamed: request.Stream,
	}
	r.tokens = answer(r.prompt, request.answerTokens())
	if r.id == "" {
		r.id = fmt.Sprintf("local-%x", time.Now().UnixNano())
	}
	if text := header.Get(HeaderPriority); text != "" {
		priority, err := strconv.Atoi(text)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", HeaderPriority, err)
		}
		r.priority = priority
	}
	return r, nil
}

// progress is what a reader sees of a run.
type progress struct {
	events  []string
	state   State
	changed <-chan struct{}
}

// progressAfter returns the events after the first n.
func (e *Engine) progressAfter(r *run, n int) progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	return progress{r.events[min(n, len(r.events)):], r.state, r.changed}
}

// stream writes the events after the first n. It breaks the connection when the run ends before its
// time.
func (e *Engine) stream(w http.ResponseWriter, req *http.Request, r *run, n int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	flusher := http.NewResponseController(w)
	for {
		p := e.progressAfter(r, n)
		for _, event := range p.events {
			n++
			if r.truncate && n > len(r.tokens)/2 {
				return
			}
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, event)
		}
		if p.state == StateFinished {
			fmt.Fprint(w, "data: [DONE]\n\n")
			return
		}
		breakUnlessActive(p.state)
		if len(p.events) > 0 && flusher.Flush() != nil {
			return
		}
		select {
		case <-req.Context().Done():
			return
		case <-p.changed:
		}
	}
}

func breakUnlessActive(state State) {
	if state == StateCancelled || state == StateBroken {
		standin.Abort()
	}
}

// whole answers with one JSON object after the end of the run.
func (e *Engine) whole(w http.ResponseWriter, req *http.Request, r *run) {
	for {
		p := e.progressAfter(r, 0)
		if p.state == StateFinished {
			standin.WriteJSON(w, http.StatusOK, e.wholeAnswer(r))
			return
		}
		breakUnlessActive(p.state)
		select {
		case <-req.Context().Done():
			return
		case <-p.changed:
		}
	}
}

func (e *Engine) wholeAnswer(r *run) completion {
	e.mu.Lock()
	defer e.mu.Unlock()
	frame := e.frame(r, "chat.completion")
	message := &turn{Role: "assistant", Content: strings.Join(r.tokens, "")}
	frame.Choices = []choice{{Message: message, Finish: &finishStop}}
	frame.Usage = r.usage()
	return frame
}

var errNoRequest = errors.New("no such request")

// serveResume streams the events of a run after the first ?after=N.
func (e *Engine) serveResume(w http.ResponseWriter, req *http.Request) {
	after, err := queryNumber(req, "after")
	if err != nil {
		writeAPIError(w, http.StatusBadRequest, "invalid_request_error", err)
		return
	}
	r := e.attach(req.PathValue("id"))
	if r == nil {
		writeAPIError(w, http.StatusNotFound, "not_found_error", errNoRequest)
		return
	}
	defer e.detach(r)
	e.stream(w, req, r, int(after))
}

// CancelAnswer is the body of DELETE /v1/requests/{id}.
type CancelAnswer struct {
	// State is the state after the call: finished when the run had ended before.
	State State `json:"state"`
	// Started is false when the run never took a slot and never will.
	Started bool `json:"started"`
}

// serveCancel ends the last run of an id.
func (e *Engine) serveCancel(w http.ResponseWriter, req *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.runs[req.PathValue("id")]
	if r == nil {
		writeAPIError(w, http.StatusNotFound, "not_found_error", errNoRequest)
		return
	}
	e.end(r, StateCancelled)
	standin.WriteJSON(w, http.StatusOK, CancelAnswer{r.state, r.started})
}
