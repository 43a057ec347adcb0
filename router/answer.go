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

// answer passes a response to the caller. An answer that has not begun may be replaced by that of
// another attempt; one that has begun can only be continued or broken off.
type answer interface {
	head(h *wire.Head, headers http.Header) error
	data(d *wire.Data) error
	// end is called when the response is proved whole.
	end() error
	// begun reports whether the caller has seen a part of the response.
	begun() bool
	// delivered is the number of events that the caller has, for a resume.
	delivered() uint64
	// fail tells the caller of an error.
	fail(err *verdict.Error, headers http.Header)
	// reset drops what was held back of a failed attempt.
	reset()
}

// callerWriter writes to one caller with a bound on each write.
type callerWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
}

func newCallerWriter(w http.ResponseWriter, timeout time.Duration) callerWriter {
	return callerWriter{w: w, control: http.NewResponseController(w), timeout: timeout}
}

func (c callerWriter) write(b []byte) error {
	if err := c.control.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return fmt.Errorf("write deadline: %w", err)
	}
	if _, err := c.w.Write(b); err != nil {
		return verdict.Wrap(verdict.Unknown, verdict.ReasonCancelled, fmt.Errorf("caller is gone: %w", err))
	}
	return nil
}

func (c callerWriter) flush() { _ = c.control.Flush() }

func (c callerWriter) setHeaders(h *wire.Head, extra http.Header) {
	for _, field := range h.GetHeaders() {
		c.w.Header().Add(field.GetName(), field.GetValue())
	}
	for name, values := range extra {
		c.w.Header()[name] = values
	}
}

// eventAnswer is a stream of server-sent events. The head goes out with the first event, so that
// an attempt that fails before it can be replaced.
type eventAnswer struct {
	callerWriter
	headers http.Header
	current *wire.Head
	open    bool
	last    uint64
	// onToken is called for each event that is passed on.
	onToken func()
}

func (a *eventAnswer) head(h *wire.Head, headers http.Header) error {
	a.current, a.headers = h, headers
	return nil
}

func (a *eventAnswer) data(d *wire.Data) error {
	if !a.open {
		a.open = true
		a.headers.Set("Content-Type", "text/event-stream")
		a.headers.Set("Cache-Control", "no-store")
		a.setHeaders(a.current, a.headers)
		a.w.WriteHeader(int(a.current.GetStatus()))
	}
	a.onToken()
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
	if err := a.write(event.Bytes()); err != nil {
		return err
	}
	a.last = d.GetEvent()
	a.flush()
	return nil
}

func (a *eventAnswer) end() error {
	if !a.open {
		a.open = true
		a.setHeaders(a.current, a.headers)
		a.w.WriteHeader(int(a.current.GetStatus()))
	}
	err := a.write([]byte("data: [DONE]\n\n"))
	a.flush()
	return err
}

func (a *eventAnswer) begun() bool       { return a.open }
func (a *eventAnswer) delivered() uint64 { return a.last }
func (a *eventAnswer) reset()            {}

// fail writes a problem document, or an error event and a broken connection when the stream has
// begun, so that a stream that ended early never looks whole.
func (a *eventAnswer) fail(err *verdict.Error, headers http.Header) {
	if !a.open {
		writeProblem(a.w, err, headers)
		return
	}
	_ = a.write(fmt.Appendf(nil, "event: error\ndata: %s\n\n", problemJSON(err, headers)))
	a.flush()
	panic(http.ErrAbortHandler)
}

// heldAnswer holds the response back until it is whole. Beyond limit bytes it passes it on as it
// comes, and breaks the connection when it does not become whole.
type heldAnswer struct {
	callerWriter
	limit   int
	headers http.Header
	current *wire.Head
	held    bytes.Buffer
	open    bool
}

func (a *heldAnswer) head(h *wire.Head, headers http.Header) error {
	a.current, a.headers = h, headers
	return nil
}

func (a *heldAnswer) data(d *wire.Data) error {
	a.held.Write(d.GetBody())
	if a.held.Len() <= a.limit {
		return nil
	}
	return a.release()
}

// release writes what is held.
func (a *heldAnswer) release() error {
	if !a.open {
		a.open = true
		a.setHeaders(a.current, a.headers)
		a.w.WriteHeader(int(a.current.GetStatus()))
	}
	defer a.held.Reset()
	return a.write(a.held.Bytes())
}

func (a *heldAnswer) end() error {
	if !a.open && bodyAllowed(a.current.GetStatus()) {
		a.headers.Set("Content-Length", strconv.Itoa(a.held.Len()))
	}
	return a.release()
}

// bodyAllowed reports whether a response with this status has a body (RFC 9110, section 6.4.1).
func bodyAllowed(status int32) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified && status >= http.StatusOK
}

func (a *heldAnswer) begun() bool       { return a.open }
func (a *heldAnswer) delivered() uint64 { return 0 }
func (a *heldAnswer) reset()            { a.held.Reset() }

func (a *heldAnswer) fail(err *verdict.Error, headers http.Header) {
	if !a.open {
		writeProblem(a.w, err, headers)
		return
	}
	panic(http.ErrAbortHandler)
}
