package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"jacinthfork.example/jacinthfork/platform/standin"
)

func init() { cases["crowd"] = playCrowd }

const (
	// crowdClients is the number of consumers that send a head without end and come back crowdPause after their connection was closed.
	crowdClients = 3000
	crowdPause   = 100 * time.Millisecond
	// crowdSettle is the time from the first of them to the first ordinary request.
	crowdSettle = 5 * time.Second
	// ordinaryRequests are sent ordinaryPause apart. ordinaryDeadline is the deadline of dulcemar-mangas' stock-check, in which a consumer
	// tries twice at most.
	ordinaryRequests = 40
	ordinaryPause    = 250 * time.Millisecond
	ordinaryDeadline = 1500 * time.Millisecond
)

// playCrowd has many consumers send a head without end, and ordinary consumers beside them.
func playCrowd(l *lab) error {
	w := standin.NewWorker("w-1", "ledger", "zone-a")
	l.atEnd(w.Crash)
	l.atEnd(l.heartbeat(w, ready))
	l.store.Configure(standin.Configuration{Version: 3, Routes: []standin.Route{{Prefix: "/x/", Mode: "idempotent", Pool: "ledger", Attempts: 2, Timeout: 3 * time.Second}}})
	g, err := l.startGateway("front-1")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var crowd sync.WaitGroup
	defer crowd.Wait()
	defer cancel()
	var connections atomic.Int64
	if l.trouble {
		l.note("%d consumers send a head without end; limits.max-fds %d", crowdClients, smallFDs)
		for range crowdClients {
			crowd.Go(func() { sendUnfinishedHeads(ctx, g.config.CallerAddress, &connections) })
		}
	}
	time.Sleep(crowdSettle)
	before, used := connections.Load(), g.processorTime()
	begin := time.Now()
	var answered atomic.Int64
	var ordinary sync.WaitGroup
	for i := range ordinaryRequests {
		ordinary.Go(func() {
			if sendOrdinary(l, g.config.CallerAddress, i) {
				answered.Add(1)
			}
		})
		time.Sleep(ordinaryPause)
	}
	ordinary.Wait()
	took := time.Since(begin).Seconds()
	l.note("meanwhile the crowd opened %.0f connections a second, and the gateway took %.2f processors", float64(connections.Load()-before)/took, (g.processorTime()-used).Seconds()/took)
	l.note("w-1 ran %d requests; %d of %d ordinary requests were answered within %s", len(w.Arrivals()), answered.Load(), ordinaryRequests, ordinaryDeadline)
	if answered.Load() == 0 {
		return errBroken
	}
	return nil
}

// sendUnfinishedHeads sends the beginning of a head, and comes back when the connection is closed.
func sendUnfinishedHeads(ctx context.Context, address string, connections *atomic.Int64) {
	for ctx.Err() == nil {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err == nil {
			connections.Add(1)
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			_, _ = io.WriteString(conn, "GET /x/1 HTTP/1.1\r\nHost: "+standin.Host+"\r\nX-Request-Id: ")
			_, _ = io.Copy(io.Discard, conn)
			stop()
			_ = conn.Close()
		}
		time.Sleep(crowdPause)
	}
}

// sendOrdinary sends a request as a consumer does, with one retry on a new connection within the deadline, and reports whether it was
// answered.
func sendOrdinary(l *lab, address string, n int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), ordinaryDeadline)
	defer cancel()
	begin := time.Now()
	for try := range 2 {
		id := fmt.Sprintf("ordinary-%d-%d", n, try)
		transport := &http.Transport{DisableKeepAlives: true}
		r := standin.CallerRequest{ID: id, Method: "GET", Path: "/x/o", Timeout: ordinaryDeadline - time.Since(begin)}.Send(ctx, transport, address)
		l.note("%s: status %d after %d ms, error %v", id, r.Status, time.Since(begin).Milliseconds(), r.Err)
		if r.Err == nil {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
	}
	return false
}
