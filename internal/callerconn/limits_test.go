package callerconn

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// testBudget allows a number of connections and bytes.
type testBudget struct {
	mu          sync.Mutex
	connections int
	bytes       int64
}

func (b *testBudget) Admit() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.connections--
	if b.connections < 0 {
		b.connections++
		return false
	}
	return true
}

func (b *testBudget) Release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.connections++
}

func (b *testBudget) Grow(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > b.bytes {
		return false
	}
	b.bytes -= n
	return true
}

func (b *testBudget) Shrink(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bytes += n
}

// left returns what is left of the budget.
func (b *testBudget) left() (connections int, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.connections, b.bytes
}

// serveWithBudget serves requests within a budget, and returns the address.
func serveWithBudget(t *testing.T, b *testBudget) (string, *Tracker) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	tracker := NewTracker()
	server := &http.Server{ConnState: tracker.Track, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	})}
	go func() { _ = server.Serve(&Listener{Listener: inner, Budget: b}) }()
	t.Cleanup(func() { _ = server.Close() })
	return inner.Addr().String(), tracker
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	return conn
}

// eventually waits for a condition.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatal("the condition was not met")
}

// Guards against headers that take more than the budget, bodies that count as headers, and memory that is not given back.
func TestHeadersAreCharged(t *testing.T) {
	is := is.New(t)
	b := &testBudget{connections: 2, bytes: 16 << 10}
	address, _ := serveWithBudget(t, b)
	long := dial(t, address)
	_, _ = io.WriteString(long, "GET / HTTP/1.1\r\nHost: x\r\nX-Long: "+strings.Repeat("x", 20<<10))
	answer, err := io.ReadAll(long)
	is.True(err == nil || strings.Contains(err.Error(), "reset")) // closed
	is.Equal(string(answer), "")                                  // a 400 would say that the request is invalid
	eventually(t, func() bool { _, bytes := b.left(); return bytes == 16<<10 })
	body := strings.Repeat("x", 100<<10)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+address, "text/plain", strings.NewReader(body))
	is.NoErr(err)
	got, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(got), body)
	eventually(t, func() bool { connections, bytes := b.left(); return connections == 2 && bytes == 16<<10 })
}

// Guards against connections above the budget, and against ordinary callers who get none because others hold them without a
// request.
func TestConnectionsWithoutARequestMakeRoom(t *testing.T) {
	is := is.New(t)
	b := &testBudget{connections: 2, bytes: 1 << 20}
	address, tracker := serveWithBudget(t, b)
	silent := dial(t, address)
	busy := dial(t, address)
	_, _ = io.WriteString(busy, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n")
	eventually(t, func() bool { return tracker.Active() == 1 })
	_, err := dial(t, address).Read(make([]byte, 1))
	is.True(err != nil) // there is no place
	eventually(t, tracker.CloseSpare)
	connections, _ := b.left()
	is.Equal(connections, 1) // its place is free at once
	_, err = silent.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	is.True(!tracker.CloseSpare()) // the other one has a request
	_, _ = io.WriteString(busy, "x")
	n, err := busy.Read(make([]byte, 1000))
	is.NoErr(err)
	is.True(n > 0)
	eventually(t, tracker.CloseSpare) // it is idle now
	eventually(t, func() bool { connections, bytes := b.left(); return connections == 2 && bytes == 1<<20 })
}

// Guards against a request that ends with its new connection, closed to make room for another one, because the process was paused and
// has not read it yet, or not looked at it. A connection whose header stops short of its end gives its place up.
func TestNewConnectionWithARequestIsKept(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer inner.Close()
	tracker := NewTracker()
	l := &Listener{Listener: inner, Budget: &testBudget{connections: 10, bytes: 1 << 20}}
	const request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	open := func() (client, server net.Conn) {
		client = dial(t, inner.Addr().String())
		server, err := l.Accept()
		is.NoErr(err)
		t.Cleanup(func() { _ = server.Close() })
		tracker.Track(server, http.StateNew)
		return client, server
	}
	received := func(server net.Conn) string {
		buffer := make([]byte, 100)
		n, err := server.Read(buffer)
		is.NoErr(err)
		return string(buffer[:n])
	}
	unread, unreadServer := open()
	read, readServer := open()
	for _, client := range []net.Conn{unread, read} {
		_, err := io.WriteString(client, request)
		is.NoErr(err)
	}
	is.Equal(received(readServer), request)
	time.Sleep(spareAge)
	is.True(!tracker.CloseSpare())
	is.Equal(received(unreadServer), request)
	_, err = io.WriteString(readServer, "answer")
	is.NoErr(err)
	answer := make([]byte, len("answer"))
	_, err = io.ReadFull(read, answer)
	is.NoErr(err)

	short, shortServer := open()
	_, err = io.WriteString(short, request[:20])
	is.NoErr(err)
	go func() { _, _ = io.Copy(io.Discard, shortServer) }()
	eventually(t, tracker.CloseSpare)
	_, err = short.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	tracker.Track(shortServer, http.StateClosed)
	is.Equal(tracker.UnusedClosed(), UnusedClosed{})
}

// Guards against a write that waits for its caller and is not seen.
func TestUnreadResponseIsSeen(t *testing.T) {
	is := is.New(t)
	b := &testBudget{connections: 1, bytes: 1 << 20}
	address, tracker := serveWithBudget(t, b)
	conn := dial(t, address)
	go func() {
		_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n")
		for {
			if _, err := io.WriteString(conn, "1000\r\n"+strings.Repeat("x", 0x1000)+"\r\n"); err != nil {
				return
			}
		}
	}()
	var unread Request
	eventually(t, func() bool {
		for _, r := range tracker.WaitingWrites() {
			unread = r
		}
		return unread.Writing && unread.Queues.Unsent > 0 && unread.Queues.Unread > 0
	})
	Reset(unread.Conn)
	// A write of the caller may see the reset instead of the read.
	got, _ := io.ReadAll(conn)
	is.True(len(got) > 0 && !strings.HasSuffix(string(got), "\r\n0\r\n\r\n")) // the response is not complete
}
