// Command jacinthfork-gateway runs a router on the users' platform, see package platform.
package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"jacinthfork.example/jacinthfork/platform"
)

// version is set by the build.
var version = "development"

func main() {
	flaggy.SetName("jacinthfork-gateway")
	flaggy.SetDescription("a router that reaches backend servers itself; its settings file is named by " + platform.SettingsVariable)
	flaggy.SetVersion(version)
	flaggy.Parse()
	if err := platform.Run(version); err != nil {
		fmt.Fprintln(os.Stderr, "jacinthfork-gateway:", err)
		os.Exit(1)
	}
}
