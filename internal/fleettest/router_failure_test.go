package fleettest

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Guards against a stream that loses or repeats events, or a request that runs again, when its router is
// killed and the caller resumes at the next router, twice in a row. Several concurrent streams are used, so
// that some run on an engine that is not the first in their placement order.
func TestStreamResumesAfterRouterKill(t *testing.T) {
	runParallel(t)
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
			is.True(!s.complete)       // a broken stream looks complete
			is.True(len(s.errors) > 0) // a broken stream has no error
			s.errors = nil
			s.send(t, f.Routers[i+1])
		}
	}
	for _, s := range streams {
		s.wantComplete(t)
	}
	is.Equal(f.started(), int64(chats))
}
