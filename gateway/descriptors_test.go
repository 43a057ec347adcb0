package gateway

import (
	"testing"

	"github.com/matryer/is"

	"jacinthfork.example/jacinthfork/gateway/backend"
	"jacinthfork.example/jacinthfork/gateway/pool"
	"jacinthfork.example/jacinthfork/gateway/routes"
	"jacinthfork.example/jacinthfork/verdict"
)

// Guards against a healthy instance that is ejected because the gateway has no descriptor left for a connection to it.
func TestWantOfADescriptorDoesNotEjectTheInstance(t *testing.T) {
	is := is.New(t)
	g := newPlainFleet(1, []pool.Instance{{ID: "w-0", Pool: "plain", Slots: 4, StartedAt: 1, Sequence: 1}})[0]
	g.connections = backend.NewPool()
	g.connections.Limit(1, func() int64 { return 1 })
	s := newWaitingRequest(g)
	s.route = &routes.Route{Name: "r", Mode: routes.Idempotent}
	for range 10 {
		lease, place, err := s.acquirePlace(t.Context())
		is.NoErr(err)
		_, outcome, err := s.connect(t.Context(), lease)
		is.Equal(verdict.As(err).Verdict, verdict.NotRun)
		is.Equal(verdict.As(err).Reason, verdict.ReasonOverCapacity)
		is.True(!lease.Release(outcome)) // ejected
		g.reservations.end(place, outcome)
	}
	is.Equal(g.registry.Summary("plain").Ejected, 0)
}
