package callerconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"jacinthfork.example/jacinthfork/internal/httpcheck"
	"jacinthfork.example/jacinthfork/internal/socket"
)

// startRead starts a read and returns once it waits for data. The channel receives the number of bytes read.
func startRead(conn *tracked) chan int {
	read := make(chan int, 1)
	go func() {
		n, _ := conn.Read(make([]byte, 8))
		read <- n
	}()
	for waiting := false; !waiting; time.Sleep(time.Millisecond) {
		conn.mu.Lock()
		waiting = conn.waiting
		conn.mu.Unlock()
	}
	return read
}

// Guards against a connection that is closed by a planned stop after data of a request was read from it, also when
// both happen in the same instant, and against a request that is served although its connection was closed as unused.
func TestConnectionWithDataIsNotClosedAsUnused(t *testing.T) {
	is := is.New(t)
	open := func() (caller net.Conn, conn *tracked) {
		caller, server := net.Pipe()
		return caller, &tracked{Conn: server}
	}
	conns := NewTracker()
	caller, used := open()
	conns.Track(used, http.StateNew)
	conns.Track(used, http.StateIdle)
	go func() { _, _ = caller.Write([]byte("G")) }()
	n, err := used.Read(make([]byte, 8))
	is.NoErr(err)
	is.Equal(n, 1)
	is.Equal(conns.closeUnused(), 1) // its header is arriving
	conns.Track(used, http.StateActive)
	is.Equal(conns.closeUnused(), 1)
	conns.Track(used, http.StateIdle)
	is.Equal(conns.closeUnused(), 1) // it may have a request in the buffer of the server
	read := startRead(used)
	is.Equal(conns.closeUnused(), 0)
	is.Equal(<-read, 0)

	caller, unused := open()
	conns = NewTracker()
	conns.Track(unused, http.StateIdle)
	result := startRead(unused)
	is.Equal(conns.closeUnused(), 0)
	_, _ = caller.Write([]byte("GET"))
	is.Equal(<-result, 0) // nothing is read from it any more
}

// Guards against a request that a planned stop cuts off because it has arrived and was not read yet: a router that is
// short of processor time decides to close the connection before it reads.
func TestConnectionWithUnreadDataIsNotClosedAsUnused(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	caller, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer caller.Close()
	accepted, err := listener.Accept()
	is.NoErr(err)
	conn := newTracked(accepted, nil)
	conns := NewTracker()
	conns.Track(conn, http.StateIdle)
	conn.setWaiting(true) // as if a read waited and did not come to run
	_, err = caller.Write([]byte("GET"))
	is.NoErr(err)
	is.Equal(conns.closeUnused(), 1)
	conns.conns[conn] = connState{state: http.StateIdle, since: time.Now().Add(-time.Hour)}
	conns.CloseIdle(time.Second) // it has been idle for longer than the limit
	n, err := conn.Read(make([]byte, 8))
	is.NoErr(err)
	is.Equal(n, 3)
}

// Guards against a request whose connection a planned stop closes after it was read: the connection counts as unused
// while the server has taken data from the operating system and has not come to count it.
func TestConnectionBeingReadIsNotClosedAsUnused(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	listener := &Listener{Listener: inner}
	defer listener.Close()
	for range 20 {
		caller, err := net.Dial("tcp", inner.Addr().String())
		is.NoErr(err)
		accepted, err := listener.Accept()
		is.NoErr(err)
		conn := accepted.(*tracked)
		read := startRead(conn)
		conn.mu.Lock()
		_, err = caller.Write([]byte("GET"))
		is.NoErr(err)
		time.Sleep(5 * time.Millisecond) // the data arrives, and the reader runs as far as it can
		conn.mu.Unlock()
		retired := conn.retire(0)
		is.Equal(<-read, 3)
		is.True(!retired)
		is.NoErr(caller.Close())
		is.NoErr(conn.Close())
	}
}

// Guards against requests that a planned stop cuts off because their connections were made and not accepted yet.
func TestConnectionsWaitingToBeAcceptedAreServed(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	listener := &Listener{Listener: inner}
	const callers = 3
	for range callers {
		caller, err := net.Dial("tcp", inner.Addr().String())
		is.NoErr(err)
		defer caller.Close()
		_, err = caller.Write([]byte("GET"))
		is.NoErr(err)
	}
	is.NoErr(listener.CloseAccepting())
	is.Equal(len(listener.pending), callers)
	for range callers {
		conn, err := listener.Accept()
		is.NoErr(err)
		n, err := conn.Read(make([]byte, 8))
		is.NoErr(err)
		is.Equal(n, 3)
		is.NoErr(conn.Close())
	}
	is.True(!listener.allAccepted())
	_, err = listener.Accept()
	is.True(errors.Is(err, net.ErrClosed))
	is.True(listener.allAccepted())
}

