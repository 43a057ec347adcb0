package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jacinthfork.example/jacinthfork/gateway/peer/peerpb"
	"jacinthfork.example/jacinthfork/gateway/pool"
	"jacinthfork.example/jacinthfork/gateway/routes"
)

// pacedLease returns a lease on an engine of a paced pool that another router keeps, and the registry.
func pacedLease() (*pool.Registry, *pool.Lease) {
	r := pool.NewRegistry(pool.DefaultSettings(), "a")
	var routers []pool.Router
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		routers = append(routers, pool.Router{Name: name, Incarnation: 1})
	}
	r.SetFleet("a", routers)
	for n := 0; ; n++ {
		id := string(rune('A' + n))
		if r.KeeperOf(id).Name == "" {
			continue
		}
		r.ApplyEntry(pool.Instance{ID: id, Pool: "llm", Address: "x", Slots: 64, StartedAt: 1, Sequence: 1})
		l := r.Acquire(&pool.Request{Pool: "llm"})
		l.RecordPace(100)
		r.TakeObservation(pool.KeyOf(id))
		return r, l
	}
}

// Guards against an engine that gets fewer requests because of what this router or the caller was slow at: a pause of the
// process, and a caller that does not read. The engine's own pauses and its late first event must count.
func TestOnlyWaitsForTheEngineCount(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	for name, c := range map[string]struct {
		// events are the times of events, written when the caller had them, in ms. paused is the time from which to which the
		// process did not run.
		events, written []int
		paused          [2]int
		late            bool
	}{
		"in time":                   {events: []int{300, 500, 700}, written: []int{300, 500, 700}},
		"late first event":          {events: []int{500, 700}, written: []int{500, 700}, late: true},
		"pause of the engine":       {events: []int{100, 500}, written: []int{100, 500}, late: true},
		"pause of the process":      {events: []int{100, 900}, written: []int{100, 900}, paused: [2]int{150, 850}},
		"process paused at first":   {events: []int{900}, written: []int{900}, paused: [2]int{150, 850}},
		"both paused":               {events: []int{100, 1400}, written: []int{100, 1400}, paused: [2]int{150, 850}, late: true},
		"caller that does not read": {events: []int{100, 900}, written: []int{850, 950}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			start := time.Now()
			registry, lease := pacedLease()
			var pauses pauseDetector
			late := false
			m := &waitMeter{lease: lease, first: ms(400), gap: ms(300), pauses: &pauses, report: func() { late = true }, since: start}
			next := 0
			for at := -100; at <= 1500; at += 50 {
				if c.paused[1] == 0 || at <= c.paused[0] || at >= c.paused[1] {
					pauses.note(start.Add(ms(at)))
				}
				for next < len(c.events) && c.events[next] <= at {
					m.arrived(start.Add(ms(c.events[next])))
					m.written(start.Add(ms(c.written[next])))
					next++
				}
			}
			is.Equal(late, c.late)
			lease.Release(pool.Served)
			o := registry.TakeObservation(pool.KeyOf(lease.Instance.ID))
			is.Equal(o.Responses, 1)
			is.Equal(o.Ratio > 1, c.late)
		})
	}
}

// Guards against a stream that measures nothing, and others that do: those whose instances report no pace, and requests with
// a single answer.
func TestOnlyStreamsAreMeasured(t *testing.T) {
	is := is.New(t)
	registry, lease := pacedLease()
	g := &Gateway{registry: registry}
	stream := &requestState{g: g, route: &routes.Route{Mode: routes.Streaming}}
	is.True(stream.measureWaits(lease, nil) != nil)
	other := &requestState{g: g, route: &routes.Route{Mode: routes.Idempotent, LatencyObjective: time.Second}}
	is.True(other.measureWaits(lease, nil) == nil)
	lease.Instance.Pool = "unpaced"
	is.True(stream.measureWaits(lease, nil) == nil)
}

