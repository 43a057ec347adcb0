// Command crasher shows a request that crashes each worker that begins to run it. It comes again, with the same path, caller
// and body, at any machine.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"jacinthfork.example/jacinthfork/review/harness"
)

const (
	gateways = 2
	workers  = 3
	// runTime is how long an ordinary request runs, and back how long a crashed worker is away.
	runTime = 15 * time.Millisecond
	back    = 2 * time.Second
	// ordinaryPause is the time between two ordinary requests, crasherPause that between two of the crashing one.
	ordinaryPause = 11 * time.Millisecond
	crasherPause  = 3 * time.Second
	warmUp        = 4 * time.Second
	duration      = 60 * time.Second
	// stable is stable-ms. allowed is the number of retries later than that after the third crash.
	stable  = 3 * time.Second
	allowed = 3

	crashPath = "/stock/of-the-crash"
)

func main() {
	s := harness.Start()
	var mu sync.Mutex
	var crashes []time.Time
	run := func(w *harness.Worker, out http.ResponseWriter, r *http.Request) {
		if r.URL.Path != crashPath {
			w.Answer(r.Context(), out, runTime)
			return
		}
		mu.Lock()
		crashes = append(crashes, time.Now())
		mu.Unlock()
		s.Note("%s reaches worker %s, which begins to run it", r.Header.Get("X-Request-Id"), w.ID())
		w.Crash(back)
	}
	s.Configure(1, harness.Route{Prefix: "/stock/", Mode: "idempotent", Attempts: 1})
	s.StartWorkers(workers, run)
	s.StartGateways(gateways)
	begin := time.Now()
	var ordinary sync.WaitGroup
	served := 0
	consumer := s.NewConsumer()
	go func() {
		if !s.Trouble {
			return
		}
		time.Sleep(warmUp)
		crasher := s.NewConsumer()
		for n := 0; ; n++ {
			crasher.Send(s.Gateways[n%gateways], fmt.Sprintf("crash-%d", n), http.MethodGet, crashPath, "")
			time.Sleep(crasherPause)
		}
	}()
	sent := 0
	for ; time.Since(begin) < duration; sent++ {
		n := sent
		ordinary.Go(func() {
			resp := consumer.Send(s.Gateways[n%gateways], fmt.Sprintf("order-%d", n), http.MethodGet, fmt.Sprintf("/stock/%d", n), "")
			if resp.Status == http.StatusOK && resp.Signed {
				mu.Lock()
				served++
				mu.Unlock()
			}
		})
		time.Sleep(ordinaryPause)
	}
	ordinary.Wait()
	mu.Lock()
	defer mu.Unlock()
	s.Note("%d ordinary requests, %d served; %d crashes", sent, served, len(crashes))
	if 2*served < sent {
		s.Fail(fmt.Errorf("only %d of %d ordinary requests were served", served, sent))
	}
	late := 0
	for n, at := range crashes {
		if n > 2 && at.Sub(crashes[2]) > stable {
			late++
		}
	}
	if late > allowed {
		s.Finish(fmt.Sprintf("BUDGET: the request reached workers %d times later than stable-ms after it had crashed the third, and crashed %d in all", late, len(crashes)))
	}
	s.Finish("")
}
