// Package all registers all plug-ins of this repository. It is imported for its side effects.
package all

import (
	_ "jacinthfork.example/jacinthfork/plugin/dialect/chat"
	_ "jacinthfork.example/jacinthfork/plugin/dialect/plain"
	_ "jacinthfork.example/jacinthfork/plugin/instances/httplist"
	_ "jacinthfork.example/jacinthfork/plugin/instances/static"
	_ "jacinthfork.example/jacinthfork/plugin/log/httplog"
	_ "jacinthfork.example/jacinthfork/plugin/placement/affinity"
	_ "jacinthfork.example/jacinthfork/plugin/placement/random"
	_ "jacinthfork.example/jacinthfork/plugin/placement/rendezvous"
	_ "jacinthfork.example/jacinthfork/plugin/placement/twochoices"
)
