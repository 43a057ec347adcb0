package kernel

import (
	"io"
	"log/slog"
)

// Context holds what a process provides to the plug-ins that it loads.
type Context struct {
	// SettingsFile is the name of the settings file, for error messages.
	SettingsFile string
	// Instance is the ID of this instance.
	Instance string
	// Region and FailureDomain are the location of this instance.
	Region        string
	FailureDomain string
	// Log is the logger for state changes. Nothing else is logged.
	Log *slog.Logger
	// Counters are published under /debug/vars.
	Counters *Counters
}

// NewContext returns a context with the given logger and an empty set of counters.
func NewContext(instance string, log *slog.Logger) *Context {
	return &Context{Instance: instance, Log: log, Counters: NewCounters()}
}

// NewLogger returns a logger that writes one line of text for each message.
func NewLogger(out io.Writer, level slog.Level, instance string) *slog.Logger {
	handler := slog.NewTextHandler(out, &slog.HandlerOptions{Level: level})
	return slog.New(handler).With("instance", instance)
}
