package kernel

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// operatorReadTimeout bounds slow clients of the operators' address.
const operatorReadTimeout = 10 * time.Second

// OperatorServer serves /healthz, /readyz and /debug on the operators' own address.
type OperatorServer struct {
	mux    *http.ServeMux
	server *http.Server
	ready  atomic.Bool
	addr   string
}

// NewOperatorServer returns a server that is not ready yet and publishes counters.
func NewOperatorServer(counters *Counters) *OperatorServer {
	o := &OperatorServer{mux: http.NewServeMux()}
	o.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(w, "ok")
	})
	o.mux.HandleFunc("GET /readyz", o.serveReady)
	o.mux.Handle("GET /debug/vars", counters)
	return o
}

// Handle adds a page, for example "GET /debug/journal".
func (o *OperatorServer) Handle(pattern string, handler http.Handler) { o.mux.Handle(pattern, handler) }

// SetReady changes the answer of /readyz.
func (o *OperatorServer) SetReady(ready bool) { o.ready.Store(ready) }

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
		return fmt.Errorf("operators' address: %w", err)
	}
	o.addr = listener.Addr().String()
	o.server = &http.Server{Handler: o.mux, ReadHeaderTimeout: operatorReadTimeout}
	go func() { _ = o.server.Serve(listener) }()
	return nil
}

// Address returns the listening address, known after Start.
func (o *OperatorServer) Address() string { return o.addr }

// Close ends the server at once.
func (o *OperatorServer) Close() {
	if o.server != nil {
		_ = o.server.Close()
	}
}
