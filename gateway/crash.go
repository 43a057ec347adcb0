package gateway

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthfork.example/jacinthfork/gateway/poison"
	"jacinthfork.example/jacinthfork/gateway/pool"
)

const (
	// ambiguousCrashLimit is the number of crashes after which a request is refused even though other
	// requests were in flight at each crash. Two such crashes can be a coincidence when many backend servers
	// restart.
	ambiguousCrashLimit = 3
	// suspectRetention is how long a crash counts against a request. Each further arrival of the request renews it.
	suspectRetention = 5 * time.Minute
	// crashWindow is the time within which broken connections to an instance are attributed to one crash.
	crashWindow = 150 * time.Millisecond
	// probeTimeout bounds a test connection. Links between failure domains take a few milliseconds.
	probeTimeout = 300 * time.Millisecond
)

// crashDetector tells crashes of backend servers from broken connections: a crashed backend server accepts no
// new connection right afterwards. It collects the requests whose connections broke.
type crashDetector struct {
	onCrash        func(i pool.Instance, failed []failedRequest)
	mu             sync.Mutex
	failedRequests map[string][]failedRequest
}

// failedRequest is a request whose connection broke.
type failedRequest struct {
	id          string
	fingerprint uint64
	// answered is set if the backend server had begun to answer the request.
	answered bool
	// unanswered is set if the backend server had not begun to answer the request's prompt.
	unanswered *poison.Attempt
	// onSurvival, if set, is called if the backend server has not crashed.
	onSurvival func()
}

func newCrashDetector(onCrash func(pool.Instance, []failedRequest)) *crashDetector {
	return &crashDetector{onCrash: onCrash, failedRequests: make(map[string][]failedRequest)}
}

// connectionFailed records a request whose connection broke before its response was complete.
func (d *crashDetector) connectionFailed(i pool.Instance, r failedRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	first := len(d.failedRequests[i.ID]) == 0
	d.failedRequests[i.ID] = append(d.failedRequests[i.ID], r)
	if first {
		time.AfterFunc(crashWindow, func() { d.probe(i) })
	}
}

func (d *crashDetector) probe(i pool.Instance) {
	d.mu.Lock()
	failed := d.failedRequests[i.ID]
	delete(d.failedRequests, i.ID)
	d.mu.Unlock()
	if !reachable(i.Address) {
		d.onCrash(i, failed)
		return
	}
	for _, r := range failed {
		if r.onSurvival != nil {
			r.onSurvival()
		}
	}
}

func reachable(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// recordCrash records the crash of a backend server that had requests of this router in flight.
func (g *Gateway) recordCrash(i pool.Instance, failed []failedRequest) {
	g.connections.CloseIdle(connectionKey(i))
	var fingerprints, answered []uint64
	var attempts []*poison.Attempt
	var unanswered, requests []string
	for _, r := range failed {
		if len(requests) < maxLoggedRequests {
			requests = append(requests, r.describe())
		}
		if r.answered {
			answered = append(answered, r.fingerprint)
		} else {
			fingerprints = append(fingerprints, r.fingerprint)
		}
		if r.unanswered == nil {
			continue
		}
		attempts = append(attempts, r.unanswered)
		if len(unanswered) < maxLoggedPrompts {
			unanswered = append(unanswered, formatParts(r.unanswered.Parts()))
		}
	}
	known := g.suspects.RecordCrashWhileAnswering(fingerprints, answered)
	if suspicions := g.poison.RecordCrash(crashID(i), attempts); len(suspicions) > 0 {
		g.logBlocked(suspicions, i.ID)
		g.peers.Changed()
	}
	g.metrics.crashes.Add(1)
	g.log.Warn("backend server crashed", "instance", i.ID, "crash", strconv.FormatUint(uint64(crashID(i)), 16), "in_flight", len(failed),
		"requests", requests, "suspects", known, "unanswered_prompts", unanswered)
}

// describe returns the ID and the fingerprint of a request for a log line, and whether it was being answered.
func (r failedRequest) describe() string {
	text := r.id + " " + formatFingerprint(r.fingerprint)
	if r.answered {
		text += " answered"
	}
	return text
}

// formatFingerprint returns a fingerprint as in log lines.
func formatFingerprint(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }

// crashID identifies the crash of one incarnation of an instance at all routers.
func crashID(i pool.Instance) uint32 { return uint32(xxhash.Sum64String(connectionKey(i))) }

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
			reached, result := reachable(i.Address), "unreachable"
			if reached {
				result = "reached"
			}
			g.registry.RecordProbe(i, reached)
			g.metrics.probes.Add(i.Pool+"/"+result, 1)
		}()
	}
}