// Guards against a request that a planned stop reads and drops, because its connection was accepted just before and the
// tracker was not told yet: once http.Server.Shutdown is called, the server answers no request that it reads.
func TestConnectionAcceptedDuringDrainIsServed(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	listener := &Listener{Listener: inner}
	conns := NewTracker()
	accepted, tell := make(chan struct{}), make(chan struct{})
	var once sync.Once
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Connection", "close") }),
		ConnState: func(conn net.Conn, state http.ConnState) {
			if state == http.StateNew {
				once.Do(func() { close(accepted) })
				<-tell
			}
			conns.Track(conn, state)
		},
	}
	go func() { _ = server.Serve(listener) }()
	caller, err := net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	defer caller.Close()
	_, err = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	<-accepted
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	drained := make(chan error, 1)
	go func() { drained <- Drain(ctx, server, listener, conns) }()
	time.Sleep(4 * drainCheckInterval)
	close(tell)
	resp, err := http.ReadResponse(bufio.NewReader(httpcheck.NewReader(caller, nil)), nil)
	is.NoErr(err) // the request is answered
	is.Equal(resp.StatusCode, http.StatusOK)
	is.NoErr(<-drained)
}

// Guards against a request that is run and not answered, because a planned stop closes its connection while the request
// waits in the server's buffer: the caller has sent it together with the one before.
func TestConnectionWithBufferedRequestIsNotClosedAsUnused(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	conns := NewTracker()
	server := &http.Server{
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
		ConnState: func(conn net.Conn, state http.ConnState) {
			conns.Track(conn, state)
			if state == http.StateIdle {
				conns.closeUnused()
			}
		},
	}
	defer server.Close()
	go func() { _ = server.Serve(&Listener{Listener: inner}) }()
	caller, err := net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	defer caller.Close()
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	_, err = io.WriteString(caller, request+request)
	is.NoErr(err)
	reader := bufio.NewReader(httpcheck.NewReader(caller, nil))
	for range 2 {
		resp, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
	}
	for conns.closeUnused() > 0 { // the server comes to wait for a third one
		time.Sleep(time.Millisecond)
	}
	_, err = reader.ReadByte()
	is.Equal(err, io.EOF)
}

// Guards against a request that ends with its connection because a planned stop takes the connection for unused: the
// beginning of its header was read together with the request before, or while that one was being served.
func TestConnectionWithTheBeginningOfARequestIsNotClosedAsUnused(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, early := range map[string]struct{ together, during int }{
		"half of the header with the request before":    {together: len(request) / 2},
		"one byte while the request before is served":   {during: 1},
		"some bytes while the request before is served": {during: 3},
	} {
		for _, idleTimeout := range []time.Duration{0, time.Minute} {
			t.Run(name+", idle timeout "+idleTimeout.String(), func(t *testing.T) {
				is := is.New(t)
				inner, err := net.Listen("tcp", "127.0.0.1:0")
				is.NoErr(err)
				conns := NewTracker()
				listener := &Listener{Listener: inner}
				begun, finish := make(chan struct{}, 2), make(chan struct{})
				server := &http.Server{
					Handler:     http.HandlerFunc(func(http.ResponseWriter, *http.Request) { begun <- struct{}{}; <-finish }),
					ConnState:   conns.Track,
					IdleTimeout: idleTimeout, ReadHeaderTimeout: time.Minute,
				}
				defer server.Close()
				go func() { _ = server.Serve(listener) }()
				caller, err := net.Dial("tcp", inner.Addr().String())
				is.NoErr(err)
				defer caller.Close()
				_, err = io.WriteString(caller, request+request[:early.together])
				is.NoErr(err)
				<-begun
				_, err = io.WriteString(caller, request[:early.during])
				is.NoErr(err)
				time.Sleep(2 * drainCheckInterval) // the server reads it
				drained := make(chan error, 1)
				go func() { drained <- Drain(t.Context(), server, listener, conns) }()
				time.Sleep(2 * drainCheckInterval)
				close(finish)
				reader := bufio.NewReader(httpcheck.NewReader(caller, nil))
				_, err = http.ReadResponse(reader, nil)
				is.NoErr(err)
				time.Sleep(4 * drainCheckInterval) // checks for unused connections
				_, err = io.WriteString(caller, request[early.together+early.during:])
				is.NoErr(err)
				resp, err := http.ReadResponse(reader, nil)
				is.NoErr(err) // the second request is answered
				is.Equal(resp.StatusCode, http.StatusOK)
				is.NoErr(<-drained)
			})
		}
	}
}

