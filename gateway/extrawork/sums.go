package extrawork

import (
	"cmp"
	"encoding/binary"
	"math/bits"
	"slices"
	"time"

	"jacinthfork.example/jacinthfork/internal/rendezvous"
)

// A router of a large fleet sees too few answers of a kind to know what is usual. The routers therefore sum up their answers
// along the tree that also carries the load of the fleet: each sends the answers that it has not sent yet to its parent, its
// own and those of the routers below, and forgets them as unsent. An answer thus reaches the root at most once, also when a
// parent changes. The root keeps those of the last 15 to 30 s and tells the sums to all; they replace what was told before.

const (
	// sumsTTL is how long the fleet's sums are used after the root has made them. Each kind is told every sumInterval, with 8 kinds
	// every 11 s. With more, each is known for a part of the time.
	sumsTTL = 16 * time.Second
	// sumInterval is the minimum time between two messages about a kind in one direction.
	sumInterval = 4 * time.Second
	// tellRate is the mean number of bytes per second that are told about response times to one neighbour. The busiest
	// routers of a large fleet have 9 neighbours, which makes 468 bytes a second sent and received; the limit is 512.
	tellRate = 26
	// maxTellBurst is the number of bytes that can be told at once after a silence.
	maxTellBurst = 130
	// maxToldAnswers is the number of answers to which sums are scaled down when the root tells them, so that most counts
	// take one byte. The 99th percentile then rests on 10.
	maxToldAnswers = 1024
	// maxToldCount bounds the answers of one kind in a message. 400 routers with 500 answers a second each have fewer.
	maxToldCount = 1 << 20
	// maxCutExcess is the number of cancelled requests that may exceed the answers of a message. More are implausible: the
	// limit on extra work allows one in five.
	maxCutExcess = 64
	// maxTold bounds the kinds in a message.
	maxTold = 64
	// maxEncoded bounds the encoded counts of a histogram.
	maxEncoded = 256
	// maxMode is the highest mode of a route.
	maxMode = 7
	// minContradiction is the number of own answers from which on the fleet's sums must agree with them.
	minContradiction = 30
)

// sumKind is a Kind as routers tell it each other.
type sumKind struct {
	pool       uint32
	mode, size uint8
}

// sum is what is known of one kind from the fleet.
type sum struct {
	// unsent are the own answers that were not sent to the parent yet, and below those of the routers below this one.
	unsent, below generationCounts
	// window are the answers that have reached this router while it is the root.
	window *times
	// fleet are the sums that the root has told, as of fleetAt, and changed is set until they were passed on.
	fleet   generationCounts
	fleetAt time.Time
	changed bool
	// sentUp and sentDown are when the kind was last sent in each direction.
	sentUp, sentDown time.Time
	// used is the value of sums.uses when the kind was last answered or told.
	used uint64
}

// sums is what is known of all kinds from the fleet.
type sums struct {
	byKind   map[sumKind]*sum
	hashes   map[string]uint32
	up, down allowance
	// uses counts the answers and messages about kinds.
	uses uint64
}

// Told are the answers of one kind in a message between routers.
type Told struct {
	// Pool is the hash of its name, Kind its mode and size class.
	Pool, Kind uint32
	// Answered and Cut are encoded counts by the time to the first response byte or event, see encodeCounts.
	Answered, Cut []byte
	// Age is the time since the root has made the sum, 0 in messages to the parent.
	Age time.Duration
}

// Size returns the number of bytes that it takes in a message: 5 for the pool, and a tag for each of the other fields.
func (t *Told) Size() int {
	n := 5 + 1 + varintBytes(uint64(t.Kind))
	for _, counts := range [][]byte{t.Answered, t.Cut} {
		if len(counts) > 0 {
			n += 1 + varintBytes(uint64(len(counts))) + len(counts)
		}
	}
	if age := t.Age.Milliseconds(); age > 0 {
		n += 1 + varintBytes(uint64(age))
	}
	return n + 1 + varintBytes(uint64(n))
}

func varintBytes(v uint64) int { return (bits.Len64(v|1) + 6) / 7 }

// allowance limits the bytes that are told to one neighbour.
type allowance struct {
	level float64
	at    time.Time
}

// open reports whether something may be told. What is told last may take more than is left.
func (a *allowance) open(now time.Time) bool {
	if a.at.IsZero() {
		a.at = now
	}
	if now.After(a.at) {
		a.level = min(maxTellBurst, a.level+tellRate*now.Sub(a.at).Seconds())
		a.at = now
	}
	return a.level > 0
}

// key returns the kind as routers tell it each other. The caller holds the lock.
func (d *Decider) key(k Kind) sumKind {
	hash, ok := d.sums.hashes[k.Pool]
	if !ok {
		if len(d.sums.hashes) >= maxKinds {
			clear(d.sums.hashes)
		}
		hash = uint32(rendezvous.Hash(k.Pool) >> 32)
		d.sums.hashes[k.Pool] = hash
	}
	return sumKind{hash, k.Mode, k.Size}
}

