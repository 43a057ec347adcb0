package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// stableTime is stable-ms, stillWorking the time that rule TWICE allows.
	stableTime   = 3 * time.Second
	stillWorking = 400 * time.Millisecond
	// patience of a consumer between two events: the longest of two seconds, four times the objective and eight times the pause.
	patience = 4800 * time.Millisecond
)

// silent: the open connections from the gateways to one worker go silent for good, while new ones work.
func silent(w *world) (broken bool, err error) {
	a, err := w.addWorker("i-a1", modelPool, 64)
	if err != nil {
		return false, err
	}
	b, err := w.addWorker("i-b2", modelPool, 64)
	if err != nil {
		return false, err
	}
	w.configure(7, route("r-rep", "/rep/", "streaming", map[string]any{"attempts": 2, "resumable": true, "priority": 0}))
	if err := w.addGateways(2, nil); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	front := w.gateways[0].front
	ask := func(session string, events int) *call {
		c := newCall("POST", "/rep/2f")
		c.prompt, c.output, c.body, c.patience = "5c1e07a2:699,"+session+":130", 5*events, "question", patience
		return c
	}
	// The guide is read once, so that all further questions about it go to the worker that has it.
	first := ask("aa01", 3)
	first.do(front)
	if !first.complete || first.status != 200 {
		return false, fmt.Errorf("the first question: status %d %s", first.status, first.failure)
	}
	holder, other := a, b
	if len(b.snapshot()) > 0 {
		holder, other = b, a
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	var calls []*call
	start := func(c *call) {
		mu.Lock()
		calls = append(calls, c)
		mu.Unlock()
		group.Go(func() { c.do(front) })
	}
	for i := range 3 {
		start(ask(fmt.Sprintf("bb%02d", i), 100))
	}
	time.Sleep(1500 * time.Millisecond)
	silentAt := time.Now()
	if trouble {
		w.printf("%d open connections to %s go silent", holder.proxy.silence(), holder.id)
	}
	for i := 0; time.Since(silentAt) < 2500*time.Millisecond; i++ {
		start(ask(fmt.Sprintf("cc%02d", i), 3))
		time.Sleep(150 * time.Millisecond)
	}
	// A question on a new connection, while the requests below are run twice, shows that the gateway reaches the worker.
	time.Sleep(time.Until(silentAt.Add(4300 * time.Millisecond)))
	late := ask("dd01", 3)
	late.do(front)
	w.printf("request %s, sent 4.3 s after the silence: status %d, run by %s: %v", late.id, late.status, holder.id, holder.hasRun(late.id))
	group.Wait()
	time.Sleep(time.Second)
	for _, c := range calls {
		w.printf("request %s: status %d, %d events, longest gap %d ms, complete %v %s", c.id, c.status, len(c.events), c.longest.Milliseconds(), c.complete, c.failure)
	}
	for _, before := range holder.snapshot() {
		for _, after := range other.snapshot() {
			if before.id != after.id {
				continue
			}
			overlap := before.lastWork.Sub(after.began)
			w.printf("request %s: run by %s up to event %d at %.3f s after the silence, goes on at %s after event %d at %.3f s: %.3f s together", before.id, holder.id, before.made,
				before.lastWork.Sub(silentAt).Seconds(), other.id, after.from, after.began.Sub(silentAt).Seconds(), overlap.Seconds())
			if overlap > stillWorking && after.began.Sub(silentAt) > stableTime && holder.hasRun(late.id) {
				broken = true
			}
		}
	}
	return broken, nil
}

// hasRun reports whether the worker has run a request.
func (o *worker) hasRun(id string) bool {
	for _, r := range o.snapshot() {
		if r.id == id {
			return true
		}
	}
	return false
}
