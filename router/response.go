package router

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"jacinthfork.example/jacinthfork/verdict"
	"jacinthfork.example/jacinthfork/wire"
)

// responseWriter passes a response to the caller. A response that has not started can be replaced by that
// of another attempt; one that has started can only be resumed or aborted.
type responseWriter interface {
	writeHead(h *wire.Head, headers http.Header) error
	writeData(d *wire.Data) error
	// finish is called when the response has been verified to be complete.
	finish() error
	// started reports whether the caller has received a part of the response.
	started() bool
	// deliveredEvents returns the number of events that the caller has received, from which a resumed
	// stream continues.
	deliveredEvents() uint64
	// writeError reports an error to the caller.
	writeError(err *verdict.Error, headers http.Header)
	// discard drops the buffered data of a failed attempt.
	discard()
}

// callerWriter writes to one caller with a timeout for each write.
type callerWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration
}

func newCallerWriter(w http.ResponseWriter, timeout time.Duration) callerWriter {
	return callerWriter{w: w, controller: http.NewResponseController(w), timeout: timeout}
}

func (c callerWriter) write(b []byte) error {
	if err := c.controller.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return fmt.Errorf("write deadline: %w", err)
	}
	if _, err := c.w.Write(b); err != nil {
		return verdict.Wrap(verdict.Unknown, verdict.ReasonCancelled, fmt.Errorf("caller is gone: %w", err))
	}
	return nil
}

func (c callerWriter) flush() { _ = c.controller.Flush() }

func (c callerWriter) setHeaders(h *wire.Head, extra http.Header) {
	for _, field := range h.GetHeaders() {
		c.w.Header().Add(field.GetName(), field.GetValue())
	}
	for name, values := range extra {
		c.w.Header()[name] = values
	}
}

// eventResponse is a stream of server-sent events. The head is sent with the first event, so that an
// attempt that fails earlier can be replaced.
type eventResponse struct {
	callerWriter
	headers   http.Header
	head      *wire.Head
	headSent  bool
	lastEvent uint64
	// onEvent is called for each event before it is written, also if the write fails.
	onEvent func()
}

func (r *eventResponse) writeHead(h *wire.Head, headers http.Header) error {
	r.head, r.headers = h, headers
	return nil
}

func (r *eventResponse) writeData(d *wire.Data) error {
	if !r.headSent {
		r.headSent = true
		r.headers.Set("Content-Type", "text/event-stream")
		r.headers.Set("Cache-Control", "no-store")
		r.setHeaders(r.head, r.headers)
		r.w.WriteHeader(int(r.head.GetStatus()))
	}
	r.onEvent()
	var event bytes.Buffer
	event.WriteString("id: ")
	event.WriteString(strconv.FormatUint(d.GetEvent(), 10))
	event.WriteString("\n")
	for line := range bytes.Lines(d.GetBody()) {
		event.WriteString("data: ")
		event.Write(bytes.TrimSuffix(line, []byte("\n")))
		event.WriteString("\n")
	}
	event.WriteString("\n")
	if err := r.write(event.Bytes()); err != nil {
		return err
	}
	r.lastEvent = d.GetEvent()
	r.flush()
	return nil
}

func (r *eventResponse) finish() error {
	if !r.headSent {
		r.headSent = true
		r.setHeaders(r.head, r.headers)
		r.w.WriteHeader(int(r.head.GetStatus()))
	}
	err := r.write([]byte("data: [DONE]\n\n"))
	r.flush()
	return err
}

func (r *eventResponse) started() bool           { return r.headSent }
func (r *eventResponse) deliveredEvents() uint64 { return r.lastEvent }
func (r *eventResponse) discard()                {}

// writeError writes a problem document. If the stream has started, it writes an error event and aborts the
// connection, so that a stream that ended early never looks complete.
func (r *eventResponse) writeError(err *verdict.Error, headers http.Header) {
	if !r.headSent {
		writeProblem(r.w, err, headers)
		return
	}
	_ = r.write(fmt.Appendf(nil, "event: error\ndata: %s\n\n", problemJSON(err, headers)))
	r.flush()
	panic(http.ErrAbortHandler)
}

// bufferedResponse buffers the response until it is complete. Whenever the buffer exceeds bufferLimit bytes, it
// sends and empties the buffer. If the response stays incomplete after that, it aborts the connection.
type bufferedResponse struct {
	callerWriter
	bufferLimit int
	headers     http.Header
	head        *wire.Head
	buffer      bytes.Buffer
	headSent    bool
}

func (r *bufferedResponse) writeHead(h *wire.Head, headers http.Header) error {
	r.head, r.headers = h, headers
	return nil
}

func (r *bufferedResponse) writeData(d *wire.Data) error {
	r.buffer.Write(d.GetBody())
	if r.buffer.Len() <= r.bufferLimit {
		return nil
	}
	return r.flushBuffer()
}

// flushBuffer sends the head, if that has not been done, and the buffered data.
func (r *bufferedResponse) flushBuffer() error {
	if !r.headSent {
		r.headSent = true
		r.setHeaders(r.head, r.headers)
		r.w.WriteHeader(int(r.head.GetStatus()))
	}
	defer r.buffer.Reset()
	return r.write(r.buffer.Bytes())
}

func (r *bufferedResponse) finish() error {
	if !r.headSent && bodyAllowed(r.head.GetStatus()) {
		r.headers.Set("Content-Length", strconv.Itoa(r.buffer.Len()))
	}
	return r.flushBuffer()
}

// bodyAllowed reports whether a response with this status has a body (RFC 9110, section 6.4.1).
func bodyAllowed(status int32) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified && status >= http.StatusOK
}

func (r *bufferedResponse) started() bool           { return r.headSent }
func (r *bufferedResponse) deliveredEvents() uint64 { return 0 }
func (r *bufferedResponse) discard()                { r.buffer.Reset() }

func (r *bufferedResponse) writeError(err *verdict.Error, headers http.Header) {
	if !r.headSent {
		writeProblem(r.w, err, headers)
		return
	}
	panic(http.ErrAbortHandler)
}
