package admission

import "time"

// grantInterval enforces a minimum interval between grants.
type grantInterval struct {
	minimum   time.Duration
	lastGrant time.Time
	// timerSet is true while a timer is pending for the queued requests.
	timerSet bool
}

// SetGrantInterval sets the minimum interval between grants; 0 means none. It is for routers whose share of a
// pool is below one request: with one request always in flight at each router, they would together exceed the
// capacity of the pool. The interval limits each router to its share over time.
func (c *Controller) SetGrantInterval(interval time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.grantInterval.minimum = interval
	c.dispatch()
}

// untilNextGrant returns the time until the next grant is allowed.
func (c *Controller) untilNextGrant() time.Duration {
	if c.grantInterval.minimum <= 0 {
		return 0
	}
	return max(0, c.grantInterval.minimum-c.now().Sub(c.grantInterval.lastGrant))
}

// dispatchAfterInterval sets a timer that dispatches queued requests when the next grant is allowed.
func (c *Controller) dispatchAfterInterval() {
	rest := c.untilNextGrant()
	if rest == 0 || c.grantInterval.timerSet {
		return
	}
	c.grantInterval.timerSet = true
	time.AfterFunc(rest, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.grantInterval.timerSet = false
		c.dispatch()
	})
}
