// Package asynclog writes log lines without ever delaying the caller. Lines wait in a bounded buffer
// for a writer of their own. While the buffer fills, lines of requests that were served are sampled
// and then dropped, next those of requests that failed; what is dropped is counted by class, and the
// counts are themselves logged.
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
	// waiting is len(pending), for readers without the lock.
	waiting atomic.Int64
	sampled atomic.Uint64
	dropped [classes]atomic.Uint64
	stop    chan struct{}
	done    chan struct{}
}

// New returns a writer to out. Close must be called to write what waits.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer for lines of class State. It never fails and never waits for the output.
func (w *Writer) Write(line []byte) (int, error) {
	w.write(line, State)
	return len(line), nil
}

func (w *Writer) write(line []byte, class Class) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > bufferBytes {
		w.dropped[class].Add(1)
		return
	}
	w.pending = append(w.pending, line...)
	w.waiting.Store(int64(len(w.pending)))
}

// admits decides whether a line of the class is written, given what waits, and counts it if not.
func (w *Writer) admits(class Class) bool {
	waiting := w.waiting.Load()
	admitted := waiting < limits[class]
	if admitted && class == Served && waiting >= sampleFrom {
		admitted = w.sampled.Add(1)%sampleEvery == 0
	}
	if !admitted {
		w.dropped[class].Add(1)
	}
	return admitted
}

// Dropped returns the number of lines dropped since the start, by the name of their class.
func (w *Writer) Dropped() map[string]uint64 {
	counts := make(map[string]uint64, classes)
	for class := range classes {
		counts[class.String()] = w.dropped[class].Load()
	}
	return counts
}

func (w *Writer) run() {
	defer close(w.done)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	var reported [classes]uint64
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

func (w *Writer) flush(reported *[classes]uint64) {
	w.mu.Lock()
	lines := w.pending
	w.pending = w.spare[:0]
	w.spare = nil
	w.waiting.Store(0)
	w.mu.Unlock()
	if len(lines) > 0 {
		// Nothing can be done about an output that is closed, and there is nowhere to report it.
		_, _ = w.out.Write(lines)
	}
	w.reportDropped(reported)
	w.mu.Lock()
	w.spare = lines[:0]
	w.mu.Unlock()
}

// reportDropped writes the number of lines dropped since the last report, past the buffer.
func (w *Writer) reportDropped(reported *[classes]uint64) {
	for class := range classes {
		n := w.dropped[class].Load()
		if n == reported[class] {
			continue
		}
		_, _ = fmt.Fprintf(w.out, "{\"time\":%q,\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"class\":%q,\"count\":%d}\n",
			time.Now().Format(time.RFC3339Nano), class.String(), n-reported[class])
		reported[class] = n
	}
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
