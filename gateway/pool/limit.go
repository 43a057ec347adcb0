package pool

import (
	"math"
	"time"
)

const (
	// stepInterval is the time between two changes of a limit.
	stepInterval = 100 * time.Millisecond
	// minPlaces is the lowest limit, in requests. It keeps the engine measured. An engine that is four times slower is late for
	// some requests even when it has only one.
	minPlaces = 1
	// targetPressure is the pressure above which a limit shrinks. What is left of the objective is for the way through the
	// gateway and the wait for a place.
	targetPressure = 0.58
	// easyPressure is the pressure below which a limit grows. The distance to targetPressure keeps it from oscillating.
	easyPressure = 0.48
	// shrinkGain is the part of a limit that is taken away for each unit of pressure above the target, maxShrink the largest
	// part in one step. One long prompt delays all events of an engine once, and costs less than this.
	shrinkGain = 0.2
	lateGain   = 0.6
	maxShrink  = 0.5
	// reductionTime is the time within which steps down belong to one reduction. The first step comes with the first late
	// responses, and later ones show how late the engine is.
	reductionTime = 300 * time.Millisecond
	// growGain is the part of a limit that is added for each unit of pressure below easyPressure, minGrowth the least that
	// is added, in requests.
	growGain  = 0.08
	minGrowth = 0.25
	// leastBase is the part of the slots from which on a limit shrinks at once from the requests in flight. An engine that has
	// few is late for another reason than its load, or for a single long prompt.
	leastBase = 0.125
	// driftTime is how long a limit that holds nothing back takes from the minimum to the slots.
	driftTime = 6 * time.Second
	// maxRatio bounds the ratio of a single response, so that one very late response counts as one late response.
	maxRatio = 2.5
	// pressureTime is the time constant of the moving averages of the pressure, so that a change shows within 0.3 s.
	// minPressureWeight and maxPressureWeight bound the weight of one response in them. Those that come together have the least:
	// they were delayed by the same pause.
	pressureTime      = 250 * time.Millisecond
	minPressureWeight = 0.01
	maxPressureWeight = 0.4
	// maxLate is the share of late responses over pressureTime, and maxLateLong that over lateTime, up to which an engine whose
	// slots may all be used counts as in time. A single pause delays all responses of an engine, and stays below both.
	maxLate     = 0.2
	maxLateLong = 0.05
	lateTime    = 3 * time.Second
	// minElapsed is the least time that counts between two responses.
	minElapsed = 4 * time.Millisecond
	// priorResponses is the weight of the pressure before a reduction, in responses, among those observed after it.
	priorResponses = 3
	// deviationFactor is the number of mean deviations that are added to the mean ratio. About one response in twenty is
	// above mean plus twice the mean deviation.
	deviationFactor = 2
	// pressureTTL is the time without a response after which the pressure is unknown.
	pressureTTL = 2 * time.Second
)

// placeLimit limits the requests in flight at one engine to what it serves in time. It answers one load pattern: an engine
// with free slots that is late for all its requests, because it holds more than it can serve or its machine is slow now.
//
// The pressure is the mean of the highest ratios of responses (see Lease.RecordWait) plus a multiple of their mean
// deviation, which estimates the ratio that one response in twenty exceeds. A mean alone would hide the late ones: a
// response is late because of its longest pause, not because of the usual one. Above targetPressure the limit shrinks in
// proportion to the excess. It shrinks from the requests in flight if these are fewer, and waits for them if they are more.
// Waits that began before a reduction say nothing about the reduced limit: counting them would make the limit collapse.
// Below easyPressure the limit grows.
type placeLimit struct {
	// limit is in requests, 0 if there is none: the slots hold then.
	limit float64
	// mean and deviation are moving averages of the ratios of responses and of their distances to the mean.
	mean, deviation float64
	// late and lateLong are moving averages of the share of responses that were late, over pressureTime and lateTime.
	late, lateLong float64
	observedAt     time.Time
	// reductionAt is when the last reduction began, from base requests, and reducedAt is its last step. responses is the
	// number of those observed since it began.
	reductionAt, reducedAt time.Time
	base                   float64
	responses              int
	// fresh is set if a response whose wait began after the last reduction was observed since the last step.
	fresh bool
	// heldBack is set if a request found no place since the last step because of the limit.
	heldBack  bool
	steppedAt time.Time
	// measuredOnly is set while the limit does not apply, because the pool is not contended. It holds nothing back then,
	// however many requests are in flight.
	measuredOnly bool
}

