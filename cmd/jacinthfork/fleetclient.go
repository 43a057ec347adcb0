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

// toolSettings is the content of the operators' settings file.
type toolSettings struct {
	Log       settings.Table `toml:"log" required:"true"`
	Instances settings.Table `toml:"instances" required:"true"`
	// Timeout limits one request to a node.
	Timeout time.Duration `toml:"timeout" min:"100ms" max:"5m"`
	// TLS is used for importing the configuration from a sidecar.
	TLS settings.TLS `toml:"tls"`
	// Claims must equal the claim settings of the sidecars; otherwise a key is looked up in the wrong stream.
	Claims sidecar.ClaimSettings `toml:"claims"`
}

func defaultToolSettings() toolSettings {
	return toolSettings{Timeout: 5 * time.Second, Claims: sidecar.DefaultSettings().Claims}
}

// fleetClient gives a subcommand access to the log, the instance list and the nodes of a fleet.
type fleetClient struct {
	settings  toolSettings
	log       services.Log
	instances services.InstanceList
}

// settingsFlag is the --settings flag.
type settingsFlag struct{ file string }

func (s *settingsFlag) attach(command *flaggy.Subcommand) {
	command.String(&s.file, "s", "settings", "operators' settings file (TOML) with [log], [instances] and [claims]")
}

// open loads the settings file and returns a client of the fleet that it describes. Its errors have the exit
// code for invalid usage.
func (s *settingsFlag) open() (*fleetClient, error) {
	if s.file == "" {
		return nil, usageError(errors.New("--settings is required"))
	}
	client := &fleetClient{settings: defaultToolSettings()}
	if err := settings.Load(s.file, &client.settings); err != nil {
		return nil, usageError(err)
	}
	if err := client.connect(newContext(s.file)); err != nil {
		return nil, usageError(err)
	}
	return client, nil
}

func (c *fleetClient) connect(ctx *kernel.Context) error {
	var logErr, listErr error
	c.log, logErr = kernel.LoadSelected[services.Log](ctx, kernel.KindLog, c.settings.Log)
	c.instances, listErr = kernel.LoadSelected[services.InstanceList](ctx, kernel.KindInstances, c.settings.Instances)
	return errors.Join(logErr, listErr)
}

// newContext returns the context for plug-ins. Its instance name contains the host name, so that the log
// service and the instance list can tell operators apart in their own records of their clients.
func newContext(file string) *kernel.Context {
	host, _ := os.Hostname()
	name := "operator-" + host
	ctx := kernel.NewContext(name, kernel.NewLogger(os.Stderr, slog.LevelWarn, name))
	ctx.SettingsFile = file
	return ctx
}

// nodes returns the listed instances with the role, or all listed instances if the role is empty.
func (c *fleetClient) nodes(ctx context.Context, role services.Role) ([]services.Instance, error) {
	all, err := c.instances.List(ctx)
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
		return nil, fmt.Errorf("the instance list contains no %s", roleText(role))
	}
	return nodes, nil
}

func roleText(role services.Role) string {
	if role == "" {
		return "instance"
	}
	return string(role)
}
