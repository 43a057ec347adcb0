package order

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthfork.example/jacinthfork/config"
)

// rank orders the members of a pool for one revision: all members compute the same order, and it differs
// between revisions.
func rank(fence uint64, instance string) uint64 {
	var d xxhash.Digest
	d.Reset()
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], fence)
	_, _ = d.Write(number[:])
	_, _ = d.WriteString(instance)
	return d.Sum64()
}

// maxUnavailable returns how many members may be out of service at once. It is at least one: otherwise a pool
// whose share is below one member could never change.
func maxUnavailable(share float64, members int) int {
	return max(1, int(share*float64(members)))
}

// slotActive reports whether this sidecar's time slot is active. Slots spread the loads when all members want
// to load at once; they guarantee nothing, because views and clocks differ.
func (r *Reconciler) slotActive(pool config.Pool, now time.Time) bool {
	peers := r.local.Peers()
	members := len(peers) + 1
	ownRank, lowerRanked, unavailable, serving := rank(pool.Revision, r.instance), 0, 0, r.local.Serving()
	for _, p := range peers {
		if rank(pool.Revision, p.Instance) < ownRank {
			lowerRanked++
		}
		if p.Loading || (serving && !p.Ready) {
			unavailable++
		}
	}
	limit := maxUnavailable(pool.MaxLoadingShare, members)
	if unavailable >= limit {
		return false
	}
	slots := int64((members + limit - 1) / limit)
	return int64(lowerRanked/limit) == now.UnixNano()/int64(r.options.SlotLength)%slots
}

// mayProceed reports whether this sidecar may take its engine out of service, once its announcement has
// reached the pool. Members that are out of service count, and so do members that announced a load and have a
// lower rank. Two sidecars with concurrent announcements see each other, because each waits for twice the
// propagation time: the later one sees either the announcement of the earlier one or that it is out of
// service. A sidecar whose engine is not in service takes nothing out of service, so for it only loads in
// progress count. This lets a pool load in which nothing runs yet.
func (r *Reconciler) mayProceed(pool config.Pool) bool {
	peers := r.local.Peers()
	ownRank, unavailable, serving := rank(pool.Revision, r.instance), 0, r.local.Serving()
	for _, p := range peers {
		outOfService := !p.Ready && (serving || p.Loading)
		if outOfService || (p.Loading && rank(pool.Revision, p.Instance) < ownRank) {
			unavailable++
		}
	}
	return unavailable < maxUnavailable(pool.MaxLoadingShare, len(peers)+1)
}
