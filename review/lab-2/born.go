package main

import (
	"time"

	"jacinthfork.example/jacinthfork/platform/standin"
)

func init() { cases["born"] = playBorn }

const (
	// clockAhead is by how much the time of day of the worker's machine is ahead when it starts. It has jumped back when the worker
	// starts again.
	clockAhead = 2400 * time.Millisecond
	// crashAt is when the worker crashes after its start, and backAfter how long it is down.
	crashAt   = 500 * time.Millisecond
	backAfter = time.Second
	// calmFor is the time from then on until the worker leaves.
	calmFor = 6 * time.Second
)

// playBorn has a worker start while the clock of its machine is ahead, crash, and start again under its id with the right time. It
// leaves later.
func playBorn(l *lab) error {
	for _, id := range workerIDs[1:] {
		w := standin.NewWorker(id, "ledger", "zone-a")
		w.SetBehaviour(standin.Behaviour{Delay: orderWork})
		l.atEnd(w.Crash)
		l.atEnd(l.heartbeat(w, ready))
	}
	l.store.Configure(standin.Configuration{Version: 3, Routes: []standin.Route{{Prefix: "/x/", Mode: "non_idempotent", Pool: "ledger", Attempts: 1, Timeout: 3 * time.Second}}})
	g, err := l.startGateway("front-1")
	if err != nil {
		return err
	}
	w := standin.NewWorker("w-1", "ledger", "zone-a")
	w.SetBehaviour(standin.Behaviour{Delay: orderWork})
	l.atEnd(w.Crash)
	if l.trouble {
		w.Born += clockAhead.Milliseconds()
	}
	l.note("w-1 starts, born %d; true time %d", w.Born, time.Now().UnixMilli())
	stop := l.heartbeat(w, ready)
	time.Sleep(crashAt)
	stop()
	w.Crash()
	l.note("w-1 crashes")
	time.Sleep(backAfter)
	w.Restart()
	w.Born = time.Now().UnixMilli()
	l.note("w-1 starts again under its id, born %d", w.Born)
	stop = l.heartbeat(w, ready)
	time.Sleep(calmFor)

	stop()
	w.SetBehaviour(standin.Behaviour{Delay: orderWork, Leaving: true})
	l.atEnd(l.heartbeat(w, func() string { return "draining" }))
	left := time.Now()
	l.note("w-1 reports draining, its answers have Server-Leaving: 1, and it goes on serving for %s", servesFor)
	exit := time.AfterFunc(servesFor, func() {
		l.note("w-1 exits")
		w.Crash()
	})
	defer exit.Stop()
	time.Sleep(time.Until(left.Add(orderAt)))
	seen := len(w.Arrivals())
	l.note("%d orders are sent, %.1f s after the store took the report of w-1", orders, time.Since(left).Seconds())
	lost := sendOrders(l, g)
	arrivals := w.Arrivals()[seen:]
	for _, arrival := range arrivals {
		l.note("w-1 ran %s", arrival.RequestID())
	}
	for _, line := range g.logLines(`"instance":"w-1"`) {
		l.note("log: %s", line)
	}
	l.note("%d orders reached w-1 more than %s after its report; %d orders got no answer of a worker", len(arrivals), drainBound, lost)
	if len(arrivals) > 0 {
		return errBroken
	}
	return nil
}
