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
	lines *bufio.Scanner
}

func newEventReader(body io.Reader, maxLineBytes int) *eventReader {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxLineBytes)
	return &eventReader{lines: lines}
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
