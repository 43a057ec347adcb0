package pool

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Figures of an engine, measured: time for a step of all running requests is (stepBase + stepPerRequest x running) x pace,
// and a part of a prompt is read between two steps.
const (
	stepBase       = 3800 * time.Microsecond
	stepPerRequest = 23 * time.Microsecond
	chunkTokens    = 1024
	tokensPerMs    = 68
	firstTokenTime = 36 * time.Millisecond
	tokensPerEvent = 8
	engineSlots    = 64
	// meanPrompt are the tokens to be read of a prompt, and meanOutput those of a response, on average beyond the least.
	meanPrompt = 1100
	meanOutput = 40
)

// kind is a kind of stream in the replay of the heavy day.
type kind struct {
	priority   int
	first, gap time.Duration
	share      float64
}

var kinds = []kind{
	{0, 400 * time.Millisecond, 300 * time.Millisecond, 0.78},
	{1, 800 * time.Millisecond, 400 * time.Millisecond, 0.12},
	{2, 2000 * time.Millisecond, 600 * time.Millisecond, 0.10},
}

// stream is one request of the replay.
type stream struct {
	kind
	lease   *held
	arrived time.Time
	sent    time.Time
	last    time.Time
	// prompt and output are the tokens left, sinceEvent those since the last event.
	prompt, output, sinceEvent int
	readyAt                    time.Time
	events                     int
	worst                      float64
	firstEvent, longestGap     time.Duration
}

// engineModel is an engine of the replay.
type engineModel struct {
	pace             func(now time.Time) float64
	waiting, reading []*stream
	running          []*stream
	next             time.Time
}

// step runs the engine until now and returns the streams that have ended.
func (e *engineModel) step(now time.Time, event func(*stream, time.Time)) (ended []*stream) {
	if e.next.Before(now.Add(-time.Second)) {
		e.next = now
	}
	for !e.next.After(now) {
		for len(e.waiting) > 0 && len(e.running)+len(e.reading) < engineSlots {
			most := slices.MinFunc(e.waiting, func(a, b *stream) int { return cmp.Compare(a.priority, b.priority) })
			at := slices.Index(e.waiting, most)
			e.waiting = slices.Delete(e.waiting, at, at+1)
			e.reading = append(e.reading, most)
		}
		if len(e.running)+len(e.reading) == 0 {
			e.next = now.Add(time.Millisecond)
			return ended
		}
		pace := e.pace(e.next)
		took := time.Duration(0)
		if len(e.running) > 0 {
			took = stepBase + time.Duration(len(e.running))*stepPerRequest
		}
		var read *stream
		if len(e.reading) > 0 {
			read = e.reading[0]
			chunk := min(chunkTokens, read.prompt)
			read.prompt -= chunk
			took += time.Duration(float64(chunk) / tokensPerMs * float64(time.Millisecond))
		}
		e.next = e.next.Add(time.Duration(float64(max(took, time.Millisecond)) * pace))
		e.running = slices.DeleteFunc(e.running, func(s *stream) bool {
			if s.readyAt.After(e.next) {
				return false
			}
			s.output--
			if s.sinceEvent++; s.sinceEvent == tokensPerEvent || s.output == 0 {
				s.sinceEvent = 0
				event(s, e.next)
			}
			if s.output == 0 {
				ended = append(ended, s)
			}
			return s.output == 0
		})
		if read != nil && read.prompt == 0 {
			e.reading = e.reading[1:]
			read.readyAt = e.next.Add(time.Duration(float64(firstTokenTime) * pace))
			e.running = append(e.running, read)
		}
	}
	return ended
}

