package admission

import "math/bits"

// withinBound reports whether (own+work)*members*100 <= factorPercent*(total+work), without
// overflow or rounding.
func withinBound(own, work, total uint64, members int, factorPercent uint64) bool {
	n := uint64(max(1, members))
	leftHigh, leftLow := bits.Mul64(own+work, n*100)
	rightHigh, rightLow := bits.Mul64(total+work, factorPercent)
	if leftHigh != rightHigh {
		return leftHigh < rightHigh
	}
	return leftLow <= rightLow
}

// atMostMean reports whether own*members <= total+work. Without this rule a pool whose mean is a few
// requests could not grow: with one request on each engine, a second one would exceed the bound on
// every engine.
func atMostMean(own, work, total uint64, members int) bool {
	high, low := bits.Mul64(own, uint64(max(1, members)))
	return high == 0 && low <= total+work
}

// boundAllows reports whether the load bound admits a request. A positive correction from an engine report
// is added to the own work, so that a report can only make the bound stricter.
func (c *Controller) boundAllows(work uint64, atMean bool) bool {
	if c.inFlightRequests == 0 {
		return true
	}
	total, members := c.pool.Mean(c.inFlightTokens)
	own := c.inFlightTokens + c.reportedExcess(c.now())
	if own+work <= c.settings.OneRequestTokens {
		return true
	}
	return withinBound(own, work, total, members, c.settings.FactorPercent) || (atMean && atMostMean(own, work, total, members))
}
