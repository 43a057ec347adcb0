package harness

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"jacinthfork.example/jacinthfork/internal/loopback"
	"jacinthfork.example/jacinthfork/platform/standin"
)

// Heartbeat is how often a worker writes its entry, and entryLife the silence after which the platform removes it.
const (
	Heartbeat = 1200 * time.Millisecond
	entryLife = 3 * Heartbeat
)

// slots is the number of requests that a worker runs at once.
const slots = 6

// queueTime is how long a request may wait at a worker.
const queueTime = 3 * time.Second

// Worker is a worker of the plain service, with its entry in the store. Each of its starts is a lifetime with an ID of its
// own at the same address.
type Worker struct {
	script  *Script
	slot    int
	address string
	// Reached, if set, is called when a request reaches the worker, before it waits for its turn.
	Reached func(id string)
	// run answers the request of a consumer that the worker has begun to run.
	run    func(w *Worker, out http.ResponseWriter, r *http.Request)
	places chan struct{}

	mu       sync.Mutex
	id       string
	born     int64
	starts   int
	sequence int
	server   *http.Server
	conns    map[net.Conn]bool
	// left is set once the entry was removed for good.
	left bool
}

// StartWorkers starts workers and publishes their entries.
func (s *Script) StartWorkers(count int, run func(w *Worker, out http.ResponseWriter, r *http.Request)) []*Worker {
	var out []*Worker
	for n := range count {
		w := &Worker{script: s, slot: n + 1, run: run, address: net.JoinHostPort(loopback.NewIP(), "0"), places: make(chan struct{}, slots)}
		w.start()
		go w.beat()
		out = append(out, w)
	}
	return out
}

// ID returns the ID of the current lifetime.
func (w *Worker) ID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.id
}

// start begins a lifetime.
func (w *Worker) start() {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		w.script.Fail(err)
	}
	w.mu.Lock()
	w.starts++
	w.address = listener.Addr().String()
	w.id, w.born, w.sequence = fmt.Sprintf("i-%d-%d", w.slot, w.starts), time.Now().UnixMilli(), 0
	w.conns = make(map[net.Conn]bool)
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve), ConnState: w.track, ReadHeaderTimeout: 10 * time.Second}
	server := w.server
	w.script.Note("worker %s starts", w.id)
	w.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	w.publish()
}

func (w *Worker) track(conn net.Conn, state http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if state == http.StateClosed {
		delete(w.conns, conn)
		return
	}
	w.conns[conn] = true
}

// publish writes the entry of the worker, unless it is down.
func (w *Worker) publish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.server == nil || w.left {
		return
	}
	w.sequence++
	w.script.Store.PutJSON("keyed.servers", w.id, map[string]any{
		"backend": Service, "addr": w.address, "zone": "zone-a", "version": "v1", "slots": slots, "state": "ready",
		"cold-left-ms": 0, "seq": w.sequence, "born": w.born,
	})
}

func (w *Worker) beat() {
	for range time.Tick(Heartbeat) {
		w.publish()
	}
}

// Crash resets all connections and stops listening. The worker is back after a time, in a new lifetime. The entry of the old
// one is removed after its life.
func (w *Worker) Crash(back time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.server == nil {
		return
	}
	old := w.id
	w.script.Note("worker %s crashes", old)
	for conn := range w.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	_ = w.server.Close()
	w.server = nil
	time.AfterFunc(entryLife, func() { w.script.Store.Put("keyed.servers", old, nil) })
	time.AfterFunc(back, w.start)
}

// Leave removes the entry of the worker, which has not reported draining. The worker goes on serving for a time, and then ends.
func (w *Worker) Leave(end time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.left = true
	w.script.Store.Put("keyed.servers", w.id, nil)
	w.script.Note("the removal of the entry of worker %s is confirmed", w.id)
	server := w.server
	time.AfterFunc(end, func() {
		w.script.Note("worker %s ends", w.ID())
		_ = server.Close()
	})
}

// serve answers a request as PROTOCOL.md says.
func (w *Worker) serve(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	out.Header().Set("X-Request-Id", id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != w.ID() {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if w.Reached != nil {
		w.Reached(id)
	}
	select {
	case w.places <- struct{}{}:
	case <-time.After(queueTime):
		out.Header().Set("X-Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	defer func() { <-w.places }()
	out.Header().Set(standin.SignatureHeader, "stamp-"+id)
	w.run(w, out, r)
}

// Answer answers a request after a time, unless the connection is closed before.
func (w *Worker) Answer(ctx context.Context, out http.ResponseWriter, after time.Duration) {
	timer := time.NewTimer(after)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return
	case <-timer.C:
	}
	body := "answered by " + w.ID()
	out.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = fmt.Fprint(out, body)
}