// Guards against a keeper that is not told of the pace and of late responses, with the end of a request, with the next one,
// or at once, and against gateways that are not told its limit.
func TestKeeperIsToldWhatOthersObserve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newPlainFleet(2, plainWorkers(1))
		asking, keeper := fleet[0], fleet[1]
		instance := pool.KeyOf(plainWorkers(1)[0].ID)
		if asking.keeps(instance) {
			asking, keeper = keeper, asking
		}
		reserve := func() (*pool.Lease, *reservation) {
			s := &requestState{g: asking, table: asking.table.Load(), pool: "plain", start: time.Now()}
			lease, place := s.reserve(context.Background())
			is.True(lease != nil)
			return lease, place
		}
		pace := func() float64 {
			time.Sleep(5 * linkDelay)
			s, _ := keeper.registry.PaceSummary("plain")
			return s.PaceMean
		}
		lease, place := reserve()
		is.True(lease.RecordPace(200))
		is.True(!keeper.registry.Paced("plain"))
		lease.Release(pool.Served)
		asking.reservations.end(place, pool.Served)
		is.True(pace() > 150) // with the end

		lease, place = reserve()
		lease.RecordPace(300)
		second, secondPlace := reserve()
		is.True(pace() > 180) // with the next request
		limit, ok := asking.registry.PlaceLimit(instance)
		is.True(ok)
		is.Equal(limit, workerSlots)

		is.True(lease.RecordWait(2*time.Second, time.Second))
		asking.reservations.report(lease.Instance.ID)
		time.Sleep(5 * linkDelay)
		s, _ := keeper.registry.PaceSummary("plain")
		is.Equal(s.PressureMean, 2.0) // at once
		for lease, place := range map[*pool.Lease]*reservation{lease: place, second: secondPlace} {
			lease.Release(pool.Served)
			asking.reservations.end(place, pool.Served)
		}
		time.Sleep(5 * linkDelay)
	})
}

// Guards against messages between gateways that lose or change what was observed, and against fields that unpaced pools
// would pay for.
func TestObservationsPassTheWire(t *testing.T) {
	is := is.New(t)
	o := pool.Observation{Responses: 3, Ratio: 1.25, Age: 450 * time.Millisecond, Pace: 180}
	is.Equal(decodeObservation(encodeObservation(7, o)), o)
	is.True(encodeObservation(7, pool.Observation{}) == nil)
	a := pool.Answer{Granted: true, Loads: []pool.KeeperLoad{{Instance: 1, Requests: 2, Pace: 130, Limit: 20}, {Instance: 3, Requests: 4}}}
	is.Equal(decodeAnswer(encodeAnswer(1, a)), a)
	unpaced := encodeAnswer(1, pool.Answer{Loads: []pool.KeeperLoad{{Instance: 1, Requests: 2}}})
	is.Equal(len(unpaced.GetPaces())+len(unpaced.GetLimits()), 0)
}

// Guards against observations of an engine that are lost because its keeper does not answer, or there is no link: the limit would
// then shrink late, which makes keepers late in turn.
func TestObservationsOutliveASilentKeeper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newEngineFleet(2, 1, 4, true)
		_, other := keeperOf(fleet, pool.KeyOf("e-00"))
		link := wrapLink(other)
		key := pool.KeyOf("e-00")
		lease := other.registry.Acquire(&pool.Request{Pool: "chat"})
		lease.RecordPace(150)
		is.True(lease.RecordWait(600*time.Millisecond, 400*time.Millisecond))
		want := pool.Observation{Responses: 1, Ratio: 1.5, Age: 600 * time.Millisecond, Pace: 150}

		link.cut = true
		other.reservations.report("e-00")
		_, _, err := newChat(other, 0, "o", 1).acquire(t.Context())
		is.NoErr(err)
		got := other.registry.TakeObservation(key)
		is.Equal(got, want)
		other.registry.ReturnObservation(key, got, time.Now())

		link.cut, link.silent = false, true
		var observed []*peerpb.Observation
		told := &toldLink{link, func(_ string, m *peerpb.Message) {
			for _, o := range []*peerpb.Observation{m.GetObserved(), m.GetReserve().GetObserved()} {
				if o != nil {
					observed = append(observed, o)
				}
			}
		}}
		other.keepers, other.reservations.fleet = told, told
		_, _, _ = newChat(other, 0, "o", 1).acquire(t.Context())
		is.Equal(len(observed), 1) // with the message that the place is taken, or that it is not
		o := observed[0]
		is.Equal(o.GetResponses(), uint32(1))
		is.Equal(o.GetPace(), uint32(150))
		is.True(o.GetAgeMs() > 600) // with the time for which the keeper was silent
	})
}
