package order

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthfork.example/jacinthfork/config"
)

// rank orders the members of a pool for one decision, in the same way at each of them and in another
// way for each decision.
func rank(fence uint64, instance string) uint64 {
	var d xxhash.Digest
	d.Reset()
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], fence)
	_, _ = d.Write(number[:])
	_, _ = d.WriteString(instance)
	return d.Sum64()
}

// allowed is how many members may be out of service at once. A pool so small that the share is below
// one member has one, or it could never change.
func allowed(share float64, members int) int {
	return max(1, int(share*float64(members)))
}

// turn says whether this sidecar's time slot has come. Slots spread the loads when all members want
// one at once; they keep no promise, because views and clocks differ.
func (r *Runner) turn(pool config.Pool, now time.Time) bool {
	peers := r.slot.Peers()
	members := len(peers) + 1
	mine, before, out, serving := rank(pool.Revision, r.instance), 0, 0, r.slot.Serving()
	for _, p := range peers {
		if rank(pool.Revision, p.Instance) < mine {
			before++
		}
		if p.Loading || (serving && !p.Ready) {
			out++
		}
	}
	limit := allowed(pool.MaxLoadingShare, members)
	if out >= limit {
		return false
	}
	slots := int64((members + limit - 1) / limit)
	return int64(before/limit) == now.UnixNano()/int64(r.rules.SlotLength)%slots
}

// granted says whether this sidecar may take its engine out, after its announcement reached the pool.
// Members that are out count, and those that announced and come first by rank. Two sidecars whose
// announcements cross see each other, because an announcement waits for twice the time that news
// takes: the later one sees the announcement or the earlier one out of service. A sidecar whose engine
// does not serve takes nothing out, so that a pool in which nothing runs yet can load; only loads in
// progress count for it.
func (r *Runner) granted(pool config.Pool) bool {
	peers := r.slot.Peers()
	mine, taken, serving := rank(pool.Revision, r.instance), 0, r.slot.Serving()
	for _, p := range peers {
		out := !p.Ready && (serving || p.Loading)
		if out || (p.Loading && rank(pool.Revision, p.Instance) < mine) {
			taken++
		}
	}
	return taken < allowed(pool.MaxLoadingShare, len(peers)+1)
}
