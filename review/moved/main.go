// Command moved shows gateways whose settings file names another address of the platform's store.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"jacinthfork.example/jacinthfork/review/harness"
)

const (
	gateways = 5
	// signalled is the number of gateways that get SIGHUP, signalGap the time between two of them.
	signalled = 3
	signalGap = 2 * time.Second
	workers   = 3
	runTime   = 15 * time.Millisecond
	// overlap is how long the store is at both addresses after the last settings file was changed.
	overlap = 10 * time.Second
	// stable is stable-ms, configured config-ms.
	stable     = 3 * time.Second
	configured = 2 * time.Second
	// Of each gateway so many requests are judged.
	requests = 20
)

func main() {
	s := harness.Start()
	before, err := harness.NewProxy(s.Store.Address())
	if err != nil {
		s.Fail(err)
	}
	after, err := harness.NewProxy(s.Store.Address())
	if err != nil {
		s.Fail(err)
	}
	s.StoreAddress = before.Address()
	first := harness.Route{Prefix: "/stock/", Mode: "idempotent", Attempts: 2}
	dropped := harness.Route{Prefix: "/offer/", Mode: "idempotent", Attempts: 2}
	s.Configure(1, first, dropped)
	var mu sync.Mutex
	ran := make(map[string]bool)
	s.StartWorkers(workers, func(w *harness.Worker, out http.ResponseWriter, r *http.Request) {
		mu.Lock()
		ran[r.Header.Get("X-Request-Id")] = true
		mu.Unlock()
		w.Answer(r.Context(), out, runTime)
	})
	s.StartGateways(gateways)
	time.Sleep(stable)
	if s.Trouble {
		s.StoreAddress = after.Address()
		for n, g := range s.Gateways {
			if err := s.WriteSettings(g); err != nil {
				s.Fail(err)
			}
			s.Note("the settings file of %s names the new address of the store", g.Name)
			if n < signalled {
				g.Signal(syscall.SIGHUP)
				s.Note("SIGHUP to %s", g.Name)
				time.Sleep(signalGap)
			}
		}
		time.Sleep(overlap)
		before.Close()
		s.Note("the store is no longer at the old address")
	}
	time.Sleep(2 * stable)
	s.Configure(4, first, harness.Route{Prefix: "/price/", Mode: "idempotent", Attempts: 2})
	time.Sleep(2 * configured)
	consumer := s.NewConsumer()
	missing, stale, served := 0, 0, 0
	for n := range requests * gateways {
		g := s.Gateways[n%gateways]
		if resp := consumer.Send(g, fmt.Sprintf("stock-%d", n), http.MethodGet, "/stock/1", ""); resp.Status == http.StatusOK && resp.Signed {
			served++
		}
		if resp := consumer.Send(g, fmt.Sprintf("price-%d", n), http.MethodGet, "/price/1", ""); resp.Status == http.StatusNotFound {
			missing++
		}
		id := fmt.Sprintf("offer-%d", n)
		consumer.Send(g, id, http.MethodGet, "/offer/1", "")
		mu.Lock()
		if ran[id] {
			stale++
		}
		mu.Unlock()
	}
	s.Note("of %d requests each: %d served on the route that stays, %d refused with 404 on the route that was added, %d run on the route that was dropped", requests*gateways, served, missing, stale)
	if served < requests*gateways/2 {
		s.Fail(fmt.Errorf("%d of %d requests were served", served, requests*gateways))
	}
	if missing+stale > 0 {
		s.Finish(fmt.Sprintf("CONFIG: %d s after the confirmation of a version, %d requests on its new route were refused with 404 and %d ran on a route that it dropped", int(2*configured/time.Second), missing, stale))
	}
	s.Finish("")
}
