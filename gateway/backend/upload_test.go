package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// uploadConn is a connection whose body is written until release is closed, with the result of release. The other side sends
// in, and has ended its side after that.
type uploadConn struct {
	countingConn
	// writes counts the calls of Write. The first one writes the head of the request.
	writes  int
	release chan struct{}
	failure error
}

func (c *uploadConn) Write(p []byte) (int, error) {
	if c.writes++; c.writes == 1 {
		return len(p), nil
	}
	<-c.release
	if c.failure != nil {
		return 0, c.failure
	}
	return len(p), nil
}

// Guards against a part of a body that is taken for all of it, because the connection was reset and the write of the request
// has got the error: a response without a length is whole only if the write has not failed, whether that is known before the
// end of the data or after it.
func TestResponseEndsWholeOnlyIfTheUploadHasNotFailed(t *testing.T) {
	for name, c := range map[string]struct {
		failure error
		later   bool
		framing string
		whole   bool
	}{
		"reset before the end":         {failure: syscall.ECONNRESET},
		"reset after the end":          {failure: syscall.EPIPE, later: true},
		"other side reads on":          {later: true, whole: true},
		"reset, response with length":  {failure: syscall.ECONNRESET, framing: "Content-Length: 5\r\n", whole: true},
		"unread, response with length": {later: true, framing: "Content-Length: 5\r\n", whole: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn := &uploadConn{release: make(chan struct{}), failure: c.failure}
			conn.in = strings.NewReader("HTTP/1.1 200 OK\r\n" + c.framing + "\r\nhello")
			if c.later {
				time.AfterFunc(20*time.Millisecond, func() { close(conn.release) })
			} else {
				close(conn.release)
			}
			resp, err := NewPool().Do(context.Background(), newConn(conn, "s"), &Request{
				Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, HasBody: true,
				Body:  [][]byte{make([]byte, asyncWriteBytes+1)},
				Match: func(*http.Response) Match { return Own },
			})
			is.NoErr(err)
			defer resp.Abort()
			body, err := io.ReadAll(resp.Body)
			is.Equal(string(body), "hello")
			is.Equal(err == nil, c.whole)
		})
	}
}

// Guards against a reset that only the system knows of, because another call than the read has taken its error.
func TestResponseOfAResetConnectionIsNotWhole(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	raw, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer raw.Close()
	server, err := listener.Accept()
	is.NoErr(err)
	conn := newConn(raw, "s")
	_, err = io.WriteString(server, "HTTP/1.1 200 OK\r\n\r\nhello")
	is.NoErr(err)
	resp, err := http.ReadResponse(conn.reader, nil)
	is.NoErr(err)
	is.NoErr(server.(*net.TCPConn).SetLinger(0))
	is.NoErr(server.Close())
	for err = nil; err == nil; time.Sleep(time.Millisecond) {
		_, err = raw.Write([]byte("x")) // takes the error
	}
	_, err = io.ReadAll(resp.Body)
	is.True(err != nil)
}
