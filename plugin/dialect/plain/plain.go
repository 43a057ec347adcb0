// Package plain implements the dialect of plain HTTP services.
package plain

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"

	"jacinthfork.example/jacinthfork/dialect"
	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/kernel/settings"
	"jacinthfork.example/jacinthfork/verdict"
)

func init() {
	kernel.Register(kernel.KindDialect, "plain", func() any { return &Plain{MaxConnections: 64} })
}

// readBufferBytes is the size of the buffer for reading response bodies.
const readBufferBytes = 16 << 10

// Plain communicates with one plain HTTP service.
type Plain struct {
	// BaseURL is the URL of the service.
	BaseURL settings.URL `toml:"base_url" required:"true"`
	// MaxConnections limits idle connections. It has no effect, because dialect.NewHTTPClient disables
	// keep-alives.
	MaxConnections int `toml:"max_connections" min:"1" max:"4096"`

	client *http.Client
}

// Provision implements kernel.Provisioner.
func (p *Plain) Provision(*kernel.Context) error {
	p.client = dialect.NewHTTPClient(p.MaxConnections)
	return nil
}

// Run implements dialect.Dialect.
func (p *Plain) Run(ctx context.Context, req *dialect.Request, sink dialect.Sink) (dialect.Usage, error) {
	resp, err := p.send(ctx, req)
	if err != nil {
		return dialect.Usage{}, err
	}
	defer resp.Body.Close()
	if err := sink.Head(resp.StatusCode, dialect.ForwardHeaders(resp.Header)); err != nil {
		return dialect.Usage{}, err
	}
	return dialect.Usage{}, copyBody(ctx, resp, sink)
}

func (p *Plain) send(ctx context.Context, req *dialect.Request) (*http.Response, error) {
	out, err := http.NewRequestWithContext(ctx, req.Method, string(p.BaseURL)+req.Path, bytes.NewReader(req.Body))
	if err != nil {
		return nil, verdict.Wrap(verdict.NotRun, verdict.ReasonBadRequest, err)
	}
	for _, h := range req.Headers {
		out.Header.Add(h.Name, h.Value)
	}
	out.Header.Set("X-Request-Id", req.AttemptID)
	resp, err := p.client.Do(out)
	if err != nil {
		return nil, dialect.DispatchError(ctx, err)
	}
	return resp, nil
}

func copyBody(ctx context.Context, resp *http.Response, sink dialect.Sink) error {
	buf := make([]byte, readBufferBytes)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if err := sink.Data(bytes.Clone(buf[:n])); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return dialect.StreamError(ctx, fmt.Errorf("response body: %w", err))
		}
	}
}

// ReadLoad implements dialect.Dialect. Plain services do not report their load.
func (p *Plain) ReadLoad(context.Context) (dialect.LoadReport, error) {
	return dialect.LoadReport{}, dialect.ErrNoLoadReport
}

// SubmitOrder implements dialect.Dialect. Plain services do not support orders.
func (p *Plain) SubmitOrder(context.Context, dialect.Order) error {
	return dialect.ErrOrdersUnsupported
}

// CurrentOrder implements dialect.Dialect. Plain services do not support orders.
func (p *Plain) CurrentOrder(context.Context) (dialect.Order, error) {
	return dialect.Order{}, dialect.ErrOrdersUnsupported
}

// Alive implements dialect.Dialect.
func (p *Plain) Alive(ctx context.Context) bool { return dialect.CanConnect(ctx, string(p.BaseURL)) }