// heavyDay replays the heavy day: 2.6 times the usual traffic and a quarter of the engines 4 times slower, for some seconds.
type heavyDay struct {
	routers, engines int
	usual, burst     float64 // requests a second
	// before, during and after the burst.
	before, during, after time.Duration
	slowPace              float64
	// limited is set for engines that report their pace, and whose limits apply while the pool is contended. Otherwise the
	// earlier decision holds: the slots. always makes the limits apply all the time.
	limited, always bool
	// report, if set, returns the pace in percent that an engine reports instead of its pace, 0 for none.
	report func(engine int, pace float64) int
	// each, if set, is called every 100 ms.
	each func(f *fleet, engines []*engineModel, at time.Duration)
	// longPrompts is the share of prompts of which 8,000 tokens more are to be read.
	longPrompts float64
	seed        uint64
}

// dayResult is what the replay measured, by priority and over the burst.
type dayResult struct {
	requests, inTime, late, refused [3]int
	// settledInTime and settledLate are those that arrived later than settling after the begin of the burst, reactedInTime
	// and reactedLate those that arrived later than reaction.
	settledInTime, settledLate, reactedInTime, reactedLate int
	firstEvents, gaps                                      []time.Duration
	// refusedAfter is the number of requests refused later than settling after the burst.
	refusedAfter    int
	overBound, sent int
	meanInFlight    float64
	completed       int
	// cached is the number of prompt tokens that the chosen engines had cached.
	cached int
	// contended is the part of the time at which a router counted the pool as contended, over the whole day, and changes the
	// number of times that router 0 began or ceased to.
	contended float64
	changes   int
}

func (d *dayResult) String() string {
	out := ""
	for p := range d.requests {
		out += fmt.Sprintf("p%d: %d of %d in time, %d late, %d refused; ", p, d.inTime[p], d.requests[p], d.late[p], d.refused[p])
	}
	return out + fmt.Sprintf("first event p50 %v p99 %v, longest gap p99 %v, over bound %d of %d, mean in flight %.1f, completed %d, in time %.3f after the reaction, %.3f settled, cached %d, contended %.3f of the time, %d changes",
		percentile(d.firstEvents, 50).Round(time.Millisecond), percentile(d.firstEvents, 99).Round(time.Millisecond),
		percentile(d.gaps, 99).Round(time.Millisecond), d.overBound, d.sent, d.meanInFlight, d.completed, d.reacted(), d.settled(), d.cached, d.contended, d.changes)
}

func percentile(of []time.Duration, p int) time.Duration {
	if len(of) == 0 {
		return 0
	}
	slices.Sort(of)
	return of[len(of)*p/100]
}

const (
	// reaction is the time within which the limits should react to the burst.
	reaction = 500 * time.Millisecond
	// settling is the time after which they have settled: two generations of requests, each with its wait for the first
	// event and its response, have passed.
	settling = 3 * time.Second
)

// settled and reacted return the part of the served requests that were in time, of those that arrived after settling and
// after reaction.
func (d *dayResult) settled() float64 { return inTimeShare(d.settledInTime, d.settledLate) }
func (d *dayResult) reacted() float64 { return inTimeShare(d.reactedInTime, d.reactedLate) }

func inTimeShare(inTime, late int) float64 { return float64(inTime) / float64(max(1, inTime+late)) }

