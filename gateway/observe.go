package gateway

import (
	"context"
	"expvar"
	"fmt"
	"math"
	"strconv"
	"time"

	"jacinthfork.example/jacinthfork/admission"
	"jacinthfork.example/jacinthfork/gateway/extrawork"
	"jacinthfork.example/jacinthfork/gateway/feed"
	"jacinthfork.example/jacinthfork/gateway/pool"
	"jacinthfork.example/jacinthfork/gateway/routes"
	"jacinthfork.example/jacinthfork/internal/asynclog"
	"jacinthfork.example/jacinthfork/kernel"
)

// Contexts for log lines that are sampled, or dropped first, when the log writer cannot keep up.
var (
	servedContext = asynclog.WithClass(context.Background(), asynclog.Served)
	failedContext = asynclog.WithClass(context.Background(), asynclog.Failed)
)

// metrics are the counters of the request path. Labels are pools, reasons and outcomes, whose numbers are
// bounded by the configuration.
type metrics struct {
	requests         *expvar.Map
	refusals         *expvar.Map
	attempts         *expvar.Map
	retries          *expvar.Map
	resumptions      *expvar.Int
	offers           *expvar.Map
	extraWork        *expvar.Map
	ejections        *expvar.Map
	reservations     *expvar.Map
	localRefusals    *expvar.Map
	overloadRefusals *expvar.Map
	keeperDecisions  *expvar.Map
	placeQueue       *expvar.Map
	contentions      *expvar.Map
	probes           *expvar.Map
	departures       *expvar.Map
	holdOffs         *expvar.Map
	paceIgnored      *expvar.Map
	documents        *expvar.Map
	questions        *expvar.Map
	storeFailures    *expvar.Map
	crashes          *expvar.Int
	limitsExceeded   *expvar.Map
	responsesRefused *expvar.Map
	configRejected   *expvar.Int
	instanceRejected *expvar.Int
	instanceStale    *expvar.Int
	admissionWait    *histogram
	firstByte        *histogram
	eventGap         *histogram
	responseTime     *histogram
}

func newMetrics(c *kernel.Counters) *metrics {
	return &metrics{
		requests:         c.Map("requests"),
		refusals:         c.Map("refusals"),
		attempts:         c.Map("attempts"),
		retries:          c.Map("repeats"),
		resumptions:      c.Int("resumptions"),
		offers:           c.Map("offers"),
		extraWork:        c.Map("extra_work"),
		ejections:        c.Map("ejections"),
		reservations:     c.Map("reservations"),
		localRefusals:    c.Map("local_refusals"),
		overloadRefusals: c.Map("overload_refusals"),
		keeperDecisions:  c.Map("keeper_decisions"),
		placeQueue:       c.Map("place_queue"),
		contentions:      c.Map("contentions"),
		probes:           c.Map("probes"),
		departures:       c.Map("departures"),
		holdOffs:         c.Map("hold_offs"),
		paceIgnored:      c.Map("engine_pace_ignored"),
		documents:        c.Map("documents"),
		questions:        c.Map("where_questions"),
		storeFailures:    c.Map("store_failures"),
		crashes:          c.Int("crashes"),
		limitsExceeded:   c.Map("limits_exceeded"),
		responsesRefused: c.Map("responses_refused"),
		configRejected:   c.Int("configuration_rejected"),
		instanceRejected: c.Int("instance_rejected"),
		instanceStale:    c.Int("instance_stale"),
		admissionWait:    newHistogram(c, "waiting_ms"),
		firstByte:        newHistogram(c, "first_byte_ms"),
		eventGap:         newHistogram(c, "event_gap_ms"),
		responseTime:     newHistogram(c, "whole_ms"),
	}
}

// recordQueueEvent counts a change of the queue at an engine, by the level of urgency.
func (m *metrics) recordQueueEvent(event admission.QueueEvent, level int) {
	priority := strconv.Itoa(level)
	switch event {
	case admission.QueueEntered:
		m.placeQueue.Add("waiting/"+priority, 1)
	case admission.QueueLeft:
		m.placeQueue.Add("waiting/"+priority, -1)
	case admission.QueueRefused:
		m.placeQueue.Add("refused at once/"+priority, 1)
	case admission.QueueEvicted:
		m.placeQueue.Add("evicted/"+priority, 1)
	}
}

// histogram counts durations in fixed buckets, published as one expvar map from "le_N" to a count.
type histogram struct{ buckets []*expvar.Int }

// bucketBounds are the upper bounds as numbers of milliseconds, which observe multiplies by time.Millisecond;
// the last bucket is unbounded.
var bucketBounds = [...]time.Duration{1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000}

