package backend

import (
	"bytes"
	"io"

	"jacinthfork.example/jacinthfork/gateway/buffer"
)

const (
	// maxHeadBytes and maxHeadLines bound a response header together with the interim responses before it.
	maxHeadBytes = 32 << 10
	maxHeadLines = 200
)

// headLimiter reads from a connection and fails once a response header is too long. It counts what it has read
// since start, and checks before each read of at most readBuffer bytes, so that a body that arrives together
// with its header is not counted.
type headLimiter struct {
	io.Reader
	active       bool
	bytes, lines int
	// exceeded is the error of the limit that was exceeded. The parser may report a malformed line instead when
	// the limit falls into a line.
	exceeded error
}

// start begins to count.
func (l *headLimiter) start() { l.active, l.bytes, l.lines = true, 0, 0 }

// stop ends the limit: bodies are bounded by their reader.
func (l *headLimiter) stop() { l.active = false }

// Read implements io.Reader. It fails with a *buffer.LimitError, and then always.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.active {
		return l.Reader.Read(p)
	}
	if l.bytes > maxHeadBytes {
		l.exceeded = &buffer.LimitError{What: "response header", Limit: maxHeadBytes, Unit: "bytes"}
	}
	if l.lines > maxHeadLines {
		l.exceeded = &buffer.LimitError{What: "response header", Limit: maxHeadLines, Unit: "lines"}
	}
	if l.exceeded != nil {
		return 0, l.exceeded
	}
	n, err := l.Reader.Read(p)
	l.bytes += n
	l.lines += bytes.Count(p[:n], []byte("\n"))
	return n, err
}
