// Command jacinthfork-standin runs one stand-in for the platform or a backend server as a process of
// its own, for tests and demos.
//
// It prints "listening on ADDRESS" once it serves and runs until SIGINT or SIGTERM. The exit status is
// 0 after a signal, 1 when it cannot serve and 2 for wrong usage or settings.
package main

import (
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"jacinthfork.example/jacinthfork/internal/daemon"
	"jacinthfork.example/jacinthfork/kernel/settings"
	"jacinthfork.example/jacinthfork/standin/engine"
	"jacinthfork.example/jacinthfork/standin/instances"
	"jacinthfork.example/jacinthfork/standin/logservice"
	"jacinthfork.example/jacinthfork/standin/service"
)

// Exit statuses.
const (
	exitFailure = 1
	exitUsage   = 2
)

// server is a stand-in that can be started.
type server interface {
	Start(address string) error
	Address() string
	Close() error
}

// kind is one subcommand.
type kind struct {
	name        string
	description string
	// create builds the stand-in with the settings of a file; "" leaves the defaults.
	create func(file string) (server, error)
}

func kinds() []kind {
	return []kind{
		{"log", "append-only log service", create(logservice.Settings{}, logservice.New)},
		{"instances", "list of instances", create(instances.Settings{}, instances.New)},
		{"engine", "model engine", create(engine.DefaultSettings(), engine.New)},
		{"service", "plain service", create(service.Settings{}, service.New)},
	}
}

func create[S any, V server](defaults S, build func(S) V) func(string) (server, error) {
	return func(file string) (server, error) {
		chosen := defaults
		if file != "" {
			if err := settings.Load(file, &chosen); err != nil {
				return nil, err
			}
		}
		return build(chosen), nil
	}
}

// options are the command line.
type options struct {
	kind    kind
	address string
	file    string
}

// parse reads the command line. It ends the process for --help, --version and wrong usage.
func parse(args []string) options {
	chosen := options{address: "127.0.0.1:0"}
	parser := flaggy.NewParser("jacinthfork-standin")
	parser.Description = "Stand-ins for the platform and for backend servers, for tests and demos."
	parser.Version = daemon.Version
	parser.ShowCompletion = false
	all := kinds()
	commands := make([]*flaggy.Subcommand, len(all))
	for i, k := range all {
		commands[i] = flaggy.NewSubcommand(k.name)
		commands[i].Description = k.description
		commands[i].String(&chosen.address, "a", "address", "loopback IP address and port to listen on")
		commands[i].String(&chosen.file, "s", "settings", "TOML file with the stand-in's settings")
		parser.AttachSubcommand(commands[i], 1)
	}
	if err := parser.ParseArgs(args); err != nil {
		parser.ShowHelpAndExit(err.Error())
	}
	for i, command := range commands {
		if command.Used {
			chosen.kind = all[i]
			return chosen
		}
	}
	parser.ShowHelpAndExit("A subcommand is required.")
	return options{}
}

func main() {
	chosen := parse(os.Args[1:])
	if err := checkAddress(chosen.address); err != nil {
		exit(exitUsage, err)
	}
	standin, err := chosen.kind.create(chosen.file)
	if err != nil {
		exit(exitUsage, err)
	}
	if err := run(standin, chosen.address); err != nil {
		exit(exitFailure, err)
	}
}

// checkAddress refuses addresses outside of loopback, because anyone who reaches a stand-in controls it.
func checkAddress(text string) error {
	address, err := netip.ParseAddrPort(text)
	if err != nil || !address.Addr().IsLoopback() {
		return fmt.Errorf("--address: %q is not a loopback IP address with a port", text)
	}
	return nil
}

func exit(status int, err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(status)
}

// run serves until a signal arrives.
func run(standin server, address string) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	if err := standin.Start(address); err != nil {
		return err
	}
	fmt.Println("listening on", standin.Address())
	<-signals
	return standin.Close()
}
