package asynclog

import (
	"context"
	"log/slog"
)

// Class is the importance of a log line; a lower value is more important. When the buffer fills up, less important
// lines are dropped first.
type Class uint8

// Classes of log lines, most important first.
const (
	// State is for lines about the process and its view of the fleet. They are few, and each explains the
	// outcome of many requests. It is the default for a context without a class.
	State Class = iota
	// Failed is for lines about failed requests or attempts.
	Failed
	// Served is for lines about successfully served requests.
	Served

	numClasses = Served + 1
)

// String returns the name of the class as used in log lines and counters.
func (c Class) String() string { return [numClasses]string{"state", "failed", "served"}[c] }

const (
	// sampleThreshold is the fill level in bytes from which only one in sampleEvery lines of class Served is
	// written. At 300 bytes per line and ten flushes per second it is reached at 2,200 requests per second.
	sampleThreshold = bufferBytes / 4
	// sampleEvery is the sampling interval. It keeps enough lines to see how a pool's requests were distributed.
	sampleEvery = 16
)

// dropThresholds are the fill levels in bytes from which all lines of a class are dropped. The last quarter of the
// buffer is reserved for State lines, so that a burst of rejected requests can't hide the ejection that caused it.
var dropThresholds = [numClasses]int64{State: bufferBytes, Failed: bufferBytes * 3 / 4, Served: bufferBytes / 2}

type classKey struct{}

// WithClass returns a context that assigns the class to lines logged with it.
func WithClass(ctx context.Context, class Class) context.Context {
	return context.WithValue(ctx, classKey{}, class)
}

// NewHandler returns a slog.Handler that writes JSON lines to w. Lines are dropped by class before they are
// formatted.
func NewHandler(w *Writer, options *slog.HandlerOptions) slog.Handler {
	h := &handler{writer: w}
	for class := range numClasses {
		h.handlers[class] = slog.NewJSONHandler(classWriter{w, class}, options)
	}
	return h
}

type handler struct {
	writer   *Writer
	handlers [numClasses]slog.Handler
}

func (h *handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.handlers[State].Enabled(ctx, level)
}

func (h *handler) Handle(ctx context.Context, record slog.Record) error {
	class, _ := ctx.Value(classKey{}).(Class)
	if !h.writer.admit(class) {
		return nil
	}
	return h.handlers[class].Handle(ctx, record)
}

func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return h.derive(func(inner slog.Handler) slog.Handler { return inner.WithAttrs(attrs) })
}

func (h *handler) WithGroup(name string) slog.Handler {
	return h.derive(func(inner slog.Handler) slog.Handler { return inner.WithGroup(name) })
}

func (h *handler) derive(transform func(slog.Handler) slog.Handler) slog.Handler {
	derived := &handler{writer: h.writer}
	for class, inner := range h.handlers {
		derived.handlers[class] = transform(inner)
	}
	return derived
}

// classWriter is an io.Writer that enqueues lines of one class.
type classWriter struct {
	writer *Writer
	class  Class
}

func (w classWriter) Write(line []byte) (int, error) {
	w.writer.enqueue(line, w.class)
	return len(line), nil
}
