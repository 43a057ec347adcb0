// Package loopback gives listeners of tests and stand-ins loopback addresses of their own.
//
// The system takes the local ports of outgoing connections on 127.0.0.1, and the ports of listeners there on port 0, from
// one range. A listener there that is closed for a while can lose its port. On another address of 127.0.0.0/8 it
// keeps it: connections to that address are made from 127.0.0.1.
package loopback

import (
	"fmt"
	"os"
	"sync/atomic"
)

var last atomic.Uint32

// octetValues is the number of values used for each octet of an address.
const octetValues = 250

// NewIP returns an IP address in 127.0.0.0/8 that differs from those of earlier calls in this process, until
// the octets wrap around. The address depends on the process id, so that concurrent processes rarely share one.
func NewIP() string {
	n := int(last.Add(1))
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid%octetValues, (pid/octetValues+n/octetValues)%octetValues, 1+n%octetValues)
}
