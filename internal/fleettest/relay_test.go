package fleettest

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// Guards against a relay that ends a connection in order where the target has reset it: a response that lasts until its
// connection ends would look whole.
func TestRelayPassesAResetOn(t *testing.T) {
	is := is.New(t)
	target, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = target.Close() }()
	relay := NewRelay(t, "127.0.0.1", target.Addr().String())
	conn, err := net.Dial("tcp", relay.Address())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	server, err := target.Accept()
	is.NoErr(err)
	_, err = server.Write([]byte("part"))
	is.NoErr(err)
	part := make([]byte, len("part"))
	_, err = io.ReadFull(conn, part)
	is.NoErr(err)
	reset(server)
	_, err = conn.Read(part)
	is.True(errors.Is(err, syscall.ECONNRESET))
}
