// Package standin holds what the stand-ins for the platform and the backend servers share: an HTTP
// server that can be restarted on its address, and settings that are read and changed over HTTP.
// Stand-ins are used by tests and the demo, never by the daemons.
package standin

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// headerTimeout bounds the time that a client may take to send its header.
const headerTimeout = 10 * time.Second

// Server serves one handler on one address. Start and Close may alternate: the state behind the
// handler is kept. The zero value needs a Handler before Start.
type Server struct {
	// Handler is what is served. It is set before Start and not changed later.
	Handler http.Handler

	mu      sync.Mutex
	server  *http.Server
	address string
}

// Start listens on the address, for example "127.0.0.1:0", and serves in the background until
// Close. It fails when the server already runs or the address is not free.
func (s *Server) Start(address string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		return fmt.Errorf("server already listens on %s", s.address)
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.address = listener.Addr().String()
	s.server = &http.Server{Handler: s.Handler, ReadHeaderTimeout: headerTimeout}
	go serve(s.server, listener)
	return nil
}

func serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		_ = listener.Close()
	}
}

// Close closes the listener and breaks all connections. It does nothing when the server does not
// run.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server == nil {
		return nil
	}
	err := s.server.Close()
	s.server = nil
	return err
}

// Address returns host:port of the last Start, or "" before the first.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// URL returns the base address of the last Start, without a slash at the end.
func (s *Server) URL() string { return "http://" + s.Address() }

// Abort breaks the connection of the current request without an answer.
func Abort() { panic(http.ErrAbortHandler) }
