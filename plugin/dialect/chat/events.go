package chat

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
)

// eventReader reads the data of server-sent events. Comments and fields other than data are
// skipped, as the HTML standard's event stream format asks.
type eventReader struct {
	lines *bufio.Scanner
}

func newEventReader(body io.Reader, maxLineBytes int) *eventReader {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxLineBytes)
	return &eventReader{lines: lines}
}

// next returns the data of the next event. It returns io.EOF at the end of the body; an event that
// is cut off by the end is dropped.
func (r *eventReader) next() ([]byte, error) {
	var data []byte
	seen := false
	for r.lines.Scan() {
		line := r.lines.Bytes()
		if len(line) == 0 {
			if seen {
				return data, nil
			}
			continue
		}
		value, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		if seen {
			data = append(data, '\n')
		}
		data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
		seen = true
	}
	if err := r.lines.Err(); err != nil {
		return nil, fmt.Errorf("event stream: %w", err)
	}
	return nil, io.EOF
}
