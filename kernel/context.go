package kernel

import (
	"io"
	"log/slog"
)

// Context is what a module gets from the process that loads it.
type Context struct {
	// SettingsFile is named in faults.
	SettingsFile string
	// Instance is the ID of this instance.
	Instance string
	// Region and FailureDomain are where this instance runs.
	Region        string
	FailureDomain string
	// Log takes lines for changes of state only.
	Log *slog.Logger
	// Counters are published under /debug/vars.
	Counters *Counters
}

// NewContext returns a context with the given logger and an empty set of counters.
func NewContext(instance string, log *slog.Logger) *Context {
	return &Context{Instance: instance, Log: log, Counters: NewCounters()}
}

// NewLogger returns a logger that writes one text line for each change of state.
func NewLogger(out io.Writer, level slog.Level, instance string) *slog.Logger {
	handler := slog.NewTextHandler(out, &slog.HandlerOptions{Level: level})
	return slog.New(handler).With("instance", instance)
}
