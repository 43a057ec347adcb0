// Package requestbody reads request bodies up to a size limit.
package requestbody

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// maxDrainBytes and drainTimeout bound how much of a body is read and discarded. Without draining, a
	// client that sends its whole body before it reads would see a connection reset instead of the status. 64 MB
	// take 0.5 s at 1 Gbit/s.
	maxDrainBytes = 64 << 20
	drainTimeout  = 2 * time.Second
)

// TooLargeError is returned for a body that exceeds the limit.
type TooLargeError struct {
	// Limit is in bytes.
	Limit int64
}

func (e *TooLargeError) Error() string { return fmt.Sprintf("the body exceeds %d bytes", e.Limit) }

// Read returns the complete body of r. If the body has more than limit bytes, Read returns a TooLargeError and the
// connection is closed after the response. 0 means no limit.
func Read(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if limit <= 0 {
		return io.ReadAll(r.Body)
	}
	if r.ContentLength > limit {
		return nil, rejectTooLarge(w, r, limit)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, rejectTooLarge(w, r, limit)
	}
	return body, nil
}

func rejectTooLarge(w http.ResponseWriter, r *http.Request, limit int64) error {
	w.Header().Set("Connection", "close")
	Discard(w, r)
	return &TooLargeError{Limit: limit}
}

// Discard reads what is left of the body of a request that is answered without it, up to a size and for a time. net/http
// leaves the body of a connection that ends with the response unread, and closing it then resets it. It reports whether the
// end of the body was reached; if it was not, the connection must not be used for another request.
func Discard(w http.ResponseWriter, r *http.Request) (complete bool) {
	// A client that sent Expect has not sent the body yet, and reading would send it 100 Continue.
	if r.ContentLength == 0 {
		return true
	}
	if r.Header.Get("Expect") != "" {
		return false
	}
	if err := http.NewResponseController(w).SetReadDeadline(time.Now().Add(drainTimeout)); err != nil {
		return false
	}
	// The request is answered whether or not the rest of the body can be read.
	_, err := io.CopyN(io.Discard, r.Body, maxDrainBytes)
	return err == io.EOF
}
