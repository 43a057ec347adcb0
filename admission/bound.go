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

// boundHolds decides the load bound for one request. The excess of a positive correction counts
// as own work, so that an engine report can only make the bound stricter.
func (c *Controller) boundHolds(work uint64) bool {
	if c.inFlight == 0 {
		return true
	}
	total, members := c.pool.Mean(c.own)
	return withinBound(c.own+c.excess(c.now()), work, total, members, c.settings.FactorPercent)
}
