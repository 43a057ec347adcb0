// Package socket looks at the kernel's side of a TCP connection or listener, which the reads and accepts of package net
// wait for but do not show.
package socket

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Readable reports whether a read would return at once: data has arrived that was not read yet, or the other side has
// closed the connection. It may be called while a read is in progress. A connection that is not one of the operating
// system is never readable. It fails if the connection is closed.
func Readable(conn net.Conn) (bool, error) {
	l := looks.Get().(*look)
	defer looks.Put(l)
	l.ready = false
	err := control(conn, l.poll)
	return l.ready, err
}

// Ended reports whether the other side has closed or reset the connection and nothing is left to be read before that. It may
// be called while a read is in progress, and knows before a reader that has not run yet. After a reset, a later read returns
// io.EOF.
func Ended(conn net.Conn) bool {
	l := looks.Get().(*look)
	defer looks.Put(l)
	l.n, l.failure = 0, syscall.EAGAIN
	err := control(conn, l.peek)
	return err == nil && (l.n == 0 && l.failure == nil || errors.Is(l.failure, syscall.ECONNRESET))
}

// WasReset reports whether the connection has failed, other than by the end of the data of the other side. Unlike an error, which
// the kernel reports once, to a read or a write, this stays. It is true for a connection that was closed here, and false for one
// that is not of the operating system.
func WasReset(conn net.Conn) bool {
	closed := false
	err := control(conn, func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State == unix.BPF_TCP_CLOSE
	})
	return err != nil || closed
}

// control runs a function on the descriptor of a connection. It does nothing if the connection is not one of the operating system.
func control(conn net.Conn, run func(fd uintptr)) error {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	c, err := raw.SyscallConn()
	if err != nil {
		return err
	}
	return c.Control(run)
}

// look is a look for data on a descriptor. It is reused, because there is one for each request.
type look struct {
	// poll sets ready. It leaves the error of a reset to the next read.
	poll  func(fd uintptr)
	ready bool
	fds   [1]unix.PollFd
	// peek sets n and failure by looking for one byte without reading it.
	peek    func(fd uintptr)
	n       int
	failure error
	one     [1]byte
}

var looks = sync.Pool{New: func() any {
	l := &look{}
	l.poll = func(fd uintptr) {
		l.fds[0] = unix.PollFd{Fd: int32(fd), Events: unix.POLLIN}
		n, err := unix.Poll(l.fds[:], 0)
		for err == unix.EINTR {
			n, err = unix.Poll(l.fds[:], 0)
		}
		l.ready = n > 0 || err != nil
	}
	l.peek = func(fd uintptr) {
		l.n, _, l.failure = syscall.Recvfrom(int(fd), l.one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}
	return l
}}

// ReadNow reads from a non-blocking descriptor. The error is io.EOF at the end of the data, and syscall.EAGAIN if there is
// none yet.
func ReadNow(fd uintptr, p []byte) (int, error) {
	for {
		n, err := syscall.Read(int(fd), p)
		switch {
		case errors.Is(err, syscall.EINTR):
		case err != nil:
			return 0, err
		case n == 0 && len(p) > 0:
			return 0, io.EOF
		default:
			return n, nil
		}
	}
}

// AcceptPending accepts the connections that the operating system has completed and nobody has accepted yet. Closing
// the listener would reset them. The connections that it returns with an error can be used.
func AcceptPending(listener *net.TCPListener) ([]net.Conn, error) {
	control, err := listener.SyscallConn()
	if err != nil {
		return nil, err
	}
	var conns []net.Conn
	var failure error
	err = control.Control(func(fd uintptr) {
		for failure == nil {
			var conn net.Conn
			if conn, failure = accept(int(fd)); failure == nil {
				conns = append(conns, conn)
			}
		}
	})
	if errors.Is(failure, syscall.EAGAIN) {
		failure = nil
	}
	return conns, errors.Join(err, failure)
}

func accept(listener int) (net.Conn, error) {
	fd, _, err := syscall.Accept4(listener, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("accept: %w", err)
	}
	file := os.NewFile(uintptr(fd), "accepted")
	defer file.Close()
	// FileConn duplicates the descriptor.
	return net.FileConn(file)
}
