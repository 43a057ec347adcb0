package gateway

import (
	"errors"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"jacinthfork.example/jacinthfork/gateway/peer/peerpb"
	"jacinthfork.example/jacinthfork/gateway/pool"
	"jacinthfork.example/jacinthfork/internal/proptest"
)

// Guards against loads that are attributed to another instance or lose their ejection when encoded for a
// peer.
func TestLoadsRoundTrip(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		loads := rapid.MapOf(rapid.Map(rapid.Uint32(), func(k uint32) pool.Key { return pool.Key(k) }), rapid.Custom(func(t *rapid.T) pool.Load {
			return pool.Load{
				Requests: rapid.IntRange(0, 1000).Draw(t, "requests"),
				Tokens:   rapid.IntRange(0, 1_000_000).Draw(t, "tokens"),
				Ejected:  rapid.Bool().Draw(t, "ejected"),
			}
		})).Draw(t, "loads")
		got, err := decodeLoads(encodeLoads(loads))
		if err != nil {
			t.Fatal(err)
		}
		if len(got) != len(loads) {
			t.Fatalf("decoded %d instances, want %d", len(got), len(loads))
		}
		for key, load := range loads {
			if got[key] != load {
				t.Fatalf("load %+v was decoded as %+v", load, got[key])
			}
		}
	})
}

// Guards against accepting a message of another version whose lists differ in length.
func TestUnequalLoadListsAreRejected(t *testing.T) {
	is := is.New(t)
	lists := encodeLoads(map[pool.Key]pool.Load{1: {Requests: 1}, 2: {Requests: 2}})
	lists.Tokens = lists.Tokens[:1]
	_, err := decodeLoads(lists)
	is.True(errors.Is(err, errLoadLengths))
	none, err := decodeLoads(nil)
	is.NoErr(err)
	is.Equal(len(none), 0)
	is.Equal(len(decodePlacements([]*peerpb.PromptPlacement{{Instance: 1, Ids: []uint64{1, 2}, Tokens: []uint32{5}}})[0].Parts), 1)
}
