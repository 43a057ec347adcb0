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

// settleCommand implements "jacinthfork settle".
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

func (s *settleCommand) validate() error {
	var errs []error
	require := func(ok bool, message string) {
		if !ok {
			errs = append(errs, errors.New(message))
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
	if err := s.validate(); err != nil {
		return usageError(err)
	}
	client, err := s.settings.open()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	executor, err := client.openClaims(ctx, s.pool)
	if err != nil {
		return err
	}
	defer executor.Close()
	if s.executed != "" {
		settlement := claim.Settlement{Operator: s.operator, Executed: s.executed == "yes", Note: s.note}
		if err := settleError(executor.Settle(ctx, s.action, settlement)); err != nil {
			return err
		}
	}
	return s.show(ctx, executor, out)
}

// settleError maps a key whose state does not permit a settlement to the exit code for a conflict, and a
// malformed key to the exit code for invalid usage.
func settleError(err error) error {
	if err == nil {
		return nil
	}
	switch verdict.As(err).Reason {
	case verdict.ReasonBadRequest:
		return conflictError(err)
	case verdict.ReasonKeyInvalid:
		return usageError(err)
	}
	return err
}

func (s *settleCommand) show(ctx context.Context, executor *claim.Executor, out output) error {
	state, err := executor.State(ctx, s.action)
	if err != nil {
		return settleError(err)
	}
	fmt.Fprintf(out.stdout, "stream %s\n", state.Stream)
	switch {
	case state.Unclaimed():
		fmt.Fprintln(out.stdout, "no claim")
	case state.HasOutcome:
		fmt.Fprintf(out.stdout, "ended, verdict %s\n", state.Verdict)
	}
	for _, c := range state.Claims {
		fmt.Fprintf(out.stdout, "claim of %s, incarnation %d\n", c.Instance, c.Incarnation)
	}
	if f := state.Settlement; f != nil {
		fmt.Fprintf(out.stdout, "settled by %s at %s: executed %t; %s\n", f.Operator, f.Time.UTC().Format(time.RFC3339), f.Executed, f.Note)
	}
	return nil
}

// openClaims opens the claims of a pool under a unique instance name, under which no claim is ever held.
func (c *fleetClient) openClaims(ctx context.Context, pool string) (*claim.Executor, error) {
	holder, err := c.holderLiveness(ctx, pool)
	if err != nil {
		return nil, err
	}
	claims := c.settings.Claims
	return claim.New(claim.Options{
		Log: c.log, Pool: pool, Instance: "operator-" + uuid.NewString(), Incarnation: uint64(time.Now().UnixNano()),
		Window: claims.Window, Skew: claims.Skew, ClockError: claims.ClockError, Retention: claims.Retention,
		Partitions: claims.Partitions, Bucket: claims.Bucket, MaxMemory: int64(claims.MaxMemoryBytes), MaxResponseBytes: claims.MaxResponseBytes,
		HolderLiveness: holder,
	})
}

// holderLiveness reads the status of the pool's sidecars once and returns a function that tells whether the
// holder of a claim still runs. An instance that is not listed has ended, by the same rule as in the
// sidecars. If no sidecar of the pool is listed, the liveness of every holder is unknown.
func (c *fleetClient) holderLiveness(ctx context.Context, pool string) (func(string, uint64) claim.Liveness, error) {
	all, err := c.instances.List(ctx)
	if err != nil {
		return nil, err
	}
	var sidecars []services.Instance
	for _, instance := range all {
		if instance.Role == services.RoleSidecar && instance.Pool == pool {
			sidecars = append(sidecars, instance)
		}
	}
	known := make(map[string]uint64, len(sidecars))
	for _, response := range fetchAll[kernel.Status](ctx, c, sidecars, "/debug/fleet") {
		known[response.node.ID] = 0
		if response.err == nil && response.value.Instance == response.node.ID {
			known[response.node.ID] = response.value.Incarnation
		}
	}
	return func(instance string, incarnation uint64) claim.Liveness {
		return liveness(known, instance, incarnation)
	}, nil
}

// liveness returns the liveness of a claim holder. known maps the IDs of the listed sidecars to their
// incarnations; 0 stands for a sidecar that did not respond.
func liveness(known map[string]uint64, instance string, incarnation uint64) claim.Liveness {
	current, listed := known[instance]
	switch {
	case len(known) == 0, listed && current == 0:
		return claim.LivenessUnknown
	case listed && current == incarnation:
		return claim.LivenessAlive
	}
	return claim.LivenessEnded
}
