// Command jacinthfork-router accepts callers' requests and forwards them to the sidecars of backend servers.
package main

import (
	"os"

	"jacinthfork.example/jacinthfork/internal/daemon"
	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/kernel/settings"
	_ "jacinthfork.example/jacinthfork/plugin/all"
	"jacinthfork.example/jacinthfork/router"
)

func main() {
	os.Exit(daemon.Run(daemon.Program{
		Name:        "jacinthfork-router",
		Description: "Takes callers' requests and routes them to backend servers.",
		Load:        load,
	}, os.Args[1:]))
}

func load(file string) (daemon.Config, error) {
	s := router.DefaultSettings()
	if err := settings.Load(file, &s); err != nil {
		return daemon.Config{}, err
	}
	return daemon.Config{Instance: s.Instance, LogLevel: s.LogLevel, New: func(ctx *kernel.Context) (daemon.Server, error) {
		return router.New(file, s, ctx)
	}}, nil
}
