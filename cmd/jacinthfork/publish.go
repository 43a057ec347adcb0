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

// publishCommand is "jacinthfork publish".
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
	r, err := readRecord(p.file)
	if err != nil {
		return usage(err)
	}
	change := r.change(p.author, p.nonce)
	if change.Author == "" {
		return usage(errors.New("the author is missing: use --author or the author field of the record"))
	}
	o, err := p.settings.open()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	result, err := o.publish(ctx, change)
	if err != nil {
		return err
	}
	if err := settled(change, result); err != nil {
		return err
	}
	fmt.Fprintf(out.out, "%s %s v%d has revision %d\n", change.Kind, change.Name, change.Schema, result.Revision)
	if !p.wait {
		return nil
	}
	return o.waitForRevision(ctx, result.Revision, out)
}

// settled returns the error of a change that is not known to be accepted.
func settled(change config.Change, result config.Published) error {
	switch result.Settlement {
	case config.SettledAccepted:
		return nil
	case config.SettledConflict:
		return conflict(fmt.Errorf("conflict: %s %s v%d has revision %d, not the base %d; nothing was changed",
			change.Kind, change.Name, change.Schema, result.Revision, change.Base))
	}
	return fmt.Errorf("the outcome is unknown; run the command again with --nonce %s", result.Nonce)
}

// publish appends the change. When old records have expired it takes the state from a sidecar.
func (o *operator) publish(ctx context.Context, change config.Change) (config.Published, error) {
	publisher := config.NewPublisher(o.log)
	result, err := publisher.Publish(ctx, change)
	if !errors.Is(err, config.ErrIncomplete) {
		return result, err
	}
	if err := o.importState(ctx, publisher); err != nil {
		return config.Published{}, fmt.Errorf("old records have expired, and no sidecar gave its state: %w", err)
	}
	return publisher.Publish(ctx, change)
}

func (o *operator) importState(ctx context.Context, publisher *config.Publisher) error {
	nodes, err := o.nodes(ctx, services.RoleSidecar)
	if err != nil {
		return err
	}
	var errs []error
	for _, node := range nodes {
		err := o.importFrom(ctx, publisher, node.Address)
		if err == nil {
			return nil
		}
		errs = append(errs, fmt.Errorf("%s: %w", node.ID, err))
	}
	return errors.Join(errs...)
}

func (o *operator) importFrom(ctx context.Context, publisher *config.Publisher, address string) error {
	options, err := transport.DialOptions(o.settings.TLS)
	if err != nil {
		return err
	}
	conn, err := grpc.NewClient("passthrough:///"+address, options...)
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(ctx, o.settings.Timeout)
	defer cancel()
	parts, err := config.Pull(ctx, wire.NewSidecarClient(conn), 0)
	if err != nil {
		return err
	}
	return publisher.Import(parts)
}
