package kernel

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// operatorReadHeaderTimeout bounds the time that a client of the operator endpoints takes to send its
// headers.
const operatorReadHeaderTimeout = 10 * time.Second

// OperatorServer serves /healthz, /readyz and /debug on a separate address for operators.
type OperatorServer struct {
	mux    *http.ServeMux
	server *http.Server
	ready  atomic.Bool
	addr   string
}

// NewOperatorServer returns a server that serves counters and reports not ready until SetReady is called.
func NewOperatorServer(counters *Counters) *OperatorServer {
	o := &OperatorServer{mux: http.NewServeMux()}
	o.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(w, "ok")
	})
	o.mux.HandleFunc("GET /readyz", o.serveReady)
	o.mux.Handle("GET /debug/vars", counters)
	return o
}

// Handle registers a handler for a pattern such as "GET /debug/journal".
func (o *OperatorServer) Handle(pattern string, handler http.Handler) { o.mux.Handle(pattern, handler) }

// SetReady sets the readiness that /readyz reports.
func (o *OperatorServer) SetReady(ready bool) { o.ready.Store(ready) }

// Ready returns the readiness that /readyz reports.
func (o *OperatorServer) Ready() bool { return o.ready.Load() }

func (o *OperatorServer) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !o.ready.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

// Start listens on address and serves in the background.
func (o *OperatorServer) Start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("operator address: %w", err)
	}
	o.addr = listener.Addr().String()
	o.server = &http.Server{Handler: o.mux, ReadHeaderTimeout: operatorReadHeaderTimeout}
	go func() { _ = o.server.Serve(listener) }()
	return nil
}

// Address returns the listening address. It is valid after Start.
func (o *OperatorServer) Address() string { return o.addr }

// Close stops the server immediately.
func (o *OperatorServer) Close() {
	if o.server != nil {
		_ = o.server.Close()
	}
}
