package extrawork

import (
	"math"
	"math/bits"
	"time"
)

const (
	// bucketsPerOctave sets the resolution of the times: a bucket is 19% wide.
	bucketsPerOctave = 4
	// bucketCount covers times from 1 ms to 131 s.
	bucketCount = 68
	// shortest is the upper bound of the first bucket.
	shortest = time.Millisecond
	// generation is how long answers are collected before those of the generation before are dropped. An answer counts
	// for 15 to 30 s, so that a change of the load is learned within that time.
	generation = 15 * time.Second
	// minAnswers is the number of answers from which on the times are used. The 90th percentile then rests on ten.
	minAnswers = 100
	// maxKinds bounds the memory: a kind takes about 1 KB.
	maxKinds = 256
)

// Kind is a kind of request whose response times are alike.
type Kind struct {
	Pool string
	// Mode is that of the route.
	Mode uint8
	// Size is a size class, see SizeOf.
	Size uint8
}

// sizeClassShift and maxSizeClass set the size classes: below 256, and then a factor of 4 each.
const (
	sizeClassShift = 8
	maxSizeClass   = 4
)

// SizeOf returns the size class of a request by the prompt tokens to be computed, or the bytes of its body.
func SizeOf(n int) uint8 {
	return uint8(min(maxSizeClass, (bits.Len(uint(max(0, n))>>sizeClassShift)+1)/2))
}

// generationCounts counts requests by the time to their first response byte or event.
type generationCounts struct {
	// answered are those that were answered, cut those that were cancelled unanswered.
	answered, cut [bucketCount]uint32
}

// times are the times of one kind.
type times struct {
	current, previous generationCounts
	// began is when the current generation began.
	began time.Time
	// usual is the mean time to an answer in ns as of usualAt, 0 if it is not known.
	usual   float64
	usualAt time.Time
}

// timesOf returns the times of a kind, without those that are too old. The caller holds the lock.
func (d *Decider) timesOf(k Kind, now time.Time) *times {
	t := d.kinds[k]
	if t == nil {
		if len(d.kinds) >= maxKinds {
			d.dropOldest()
		}
		t = &times{began: now}
		d.kinds[k] = t
	}
	t.advance(now)
	return t
}

// advance drops what is too old.
func (t *times) advance(now time.Time) {
	switch age := now.Sub(t.began); {
	case age >= 2*generation:
		*t = times{began: now}
	case age >= generation:
		t.previous, t.current, t.began = t.current, generationCounts{}, now
	}
}

// add adds the counts of another one.
func (c *generationCounts) add(other *generationCounts) {
	for b := range bucketCount {
		c.answered[b] += other.answered[b]
		c.cut[b] += other.cut[b]
	}
}

// answers returns the number of answers.
func (c *generationCounts) answers() (n int) {
	for _, answered := range c.answered {
		n += int(answered)
	}
	return n
}

// sum returns the counts of both generations.
func (t *times) sum() generationCounts {
	out := t.current
	out.add(&t.previous)
	return out
}

// dropOldest drops the kind that was used least recently.
func (d *Decider) dropOldest() {
	var oldest Kind
	var at time.Time
	for k, t := range d.kinds {
		if at.IsZero() || t.began.Before(at) {
			oldest, at = k, t.began
		}
	}
	delete(d.kinds, oldest)
}

// bucketOf returns the bucket of a time.
func bucketOf(t time.Duration) int {
	if t <= shortest {
		return 0
	}
	return min(bucketCount-1, int(math.Ceil(bucketsPerOctave*math.Log2(float64(t)/float64(shortest)))))
}

// upperBounds are the upper bounds of the buckets in ns.
var upperBounds = func() (out [bucketCount]float64) {
	for b := range out {
		out[b] = float64(shortest) * math.Exp2(float64(b)/bucketsPerOctave)
	}
	return out
}()

// upperBound returns the upper bound of a bucket.
func upperBound(bucket int) float64 { return upperBounds[bucket] }

