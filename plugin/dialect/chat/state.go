package chat

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"jacinthfork.example/jacinthfork/dialect"
)

// loadReport is the body of the engine's load report.
type loadReport struct {
	RunningTokens uint64 `json:"running_tokens"`
	WaitingTokens uint64 `json:"waiting_tokens"`
	AgeMS         int64  `json:"age_ms"`
}

// ReadLoad implements dialect.Dialect. Any status except 200, also a server error, gives ErrNoLoadReport.
func (c *Chat) ReadLoad(ctx context.Context) (dialect.LoadReport, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, string(c.BaseURL)+"/load", nil)
	if err != nil {
		return dialect.LoadReport{}, err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return dialect.LoadReport{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return dialect.LoadReport{}, dialect.ErrNoLoadReport
	}
	var report loadReport
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStateBytes)).Decode(&report); err != nil {
		return dialect.LoadReport{}, fmt.Errorf("decode load report: %w", err)
	}
	return dialect.LoadReport{
		Tokens: report.RunningTokens + report.WaitingTokens,
		Age:    time.Duration(report.AgeMS) * time.Millisecond,
	}, nil
}

// orderState is the engine's response to GET /orders.
type orderState struct {
	Current dialect.Order `json:"current"`
	Loading bool          `json:"loading"`
}

// CurrentOrder implements dialect.Dialect. Any status except 200, also a server error, gives
// ErrOrdersUnsupported.
func (c *Chat) CurrentOrder(ctx context.Context) (dialect.Order, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, string(c.BaseURL)+"/orders", nil)
	if err != nil {
		return dialect.Order{}, err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return dialect.Order{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return dialect.Order{}, dialect.ErrOrdersUnsupported
	}
	var state orderState
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStateBytes)).Decode(&state); err != nil {
		return dialect.Order{}, fmt.Errorf("decode order state: %w", err)
	}
	if state.Loading {
		return state.Current, dialect.ErrOrderInProgress
	}
	return state.Current, nil
}

// maxStateBytes limits the responses to GET /load and GET /orders.
const maxStateBytes = 16 << 10

// SubmitOrder implements dialect.Dialect.
func (c *Chat) SubmitOrder(ctx context.Context, order dialect.Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, string(c.BaseURL)+"/orders", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return dialect.DispatchError(ctx, err)
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusConflict:
		return dialect.ErrStaleOrder
	case resp.StatusCode == http.StatusNotFound:
		return dialect.ErrOrdersUnsupported
	case resp.StatusCode >= 300:
		return c.statusError(resp)
	}
	return nil
}

// Alive implements dialect.Dialect. It requires an HTTP response, because an engine that restarts can
// accept connections before it can serve requests.
func (c *Chat) Alive(ctx context.Context) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, string(c.BaseURL)+c.HealthPath, nil)
	if err != nil {
		return false
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode < http.StatusInternalServerError
}
