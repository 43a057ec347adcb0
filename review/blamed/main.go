// Command blamed shows a request that many consumers send, and that was in flight at a worker which crashed for a reason of
// its own.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"jacinthfork.example/jacinthfork/review/harness"
)

const (
	gateways = 4
	workers  = 6
	// runTime is how long a request runs, and back how long the crashed worker is away.
	runTime = 60 * time.Millisecond
	back    = 3 * time.Second
	// Every second four consumers of each gateway ask for the prices, and four send an order.
	pause     = time.Second
	consumers = 4
	rounds    = 45
	// crashRound is the round in which a worker crashes while it answers.
	crashRound = 8
	// stable is stable-ms, settled how long after the crash the requests count.
	stable  = 3 * time.Second
	settled = back + stable
	// least is the number of requests that the rule needs, and a quarter the share.
	least = 20

	pricesPath = "/price/today"
)

// tally counts the requests of one route.
type tally struct{ sent, served int }

func main() {
	s := harness.Start()
	var mu sync.Mutex
	asked := make(map[*harness.Worker]int)
	run := func(w *harness.Worker, out http.ResponseWriter, r *http.Request) {
		s.Note("%s runs at worker %s", r.Header.Get("X-Request-Id"), w.ID())
		if r.URL.Path == pricesPath {
			mu.Lock()
			asked[w]++
			mu.Unlock()
		}
		w.Answer(r.Context(), out, runTime)
	}
	first := harness.Route{Prefix: "/order/", Mode: "non_idempotent", Attempts: 1}
	s.Configure(1, first)
	all := s.StartWorkers(workers, run)
	s.StartGateways(gateways)
	time.Sleep(2 * time.Second)
	s.Configure(4, first, harness.Route{Prefix: "/price/", Mode: "idempotent", Attempts: 2})
	time.Sleep(2 * time.Second)
	var orders, prices tally
	var crashedAt time.Time
	var running sync.WaitGroup
	send := func(c *harness.Consumer, g *harness.Gateway, id, method, path string, t *tally) {
		resp := c.Send(g, id, method, path, "")
		mu.Lock()
		defer mu.Unlock()
		if crashedAt.IsZero() || time.Since(crashedAt) < settled {
			return
		}
		t.sent++
		if resp.Status == http.StatusOK && resp.Signed {
			t.served++
		}
	}
	consumer := s.NewConsumer()
	for round := range rounds {
		mu.Lock()
		clear(asked)
		mu.Unlock()
		for n := range gateways * consumers {
			g := s.Gateways[n%gateways]
			running.Go(func() {
				send(consumer, g, fmt.Sprintf("price-%d-%d", round, n), http.MethodGet, pricesPath, &prices)
			})
			running.Go(func() {
				send(consumer, g, fmt.Sprintf("order-%d-%d", round, n), http.MethodPost, fmt.Sprintf("/order/%d/%d", round, n), &orders)
			})
		}
		if round == crashRound {
			time.Sleep(runTime / 2)
			mu.Lock()
			crashedAt = time.Now()
			busiest := all[0]
			for _, w := range all {
				if asked[w] > asked[busiest] {
					busiest = w
				}
			}
			mu.Unlock()
			if s.Trouble {
				busiest.Crash(back)
			}
		}
		time.Sleep(pause)
	}
	running.Wait()
	s.Note("from %s after the crash: %d of %d orders and %d of %d questions for prices were served", settled, orders.served, orders.sent, prices.served, prices.sent)
	if orders.sent < least || prices.sent < least || 2*orders.served < orders.sent {
		s.Fail(fmt.Errorf("%d of %d orders were served", orders.served, orders.sent))
	}
	if 4*prices.served*orders.sent < orders.served*prices.sent {
		s.Finish(fmt.Sprintf("CONFIG: on the route that was added later %d of %d requests were served, on the first one %d of %d", prices.served, prices.sent, orders.served, orders.sent))
	}
	s.Finish("")
}
