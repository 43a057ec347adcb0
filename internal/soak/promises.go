// Package soak runs the gateways of a fleet as separate processes before stand-ins of the platform,
// injects faults from outside and checks the promises from what callers and backend servers see.
//
//	go test ./internal/soak -run TestSoak -soak.seed=7 -soak.count=50 -soak.faults=12
//
// A seed fixes the plan of faults and of requests; how they meet is up to the machine. Seeds that ever
// failed stay in regressions, with a line on the cause.
package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"jacinthfork.example/jacinthfork/platform/standin"
)

// Kind is what may be repeated of a request.
type Kind uint8

// Kinds of requests.
const (
	// Once runs at most once.
	Once Kind = iota
	// Repeatable may run more than once.
	Repeatable
	// Stream is answered by events and may go on at another worker.
	Stream
)

// streamEvents is the number of events of each stream.
const streamEvents = 12

// Request is one request as its caller sent it.
type Request struct {
	ID   string
	Kind Kind
}

// Answer is the body of the whole answer to a request.
func Answer(id string) string { return "answer to " + id }

// Promises collects what callers and workers saw and says which promises are broken. It is safe for
// concurrent use.
type Promises struct {
	mu      sync.Mutex
	broken  []string
	refused map[string]bool
	sent    map[string]Kind
	served  int
	// versions is the newest configuration that each process has shown.
	versions map[string]int
}

// NewPromises returns an empty collection.
func NewPromises() *Promises {
	return &Promises{refused: make(map[string]bool), sent: make(map[string]Kind), versions: make(map[string]int)}
}

func (p *Promises) breakf(format string, args ...any) {
	p.broken = append(p.broken, fmt.Sprintf(format, args...))
}

// Sending notes a request before it is sent.
func (p *Promises) Sending(r Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent[r.ID] = r.Kind
}

// Replied checks what a caller got: its own whole answer, and nothing that only looks like one.
func (p *Promises) Replied(r Request, reply standin.Reply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case reply.Status == 503 || reply.Status == 429:
		p.refused[r.ID] = true
	case reply.Status == 200 && reply.Err == nil:
		p.served++
		if want := whole(r); reply.Body != want {
			p.breakf("%s got %q, want %q", r.ID, reply.Body, want)
		}
		if !reply.Signed {
			p.breakf("%s got a success without a signature", r.ID)
		}
	case reply.Status == 200:
		if !strings.HasPrefix(whole(r), reply.Body) {
			p.breakf("%s got %q, which is no beginning of its answer", r.ID, reply.Body)
		}
	case reply.Status != 0 && reply.Status < 500:
		p.breakf("%s was denied with %d", r.ID, reply.Status)
	}
}

func whole(r Request) string {
	if r.Kind != Stream {
		return Answer(r.ID)
	}
	var b strings.Builder
	for n := 1; n <= streamEvents; n++ {
		b.WriteString(standin.Event(n))
	}
	return b.String()
}

// Ran checks the runs of all workers: at most once, not after a refusal, and none that nobody sent.
func (p *Promises) Ran(arrivals []standin.Arrival) {
	p.mu.Lock()
	defer p.mu.Unlock()
	runs := make(map[string]int)
	for _, a := range arrivals {
		if a.Ran {
			runs[a.RequestID()]++
		}
	}
	for id, n := range runs {
		kind, sent := p.sent[id]
		if !sent {
			p.breakf("%s ran, but nobody sent it", id)
		}
		if n > 1 && kind == Once {
			p.breakf("%s ran %d times", id, n)
		}
		if p.refused[id] && kind == Once {
			p.breakf("%s ran, and its caller was told that it had not", id)
		}
	}
}

// Showed checks that the configuration that a process shows never goes back. process names one start.
func (p *Promises) Showed(process string, version int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if version < p.versions[process] {
		p.breakf("%s went back from configuration %d to %d", process, p.versions[process], version)
	}
	p.versions[process] = max(p.versions[process], version)
}

// Left checks that no request reaches a worker that has left, longer than bound after all routers could
// know.
func (p *Promises) Left(worker string, since time.Time, bound time.Duration, arrivals []time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, at := range arrivals {
		if late := at.Sub(since); late > bound {
			p.breakf("a request reached %s %s after its entry was removed", worker, late.Round(time.Millisecond))
		}
	}
}

// Recovered checks the share of requests that are served after all faults have ended.
func (p *Promises) Recovered(served, all int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if served*10 < all*9 {
		p.breakf("after the faults only %d of %d requests are served", served, all)
	}
}

// Broken returns the promises that are broken.
func (p *Promises) Broken() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.broken...)
}

// Served returns the number of whole answers.
func (p *Promises) Served() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.served
}
