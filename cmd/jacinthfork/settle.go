package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/integrii/flaggy"
	"jacinthfork.example/jacinthfork/claim"
	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/services"
	"jacinthfork.example/jacinthfork/verdict"
)

// settleCommand is "jacinthfork settle".
type settleCommand struct {
	settings settingsFlag
	pool     string
	action   claim.Action
	executed string
	operator string
	note     string
	timeout  time.Duration
}

func newSettleCommand() *settleCommand {
	return &settleCommand{action: claim.Action{Method: "POST"}, timeout: 30 * time.Second}
}

func (s *settleCommand) attach(parser *flaggy.Parser) *flaggy.Subcommand {
	command := flaggy.NewSubcommand("settle")
	command.Description = "Record what an operator found out about an action of unknown outcome. The key stays closed."
	command.AddPositionalValue(&s.action.Key, "KEY", 1, true, "idempotency key of the action")
	s.settings.attach(command)
	command.String(&s.pool, "p", "pool", "pool of the action")
	command.String(&s.action.Organisation, "o", "organisation", "organisation of the action")
	command.String(&s.action.Method, "m", "method", "method of the action")
	command.String(&s.action.Path, "", "path", "path of the action below /services/POOL, with its query")
	command.String(&s.executed, "e", "executed", "yes or no; without it the state of the key is printed only")
	command.String(&s.operator, "", "operator", "name of the operator")
	command.String(&s.note, "n", "note", "how the operator found out")
	command.Duration(&s.timeout, "t", "timeout", "bound of the whole command")
	parser.AttachSubcommand(command, 1)
	return command
}

func (s *settleCommand) check() error {
	var errs []error
	require := func(ok bool, text string) {
		if !ok {
			errs = append(errs, errors.New(text))
		}
	}
	require(s.pool != "", "--pool is required")
	require(s.action.Organisation != "", "--organisation is required")
	require(s.action.Path != "", "--path is required")
	require(s.executed == "" || s.executed == "yes" || s.executed == "no", "--executed must be yes or no")
	require(s.executed == "" || s.operator != "", "--operator is required with --executed")
	return errors.Join(errs...)
}

func (s *settleCommand) run(ctx context.Context, out output) error {
	if err := s.check(); err != nil {
		return usage(err)
	}
	o, err := s.settings.open()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	keeper, err := o.keeper(ctx, s.pool)
	if err != nil {
		return err
	}
	defer keeper.Close()
	if s.executed != "" {
		finding := claim.Settlement{Operator: s.operator, Executed: s.executed == "yes", Note: s.note}
		if err := settleError(keeper.Settle(ctx, s.action, finding)); err != nil {
			return err
		}
	}
	return s.show(ctx, keeper, out)
}

// settleError gives a key whose state allows no finding the exit code of a conflict, and a malformed
// key that of wrong usage.
func settleError(err error) error {
	if err == nil {
		return nil
	}
	switch verdict.As(err).Reason {
	case verdict.ReasonBadRequest:
		return conflict(err)
	case verdict.ReasonKeyInvalid:
		return usage(err)
	}
	return err
}

func (s *settleCommand) show(ctx context.Context, keeper *claim.Keeper, out output) error {
	state, err := keeper.State(ctx, s.action)
	if err != nil {
		return settleError(err)
	}
	fmt.Fprintf(out.out, "stream %s\n", state.Stream)
	switch {
	case state.Unclaimed():
		fmt.Fprintln(out.out, "no claim")
	case state.Ended:
		fmt.Fprintf(out.out, "ended, verdict %s\n", state.Verdict)
	}
	for _, c := range state.Claims {
		fmt.Fprintf(out.out, "claim of %s, incarnation %d\n", c.Instance, c.Incarnation)
	}
	if f := state.Settlement; f != nil {
		fmt.Fprintf(out.out, "settled by %s at %s: executed %t; %s\n", f.Operator, f.Time.UTC().Format(time.RFC3339), f.Executed, f.Note)
	}
	return nil
}

// keeper returns a Keeper with an instance name of its own, which therefore never holds a claim.
func (o *operator) keeper(ctx context.Context, pool string) (*claim.Keeper, error) {
	holder, err := o.holders(ctx, pool)
	if err != nil {
		return nil, err
	}
	c := o.settings.Claims
	return claim.New(claim.Options{
		Log: o.log, Pool: pool, Instance: "operator-" + uuid.NewString(), Incarnation: uint64(time.Now().UnixNano()),
		Window: c.Window, Skew: c.Skew, ClockError: c.ClockError, Retention: c.Retention,
		Partitions: c.Partitions, Bucket: c.Bucket, MaxMemory: int64(c.MaxMemory), MaxAnswer: c.MaxAnswer,
		Holder: holder,
	})
}

// holders reads the sidecars of a pool once and returns what is known about holders. An instance
// that is not listed has ended, as for the sidecars. With no listed sidecar, nothing is known.
func (o *operator) holders(ctx context.Context, pool string) (func(string, uint64) claim.Liveness, error) {
	all, err := o.instances.List(ctx)
	if err != nil {
		return nil, err
	}
	var nodes []services.Instance
	for _, instance := range all {
		if instance.Role == services.RoleSidecar && instance.Pool == pool {
			nodes = append(nodes, instance)
		}
	}
	known := make(map[string]uint64, len(nodes))
	for _, a := range readAll[kernel.Status](ctx, o, nodes, "/debug/fleet") {
		known[a.node.ID] = 0
		if a.err == nil && a.value.Instance == a.node.ID {
			known[a.node.ID] = a.value.Incarnation
		}
	}
	return func(instance string, incarnation uint64) claim.Liveness {
		return liveness(known, instance, incarnation)
	}, nil
}

// liveness judges a holder from the incarnations of the listed sidecars, 0 for one that did not
// answer.
func liveness(known map[string]uint64, instance string, incarnation uint64) claim.Liveness {
	current, listed := known[instance]
	switch {
	case len(known) == 0, listed && current == 0:
		return claim.Unsure
	case listed && current == incarnation:
		return claim.Alive
	}
	return claim.Gone
}