// observe adds what was observed of some responses.
func (p *placeLimit) observe(o Observation, now time.Time) {
	if o.Responses <= 0 || !(o.Ratio >= 0) {
		return
	}
	outdated := now.Add(-o.Age).Before(p.reducedAt)
	if outdated && !p.reducing(now) {
		return
	}
	ratio := min(o.Ratio, maxRatio)
	if p.observedAt.IsZero() || now.Sub(p.observedAt) > pressureTTL {
		p.mean, p.deviation, p.late, p.lateLong = ratio, 0, 0, 0
	}
	elapsed := min(now.Sub(p.observedAt), pressureTTL)
	one := 1 - math.Exp(-elapsed.Seconds()/pressureTime.Seconds())
	one = min(maxPressureWeight, max(one, minPressureWeight, 1/float64(p.responses+priorResponses)))
	weight := 1 - math.Pow(1-one, float64(o.Responses))
	p.deviation += weight * (math.Abs(ratio-p.mean) - p.deviation)
	p.mean += weight * (ratio - p.mean)
	late := 0.0
	if ratio > 1 {
		late = 1
	}
	p.late += weight * (late - p.late)
	p.lateLong += (1 - math.Pow(math.Exp(-max(elapsed, minElapsed).Seconds()/lateTime.Seconds()), float64(o.Responses))) * (late - p.lateLong)
	p.observedAt, p.fresh = now, p.fresh || !outdated
	p.responses += o.Responses
}

// pressure returns the estimated ratio that one response in twenty exceeds, 0 if no response was observed lately.
func (p *placeLimit) pressure(now time.Time) float64 {
	if p.observedAt.IsZero() || now.Sub(p.observedAt) > pressureTTL {
		return 0
	}
	return p.mean + deviationFactor*p.deviation
}

// places returns the limit for an engine with a number of slots.
func (p *placeLimit) places(slots int) int {
	if p.limit == 0 || int(p.limit) >= slots {
		return slots
	}
	return max(1, min(minPlaces, slots), int(p.limit))
}

// step changes the limit if a change is due. pace is the factor by which work takes longer than usual: a machine that has
// become slow needs larger steps. The pace alone changes nothing, because it may be false.
func (p *placeLimit) step(slots, inFlight int, pace float64, now time.Time) {
	if slots <= 0 || now.Sub(p.steppedAt) < stepInterval {
		return
	}
	elapsed := min(now.Sub(p.steppedAt), pressureTTL)
	limit := float64(slots)
	if p.limit > 0 {
		limit = min(p.limit, limit)
	}
	pressure := p.pressure(now)
	held := !p.measuredOnly && (p.heldBack || float64(inFlight) >= math.Floor(limit))
	inTime := pressure <= targetPressure || (p.late <= maxLate && p.lateLong <= maxLateLong)
	switch {
	case inTime && limit == float64(slots):
		// Nothing is to be changed.
	case inTime && (!held || pressure == 0):
		limit += float64(slots) * elapsed.Seconds() / driftTime.Seconds()
	case pressure > targetPressure && !p.fresh && !p.reducing(now):
		// Nothing new is known.
	case pressure > targetPressure:
		limit = p.shrink(limit, slots, inFlight, max(1, pace), pressure, now)
	case pressure < easyPressure:
		limit += max(minGrowth, limit*growGain*(easyPressure-pressure))
	}
	if p.limit = max(limit, minPlaces); p.limit >= float64(slots) {
		// An engine that is not limited follows its slots when these change.
		p.limit = 0
	}
	p.steppedAt, p.fresh, p.heldBack = now, false, false
}

// reducing reports whether a step down now belongs to the last reduction.
func (p *placeLimit) reducing(now time.Time) bool {
	return now.Sub(p.reductionAt) < reductionTime
}

// shrink returns the limit after a step down. Steps within reductionTime of the first are one reduction, which deepens while
// more late responses are observed.
func (p *placeLimit) shrink(limit float64, slots, inFlight int, pace, pressure float64, now time.Time) float64 {
	if !p.reducing(now) {
		if float64(inFlight) > limit+1 {
			return limit
		}
		p.reductionAt, p.responses = now, 0
		p.base = min(limit, max(float64(inFlight), float64(slots)*leastBase, minPlaces))
	}
	p.reducedAt = now
	part := min(maxShrink, shrinkGain*(pressure-targetPressure)+lateGain*max(0, p.late-maxLateLong))
	return min(limit, p.base*math.Pow(1-part, pace))
}
