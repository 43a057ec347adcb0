package placement

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"jacinthfork.example/jacinthfork/internal/proptest"
	"pgregory.net/rapid"
)

func drawCandidates(t *rapid.T) []Candidate {
	n := rapid.IntRange(0, 120).Draw(t, "instances")
	list := make([]Candidate, n)
	for i := range list {
		list[i] = Candidate{
			ID:      fmt.Sprintf("w%d", i),
			Ready:   rapid.IntRange(0, 9).Draw(t, "ready") > 0,
			Leaving: rapid.IntRange(0, 9).Draw(t, "leaving") == 0,
		}
	}
	return list
}

func keyOrderIDs(key uint64, pool *Pool) []string {
	var ids []string
	for _, i := range KeyOrder(nil, key, pool) {
		ids = append(ids, pool.At(i).ID)
	}
	return ids
}

// Routers that order the instances for a key differently would run an action on two instances. The order
// must equal that of a plain sort by score, regardless of the order of the list.
func TestKeyOrderMatchesSortByScore(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		list, key := drawCandidates(t), rapid.Uint64().Draw(t, "key")
		got := keyOrderIDs(key, NewPool("p", list, 0))
		shuffled := rapid.Permutation(list).Draw(t, "shuffled")
		if other := keyOrderIDs(key, NewPool("p", shuffled, 0)); !slices.Equal(got, other) {
			t.Fatalf("%v differs from %v", got, other)
		}
		want := slices.DeleteFunc(shuffled, func(c Candidate) bool { return c.Leaving })
		slices.SortFunc(want, func(a, b Candidate) int {
			if a.Ready != b.Ready {
				return map[bool]int{true: -1, false: 1}[a.Ready]
			}
			return cmp.Compare(Score(key, HashID(b.ID)), Score(key, HashID(a.ID)))
		})
		for i, c := range want {
			if got[i] != c.ID {
				t.Fatalf("position %d: %s, want %s", i, got[i], c.ID)
			}
		}
	})
}

// A change of one instance must not change the relative order of the others.
func TestKeyOrderKeepsUnchangedInstancesInOrder(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		list, key := drawCandidates(t), rapid.Uint64().Draw(t, "key")
		if len(list) == 0 {
			return
		}
		changed := rapid.IntRange(0, len(list)-1).Draw(t, "changed")
		before := keyOrderIDs(key, NewPool("p", list, 0))
		id := list[changed].ID
		list[changed].Leaving = !list[changed].Leaving
		after := keyOrderIDs(key, NewPool("p", list, 0))
		isChanged := func(other string) bool { return other == id }
		if !slices.Equal(slices.DeleteFunc(before, isChanged), slices.DeleteFunc(after, isChanged)) {
			t.Fatalf("order of the others changed: %v, %v", before, after)
		}
	})
}

// If a restarted instance has two entries, the newer one must be used.
func TestNewPoolKeepsNewestIncarnation(t *testing.T) {
	pool := NewPool("p", []Candidate{{ID: "a", Incarnation: 1}, {ID: "a", Incarnation: 2}}, 0)
	if pool.Len() != 1 || pool.At(0).Incarnation != 2 {
		t.Fatalf("kept %+v", *pool.At(0))
	}
}
