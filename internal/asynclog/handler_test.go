package asynclog

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a burst of served or failed requests that fills the buffer and displaces State lines, and
// against dropped lines that are not counted.
func TestStateLinesAreKeptUnderOverload(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	w := New(out)
	log := slog.New(NewHandler(w, nil)).With("node", "n1")
	served, failed := WithClass(t.Context(), Served), WithClass(t.Context(), Failed)
	const lines = 20_000
	padding := strings.Repeat("x", 100)
	for range lines {
		log.InfoContext(served, "request served", "padding", padding)
	}
	is.True(w.pendingBytes.Load() <= dropThresholds[Served]+1000)
	for range lines {
		log.InfoContext(failed, "request failed", "padding", padding)
	}
	is.True(w.pendingBytes.Load() <= dropThresholds[Failed]+1000)
	const ejections = 100
	for range ejections {
		log.Warn("instance ejected", "instance", "w1")
	}
	dropped := w.Dropped()
	is.True(dropped["served"] > 0)
	is.True(dropped["failed"] > 0)
	is.Equal(dropped["state"], uint64(0))
	close(out.release)
	w.Close()
	text := out.String()
	is.Equal(strings.Count(text, `"msg":"instance ejected"`), ejections)
	is.Equal(strings.Count(text, `"msg":"request served"`), lines-int(dropped["served"]))
	is.True(strings.Contains(text, `"msg":"log lines dropped","class":"served"`))
	is.True(strings.Contains(text, `"msg":"log lines dropped","class":"failed"`))
}

// Guards against lines lost at normal load, and against a class that alters the content of a line.
func TestHandlerWritesAllAttributes(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := New(&out)
	log := slog.New(NewHandler(w, nil)).With("node", "n1").WithGroup("g")
	log.InfoContext(WithClass(context.Background(), Served), "request served", "id", "r1")
	log.Debug("hidden")
	w.Close()
	is.True(strings.Contains(out.String(), `"msg":"request served","node":"n1","g":{"id":"r1"}}`))
	is.Equal(strings.Count(out.String(), "\n"), 1)
}

// BenchmarkServedLine measures the CPU time of logging a served request, for a written and a dropped line.
func BenchmarkServedLine(b *testing.B) {
	for name, fill := range map[string]int64{"written": 0, "dropped": dropThresholds[Served]} {
		b.Run(name, func(b *testing.B) {
			w := &Writer{pending: make([]byte, 0, bufferBytes)}
			log := slog.New(NewHandler(w, nil)).With("node", "n1")
			ctx := WithClass(b.Context(), Served)
			b.ReportAllocs()
			for b.Loop() {
				w.pending = w.pending[:0]
				w.pendingBytes.Store(fill)
				log.InfoContext(ctx, "request served", "id", "3b02a7d23c80ab8b", "route", "r-d5as7r4", "pool", "zipu7b",
					"organisation", "acme", "instance", "w-17", "attempt", 1, "cached", 1200, "fetched_from", "", "load", 3.5,
					"mean", 2.1, "waited_ms", 0, "took_ms", 812, "config", 41)
			}
		})
	}
}
