package dialect

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"time"
)

// dialTimeout bounds a connection attempt to the backend server beside the sidecar.
const dialTimeout = 2 * time.Second

// NewHTTPClient returns a client for one backend server. It never retries: a retry of a request
// that may have run would break the verdict.
func NewHTTPClient(maxConnections int) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: maxConnections,
			// Without idle connections net/http never resends a request on a new connection.
			DisableKeepAlives:  true,
			DisableCompression: true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Alive dials the host of base and reports whether it accepted.
func Alive(ctx context.Context, base string) bool {
	parsed, err := url.Parse(base)
	if err != nil {
		return false
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", parsed.Host)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// hopHeaders are meant for one connection only (RFC 9110, section 7.6.1).
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Host": true,
}

// ForwardHeaders returns the header fields that are passed on, without those for one connection.
func ForwardHeaders(h http.Header) []Header {
	var out []Header
	for name, values := range h {
		if hopHeaders[name] || namedByConnection(h, name) {
			continue
		}
		for _, value := range values {
			out = append(out, Header{Name: name, Value: value})
		}
	}
	return out
}

func namedByConnection(h http.Header, name string) bool {
	for _, field := range h.Values("Connection") {
		if http.CanonicalHeaderKey(field) == name {
			return true
		}
	}
	return false
}
