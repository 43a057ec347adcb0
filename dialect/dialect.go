// Package dialect defines how a sidecar talks to its backend server. Plug-ins in plugin/dialect
// implement it, one for model engines and one for plain services.
package dialect

import (
	"context"
	"time"
)

// Header is one header field; a name may occur more than once.
type Header struct {
	Name  string
	Value string
}

// Request is one attempt at the backend server.
type Request struct {
	// Attempt is unique for each attempt. The backend server gets it as X-Request-Id.
	Attempt  string
	Method   string
	Path     string
	Headers  []Header
	Body     []byte
	Stream   bool
	Priority int
}

// Usage is what the backend server says about one finished run, in tokens.
type Usage struct {
	PromptTokens     int
	CachedTokens     int
	CompletionTokens int
}

// Sink takes the response of a run. An error of its methods ends the run.
type Sink interface {
	// Head is called once, before Data.
	Head(status int, headers []Header) error
	// Data is called for each piece of the body. For an event stream each call is one event.
	Data(body []byte) error
}

// Report is a backend server's own view of its load.
type Report struct {
	// Tokens is the work that runs or waits.
	Tokens uint64
	// Age is how old the report is.
	Age time.Duration
}

// Order is a change of an engine's state. Fencing only grows; an engine that checks it refuses an
// order whose number is below the highest that it has seen.
type Order struct {
	Fencing uint64 `json:"fencing"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

// Dialect talks to one backend server. It is called by the sidecar only and is safe for concurrent
// use. Errors are or wrap *verdict.Error.
type Dialect interface {
	// Run dispatches the request and streams the response to sink. When ctx ends, the run is
	// cancelled at the backend server. A nil error means that the response is complete.
	Run(ctx context.Context, req *Request, sink Sink) (Usage, error)
	// Load reads the backend server's load report. ErrNoReport means that it has none.
	Load(ctx context.Context) (Report, error)
	// Order gives an order. ErrNoOrders means that the backend server takes none.
	Order(ctx context.Context, order Order) error
	// Running returns the order that is in force. ErrNoOrders means that the backend server takes
	// none, ErrLoading that an order is being carried out.
	Running(ctx context.Context) (Order, error)
	// Alive reports whether the backend server accepts connections.
	Alive(ctx context.Context) bool
}
