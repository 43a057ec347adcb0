package router

import (
	"encoding/json"
	"fmt"
	"strconv"

	"jacinthfork.example/jacinthfork/placement"
	"jacinthfork.example/jacinthfork/verdict"
	"jacinthfork.example/jacinthfork/wire"
)

// bytesPerToken is the ratio by which token counts are estimated from text length.
const bytesPerToken = 4

// chatBody holds the fields of a chat completion request that the router reads. encoding/json puts this name
// into its errors, which reach the caller, so renaming it changes those texts.
type chatBody struct {
	Model               string `json:"model"`
	Stream              bool   `json:"stream"`
	MaxTokens           int    `json:"max_tokens"`
	MaxCompletionTokens int    `json:"max_completion_tokens"`
}

// decodeTokens returns the expected length of the response in tokens, or defaultTokens if the request sets
// no usable limit.
func (b *chatBody) decodeTokens(defaultTokens int) int {
	limit := max(b.MaxTokens, b.MaxCompletionTokens)
	if limit <= 0 || limit > maxDecodeTokens {
		return defaultTokens
	}
	return limit
}

// maxDecodeTokens is the highest limit that a request can set; a higher one is treated as no limit.
const maxDecodeTokens = 1 << 20

// parseChat parses a chat completion. Chat completions have no side effects, so they may be retried after
// any failure.
func (r *Router) parseChat(in *callerRequest) (*call, error) {
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
	resumeAfter, err := parseLastEventID(in)
	if err != nil {
		return nil, err
	}
	c := r.newCall(in, body.Model)
	c.repeatable = true
	c.resuming = resumeAfter > 0
	c.template.Path = "/v1/chat/completions"
	c.template.Stream = body.Stream
	c.template.Chat = in.http.Header.Get(headerChat)
	c.template.Headers = []*wire.Header{{Name: "Content-Type", Value: "application/json"}}
	c.template.Fingerprint = fingerprintChat(in.organisation, body.Model, messages)
	r.fillPlacement(c, in, messages, body.decodeTokens(r.settings.Callers.DecodeTokens))
	c.response = r.newChatResponse(c, in, body.Stream, resumeAfter)
	return c, nil
}

// parseLastEventID returns the ID of the last event that the caller has received, or 0.
func parseLastEventID(in *callerRequest) (uint64, error) {
	text := in.http.Header.Get(headerLastEvent)
	if text == "" {
		return 0, nil
	}
	if !in.callerSuppliedID {
		return 0, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "Last-Event-ID needs the X-Request-Id of the earlier request")
	}
	event, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "Last-Event-ID is not a number")
	}
	return event, nil
}

// fillPlacement sets the placement request and the token estimates of the call.
func (r *Router) fillPlacement(c *call, in *callerRequest, messages []placement.Message, decodeTokens int) {
	grouping := placement.DefaultGroupingRule.Group(in.organisation, messages)
	promptTokens := grouping.PromptBytes / bytesPerToken
	c.template.PromptTokens = uint32(promptTokens)
	c.template.DecodeTokens = uint32(decodeTokens)
	work := int64(promptTokens + decodeTokens)
	c.placementReq = placement.Request{
		Organisation: in.organisation, Group: grouping.Group, Chat: grouping.Chat, Work: work,
		DocumentWork: int64(grouping.DocumentBytes / bytesPerToken), Returning: !grouping.FirstTurn,
		FailureDomain: r.settings.FailureDomain,
	}
	if !grouping.FirstTurn {
		c.placementReq.ChatWork = int64(grouping.HistoryBytes / bytesPerToken)
	}
	if c.template.Chat != "" {
		c.placementReq.Chat = placement.HashKey(in.organisation, c.template.Chat)
	}
	if text := in.http.Header.Get(headerPlacement); text != "" {
		if token, err := r.keyring.Decode(in.organisation, c.pool, text); err == nil {
			c.placementReq.Token = &token
		}
	}
	r.cacheStatsFor(c.pool).fillRequest(&c.placementReq)
}

func (r *Router) newChatResponse(c *call, in *callerRequest, stream bool, resumeAfter uint64) responseWriter {
	writer := newCallerWriter(in.w, r.settings.Callers.WriteTimeout)
	if stream {
		c.latency = &latencyProbe{router: r, call: c, lastToken: in.arrived}
		return &eventResponse{callerWriter: writer, lastEvent: resumeAfter, onEvent: c.latency.observeToken}
	}
	return &bufferedResponse{callerWriter: writer, bufferLimit: r.settings.Callers.MaxBodyBytes}
}