// sumOf returns the sum of a kind that is in use. The caller holds the lock.
func (d *Decider) sumOf(k sumKind) *sum {
	s := d.sums.byKind[k]
	if s == nil {
		if len(d.sums.byKind) >= maxKinds {
			d.dropOldestSum()
		}
		s = &sum{}
		d.sums.byKind[k] = s
	}
	d.sums.uses++
	s.used = d.sums.uses
	return s
}

// dropOldestSum drops the sum of the kind that was used least recently.
func (d *Decider) dropOldestSum() {
	var oldest sumKind
	used := d.sums.uses + 1
	for k, s := range d.sums.byKind {
		if s.used < used {
			oldest, used = k, s.used
		}
	}
	delete(d.sums.byKind, oldest)
}

// unsentOf returns the own answers of a kind that were not sent yet. The caller holds the lock.
func (d *Decider) unsentOf(k Kind) *generationCounts { return &d.sumOf(d.key(k)).unsent }

// curve returns the usual times of a kind: those of the fleet and the own ones that are not in these yet, or the own ones
// alone if the fleet's are too old, fewer, or contradict them. The caller holds the lock.
func (d *Decider) curve(k Kind, now time.Time) *curve {
	t := d.timesOf(k, now).sum()
	own := t.curve()
	s := d.sums.byKind[d.key(k)]
	if s == nil || s.fleetAt.IsZero() || now.Sub(s.fleetAt) >= sumsTTL {
		return own
	}
	all := s.fleet
	all.add(&s.unsent)
	fleet := all.curve()
	if fleet.answers <= own.answers || contradicts(fleet, own) {
		return own
	}
	return fleet
}

// contradicts reports whether half of the own answers are faster, or slower, than nearly all of the fleet's. That is a false
// sum, or one of other instances than this router uses.
func contradicts(fleet, own *curve) bool {
	if own.answers < minContradiction {
		return false
	}
	median, ok := own.quantile(0.5)
	low, _ := fleet.quantile(0.02)
	high, seen := fleet.quantile(0.98)
	return ok && (median < low || (seen && median > high))
}

// TakeUp returns the answers that are to be sent to the parent now. They are not returned again.
func (d *Decider) TakeUp(now time.Time) []Told {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.share <= 0 || !d.sums.up.open(now) {
		return nil
	}
	return d.take(&d.sums.up, now, func(s *sum) *time.Time { return &s.sentUp }, func(s *sum) (c generationCounts, age time.Duration) {
		// A router that has a parent is not the root any more.
		s.window = nil
		c = s.unsent
		c.add(&s.below)
		s.unsent, s.below = generationCounts{}, generationCounts{}
		return c, 0
	})
}

// TakeDown returns the sums of the fleet that are to be told to all routers below this one now. root is set if this router has
// no parent, so that it makes the sums.
func (d *Decider) TakeDown(root bool, now time.Time) []Told {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.share <= 0 {
		return nil
	}
	if root {
		for _, s := range d.sums.byKind {
			s.sumUp(now)
		}
	}
	if !d.sums.down.open(now) {
		return nil
	}
	return d.take(&d.sums.down, now, func(s *sum) *time.Time { return &s.sentDown }, func(s *sum) (generationCounts, time.Duration) {
		if !s.changed || now.Sub(s.fleetAt) >= sumsTTL {
			return generationCounts{}, 0
		}
		s.changed = false
		c := s.fleet
		c.scale(maxToldAnswers)
		return c, max(time.Millisecond, now.Sub(s.fleetAt))
	})
}

// sumUp adds what has reached the root to the sum of the fleet.
func (s *sum) sumUp(now time.Time) {
	if s.window == nil {
		s.window = &times{began: now}
	}
	s.window.advance(now)
	s.window.current.add(&s.unsent)
	s.window.current.add(&s.below)
	s.unsent, s.below = generationCounts{}, generationCounts{}
	c := s.window.sum()
	if told := now.Sub(s.fleetAt) < sumsTTL && !s.fleetAt.IsZero(); told && c.answers() < minAnswers && s.fleet.answers() > c.answers() {
		// A new root knows less than the one before it.
		return
	}
	s.fleet, s.fleetAt, s.changed = c, now, c.answers() > 0
}

// take returns the messages about the kinds that are due, those that have waited longest first, as far as the allowance
// lets it. content returns the counts of a kind, none if there is nothing to tell, and its age.
func (d *Decider) take(a *allowance, now time.Time, sentAt func(*sum) *time.Time, content func(*sum) (generationCounts, time.Duration)) (out []Told) {
	var due []sumKind
	for k, s := range d.sums.byKind {
		if now.Sub(*sentAt(s)) >= sumInterval {
			due = append(due, k)
		}
	}
	slices.SortFunc(due, func(a, b sumKind) int {
		return cmp.Or(sentAt(d.sums.byKind[a]).Compare(*sentAt(d.sums.byKind[b])), cmp.Compare(a.pool, b.pool), cmp.Compare(a.mode, b.mode), cmp.Compare(a.size, b.size))
	})
	for _, k := range due {
		if a.level <= 0 || len(out) >= maxTold {
			return out
		}
		s := d.sums.byKind[k]
		counts, age := content(s)
		t := Told{Pool: k.pool, Kind: uint32(k.mode)<<3 | uint32(k.size), Answered: encodeCounts(&counts.answered), Cut: encodeCounts(&counts.cut), Age: age}
		if len(t.Answered) == 0 && len(t.Cut) == 0 {
			continue
		}
		*sentAt(s) = now
		a.level -= float64(t.Size())
		out = append(out, t)
	}
	return out
}

