package peer

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"jacinthfork.example/jacinthfork/gateway/peer/peerpb"
	"jacinthfork.example/jacinthfork/internal/proptest"
)

// Guards against routers that disagree for good about the membership: whatever order the same messages arrive in, and
// however often, they end with the same members.
func TestMembersConverge(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		var news []*peerpb.Member
		for range rapid.IntRange(1, 20).Draw(t, "news") {
			news = append(news, &peerpb.Member{
				Node: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "node")), Address: "a",
				Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"), Version: rapid.Uint32Range(0, 3).Draw(t, "version"),
				Status: peerpb.Status(rapid.IntRange(0, 2).Draw(t, "status")),
			})
		}
		// Every router has been alive before it was anything else.
		for n := range 4 {
			news = append([]*peerpb.Member{{Node: fmt.Sprint(n), Address: "a"}}, news...)
		}
		a, b := newMembers(&peerpb.Member{Node: "x"}), newMembers(&peerpb.Member{Node: "x"})
		now := time.Unix(1, 0)
		for _, m := range news {
			a.merge(m, now)
		}
		for _, m := range news[:4] {
			b.merge(m, now)
		}
		for _, i := range rapid.Permutation(news[4:]).Draw(t, "order") {
			b.merge(i, now)
			b.merge(i, now)
		}
		if a.digest() != b.digest() || len(a.alive) != len(b.alive) {
			t.Fatalf("%v and %v", a.alive, b.alive)
		}
	})
}

// Guards against a router that nobody takes for alive, since its clock was set back before it restarted and its predecessor
// seems to have started later.
func TestRestartAfterTheClockWasSetBack(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1, 0)
	before := &peerpb.Member{Node: "x", Address: "a", Incarnation: 9, Version: 4, Status: peerpb.Status_LEAVING}
	m := newMembers(&peerpb.Member{Node: "x", Address: "a", Incarnation: 5})
	news := m.merge(before, now)
	is.True(news != nil)
	is.True(newer(news, before))
	is.Equal(news.GetStatus(), peerpb.Status_ALIVE)
	is.True(news.GetIncarnation() > before.GetIncarnation()) // what its predecessor held is given up
	is.True(m.merge(before, now) == nil)
}

// Guards against a live router that stays lost, and against a description of its predecessor that changes it.
func TestLostRouterRefutes(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1, 0)
	m := newMembers(&peerpb.Member{Node: "x", Address: "a", Incarnation: 5})
	is.True(m.merge(&peerpb.Member{Node: "x", Address: "a", Incarnation: 4, Version: 9, Status: peerpb.Status_LOST}, now) == nil)
	news := m.merge(&peerpb.Member{Node: "x", Address: "a", Incarnation: 5, Version: 2, Status: peerpb.Status_LOST}, now)
	is.Equal(news.GetVersion(), uint32(3))
	is.Equal(news.GetStatus(), peerpb.Status_ALIVE)
	other := newMembers(&peerpb.Member{Node: "y"})
	other.merge(&peerpb.Member{Node: "x", Address: "a", Incarnation: 5, Version: 2}, now)
	is.True(other.declareLost("x", now) != nil)
	is.Equal(len(other.alive), 1)
	is.True(other.merge(&peerpb.Member{Node: "x", Address: "a", Incarnation: 5, Version: 2}, now) == nil) // an old message
	is.True(other.merge(news, now) != nil)
	is.Equal(len(other.alive), 2)
}

// Guards against a member list, or a state, that grows without bound by what one router sends.
func TestMembersAreBounded(t *testing.T) {
	m := newMembers(&peerpb.Member{Node: "x"})
	for n := range maxMembers + 10 {
		m.merge(&peerpb.Member{Node: fmt.Sprint(n), Address: "a"}, time.Unix(1, 0))
	}
	is.New(t).Equal(len(m.entries), maxMembers)
}

// Guards against a tree with cycles, or with routers that have no way to the root: every parent has a lower rank, and
// no router has more children than the degree.
func TestTreeReachesAllRouters(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{1, 2, 9, 10, 103, 390} {
		var alive []*peerpb.Member
		for i := range n {
			alive = append(alive, &peerpb.Member{Node: fmt.Sprintf("%03d", i)})
		}
		children := make(map[string]int)
		for rank, m := range alive {
			got, ok := treeRank(alive, m.GetNode())
			is.True(ok)
			is.Equal(got, rank)
			candidates := parentCandidates(alive, rank)
			is.Equal(len(candidates) > 0, rank > 0)
			for _, c := range candidates {
				is.True(c.GetNode() < m.GetNode())
			}
			if rank > 0 {
				is.Equal(candidates[len(candidates)-1], alive[0])
				children[candidates[0].GetNode()]++
			}
		}
		for rank, m := range alive {
			is.Equal(len(expectedChildren(alive, rank)), children[m.GetNode()])
		}
	}
}
