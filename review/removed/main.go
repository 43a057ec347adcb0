// Command removed shows a worker that leaves without reporting draining, while requests wait for a place at it.
package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"jacinthfork.example/jacinthfork/review/harness"
)

const (
	gateways = 1
	workers  = 8
	// runTime is how long a request runs. A worker runs six at once.
	runTime   = 1500 * time.Millisecond
	objective = 8 * time.Second
	deadline  = 15 * time.Second
	pause     = 17 * time.Millisecond
	warmUp    = 15 * time.Second
	duration  = 30 * time.Second
	// drain is drain-ms, linger how long the worker goes on after its entry was removed.
	drain  = 2 * time.Second
	linger = 4 * time.Second
)

func main() {
	s := harness.Start()
	var mu sync.Mutex
	var leaving *harness.Worker
	var leftAt time.Time
	late := 0
	run := func(w *harness.Worker, out http.ResponseWriter, r *http.Request) { w.Answer(r.Context(), out, runTime) }
	s.Configure(1, harness.Route{Prefix: "/print/", Mode: "non_idempotent", Attempts: 1, Objective: objective, Timeout: deadline})
	all := s.StartWorkers(workers, run)
	for _, w := range all {
		w.Reached = func(id string) {
			s.Note("%s reaches worker %s", id, w.ID())
			mu.Lock()
			defer mu.Unlock()
			if after := time.Since(leftAt); w == leaving && after > drain {
				late++
				s.Note("%s has come %d ms after the removal of the entry", id, after.Milliseconds())
			}
		}
	}
	s.StartGateways(gateways)
	consumer := s.NewConsumer()
	consumer.Deadline = deadline
	begin := time.Now()
	if s.Trouble {
		time.AfterFunc(warmUp, func() {
			mu.Lock()
			leaving, leftAt = all[0], time.Now()
			mu.Unlock()
			all[0].Leave(linger)
		})
	}
	var running sync.WaitGroup
	served, sent, lost := 0, 0, 0
	for ; time.Since(begin) < duration; sent++ {
		n := sent
		running.Go(func() {
			resp := consumer.Send(s.Gateways[n%gateways], fmt.Sprintf("print-%d", n), http.MethodPost, fmt.Sprintf("/print/%d", n), "{}")
			mu.Lock()
			defer mu.Unlock()
			switch {
			case resp.Status == http.StatusOK && strings.HasPrefix(resp.Body, "answered"):
				served++
			case resp.Status == http.StatusBadGateway:
				lost++
			}
		})
		time.Sleep(pause)
	}
	running.Wait()
	s.Note("%d of %d requests were served, %d ended with 502", served, sent, lost)
	if 4*served < sent {
		s.Fail(fmt.Errorf("%d of %d requests were served", served, sent))
	}
	if late > 0 {
		s.Finish(fmt.Sprintf("DRAIN: %d requests reached the worker later than drain-ms after the store had confirmed that its entry is removed", late))
	}
	s.Finish("")
}
