package socket

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Queues are the data of a connection that waits in the operating system.
type Queues struct {
	// Unread are the bytes that have arrived and were not read, Unsent those that the other side has not acknowledged.
	Unread, Unsent int64
	// Acknowledged is the number of bytes that the other side has acknowledged so far.
	Acknowledged int64
}

// ReadQueues returns the queues of a TCP connection. Those of other connections are empty.
func ReadQueues(conn net.Conn) (Queues, error) {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return Queues{}, nil
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return Queues{}, err
	}
	var out Queues
	var failure error
	err = control.Control(func(fd uintptr) {
		unread, inErr := unix.IoctlGetInt(int(fd), unix.SIOCINQ)
		unsent, outErr := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if failure = errors.Join(inErr, outErr, infoErr); failure == nil {
			out = Queues{Unread: int64(unread), Unsent: int64(unsent), Acknowledged: int64(info.Bytes_acked)}
		}
	})
	return out, errors.Join(err, failure)
}

// Listen listens on a TCP address. The buffers of the operating system for each connection have about the given sizes in bytes;
// 0 leaves them to the system, which lets them grow to megabytes.
func Listen(address string, receiveBuffer, sendBuffer int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failure error
		err := raw.Control(func(fd uintptr) {
			// Connections take the sizes over from the listener. The window of a connection is negotiated from its size.
			failure = errors.Join(setBuffer(int(fd), unix.SO_RCVBUF, receiveBuffer), setBuffer(int(fd), unix.SO_SNDBUF, sendBuffer))
		})
		return errors.Join(err, failure)
	}}
	return config.Listen(context.Background(), "tcp", address)
}

func setBuffer(fd, option, size int) error {
	if size == 0 {
		return nil
	}
	return unix.SetsockoptInt(fd, unix.SOL_SOCKET, option, size)
}
