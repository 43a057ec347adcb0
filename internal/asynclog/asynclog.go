// Package asynclog writes log lines without blocking the caller on the output. Lines are queued in a bounded
// buffer that a background goroutine flushes. As the buffer fills, lines about served requests are first sampled
// and then dropped, followed by lines about failed requests. Dropped lines are counted by class, and the counts
// are logged.
package asynclog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bufferBytes is the capacity of the buffer.
	bufferBytes = 256 << 10
	// flushInterval batches lines into one write, because a system call per line costs more than the
	// line itself.
	flushInterval = 100 * time.Millisecond
)

// Writer is an io.Writer for log lines. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	mu      sync.Mutex
	pending []byte
	// spare is the buffer of the last flush, which is reused for pending.
	spare []byte
	// pendingBytes is len(pending), for readers without the lock.
	pendingBytes atomic.Int64
	sampleCount  atomic.Uint64
	dropped      [numClasses]atomic.Uint64
	stop         chan struct{}
	done         chan struct{}
}

// New returns a Writer that writes to out. Call Close to flush the buffer.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer for lines of class State. It never fails and never blocks on the output.
func (w *Writer) Write(line []byte) (int, error) {
	w.enqueue(line, State)
	return len(line), nil
}

func (w *Writer) enqueue(line []byte, class Class) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > bufferBytes {
		w.dropped[class].Add(1)
		return
	}
	w.pending = append(w.pending, line...)
	w.pendingBytes.Store(int64(len(w.pending)))
}

// admit reports whether a line of the class may be written at the current fill level of the buffer. If not, it
// counts the line as dropped.
func (w *Writer) admit(class Class) bool {
	pending := w.pendingBytes.Load()
	admitted := pending < dropThresholds[class]
	if admitted && class == Served && pending >= sampleThreshold {
		admitted = w.sampleCount.Add(1)%sampleEvery == 0
	}
	if !admitted {
		w.dropped[class].Add(1)
	}
	return admitted
}

// Dropped returns the number of lines dropped since the start, keyed by class name.
func (w *Writer) Dropped() map[string]uint64 {
	counts := make(map[string]uint64, numClasses)
	for class := range numClasses {
		counts[class.String()] = w.dropped[class].Load()
	}
	return counts
}

func (w *Writer) run() {
	defer close(w.done)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	var reported [numClasses]uint64
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

func (w *Writer) flush(reported *[numClasses]uint64) {
	w.mu.Lock()
	lines := w.pending
	w.pending = w.spare[:0]
	w.spare = nil
	w.pendingBytes.Store(0)
	w.mu.Unlock()
	if len(lines) > 0 {
		// A failed log output can't be recovered here, and there is nowhere else to report it.
		_, _ = w.out.Write(lines)
	}
	w.reportDropped(reported)
	w.mu.Lock()
	w.spare = lines[:0]
	w.mu.Unlock()
}

// reportDropped writes the number of lines dropped since the last report directly to the output, bypassing the
// buffer.
func (w *Writer) reportDropped(reported *[numClasses]uint64) {
	for class := range numClasses {
		n := w.dropped[class].Load()
		if n == reported[class] {
			continue
		}
		_, _ = fmt.Fprintf(w.out, "{\"time\":%q,\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"class\":%q,\"count\":%d}\n",
			time.Now().Format(time.RFC3339Nano), class.String(), n-reported[class])
		reported[class] = n
	}
}

// closeTimeout is how long Close waits for an output that blocks.
const closeTimeout = 200 * time.Millisecond

// Close flushes the buffer and stops the background goroutine. It returns after closeTimeout even if the output
// still blocks.
func (w *Writer) Close() {
	close(w.stop)
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}
