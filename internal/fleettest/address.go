package fleettest

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

var lastHost atomic.Uint32

// hostsPerProcess is the number of IP addresses that one test binary can use.
const hostsPerProcess = 250

// Host returns an IP address in 127.0.0.0/8 that no other call in this test binary has returned. The
// two middle numbers come from the process id, so that test binaries that run at one time rarely
// share an address.
func Host(t testing.TB) string {
	t.Helper()
	n := lastHost.Add(1)
	if n > hostsPerProcess {
		t.Fatalf("fleettest: more than %d addresses", hostsPerProcess)
	}
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>8%250, pid%256, n)
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
