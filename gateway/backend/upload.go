package backend

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"time"
)

// upload is a long body that is written while the response is read. A nil one was written before.
type upload struct {
	// done is closed once the body was written or its write has failed. err is the error of the write, set before.
	done chan struct{}
	err  error
}

// startUpload writes the pieces of a body to a connection. It ends when the connection is closed.
func startUpload(conn net.Conn, body [][]byte) *upload {
	u := &upload{done: make(chan struct{})}
	// WriteTo changes the list, and the body may be sent again.
	pieces := net.Buffers(slices.Clone(body))
	go func() {
		defer close(u.done)
		_, u.err = pieces.WriteTo(conn)
	}()
	return u
}

// sent reports whether the body was written completely, so that nothing refers to it any more.
func (u *upload) sent() bool {
	if u == nil {
		return true
	}
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}

// errUploadUnread is the error of an upload that the backend server, which has ended its side of the connection, does not read.
var errUploadUnread = errors.New("the request was not read to its end")

// wait waits for the end of the write and returns its error. A backend server that has closed the connection resets it when
// more data arrives, one that has closed its side only may read on.
func (u *upload) wait() error {
	if u == nil {
		return nil
	}
	timer := time.NewTimer(ackTimeout)
	defer timer.Stop()
	select {
	case <-u.done:
	case <-timer.C:
		return errUploadUnread
	}
	if u.err != nil {
		return fmt.Errorf("write: %w", u.err)
	}
	return nil
}
