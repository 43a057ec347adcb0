package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"jacinthfork.example/jacinthfork/verdict"
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatBody is the body of a chat completion.
type ChatBody struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

// Reply is what a caller got.
type Reply struct {
	Status  int
	Verdict verdict.Verdict
	// Whole is set when the response had its proper end.
	Whole     bool
	Content   string
	Cached    int
	Prompt    int
	Placement string
	Route     string
	Problem   string
}

// client is a caller of the fleet.
type client struct {
	http *http.Client
}

func newClient() *client {
	return &client{http: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 256},
		Timeout:   30 * time.Second,
	}}
}

func (c *client) close() { c.http.CloseIdleConnections() }

// usage is the usage part of a completion.
type usage struct {
	PromptTokens int `json:"prompt_tokens"`
	Details      struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

type choice struct {
	Message Message `json:"message"`
	Delta   Message `json:"delta"`
}

type completion struct {
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage"`
}

// chat sends one turn of a chat through the router at address.
func (c *client) chat(ctx context.Context, address, organisation, token string, body ChatBody) (Reply, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return Reply{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(text))
	if err != nil {
		return Reply{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Jacinthfork-Organisation", organisation)
	if token != "" {
		req.Header.Set("Jacinthfork-Placement", token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Reply{}, err
	}
	defer resp.Body.Close()
	reply := newReply(resp)
	if resp.StatusCode != http.StatusOK {
		return reply, reply.readProblem(resp.Body)
	}
	if body.Stream {
		return reply, reply.readEvents(resp.Body)
	}
	return reply, reply.readWhole(resp.Body)
}

func newReply(resp *http.Response) Reply {
	v, _ := verdict.Parse(resp.Header.Get("Jacinthfork-Verdict"))
	return Reply{
		Status: resp.StatusCode, Verdict: v,
		Placement: resp.Header.Get("Jacinthfork-Placement"), Route: resp.Header.Get("Jacinthfork-Route"),
	}
}

func (r *Reply) readProblem(body io.Reader) error {
	text, err := io.ReadAll(body)
	r.Problem = string(text)
	return err
}

func (r *Reply) readWhole(body io.Reader) error {
	var got completion
	if err := json.NewDecoder(body).Decode(&got); err != nil {
		return fmt.Errorf("response: %w", err)
	}
	r.add(got)
	r.Whole = true
	return nil
}

func (r *Reply) readEvents(body io.Reader) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.Whole = true
			r.Verdict = verdict.Ran
			return nil
		}
		var got completion
		if err := json.Unmarshal([]byte(data), &got); err != nil {
			return fmt.Errorf("event: %w", err)
		}
		r.add(got)
	}
	return lines.Err()
}

func (r *Reply) add(got completion) {
	for _, choice := range got.Choices {
		r.Content += choice.Message.Content + choice.Delta.Content
	}
	if got.Usage != nil {
		r.Prompt, r.Cached = got.Usage.PromptTokens, got.Usage.Details.CachedTokens
	}
}

// action sends a non-idempotent action.
func (c *client) action(ctx context.Context, address, organisation, key, body string) (Reply, error) {
	url := "http://" + address + "/services/" + ServicePool + "/orders"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return Reply{}, err
	}
	req.Header.Set("Jacinthfork-Organisation", organisation)
	req.Header.Set("Idempotency-Key", key)
	resp, err := c.http.Do(req)
	if err != nil {
		return Reply{}, err
	}
	defer resp.Body.Close()
	reply := newReply(resp)
	text, err := io.ReadAll(resp.Body)
	reply.Content = string(text)
	reply.Whole = err == nil && resp.StatusCode == http.StatusOK
	if resp.StatusCode != http.StatusOK {
		reply.Problem = reply.Content
	}
	return reply, err
}
