// Package dialect defines the interface between a sidecar and its backend server. The plug-ins in
// plugin/dialect implement it for model engines and for plain services.
package dialect

import (
	"context"
	"time"
)

// Header is one header field. A name may occur more than once.
type Header struct {
	Name  string
	Value string
}

// Request is one attempt to run a request on the backend server.
type Request struct {
	// AttemptID is the unique ID of the attempt. The backend server receives it as X-Request-Id.
	AttemptID string
	Method    string
	Path      string
	Headers   []Header
	Body      []byte
	Stream    bool
	// Priority is sent to model engines as X-Priority. The sidecar leaves it 0.
	Priority int
}

// Usage is the token usage that the backend server reports for a finished run.
type Usage struct {
	PromptTokens     int
	CachedTokens     int
	CompletionTokens int
}

// Sink receives the response of a run. An error from one of its methods ends the run.
type Sink interface {
	// Head is called once, before Data.
	Head(status int, headers []Header) error
	// Data is called for each part of the body. For an event stream, each call is one event.
	Data(body []byte) error
}

// LoadReport is the backend server's own report of its load.
type LoadReport struct {
	// Tokens is the work that is running or waiting.
	Tokens uint64
	// Age is the time since the backend server measured the load.
	Age time.Duration
}

// Order is the desired model, adapter, version and role of an engine. FencingToken never decreases; an engine
// that checks it rejects an order with a lower number than the highest that it has seen.
type Order struct {
	FencingToken uint64 `json:"fencing"`
	Model        string `json:"model,omitempty"`
	Adapter      string `json:"adapter,omitempty"`
	Version      string `json:"version,omitempty"`
	Role         string `json:"role,omitempty"`
}

// Dialect communicates with one backend server. Only the sidecar calls it, and it is safe for concurrent
// use. Errors of Run are or wrap *verdict.Error, except for those of sink, which Run returns unchanged.
type Dialect interface {
	// Run sends the request and streams the response to sink. When ctx ends, the run is cancelled at the
	// backend server. A nil error means that the response is complete.
	Run(ctx context.Context, req *Request, sink Sink) (Usage, error)
	// ReadLoad reads the backend server's load report. ErrNoLoadReport means that the backend server
	// does not report its load.
	ReadLoad(ctx context.Context) (LoadReport, error)
	// SubmitOrder submits an order. ErrOrdersUnsupported means that the backend server does not support orders.
	SubmitOrder(ctx context.Context, order Order) error
	// CurrentOrder returns the order in force. ErrOrdersUnsupported means that the backend server does not
	// support orders, ErrOrderInProgress that an order is being applied.
	CurrentOrder(ctx context.Context) (Order, error)
	// Alive reports whether the backend server accepts connections.
	Alive(ctx context.Context) bool
}
