package fleettest

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// A caller whose router is killed in mid-stream must get exactly the rest from the next router, twice
// in a row, and the engine must not run the request again. Several streams at a time spread over the
// engines, so that some run on an engine that is not the first of their order.
func TestRouterKilledInStream(t *testing.T) {
	parallel(t)
	is := is.New(t)
	f := StartFleet(t, FleetSpec{Routers: 3, Pools: []Pool{{Name: "llm", Kind: "engine", Count: 3, Settings: slowEngine}}})
	const chats, tokens = 4, 300
	streams := make([]*stream, chats)
	for i := range streams {
		streams[i] = openStream(t, f.Routers[0], fmt.Sprintf("request-%d", i), longChat(fmt.Sprintf("question %d", i), tokens))
	}
	for i, r := range f.Routers[:2] {
		for _, s := range streams {
			s.waitEvents(t, uint64(i+1)*50)
		}
		r.Kill()
		for _, s := range streams {
			s.wait(t)
			is.True(!s.whole)          // a broken stream looks whole
			is.True(len(s.faults) > 0) // a broken stream has no error
			s.faults = nil
			s.follow(t, f.Routers[i+1])
		}
	}
	for _, s := range streams {
		s.wantWhole(t)
	}
	is.Equal(f.started(), int64(chats))
}
