package httpcheck

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// Guards against a transport that takes the responses on a kept connection for those to other requests, or opens a connection for
// each: responses to HEAD have no body, whatever their length says.
func TestTransportKeepsConnections(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Content-Length", "5")
		_, _ = io.WriteString(w, (string(body) + "hello")[:5])
	})
	for name, start := range map[string]func(http.Handler) *httptest.Server{"plain": httptest.NewServer, "TLS": httptest.NewTLSServer} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := start(handler)
			defer server.Close()
			var dialled atomic.Int32
			transport := Transport(&http.Transport{
				DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
					dialled.Add(1)
					return (&net.Dialer{}).DialContext(ctx, network, address)
				},
				TLSClientConfig: &tls.Config{InsecureSkipVerify: true},
			})
			defer transport.CloseIdleConnections()
			for range 3 {
				for _, method := range []string{http.MethodHead, http.MethodGet, http.MethodPost} {
					// A body that begins like a request to HEAD changes nothing.
					req, err := http.NewRequestWithContext(t.Context(), method, server.URL, strings.NewReader("HEAD "))
					is.NoErr(err)
					resp, err := transport.RoundTrip(req)
					is.NoErr(err)
					is.Equal(resp.ContentLength, int64(5))
					body, err := io.ReadAll(resp.Body)
					is.NoErr(err)
					is.Equal(len(body) == 5, method != http.MethodHead)
				}
			}
			is.Equal(dialled.Load(), int32(1))
		})
	}
}

// Guards against a malformed response that a transport takes for one.
func TestTransportRefusesMalformedResponses(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\nhello")
			}
			_ = conn.Close()
		}
	}()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+listener.Addr().String(), nil)
	is.NoErr(err)
	_, err = Transport(&http.Transport{}).RoundTrip(req)
	var malformed *Error
	is.True(errors.As(err, &malformed))
	is.Equal(malformed.Part, PartFieldName)
}
