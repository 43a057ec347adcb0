package fleettest

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

var lastHost atomic.Uint32

// octets is how many values of one number of an address are used.
const octets = 250

// Host returns an IP address in 127.0.0.0/8 that no earlier call in this test binary has returned.
// The process id is part of it, so that test binaries that run at one time rarely share an address.
func Host(t testing.TB) string {
	t.Helper()
	n := int(lastHost.Add(1))
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid%octets, (pid/octets+n/octets)%octets, 1+n%octets)
}

// Address returns a free port on a host, as host:port.
func Address(t testing.TB, host string) string {
	t.Helper()
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}
