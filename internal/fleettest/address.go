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

// octetValues is the number of values used for each octet of an address.
const octetValues = 250

// LoopbackIP returns an IP address in 127.0.0.0/8 that differs from those of earlier calls in this test
// binary, until the octets wrap around. The address depends on the process id, so that concurrent test
// binaries rarely share one.
func LoopbackIP(t testing.TB) string {
	t.Helper()
	n := int(lastHost.Add(1))
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid%octetValues, (pid/octetValues+n/octetValues)%octetValues, 1+n%octetValues)
}

// The allocated ports lie below the ephemeral range, from which the system takes the ports of outgoing
// connections and of listeners on port 0.
const (
	minPort   = 10000
	portCount = 20000
)

var lastPort atomic.Uint32

// FreeAddress returns host:port with a free port. It does not return a port again until the range wraps
// around: a process gets several addresses before it listens on any of them, and with ports chosen by the
// system two of them were once equal.
func FreeAddress(t testing.TB, host string) string {
	t.Helper()
	for range portCount {
		port := minPort + int(lastPort.Add(1))%portCount
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
