package backend

import (
	"errors"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// acceptAll returns the address of a server that accepts connections and keeps them.
func acceptAll(t *testing.T) string {
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
			t.Cleanup(func() { _ = conn.Close() })
		}
	}()
	return listener.Addr().String()
}

// Guards against connections above the limit, against idle ones that keep requests from being sent, and against closed ones that
// count.
func TestConnectionsStayWithinTheLimit(t *testing.T) {
	is := is.New(t)
	p := NewPool()
	others := int64(1)
	p.Limit(3, func() int64 { return others })
	address := acceptAll(t)
	get := func(server string) (*Conn, error) {
		return p.Get(t.Context(), Target{Server: server, Address: address, DialTimeout: 10 * time.Second})
	}
	first, err := get("a")
	is.NoErr(err)
	second, err := get("b")
	is.NoErr(err)
	_, err = get("c")
	is.True(errors.Is(err, ErrNoDescriptor))
	is.Equal(p.Short(), int64(1))
	p.Put(first, &http.Response{})
	third, err := get("c")
	is.NoErr(err) // the idle one gave its place
	is.True(!first.reusable())
	is.NoErr(second.Close())
	_ = second.Close()
	_, err = get("d")
	is.NoErr(err)
	_, err = get("e")
	is.True(errors.Is(err, ErrNoDescriptor))
	p.Put(third, &http.Response{})
	others = 2 // a caller's connection needs the place
	is.True(p.MakeRoom())
	others = 3
	is.True(!p.MakeRoom())
}

// Guards against a process without descriptors that reports a backend server as unreachable, or keeps idle connections.
func TestWantOfADescriptorIsNoFaultOfTheServer(t *testing.T) {
	is := is.New(t)
	p := NewPool()
	address := acceptAll(t)
	idle, err := p.Get(t.Context(), Target{Server: "a", Address: address, DialTimeout: 10 * time.Second})
	is.NoErr(err)
	p.Put(idle, &http.Response{})
	p.dialer.Control = func(string, string, syscall.RawConn) error { return syscall.EMFILE }
	_, err = p.Get(t.Context(), Target{Server: "b", Address: address, DialTimeout: 10 * time.Second})
	is.True(errors.Is(err, ErrNoDescriptor))
	open, _ := p.Stats()
	is.Equal(open, 0) // it was closed to make room
}
