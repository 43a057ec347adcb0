package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"time"

	"github.com/integrii/flaggy"
	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/kernel/settings"
	"jacinthfork.example/jacinthfork/services"
	"jacinthfork.example/jacinthfork/sidecar"
)

// operatorSettings are the settings file of this tool.
type operatorSettings struct {
	Log       settings.Table `toml:"log" required:"true"`
	Instances settings.Table `toml:"instances" required:"true"`
	// Timeout bounds one request to a node.
	Timeout time.Duration `toml:"timeout" min:"100ms" max:"5m"`
	// TLS is used to read the configuration from a sidecar.
	TLS settings.TLS `toml:"tls"`
	// Claims must equal those of the sidecars.
	Claims sidecar.ClaimSettings `toml:"claims"`
}

func defaultOperatorSettings() operatorSettings {
	return operatorSettings{Timeout: 5 * time.Second, Claims: sidecar.DefaultSettings().Claims}
}

// operator is the connection of a subcommand to the platform.
type operator struct {
	settings  operatorSettings
	log       services.Log
	instances services.InstanceList
}

// settingsFlag is the flag that names the settings file.
type settingsFlag struct{ file string }

func (s *settingsFlag) attach(command *flaggy.Subcommand) {
	command.String(&s.file, "s", "settings", "operators' settings file (TOML) with [log], [instances] and [claims]")
}

// open reads the settings file and connects to the platform. Its errors have the exit code of wrong
// usage.
func (s *settingsFlag) open() (*operator, error) {
	if s.file == "" {
		return nil, usage(errors.New("--settings is required"))
	}
	o := &operator{settings: defaultOperatorSettings()}
	if err := settings.Load(s.file, &o.settings); err != nil {
		return nil, usage(err)
	}
	if err := o.load(newContext(s.file)); err != nil {
		return nil, usage(err)
	}
	return o, nil
}

func (o *operator) load(ctx *kernel.Context) error {
	var logErr, listErr error
	o.log, logErr = kernel.Choose[services.Log](ctx, kernel.KindLog, o.settings.Log)
	o.instances, listErr = kernel.Choose[services.InstanceList](ctx, kernel.KindInstances, o.settings.Instances)
	return errors.Join(logErr, listErr)
}

// newContext returns the context of plug-ins. Host names tell operators apart in the platform's own
// records of its readers.
func newContext(file string) *kernel.Context {
	host, _ := os.Hostname()
	name := "operator-" + host
	ctx := kernel.NewContext(name, kernel.NewLogger(os.Stderr, slog.LevelWarn, name))
	ctx.SettingsFile = file
	return ctx
}

// nodes returns the instances of the list, those of one role unless it is empty.
func (o *operator) nodes(ctx context.Context, role services.Role) ([]services.Instance, error) {
	all, err := o.instances.List(ctx)
	if err != nil {
		return nil, err
	}
	var nodes []services.Instance
	for _, instance := range all {
		if role == "" || instance.Role == role {
			nodes = append(nodes, instance)
		}
	}
	if len(nodes) == 0 {
		return nil, fmt.Errorf("the instance list has no %s", roleName(role))
	}
	return nodes, nil
}

func roleName(role services.Role) string {
	if role == "" {
		return "instance"
	}
	return string(role)
}
