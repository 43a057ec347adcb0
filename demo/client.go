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

	"jacinthfork.example/jacinthfork/internal/httpcheck"
	"jacinthfork.example/jacinthfork/verdict"
)

// Message is a message of a chat completion request or response.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the body of a chat completion request.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

// Response is the response to a chat turn or an action.
type Response struct {
	Status  int
	Verdict verdict.Verdict
	// Complete is set if the response was received to its regular end.
	Complete     bool
	Content      string
	CachedTokens int
	PromptTokens int
	// Placement and Route are the Jacinthfork-Placement and Jacinthfork-Route headers.
	Placement string
	Route     string
	// Problem is the body of an error response.
	Problem string
}

// client sends requests to the routers as a caller.
type client struct {
	http *http.Client
}

func newClient() *client {
	return &client{http: &http.Client{
		Transport: httpcheck.Transport(&http.Transport{MaxIdleConnsPerHost: 256}),
		Timeout:   30 * time.Second,
	}}
}

func (c *client) close() { c.http.CloseIdleConnections() }

// usage is the usage object of a chat completion.
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

// chat sends one turn of a chat through the router at address. token, if not empty, is the placement token of
// an earlier response.
func (c *client) chat(ctx context.Context, address, organisation, token string, body ChatRequest) (Response, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return Response{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(text))
	if err != nil {
		return Response{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Jacinthfork-Organisation", organisation)
	if token != "" {
		req.Header.Set("Jacinthfork-Placement", token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Response{}, err
	}
	defer resp.Body.Close()
	response := newResponse(resp)
	if resp.StatusCode != http.StatusOK {
		return response, response.readProblem(resp.Body)
	}
	if body.Stream {
		return response, response.readEvents(resp.Body)
	}
	return response, response.readBody(resp.Body)
}

func newResponse(resp *http.Response) Response {
	v, _ := verdict.Parse(resp.Header.Get("Jacinthfork-Verdict"))
	return Response{
		Status: resp.StatusCode, Verdict: v,
		Placement: resp.Header.Get("Jacinthfork-Placement"), Route: resp.Header.Get("Jacinthfork-Route"),
	}
}

func (r *Response) readProblem(body io.Reader) error {
	text, err := io.ReadAll(body)
	r.Problem = string(text)
	return err
}

func (r *Response) readBody(body io.Reader) error {
	var decoded completion
	if err := json.NewDecoder(body).Decode(&decoded); err != nil {
		return fmt.Errorf("decode chat completion: %w", err)
	}
	r.addCompletion(decoded)
	r.Complete = true
	return nil
}

func (r *Response) readEvents(body io.Reader) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.Complete = true
			r.Verdict = verdict.Ran
			return nil
		}
		var decoded completion
		if err := json.Unmarshal([]byte(data), &decoded); err != nil {
			return fmt.Errorf("decode chat completion event: %w", err)
		}
		r.addCompletion(decoded)
	}
	return lines.Err()
}

func (r *Response) addCompletion(decoded completion) {
	for _, choice := range decoded.Choices {
		r.Content += choice.Message.Content + choice.Delta.Content
	}
	if decoded.Usage != nil {
		r.PromptTokens, r.CachedTokens = decoded.Usage.PromptTokens, decoded.Usage.Details.CachedTokens
	}
}

// action sends a non-idempotent request with an idempotency key to the service pool.
func (c *client) action(ctx context.Context, address, organisation, key, body string) (Response, error) {
	url := "http://" + address + "/services/" + ServicePool + "/orders"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return Response{}, err
	}
	req.Header.Set("Jacinthfork-Organisation", organisation)
	req.Header.Set("Idempotency-Key", key)
	resp, err := c.http.Do(req)
	if err != nil {
		return Response{}, err
	}
	defer resp.Body.Close()
	response := newResponse(resp)
	text, err := io.ReadAll(resp.Body)
	response.Content = string(text)
	response.Complete = err == nil && resp.StatusCode == http.StatusOK
	if resp.StatusCode != http.StatusOK {
		response.Problem = response.Content
	}
	return response, err
}
