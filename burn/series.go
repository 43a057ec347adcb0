package burn

import "time"

// bucket counts the events of one part of a window. 32 bits suffice for the longest bucket, 6 h, at 190,000
// events/s.
type bucket struct{ good, bad uint32 }

// ring is the ring buffer of the buckets of one window. The bucket of a period (time / bucket length) is at the
// index period modulo the number of buckets.
type ring struct {
	buckets []bucket
	// newest is the latest period to which the ring has been advanced.
	newest int64
}

// advance clears the buckets whose periods are no longer within the window that ends with period.
func (r *ring) advance(period int64) {
	if period <= r.newest {
		return
	}
	expired := min(period-r.newest, int64(len(r.buckets)))
	for i := range expired {
		r.buckets[r.index(period-i)] = bucket{}
	}
	r.newest = period
}

func (r *ring) index(period int64) int { return int(period % int64(len(r.buckets))) }

func (r *ring) sum() Count {
	var c Count
	for _, b := range r.buckets {
		c.Good += uint64(b.good)
		c.Bad += uint64(b.bad)
	}
	return c
}

// series holds the events of one organisation for all objectives and windows.
type series [len(Objectives)][len(Windows)]ring

func newSeries() *series {
	s := new(series)
	for o := range s {
		for w := range s[o] {
			s[o][w].buckets = make([]bucket, Windows[w].buckets)
		}
	}
	return s
}

// periodAt returns the period of window w that contains the time at, measured from the recorder's start.
func periodAt(w int, at time.Duration) int64 {
	return int64(at / Windows[w].bucketLength())
}

func (s *series) add(objective int, at time.Duration, good bool) {
	for w := range s[objective] {
		r := &s[objective][w]
		r.advance(periodAt(w, at))
		b := &r.buckets[r.index(r.newest)]
		if good {
			b.good++
		} else {
			b.bad++
		}
	}
}

func (s *series) advance(at time.Duration) {
	for o := range s {
		for w := range s[o] {
			s[o][w].advance(periodAt(w, at))
		}
	}
}

// merge adds the counts of other. Both series must have been advanced to the same time.
func (s *series) merge(other *series) {
	for o := range s {
		for w := range s[o] {
			into, from := s[o][w].buckets, other[o][w].buckets
			for i := range into {
				into[i].good += from[i].good
				into[i].bad += from[i].bad
			}
		}
	}
}

func (s *series) counts() Counts {
	var out Counts
	for o := range s {
		for w := range s[o] {
			out[o][w] = s[o][w].sum()
		}
	}
	return out
}
