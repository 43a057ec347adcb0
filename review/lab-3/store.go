package main

import (
	"fmt"
	"sync"
	"time"
)

// silentStore: the open connections to the store go silent for good, and a configuration follows.
func silentStore(w *world) (broken bool, err error) {
	if _, err := w.addWorker("i-p1", plainPool, 6); err != nil {
		return false, err
	}
	p, err := newProxy(w.store.Address())
	if err != nil {
		return false, err
	}
	old := route("r-print", "/print/", "non_idempotent", map[string]any{"backend": plainPool, "timeout-ms": 1500, "slo-ms": 300})
	w.configure(7, old)
	if err := w.addGateways(4, func(s map[string]any) { s["provider"].(map[string]any)["addr"] = p.listener.Addr().String() }); err != nil {
		return false, err
	}
	for round := range 3 {
		time.Sleep(4 * time.Second)
		if trouble {
			w.printf("%d connections to the store go silent", p.silence())
		}
		time.Sleep(100 * time.Millisecond)
		name := fmt.Sprintf("/new%d/", round)
		w.configure(10+round, old, route("r-new", name, "non_idempotent", map[string]any{"backend": plainPool, "timeout-ms": 1500, "slo-ms": 300}))
		begin := time.Now()
		var group sync.WaitGroup
		for _, g := range w.gateways {
			group.Go(func() {
				for {
					c := newCall("POST", name+"x")
					c.do(g.front)
					if c.status == 200 || time.Since(begin) > 10*time.Second {
						w.printf("%s: status %d %.2f s after the configuration", g.name, c.status, time.Since(begin).Seconds())
						return
					}
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
		group.Wait()
	}
	p.close()
	return false, nil
}
