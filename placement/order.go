package placement

import (
	"jacinthfork.example/jacinthfork/internal/rendezvous"
	"slices"
	"sync"
)

// A sort key holds a class in the top 4 bits, then 44 bits of an inverted score, then the index of
// the candidate. Sorting keys in ascending order gives classes in order, then high scores first.
const (
	indexBits  = 16
	classShift = 60
	scoreMask  = 1<<classShift - 1<<indexBits
	// maxCandidates is the largest pool that fits the index bits.
	maxCandidates = 1 << indexBits

	classReady    = 0
	classNotReady = 1

	// MaxClass is the highest class of a Ranking.
	MaxClass = 15
)

// Score returns the rendezvous score of an instance for a key; the highest score wins. Sidecars use
// the same scores for crash suspects.
func Score(key, instance uint64) uint64 { return rendezvous.Score(key, instance) }

func sortKey(class, score uint64, index int) uint64 {
	return class<<classShift | ^score>>4&scoreMask | uint64(index)
}

// KeyOrder appends the candidates to dst[:0] in the rendezvous order of a key. It depends on the
// list only, not on loads or tokens, so that routers with the same list send equal keys to the
// same instance. Leaving instances are left out; instances that are not ready come last.
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

// smallWidth is the largest width for which Threshold keeps the best scores in an array.
const smallWidth = 16

// Threshold returns the rendezvous score of the last of the first width candidates that are ready,
// so that exactly those have at least this score. It is 0 when there are not more than width.
func Threshold(key uint64, width int, pool *Pool) uint64 {
	if width >= pool.Members() {
		return 0
	}
	if width > smallWidth {
		return wideThreshold(key, width, pool)
	}
	var best [smallWidth + 1]uint64
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

func wideThreshold(key uint64, width int, pool *Pool) uint64 {
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

// Ranking sorts candidates by class and score without allocation. It is for one goroutine.
type Ranking struct {
	keys, other []uint64
	counts      [radixPasses][1 << radixBits]uint16
}

var rankings = sync.Pool{New: func() any { return new(Ranking) }}

// NewRanking returns an empty ranking from a pool of them.
func NewRanking() *Ranking {
	r := rankings.Get().(*Ranking)
	r.keys = r.keys[:0]
	return r
}

// Release returns the ranking for reuse.
func (r *Ranking) Release() { rankings.Put(r) }

// Add adds a candidate. A lower class, at most MaxClass, comes first; within a class the higher
// score. Only the leading 44 bits of the score count; equal scores are ordered by index.
func (r *Ranking) Add(class int, score uint64, index int) {
	r.keys = append(r.keys, sortKey(uint64(class), score, index))
}

// Append appends the indices in order to dst.
func (r *Ranking) Append(dst []int) []int {
	r.sort()
	for _, k := range r.keys {
		dst = append(dst, int(k&(maxCandidates-1)))
	}
	return dst
}

// Radix sort on the leading 18 bits takes about 10 us for 600 keys, slices.Sort 15 to 20 us;
// the insertion sort that follows puts the few keys with equal leading bits in order.
const (
	radixBits     = 6
	radixPasses   = 3
	radixShift    = 64 - radixBits*radixPasses
	radixSmallest = 32
	digitMask     = 1<<radixBits - 1
)

func (r *Ranking) sort() {
	if len(r.keys) < radixSmallest {
		insertionSort(r.keys)
		return
	}
	r.countDigits()
	r.other = slices.Grow(r.other[:0], len(r.keys))[:len(r.keys)]
	for pass := range radixPasses {
		r.scatter(pass)
		r.keys, r.other = r.other, r.keys
	}
	insertionSort(r.keys)
}

func (r *Ranking) countDigits() {
	r.counts = [radixPasses][1 << radixBits]uint16{}
	for _, k := range r.keys {
		k >>= radixShift
		r.counts[0][k&digitMask]++
		r.counts[1][k>>radixBits&digitMask]++
		r.counts[2][k>>(2*radixBits)&digitMask]++
	}
}

func (r *Ranking) scatter(pass int) {
	counts := &r.counts[pass]
	position := uint16(0)
	for digit, n := range counts {
		counts[digit] = position
		position += n
	}
	shift := radixShift + radixBits*pass
	for _, k := range r.keys {
		digit := k >> shift & digitMask
		r.other[counts[digit]] = k
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
