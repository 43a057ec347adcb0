package router

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"jacinthfork.example/jacinthfork/internal/httpcheck"
)

// Guards against a refusal that never reaches its caller, because the connection is reset: the router had refused the
// request before it had read its body.
func TestRefusalOfARequestWithABodyReachesTheCaller(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(newTestRouter(t).handler())
	defer server.Close()
	const bodyBytes = 90_000
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", bodyBytes)
	is.NoErr(err)
	for range 3 {
		time.Sleep(50 * time.Millisecond) // the caller writes slower than the router refuses
		_, err = conn.Write(make([]byte, bodyBytes/3))
		is.NoErr(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(httpcheck.NewReader(conn, nil)), nil)
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusBadRequest) // it names no organisation
}
