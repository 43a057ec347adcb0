package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"jacinthfork.example/jacinthfork/platform/standin"
)

func init() { cases["forgotten"] = playForgotten }

const (
	// drainBound is drain-ms, stableBound is stable-ms of the small deployments.
	drainBound  = 2 * time.Second
	stableBound = 3 * time.Second
	// addAfter is the time from the worker's leaving until a machine is added.
	addAfter = time.Second
	// servesFor is how long the leaving worker goes on serving: drain-ms and many seconds more.
	servesFor = 12 * time.Second
	// orderAt is when the orders are sent, after the worker's leaving, and orderWork how long one takes.
	orderAt   = servesFor - 500*time.Millisecond
	orderWork = time.Second
	orders    = 32
)

// playForgotten has a worker leave while the store deletes its records, and a machine added afterwards. Its gateway begins
// with a copy of what its peer knows.
func playForgotten(l *lab) error {
	workers := make(map[string]*standin.Worker)
	leave := func() {}
	for _, id := range workerIDs {
		w := standin.NewWorker(id, "ledger", "zone-a")
		w.SetBehaviour(standin.Behaviour{Delay: orderWork})
		l.atEnd(w.Crash)
		stop := l.heartbeat(w, ready)
		l.atEnd(stop)
		if workers[id] = w; id == "w-1" {
			leave = stop
		}
	}
	l.store.Configure(standin.Configuration{Version: 3, Routes: []standin.Route{{Prefix: "/x/", Mode: "non_idempotent", Pool: "ledger", Attempts: 1, Timeout: 3 * time.Second}}})
	a, err := l.startGateway("front-1")
	if err != nil {
		return err
	}
	time.Sleep(stableBound + time.Second)

	leaver := workers["w-1"]
	leave()
	leaver.SetBehaviour(standin.Behaviour{Delay: orderWork, Leaving: true})
	l.store.Withdraw(leaver)
	left := time.Now()
	l.note("w-1 leaves: its entry is removed, its answers have Server-Leaving: 1, and it goes on serving for %s", servesFor)
	if l.trouble {
		l.store.DropHistory(standin.InstanceTopic)
		l.note("the store deletes the records of keyed.servers; the newest one of each key stays")
	}
	exit := time.AfterFunc(servesFor, func() {
		l.note("w-1 exits")
		leaver.Crash()
	})
	defer exit.Stop()
	time.Sleep(time.Until(left.Add(addAfter)))
	l.note("a machine is added")
	b, err := l.startGateway("front-2", a.config.PeerAddress)
	if err != nil {
		return err
	}
	added := time.Now()
	time.Sleep(time.Until(left.Add(orderAt)))
	l.note("front-2 has run for %.1f s; %d orders are sent to it, %.1f s after the store took the removal of w-1",
		time.Since(added).Seconds(), orders, time.Since(left).Seconds())
	lost := sendOrders(l, b)
	late := 0
	for _, arrival := range leaver.Arrivals() {
		l.note("w-1 ran %s", arrival.RequestID())
		late++
	}
	for _, line := range b.logLines(`"instance":"w-1"`) {
		l.note("log: %s", line)
	}
	l.note("%d orders reached w-1 more than %s after its removal; %d orders got no answer of a worker", late, drainBound, lost)
	if late > 0 {
		return errBroken
	}
	return nil
}

// sendOrders sends the orders at once and returns the number of those that were lost.
func sendOrders(l *lab, g *gateway) int {
	var all sync.WaitGroup
	var lost atomic.Int64
	for i := range orders {
		all.Go(func() {
			id := fmt.Sprintf("order-%d", i)
			transport := &http.Transport{DisableKeepAlives: true}
			r := standin.CallerRequest{ID: id, Method: "POST", Path: "/x/o", Body: "one", Timeout: 3 * time.Second}.Send(context.Background(), transport, g.config.CallerAddress)
			l.note("%s: status %d, answered by %q, error %v", id, r.Status, r.Body, r.Err)
			if r.Status != http.StatusOK {
				lost.Add(1)
			}
		})
	}
	all.Wait()
	return int(lost.Load())
}

// workerIDs are the workers of the service. One of eight is within the shares of menders-net: 0.13 for scale_in, 0.17 for srv_crash.
var workerIDs = []string{"w-1", "w-2", "w-3", "w-4", "w-5", "w-6", "w-7", "w-8"}