func newHistogram(c *kernel.Counters, name string) *histogram {
	m := c.Map(name)
	h := &histogram{}
	for i := range len(bucketBounds) + 1 {
		v := new(expvar.Int)
		label := "inf"
		if i < len(bucketBounds) {
			label = fmt.Sprintf("le_%05d", int(bucketBounds[i]))
		}
		m.Set(label, v)
		h.buckets = append(h.buckets, v)
	}
	return h
}

// observe records one duration.
func (h *histogram) observe(d time.Duration) {
	for i, bound := range bucketBounds {
		if d <= bound*time.Millisecond {
			h.buckets[i].Add(1)
			return
		}
	}
	h.buckets[len(bucketBounds)].Add(1)
}

// logLimits logs the engines whose limit has fallen below their slots, or is back at them.
func (g *Gateway) logLimits() {
	for _, c := range g.registry.LimitChanges() {
		msg := "engine limit restored"
		if c.Limit < c.Instance.Slots {
			msg = "engine limit reduced"
		}
		g.log.Info(msg, "instance", c.Instance.ID, "pool", c.Instance.Pool, "limit", c.Limit, "slots", c.Instance.Slots,
			"pressure", math.Round(c.Pressure*100)/100, "pace", math.Round(c.Pace))
	}
}

// modeName names a mode in counters as the configuration does.
func modeName(mode uint8) string {
	switch routes.Mode(mode) {
	case routes.Idempotent:
		return "idempotent"
	case routes.Streaming:
		return "streaming"
	}
	return "non_idempotent"
}

// publishCounters registers the gateway's state as counters. The age of a feed is 0 ms before its first read.
func (g *Gateway) publishCounters() {
	c := g.env.Counters
	c.Func("configuration", func() any {
		version := uint64(0)
		if t := g.table.Load(); t != nil {
			version = t.Version
		}
		return map[string]any{"version": version, "age_ms": g.configuration.Age().Milliseconds()}
	})
	c.Func("feeds", func() any {
		out := make(map[string]feed.Summary)
		for _, f := range g.followers() {
			out[f.id.String()] = f.follower.Summary()
		}
		return out
	})
	c.Func("instances_age_ms", func() any { return g.instances.Age().Milliseconds() })
	c.Func("pools", func() any {
		out := make(map[string]pool.Summary)
		if t := g.table.Load(); t != nil {
			for name := range t.Pools {
				out[name] = g.registry.Summary(name)
			}
		}
		return out
	})
	c.Func("engine_pace", func() any {
		out := make(map[string]pool.PaceSummary)
		if t := g.table.Load(); t != nil {
			for name := range t.Pools {
				if s, ok := g.registry.PaceSummary(name); ok {
					out[name] = s
				}
			}
		}
		return out
	})
	c.Func("extra_work_sums", func() any {
		out := make(map[string]extrawork.SumSummary)
		for k, s := range g.extraWork.Sums(time.Now()) {
			out[fmt.Sprintf("%s/%s/%d", k.Pool, modeName(k.Mode), k.Size)] = s
		}
		return out
	})
	c.Func("overload", func() any {
		s := g.overload.State()
		return map[string]any{"delay_ms": s.Delay.Milliseconds(), "max_delay_ms": s.MaxDelay.Milliseconds(),
			"limit": math.Round(s.Limit), "in_progress": s.InProgress, "refused_share": math.Round(100*s.Share) / 100, "pauses": s.Pauses}
	})
	c.Func("connections", func() any {
		idle, dialled := g.connections.Stats()
		closed := g.callers.UnusedClosed()
		return map[string]any{"idle": idle, "dialled": dialled, "no_descriptor": g.connections.Short(), "callers": g.callers.Total(),
			"callers_closed_idle": closed.Idle, "callers_closed_stopping": closed.Stopping,
			"callers_closed_unread": g.limits.closedUnread.Load(), "callers_closed_spare": g.limits.closedSpare.Load(),
			"callers_refused": g.limits.refused.Load(), "peers_refused": g.peers.Refused(), "ready_refused": g.readyListener.Refused()}
	})
	c.Func("memory", func() any { return g.memory.Held() })
	c.Func("buffered_bytes", func() any { return g.buffers.Used() })
	c.Func("crash_suspects", func() any { return g.poison.Counts().Suspects })
	c.Func("blocked_prompt_parts", func() any { return g.poison.Counts().BlockedParts })
	c.Func("blocked_requests", func() any { return g.poison.Counts().BlockedRequests })
	c.Func("peers", func() any { return g.peers.Peers() })
	c.Func("reserved_places", func() any { return g.ReservedPlaces() })
	c.Func("peer_rank", func() any { return g.peers.Rank() })
}
