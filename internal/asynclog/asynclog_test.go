package asynclog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// blocked is an output that takes nothing until it is released.
type blocked struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *blocked) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// Guards against a log that delays requests or grows without bound when its output does not read, and
// against lines that are dropped without a word.
func TestNeverBlocks(t *testing.T) {
	is := is.New(t)
	out := &blocked{release: make(chan struct{})}
	w := New(out)
	line := []byte(strings.Repeat("x", 99) + "\n")
	const lines = 100_000 // a hundred times what fits
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

// Guards against the last lines of a process that stops.
func TestCloseWritesWhatWaits(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := New(&out)
	_, _ = w.Write([]byte("last\n"))
	w.Close()
	is.Equal(out.String(), "last\n")
}
