package dialect

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"time"

	"jacinthfork.example/jacinthfork/internal/httpcheck"
)

// dialTimeout bounds one connection attempt to the local backend server.
const dialTimeout = 2 * time.Second

// maxResponseHeaderBytes bounds the header of a response, interim responses included.
const maxResponseHeaderBytes = 32 << 10

// NewHTTPClient returns a client for one backend server. It never retries, because a retry of a request
// that may have run would invalidate its verdict.
func NewHTTPClient(maxConnections int) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: httpcheck.Transport(&http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: maxConnections,
			// net/http resends a request only after an idle connection failed, so there must be none.
			DisableKeepAlives:  true,
			DisableCompression: true,
			// The default of net/http, 10 MB, could be held once for every request in flight.
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// CanConnect reports whether the host of the URL base accepts a TCP connection.
func CanConnect(ctx context.Context, base string) bool {
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

// hopByHopHeaders apply to a single connection (RFC 9110, section 7.6.1). Content-Length and Host are
// included because the HTTP client sets them itself.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Host": true,
}

// ForwardHeaders returns the header fields without those that apply to a single connection.
func ForwardHeaders(h http.Header) []Header {
	var out []Header
	for name, values := range h {
		if hopByHopHeaders[name] || listedInConnection(h, name) {
			continue
		}
		for _, value := range values {
			out = append(out, Header{Name: name, Value: value})
		}
	}
	return out
}

func listedInConnection(h http.Header, name string) bool {
	for _, field := range h.Values("Connection") {
		if http.CanonicalHeaderKey(field) == name {
			return true
		}
	}
	return false
}
