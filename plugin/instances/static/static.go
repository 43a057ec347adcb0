// Package static implements an instance list that is part of the settings, for small fleets that do not
// change. It registers as kernel.KindInstances "static".
package static

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/kernel/settings"
	"jacinthfork.example/jacinthfork/plugin/instances/internal/entry"
	"jacinthfork.example/jacinthfork/services"
)

func init() {
	kernel.Register(kernel.KindInstances, "static", func() any { return &List{} })
}

// Entry is one instance in the settings.
type Entry struct {
	ID              string           `toml:"id" required:"true"`
	Role            string           `toml:"role" required:"true"`
	Pool            string           `toml:"pool"`
	Address         settings.Address `toml:"address"`
	OperatorAddress settings.Address `toml:"operator_address"`
	FailureDomain   string           `toml:"failure_domain" required:"true"`
	Region          string           `toml:"region" required:"true"`
	Leaving         bool             `toml:"leaving"`
}

// List implements services.InstanceList with the instances in the settings.
type List struct {
	Entries []Entry `toml:"instance" required:"true"`

	instances []services.Instance
}

var _ services.InstanceList = (*List)(nil)

// Provision implements kernel.Provisioner.
func (l *List) Provision(*kernel.Context) error {
	for _, e := range l.Entries {
		l.instances = append(l.instances, e.instance())
	}
	return nil
}

// Validate implements kernel.Validator. It reports all invalid entries and duplicate IDs.
func (l *List) Validate() error {
	var errs []error
	seen := make(map[string]bool)
	for _, instance := range l.instances {
		if seen[instance.ID] {
			errs = append(errs, fmt.Errorf("instance %q is listed twice", instance.ID))
		}
		seen[instance.ID] = true
		errs = append(errs, entry.Validate(instance))
	}
	return errors.Join(errs...)
}

// List implements services.InstanceList. It never fails.
func (l *List) List(context.Context) ([]services.Instance, error) {
	return slices.Clone(l.instances), nil
}

func (e Entry) instance() services.Instance {
	return services.Instance{
		ID:              e.ID,
		Role:            services.Role(e.Role),
		Pool:            e.Pool,
		Address:         string(e.Address),
		OperatorAddress: string(e.OperatorAddress),
		FailureDomain:   e.FailureDomain,
		Region:          e.Region,
		Leaving:         e.Leaving,
	}
}
