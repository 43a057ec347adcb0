package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a link between routers that ends because its client counts as unknown, and against unknown clients that keep
// connections of the peer port or shut other routers out.
func TestUnknownClientsOfThePeerPortAreBounded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	a := newHandler(0, listenAddress())
	a.fleet.MaxConnections = 3
	a.run(t)
	b := start(t, 1, listenAddress(), a.fleet.Address())
	eventually(t, func() bool { return a.alive() == 2 && b.alive() == 2 })
	eventually(t, func() bool { return a.fleet.limit.Unknown() == 0 })
	var silent []net.Conn
	for range 3 {
		conn, err := net.Dial("tcp", a.fleet.Address())
		is.NoErr(err)
		defer conn.Close()
		silent = append(silent, conn)
	}
	eventually(t, func() bool { return a.fleet.Refused() == 1 && a.fleet.limit.Unknown() == 2 })
	for _, conn := range silent {
		_, _ = io.Copy(io.Discard, conn) // returns once the router has closed it
	}
	is.Equal(a.alive(), 2)
	is.Equal(b.alive(), 2) // the link of the routers is older than the time for unknown ones
}

// Guards against unknown clients that keep a router out which has restarted, or starts late: its link is unknown at first.
func TestUnknownClientsDoNotKeepRoutersOut(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	a := newHandler(0, listenAddress())
	a.fleet.MaxConnections = 8
	a.run(t)
	// They send nothing and come back as soon as they are closed.
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 9)}}
	var running sync.WaitGroup
	defer running.Wait()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range 2 * a.fleet.MaxConnections {
		running.Go(func() {
			for ctx.Err() == nil {
				conn, err := dialer.DialContext(ctx, "tcp", a.fleet.Address())
				if err != nil {
					return
				}
				stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
				_, _ = io.Copy(io.Discard, conn) // returns once the router has closed it
				stop()
				_ = conn.Close()
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	eventually(t, func() bool { return a.fleet.Refused() > 0 })
	begin := time.Now()
	b := start(t, 1, listenAddress(), a.fleet.Address())
	eventually(t, func() bool { return a.alive() == 2 && b.alive() == 2 })
	is.True(time.Since(begin) < handshakeTimeout/2) // it did not wait until the connections of the crowd had lasted too long
}
