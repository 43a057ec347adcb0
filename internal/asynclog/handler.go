package asynclog

import (
	"context"
	"log/slog"
)

// Class orders lines by what their loss costs a reader. The lower class is dropped later.
type Class uint8

// Classes of lines.
const (
	// State is for lines about the process and what it believes. They are few, and explain many
	// requests. Lines of an unmarked context are of this class.
	State Class = iota
	// Failed is for lines about requests or attempts that failed.
	Failed
	// Served is for lines about requests that were served.
	Served

	classes = Served + 1
)

// String returns the name of the class in lines and counters.
func (c Class) String() string { return [classes]string{"state", "failed", "served"}[c] }

const (
	// sampleFrom is the fill of the buffer from which only one in sampleEvery lines of class Served is
	// written. At 300 bytes a line and ten writes a second it is reached at 2,200 requests a second.
	sampleFrom = bufferBytes / 4
	// sampleEvery leaves enough lines to see where a pool's requests went.
	sampleEvery = 16
)

// limits are the fills of the buffer from which lines of a class are dropped. The last quarter is kept
// for lines about the process: a storm of refusals must not hide the ejection that caused it.
var limits = [classes]int64{State: bufferBytes, Failed: bufferBytes * 3 / 4, Served: bufferBytes / 2}

type classKey struct{}

// Mark returns a context whose lines are of the given class.
func Mark(ctx context.Context, class Class) context.Context {
	return context.WithValue(ctx, classKey{}, class)
}

// NewHandler returns a handler that writes JSON lines to w and drops them by class before they are
// formatted.
func NewHandler(w *Writer, options *slog.HandlerOptions) slog.Handler {
	h := &handler{writer: w}
	for class := range classes {
		h.formats[class] = slog.NewJSONHandler(classWriter{w, class}, options)
	}
	return h
}

type handler struct {
	writer  *Writer
	formats [classes]slog.Handler
}

func (h *handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.formats[State].Enabled(ctx, level)
}

func (h *handler) Handle(ctx context.Context, record slog.Record) error {
	class, _ := ctx.Value(classKey{}).(Class)
	if !h.writer.admits(class) {
		return nil
	}
	return h.formats[class].Handle(ctx, record)
}

func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return h.with(func(f slog.Handler) slog.Handler { return f.WithAttrs(attrs) })
}

func (h *handler) WithGroup(name string) slog.Handler {
	return h.with(func(f slog.Handler) slog.Handler { return f.WithGroup(name) })
}

func (h *handler) with(derive func(slog.Handler) slog.Handler) slog.Handler {
	derived := &handler{writer: h.writer}
	for class, f := range h.formats {
		derived.formats[class] = derive(f)
	}
	return derived
}

// classWriter passes lines of one class to the writer.
type classWriter struct {
	writer *Writer
	class  Class
}

func (w classWriter) Write(line []byte) (int, error) {
	w.writer.write(line, w.class)
	return len(line), nil
}
