package membership

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/wire"
)

// Guards against a load that looks fresh because a router held it for a long time: its age must follow from the
// sidecar's own clock, not from its arrival.
func TestRelayedLoadKeepsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rules := DefaultPoolOptions
		pools := make([]*Pool, 2)
		for i, name := range []string{"a", "b"} {
			self := Identity{Pool: "p", Instance: name, Incarnation: 1, Address: name}
			pools[i] = NewPool(self, rules, func() uint64 { return 70 }, kernel.NewCounters())
		}
		a, b := pools[0], pools[1]
		sent := time.Now()
		b.mergeReply(a.handleRequest(b.newRequest(nil, true)), sent)
		is.Equal(b.Mean().OtherWork, uint64(70))

		time.Sleep(time.Second)
		relay := NewRelay()
		relay.ObserveLoad("p", "a", &wire.Load{Incarnation: 1, Version: a.LoadVersion(), Work: 90})
		relayed := relay.Loads("p", "b", 1)
		time.Sleep(5 * time.Second)
		b.MergeRelayed(relayed)
		mean := b.Mean()
		is.Equal(mean.OtherWork, uint64(90))
		is.True(mean.MaxAge >= 5*time.Second)
		is.True(mean.MaxAge <= 5*time.Second+meanCacheTTL+ageUnit)

		// A duplicate or late copy changes nothing.
		b.MergeRelayed(&wire.LoadVector{Member: relayed.Member, Version: []uint64{relayed.Version[0] - 1}, Work: []uint64{1}})
		is.Equal(b.Mean().OtherWork, uint64(90))
		time.Sleep(rules.StaleAge)
		is.Equal(b.Mean().OtherWork, uint64(0))
	})
}

// A request must carry neither more loads than the control budget allows nor the load of its receiver.
func TestRelayLimitsLoadsPerRequest(t *testing.T) {
	is := is.New(t)
	relay := NewRelay()
	for i := range 40 {
		relay.ObserveLoad("p", string(rune('A'+i)), &wire.Load{Incarnation: 1, Version: 1, Work: 1})
	}
	is.Equal(len(relay.Loads("p", "A", 1).Member), relayLoadsPerAttempt)
	is.Equal(len(relay.Loads("p", "A", 9).Member), maxRelayLoads)
	is.Equal(len(relay.Loads("q", "A", 1).Member), 0)
}
