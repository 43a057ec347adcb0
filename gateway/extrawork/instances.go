package extrawork

import (
	"math"
	"time"
)

const (
	// instanceTime is the time constant with which what an instance has done lately loses weight.
	instanceTime = 10 * time.Second
	// usualAnswers is the number of usual answers that are assumed of an instance in addition to its own, and maxWaited the most
	// that one request counts, in multiples of the usual time. A single late answer then makes no instance slow.
	usualAnswers = 10
	maxWaited    = 4
	// slowInstance is the factor from which on an instance counts as slow. Below it, the answers of a few seconds do not
	// tell it from others.
	slowInstance = 1.5
	// maxInstances bounds the memory for instances.
	maxInstances = 4096
	// usualInterval is the time between two computations of the usual time of a kind.
	usualInterval = 500 * time.Millisecond
)

// pacing is how long requests have waited at an instance lately, in multiples of the usual time of their kind. Requests that
// were cancelled count with the time that they have waited and are no answers: without them, an instance whose late requests
// are cancelled would look fast.
type pacing struct {
	waited, answers float64
	at              time.Time
}

func (p *pacing) advance(now time.Time) {
	if now.After(p.at) {
		kept := math.Exp(-now.Sub(p.at).Seconds() / instanceTime.Seconds())
		p.waited, p.answers, p.at = p.waited*kept, p.answers*kept, now
	}
}

func (p *pacing) record(waited, answers float64, now time.Time) {
	p.advance(now)
	p.waited, p.answers = p.waited+waited, p.answers+answers
}

// relativeTo returns the mean time to an answer relative to that of the whole pool. The usual answers are assumed to be like
// those of the pool: it may have become slower or faster, or the usual times may be false, and an instance with few answers
// would then differ from the others.
func (p *pacing) relativeTo(pool *pacing, now time.Time) float64 {
	p.advance(now)
	pool.advance(now)
	if pool.waited <= 0 || pool.answers <= 0 {
		return 1
	}
	return (p.waited*pool.answers/pool.waited + usualAnswers) / (p.answers + usualAnswers)
}

// recordInstance records what a request at an instance has waited, and whether it was answered. The caller holds the lock.
func (d *Decider) recordInstance(k Kind, instance string, waited time.Duration, answered bool, now time.Time) {
	usual, ok := d.usualTime(k, now)
	if !ok || instance == "" {
		return
	}
	p := d.instances[instance]
	if p == nil {
		if len(d.instances) >= maxInstances {
			d.dropOldInstances(now)
		}
		p = &pacing{}
		d.instances[instance] = p
	}
	answers := 0.0
	if answered {
		answers = 1
	}
	share := min(maxWaited, float64(waited)/usual)
	p.record(share, answers, now)
	all := d.poolPacing[k.Pool]
	if all == nil {
		all = &pacing{}
		d.poolPacing[k.Pool] = all
	}
	all.record(share, answers, now)
}

// dropOldInstances drops the instances without a request lately, or all of them if there are too many.
func (d *Decider) dropOldInstances(now time.Time) {
	for instance, p := range d.instances {
		if now.Sub(p.at) >= instanceTime {
			delete(d.instances, instance)
		}
	}
	if len(d.instances) >= maxInstances {
		clear(d.instances)
	}
}

// slowdown returns how many times longer than at the other instances of its pool a request is expected to take at an
// instance, by its own recent answers and by pace, which is its reported one relative to the mean of its pool, 0 if not
// known. It is 1 for an instance that is not clearly slow. The caller holds the lock.
func (d *Decider) slowdown(pool, instance string, pace float64, now time.Time) float64 {
	slow := pace
	if p, all := d.instances[instance], d.poolPacing[pool]; p != nil && all != nil {
		slow = max(slow, p.relativeTo(all, now))
	}
	if !(slow >= slowInstance) {
		return 1
	}
	return min(maxSlowdown, slow)
}

// usualTime returns the mean time to an answer of a kind. The caller holds the lock.
func (d *Decider) usualTime(k Kind, now time.Time) (ns float64, ok bool) {
	t := d.timesOf(k, now)
	if t.usual == 0 || now.Sub(t.usualAt) >= usualInterval {
		t.usual, t.usualAt = 0, now
		if c := d.curve(k, now); c.known() {
			t.usual = c.mean()
		}
	}
	return t.usual, t.usual > 0
}
