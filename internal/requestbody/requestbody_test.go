package requestbody

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"jacinthfork.example/jacinthfork/internal/httpcheck"
)

const testLimit = 100_000

func startServer(t *testing.T) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := Read(w, r, testLimit)
		var tooLarge *TooLargeError
		if errors.As(err, &tooLarge) {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		_, _ = fmt.Fprint(w, len(body))
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// Guards against a connection reset while the client is still writing, which would hide the 413 response.
func TestClientThatWritesBodyFirstReceives413(t *testing.T) {
	for name, framing := range map[string]string{"length": "Content-Length: %d\r\n\r\n", "chunked": "Transfer-Encoding: chunked\r\n\r\n%x\r\n"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const size = 32 << 20 // exceeds the socket buffers of a connection
			conn, err := net.Dial("tcp", startServer(t))
			is.NoErr(err)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: x\r\n"+framing, size)
			is.NoErr(err)
			_, err = conn.Write(make([]byte, size))
			is.NoErr(err)
			if name == "chunked" {
				_, err = fmt.Fprint(conn, "\r\n0\r\n\r\n")
				is.NoErr(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(httpcheck.NewReader(conn, nil)), nil)
			is.NoErr(err)
			defer resp.Body.Close()
			is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
			is.True(resp.Close)
		})
	}
}

// Guards against a 100 Continue response to a request whose Content-Length already exceeds the limit.
func TestExpectContinueClientIsRejectedBeforeSendingBody(t *testing.T) {
	is := is.New(t)
	conn, err := net.Dial("tcp", startServer(t))
	is.NoErr(err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", 2*testLimit)
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(httpcheck.NewReader(conn, nil)), nil)
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
}

// Guards against an off-by-one error in the limit.
func TestLimitIsInclusive(t *testing.T) {
	is := is.New(t)
	for size, want := range map[int]int{0: http.StatusOK, testLimit: http.StatusOK, testLimit + 1: http.StatusRequestEntityTooLarge} {
		resp, err := http.Post("http://"+startServer(t), "text/plain", strings.NewReader(strings.Repeat("x", size)))
		is.NoErr(err)
		is.Equal(resp.StatusCode, want)
		is.NoErr(resp.Body.Close())
	}
}
