package admission

import "time"

// pace keeps grants apart.
type pace struct {
	pause  time.Duration
	lastAt time.Time
	// waiting is set while a timer runs for the requests that wait.
	waiting bool
}

// SetPace keeps grants at least the given time apart; 0 is no pause. Routers whose share of a pool is below one
// request would together hold more than the pool if each always had one in flight; a pause gives each its share
// over time.
func (c *Controller) SetPace(pause time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pace.pause = pause
	c.dispatch()
}

// untilPace returns the time until the next grant may be.
func (c *Controller) untilPace() time.Duration {
	if c.pace.pause <= 0 {
		return 0
	}
	return max(0, c.pace.pause-c.now().Sub(c.pace.lastAt))
}

// awaitPace grants a waiting request when the pause is over.
func (c *Controller) awaitPace() {
	rest := c.untilPace()
	if rest == 0 || c.pace.waiting {
		return
	}
	c.pace.waiting = true
	time.AfterFunc(rest, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.pace.waiting = false
		c.dispatch()
	})
}
