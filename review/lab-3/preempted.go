package main

import (
	"fmt"
	"sync"
	"time"
)

// preempted: a worker that doesn't notice the end of a connection preempts a stream for a while and then goes on with it.
func preempted(w *world) (broken bool, err error) {
	a, err := w.addWorker("i-a1", modelPool, 64)
	if err != nil {
		return false, err
	}
	b, err := w.addWorker("i-b2", modelPool, 64)
	if err != nil {
		return false, err
	}
	a.keepsWorking, b.keepsWorking = true, true
	w.configure(7, route("r-rep", "/rep/", "streaming", map[string]any{"attempts": 2, "resumable": true, "priority": 0}))
	if err := w.addGateways(2, nil); err != nil {
		return false, err
	}
	// The gateways and the store are calm for stable-ms.
	time.Sleep(4 * time.Second)
	var group sync.WaitGroup
	var calls []*call
	for i := range 3 {
		c := newCall("POST", "/rep/2f")
		c.prompt, c.output, c.body, c.patience = fmt.Sprintf("5c1e07a2:699,bb%02d:130", i), 5*58, "question", patience
		calls = append(calls, c)
		group.Go(func() { c.do(w.gateways[0].front) })
	}
	time.Sleep(2 * time.Second)
	if trouble {
		for _, one := range []*worker{a, b} {
			if one.atWork() == 0 {
				continue
			}
			one.mu.Lock()
			one.pausedUntil = time.Now().Add(1500 * time.Millisecond)
			one.mu.Unlock()
			w.printf("%s preempts the streams that it runs for 1.5 s", one.id)
			break
		}
	}
	group.Wait()
	time.Sleep(2 * time.Second)
	for _, c := range calls {
		w.printf("request %s: status %d, %d events, longest gap %d ms, complete %v %s", c.id, c.status, len(c.events), c.longest.Milliseconds(), c.complete, c.failure)
	}
	for _, pair := range [][2]*worker{{a, b}, {b, a}} {
		for _, before := range pair[0].snapshot() {
			for _, after := range pair[1].snapshot() {
				if before.id != after.id || before.began.After(after.began) {
					continue
				}
				overlap := before.lastWork.Sub(after.began)
				w.printf("request %s: goes on at %s after event %d; %s still makes events %.3f s later, up to event %d", before.id, pair[1].id, after.from, pair[0].id, overlap.Seconds(), before.made)
				broken = broken || overlap > stillWorking
			}
		}
	}
	return broken, nil
}
