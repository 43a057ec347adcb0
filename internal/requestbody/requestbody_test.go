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
)

const limit = 100_000

func server(t *testing.T) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := Read(w, r, limit)
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

// Guards against a refusal that a client never sees because its connection is reset while it writes.
func TestRefusalReachesClientThatWritesFirst(t *testing.T) {
	for name, framing := range map[string]string{"length": "Content-Length: %d\r\n\r\n", "chunked": "Transfer-Encoding: chunked\r\n\r\n%x\r\n"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const size = 32 << 20 // more than the buffers of a connection
			conn, err := net.Dial("tcp", server(t))
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
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			defer resp.Body.Close()
			is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
			is.True(resp.Close)
		})
	}
}

// Guards against a body that is asked for although its length is refused.
func TestClientThatAsksFirstSendsNothing(t *testing.T) {
	is := is.New(t)
	conn, err := net.Dial("tcp", server(t))
	is.NoErr(err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", 2*limit)
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
}

// Guards against a limit that is off by one.
func TestLimit(t *testing.T) {
	is := is.New(t)
	for size, want := range map[int]int{0: http.StatusOK, limit: http.StatusOK, limit + 1: http.StatusRequestEntityTooLarge} {
		resp, err := http.Post("http://"+server(t), "text/plain", strings.NewReader(strings.Repeat("x", size)))
		is.NoErr(err)
		is.Equal(resp.StatusCode, want)
		is.NoErr(resp.Body.Close())
	}
}
