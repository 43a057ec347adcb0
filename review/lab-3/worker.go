package main

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is what a worker does for one request.
type run struct {
	id       string
	began    time.Time
	from     int
	lastWork time.Time
	made     int
}

// plainTime is the work of a request to a plain service.
const plainTime = 60 * time.Millisecond

// worker is a model worker or a plain service behind a proxy of its own, whose address it publishes.
type worker struct {
	w             *world
	id, pool      string
	address       string
	slots         int
	born          int64
	server        *http.Server
	proxy         *proxy
	mu            sync.Mutex
	seq           int
	runs          []*run
	eventInterval time.Duration
}

func (w *world) addWorker(id, pool string, slots int) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p, err := newProxy(l.Addr().String())
	if err != nil {
		return nil, err
	}
	one := &worker{w: w, id: id, pool: pool, slots: slots, born: time.Now().UnixMilli(), address: p.listener.Addr().String(), proxy: p,
		eventInterval: 100 * time.Millisecond}
	one.server = &http.Server{Handler: one}
	go func() { _ = one.server.Serve(l) }()
	w.mu.Lock()
	w.workers = append(w.workers, one)
	w.mu.Unlock()
	w.publish(one)
	return one, nil
}

func (o *worker) close() {
	_ = o.server.Close()
	o.proxy.close()
}

// ServeHTTP implements http.Handler.
func (o *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	h := out.Header()
	h.Set("X-Request-Id", id)
	h.Set("X-Instance-Id", o.id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != o.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	one := &run{id: id, began: time.Now(), lastWork: time.Now()}
	o.mu.Lock()
	o.runs = append(o.runs, one)
	o.mu.Unlock()
	h.Set("X-Response-Stamp", "3e1b."+id)
	if o.pool != modelPool {
		time.Sleep(plainTime)
		h.Set("Content-Length", "800")
		_, _ = io.WriteString(out, strings.Repeat("x", 800))
		return
	}
	o.stream(out, r, one)
}

// stream sends the events of a generation: five tokens each.
func (o *worker) stream(out http.ResponseWriter, r *http.Request, one *run) {
	_, outputTokens, _ := strings.Cut(r.Header.Get("X-Token-Count"), ",")
	tokens, _ := strconv.Atoi(outputTokens)
	events := max(1, tokens/5)
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		one.from, _ = strconv.Atoi(last)
	}
	out.Header().Set("Content-Type", "text/event-stream")
	for n := one.from + 1; n <= events; n++ {
		if !o.work(r, o.eventInterval) {
			return
		}
		o.mu.Lock()
		one.lastWork, one.made = time.Now(), n
		o.mu.Unlock()
		_, err := fmt.Fprintf(out, "id: %d\ndata: %s-%d\n\n", n, one.id, n)
		if err == nil {
			err = http.NewResponseController(out).Flush()
		}
		if err != nil {
			return
		}
	}
}

// work passes the time of one event. It reports false if the request is dropped, because its connection has closed.
func (o *worker) work(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-r.Context().Done():
		return false
	case <-timer.C:
		return true
	}
}

// snapshot returns copies of the runs.
func (o *worker) snapshot() []run {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []run
	for _, one := range o.runs {
		out = append(out, *one)
	}
	return out
}

// proxy forwards connections to a worker. Those that are open when silence is called carry nothing any more, in either direction,
// not even their end.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	pairs    map[*pair]bool
	done     chan struct{}
	ended    sync.Once
}

type pair struct {
	client, server net.Conn
	silent         chan struct{}
	once           sync.Once
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, pairs: make(map[*pair]bool), done: make(chan struct{})}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		one := &pair{client: client, server: server, silent: make(chan struct{})}
		p.mu.Lock()
		p.pairs[one] = true
		p.mu.Unlock()
		go p.copy(one, client, server)
		go p.copy(one, server, client)
	}
}

func (p *proxy) copy(one *pair, to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-one.silent:
			<-p.done
			err = io.EOF
		default:
		}
		if n > 0 && err == nil {
			_, err = to.Write(buffer[:n])
		}
		if err != nil {
			one.once.Do(func() {
				_ = one.client.Close()
				_ = one.server.Close()
			})
			return
		}
	}
}

// silence makes all open connections silent for good and returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for one := range p.pairs {
		select {
		case <-one.silent:
		default:
			close(one.silent)
			n++
		}
	}
	return n
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.ended.Do(func() { close(p.done) })
	p.mu.Lock()
	defer p.mu.Unlock()
	for one := range p.pairs {
		_ = one.client.Close()
		_ = one.server.Close()
	}
}

// recordRuns writes how many requests each pool has run.
func (w *world) recordRuns() {
	w.mu.Lock()
	defer w.mu.Unlock()
	runs, workers := map[string]int{}, map[string]int{}
	for _, one := range w.workers {
		runs[one.pool] += len(one.snapshot())
		workers[one.pool]++
	}
	for _, pool := range slices.Sorted(maps.Keys(runs)) {
		w.printf("run by the %d workers of pool %s: %d requests", workers[pool], pool, runs[pool])
	}
}
