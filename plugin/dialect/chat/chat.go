// Package chat implements the dialect of model engines that offer the common chat completions HTTP API.
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
			MaxResponseBytes: 16 << 20, MaxEventBytes: 1 << 20,
		}
	})
}

// Chat communicates with one model engine.
type Chat struct {
	// BaseURL is the URL of the engine.
	BaseURL settings.URL `toml:"base_url" required:"true"`
	// MaxConnections limits idle connections. It has no effect, because dialect.NewHTTPClient disables
	// keep-alives.
	MaxConnections int `toml:"max_connections" min:"1" max:"4096"`
	// EchoID is set when the engine includes X-Request-Id in the id of its responses. Each event and
	// each response that is not streamed is then checked, so that the response of another request is
	// never passed on.
	EchoID bool `toml:"echo_id"`
	// IDPrefix is the prefix that the engine adds to X-Request-Id.
	IDPrefix string `toml:"id_prefix"`
	// HealthPath is requested to check whether the engine is up; any status below 500 counts as up.
	HealthPath string `toml:"health_path"`
	// MaxResponseBytes limits a response that is not streamed, MaxEventBytes the data of one event of a stream.
	MaxResponseBytes int `toml:"max_response_bytes" min:"1024" max:"268435456"`
	MaxEventBytes    int `toml:"max_event_bytes" min:"1024" max:"16777216"`

	client *http.Client
}

// Provision implements kernel.Provisioner.
func (c *Chat) Provision(*kernel.Context) error {
	c.client = dialect.NewHTTPClient(c.MaxConnections)
	return nil
}

// Run implements dialect.Dialect. For a stream, each call of sink.Data passes the data of one event. The
// final [DONE] marker is consumed; a stream without it is an error.
func (c *Chat) Run(ctx context.Context, req *dialect.Request, sink dialect.Sink) (dialect.Usage, error) {
	resp, err := c.send(ctx, req)
	if err != nil {
		return dialect.Usage{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return dialect.Usage{}, c.statusError(resp)
	}
	if err := sink.Head(resp.StatusCode, dialect.ForwardHeaders(resp.Header)); err != nil {
		return dialect.Usage{}, err
	}
	if req.Stream {
		return c.readEvents(ctx, req, resp.Body, sink)
	}
	return c.readBody(ctx, req, resp.Body, sink)
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
	out.Header.Set("X-Request-Id", req.AttemptID)
	out.Header.Set("X-Priority", strconv.Itoa(req.Priority))
	resp, err := c.client.Do(out)
	if err != nil {
		return nil, dialect.DispatchError(ctx, err)
	}
	return resp, nil
}

// maxErrorTextBytes limits how much of an engine's error body is kept.
const maxErrorTextBytes = 512

// statusError converts an engine's error status into an error. A 4xx status or 503 means that the engine
// did not run the request.
func (c *Chat) statusError(resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorTextBytes))
	detail := fmt.Sprintf("engine answered %d: %s", resp.StatusCode, strings.TrimSpace(string(text)))
	switch {
	case resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable:
		return verdict.New(verdict.NotRun, verdict.ReasonOverCapacity, detail)
	case resp.StatusCode >= 400 && resp.StatusCode < 500:
		return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, detail)
	}
	return verdict.New(verdict.Unknown, verdict.ReasonEngineError, detail)
}

// responseFields holds the fields of a response or event that the dialect reads.
type responseFields struct {
	ID    string `json:"id"`
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		PromptDetails    struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

func (c *Chat) readEvents(ctx context.Context, req *dialect.Request, body io.Reader, sink dialect.Sink) (dialect.Usage, error) {
	var usage dialect.Usage
	reader := newEventReader(body, c.MaxEventBytes)
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
		if err := c.checkResponse(req, data, &usage); err != nil {
			return usage, err
		}
		if err := sink.Data(data); err != nil {
			return usage, err
		}
	}
}

func (c *Chat) readBody(ctx context.Context, req *dialect.Request, body io.Reader, sink dialect.Sink) (dialect.Usage, error) {
	var usage dialect.Usage
	data, err := io.ReadAll(io.LimitReader(body, int64(c.MaxResponseBytes)+1))
	if err != nil {
		return usage, dialect.StreamError(ctx, err)
	}
	if len(data) > c.MaxResponseBytes {
		return usage, verdict.New(verdict.Ran, verdict.ReasonTooLarge, "response exceeds max_response_bytes")
	}
	if err := c.checkResponse(req, data, &usage); err != nil {
		return usage, err
	}
	return usage, sink.Data(data)
}

// checkResponse verifies that data is JSON and belongs to this attempt, and stores its usage.
func (c *Chat) checkResponse(req *dialect.Request, data []byte, usage *dialect.Usage) error {
	var fields responseFields
	if err := json.Unmarshal(data, &fields); err != nil {
		return verdict.Wrap(verdict.Unknown, verdict.ReasonTruncated, fmt.Errorf("response is not JSON: %w", err))
	}
	if c.EchoID && fields.ID != c.IDPrefix+req.AttemptID {
		return verdict.New(verdict.Unknown, verdict.ReasonForeignChunk, "response carries another request's id")
	}
	if fields.Usage != nil {
		usage.PromptTokens = fields.Usage.PromptTokens
		usage.CompletionTokens = fields.Usage.CompletionTokens
		usage.CachedTokens = fields.Usage.PromptDetails.CachedTokens
	}
	return nil
}
