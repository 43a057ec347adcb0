// Package rendezvous picks instances for a key by highest random weight. All processes that know
// the same instances pick the same ones, and a join or leave moves only the keys it must.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Hash returns the hash of an instance ID or another name.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// Score returns the weight of an instance, given by its Hash, for a key; the highest wins. It is the
// 64-bit finalizer of MurmurHash3 over both, so that keys that differ in one bit are independent.
func Score(key, instance uint64) uint64 {
	x := key ^ instance
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// First returns the instance with the highest score for the key, or "" when there are none.
func First(key uint64, instances []string) string {
	best := ""
	highest := uint64(0)
	for _, id := range instances {
		score := Score(key, Hash(id))
		if best == "" || score > highest || (score == highest && id < best) {
			best = id
			highest = score
		}
	}
	return best
}

// Rank returns the number of instances that come before self for the key. self and others are
// given by their Hash; self may be among others.
func Rank(key, self uint64, others []uint64) int {
	own := Score(key, self)
	rank := 0
	for _, other := range others {
		if Score(key, other) > own {
			rank++
		}
	}
	return rank
}
