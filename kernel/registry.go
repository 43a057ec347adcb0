// Package kernel holds what all programs share: the registry of plug-ins and their lifecycle, counters,
// logging and the operator endpoints. Plug-ins register a factory by kind and name in init; settings select
// which are used.
package kernel

import (
	"fmt"
	"sort"
	"sync"

	"jacinthfork.example/jacinthfork/kernel/settings"
)

// Kind is a category of interchangeable plug-ins, which implement the same interface.
type Kind string

// Kinds of plug-ins.
const (
	KindLog       Kind = "log"
	KindInstances Kind = "instances"
	KindDialect   Kind = "dialect"
	KindPlacement Kind = "placement"
)

// Factory returns a pointer to a new module, which is a plug-in's value with its default settings. Load
// decodes the plug-in's settings table into it.
type Factory func() any

// Provisioner is implemented by modules that need initialisation after their settings are decoded.
type Provisioner interface {
	Provision(ctx *Context) error
}

// Validator is implemented by modules that validate their settings after Provision.
type Validator interface {
	Validate() error
}

var registry = struct {
	sync.Mutex
	factories map[Kind]map[string]Factory
}{factories: make(map[Kind]map[string]Factory)}

// Register adds a plug-in. It is called from init. It panics when the name is already registered for the
// kind, which is a programming error.
func Register(kind Kind, name string, factory Factory) {
	registry.Lock()
	defer registry.Unlock()
	if registry.factories[kind] == nil {
		registry.factories[kind] = make(map[string]Factory)
	}
	if _, taken := registry.factories[kind][name]; taken {
		panic(fmt.Sprintf("kernel: plug-in %s/%s is registered twice", kind, name))
	}
	registry.factories[kind][name] = factory
}

// Names returns the sorted names of the plug-ins that are registered for a kind.
func Names(kind Kind) []string {
	registry.Lock()
	defer registry.Unlock()
	names := make([]string, 0, len(registry.factories[kind]))
	for name := range registry.factories[kind] {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Load creates the module of the given kind and name from its settings table and returns it as T, the
// interface of its kind. It fails on an unknown name, an invalid table, or an error of Provision or Validate.
func Load[T any](ctx *Context, kind Kind, name string, table settings.Table) (T, error) {
	var zero T
	module, err := newModule(kind, name)
	if err != nil {
		return zero, err
	}
	if err := settings.Decode(ctx.SettingsFile, string(kind)+"."+name, table, module); err != nil {
		return zero, err
	}
	if err := provision(ctx, module); err != nil {
		return zero, fmt.Errorf("%s %q: %w", kind, name, err)
	}
	typed, ok := module.(T)
	if !ok {
		return zero, fmt.Errorf("%s %q does not implement %T", kind, name, (*T)(nil))
	}
	return typed, nil
}

func newModule(kind Kind, name string) (any, error) {
	registry.Lock()
	factory, ok := registry.factories[kind][name]
	registry.Unlock()
	if !ok {
		return nil, fmt.Errorf("%s: no plug-in named %q; registered: %v", kind, name, Names(kind))
	}
	return factory(), nil
}

func provision(ctx *Context, module any) error {
	if p, ok := module.(Provisioner); ok {
		if err := p.Provision(ctx); err != nil {
			return err
		}
	}
	if v, ok := module.(Validator); ok {
		return v.Validate()
	}
	return nil
}
