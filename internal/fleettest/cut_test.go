package fleettest

import (
	"testing"

	"github.com/matryer/is"
)

// A stream whose connection between router and sidecar is cut must be continued on a new connection.
// When the sidecar stays unreachable, or is killed, the stream must end with an error and not look
// whole, and later chats must be answered by the other engine.
func TestConnectionToSidecarCut(t *testing.T) {
	parallel(t)
	is := is.New(t)
	f := StartFleet(t, FleetSpec{Routers: 1, Pools: []Pool{{Name: "llm", Kind: "engine", Count: 2, Settings: slowEngine}}})
	router := f.Routers[0]
	continued := openStream(t, router, "continued", longChat("continued", 200))
	for _, events := range []uint64{20, 60} {
		continued.waitEvents(t, events)
		f.running(t).FromFleet.Cut()
	}
	continued.wantWhole(t)
	is.Equal(f.started(), int64(1))

	cut := openStream(t, router, "cut", longChat("cut", 400))
	cut.waitEvents(t, 20)
	lost := f.running(t)
	lost.FromFleet.Refuse()
	lost.FromFleet.Cut()
	cut.wantBroken(t)
	openStream(t, router, "other", longChat("cut", 20)).wantWhole(t)
	lost.FromFleet.Accept()

	killed := openStream(t, router, "killed", longChat("killed", 400))
	killed.waitEvents(t, 20)
	f.running(t).Sidecar.Kill()
	killed.wantBroken(t)
	openStream(t, router, "last", longChat("killed", 20)).wantWhole(t)
}

// running returns the backend whose engine runs the newest request.
func (f *Fleet) running(t *testing.T) *Backend {
	t.Helper()
	var found *Backend
	for _, b := range f.Backends {
		c := b.counts()
		if c.Started > c.Finished+c.Cancelled+c.Broken {
			found = b
		}
	}
	if found == nil {
		t.Fatal("no engine runs a request")
	}
	return found
}
