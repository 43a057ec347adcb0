package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"jacinthfork.example/jacinthfork/internal/httpcheck"
	"jacinthfork.example/jacinthfork/internal/socket"
)

// Request is a request to a backend server. Body is held in memory, in pieces, so that it can be sent again.
type Request struct {
	Method string
	// Target is the path and query exactly as received from the caller.
	Target string
	Host   string
	Header http.Header
	Body   [][]byte
	// HasBody is set if the caller sent a body, even an empty one.
	HasBody bool
	// Match says to which request a response belongs.
	Match func(resp *http.Response) Match
	// Skipped, if set, is called for each foreign response that is skipped.
	Skipped func(resp *http.Response)
	// FirstByte, if set, is called once data of the response can be read. It reports whether the response is still wanted.
	FirstByte func() bool
}

// Match says to which request a response belongs.
type Match uint8

const (
	// Foreign is a response to another request. It is skipped.
	Foreign Match = iota
	// Own is the response to the request.
	Own
	// Unidentified is a response that does not say which request it answers. It is the response to the request if no other one
	// can have been sent on the connection.
	Unidentified
	// Ambiguous is a response that names several requests.
	Ambiguous
)

// ExchangeError is the error of a failed exchange.
type ExchangeError struct {
	// Sent is set if part of the request may have left this process. Do sets it in every error.
	Sent bool
	// TimedOut is set if the response header did not arrive in time.
	TimedOut bool
	// Mismatched is set if the data that arrived is not an HTTP response or responds to another request.
	Mismatched bool
	// Begun is set if a part of a response had arrived, so that the connection was not closed before the request came.
	Begun bool
	Err   error
}

// Error implements the error interface.
func (f *ExchangeError) Error() string { return f.Err.Error() }

// Unwrap returns the wrapped error.
func (f *ExchangeError) Unwrap() error { return f.Err }

// Errors of responses that may belong to another request.
var (
	ErrUnidentified = errors.New("a response on a connection with others does not say which request it answers")
	ErrAmbiguous    = errors.New("a response names several requests, or has several signatures")
)

// maxMismatched bounds the mismatched responses that are discarded on one connection.
const maxMismatched = 3

// maxMismatchedBytes bounds the body of a mismatched response that is discarded.
const maxMismatchedBytes = 1 << 20

// asyncWriteBytes is the size above which a body is written in a separate goroutine, because a backend server
// may respond before it has read a long body.
const asyncWriteBytes = 16 << 10

// Response is a response whose body is still to be read. Finish or Abort must be called. Of several calls the first one
// counts, and none does after the context has ended, which closes the connection: the others may come when another request
// has it.
type Response struct {
	*http.Response
	conn *Conn
	pool *Pool
	// upload is nil if the request was written completely before the response.
	upload *upload
	// stop keeps the end of the context from closing the connection. It is true once at most, for whoever decides on the
	// connection.
	stop func() bool
}

// Finish returns the connection to the pool. The body must have been read completely.
func (r *Response) Finish() {
	if !r.stop() {
		return
	}
	if !r.BodySent() {
		// The server would read the next request as part of the body.
		_ = r.conn.Close()
		return
	}
	r.pool.Put(r.conn, r.Response)
}

// FinishRefusal is Finish for a response that refuses the request with an ID.
func (r *Response) FinishRefusal(id string) {
	r.conn.recordRefusal(id)
	r.Finish()
}

// Abort closes the connection, which cancels the work at the backend server.
func (r *Response) Abort() {
	if r.stop() {
		_ = r.conn.Close()
	}
}

// Unread reports whether data of the body has arrived that was not read from the connection yet. It may be called while
// the body is read.
func (r *Response) Unread() bool { return r.conn.Unread() }

// Unread reports whether data has arrived that was not read from the connection yet. It may be called while a request is
// served on it.
func (c *Conn) Unread() bool {
	readable, err := socket.Readable(c.Conn)
	return err == nil && readable
}

// AwaitData returns once data of the body can be read. After an error, of type *ExchangeError, the connection is closed. It
// must not be called while the body is read.
func (r *Response) AwaitData() error {
	if r.ContentLength == 0 {
		return nil
	}
	if _, err := r.conn.reader.Peek(1); err != nil {
		r.Abort()
		return &ExchangeError{Sent: true, TimedOut: isTimeout(err), Err: fmt.Errorf("read: %w", err)}
	}
	return nil
}

// BodySent reports whether the request was written completely, so that nothing refers to its body any more.
func (r *Response) BodySent() bool { return r.upload.sent() }

// SetReadDeadline sets the deadline for reading the body. Zero removes it.
func (r *Response) SetReadDeadline(t time.Time) { _ = r.conn.SetReadDeadline(t) }

