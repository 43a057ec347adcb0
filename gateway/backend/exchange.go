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
)

// Request is what is sent. Body is held whole, so that it can be sent again.
type Request struct {
	Method string
	// Target is the path and query exactly as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody is set when the caller sent a body, even an empty one.
	HasBody bool
	// Owns reports whether a response belongs to this request.
	Owns func(resp *http.Response) bool
	// FirstByte is the wait for the first byte of the response after which GiveUp decides whether to go
	// on waiting for as long again. Zero waits without end.
	FirstByte time.Duration
	GiveUp    func() bool
}

// Failure is an error of an exchange.
type Failure struct {
	// Sent is false only when no byte of the request left this process, which proves that it did not
	// run.
	Sent bool
	// Silent is set when the time for the response header passed.
	Silent bool
	// Foreign is set when bytes came that belong to no request.
	Foreign bool
	Err     error
}

// Error implements the error interface.
func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap returns the wrapped error.
func (f *Failure) Unwrap() error { return f.Err }

// maxForeign bounds the foreign responses that are skipped on one connection.
const maxForeign = 3

// maxForeignBytes bounds the body of a foreign response that is skipped.
const maxForeignBytes = 1 << 20

// asyncWriteBytes is the body size above which it is written beside the reading, because a backend server
// may answer before it has read a long body.
const asyncWriteBytes = 16 << 10

// Response is the header of an answer whose body is still to be read from Body. Exactly one of
// Finish and Abort must be called.
type Response struct {
	*http.Response
	conn *Conn
	pool *Pool
	// written is closed when the request was written whole, and nil when it was before.
	written chan struct{}
	stop    func() bool
}

// Finish keeps the connection for the next request. The body must have been read to its end.
func (r *Response) Finish() {
	r.stop()
	if r.written != nil {
		select {
		case <-r.written:
		default:
			// The rest of the body is due on this connection; a next request would be read as body.
			_ = r.conn.Close()
			return
		}
	}
	r.pool.Put(r.conn, r.Response)
}

// Abort closes the connection, which stops the work at the backend server.
func (r *Response) Abort() {
	r.stop()
	_ = r.conn.Close()
}

// SetReadDeadline bounds the next reads of the body. Zero removes the bound.
func (r *Response) SetReadDeadline(t time.Time) { _ = r.conn.SetReadDeadline(t) }

// Do sends a request on a connection and returns the header of its response. The connection is
// closed when ctx ends. Errors are *Failure; the connection is closed then.
func (p *Pool) Do(ctx context.Context, c *Conn, req *Request) (*Response, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	fail := func(f *Failure) (*Response, error) {
		stop()
		_ = c.Close()
		return nil, f
	}
	written, err := c.send(req)
	if err != nil {
		return fail(&Failure{Sent: true, Err: fmt.Errorf("write: %w", err)})
	}
	if err := c.awaitFirstByte(req); err != nil {
		return fail(&Failure{Sent: true, Silent: isTimeout(err), Err: fmt.Errorf("read: %w", err)})
	}
	for range maxForeign {
		resp, err := c.receive(req)
		if err != nil {
			return fail(&Failure{Sent: true, Silent: isTimeout(err), Foreign: isMalformed(err), Err: fmt.Errorf("read: %w", err)})
		}
		if req.Owns(resp) {
			return &Response{Response: resp, conn: c, pool: p, written: written, stop: stop}, nil
		}
		if err := skip(resp); err != nil {
			return fail(&Failure{Sent: true, Foreign: true, Err: err})
		}
	}
	return fail(&Failure{Sent: true, Foreign: true, Err: errors.New("only foreign responses came")})
}

// awaitFirstByte waits until something can be read.
func (c *Conn) awaitFirstByte(req *Request) error {
	if req.FirstByte == 0 {
		return nil
	}
	for {
		if err := c.SetReadDeadline(time.Now().Add(req.FirstByte)); err != nil {
			return err
		}
		_, err := c.reader.Peek(1)
		if err == nil {
			return c.SetReadDeadline(time.Time{})
		}
		if !isTimeout(err) || req.GiveUp() {
			return err
		}
	}
}

// receive reads a response header and passes over interim ones.
func (c *Conn) receive(req *Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: req.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// skip reads a foreign response to its end.
func skip(resp *http.Response) error {
	if resp.Close {
		return errors.New("a foreign response ends with the connection")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBytes))
	if err != nil {
		return fmt.Errorf("foreign response: %w", err)
	}
	if n == maxForeignBytes {
		return errors.New("a foreign response is too long to skip")
	}
	return nil
}

// send writes the request. A long body is written by a goroutine of its own, which ends with the
// connection; the returned channel is then closed when all is written.
func (c *Conn) send(req *Request) (chan struct{}, error) {
	var head bytes.Buffer
	head.Grow(512)
	head.WriteString(req.Method)
	head.WriteByte(' ')
	head.WriteString(req.Target)
	head.WriteString(" HTTP/1.1\r\nHost: ")
	head.WriteString(req.Host)
	head.WriteString("\r\n")
	if err := req.Header.Write(&head); err != nil {
		return nil, err
	}
	if req.HasBody {
		head.WriteString("Content-Length: ")
		head.WriteString(strconv.Itoa(len(req.Body)))
		head.WriteString("\r\n")
	}
	head.WriteString("\r\n")
	if len(req.Body) <= asyncWriteBytes {
		head.Write(req.Body)
		_, err := c.Write(head.Bytes())
		return nil, err
	}
	if _, err := c.Write(head.Bytes()); err != nil {
		return nil, err
	}
	written := make(chan struct{})
	go func() {
		if _, err := c.Write(req.Body); err == nil {
			close(written)
		}
	}()
	return written, nil
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// isMalformed reports whether the bytes read are no response, in contrast to a broken connection.
func isMalformed(err error) bool {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return false
	}
	var op interface{ Temporary() bool }
	return !errors.As(err, &op)
}
