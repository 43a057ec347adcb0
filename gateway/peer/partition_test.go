package peer

import (
	"testing"

	"jacinthfork.example/jacinthfork/gateway/peer/peerpb"
)

// Guards against a fleet that stays in two parts after a cut between them: each part has declared the routers of the
// other one lost, and a link between two of them tells neither that the other one is there.
func TestPartsOfAFleetJoinAfterACut(t *testing.T) {
	t.Parallel()
	const routers = 12
	var parts [2][]*fakeHandler
	for n := range routers {
		// The first and the last name, so both roots, are in different parts.
		part := &parts[n%2]
		var seeds []string
		if len(*part) > 0 {
			seeds = []string{(*part)[0].fleet.Address()}
		}
		*part = append(*part, start(t, n, listenAddress(), seeds...))
	}
	for _, part := range parts {
		eventually(t, func() bool {
			return everywhere(part, func(h *fakeHandler) bool { return h.alive() == routers/2 })
		})
	}
	for p, part := range parts {
		var lost []*peerpb.Member
		for _, other := range parts[1-p] {
			alive := other.fleet.self()
			gone := &peerpb.Member{Node: alive.GetNode(), Address: alive.GetAddress(), Incarnation: alive.GetIncarnation(), Version: alive.GetVersion(), Status: peerpb.Status_LOST}
			lost = append(lost, alive, gone)
		}
		for _, h := range part {
			h.fleet.merge(lost)
		}
	}
	all := append(parts[0], parts[1]...)
	eventually(t, func() bool {
		return everywhere(all, func(h *fakeHandler) bool {
			return h.alive() == routers && h.get(func() int { return h.lostRouters }) == 0
		})
	})
	roots := 0
	for _, h := range all {
		if h.fleet.Rank() == 0 {
			roots++
		}
	}
	if roots != 1 {
		t.Errorf("%d routers are the root", roots)
	}
}
