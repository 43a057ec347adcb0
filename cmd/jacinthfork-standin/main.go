// Command jacinthfork-standin runs a stand-in for a platform service or a backend server as a separate
// process, for tests and demos.
//
// It prints "listening on ADDRESS" when it accepts connections and runs until SIGINT or SIGTERM. The exit
// status is 0 after a signal, 1 if it cannot serve and 2 for invalid usage or settings.
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

// standin is a server that replaces a platform service or a backend server.
type standin interface {
	Start(address string) error
	Address() string
	Close() error
}

// subcommand starts one kind of stand-in.
type subcommand struct {
	name        string
	description string
	// create returns the stand-in configured from a settings file, or with defaults if the name is empty.
	create func(file string) (standin, error)
}

func subcommands() []subcommand {
	return []subcommand{
		{"log", "append-only log service", constructor(logservice.Settings{}, logservice.New)},
		{"instances", "list of instances", constructor(instances.Settings{}, instances.New)},
		{"engine", "model engine", constructor(engine.DefaultSettings(), engine.New)},
		{"service", "plain service", constructor(service.Settings{}, service.New)},
	}
}

func constructor[S any, V standin](defaults S, build func(S) V) func(string) (standin, error) {
	return func(file string) (standin, error) {
		loaded := defaults
		if file != "" {
			if err := settings.Load(file, &loaded); err != nil {
				return nil, err
			}
		}
		return build(loaded), nil
	}
}

// options holds the parsed command line.
type options struct {
	subcommand subcommand
	address    string
	file       string
}

// parse parses the command line. It exits the process for --help, --version and invalid usage.
func parse(args []string) options {
	opts := options{address: "127.0.0.1:0"}
	parser := flaggy.NewParser("jacinthfork-standin")
	parser.Description = "Stand-ins for the platform and for backend servers, for tests and demos."
	parser.Version = daemon.Version
	parser.ShowCompletion = false
	all := subcommands()
	commands := make([]*flaggy.Subcommand, len(all))
	for i, k := range all {
		commands[i] = flaggy.NewSubcommand(k.name)
		commands[i].Description = k.description
		commands[i].String(&opts.address, "a", "address", "loopback IP address and port to listen on")
		commands[i].String(&opts.file, "s", "settings", "TOML file with the stand-in's settings")
		parser.AttachSubcommand(commands[i], 1)
	}
	if err := parser.ParseArgs(args); err != nil {
		parser.ShowHelpAndExit(err.Error())
	}
	for i, command := range commands {
		if command.Used {
			opts.subcommand = all[i]
			return opts
		}
	}
	parser.ShowHelpAndExit("A subcommand is required.")
	return options{}
}

func main() {
	opts := parse(os.Args[1:])
	if err := checkAddress(opts.address); err != nil {
		exit(exitUsage, err)
	}
	server, err := opts.subcommand.create(opts.file)
	if err != nil {
		exit(exitUsage, err)
	}
	if err := run(server, opts.address); err != nil {
		exit(exitFailure, err)
	}
}

// checkAddress rejects non-loopback addresses, because stand-ins let any client change their settings.
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

// run serves until SIGINT or SIGTERM.
func run(server standin, address string) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	if err := server.Start(address); err != nil {
		return err
	}
	fmt.Println("listening on", server.Address())
	<-signals
	return server.Close()
}