// curve is the estimated part of the requests that are unanswered at the upper bound of each bucket (Kaplan and Meier):
// requests that were cancelled count as unanswered for as long as they were waited for. Without them, cancelling the late
// ones would make all responses look fast.
type curve struct {
	unanswered [bucketCount]float64
	answers    int
}

func (c *generationCounts) curve() *curve {
	out := &curve{}
	atRisk := 0
	for b := range bucketCount {
		out.answers += int(c.answered[b])
		atRisk += int(c.answered[b]) + int(c.cut[b])
	}
	left := 1.0
	for b := range bucketCount {
		answered := int(c.answered[b])
		if atRisk > 0 {
			left *= 1 - float64(answered)/float64(atRisk)
		}
		out.unanswered[b] = left
		atRisk -= answered + int(c.cut[b])
	}
	return out
}

// known reports whether there are enough answers.
func (c *curve) known() bool { return c.answers >= minAnswers }

// before returns the unanswered part and the time at the lower bound of a bucket.
func (c *curve) before(bucket int) (unanswered, at float64) {
	if bucket == 0 {
		return 1, 0
	}
	return c.unanswered[bucket-1], upperBound(bucket - 1)
}

// unansweredAt returns the part that is unanswered at a time.
func (c *curve) unansweredAt(t time.Duration) float64 {
	b := bucketOf(t)
	from, at := c.before(b)
	part := (float64(t) - at) / (upperBound(b) - at)
	return from - (from-c.unanswered[b])*min(1, part)
}

// timeOf returns the time at which only a part is unanswered. ok is false if that was not seen.
func (c *curve) timeOf(unanswered float64) (t time.Duration, ok bool) {
	for b := range bucketCount {
		if to := c.unanswered[b]; to <= unanswered {
			from, at := c.before(b)
			if from <= unanswered {
				return time.Duration(at), true
			}
			return time.Duration(at + (upperBound(b)-at)*(from-unanswered)/(from-to)), true
		}
	}
	return 0, false
}

// quantile returns the time at which a part of the requests is answered.
func (c *curve) quantile(answered float64) (time.Duration, bool) { return c.timeOf(1 - answered) }

// unseen is the remaining time of a request that is older than any that was answered.
const unseen = time.Duration(math.MaxInt64)

// remaining returns the median time to the answer of a request that is unanswered at an age.
func (c *curve) remaining(age time.Duration) time.Duration {
	left := c.unansweredAt(age)
	t, ok := c.timeOf(left / 2)
	if !ok || left <= 0 {
		return unseen
	}
	return max(0, t-age)
}

// mean returns the mean time to an answer in ns. What is unanswered in the end counts as answered then.
func (c *curve) mean() float64 {
	sum := 0.0
	for b := range bucketCount {
		from, at := c.before(b)
		if from <= c.unanswered[bucketCount-1] {
			break
		}
		sum += (upperBound(b) - at) * (from + c.unanswered[b]) / 2
	}
	return sum
}

// course is the expected course of a request at an instance where all takes slowdown times as long as usual.
type course struct {
	*curve
	slowdown float64
}

// remaining returns the median time to the answer of a request that is unanswered at an age.
func (c course) remaining(age time.Duration) time.Duration {
	left := c.curve.remaining(time.Duration(float64(age) / c.slowdown))
	if left == unseen {
		return unseen
	}
	return time.Duration(float64(left) * c.slowdown)
}

// worse reports whether a request that is unanswered at an age is expected to take clearly longer than a new one elsewhere.
func (c course) worse(age time.Duration) bool {
	return float64(c.remaining(age)) >= clearlySooner*float64(c.curve.remaining(0))
}

// end returns the age at which a request that is unanswered at an age is expected to be answered.
func (c course) end(age time.Duration) time.Duration {
	left := c.remaining(age)
	if left > unseen-age {
		return unseen
	}
	return age + left
}
