package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/integrii/flaggy"
	"google.golang.org/grpc"
	"jacinthfork.example/jacinthfork/config"
	"jacinthfork.example/jacinthfork/internal/transport"
	"jacinthfork.example/jacinthfork/services"
	"jacinthfork.example/jacinthfork/wire"
)

// publishCommand implements "jacinthfork publish".
type publishCommand struct {
	settings settingsFlag
	file     string
	author   string
	nonce    string
	wait     bool
	timeout  time.Duration
}

func newPublishCommand() *publishCommand { return &publishCommand{timeout: time.Minute} }

func (p *publishCommand) attach(parser *flaggy.Parser) *flaggy.Subcommand {
	command := flaggy.NewSubcommand("publish")
	command.Description = "Publish a configuration record. Exit code 4 means that the object has another revision than its base."
	command.AddPositionalValue(&p.file, "FILE", 1, true, "record (JSON) with kind, name, schema, base and body")
	p.settings.attach(command)
	command.String(&p.author, "a", "author", "author of the change, instead of the one in the file")
	command.String(&p.nonce, "", "nonce", "nonce of an earlier run whose outcome is unknown")
	command.Bool(&p.wait, "w", "wait", "return when every node has the revision")
	command.Duration(&p.timeout, "t", "timeout", "bound of the publication and the wait together")
	parser.AttachSubcommand(command, 1)
	return command
}

func (p *publishCommand) run(ctx context.Context, out output) error {
	record, err := readRecord(p.file)
	if err != nil {
		return usageError(err)
	}
	change := record.change(p.author, p.nonce)
	if change.Author == "" {
		return usageError(errors.New("the author is missing: use --author or the author field of the record"))
	}
	client, err := p.settings.open()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	result, err := client.publish(ctx, change)
	if err != nil {
		return err
	}
	if err := publishError(change, result); err != nil {
		return err
	}
	fmt.Fprintf(out.stdout, "%s %s v%d has revision %d\n", change.Kind, change.Name, change.Schema, result.Revision)
	if !p.wait {
		return nil
	}
	return client.waitForRevision(ctx, result.Revision, out)
}

// publishError returns an error unless the change is known to be accepted.
func publishError(change config.Change, result config.PublishResult) error {
	switch result.Outcome {
	case config.PublishAccepted:
		return nil
	case config.PublishConflict:
		return conflictError(fmt.Errorf("conflict: %s %s v%d has revision %d, not the base %d; nothing was changed",
			change.Kind, change.Name, change.Schema, result.Revision, change.Base))
	}
	return fmt.Errorf("the outcome is unknown; run the command again with --nonce %s", result.Nonce)
}

// publish appends the change to the configuration log. If the log alone no longer yields the current state,
// because old records have expired, publish imports the state from a sidecar first.
func (c *fleetClient) publish(ctx context.Context, change config.Change) (config.PublishResult, error) {
	publisher := config.NewPublisher(c.log)
	result, err := publisher.Publish(ctx, change)
	if !errors.Is(err, config.ErrIncomplete) {
		return result, err
	}
	if err := c.importState(ctx, publisher); err != nil {
		return config.PublishResult{}, fmt.Errorf("old configuration records have expired, and the state could not be imported from any sidecar: %w", err)
	}
	return publisher.Publish(ctx, change)
}

func (c *fleetClient) importState(ctx context.Context, publisher *config.Publisher) error {
	sidecars, err := c.nodes(ctx, services.RoleSidecar)
	if err != nil {
		return err
	}
	var errs []error
	for _, sidecar := range sidecars {
		err := c.importFrom(ctx, publisher, sidecar.Address)
		if err == nil {
			return nil
		}
		errs = append(errs, fmt.Errorf("%s: %w", sidecar.ID, err))
	}
	return errors.Join(errs...)
}

func (c *fleetClient) importFrom(ctx context.Context, publisher *config.Publisher, address string) error {
	options, err := transport.DialOptions(c.settings.TLS)
	if err != nil {
		return err
	}
	conn, err := grpc.NewClient("passthrough:///"+address, options...)
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	parts, err := config.Pull(ctx, wire.NewSidecarClient(conn), 0)
	if err != nil {
		return err
	}
	return publisher.Import(parts)
}
