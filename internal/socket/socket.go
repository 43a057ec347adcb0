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
)

// Readable reports whether a read would return at once: data has arrived that was not read yet, or the other side has
// closed the connection. It may be called while a read is in progress. A connection that is not one of the operating
// system is never readable. It fails if the connection is closed.
func Readable(conn net.Conn) (bool, error) {
	_, failure, err := peek(conn)
	return !errors.Is(failure, syscall.EAGAIN), err
}

// Ended reports whether the other side has closed or reset the connection and nothing is left to be read before that. It may
// be called while a read is in progress, and knows before a reader that has not run yet.
func Ended(conn net.Conn) bool {
	n, failure, err := peek(conn)
	return err == nil && (n == 0 && failure == nil || errors.Is(failure, syscall.ECONNRESET))
}

// peek looks for one byte without reading it. failure is that of the system call, EAGAIN if there is no data or the connection
// is not one of the operating system, and err says that the connection is closed.
func peek(conn net.Conn) (n int, failure, err error) {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return 0, syscall.EAGAIN, nil
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return 0, syscall.EAGAIN, err
	}
	p := peeks.Get().(*peeked)
	p.n, p.failure = 0, nil
	err = control.Control(p.run)
	n, failure = p.n, p.failure
	peeks.Put(p)
	return n, failure, err
}

// peeked is the result of a look for data on a descriptor. It is reused, because peek is called for each request.
type peeked struct {
	one     [1]byte
	n       int
	failure error
	run     func(fd uintptr)
}

var peeks = sync.Pool{New: func() any {
	p := &peeked{}
	p.run = func(fd uintptr) {
		p.n, _, p.failure = syscall.Recvfrom(int(fd), p.one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}
	return p
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
