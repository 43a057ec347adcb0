package connlimit

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against more connections than the limit, and against a limit that counts connections which have ended.
func TestConnectionsAboveTheLimitAreClosed(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer inner.Close()
	l := New(inner, 1)
	accepted := make(chan net.Conn)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	dial()
	first := <-accepted
	_, err = dial().Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	is.Equal(l.Refused(), int64(1))
	is.NoErr(first.Close())
	_ = first.Close()
	dial()
	<-accepted
}

// Guards against a client that sends much, or stays, without having shown that it belongs to the server, and against limits
// for one that has.
func TestUnknownClientsAreBounded(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer inner.Close()
	l := New(inner, 10)
	l.UnknownBytes, l.UnknownTime = 1000, 100*time.Millisecond
	open := func() (client, server net.Conn) {
		client, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = client.Close() })
		server, err = l.Accept()
		is.NoErr(err)
		return client, server
	}
	client, server := open()
	_, err = client.Write(make([]byte, 5000))
	is.NoErr(err)
	_, err = io.Copy(io.Discard, server)
	is.Equal(err, errUnknown)
	is.NoErr(server.Close())
	client, _ = open()
	_, err = client.Read(make([]byte, 1))
	is.Equal(err, io.EOF) // it has lasted too long
	client, server = open()
	l.Trust(client.LocalAddr().String())
	time.Sleep(2 * l.UnknownTime)
	go func() { _, _ = client.Write(make([]byte, 5000)) }()
	_, err = io.ReadFull(server, make([]byte, 5000))
	is.NoErr(err)
	is.Equal(l.Refused(), int64(2))
}

// Guards against clients that show nothing and keep those out that belong to the server, and against a new client that takes
// the place of one that belongs to it.
func TestUnknownClientsGiveTheirPlaceToNewOnes(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer inner.Close()
	const limit, crowd = 4, 20
	l := New(inner, limit)
	l.UnknownBytes = 1000
	open := func(from string) (client, server net.Conn) {
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
		client, err := dialer.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = client.Close() })
		type result struct {
			conn net.Conn
			err  error
		}
		accepted := make(chan result, 1)
		go func() { conn, err := l.Accept(); accepted <- result{conn, err} }()
		select {
		case r := <-accepted:
			is.NoErr(r.err)
			return client, r.conn
		case <-time.After(5 * time.Second):
			t.Fatal("a new client is kept out")
			return nil, nil
		}
	}
	served := func(client, server net.Conn) {
		t.Helper()
		_, err := client.Write([]byte("x"))
		is.NoErr(err)
		_, err = io.ReadFull(server, make([]byte, 1))
		is.NoErr(err)
	}
	known, knownServer := open("127.0.0.2")
	l.Trust(known.LocalAddr().String())
	for range crowd {
		open("127.0.0.3")
	}
	slow, slowServer := open("127.0.0.4")
	for range crowd {
		open("127.0.0.3")
	}
	served(known, knownServer)
	served(slow, slowServer) // the crowd displaces only its own connections
	l.Trust(slow.LocalAddr().String())
	is.Equal(l.Unknown(), limit-2)
	is.Equal(l.Refused(), int64(2*crowd+2-limit))
}

// Guards against more connections than the limit if all belong to the server.
func TestKnownClientsAreNotDisplaced(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer inner.Close()
	l := New(inner, 1)
	l.UnknownBytes = 1000
	first, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer first.Close()
	_, err = l.Accept()
	is.NoErr(err)
	l.Trust(first.LocalAddr().String())
	go func() { _, _ = l.Accept() }()
	second, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer second.Close()
	_, err = second.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	is.Equal(l.Refused(), int64(1))
}
