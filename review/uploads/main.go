// Command uploads shows gateways whose consumers send bodies as long as the configuration allows. When one gateway is killed,
// its consumers come to the other one.
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"jacinthfork.example/jacinthfork/platform/standin"
	"jacinthfork.example/jacinthfork/review/harness"
)

const (
	gateways = 2
	workers  = 9
	// runTime is how long a request runs once its body has arrived.
	runTime = 1500 * time.Millisecond
	// consumers is the number of consumers of each gateway.
	consumers = 40
	// The second gateway is killed at killAt, for downTime.
	killAt   = 12 * time.Second
	downTime = 3500 * time.Millisecond
	duration = 30 * time.Second
	// A body is as long as max-body-bytes, and sent in pieces with a pause between them.
	bodyBytes  = harness.MaxBodyBytes
	pieceBytes = 32 << 10
	piecePause = 20 * time.Millisecond
	deadline   = 15 * time.Second
	// restart is how long the platform takes to start a process again.
	restart = 500 * time.Millisecond
	// watchPause is the time between two looks at the memory of the process.
	watchPause = 10 * time.Millisecond
	// allowed is the number of requests that may be lost.
	allowed = 3
)

// body is sent over a time.
type body struct{ left int }

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(piecePause)
	n := min(len(p), b.left, pieceBytes)
	clear(p[:n])
	b.left -= n
	return n, nil
}

type site struct {
	s    *harness.Script
	next atomic.Int64

	mu sync.Mutex
	// begun are the requests that a worker has begun to run.
	begun        map[string]bool
	served, lost int
}

// consumer sends one request after another on a connection that it keeps, until the end. If it gets no answer it turns to the
// other gateway.
func (t *site) consumer(home int, end time.Time) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	for size := 0; time.Now().Before(end); size = bodyBytes {
		if !t.send(client, t.s.Gateways[home%gateways], size) {
			home++
		}
	}
}

// send sends a request and reports whether it was answered.
func (t *site) send(client *http.Client, g *harness.Gateway, size int) bool {
	id := fmt.Sprintf("brief-%d", t.next.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	kept := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { kept = i.Reused }})
	req, err := standin.CallerRequest{ID: id, Method: http.MethodPost, Path: "/brief/" + id, Timeout: deadline}.HTTPRequest(ctx, g.Caller)
	if err != nil {
		t.s.Fail(err)
	}
	if size > 0 {
		req.Body, req.ContentLength = io.NopCloser(&body{left: size}), int64(size)
	}
	resp, err := client.Do(req)
	status := 0
	if err == nil {
		status = resp.StatusCode
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	begun := t.begun[id]
	t.s.Note("%s with %d bytes to %s on a kept connection %t: begun by a worker %t, status %d, error %v", id, size, g.Name, kept, begun, status, err)
	if status == http.StatusOK && err == nil {
		t.served++
	}
	if g == t.s.Gateways[0] && kept && begun && err != nil {
		t.lost++
	}
	return err == nil
}

// watch kills a gateway when it takes more memory than its settings allow, and starts it again, as the platform does.
func (t *site) watch(g *harness.Gateway) {
	most := 0
	for ; ; time.Sleep(watchPause) {
		megabytes := g.MemoryMB()
		if megabytes > most+10 {
			most = megabytes
			t.s.Note("%s takes %d MB", g.Name, most)
		}
		if megabytes <= harness.MemoryMB {
			continue
		}
		t.s.Note("%s takes %d MB, which is over memory-mb: it is killed", g.Name, megabytes)
		t.restart(g, restart)
		most = 0
	}
}

// restart kills a gateway and starts it again after a time.
func (t *site) restart(g *harness.Gateway, after time.Duration) {
	g.Signal(syscall.SIGKILL)
	time.Sleep(after)
	if err := t.s.Restart(g); err != nil {
		t.s.Fail(err)
	}
	t.s.Note("%s starts again", g.Name)
}

func main() {
	s := harness.Start()
	t := &site{s: s, begun: make(map[string]bool)}
	s.Configure(1, harness.Route{Prefix: "/brief/", Mode: "non_idempotent", Attempts: 1, Timeout: deadline})
	s.StartWorkers(workers, func(w *harness.Worker, out http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Request-Id")
		t.mu.Lock()
		t.begun[id] = true
		t.mu.Unlock()
		s.Note("%s with %s bytes runs at worker %s", id, strconv.FormatInt(n, 10), w.ID())
		w.Answer(r.Context(), out, runTime)
	})
	s.StartGateways(gateways)
	// The second gateway is disturbed, so only the first one is judged.
	go t.watch(s.Gateways[0])
	var running sync.WaitGroup
	end := time.Now().Add(duration)
	for n := range consumers * gateways {
		running.Go(func() {
			time.Sleep(time.Duration(n) * 75 * time.Millisecond)
			t.consumer(n, end)
		})
	}
	if s.Trouble {
		running.Go(func() {
			time.Sleep(killAt)
			s.Note("%s is killed", s.Gateways[1].Name)
			t.restart(s.Gateways[1], downTime)
		})
	}
	running.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	s.Note("%d requests served, %d lost on kept connections after a worker had begun them", t.served, t.lost)
	if t.served < consumers {
		s.Fail(fmt.Errorf("only %d requests were served", t.served))
	}
	if t.lost > allowed {
		s.Finish(fmt.Sprintf("LOST: front-1, which nothing disturbs, was killed for its memory, and %d requests on kept connections that it had passed on to sound workers ended without an answer", t.lost))
	}
	s.Finish("")
}
