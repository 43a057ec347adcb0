// Package rendezvous implements rendezvous hashing (highest random weight). All processes that know the same
// instances select the same one for a key, and a join or leave remaps only the keys of the instance
// concerned.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Hash returns the hash of an instance ID or other name.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// Score returns the score of an instance, given by its Hash, for a key; the instance with the highest score is
// selected. It applies the 64-bit finalizer of MurmurHash3 to the XOR of both, so that keys that differ in a single
// bit get independent scores.
func Score(key, instance uint64) uint64 {
	x := key ^ instance
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Pick returns the instance with the highest score for the key, or "" if there are no instances. Among equal
// scores, the lowest ID is selected.
func Pick(key uint64, instances []string) string {
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

// Rank returns the number of instances with a higher score for the key than self. self and others are given by
// their Hash; others may include self.
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
