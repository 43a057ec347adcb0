package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"jacinthfork.example/jacinthfork/platform/standin"
)

func init() { cases["heads"] = playHeads }

const (
	// headClients is the number of consumers that send a head without end, headFor how long the case lasts.
	headClients = 600
	headFor     = 12 * time.Second
	// headBytes is what one of them sends of its head before it stops and stays open.
	headBytes = 60 << 10
	// usualPause is the time between two requests of a consumer without the disruption.
	usualPause = time.Second
)

// headFields returns distinct short header fields of a size in total.
func headFields(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%s:\r\n", headName(i))
	}
	return b.String()
}

// headName returns a short distinct name of a field.
func headName(i int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	return string([]byte{'x', letters[i%36], letters[i/36%36], letters[i/36/36%36]})
}

// playHeads has consumers that send a head of many short fields without end, and measures the memory of the gateway.
func playHeads(l *lab) error {
	w := standin.NewWorker("w-1", "ledger", "zone-a")
	l.atEnd(w.Crash)
	l.atEnd(l.heartbeat(w, ready))
	l.store.Configure(standin.Configuration{Version: 3, Routes: []standin.Route{{Prefix: "/x/", Mode: "idempotent", Pool: "ledger", Attempts: 2, Timeout: 3 * time.Second}}})
	g, err := l.startGateway("front-1")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	defer clients.Wait()
	defer cancel()
	fields := headFields(headBytes)
	l.note("%d consumers; limits.memory-mb %d, limits.max-fds %d, max-header-bytes 16384", headClients, smallMemory, smallFDs)
	for i := range headClients {
		clients.Go(func() {
			if l.trouble {
				sendHeads(ctx, g.config.CallerAddress, i, fields)
			} else {
				sendUsual(ctx, g.config.CallerAddress, i)
			}
		})
	}
	const limit = int64(smallMemory) << 20
	transport := &http.Transport{DisableKeepAlives: true}
	var peak int64
	for n := 0; time.Since(l.start) < headFor; n++ {
		resident := int64(0)
		resident, peak = g.memory()
		r := standin.CallerRequest{ID: fmt.Sprintf("ordinary-%d", n), Method: "GET", Path: "/x/o", Timeout: 3 * time.Second}.Send(context.Background(), transport, g.config.CallerAddress)
		l.note("resident %d MB, peak %d MB, limit %d MB; an ordinary request got status %d, error %v", resident>>20, peak>>20, limit>>20, r.Status, r.Err)
		time.Sleep(500 * time.Millisecond)
	}
	if !g.running() {
		l.note("the process has ended: %s", g.state)
		return errBroken
	}
	if peak > limit {
		l.note("the process has taken %d MB; the platform kills it at %d MB", peak>>20, limit>>20)
		return errBroken
	}
	return nil
}

// sendHeads sends a head without end, and comes back when the connection is closed.
func sendHeads(ctx context.Context, address string, n int, fields string) {
	for ctx.Err() == nil {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			_, _ = io.WriteString(conn, fmt.Sprintf("GET /x/%d HTTP/1.1\r\nHost: %s\r\n", n, standin.Host)+fields)
			_, _ = io.Copy(io.Discard, conn)
			stop()
			_ = conn.Close()
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// sendUsual sends usual requests on one connection.
func sendUsual(ctx context.Context, address string, n int) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		standin.CallerRequest{ID: fmt.Sprintf("usual-%d-%d", n, i), Method: "GET", Path: "/x/u", Timeout: 3 * time.Second}.Send(ctx, transport, address)
		select {
		case <-ctx.Done():
		case <-time.After(usualPause):
		}
	}
}
