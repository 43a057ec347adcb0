package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/integrii/flaggy"
	"jacinthfork.example/jacinthfork/demo"
)

// demoCommand implements "jacinthfork demo".
type demoCommand struct {
	json bool
	hold bool
}

func (d *demoCommand) attach(parser *flaggy.Parser) *flaggy.Subcommand {
	command := flaggy.NewSubcommand("demo")
	command.Description = "Run a whole fleet in this process on loopback and check its invariants."
	command.Bool(&d.json, "j", "json", "print the result as one JSON object")
	command.Bool(&d.hold, "", "hold", "keep the fleet running and print every address")
	parser.AttachSubcommand(command, 1)
	return command
}

func (d *demoCommand) run(ctx context.Context, out output) error {
	fleet, err := demo.Start(demo.DefaultOptions())
	if err != nil {
		return err
	}
	defer fleet.Close()
	if d.hold {
		fleet.PrintAddresses(out.stdout)
	}
	result, err := fleet.Run(ctx, demo.DefaultWorkload())
	if err != nil {
		return err
	}
	if err := d.print(out.stdout, result); err != nil {
		return err
	}
	if d.hold {
		out.warn("the fleet keeps running until SIGINT or SIGTERM")
		<-ctx.Done()
	}
	return violations(result)
}

func violations(result demo.Result) error {
	var errs []error
	for _, violation := range result.Violations() {
		errs = append(errs, fmt.Errorf("invariant violated: %s", violation))
	}
	return errors.Join(errs...)
}

func (d *demoCommand) print(out io.Writer, result demo.Result) error {
	if d.json {
		return printJSON(out, result)
	}
	result.Table(out)
	return nil
}

// printJSON writes value as indented JSON.
func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
