package gateway

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthfork.example/jacinthfork/gateway/poison"
	"jacinthfork.example/jacinthfork/gateway/pool"
	"jacinthfork.example/jacinthfork/internal/socket"
)

const (
	// crashWindow is the time within which broken connections to an instance are attributed to one crash.
	crashWindow = 150 * time.Millisecond
	// probeTimeout bounds a test connection. Links between failure domains take a few milliseconds.
	probeTimeout = 300 * time.Millisecond
)

// crashDetector tells crashes of backend servers from broken connections: a crashed backend server accepts no
// new connection right afterwards. It collects the requests whose connections broke.
type crashDetector struct {
	// onCrash is called with the crashed instance, the time at which the first connection to it broke, and the requests
	// whose connections broke.
	onCrash func(i pool.Instance, at time.Time, failed []failedRequest)
	mu      sync.Mutex
	reports map[string]*crashReport
}

// crashReport collects the broken connections to one instance until the test connection is made.
type crashReport struct {
	at     time.Time
	failed []failedRequest
}

// failedRequest is a request whose connection broke.
type failedRequest struct {
	id          string
	fingerprint uint64
	// answered is set if the backend server had begun to answer the request.
	answered bool
	attempt  *poison.Attempt
	// onSurvival, if set, is called if the backend server has not crashed.
	onSurvival func()
}

func newCrashDetector(onCrash func(i pool.Instance, at time.Time, failed []failedRequest)) *crashDetector {
	return &crashDetector{onCrash: onCrash, reports: make(map[string]*crashReport)}
}

// connectionFailed records a request whose connection broke before its response was complete.
func (d *crashDetector) connectionFailed(i pool.Instance, r failedRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	report := d.reports[i.ID]
	if report == nil {
		report = &crashReport{at: time.Now()}
		d.reports[i.ID] = report
		time.AfterFunc(crashWindow, func() { d.probe(i) })
	}
	report.failed = append(report.failed, r)
}

// suspects reports whether connections to an instance broke and it is not known yet whether it has crashed.
func (d *crashDetector) suspects(instance string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.reports[instance] != nil
}

func (d *crashDetector) probe(i pool.Instance) {
	d.mu.Lock()
	report := d.reports[i.ID]
	delete(d.reports, i.ID)
	d.mu.Unlock()
	reached, err := reachable(i.Address)
	switch {
	case socket.NoDescriptor(err):
		// This process could not find out.
		return
	case !reached:
		d.onCrash(i, report.at, report.failed)
		return
	}
	for _, r := range report.failed {
		if r.onSurvival != nil {
			r.onSurvival()
		}
	}
}

// reachable reports whether a backend server accepts a connection, and why not.
func reachable(address string) (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return false, err
	}
	_ = conn.Close()
	return true, nil
}

// recordCrash records the crash of a backend server that had requests of this router in flight.
func (g *Gateway) recordCrash(i pool.Instance, at time.Time, failed []failedRequest) {
	g.connections.CloseIdle(connectionKey(i))
	g.registry.RecordCrash(i)
	attempts := make([]*poison.Attempt, 0, len(failed))
	var unanswered, requests []string
	for _, r := range failed {
		if len(requests) < maxLoggedRequests {
			requests = append(requests, r.describe())
		}
		if r.answered {
			attempts = append(attempts, r.attempt.Begun())
			continue
		}
		attempts = append(attempts, r.attempt)
		if parts := r.attempt.Parts(); len(parts) > 0 && len(unanswered) < maxLoggedPrompts {
			unanswered = append(unanswered, formatParts(parts))
		}
	}
	g.logBlocked(g.poison.RecordCrash(crashID(i), at, attempts), i.ID)
	g.metrics.crashes.Add(1)
	g.log.Warn("backend server crashed", "instance", i.ID, "crash", formatID(uint64(crashID(i))), "in_flight", len(failed),
		"requests", requests, "suspects", g.poison.Counts().Suspects, "unanswered_prompts", unanswered)
}

// describe returns the ID and the fingerprint of a request for a log line, and whether it was being answered.
func (r failedRequest) describe() string {
	text := r.id + " " + formatID(r.fingerprint)
	if r.answered {
		text += " answered"
	}
	return text
}

// crashID identifies the crash of one incarnation of an instance at all routers.
func crashID(i pool.Instance) uint32 { return uint32(xxhash.Sum64String(lifetimeName(i))) }

// maxLoggedRequests and maxLoggedPrompts bound the requests and the prompts in one log line.
const (
	maxLoggedRequests = 16
	maxLoggedPrompts  = 8
)

// probeUnreachable makes the test connections that are due, in the background: to instances that this router keeps and
// that could not be reached.
func (g *Gateway) probeUnreachable() {
	for _, i := range g.registry.DueProbes() {
		go func() {
			reached, err := reachable(i.Address)
			result := "unreachable"
			switch {
			case reached:
				result = "reached"
			case socket.NoDescriptor(err):
				result = "no descriptor" // the instance stays as it is until the next one
			}
			g.registry.RecordProbe(i, reached)
			g.metrics.probes.Add(i.Pool+"/"+result, 1)
		}()
	}
}
