// Package asynclog writes log lines without ever delaying the caller. Lines wait in a bounded buffer
// for a writer of their own; lines that find it full are counted, and the count is itself logged.
package asynclog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bufferBytes bounds the lines that wait for the writer.
	bufferBytes = 256 << 10
	// flushInterval joins lines into one write; a system call for each line costs more than the line.
	flushInterval = 100 * time.Millisecond
)

// Writer is an io.Writer for log lines. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	mu      sync.Mutex
	pending []byte
	spare   []byte
	dropped atomic.Uint64
	stop    chan struct{}
	done    chan struct{}
}

// New returns a writer to out. Close must be called to write what waits.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never fails and never waits for the output.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > bufferBytes {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

func (w *Writer) run() {
	defer close(w.done)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	reported := uint64(0)
	for {
		select {
		case <-w.stop:
			w.flush(&reported)
			return
		case <-ticker.C:
			w.flush(&reported)
		}
	}
}

func (w *Writer) flush(reported *uint64) {
	w.mu.Lock()
	lines := w.pending
	w.pending = w.spare[:0]
	w.spare = nil
	w.mu.Unlock()
	if len(lines) > 0 {
		// Nothing can be done about an output that is closed, and there is nowhere to report it.
		_, _ = w.out.Write(lines)
	}
	if n := w.dropped.Load(); n != *reported {
		_, _ = fmt.Fprintf(w.out, "{\"time\":%q,\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"count\":%d}\n", time.Now().Format(time.RFC3339Nano), n-*reported)
		*reported = n
	}
	w.mu.Lock()
	w.spare = lines[:0]
	w.mu.Unlock()
}

// closeWait bounds the wait of Close for an output that does not take lines.
const closeWait = 200 * time.Millisecond

// Close writes what waits and ends the writer.
func (w *Writer) Close() {
	close(w.stop)
	select {
	case <-w.done:
	case <-time.After(closeWait):
	}
}
