// Command jacinthfork-sidecar runs the sidecar proxy of one backend server instance.
package main

import (
	"os"

	"jacinthfork.example/jacinthfork/internal/daemon"
	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/kernel/settings"
	_ "jacinthfork.example/jacinthfork/plugin/all"
	"jacinthfork.example/jacinthfork/sidecar"
)

func main() {
	os.Exit(daemon.Run(daemon.Program{
		Name:        "jacinthfork-sidecar",
		Description: "Guards one backend server: admission, at-most-once actions, draining and orders.",
		Load:        load,
	}, os.Args[1:]))
}

func load(file string) (daemon.Config, error) {
	s := sidecar.DefaultSettings()
	if err := settings.Load(file, &s); err != nil {
		return daemon.Config{}, err
	}
	return daemon.Config{Instance: s.Instance, LogLevel: s.LogLevel, New: func(ctx *kernel.Context) (daemon.Server, error) {
		return sidecar.New(file, s, ctx)
	}}, nil
}
