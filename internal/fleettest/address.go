package fleettest

import (
	"net"
	"strconv"
	"sync/atomic"
	"testing"

	"jacinthfork.example/jacinthfork/internal/loopback"
)

// LoopbackIP returns a loopback address of its own for the listeners of one process of a fleet, see package loopback.
func LoopbackIP(t testing.TB) string {
	t.Helper()
	return loopback.NewIP()
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
