package loopback

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// Guards against a listener that cannot be opened again on its port, because an outgoing connection was given that port
// in between.
func TestOutgoingConnectionsTakeNoPortOfTheAddress(t *testing.T) {
	is := is.New(t)
	ip := NewIP()
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	local, _, err := net.SplitHostPort(conn.LocalAddr().String())
	is.NoErr(err)
	is.True(local != ip)
	is.True(NewIP() != ip)
}

// Guards against two fleets of routers in tests that become one, because a router of one of them was given the address of a
// router of the other that has stopped.
func TestNoAddressIsGivenTwice(t *testing.T) {
	is := is.New(t)
	const addresses = 2000
	seen := make(map[string]bool)
	for range addresses {
		ip := NewIP()
		is.True(!seen[ip])
		seen[ip] = true
	}
}
