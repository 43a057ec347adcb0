package asynclog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// blockedWriter is an io.Writer that blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *blockedWriter) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// Guards against a log that blocks its callers or grows without bound when its output blocks, and against
// dropped lines that are not reported.
func TestWriteNeverBlocksAndReportsDroppedLines(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	w := New(out)
	line := []byte(strings.Repeat("x", 99) + "\n")
	const lines = 100_000 // 38 times the capacity of the buffer
	for range lines {
		n, err := w.Write(line)
		is.NoErr(err)
		is.Equal(n, len(line))
	}
	is.True(w.Dropped()["state"] > lines/2)
	w.mu.Lock()
	is.True(len(w.pending) <= bufferBytes)
	w.mu.Unlock()
	close(out.release)
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end) && !strings.Contains(out.String(), "log lines dropped"); {
		time.Sleep(5 * time.Millisecond)
	}
	w.Close()
	is.True(strings.Contains(out.String(), `"msg":"log lines dropped"`))
}

// Guards against losing the last lines of a process that exits.
func TestCloseFlushesPendingLines(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := New(&out)
	_, _ = w.Write([]byte("last\n"))
	w.Close()
	is.Equal(out.String(), "last\n")
}
