// Command jacinthfork is the command-line tool for operators of a fleet.
//
// Exit codes: 0 success, 1 failure, 2 invalid usage or settings, 4 conflict with the current state of the
// fleet.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	"jacinthfork.example/jacinthfork/internal/daemon"
	_ "jacinthfork.example/jacinthfork/plugin/all"
)

// exitConflict means that the current state of the fleet does not permit the requested change.
const exitConflict = 4

// command is a subcommand of the tool.
type command interface {
	// attach adds the subcommand and its flags to the parser.
	attach(parser *flaggy.Parser) *flaggy.Subcommand
	// run executes the subcommand. The caller prints the error and maps it to an exit code with exitCode.
	run(ctx context.Context, out output) error
}

// output holds the streams that a subcommand writes to.
type output struct {
	stdout io.Writer
	stderr io.Writer
}

func (o output) warn(format string, args ...any) { fmt.Fprintf(o.stderr, format+"\n", args...) }

// exitError carries an exit code other than daemon.ExitFailure.
type exitError struct {
	code int
	err  error
}

// Error implements the error interface.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *exitError) Unwrap() error { return e.err }

func usageError(err error) error { return &exitError{daemon.ExitUsage, err} }

func conflictError(err error) error { return &exitError{exitConflict, err} }

func exitCode(err error) int {
	var e *exitError
	switch {
	case err == nil:
		return daemon.ExitOK
	case errors.As(err, &e):
		return e.code
	}
	return daemon.ExitFailure
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], output{os.Stdout, os.Stderr})
	stop()
	os.Exit(code)
}

func commands() []command {
	return []command{
		new(checkCommand), newPublishCommand(), new(statusCommand), new(explainCommand),
		new(reportCommand), newSettleCommand(), new(demoCommand), newWhereCommand(),
	}
}

func run(ctx context.Context, args []string, out output) int {
	parser := flaggy.NewParser("jacinthfork")
	parser.Description = "Operates a fleet of jacinthfork routers and sidecars."
	parser.Version = daemon.Version
	parser.ShowCompletion = false
	all := commands()
	attached := make([]*flaggy.Subcommand, len(all))
	for i, c := range all {
		attached[i] = c.attach(parser)
	}
	if err := parser.ParseArgs(args); err != nil {
		out.warn("%v", err)
		return daemon.ExitUsage
	}
	for i, c := range all {
		if attached[i].Used {
			return reportError(c.run(ctx, out), out)
		}
	}
	parser.ShowHelp()
	return daemon.ExitUsage
}

func reportError(err error, out output) int {
	if err != nil {
		out.warn("%v", err)
	}
	return exitCode(err)
}
