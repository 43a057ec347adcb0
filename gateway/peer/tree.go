package peer

import (
	"slices"

	"jacinthfork.example/jacinthfork/gateway/peer/peerpb"
)

// treeDegree is the number of routers below each router of the tree. The traffic of a router grows with it, the
// number of levels falls: 103 and 390 routers take three levels below the root.
const treeDegree = 8

// treeRank returns the place of a router among those that are alive, by name. Ranks number the tree in breadth-first
// order: the root has rank 0. ok is false if the router is not among them.
func treeRank(alive []*peerpb.Member, node string) (rank int, ok bool) {
	return slices.BinarySearchFunc(alive, node, func(m *peerpb.Member, node string) int {
		switch {
		case m.GetNode() < node:
			return -1
		case m.GetNode() > node:
			return 1
		}
		return 0
	})
}

// parentCandidates returns the routers that can be the parent of a router, best first: its place in the complete tree
// determines the first, and all others with a lower rank than that one follow, for when it cannot be reached. A
// parent always has a lower rank, so that there are no cycles among routers that agree on the membership.
func parentCandidates(alive []*peerpb.Member, rank int) []*peerpb.Member {
	if rank <= 0 {
		return nil
	}
	out := make([]*peerpb.Member, 0, (rank-1)/treeDegree+1)
	for r := (rank - 1) / treeDegree; r >= 0; r-- {
		out = append(out, alive[r])
	}
	return out
}

// expectedChildren returns the routers below a router in the complete tree.
func expectedChildren(alive []*peerpb.Member, rank int) []*peerpb.Member {
	first := rank*treeDegree + 1
	return alive[min(first, len(alive)):min(first+treeDegree, len(alive))]
}
