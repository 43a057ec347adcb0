package plain

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"jacinthfork.example/jacinthfork/dialect"
	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/kernel/settings"
	"jacinthfork.example/jacinthfork/verdict"
)

// bodySink keeps the body that it receives.
type bodySink struct{ body strings.Builder }

func (s *bodySink) Head(int, []dialect.Header) error { return nil }

func (s *bodySink) Data(body []byte) error {
	s.body.Write(body)
	return nil
}

// A service sends a second copy of each response on the same connection. Guards against the next request getting the
// copy as its own response.
func TestSecondCopyReachesNoOtherRequest(t *testing.T) {
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
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					id := r.Header.Get("X-Request-Id")
					response := "HTTP/1.1 200 OK\r\nContent-Length: " + string(rune('0'+len(id))) + "\r\n\r\n" + id
					if _, err := io.WriteString(conn, response+response); err != nil {
						return
					}
				}
			}()
		}
	}()
	d, err := kernel.Load[dialect.Dialect](kernel.NewContext("test", nil), kernel.KindDialect, "plain", settings.Table{"base_url": "http://" + listener.Addr().String()})
	is.NoErr(err)
	for _, id := range []string{"a-1", "a-22", "a-333"} {
		sink := &bodySink{}
		_, err := d.Run(context.Background(), &dialect.Request{AttemptID: id, Method: http.MethodGet, Path: "/"}, sink)
		is.NoErr(err)
		is.Equal(sink.body.String(), id)
	}
}

// startRawService starts a service that answers each request, as soon as its header has arrived, with the bytes of raw. It then
// resets the connection, or closes it.
func startRawService(t *testing.T, raw string, reset bool) dialect.Dialect {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, _ = io.WriteString(conn, raw)
				if reset {
					time.Sleep(20 * time.Millisecond)
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			}()
		}
	}()
	d, err := kernel.Load[dialect.Dialect](kernel.NewContext("test", nil), kernel.KindDialect, "plain", settings.Table{"base_url": "http://" + listener.Addr().String()})
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// Guards against responses that are no responses of HTTP/1.1 and are passed on to the router in part or changed.
func TestMalformedResponsesAreNotPassedOn(t *testing.T) {
	const five = "Content-Length: 5\r\n\r\nhello"
	for name, raw := range map[string]string{
		"status 000":             "HTTP/1.1 000 OK\r\n" + five,
		"status 999":             "HTTP/1.1 999 OK\r\n" + five,
		"blank before the colon": "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\nhello, and more",
		"blank in a name":        "HTTP/1.1 200 OK\r\nX Note: a\r\n" + five,
		"control byte in a name": "HTTP/1.1 200 OK\r\nX\x01: a\r\n" + five,
		"folded value":           "HTTP/1.1 200 OK\r\nX: a\r\n b\r\n" + five,
		"chunks in HTTP/1.0":     "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"malformed trailer":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX Note: a\r\n\r\n",
		"head cut off":           "HTTP/1.1 200 OK\r\nX-Note: a\r\n",
		"body cut off":           "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nhello",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := startRawService(t, raw, false).Run(context.Background(), &dialect.Request{AttemptID: "a", Method: http.MethodPost, Path: "/"}, &bodySink{})
			is.True(err != nil)
			is.Equal(verdict.Of(err), verdict.Unknown)
		})
	}
}

// Guards against a part of a response that is taken for all of it, because the connection was reset during the upload and the
// write has taken the error from the reader.
func TestResetDuringAnUploadDoesNotEndAResponse(t *testing.T) {
	d := startRawService(t, "HTTP/1.1 200 OK\r\n\r\npart of the body", true)
	for range 20 {
		sink := &bodySink{}
		_, err := d.Run(context.Background(), &dialect.Request{AttemptID: "a", Method: http.MethodPost, Path: "/", Body: make([]byte, 16<<20)}, sink)
		if err == nil {
			t.Fatalf("%q was taken for a whole response", sink.body.String())
		}
	}
}