// closingConn calls a function before it is closed.
type closingConn struct {
	*net.TCPConn
	before func()
}

func (c closingConn) Close() error {
	c.before()
	return c.TCPConn.Close()
}

// Guards against a router that hangs, and that a planned stop then does not end: data arrives on a connection in the
// instant in which it is closed as unused, and its reader and the check for unused connections wait for each other.
func TestDataThatArrivesDuringACloseBlocksNothing(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer inner.Close()
	caller, err := net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	defer caller.Close()
	accepted, err := inner.Accept()
	is.NoErr(err)
	conn := newTracked(closingConn{accepted.(*net.TCPConn), func() {
		_, _ = caller.Write([]byte("GET"))
		time.Sleep(20 * time.Millisecond) // the data wakes the reader
	}}, nil)
	conns := NewTracker()
	conns.Track(conn, http.StateIdle)
	read := startRead(conn)
	left := make(chan int, 1)
	go func() { left <- conns.closeUnused() }()
	select {
	case n := <-left:
		is.Equal(n, 0)
	case <-time.After(5 * time.Second):
		t.Fatal("the check for unused connections does not return")
	}
	is.Equal(<-read, 0) // nothing is read from a connection that is closed
	conns.Track(conn, http.StateClosed)
	is.Equal(conns.Total(), 0)
}

// Guards against a request that ends with its connection because a new configuration shortens the idle limit: the caller
// uses a connection for as long as the limit allowed when its last response ended.
func TestShorterIdleLimitSparesConnectionsThatAreIdleAlready(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	conns := NewTracker()
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ConnState: conns.Track}
	defer server.Close()
	go func() { _ = server.Serve(&Listener{Listener: inner}) }()
	caller, err := net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	defer caller.Close()
	reader := bufio.NewReader(httpcheck.NewReader(caller, nil))
	// idleFor sends a request and lets its connection be idle for a time after the response.
	idleFor := func(d time.Duration) {
		_, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		is.NoErr(err)
		resp, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		for idle := false; !idle; time.Sleep(time.Millisecond) {
			conns.mu.Lock()
			for conn, s := range conns.conns {
				own := conn.(*tracked)
				own.mu.Lock()
				idle = s.state == http.StateIdle && own.waiting
				own.mu.Unlock()
				if idle {
					s.since = s.since.Add(-d)
					conns.conns[conn] = s
				}
			}
			conns.mu.Unlock()
		}
	}
	const long, short = 20 * time.Second, 2 * time.Second
	conns.CloseIdle(long)
	idleFor(long / 2)
	conns.CloseIdle(short)
	idleFor(long / 2) // the request before it is answered, and the next limit is the shorter one
	conns.CloseIdle(short)
	_, err = reader.ReadByte()
	is.Equal(err, io.EOF)
}

// Guards against a request that ends with its connection because its server notices that the wait for it is over before
// it notices the request: both have happened while the process did not run.
func TestRequestThatArrivesBeforeADeadlineIsNoticedIsRead(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer inner.Close()
	caller, err := net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	defer caller.Close()
	accepted, err := inner.Accept()
	is.NoErr(err)
	conn := newTracked(accepted, nil)
	defer conn.Close()
	buffer := make([]byte, 8)
	for range 2 { // the first request, and one after a response
		_, err = caller.Write([]byte("GET"))
		is.NoErr(err)
		for arrived := false; !arrived; time.Sleep(time.Millisecond) {
			arrived, err = socket.Readable(conn.Conn)
			is.NoErr(err)
		}
		is.NoErr(conn.SetReadDeadline(time.Now().Add(-time.Second)))
		n, err := conn.Read(buffer)
		is.NoErr(err)
		is.Equal(n, 3)
		_, err = conn.Read(buffer)
		is.True(errors.Is(err, os.ErrDeadlineExceeded)) // the rest is late
		_, err = caller.Write([]byte("slow"))
		is.NoErr(err)
		time.Sleep(5 * time.Millisecond)
		_, err = conn.Read(buffer)
		is.True(errors.Is(err, os.ErrDeadlineExceeded)) // a request that trickles in does not last longer
		is.NoErr(conn.SetReadDeadline(time.Time{}))
		_, err = conn.Read(buffer)
		is.NoErr(err)
		conn.idle(false)
	}
	is.NoErr(conn.SetReadDeadline(time.Now().Add(-time.Second)))
	_, err = conn.Read(buffer)
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
}
