// Package standin holds what the stand-ins for the platform services and the backend servers share: an HTTP
// server that can be stopped and restarted on the same address, and settings that can be read and changed
// over HTTP. Only tests and the demo use the stand-ins, never the daemons.
package standin

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// headerTimeout limits how long a client may take to send the request header.
const headerTimeout = 10 * time.Second

// Server serves one HTTP handler on one address. It can be started again after Close; the state behind the
// handler is kept. Handler must be set before Start.
type Server struct {
	// Handler serves all requests. It must not be changed after Start.
	Handler http.Handler

	mu      sync.Mutex
	server  *http.Server
	address string
}

// Start listens on the address, for example "127.0.0.1:0", and serves in the background until Close. It
// fails if the server is already running or the address is in use.
func (s *Server) Start(address string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		return fmt.Errorf("server is already listening on %s", s.address)
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

// Close closes the listener and all connections. It does nothing if the server is not running.
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

// Address returns the host:port of the last Start, or "" before the first one.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// URL returns the base URL of the last Start, without a trailing slash.
func (s *Server) URL() string { return "http://" + s.Address() }

// Abort closes the connection of the current request without sending a response.
func Abort() { panic(http.ErrAbortHandler) }
