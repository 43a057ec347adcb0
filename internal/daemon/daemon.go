// Package daemon implements the main function of a long-running program: command line, settings, signals and
// exit codes.
package daemon

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	"jacinthfork.example/jacinthfork/kernel"
)

// Process exit codes.
const (
	ExitOK = 0
	// ExitFailure means that the program failed to start.
	ExitFailure = 1
	// ExitUsage means that the command line or the settings are invalid.
	ExitUsage = 2
	// ExitInterrupted means that draining did not finish, because a second signal aborted requests in flight.
	ExitInterrupted = 3
)

// Version is the version reported by all programs.
const Version = "0.1.0"

// Server is the service run by a daemon.
type Server interface {
	Start() error
	// Drain waits for the work in flight. If ctx ends first, the error says what was not finished.
	Drain(ctx context.Context) error
	Close()
}

// Program describes a daemon executable.
type Program struct {
	Name        string
	Description string
	// Load reads and validates the settings file.
	Load func(file string) (Config, error)
}

// Config holds what Run needs from a validated settings file, and the constructor of the server.
type Config struct {
	Instance string
	LogLevel string
	New      func(ctx *kernel.Context) (Server, error)
}

// Run parses args, runs the program until it receives a signal, and returns its exit code.
func Run(program Program, args []string) int {
	file, check, err := parseArgs(program, args)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitUsage
	}
	build, err := program.Load(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitUsage
	}
	level, err := ParseLevel(build.LogLevel)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: log_level: %v\n", file, err)
		return ExitUsage
	}
	log := kernel.NewLogger(os.Stderr, level, build.Instance)
	server, err := build.New(kernel.NewContext(build.Instance, log))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitUsage
	}
	defer server.Close()
	if check {
		fmt.Printf("%s: ok\n", file)
		return ExitOK
	}
	return serve(server, log)
}

func parseArgs(program Program, args []string) (file string, check bool, err error) {
	parser := flaggy.NewParser(program.Name)
	parser.Description = program.Description
	parser.Version = Version
	parser.String(&file, "s", "settings", "settings file (TOML)")
	parser.Bool(&check, "c", "check", "check the settings and exit")
	if err := parser.ParseArgs(args); err != nil {
		return "", false, err
	}
	if file == "" {
		return "", false, fmt.Errorf("%s: --settings is required", program.Name)
	}
	return file, check, nil
}

// ParseLevel parses the name of a slog level. The empty name is info.
func ParseLevel(name string) (slog.Level, error) {
	var level slog.Level
	if name == "" {
		return slog.LevelInfo, nil
	}
	err := level.UnmarshalText([]byte(name))
	return level, err
}

// serve runs the server until SIGTERM or SIGINT. The first signal starts draining; a second one aborts it.
func serve(server Server, log *slog.Logger) int {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	if err := server.Start(); err != nil {
		log.Error("server failed to start", "error", err)
		return ExitFailure
	}
	log.Info("draining after signal", "signal", (<-signals).String())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	if err := server.Drain(ctx); err != nil {
		log.Error("drain incomplete", "error", err)
		return ExitInterrupted
	}
	log.Info("stopped")
	return ExitOK
}

// NewDiscardLogger returns a logger without output, for tests and the demo.
func NewDiscardLogger(instance string) *slog.Logger {
	return kernel.NewLogger(io.Discard, slog.LevelError, instance)
}
