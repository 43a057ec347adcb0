package gateway

import (
	"bufio"
	"bytes"
	"io"

	"jacinthfork.example/jacinthfork/gateway/buffer"
)

const (
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 256 << 10
	// eventBufferBytes is the size of a stream's read buffer.
	eventBufferBytes = 2 << 10
)

// event is one event of a text/event-stream.
type event struct {
	// raw are the bytes of the event, including its terminating blank line. They are valid until the next event
	// is read.
	raw []byte
	id  string
	// hasData is set if the event has a data field. A comment, which some servers send to keep a connection
	// open, has none.
	hasData bool
}

// eventReader reads complete events from a text/event-stream.
type eventReader struct {
	reader *bufio.Reader
	buffer *buffer.Buffer
}

func newEventReader(body io.Reader, budget *buffer.Budget) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(body, eventBufferBytes), buffer: budget.New("event", maxEventBytes)}
}

// close gives the memory of the reader back.
func (e *eventReader) close() { e.buffer.Close() }

// next returns the next event. At the end of the stream it returns any bytes after the last event as raw, with io.EOF if
// they are blank and io.ErrUnexpectedEOF if the stream ends inside an event. It fails with a *buffer.LimitError if the
// event is too large.
func (e *eventReader) next() (event, error) {
	e.buffer.Reset()
	var out event
	lineStart := 0
	for {
		piece, err := e.reader.ReadSlice('\n')
		if _, limitErr := e.buffer.Write(piece); limitErr != nil {
			return event{}, limitErr
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		out.raw = e.buffer.Bytes()
		if err == io.EOF && len(bytes.Trim(out.raw, "\r\n")) > 0 {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return out, err
		}
		line := bytes.TrimRight(out.raw[lineStart:], "\r\n")
		lineStart = len(out.raw)
		if len(line) == 0 {
			return out, nil
		}
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			out.id = string(bytes.TrimSpace(value))
		}
		out.hasData = out.hasData || bytes.HasPrefix(line, []byte("data:"))
	}
}

// hasBufferedEvent reports whether a complete event is buffered. An incomplete one does not delay flushing
// the events before it.
func (e *eventReader) hasBufferedEvent() bool {
	// Peeking at buffered bytes cannot fail.
	buffered, _ := e.reader.Peek(e.reader.Buffered())
	return bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n"))
}
