// Command jacinthfork is the operators' tool.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	"jacinthfork.example/jacinthfork/demo"
	"jacinthfork.example/jacinthfork/internal/daemon"
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	parser := flaggy.NewParser("jacinthfork")
	parser.Description = "Operates a fleet of jacinthfork routers and sidecars."
	parser.Version = daemon.Version
	var options demoOptions
	demoCommand := options.attach(parser)
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return daemon.ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if demoCommand.Used {
		return options.run(ctx)
	}
	parser.ShowHelp()
	return daemon.ExitUsage
}

// demoOptions are the flags of "jacinthfork demo".
type demoOptions struct {
	json bool
	hold bool
}

func (o *demoOptions) attach(parser *flaggy.Parser) *flaggy.Subcommand {
	command := flaggy.NewSubcommand("demo")
	command.Description = "Run a whole fleet in this process on loopback and check its invariants."
	command.Bool(&o.json, "j", "json", "print the result as one JSON object")
	command.Bool(&o.hold, "", "hold", "keep the fleet running and print every address")
	parser.AttachSubcommand(command, 1)
	return command
}

func (o *demoOptions) run(ctx context.Context) int {
	fleet, err := demo.Start(demo.DefaultOptions())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return daemon.ExitFailure
	}
	defer fleet.Close()
	if o.hold {
		fleet.PrintAddresses(os.Stdout)
	}
	result, err := fleet.Run(ctx, demo.DefaultLoad())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return daemon.ExitFailure
	}
	o.print(result)
	if o.hold {
		fmt.Fprintln(os.Stderr, "holding until interrupted")
		<-ctx.Done()
	}
	for _, violation := range result.Violations() {
		fmt.Fprintln(os.Stderr, "violated:", violation)
	}
	if len(result.Violations()) > 0 {
		return daemon.ExitFailure
	}
	return daemon.ExitOK
}

func (o *demoOptions) print(result demo.Result) {
	if !o.json {
		result.Table(os.Stdout)
		return
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(result)
}
