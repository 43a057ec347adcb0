package placement

import (
	"jacinthfork.example/jacinthfork/internal/rendezvous"
	"slices"
	"sync"
)

// A sort key holds the class in the top 4 bits, then 44 bits of the inverted score, then the index of
// the candidate. Ascending order sorts by class, then by descending score.
const (
	indexBits  = 16
	classShift = 60
	scoreMask  = 1<<classShift - 1<<indexBits
	// maxCandidates is the number of candidates that the index bits can address.
	maxCandidates = 1 << indexBits

	classReady    = 0
	classNotReady = 1

	// MaxClass is the highest class of a Ranking.
	MaxClass = 15
)

// Score returns the rendezvous score of an instance for a key; the highest score wins. Sidecars use
// the same scores to limit which instances run requests that may crash engines.
func Score(key, instance uint64) uint64 { return rendezvous.Score(key, instance) }

func sortKey(class, score uint64, index int) uint64 {
	return class<<classShift | ^score>>4&scoreMask | uint64(index)
}

// KeyOrder appends the candidates to dst[:0] in the rendezvous order of a key. The order depends only
// on the instance list, not on loads or tokens, so routers with the same list send equal keys to the
// same instance. Leaving instances are omitted; instances that are not ready come last. Candidates
// beyond the first maxCandidates are ignored.
func KeyOrder(dst []int, key uint64, pool *Pool) []int {
	r := NewRanking()
	defer r.Release()
	for i := range pool.candidates[:min(pool.Len(), maxCandidates)] {
		c := &pool.candidates[i]
		if c.Leaving {
			continue
		}
		class := classReady
		if !c.Ready {
			class = classNotReady
		}
		r.Add(class, Score(key, c.Hash), i)
	}
	return r.Append(dst[:0])
}

// maxArrayWidth is the largest width for which Threshold keeps the best scores in a fixed-size array.
const maxArrayWidth = 16

// Threshold returns the lowest rendezvous score among the width highest-scoring ready candidates, so
// that exactly those of the ready candidates score at least the threshold. It returns 0 when there are
// no more than width.
func Threshold(key uint64, width int, pool *Pool) uint64 {
	if width >= pool.Members() {
		return 0
	}
	if width > maxArrayWidth {
		return sortedThreshold(key, width, pool)
	}
	var best [maxArrayWidth + 1]uint64
	for i := range pool.candidates {
		c := &pool.candidates[i]
		score := Score(key, c.Hash)
		if score <= best[width-1] || !c.Ready || c.Leaving {
			continue
		}
		j := width - 1
		for ; j > 0 && best[j-1] < score; j-- {
			best[j] = best[j-1]
		}
		best[j] = score
	}
	return best[width-1]
}

// sortedThreshold computes Threshold for large widths by sorting all candidates.
func sortedThreshold(key uint64, width int, pool *Pool) uint64 {
	r := NewRanking()
	defer r.Release()
	for i := range pool.candidates[:min(pool.Len(), maxCandidates)] {
		if c := &pool.candidates[i]; c.Ready && !c.Leaving {
			r.Add(classReady, Score(key, c.Hash), i)
		}
	}
	if width >= len(r.keys) {
		return 0
	}
	r.sort()
	return Score(key, pool.candidates[r.keys[width-1]&(maxCandidates-1)].Hash)
}

// Ranking sorts candidates by class and score without allocating. It is not safe for concurrent use.
type Ranking struct {
	keys, scratch []uint64
	digitCounts   [radixPasses][1 << radixBits]uint16
}

var rankings = sync.Pool{New: func() any { return new(Ranking) }}

// NewRanking returns an empty ranking from a sync.Pool.
func NewRanking() *Ranking {
	r := rankings.Get().(*Ranking)
	r.keys = r.keys[:0]
	return r
}

// Release returns the ranking to the pool. It must not be used afterwards.
func (r *Ranking) Release() { rankings.Put(r) }

// Add adds a candidate. Lower classes, up to MaxClass, come first; within a class higher scores come
// first. Only the leading 44 bits of the score are compared; equal scores are ordered by index. The index
// must be less than maxCandidates.
func (r *Ranking) Add(class int, score uint64, index int) {
	r.keys = append(r.keys, sortKey(uint64(class), score, index))
}

// Append appends the indices of the candidates in sorted order to dst.
func (r *Ranking) Append(dst []int) []int {
	r.sort()
	for _, k := range r.keys {
		dst = append(dst, int(k&(maxCandidates-1)))
	}
	return dst
}

// Radix sort on the leading 18 bits takes about 10 us for 600 keys, slices.Sort 15 to 20 us. The
// insertion sort that follows orders the few keys whose leading bits are equal.
const (
	radixBits    = 6
	radixPasses  = 3
	radixShift   = 64 - radixBits*radixPasses
	minRadixKeys = 32
	digitMask    = 1<<radixBits - 1
)

func (r *Ranking) sort() {
	if len(r.keys) < minRadixKeys {
		insertionSort(r.keys)
		return
	}
	r.countDigits()
	r.scratch = slices.Grow(r.scratch[:0], len(r.keys))[:len(r.keys)]
	for pass := range radixPasses {
		r.scatter(pass)
		r.keys, r.scratch = r.scratch, r.keys
	}
	insertionSort(r.keys)
}

func (r *Ranking) countDigits() {
	r.digitCounts = [radixPasses][1 << radixBits]uint16{}
	for _, k := range r.keys {
		k >>= radixShift
		r.digitCounts[0][k&digitMask]++
		r.digitCounts[1][k>>radixBits&digitMask]++
		r.digitCounts[2][k>>(2*radixBits)&digitMask]++
	}
}

// scatter distributes the keys by one digit into scratch, in stable order.
func (r *Ranking) scatter(pass int) {
	counts := &r.digitCounts[pass]
	position := uint16(0)
	for digit, n := range counts {
		counts[digit] = position
		position += n
	}
	shift := radixShift + radixBits*pass
	for _, k := range r.keys {
		digit := k >> shift & digitMask
		r.scratch[counts[digit]] = k
		counts[digit]++
	}
}

func insertionSort(keys []uint64) {
	for i := 1; i < len(keys); i++ {
		k := keys[i]
		j := i
		for ; j > 0 && keys[j-1] > k; j-- {
			keys[j] = keys[j-1]
		}
		keys[j] = k
	}
}