// scale reduces the counts so that the number of answers is at most limit. It keeps the proportions; what is lost by rounding
// is added to the next bucket.
func (c *generationCounts) scale(limit int) {
	n := c.answers()
	if n <= limit {
		return
	}
	part := float64(limit) / float64(n)
	for _, counts := range []*[bucketCount]uint32{&c.answered, &c.cut} {
		carry := 0.0
		for b, count := range counts {
			carry += float64(count) * part
			counts[b] = uint32(carry)
			carry -= float64(counts[b])
		}
	}
}

// MergeUp adds the answers that a router below this one has sent, and returns the number of kinds that were ignored because
// they are implausible.
func (d *Decider) MergeUp(told []Told) (ignored int) {
	return d.merge(told, func(s *sum, c *generationCounts, _ time.Duration) { s.below.add(c) })
}

// MergeDown replaces the sums of the fleet by those that the parent tells, and returns the number of kinds that were ignored.
func (d *Decider) MergeDown(told []Told, now time.Time) (ignored int) {
	return d.merge(told, func(s *sum, c *generationCounts, age time.Duration) {
		if madeAt := now.Add(-age); age < sumsTTL && madeAt.After(s.fleetAt) {
			s.fleet, s.fleetAt, s.changed = *c, madeAt, true
		}
	})
}

func (d *Decider) merge(told []Told, apply func(s *sum, c *generationCounts, age time.Duration)) (ignored int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.share <= 0 {
		return 0
	}
	for n, t := range told {
		k, c, ok := t.decode()
		if !ok || n >= maxTold {
			ignored++
			continue
		}
		apply(d.sumOf(k), &c, t.Age)
	}
	return ignored
}

// decode returns the counts of a message. ok is false if they are implausible.
func (t *Told) decode() (k sumKind, c generationCounts, ok bool) {
	mode, size := t.Kind>>3, t.Kind&7
	if mode > maxMode || size > maxSizeClass || t.Age < 0 {
		return k, c, false
	}
	answers, ok := decodeCounts(t.Answered, &c.answered)
	cut, okCut := decodeCounts(t.Cut, &c.cut)
	return sumKind{t.Pool, uint8(mode), uint8(size)}, c, ok && okCut && answers <= maxToldCount && cut <= answers+maxCutExcess
}

// encodeCounts encodes counts by bucket: the first bucket with a count, then the counts up to the last one as varints. A 0 is
// followed by the number of empty buckets.
func encodeCounts(counts *[bucketCount]uint32) (out []byte) {
	last := -1
	for b, n := range counts {
		switch {
		case n == 0:
			continue
		case last < 0:
			out = binary.AppendUvarint(out, uint64(b))
		case b > last+1:
			out = append(out, 0)
			out = binary.AppendUvarint(out, uint64(b-last-1))
		}
		out = binary.AppendUvarint(out, uint64(n))
		last = b
	}
	return out
}

// decodeCounts decodes what encodeCounts has encoded, and returns the sum. ok is false if it is not that.
func decodeCounts(in []byte, counts *[bucketCount]uint32) (sum uint64, ok bool) {
	if len(in) == 0 {
		return 0, true
	}
	if len(in) > maxEncoded {
		return 0, false
	}
	next := func() uint64 {
		v, n := binary.Uvarint(in)
		if n <= 0 {
			ok = false
			return 0
		}
		in = in[n:]
		return v
	}
	ok = true
	b := next()
	for ok && len(in) > 0 {
		n := next()
		if n == 0 {
			b += min(bucketCount, next())
			continue
		}
		if b >= bucketCount || n > maxToldCount {
			return 0, false
		}
		counts[b] = uint32(n)
		sum += n
		b++
	}
	return sum, ok && b <= bucketCount
}

// SumSummary describes the fleet's sum of one kind.
type SumSummary struct {
	// Answers is their number, scaled down to 1,024 where the root has told more.
	Answers int `json:"answers"`
	// AgeMs is the time since the root has made the sum.
	AgeMs int64 `json:"age_ms"`
}

// Sums returns the sums of the fleet by the kinds that this router has seen itself. Those that are too old, and those of no
// answers, which a root makes of a kind without requests, are left out.
func (d *Decider) Sums(now time.Time) map[Kind]SumSummary {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[Kind]SumSummary)
	for k := range d.kinds {
		s := d.sums.byKind[d.key(k)]
		if s == nil || s.fleetAt.IsZero() || now.Sub(s.fleetAt) >= sumsTTL {
			continue
		}
		if answers := s.fleet.answers(); answers > 0 {
			out[k] = SumSummary{Answers: answers, AgeMs: now.Sub(s.fleetAt).Milliseconds()}
		}
	}
	return out
}
