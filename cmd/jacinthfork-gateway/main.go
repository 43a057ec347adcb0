// Command jacinthfork-gateway runs a router that calls backend servers directly, without sidecars. Package
// platform connects it to its environment.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"jacinthfork.example/jacinthfork/platform"
)

// version is set at link time by the build.
var version = "development"

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

func main() {
	// Until platform.Run handles it, the signal for changed settings would end the program.
	signal.Ignore(syscall.SIGHUP)
	check, advertise, operator := false, "", ""
	flaggy.SetName("jacinthfork-gateway")
	flaggy.SetDescription("a router that reaches backend servers itself; its settings file is named by " + platform.SettingsVariable)
	flaggy.SetVersion(version)
	flaggy.Bool(&check, "c", "check", "check the settings file and exit")
	flaggy.String(&advertise, "a", "peer-advertise", "host:port at which other gateways reach this one, where it differs from the address it listens on")
	flaggy.String(&operator, "s", "settings", "file with the operators' own settings, see deploy/gateway.toml")
	flaggy.Parse()
	settings, path, err := platform.SettingsFromEnvironment()
	own, ownErr := platform.LoadOperatorSettings(operator)
	if err == nil && ownErr == nil {
		settings.Gateway.PeerAdvertise = advertise
		own.Apply(&settings.Gateway)
		err = settings.Gateway.Validate()
	}
	if err = errors.Join(err, ownErr); err != nil {
		fmt.Fprintln(os.Stderr, "jacinthfork-gateway:", err)
		os.Exit(exitUsage)
	}
	if check {
		fmt.Println(path + ": the settings are valid")
		return
	}
	if err := platform.Run(version, settings, path); err != nil {
		fmt.Fprintln(os.Stderr, "jacinthfork-gateway:", err)
		os.Exit(exitFailure)
	}
}
