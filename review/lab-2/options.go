package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"jacinthfork.example/jacinthfork/platform/standin"
)

func init() { cases["options"] = playOptions }

// playOptions sends requests that no route matches, and one that a route matches, and looks for successes without the proof of a worker.
func playOptions(l *lab) error {
	w := standin.NewWorker("w-1", "ledger", "zone-a")
	l.atEnd(w.Crash)
	l.atEnd(l.heartbeat(w, ready))
	l.store.Configure(standin.Configuration{Version: 3, Routes: []standin.Route{{Prefix: "/x/", Mode: "idempotent", Pool: "ledger", Attempts: 2, Timeout: 3 * time.Second}}})
	g, err := l.startGateway("front-1")
	if err != nil {
		return err
	}
	targets := []string{"/x/1", "/unknown/1"}
	if l.trouble {
		targets = append(targets, "*")
	}
	broken := false
	for i, target := range targets {
		for _, key := range []string{standin.Key, "unknown-key"} {
			id := fmt.Sprintf("options-%d-%s", i, key)
			resp, err := sendOptions(g.config.CallerAddress, target, id, key)
			if err != nil {
				return err
			}
			stamp := resp.Header.Get(standin.SignatureHeader)
			l.note("OPTIONS %s with key %s: status %d, stamp %q", target, key, resp.StatusCode, stamp)
			broken = broken || resp.StatusCode/100 == 2 && stamp == ""
		}
	}
	for _, arrival := range w.Arrivals() {
		l.note("w-1 ran %s %s, %s", arrival.Method, arrival.Target, arrival.RequestID())
	}
	if broken {
		return errBroken
	}
	return nil
}

func sendOptions(address, target, id, key string) (*http.Response, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	text := fmt.Sprintf("OPTIONS %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nApi-Key: %s\r\nX-Deadline-Ms: 3000\r\n\r\n", target, standin.Host, id, key)
	if _, err := io.WriteString(conn, text); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodOptions})
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}
