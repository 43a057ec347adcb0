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

// maxBodyBytes limits the body of a chat completion request or a cache import.
const maxBodyBytes = 64 << 20

// Request headers that the engine evaluates.
const (
	HeaderRequestID = "X-Request-Id"
	// HeaderPriority is an integer; requests with a higher value run first. The default is 0.
	HeaderPriority = "X-Priority"
	// HeaderCacheGroup names the group under which cached prefixes can be exported.
	HeaderCacheGroup = "X-Cache-Group"
)

// idPrefix precedes the request ID in the ID of each response and event.
const idPrefix = "chatcmpl-"

// Positions passed to encodeChunk for chunks that do not hold a token.
const (
	chunkStart  = -1
	chunkFinish = -2
	chunkUsage  = -3
)

// Usage is the token count of a response.
type Usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	PromptDetails    PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails says how many prompt tokens came from the prefix cache.
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
	Index   int              `json:"index"`
	Delta   *responseMessage `json:"delta,omitempty"`
	Message *responseMessage `json:"message,omitempty"`
	Finish  *finishReason    `json:"finish_reason"`
}

type responseMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type finishReason string

var finishStop finishReason = "stop"

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

// newCompletion returns a response object without choices. The caller holds mu.
func (e *Engine) newCompletion(r *run, object string) completion {
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
	return &Usage{r.promptTokens(), r.generated, r.promptTokens() + r.generated, PromptDetails{r.cachedTokens}}
}

// encodeChunk returns the JSON of one event. position is the index of a token, or chunkStart,
// chunkFinish or chunkUsage. The caller holds mu.
func (e *Engine) encodeChunk(r *run, position int) string {
	chunk := e.newCompletion(r, "chat.completion.chunk")
	switch position {
	case chunkStart:
		chunk.Choices = []choice{{Delta: &responseMessage{Role: "assistant"}}}
	case chunkFinish:
		chunk.Choices = []choice{{Delta: &responseMessage{}, Finish: &finishStop}}
	case chunkUsage:
		chunk.Usage = r.usage()
	default:
		chunk.Choices = []choice{{Delta: &responseMessage{Content: r.answerTokens[position]}}}
	}
	text, _ := json.Marshal(chunk)
	return string(text)
}

// encodeForeignChunk returns a copy of the latest event with the ID of another request.
func encodeForeignChunk(r *run) string {
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
	r.crashEngine = containsMarker(body, e.Settings().CrashMarker)
	if err := e.submit(r); err != nil {
		if errors.Is(err, errEngineDown) {
			standin.Abort()
		}
		w.Header().Set("Retry-After", "1")
		writeAPIError(w, http.StatusServiceUnavailable, "overloaded_error", err)
		return
	}
	defer e.detach(r)
	if request.Stream {
		e.writeStream(w, req, r, 0)
		return
	}
	e.writeWhole(w, req, r)
}

func (e *Engine) newRun(header http.Header, request *chatRequest) (*run, error) {
	r := &run{
		id:          header.Get(HeaderRequestID),
		group:       header.Get(HeaderCacheGroup),
		model:       request.Model,
		prompt:      request.prompt(),
		contentHash: request.contentHash(),
		streamed:    request.Stream,
	}
	r.answerTokens = generateTokens(r.prompt, request.answerLength())
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

// runSnapshot is the state of a run at one time, as its readers see it.
type runSnapshot struct {
	events  []string
	state   State
	changed <-chan struct{}
}

// snapshotAfter returns a snapshot with all events but the first n.
func (e *Engine) snapshotAfter(r *run, n int) runSnapshot {
	e.mu.Lock()
	defer e.mu.Unlock()
	return runSnapshot{r.events[min(n, len(r.events)):], r.state, r.changed}
}

// writeStream sends all events but the first n. It aborts the connection if the run is cancelled or broken,
// and ends the stream about halfway through the tokens, without [DONE], if r.truncate is set.
func (e *Engine) writeStream(w http.ResponseWriter, req *http.Request, r *run, n int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	flusher := http.NewResponseController(w)
	for {
		p := e.snapshotAfter(r, n)
		for _, event := range p.events {
			n++
			if r.truncate && n > len(r.answerTokens)/2 {
				return
			}
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, event)
		}
		if p.state == StateFinished {
			fmt.Fprint(w, "data: [DONE]\n\n")
			return
		}
		abortIfFailed(p.state)
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

// abortIfFailed aborts the connection if the run was cancelled or broken.
func abortIfFailed(state State) {
	if state == StateCancelled || state == StateBroken {
		standin.Abort()
	}
}

// writeWhole responds with a single JSON object once the run has finished.
func (e *Engine) writeWhole(w http.ResponseWriter, req *http.Request, r *run) {
	for {
		p := e.snapshotAfter(r, 0)
		if p.state == StateFinished {
			standin.WriteJSON(w, http.StatusOK, e.wholeResponse(r))
			return
		}
		abortIfFailed(p.state)
		select {
		case <-req.Context().Done():
			return
		case <-p.changed:
		}
	}
}

func (e *Engine) wholeResponse(r *run) completion {
	e.mu.Lock()
	defer e.mu.Unlock()
	response := e.newCompletion(r, "chat.completion")
	message := &responseMessage{Role: "assistant", Content: strings.Join(r.answerTokens, "")}
	response.Choices = []choice{{Message: message, Finish: &finishStop}}
	response.Usage = r.usage()
	return response
}

var errUnknownRequest = errors.New("no such request")

// serveResume streams all events of a run but the first N, given as ?after=N.
func (e *Engine) serveResume(w http.ResponseWriter, req *http.Request) {
	after, err := parseUintParam(req, "after")
	if err != nil {
		writeAPIError(w, http.StatusBadRequest, "invalid_request_error", err)
		return
	}
	r := e.attach(req.PathValue("id"))
	if r == nil {
		writeAPIError(w, http.StatusNotFound, "not_found_error", errUnknownRequest)
		return
	}
	defer e.detach(r)
	e.writeStream(w, req, r, int(after))
}

// CancelResponse is the body of the response to DELETE /v1/requests/{id}.
type CancelResponse struct {
	// State is the state after the call. It is finished if the run had finished before.
	State State `json:"state"`
	// Started is false if the run never got a slot and never will.
	Started bool `json:"started"`
}

// serveCancel cancels the latest run with the given ID.
func (e *Engine) serveCancel(w http.ResponseWriter, req *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.runs[req.PathValue("id")]
	if r == nil {
		writeAPIError(w, http.StatusNotFound, "not_found_error", errUnknownRequest)
		return
	}
	e.end(r, StateCancelled)
	standin.WriteJSON(w, http.StatusOK, CancelResponse{r.state, r.started})
}
