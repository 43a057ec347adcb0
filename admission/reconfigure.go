package admission

import (
	"time"

	"jacinthfork.example/jacinthfork/verdict"
)

// SetBound changes the load bound and the maximum queue wait. A factor below 100 is ignored. Requests
// already in the queue keep their wait limit.
func (c *Controller) SetBound(factorPercent uint64, queueWait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if factorPercent >= 100 {
		c.settings.FactorPercent = factorPercent
	}
	c.settings.QueueWait = max(0, queueWait)
}

// FactorPercent returns the current load bound as a percentage of the pool's mean load.
func (c *Controller) FactorPercent() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.settings.FactorPercent
}

// Suspend refuses queued and new requests with ReasonNotReady until Resume is called. Work in flight continues.
func (c *Controller) Suspend() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notReady = true
	c.refuseAllQueued(verdict.New(verdict.NotRun, verdict.ReasonNotReady, "the engine is being changed"))
}
