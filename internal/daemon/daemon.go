// Package daemon runs a long-lived program: command line, settings, signals and exit codes.
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

// Exit codes.
const (
	ExitOK = 0
	// ExitFailure means that the program could not run.
	ExitFailure = 1
	// ExitUsage means a wrong command line or wrong settings.
	ExitUsage = 2
	// ExitInterrupted means that a second signal ended requests in flight.
	ExitInterrupted = 3
)

// Version is the version that all programs report.
const Version = "0.1.0"

// Server is what a daemon runs.
type Server interface {
	Start() error
	// Drain finishes what is in flight; its error says what was not finished.
	Drain(ctx context.Context) error
	Close()
}

// Program describes one daemon.
type Program struct {
	Name        string
	Description string
	// Load reads and checks the settings file and returns a function that builds the server.
	Load func(file string) (Build, error)
}

// Build is a checked settings file.
type Build struct {
	Instance string
	LogLevel string
	New      func(ctx *kernel.Context) (Server, error)
}

// Run parses args, runs the program until a signal and returns its exit code.
func Run(program Program, args []string) int {
	file, check, err := parse(program, args)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitUsage
	}
	build, err := program.Load(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitUsage
	}
	level, err := Level(build.LogLevel)
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

func parse(program Program, args []string) (file string, check bool, err error) {
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

// Level returns the slog level of a name; "" is info.
func Level(name string) (slog.Level, error) {
	var level slog.Level
	if name == "" {
		return slog.LevelInfo, nil
	}
	err := level.UnmarshalText([]byte(name))
	return level, err
}

// serve runs until a signal. The first one drains, a second one ends at once.
func serve(server Server, log *slog.Logger) int {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	if err := server.Start(); err != nil {
		log.Error("cannot start", "error", err)
		return ExitFailure
	}
	log.Info("stopping after signal", "signal", (<-signals).String())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	if err := server.Drain(ctx); err != nil {
		log.Error("stopped early", "error", err)
		return ExitInterrupted
	}
	log.Info("stopped")
	return ExitOK
}

// Discard is a logger for tests and the demo.
func Discard(instance string) *slog.Logger {
	return kernel.NewLogger(io.Discard, slog.LevelError, instance)
}
