// Package soak runs the gateways of a fleet as separate processes against stand-ins of the platform, injects
// faults from outside the processes and checks invariants on what callers and backend servers observe.
//
//	go test ./internal/soak -run 'TestSoak|TestChanges|TestCrashes' -soak.seed=7 -soak.count=50 -soak.faults=12
//
// A seed determines the sequence of faults and of requests, but not their timing relative to each other.
// Seeds that have failed stay in regressions, with the cause.
package soak

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"jacinthfork.example/jacinthfork/internal/httpcheck"
	"jacinthfork.example/jacinthfork/platform/standin"
)

// Kind says whether a request may be repeated or resumed.
type Kind uint8

// Kinds of requests.
const (
	// AtMostOnce requests are non-idempotent and must run at most once.
	AtMostOnce Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by a stream of events, which another worker may resume.
	Stream
)

// streamEvents is the number of events of each stream.
const streamEvents = 12

// Request is one request as its caller sent it.
type Request struct {
	ID   string
	Kind Kind
}

// Answer returns the complete response body of a request that is not a stream.
func Answer(id string) string { return "answer to " + id }

// Checker records what callers and workers observe and reports violated invariants. It is safe for concurrent
// use.
type Checker struct {
	mu         sync.Mutex
	violations []string
	refused    map[string]bool
	sent       map[string]Kind
	served     int
	// versions holds the newest configuration version that each process has served.
	versions map[string]int
}

// NewChecker returns a Checker without observations.
func NewChecker() *Checker {
	return &Checker{refused: make(map[string]bool), sent: make(map[string]Kind), versions: make(map[string]int)}
}

func (c *Checker) violatef(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// Violation reports a violated invariant that the caller has found.
func (c *Checker) Violation(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violatef("%s", text)
}

// RecordRequest records a request. It must be called before the request is sent.
func (c *Checker) RecordRequest(r Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[r.ID] = r.Kind
}

// CheckReply checks a caller's response: a success must be signed and have the complete body of this request,
// an interrupted one must have a prefix of it, and a gateway must not reject the caller with another status
// below 500. Status 503 or 429 records that the caller was told that its request did not run.
func (c *Checker) CheckReply(r Request, reply standin.CallerResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var malformed *httpcheck.Error
	if errors.As(reply.Err, &malformed) {
		c.violatef("%s got a %v", r.ID, malformed)
	}
	switch {
	case reply.Status == 503 || reply.Status == 429:
		c.refused[r.ID] = true
	case reply.Status == 200 && reply.Err == nil:
		c.served++
		if want := expectedBody(r); reply.Body != want {
			c.violatef("%s got %q, want %q", r.ID, reply.Body, want)
		}
		if !reply.Signed {
			c.violatef("%s got a success without a signature", r.ID)
		}
	case reply.Status == 200:
		if !strings.HasPrefix(expectedBody(r), reply.Body) {
			c.violatef("%s got %q, which is not a prefix of its answer", r.ID, reply.Body)
		}
	case reply.Status != 0 && reply.Status < 500:
		c.violatef("%s was denied with %d", r.ID, reply.Status)
	}
}

// expectedBody returns the complete response body of a request.
func expectedBody(r Request) string {
	if r.Kind != Stream {
		return Answer(r.ID)
	}
	var b strings.Builder
	for n := 1; n <= streamEvents; n++ {
		b.WriteString(standin.FormatEvent(n))
	}
	return b.String()
}

// CheckExecutions checks the executions on all workers. A non-idempotent request must run at most once and
// not at all when its caller was refused, and a request that was never sent must not run.
func (c *Checker) CheckExecutions(arrivals []standin.Arrival) {
	c.mu.Lock()
	defer c.mu.Unlock()
	runs := make(map[string]int)
	for _, a := range arrivals {
		if a.Executed {
			runs[a.RequestID()]++
		}
	}
	for id, n := range runs {
		kind, sent := c.sent[id]
		if !sent {
			c.violatef("%s ran, but nobody sent it", id)
		}
		if n > 1 && kind == AtMostOnce {
			c.violatef("%s ran %d times", id, n)
		}
		if c.refused[id] && kind == AtMostOnce {
			c.violatef("%s ran, and its caller was told that it had not", id)
		}
	}
}

// CheckVersion checks that the configuration version of a process never decreases. process names one
// incarnation.
func (c *Checker) CheckVersion(process string, version int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version < c.versions[process] {
		c.violatef("%s went back from configuration %d to %d", process, c.versions[process], version)
	}
	c.versions[process] = max(c.versions[process], version)
}

// CheckWithdrawal checks that no request reaches a worker later than bound after since, when its entry was
// removed.
func (c *Checker) CheckWithdrawal(worker string, since time.Time, bound time.Duration, arrivals []time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, at := range arrivals {
		if late := at.Sub(since); late > bound {
			c.violatef("a request reached %s %s after its entry was removed", worker, late.Round(time.Millisecond))
		}
	}
}

// CheckRecovery checks that at least 9 of 10 requests are served after all faults have ended.
func (c *Checker) CheckRecovery(served, all int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if served*10 < all*9 {
		c.violatef("after the faults only %d of %d requests are served", served, all)
	}
}

// Violations returns a description of each violated invariant.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// ServedCount returns the number of complete successful responses.
func (c *Checker) ServedCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.served
}
