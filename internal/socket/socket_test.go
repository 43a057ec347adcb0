package socket

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

func listen(t *testing.T) *net.TCPListener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener.(*net.TCPListener)
}

func dial(t *testing.T, listener net.Listener) net.Conn {
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// Guards against data that has arrived and goes unnoticed because nobody has read it, and against a check that waits for
// a read in progress.
func TestReadable(t *testing.T) {
	is := is.New(t)
	listener := listen(t)
	caller := dial(t, listener)
	conn, err := listener.Accept()
	is.NoErr(err)
	readable := func() bool {
		out, err := Readable(conn)
		is.NoErr(err)
		return out
	}
	is.True(!readable())
	read := make(chan error)
	go func() {
		_, err := io.ReadFull(conn, make([]byte, 1))
		read <- err
	}()
	is.True(!readable()) // also while a read is in progress
	_, err = caller.Write([]byte("xy"))
	is.NoErr(err)
	is.NoErr(<-read)
	is.True(readable())
	_, err = conn.Read(make([]byte, 1))
	is.NoErr(err)
	is.True(!readable())
	is.NoErr(caller.Close())
	for !readable() {
		time.Sleep(time.Millisecond)
	}
	_ = conn.Close()
	_, err = Readable(conn)
	is.True(err != nil)
	pipe, _ := net.Pipe()
	out, err := Readable(pipe)
	is.NoErr(err)
	is.True(!out)
}

// Guards against connections that are reset, with the requests on them, because the listener was closed before anybody
// had accepted them.
func TestAcceptPending(t *testing.T) {
	is := is.New(t)
	listener := listen(t)
	conns, err := AcceptPending(listener)
	is.NoErr(err)
	is.Equal(len(conns), 0)
	for range 3 {
		_, err := dial(t, listener).Write([]byte("x"))
		is.NoErr(err)
	}
	conns, err = AcceptPending(listener)
	is.NoErr(err)
	is.NoErr(listener.Close())
	is.Equal(len(conns), 3)
	for _, conn := range conns {
		_, err := io.ReadFull(conn, make([]byte, 1))
		is.NoErr(err)
		_ = conn.Close()
	}
	_, err = AcceptPending(listener)
	is.True(err != nil)
}

// Guards against a closed connection that is known only once a read in progress has returned, and against one that counts as
// closed while data is left.
func TestEnded(t *testing.T) {
	is := is.New(t)
	listener := listen(t)
	caller := dial(t, listener)
	conn, err := listener.Accept()
	is.NoErr(err)
	is.True(!Ended(conn))
	_, err = caller.Write([]byte("x"))
	is.NoErr(err)
	is.NoErr(caller.Close())
	for readable := false; !readable; time.Sleep(time.Millisecond) {
		readable, err = Readable(conn)
		is.NoErr(err)
	}
	is.True(!Ended(conn)) // the data comes first
	_, err = conn.Read(make([]byte, 1))
	is.NoErr(err)
	for end := time.Now().Add(10 * time.Second); !Ended(conn) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.True(Ended(conn))
}

// Guards against a response that ends with a reset and counts as whole, because a check for data has taken the error: without a
// length only the error tells a cut response from its end.
func TestReadableKeepsAReset(t *testing.T) {
	is := is.New(t)
	listener := listen(t)
	conn := dial(t, listener)
	server, err := listener.Accept()
	is.NoErr(err)
	is.NoErr(server.(*net.TCPConn).SetLinger(0))
	is.NoErr(server.Close())
	for readable := false; !readable; time.Sleep(time.Millisecond) {
		readable, err = Readable(conn)
		is.NoErr(err)
	}
	_, err = conn.Read(make([]byte, 1))
	is.True(errors.Is(err, syscall.ECONNRESET))
}

// Guards against memory for each check for data besides that of package net.
func TestReadableAllocatesOneObject(t *testing.T) {
	is := is.New(t)
	listener := listen(t)
	conn := dial(t, listener)
	is.True(testing.AllocsPerRun(200, func() {
		if readable, err := Readable(conn); readable || err != nil {
			t.Fatal(readable, err)
		}
	}) <= 1)
}

// Guards against a reset that goes unnoticed once a write has been told of it, and against the end of the other side's data that
// is taken for one.
func TestWasReset(t *testing.T) {
	is := is.New(t)
	listener := listen(t)
	for _, reset := range []bool{false, true} {
		caller := dial(t, listener)
		conn, err := listener.Accept()
		is.NoErr(err)
		is.True(!WasReset(caller))
		if reset {
			is.NoErr(conn.(*net.TCPConn).SetLinger(0))
			is.NoErr(conn.Close())
			for err = nil; err == nil; time.Sleep(time.Millisecond) {
				_, err = caller.Write([]byte("x"))
			}
		} else {
			is.NoErr(conn.(*net.TCPConn).CloseWrite())
		}
		_, err = caller.Read(make([]byte, 1))
		is.Equal(err, io.EOF) // in both cases
		is.Equal(WasReset(caller), reset)
		_ = conn.Close()
		is.NoErr(caller.Close())
		is.True(WasReset(caller))
	}
	pipe, _ := net.Pipe()
	is.True(!WasReset(pipe))
}
