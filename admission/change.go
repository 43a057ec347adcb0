package admission

import (
	"time"

	"jacinthfork.example/jacinthfork/verdict"
)

// SetBound changes the load bound and the longest wait in the queue; a factor below 100 is
// ignored. Requests that are waiting keep their deadline.
func (c *Controller) SetBound(factorPercent uint64, queueWait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if factorPercent >= 100 {
		c.settings.FactorPercent = factorPercent
	}
	c.settings.QueueWait = max(0, queueWait)
}

// FactorPercent returns the load bound in force, as a percentage of the pool's mean.
func (c *Controller) FactorPercent() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.settings.FactorPercent
}

// Suspend refuses waiting and new work with ReasonNotReady until Ready. Work in flight goes on.
func (c *Controller) Suspend() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notReady = true
	c.refuseWaiting(verdict.New(verdict.NotRun, verdict.ReasonNotReady, "the engine is being changed"))
}
