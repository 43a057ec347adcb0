package pool

import (
	"math"
	"time"
)

const (
	// normalPace is the pace, in percent, at which work takes as long as usual.
	normalPace = 100
	// minPace and maxPace bound the plausible values of a reported pace, in percent. Others are ignored.
	minPace = 10
	maxPace = 3000
	// paceTime is the time constant of the smoothed pace. Reports change many times a second.
	paceTime = 300 * time.Millisecond
	// paceTTL is the time after which an old pace has lost most of its weight.
	paceTTL = 2 * time.Second
	// pacedTTL is how long a pool is paced after the last report of a pace.
	pacedTTL = time.Minute
	// meanPaceInterval is the time between two computations of the mean pace of a pool.
	meanPaceInterval = 100 * time.Millisecond
	// minPaceFactor and maxPaceFactor bound the factor of the work in placement. A false pace then neither empties an engine
	// nor draws all requests to it.
	minPaceFactor = 0.5
	maxPaceFactor = 4
	// toldLimitTTL is how long a limit that the keeper told is used. A keeper that is asked tells it with each answer.
	toldLimitTTL = 5 * time.Second
	// maxObserved bounds the responses of one observation.
	maxObserved = 100
)

// Observation is what a router has observed of an engine since it last told its keeper.
type Observation struct {
	// Responses is the number of responses that have ended or become late, and Ratio the mean of their highest ratios to an
	// objective; see Lease.RecordWait.
	Responses int
	Ratio     float64
	// Age is the mean time since those waits began.
	Age time.Duration
	// Pace is the last pace that the engine has reported, in percent of the usual time for some work, 0 if none.
	Pace int
}

// smoothPace is the smoothed pace of an engine in percent. The zero value is normal.
type smoothPace struct {
	value float64
	at    time.Time
}

// record adds a report. Implausible ones are ignored.
func (s *smoothPace) record(pace int, now time.Time) {
	if pace < minPace || pace > maxPace {
		return
	}
	weight := 1.0
	if !s.at.IsZero() {
		// Reports that come together count as a few.
		weight = max(0.1, 1-math.Exp(-now.Sub(s.at).Seconds()/paceTime.Seconds()))
	}
	s.value = s.get(now)
	s.value += weight * (float64(pace) - s.value)
	s.at = now
}

// get returns the pace in percent. It approaches normalPace while there are no reports.
func (s *smoothPace) get(now time.Time) float64 {
	if s.at.IsZero() {
		return normalPace
	}
	return normalPace + (s.value-normalPace)*math.Exp(-now.Sub(s.at).Seconds()/paceTTL.Seconds())
}

// engineState is what a router knows of the pace and the limit of an engine.
type engineState struct {
	pace smoothPace
	// seen is the pace that the instance has reported in responses to this router, see Lease.RecordSeenPace.
	seen smoothPace
	// limit is kept if this router keeps the instance. reduced is set once LimitChanges has returned a limit below the
	// slots.
	limit   placeLimit
	reduced bool
	// told is the limit that the keeper told last, in requests.
	told   int
	toldAt time.Time
	// pending is to be told to the keeper.
	pending Observation
}

// add adds one response, with the time since its longest wait began.
func (o *Observation) add(ratio float64, age time.Duration) {
	if o.Responses >= maxObserved {
		return
	}
	n := float64(o.Responses)
	o.Ratio = (o.Ratio*n + min(ratio, maxRatio)) / (n + 1)
	o.Age = time.Duration((float64(o.Age)*n + float64(age)) / (n + 1))
	o.Responses++
}

// Paced reports whether this router measures what the engines of a pool serve in time, and limits their requests to that while
// the pool is contended: its Settings.LimitEngines is set, or that of another router, which has told it of the pace of the
// instances.
func (r *Registry) Paced(pool string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pacedNow(pool, r.now())
}

func (r *Registry) pacedNow(pool string, now time.Time) bool {
	p := r.paced[pool]
	if p == nil {
		return false
	}
	_, engines := r.cacheTokens[pool]
	return (r.settings.LimitEngines && engines) || now.Sub(p.reportedAt) < pacedTTL
}