func (d heavyDay) run() *dayResult {
	f := newFleetOf(d.routers, d.engines, testInstance)
	random := rand.New(rand.NewPCG(21, d.seed))
	start := f.clock.at
	engines := make([]*engineModel, d.engines)
	load := make([]int, d.engines)
	index := make(map[string]int)
	for n := range engines {
		noise := rand.New(rand.NewPCG(22, uint64(n)))
		engines[n] = &engineModel{next: start, pace: func(now time.Time) float64 {
			at, pace := now.Sub(start), 1.0
			if n%4 == 0 && at >= d.before && at < d.before+d.during {
				pace = d.slowPace
			}
			return pace * math.Exp(0.15*noise.NormFloat64())
		}}
		index[testInstance(n).ID] = n
	}
	if d.always {
		for _, r := range f.routers {
			r.SetPaced("llm", true)
			r.SetContended("llm", true)
		}
	}
	result := &dayResult{}
	looks, contendedBefore := 0, false
	wait := 80 * time.Millisecond // a fifth of the tightest objective
	if !d.limited {
		wait = 200 * time.Millisecond // half of it, as before
	}
	var queue []*stream
	inFlight, samples := 0, 0
	event := func(s *stream, now time.Time) {
		objective := s.gap
		ratio := float64(now.Sub(s.last)) / float64(s.gap)
		if s.events == 0 {
			s.firstEvent = now.Sub(s.arrived)
			objective = s.first
			s.worst = float64(s.firstEvent) / float64(s.first)
		} else {
			s.longestGap = max(s.longestGap, now.Sub(s.last))
			s.worst = max(s.worst, ratio)
		}
		waited := now.Sub(s.last)
		s.events++
		s.last = now
		s.lease.RecordProgress()
		if d.limited && s.lease.RecordWait(waited, objective) && s.lease.keeper >= 0 && !f.silent[s.lease.keeper] {
			f.observe(s.lease)
		}
	}
	send := func(s *stream, router int) bool {
		if inFlight >= d.engines*engineSlots {
			// All gateways together use the slots of the pool.
			return false
		}
		doc := uint64(math.Pow(random.Float64(), 2) * 400)
		q := testPrompt(doc)
		h := f.tryReserve(router, q, d.limited)
		if h == nil {
			return false
		}
		n := index[h.Instance.ID]
		e := engines[n]
		if at := f.clock.at.Sub(start); at >= d.before && at < d.before+d.during {
			mean := float64(inFlight) / float64(d.engines)
			result.sent++
			if float64(load[n]) > 2*mean+3 {
				result.overBound++
			}
		}
		s.lease, s.sent, s.last = h, f.clock.at, f.clock.at
		e.waiting = append(e.waiting, s)
		load[n]++
		inFlight++
		result.cached += h.CachedTokens
		if d.limited {
			pace := e.pace(f.clock.at)
			report := int(pace * 100)
			if d.report != nil {
				report = d.report(n, pace)
			}
			if report != 0 {
				h.RecordPace(report)
			}
		}
		return true
	}
	total := d.before + d.during + d.after
	due, exchanged := 0.0, f.clock.at
	measured := func(s *stream) bool {
		a := s.arrived.Sub(start)
		return a >= d.before && a < d.before+d.during
	}
	for tick := 0; f.clock.at.Sub(start) < total+2*time.Second; tick++ {
		f.clock.advance(time.Millisecond)
		at := f.clock.at.Sub(start)
		if f.clock.at.Sub(exchanged) >= 300*time.Millisecond {
			exchanged = f.clock.at
			f.exchange()
		}
		for n, e := range engines {
			for _, s := range slices.Concat(e.waiting, e.reading, e.running) {
				if waited := f.clock.at.Sub(s.sent); d.limited && s.events == 0 && waited > s.first && s.lease.RecordWait(waited, s.first) && s.lease.keeper >= 0 && !f.silent[s.lease.keeper] {
					f.observe(s.lease)
				}
			}
			for _, s := range e.step(f.clock.at, event) {
				f.end(s.lease, Served)
				load[n]--
				inFlight--
				if !measured(s) {
					continue
				}
				result.completed++
				count := func(inTime, late *int) {
					if s.worst <= 1 {
						*inTime++
					} else {
						*late++
					}
				}
				count(&result.inTime[s.priority], &result.late[s.priority])
				if s.arrived.Sub(start) >= d.before+reaction {
					count(&result.reactedInTime, &result.reactedLate)
				}
				if s.arrived.Sub(start) >= d.before+settling {
					count(&result.settledInTime, &result.settledLate)
				}
				result.firstEvents = append(result.firstEvents, s.firstEvent)
				result.gaps = append(result.gaps, s.longestGap)
			}
		}
		rate := d.usual
		if at >= d.before && at < d.before+d.during {
			rate = d.burst
			result.meanInFlight += float64(inFlight) / float64(d.engines)
			samples++
		}
		if at >= total {
			rate = 0
		}
		var arrivals []*stream
		for due += rate / 1000; due >= 1; due-- {
			k, u := kinds[0], random.Float64()
			if u >= kinds[0].share {
				k = kinds[1]
			}
			if u >= kinds[0].share+kinds[1].share {
				k = kinds[2]
			}
			s := &stream{kind: k, arrived: f.clock.at, output: 8 + int(random.ExpFloat64()*meanOutput), prompt: 300 + int(random.ExpFloat64()*meanPrompt)}
			if random.Float64() < d.longPrompts {
				s.prompt += 8000
			}
			if measured(s) {
				result.requests[k.priority]++
			}
			arrivals = append(arrivals, s)
		}
		for _, s := range arrivals {
			if len(queue) > 0 || !send(s, random.IntN(d.routers)) {
				queue = append(queue, s)
			}
		}
		if tick%10 == 0 && len(queue) > 0 {
			slices.SortStableFunc(queue, func(a, b *stream) int { return cmp.Compare(a.priority, b.priority) })
			misses := 0
			queue = slices.DeleteFunc(queue, func(s *stream) bool {
				if f.clock.at.Sub(s.arrived) > wait {
					if measured(s) {
						result.refused[s.priority]++
					}
					if s.arrived.Sub(start) >= d.before+d.during+settling {
						result.refusedAfter++
					}
					return true
				}
				if misses > 6 {
					return false
				}
				if send(s, random.IntN(d.routers)) {
					return true
				}
				misses++
				return false
			})
		}
		for n, r := range f.routers {
			if tick%20 != 0 || at >= total {
				break
			}
			now := r.Contended("llm")
			if looks++; now {
				result.contended++
			}
			if n == 0 && now != contendedBefore {
				contendedBefore = now
				result.changes++
			}
		}
		if d.each != nil && tick%100 == 0 {
			d.each(f, engines, at)
		}
	}
	result.meanInFlight /= float64(max(1, samples))
	result.contended /= float64(max(1, looks))
	return result
}

