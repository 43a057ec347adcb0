package fleettest

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a stream that is lost, or falsely looks complete, when its connection between router and
// sidecar is reset. The stream must continue on a new connection. If the sidecar stays unreachable or is
// killed, the stream must end with an error, and the other engine must answer later chats.
func TestStreamSurvivesSidecarConnectionReset(t *testing.T) {
	runParallel(t)
	is := is.New(t)
	f := StartFleet(t, FleetSpec{Routers: 1, Pools: []Pool{{Name: "llm", Kind: "engine", Count: 2, Settings: slowEngine}}})
	router := f.Routers[0]
	continued := openStream(t, router, "continued", longChat("continued", 200))
	for _, events := range []uint64{20, 60} {
		continued.waitEvents(t, events)
		f.busyBackend(t).InboundRelay.Cut()
	}
	continued.wantComplete(t)
	is.Equal(f.started(), int64(1))

	cut := openStream(t, router, "cut", longChat("cut", 400))
	cut.waitEvents(t, 20)
	lost := f.busyBackend(t)
	lost.InboundRelay.Refuse()
	lost.InboundRelay.Cut()
	cut.wantIncomplete(t)
	openStream(t, router, "other", longChat("cut", 20)).wantComplete(t)
	lost.InboundRelay.Accept()

	killed := openStream(t, router, "killed", longChat("killed", 400))
	killed.waitEvents(t, 20)
	f.busyBackend(t).Sidecar.Kill()
	killed.wantIncomplete(t)
	openStream(t, router, "last", longChat("killed", 20)).wantComplete(t)
}

// busyBackend returns a backend whose engine is running a request, the last in order of start if there are
// several.
func (f *Fleet) busyBackend(t *testing.T) *Backend {
	t.Helper()
	var found *Backend
	for _, b := range f.Backends {
		c := b.counts()
		if c.Started > c.Finished+c.Cancelled+c.Broken {
			found = b
		}
	}
	if found == nil {
		t.Fatal("no engine is running a request")
	}
	return found
}
