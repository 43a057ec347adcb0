package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// drainTime is drain-ms. The workers that leave go on serving for longer than that, as the pages allow.
	drainTime  = 2 * time.Second
	lingerTime = 9 * time.Second
)

// removed: model workers are replaced, the store forgets its history before the gateways have read of the removals, and three machines are
// added to the system.
func removed(w *world) (broken bool, err error) {
	var workers []*worker
	add := func(n int) error {
		for range n {
			// IDs are drawn anew each day.
			one, err := w.addWorker(fmt.Sprintf("i-%010x", rand.Int64N(1<<40)), modelPool, 64)
			if err != nil {
				return err
			}
			workers = append(workers, one)
		}
		return nil
	}
	if err := add(14); err != nil {
		return false, err
	}
	leavers := workers[:6]
	w.configure(7, route("r-brief", "/brief/", "streaming", map[string]any{"slo-ms": 1000}))
	if err := w.addGateways(2, nil); err != nil {
		return false, err
	}
	if err := add(6); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	for _, one := range leavers {
		one.mu.Lock()
		one.gone = true
		one.mu.Unlock()
		w.store.Put("keyed.servers", one.id, nil)
	}
	goneAt := time.Now()
	if trouble {
		w.store.DropHistory("keyed.servers")
	}
	w.printf("the entries of 6 workers are removed; history forgotten: %v", trouble)
	time.Sleep(time.Second)
	var added []*gatewayProcess
	for range 3 {
		g, err := w.addGateway(nil)
		if err != nil {
			return false, err
		}
		added = append(added, g)
	}
	// The store was disturbed, and the gateway was started, less than that ago.
	calmAt := time.Now().Add(stableTime)
	var group sync.WaitGroup
	var mu sync.Mutex
	calls := make(map[string]*call)
	closed := false
	for i := 0; time.Since(goneAt) < lingerTime+2*time.Second; i++ {
		if !closed && time.Since(goneAt) > lingerTime {
			closed = true
			for _, one := range leavers {
				w.printf("%s ends with %d requests at work", one.id, one.atWork())
				one.close()
			}
		}
		c := newCall("POST", "/brief/2f")
		c.prompt, c.output, c.body = fmt.Sprintf("%x:1051,%x:130", rand.IntN(1<<30), rand.IntN(1<<30)), 50, "draft"
		mu.Lock()
		calls[c.id] = c
		mu.Unlock()
		front := added[i%3].front
		group.Go(func() { c.do(front) })
		time.Sleep(40 * time.Millisecond)
	}
	group.Wait()
	late, lost := 0, 0
	for _, one := range leavers {
		for _, r := range one.snapshot() {
			if r.began.Before(calmAt) || r.began.Sub(goneAt) < drainTime {
				continue
			}
			late++
			if c := calls[r.id]; c != nil && !c.complete {
				lost++
				w.printf("request %s reached %s %.1f s after its entry was removed; the consumer got status %d, %d of 10 events, %s", r.id, one.id, r.began.Sub(goneAt).Seconds(), c.status, len(c.events), c.failure)
			}
		}
	}
	w.printf("%d requests reached workers over drain-ms after their entries were removed, from a gateway in touch; %d of them were not answered with success", late, lost)
	return late > 0, nil
}

// atWork returns the number of requests that run.
func (o *worker) atWork() (n int) {
	for _, r := range o.snapshot() {
		if r.ended.IsZero() {
			n++
		}
	}
	return n
}