// limitedTime is how long a router that does not know yet that the pool is contended limits its requests, after a keeper had
// no place for one.
const limitedTime = 100 * time.Millisecond

// tryReserve is reserve without taking an instance in any case. In a pool that is not contended the last one asked is taken, as
// without limits.
func (f *fleet) tryReserve(router int, q *Request, limited bool) *held {
	if !limited || !(f.routers[router].Contended(q.Pool) || f.clock.at.Before(f.limitedUntil[router])) {
		return f.reserve(router, q)
	}
	for range maxAsks {
		l := f.routers[router].Acquire(q)
		if l == nil {
			return nil
		}
		f.sequence++
		h := &held{Lease: l, router: router, keeper: -1, sequence: f.sequence}
		if l.Keeper == "" {
			limit, ok := f.routers[router].PlaceLimit(KeyOf(l.Instance.ID))
			if ok && f.routers[router].members[l.Instance.ID].inFlight() > limit {
				f.routers[router].members[l.Instance.ID].engine.limit.heldBack = true
				l.Withdraw()
				l.member.deniedUntil = f.clock.at.Add(denialBackoff)
				continue
			}
			return h
		}
		h.keeper = f.router(l.Keeper)
		if f.silent[h.keeper] {
			if l.WithinShare() {
				return h
			}
			l.Withdraw()
			continue
		}
		f.asked++
		f.observe(h)
		a := f.routers[h.keeper].Reserve(&Reservation{
			Router: routerName(router), Sequence: h.sequence, Instance: KeyOf(l.Instance.ID), Parts: q.Parts, TTL: time.Minute,
		})
		if l.Confirm(a) {
			return h
		}
	}
	return nil
}
