package extrawork

import (
	"math"
	"time"
)

const (
	// burstWindow is the time whose share can be saved up.
	burstWindow = 5 * time.Second
	// minBurst is the number of mean requests that can always be saved up, so that a router with little traffic can
	// ask at all.
	minBurst = 2
	// meanWeight is the weight of the newest request in the means.
	meanWeight = 0.02
)

// account is the budget of one pool at one router: prompt tokens plus output tokens, or ms of service time.
//
// A router may spend a share of the work of the requests that it has served itself. What the fleet spends is the sum, so the
// limit holds whatever the routers believe about their number. A new process begins with nothing, so that restarts add
// nothing. In any window a router spends at most its share of the work that it has served in it, plus what it has saved up.
type account struct {
	level float64
	// recent is the work served in about one burstWindow before at.
	recent float64
	at     time.Time
	share  float64
	// meanComputed and meanOutput are those of one request.
	meanComputed, meanOutput float64
}

// account returns the account of a pool. The caller holds the lock.
func (d *Decider) account(pool string) *account {
	a := d.pools[pool]
	if a == nil {
		a = &account{share: d.share}
		d.pools[pool] = a
	}
	return a
}

// cost returns the work of a request whose instance computes a number of prompt tokens.
func (a *account) cost(computed int) float64 { return float64(computed) + a.meanOutput }

// limit returns the most that can be saved up.
func (a *account) limit() float64 {
	return max(a.share*a.recent, minBurst*(a.meanComputed+a.meanOutput))
}

// advance lets the recent work age.
func (a *account) advance(now time.Time) {
	if now.After(a.at) {
		a.recent *= math.Exp(-now.Sub(a.at).Seconds() / burstWindow.Seconds())
		a.at = now
	}
	a.level = min(a.level, a.limit())
}

// deposit adds the share of a served request.
func (a *account) deposit(share, computed, output float64, now time.Time) {
	if a.at.IsZero() {
		a.meanComputed, a.meanOutput = computed, output
	}
	a.meanComputed += meanWeight * (computed - a.meanComputed)
	a.meanOutput += meanWeight * (output - a.meanOutput)
	a.advance(now)
	a.recent += computed + output
	a.level = min(a.limit(), a.level+share*(computed+output))
}

// covers reports whether work can be charged.
func (a *account) covers(work float64, now time.Time) bool {
	a.advance(now)
	return work <= a.level
}

// refund gives back work that was charged.
func (a *account) refund(work float64, now time.Time) {
	a.advance(now)
	a.level = min(a.limit(), a.level+work)
}

// fill returns the level as a part of the limit.
func (a *account) fill(now time.Time) float64 {
	a.advance(now)
	if limit := a.limit(); limit > 0 {
		return a.level / limit
	}
	return 0
}