// PlaceLimit returns the number of requests that an engine can serve in time now, whether its pool is contended or not. ok is
// false if the pool is not paced.
func (r *Registry) PlaceLimit(instance Key) (limit int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for _, m := range r.byKey[instance] {
		if r.pacedNow(m.Pool, now) {
			return r.measuredLimit(m, now), true
		}
	}
	return 0, false
}

// placeLimit returns the number of requests that an instance may have in flight: its limit in a contended pool, otherwise its
// slots, 0 if these are not known.
func (r *Registry) placeLimit(m *member, now time.Time) int {
	if !r.contendedNow(m.Pool, now) {
		return m.Slots
	}
	return r.measuredLimit(m, now)
}

// measuredLimit returns the number of requests that an instance can serve in time, as far as this router knows, otherwise its
// slots.
func (r *Registry) measuredLimit(m *member, now time.Time) int {
	switch {
	case m.Slots <= 0 || !r.pacedNow(m.Pool, now):
		return m.Slots
	case m.keeper == "":
		r.stepLimit(m, now)
		return m.engine.limit.places(m.Slots)
	case m.engine.told > 0 && now.Sub(m.engine.toldAt) < toldLimitTTL:
		return min(m.Slots, m.engine.told)
	}
	return m.Slots
}

// stepLimit changes the limit of a kept instance of a paced pool, if a change is due.
func (r *Registry) stepLimit(m *member, now time.Time) {
	m.engine.limit.measuredOnly = !r.paced[m.Pool].contention.contended
	m.engine.limit.step(m.Slots, m.inFlight(), r.paceFactor(m, now), now)
}

// atLimit reports whether an instance has no place for one more request.
func (r *Registry) atLimit(m *member, load float64, now time.Time) bool {
	limit := r.placeLimit(m, now)
	if limit <= 0 || load < float64(limit) {
		return false
	}
	m.engine.limit.heldBack = true
	return true
}

// paceFactor returns the factor by which the work at an instance counts in placement: its pace relative to the mean of its
// pool, so that a false pace of all instances has no effect.
func (r *Registry) paceFactor(m *member, now time.Time) float64 {
	if !r.pacedNow(m.Pool, now) {
		return 1
	}
	return min(maxPaceFactor, max(minPaceFactor, m.engine.pace.get(now)/r.meanPace(m.Pool, now)))
}

// poolPace is what is known of the pace of a pool.
type poolPace struct {
	// reportedAt is when an instance last reported its pace.
	reportedAt time.Time
	// mean is the mean pace of the instances in percent, as of meanAt.
	mean   float64
	meanAt time.Time
	// contention says whether the limits of its engines apply.
	contention contention
}

// meanPace returns the mean pace of the instances of a pool in percent, which is computed every meanPaceInterval.
func (r *Registry) meanPace(pool string, now time.Time) float64 {
	p := r.paced[pool]
	if !p.meanAt.IsZero() && now.Sub(p.meanAt) < meanPaceInterval {
		return p.mean
	}
	sum, n := 0.0, 0
	for _, m := range r.pools[pool] {
		sum += m.engine.pace.get(now)
		n++
	}
	p.mean, p.meanAt = sum/float64(max(1, n)), now
	return p.mean
}

// recordReportedPace records that an instance of a pool has reported its pace.
func (r *Registry) recordReportedPace(pool string, now time.Time) {
	if r.paced[pool] == nil {
		r.paced[pool] = &poolPace{}
	}
	r.paced[pool].reportedAt = now
}

// recordPace adds a report of an engine's pace.
func (r *Registry) recordPace(m *member, pace int, now time.Time) (plausible bool) {
	if pace < minPace || pace > maxPace {
		return false
	}
	r.recordReportedPace(m.Pool, now)
	m.engine.pace.record(pace, now)
	return true
}

// RecordPace records the pace that the instance has reported, in percent of the usual time for some work, and returns
// whether it is plausible. Others are ignored.
func (l *Lease) RecordPace(pace int) (plausible bool) {
	r := l.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.recordPace(l.member, pace, r.now()) {
		return false
	}
	l.member.engine.pending.Pace = pace
	return true
}

