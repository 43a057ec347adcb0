package fleettest

import (
	"fmt"
	"net"
	"os"
	"strconv"
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

// Ports that are handed out lie below the range that the system gives to outgoing connections and to
// listeners on port 0.
const (
	firstPort = 10000
	ports     = 20000
)

var lastPort atomic.Uint32

// Address returns a free port on a host, as host:port. No port is returned twice: a process gets
// several addresses before it listens on any of them, and with ports chosen by the system two of
// them were once equal.
func Address(t testing.TB, host string) string {
	t.Helper()
	for range ports {
		port := firstPort + int(lastPort.Add(1))%ports
		address := net.JoinHostPort(host, strconv.Itoa(port))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		return address
	}
	t.Fatalf("no free port on %s", host)
	return ""
}