// Do sends a request on a connection and returns once the response header was read. The connection is closed
// when ctx is done. Errors are of type *ExchangeError; the connection is then closed.
func (p *Pool) Do(ctx context.Context, c *Conn, req *Request) (*Response, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	fail := func(f *ExchangeError) (*Response, error) {
		stop()
		_ = c.Close()
		f.Begun = c.checked.Begun()
		return nil, f
	}
	c.checked.Begin(req.Method)
	c.upload = nil
	c.carriedHead = c.carriedHead || req.Method == http.MethodHead
	if err := c.send(req); err != nil {
		return fail(&ExchangeError{Sent: true, Err: fmt.Errorf("write: %w", err)})
	}
	if err := c.awaitFirstByte(req); err != nil {
		return fail(&ExchangeError{Sent: true, TimedOut: isTimeout(err), Err: fmt.Errorf("read: %w", err)})
	}
	// A response without an ID may be a late copy of the one before, or come from a server that mixes responses up.
	doubtful := c.Reused
	for range maxMismatched {
		resp, err := c.receive(req)
		if err != nil {
			return fail(&ExchangeError{Sent: true, TimedOut: isTimeout(err), Mismatched: isMalformed(err), Err: fmt.Errorf("read: %w", err)})
		}
		match := req.Match(resp)
		switch {
		case match == Own, match == Unidentified && !doubtful:
			return &Response{Response: resp, conn: c, pool: p, upload: c.upload, stop: stop}, nil
		case match == Unidentified:
			return fail(&ExchangeError{Sent: true, Mismatched: true, Err: ErrUnidentified})
		case match == Ambiguous:
			return fail(&ExchangeError{Sent: true, Mismatched: true, Err: ErrAmbiguous})
		}
		doubtful = true
		if req.Skipped != nil {
			req.Skipped(resp)
		}
		if err := c.discardResponse(resp); err != nil {
			return fail(&ExchangeError{Sent: true, Mismatched: true, Err: err})
		}
	}
	return fail(&ExchangeError{Sent: true, Mismatched: true, Err: errors.New("only foreign responses came")})
}

// errUnwanted is the error of a response that came after all when it was not wanted any more.
var errUnwanted = errors.New("the response is not wanted any more")

// awaitFirstByte waits until data can be read, if the request wants to know.
func (c *Conn) awaitFirstByte(req *Request) error {
	if req.FirstByte == nil {
		return nil
	}
	if _, err := c.reader.Peek(1); err != nil {
		return err
	}
	if !req.FirstByte() {
		return errUnwanted
	}
	return nil
}

// receive reads a response header and skips interim (1xx) responses. The limits hold for all of them together.
func (c *Conn) receive(req *Request) (*http.Response, error) {
	c.limiter.start()
	defer c.limiter.stop()
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: req.Method})
		if c.limiter.exceeded != nil {
			return nil, c.limiter.exceeded
		}
		if err != nil {
			return nil, c.readError(err)
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// readError returns the error of the check of responses instead of that of net/http, which drops the error of a read that ends within
// a line.
func (c *Conn) readError(err error) error {
	var malformed *httpcheck.Error
	if errors.As(c.checked.Err(), &malformed) {
		return malformed
	}
	return err
}

// discardResponse reads a mismatched response to its end. Where that is depends on the method of its request, which is unknown.
func (c *Conn) discardResponse(resp *http.Response) error {
	if c.carriedHead {
		return errors.New("a foreign response may be one to HEAD")
	}
	if resp.Close {
		return errors.New("a foreign response ends with the connection")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxMismatchedBytes))
	if err != nil {
		return fmt.Errorf("foreign response: %w", err)
	}
	if n == maxMismatchedBytes {
		return errors.New("a foreign response is too long to skip")
	}
	return nil
}

// send writes the request. A long body is written by a separate goroutine, which ends when the connection
// closes.
func (c *Conn) send(req *Request) error {
	var head bytes.Buffer
	head.Grow(512)
	head.WriteString(req.Method)
	head.WriteByte(' ')
	head.WriteString(req.Target)
	head.WriteString(" HTTP/1.1\r\nHost: ")
	head.WriteString(req.Host)
	head.WriteString("\r\n")
	if err := req.Header.Write(&head); err != nil {
		return err
	}
	bodySize := 0
	for _, piece := range req.Body {
		bodySize += len(piece)
	}
	if req.HasBody {
		head.WriteString("Content-Length: ")
		head.WriteString(strconv.Itoa(bodySize))
		head.WriteString("\r\n")
	}
	head.WriteString("\r\n")
	if bodySize <= asyncWriteBytes {
		for _, piece := range req.Body {
			head.Write(piece)
		}
		_, err := c.Write(head.Bytes())
		return err
	}
	if _, err := c.Write(head.Bytes()); err != nil {
		return err
	}
	c.upload = startUpload(c.Conn, req.Body)
	return nil
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// isMalformed reports whether the data read is not an HTTP response, as opposed to a connection failure. Errors
// of package net and of system calls implement Temporary, parse errors do not.
func isMalformed(err error) bool {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return false
	}
	var connErr interface{ Temporary() bool }
	return !errors.As(err, &connErr)
}
