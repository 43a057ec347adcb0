// Package kernel is the small core that the programs share: the registry of plug-ins, their
// lifecycle, counters and the log. Plug-ins register a factory by kind and name in init; settings
// choose among them.
package kernel

import (
	"fmt"
	"sort"
	"sync"

	"jacinthfork.example/jacinthfork/kernel/settings"
)

// Kind is a group of plug-ins that can stand in for each other.
type Kind string

// Kinds of plug-ins.
const (
	KindLog       Kind = "log"
	KindInstances Kind = "instances"
	KindDialect   Kind = "dialect"
	KindPlacement Kind = "placement"
)

// Factory returns a pointer to a new module that holds its default settings. The kernel decodes
// the plug-in's table into it.
type Factory func() any

// Provisioner is implemented by modules that set themselves up after their settings are decoded.
type Provisioner interface {
	Provision(ctx *Context) error
}

// Validator is implemented by modules that check themselves after Provision.
type Validator interface {
	Validate() error
}

var registry = struct {
	sync.Mutex
	factories map[Kind]map[string]Factory
}{factories: make(map[Kind]map[string]Factory)}

// Register adds a plug-in. It is called from init and panics on a name that is taken, because two
// plug-ins of one name are a mistake in the build.
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

// Names returns the names registered for a kind, sorted.
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

// Load builds the module of the given kind and name from its settings table and returns it as T,
// the interface of its kind. It fails on an unknown name, a fault in the table, or an error of
// Provision or Validate.
func Load[T any](ctx *Context, kind Kind, name string, table settings.Table) (T, error) {
	var none T
	module, err := build(kind, name)
	if err != nil {
		return none, err
	}
	if err := settings.Decode(ctx.SettingsFile, string(kind)+"."+name, table, module); err != nil {
		return none, err
	}
	if err := prepare(ctx, module); err != nil {
		return none, fmt.Errorf("%s %q: %w", kind, name, err)
	}
	typed, ok := module.(T)
	if !ok {
		return none, fmt.Errorf("%s %q does not implement %T", kind, name, (*T)(nil))
	}
	return typed, nil
}

func build(kind Kind, name string) (any, error) {
	registry.Lock()
	factory, ok := registry.factories[kind][name]
	registry.Unlock()
	if !ok {
		return nil, fmt.Errorf("%s: no plug-in named %q; there are %v", kind, name, Names(kind))
	}
	return factory(), nil
}

func prepare(ctx *Context, module any) error {
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
