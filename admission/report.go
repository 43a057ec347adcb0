package admission

import "time"

// historyStep and historySize set how far back the own count is known: 6.4 s in steps of 100 ms.
// ReportMaxAge beyond that compares with the oldest known count.
const (
	historyStep = 100 * time.Millisecond
	historySize = 64
)

// history keeps the own count of the recent past, so that a report is compared with the count at
// the time that it describes.
type history struct {
	times  [historySize]time.Time
	counts [historySize]uint64
	next   int
}

// add records the count. Within one step the newest count replaces the one before, so that a count
// that no longer changes is always the recorded one.
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

// at returns the newest count that is not younger than when, or the oldest known one.
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

// correction is the difference that the last report showed.
type correction struct {
	difference int64
	described  time.Time
}

// Report takes a load report of the engine: its work in tokens as it was age ago. The report is
// compared with the own count of that time; the difference enters Load with a weight of at most
// ReportWeightPercent, which falls to zero at ReportMaxAge. A report that shows more work than
// counted also makes the load bound and the capacity stricter. A report never loosens them and
// never stops an engine that has nothing in flight by the own count.
func (c *Controller) Report(work uint64, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	described := c.now().Add(-max(0, age))
	if described.Before(c.resetAt) || described.Before(c.correction.described) {
		return
	}
	counted := c.history.at(described)
	difference := int64(min(work, c.settings.CapacityTokens)) - int64(counted)
	c.correction = correction{difference: difference, described: described}
}

// weighted returns the correction in tokens at the given time.
func (c *Controller) weighted(now time.Time) int64 {
	age := now.Sub(c.correction.described)
	longest := c.settings.ReportMaxAge
	if c.correction.described.IsZero() || age >= longest {
		return 0
	}
	weight := float64(c.settings.ReportWeightPercent) / 100 * float64(longest-age) / float64(longest)
	return int64(weight * float64(c.correction.difference))
}

// excess is the positive part of the correction.
func (c *Controller) excess(now time.Time) uint64 {
	return uint64(max(0, c.weighted(now)))
}

// corrected returns the own count with the correction, at least half of the own count.
func (c *Controller) corrected(now time.Time) uint64 {
	value := int64(c.own) + c.weighted(now)
	return uint64(max(int64(c.own/2), value))
}
