package chat

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
)

// eventReader reads the data of server-sent events. Unlike the event stream format of the HTML standard, it also
// skips the fields event, id and retry, and it does not accept a lone CR as the end of a line.
type eventReader struct {
	lines    *bufio.Scanner
	maxBytes int
}

// newEventReader returns a reader of events with at most maxBytes of data each.
func newEventReader(body io.Reader, maxBytes int) *eventReader {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxBytes)
	return &eventReader{lines: lines, maxBytes: maxBytes}
}

// next returns the data of the next event. It returns io.EOF at the end of the body; an incomplete last
// event is dropped.
func (r *eventReader) next() ([]byte, error) {
	var data []byte
	hasData := false
	for r.lines.Scan() {
		line := r.lines.Bytes()
		if len(line) == 0 {
			if hasData {
				return data, nil
			}
			continue
		}
		value, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		if len(data)+len(value) > r.maxBytes {
			return nil, fmt.Errorf("event stream: an event exceeds %d bytes", r.maxBytes)
		}
		if hasData {
			data = append(data, '\n')
		}
		data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
		hasData = true
	}
	if err := r.lines.Err(); err != nil {
		return nil, fmt.Errorf("event stream: %w", err)
	}
	return nil, io.EOF
}
