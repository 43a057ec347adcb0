// Package chat is the dialect of model engines with the usual chat-completions HTTP interface.
package chat

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"jacinthfork.example/jacinthfork/dialect"
	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/kernel/settings"
	"jacinthfork.example/jacinthfork/verdict"
)

func init() {
	kernel.Register(kernel.KindDialect, "chat", func() any {
		return &Chat{
			MaxConnections: 256, EchoID: true, IDPrefix: "chatcmpl-", HealthPath: "/load",
			MaxResponseBytes: 16 << 20,
		}
	})
}

// Chat talks to one model engine.
type Chat struct {
	// BaseURL is the address of the engine.
	BaseURL settings.URL `toml:"base_url" required:"true"`
	// MaxConnections bounds idle connections.
	MaxConnections int `toml:"max_connections" min:"1" max:"4096"`
	// EchoID is set when the engine puts X-Request-Id into the id of its responses. Each event is
	// then checked, so that a response of another request is never passed on.
	EchoID bool `toml:"echo_id"`
	// IDPrefix is what the engine puts before X-Request-Id.
	IDPrefix string `toml:"id_prefix"`
	// HealthPath is read to find out whether the engine is up; any complete response counts.
	HealthPath string `toml:"health_path"`
	// MaxResponseBytes bounds a response that is not streamed.
	MaxResponseBytes int `toml:"max_response_bytes" min:"1024" max:"268435456"`

	client *http.Client
}

// Provision implements kernel.Provisioner.
func (c *Chat) Provision(*kernel.Context) error {
	c.client = dialect.NewHTTPClient(c.MaxConnections)
	return nil
}

// Run implements dialect.Dialect. For a stream each call of sink.Data is the data of one event;
// the final [DONE] marker is consumed, and its absence is an error.
func (c *Chat) Run(ctx context.Context, req *dialect.Request, sink dialect.Sink) (dialect.Usage, error) {
	resp, err := c.send(ctx, req)
	if err != nil {
		return dialect.Usage{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return dialect.Usage{}, c.refused(resp)
	}
	if err := sink.Head(resp.StatusCode, dialect.ForwardHeaders(resp.Header)); err != nil {
		return dialect.Usage{}, err
	}
	if req.Stream {
		return c.events(ctx, req, resp.Body, sink)
	}
	return c.whole(ctx, req, resp.Body, sink)
}

func (c *Chat) send(ctx context.Context, req *dialect.Request) (*http.Response, error) {
	out, err := http.NewRequestWithContext(ctx, req.Method, string(c.BaseURL)+req.Path, bytes.NewReader(req.Body))
	if err != nil {
		return nil, verdict.Wrap(verdict.NotRun, verdict.ReasonBadRequest, err)
	}
	for _, h := range req.Headers {
		out.Header.Add(h.Name, h.Value)
	}
	out.Header.Set("Content-Type", "application/json")
	out.Header.Set("X-Request-Id", req.Attempt)
	out.Header.Set("X-Priority", strconv.Itoa(req.Priority))
	resp, err := c.client.Do(out)
	if err != nil {
		return nil, dialect.DispatchError(ctx, err)
	}
	return resp, nil
}

// errorTextBytes bounds how much of an engine's error body is kept.
const errorTextBytes = 512

// refused turns an engine's error status into an error. A 4xx status means that the engine did not
// run the request.
func (c *Chat) refused(resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, errorTextBytes))
	detail := fmt.Sprintf("engine answered %d: %s", resp.StatusCode, strings.TrimSpace(string(text)))
	switch {
	case resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable:
		return verdict.New(verdict.NotRun, verdict.ReasonOverCapacity, detail)
	case resp.StatusCode >= 400 && resp.StatusCode < 500:
		return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, detail)
	}
	return verdict.New(verdict.Unknown, verdict.ReasonEngineError, detail)
}

// event holds the fields of a response that the dialect reads.
type event struct {
	ID    string `json:"id"`
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		PromptDetails    struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

func (c *Chat) events(ctx context.Context, req *dialect.Request, body io.Reader, sink dialect.Sink) (dialect.Usage, error) {
	var usage dialect.Usage
	reader := newEventReader(body, c.MaxResponseBytes)
	for {
		data, err := reader.next()
		if err == io.EOF {
			return usage, dialect.StreamError(ctx, fmt.Errorf("event stream ended without [DONE]"))
		}
		if err != nil {
			return usage, dialect.StreamError(ctx, err)
		}
		if string(data) == "[DONE]" {
			return usage, nil
		}
		if err := c.check(req, data, &usage); err != nil {
			return usage, err
		}
		if err := sink.Data(data); err != nil {
			return usage, err
		}
	}
}

func (c *Chat) whole(ctx context.Context, req *dialect.Request, body io.Reader, sink dialect.Sink) (dialect.Usage, error) {
	var usage dialect.Usage
	data, err := io.ReadAll(io.LimitReader(body, int64(c.MaxResponseBytes)+1))
	if err != nil {
		return usage, dialect.StreamError(ctx, err)
	}
	if len(data) > c.MaxResponseBytes {
		return usage, verdict.New(verdict.Ran, verdict.ReasonTooLarge, "response exceeds max_response_bytes")
	}
	if err := c.check(req, data, &usage); err != nil {
		return usage, err
	}
	return usage, sink.Data(data)
}

// check verifies that data is JSON of this attempt and takes its usage.
func (c *Chat) check(req *dialect.Request, data []byte, usage *dialect.Usage) error {
	var e event
	if err := json.Unmarshal(data, &e); err != nil {
		return verdict.Wrap(verdict.Unknown, verdict.ReasonTruncated, fmt.Errorf("response is not JSON: %w", err))
	}
	if c.EchoID && e.ID != c.IDPrefix+req.Attempt {
		return verdict.New(verdict.Unknown, verdict.ReasonForeignChunk, "response carries another request's id")
	}
	if e.Usage != nil {
		usage.PromptTokens = e.Usage.PromptTokens
		usage.CompletionTokens = e.Usage.CompletionTokens
		usage.CachedTokens = e.Usage.PromptDetails.CachedTokens
	}
	return nil
}
