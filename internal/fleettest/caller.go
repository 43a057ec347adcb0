package fleettest

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"jacinthfork.example/jacinthfork/internal/httpcheck"
	"jacinthfork.example/jacinthfork/standin/service"
	"jacinthfork.example/jacinthfork/verdict"
)

// Reply is a response as its caller received it. Err is set when no response arrived or its body was
// truncated.
type Reply struct {
	Status  int
	Header  http.Header
	Body    []byte
	Verdict verdict.Verdict
	Err     error
}

// callerClient opens a connection for each request, because net/http may retry a request on a reused
// connection.
var callerClient = &http.Client{Transport: httpcheck.Transport(&http.Transport{DisableKeepAlives: true})}

// Do sends a request to the router on behalf of an organisation.
func (r *Router) Do(ctx context.Context, method, path, organisation, body string, header http.Header) Reply {
	request, err := http.NewRequestWithContext(ctx, method, r.URL+path, strings.NewReader(body))
	if err != nil {
		return Reply{Err: err}
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Jacinthfork-Organisation", organisation)
	response, err := callerClient.Do(request)
	if err != nil {
		return Reply{Err: err}
	}
	defer response.Body.Close()
	reply := Reply{Status: response.StatusCode, Header: response.Header}
	reply.Verdict, _ = verdict.Parse(response.Header.Get("Jacinthfork-Verdict"))
	reply.Body, reply.Err = io.ReadAll(response.Body)
	return reply
}

// ChatBody returns the body of a chat request with one message.
func ChatBody(pool, question string, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"messages":[{"role":"user","content":%q}]}`, pool, stream, question)
}

// Chat sends a chat request. ChatBody returns a suitable body.
func (r *Router) Chat(ctx context.Context, body string) Reply {
	return r.Do(ctx, http.MethodPost, "/v1/chat/completions", "org", body, nil)
}

// SendAction sends a non-idempotent action with an idempotency key to a pool of plain services.
func (r *Router) SendAction(ctx context.Context, pool, key, body string) Reply {
	header := http.Header{service.DefaultKeyHeader: {key}}
	return r.Do(ctx, http.MethodPost, "/services/"+pool+"/orders", "org", body, header)
}

type completion struct {
	Choices []struct {
		Message struct{ Content string }
		Delta   struct{ Content string }
	}
}

// Content returns the text of a chat response and whether the response is complete.
func (r Reply) Content() (string, bool) {
	if r.Err != nil || r.Status != http.StatusOK {
		return "", false
	}
	if !strings.HasPrefix(r.Header.Get("Content-Type"), "text/event-stream") {
		return chunkContent(string(r.Body)), true
	}
	var text strings.Builder
	for line := range strings.Lines(string(r.Body)) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if ok && data == "[DONE]" {
			return text.String(), true
		}
		text.WriteString(chunkContent(data))
	}
	return text.String(), false
}

func chunkContent(data string) string {
	var c completion
	if json.Unmarshal([]byte(data), &c) != nil || len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Message.Content + c.Choices[0].Delta.Content
}

// Executions returns how many times the services of the fleet executed the action with the key.
func (f *Fleet) Executions(key string) int {
	f.t.Helper()
	total := 0
	for _, b := range f.Backends {
		if !strings.HasPrefix(b.Server.Spec.Name, "service") {
			continue
		}
		var executions []service.Execution
		Call(f.t, http.MethodGet, b.Server.URL+"/inspect/executions", "", &executions)
		for _, e := range executions {
			if e.Key == key {
				total += e.Count
			}
		}
	}
	return total
}
