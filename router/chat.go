package router

import (
	"encoding/json"
	"fmt"
	"strconv"

	"jacinthfork.example/jacinthfork/placement"
	"jacinthfork.example/jacinthfork/verdict"
	"jacinthfork.example/jacinthfork/wire"
)

// bytesPerToken estimates tokens from the length of a text.
const bytesPerToken = 4

// chatBody holds the fields of a chat completion that the router reads.
type chatBody struct {
	Model               string `json:"model"`
	Stream              bool   `json:"stream"`
	MaxTokens           int    `json:"max_tokens"`
	MaxCompletionTokens int    `json:"max_completion_tokens"`
}

// decodeTokens returns the expected length of the answer in tokens.
func (b *chatBody) decodeTokens(standard int) int {
	limit := max(b.MaxTokens, b.MaxCompletionTokens)
	if limit <= 0 || limit > maxDecodeTokens {
		return standard
	}
	return limit
}

// maxDecodeTokens is the longest answer that a caller can announce; more is treated as no limit.
const maxDecodeTokens = 1 << 20

// chat parses a chat completion. Its repeat does no harm, so it may be sent again after a failure.
func (r *Router) chat(in *callerRequest) (*call, error) {
	var body chatBody
	if err := json.Unmarshal(in.body, &body); err != nil {
		return nil, verdict.Wrap(verdict.NotRun, verdict.ReasonBadRequest, fmt.Errorf("body: %w", err))
	}
	if body.Model == "" {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonUnknownPool, "model is missing")
	}
	messages, err := placement.ParseMessages(in.body)
	if err != nil {
		return nil, verdict.Wrap(verdict.NotRun, verdict.ReasonBadRequest, fmt.Errorf("messages: %w", err))
	}
	resume, err := lastEvent(in)
	if err != nil {
		return nil, err
	}
	c := r.newCall(in, body.Model)
	c.repeatable = true
	c.resuming = resume > 0
	c.message.Path = "/v1/chat/completions"
	c.message.Stream = body.Stream
	c.message.Chat = in.http.Header.Get(headerChat)
	c.message.Headers = []*wire.Header{{Name: "Content-Type", Value: "application/json"}}
	c.message.Fingerprint = fingerprintChat(in.organisation, body.Model, messages)
	r.place(c, in, messages, body.decodeTokens(r.settings.Callers.DecodeTokens))
	c.answer = r.chatAnswer(c, in, body.Stream, resume)
	return c, nil
}

// lastEvent reads how much of the response the caller already has.
func lastEvent(in *callerRequest) (uint64, error) {
	text := in.http.Header.Get(headerLastEvent)
	if text == "" {
		return 0, nil
	}
	if !in.named {
		return 0, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "Last-Event-ID needs the X-Request-Id of the earlier request")
	}
	event, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "Last-Event-ID is not a number")
	}
	return event, nil
}

// place fills in what the placement policy needs.
func (r *Router) place(c *call, in *callerRequest, messages []placement.Message, decode int) {
	grouping := placement.DefaultGroupingRule.Group(in.organisation, messages)
	prompt := grouping.PromptBytes / bytesPerToken
	c.message.PromptTokens = uint32(prompt)
	c.message.DecodeTokens = uint32(decode)
	work := int64(prompt + decode)
	c.place = placement.Request{
		Organisation: in.organisation, Group: grouping.Group, Chat: grouping.Chat, Work: work,
		DocumentWork: int64(grouping.DocumentBytes / bytesPerToken), Returning: !grouping.FirstTurn,
		FailureDomain: r.settings.FailureDomain,
	}
	if !grouping.FirstTurn {
		c.place.ChatWork = int64(grouping.HistoryBytes / bytesPerToken)
	}
	if c.message.Chat != "" {
		c.place.Chat = placement.HashKey(in.organisation, c.message.Chat)
	}
	if text := in.http.Header.Get(headerPlacement); text != "" {
		if token, err := r.keyring.Decode(in.organisation, c.pool, text); err == nil {
			c.place.Token = &token
		}
	}
	r.learnedOf(c.pool).fill(&c.place)
}

func (r *Router) chatAnswer(c *call, in *callerRequest, stream bool, resume uint64) answer {
	writer := newCallerWriter(in.w, r.settings.Callers.WriteTimeout)
	if stream {
		c.latency = &latencyProbe{router: r, call: c, last: in.arrived}
		return &eventAnswer{callerWriter: writer, last: resume, onToken: c.latency.token}
	}
	return &heldAnswer{callerWriter: writer, limit: r.settings.Callers.MaxBodyBytes}
}