// RecordWait records how long the response made the caller wait, for the first event or between two events, and the
// objective for that. The highest ratio of a response counts, once it has ended, or once it is above 1, which the
// result reports: the keeper should be told at once.
func (l *Lease) RecordWait(waited, objective time.Duration) (late bool) {
	r := l.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	if ratio := float64(waited) / float64(objective); objective > 0 && ratio > l.highestRatio {
		l.highestRatio, l.highestAt = ratio, r.now().Add(-waited)
	}
	if l.judged || l.released || !(l.highestRatio > 1) {
		return false
	}
	r.judge(l, r.now())
	return l.member.keeper != ""
}

// judge counts the response of a lease, if it has begun.
func (r *Registry) judge(l *Lease, now time.Time) {
	m := l.member
	if l.judged || l.highestRatio == 0 || !r.pacedNow(m.Pool, now) {
		return
	}
	l.judged = true
	if m.keeper != "" {
		m.engine.pending.add(l.highestRatio, now.Sub(l.highestAt))
		return
	}
	m.engine.limit.observe(Observation{Responses: 1, Ratio: l.highestRatio, Age: now.Sub(l.highestAt)}, now)
	r.stepLimit(m, now)
}

// TakeObservation returns what is to be told to the keeper of an instance, and forgets it.
func (r *Registry) TakeObservation(instance Key) (o Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.byKey[instance] {
		if m.keeper != "" {
			o, m.engine.pending = m.engine.pending, Observation{}
		}
	}
	return o
}

// Observe records what another router has observed of an instance that this one keeps.
func (r *Registry) Observe(instance Key, o Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for _, m := range r.byKey[instance] {
		if m.keeper != "" {
			continue
		}
		r.recordPace(m, o.Pace, now)
		if !r.pacedNow(m.Pool, now) {
			continue
		}
		o.Responses = min(o.Responses, maxObserved)
		m.engine.limit.observe(o, now)
		r.stepLimit(m, now)
	}
}

// recordTold records the pace and the limit that the keeper of an instance has told, if it knows them.
func (r *Registry) recordTold(m *member, told KeeperLoad, now time.Time) {
	if m.keeper == "" {
		return
	}
	if told.Limit > 0 {
		m.engine.told, m.engine.toldAt = told.Limit, now
	}
	if told.Pace >= minPace && told.Pace <= maxPace {
		r.recordReportedPace(m.Pool, now)
		// It is smoothed already.
		m.engine.pace = smoothPace{value: float64(told.Pace), at: now}
	}
}

// tellPace adds the pace and the limit of a kept instance to its load. Only a pool that is paced has them.
func (r *Registry) tellPace(m *member, out KeeperLoad, now time.Time) KeeperLoad {
	if !r.pacedNow(m.Pool, now) {
		return out
	}
	out.Limit = r.measuredLimit(m, now)
	if !m.engine.pace.at.IsZero() && now.Sub(m.engine.pace.at) < pacedTTL {
		out.Pace = int(math.Round(m.engine.pace.get(now)))
	}
	return out
}

// inheritLimit starts the limit of an instance that this router keeps from now on with what the former keeper told last.
func (r *Registry) inheritLimit(m *member, now time.Time) {
	m.engine.limit = placeLimit{steppedAt: now}
	if m.engine.told > 0 && now.Sub(m.engine.toldAt) < toldLimitTTL {
		m.engine.limit.limit = float64(m.engine.told)
	}
}

// WithinShare reports whether the requests of this router at the instance, this one included, are within its share of the
// last limit that the keeper told. It holds for a router that decides alone, in a contended pool; in others it is true.
func (l *Lease) WithinShare() bool {
	r := l.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.contendedNow(l.member.Pool, r.now()) || l.withinShare()
}

// WithinShareInTurn is WithinShare for a request that waits in turn: it holds as well while this router does not know that the pool
// is contended, because a keeper that does has just refused a request.
func (l *Lease) WithinShareInTurn() bool {
	l.registry.mu.Lock()
	defer l.registry.mu.Unlock()
	return l.withinShare()
}

func (l *Lease) withinShare() bool {
	r, m := l.registry, l.member
	if m.Slots <= 0 || !r.pacedNow(m.Pool, r.now()) {
		return true
	}
	limit := m.Slots
	if m.engine.told > 0 {
		limit = min(limit, m.engine.told)
	}
	routers := max(1, len(r.routers))
	return m.local.Requests <= max(1, (limit+routers-1)/routers)
}
