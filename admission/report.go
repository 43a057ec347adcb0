package admission

import "time"

// historyStep and historySize set how far back the history of the counted work in flight reaches: 6.4 s in
// steps of 100 ms. An older report, which a larger ReportMaxAge allows, is compared with the oldest value.
const (
	historyStep = 100 * time.Millisecond
	historySize = 64
)

// history is a ring buffer of recent values of the counted work in flight, so that a report can be compared
// with the value at the time of the measurement.
type history struct {
	times  [historySize]time.Time
	counts [historySize]uint64
	next   int
}

// add records the count. Within one step the newest count replaces the previous one, so that the last value
// is always recorded when the count stops changing.
func (h *history) add(now time.Time, count uint64) {
	last := (h.next + historySize - 1) % historySize
	if now.Sub(h.times[last]) < historyStep {
		h.counts[last] = count
		return
	}
	h.times[h.next] = now
	h.counts[h.next] = count
	h.next = (h.next + 1) % historySize
}

// at returns the newest count recorded at or before when, or the oldest recorded count.
func (h *history) at(when time.Time) uint64 {
	var oldest uint64
	for i := 1; i <= historySize; i++ {
		slot := (h.next + historySize - i) % historySize
		if h.times[slot].IsZero() {
			return oldest
		}
		if !h.times[slot].After(when) {
			return h.counts[slot]
		}
		oldest = h.counts[slot]
	}
	return oldest
}

// correction is the difference between the last report and the counted work in flight at the time of its
// measurement.
type correction struct {
	difference int64
	observedAt time.Time
}

// Report processes a load report of the engine: its work in tokens, measured age ago. The report is compared
// with the counted work in flight at that time. The difference enters Load.Corrected with a weight of at most
// ReportWeightPercent, which falls to zero at ReportMaxAge. A report of more work than counted also makes
// the load bound and the capacity check stricter. A report never loosens them, and never blocks an engine
// that has no counted work in flight.
func (c *Controller) Report(work uint64, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	observedAt := c.now().Add(-max(0, age))
	if observedAt.Before(c.resetAt) || observedAt.Before(c.correction.observedAt) {
		return
	}
	counted := c.history.at(observedAt)
	difference := int64(min(work, c.settings.CapacityTokens)) - int64(counted)
	c.correction = correction{difference: difference, observedAt: observedAt}
}

// weightedCorrection returns the correction in tokens, weighted by its age.
func (c *Controller) weightedCorrection(now time.Time) int64 {
	age := now.Sub(c.correction.observedAt)
	longest := c.settings.ReportMaxAge
	if c.correction.observedAt.IsZero() || age >= longest {
		return 0
	}
	weight := float64(c.settings.ReportWeightPercent) / 100 * float64(longest-age) / float64(longest)
	return int64(weight * float64(c.correction.difference))
}

// reportedExcess returns the weighted correction if it is positive, otherwise 0.
func (c *Controller) reportedExcess(now time.Time) uint64 {
	return uint64(max(0, c.weightedCorrection(now)))
}

// correctedTokens returns the counted work in flight plus the weighted correction, but at least half of the
// counted work.
func (c *Controller) correctedTokens(now time.Time) uint64 {
	value := int64(c.inFlightTokens) + c.weightedCorrection(now)
	return uint64(max(int64(c.inFlightTokens/2), value))
}
