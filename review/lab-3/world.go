package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"jacinthfork.example/jacinthfork/platform/standin"
)

const (
	callerHost = "ficu95.example"
	apiKey     = "n2ctnfzs989anu6wsjnb"
	modelPool  = "huvo11a"
	plainPool  = "wuno96b"
	heartbeat  = 1200 * time.Millisecond
)

// journal writes what happens, with the time since the start in ms.
type journal struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

func (j *journal) printf(format string, values ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	fmt.Fprintf(j.out, "%8.3f  %s\n", time.Since(j.start).Seconds(), fmt.Sprintf(format, values...))
}

// world is a small deployment on loopback addresses: a store, workers and gateway processes.
type world struct {
	*journal
	dir string
	// slots and kvTokens are those of an engine.
	slots, kvTokens int
	store           *standin.Store
	gateways        []*gatewayProcess
	mu              sync.Mutex
	workers         []*worker
	stopped         chan struct{}
}

func newWorld(recordPath string) (*world, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "lab")
	if err != nil {
		return nil, err
	}
	w := &world{journal: &journal{out: io.MultiWriter(record, os.Stdout), start: time.Now()}, dir: dir, slots: 64, kvTokens: 573142, store: standin.NewStore(), stopped: make(chan struct{})}
	go w.beat()
	return w, nil
}

// beat publishes the entries of the workers as they do themselves.
func (w *world) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-w.stopped:
			return
		case <-ticker.C:
		}
		w.mu.Lock()
		workers := append([]*worker(nil), w.workers...)
		w.mu.Unlock()
		for _, one := range workers {
			w.publish(one)
		}
	}
}

func (w *world) publish(one *worker) {
	one.mu.Lock()
	defer one.mu.Unlock()
	one.seq++
	w.store.PutJSON("keyed.servers", one.id, map[string]any{
		"backend": one.pool, "addr": one.address, "zone": "bq-a", "version": "v1", "slots": one.slots,
		"state": "ready", "cold-left-ms": 0, "seq": one.seq, "born": one.born,
	})
}

// route returns a route of the configuration.
func route(name, prefix, mode string, fields map[string]any) map[string]any {
	out := map[string]any{
		"name": name, "host": callerHost, "path-prefix": prefix, "mode": mode, "timeout-ms": 15000, "slo-ms": 500,
		"priority": 1, "backend": modelPool, "attempts": 1, "public": false, "sticky": mode == "streaming", "resumable": false, "gap-slo-ms": 600,
	}
	for k, v := range fields {
		out[k] = v
	}
	return out
}

// configure publishes a configuration.
func (w *world) configure(version int, routes ...map[string]any) {
	w.store.PutJSON("keyed.op", "config", map[string]any{
		"version": version, "routes": routes,
		"backends": []any{
			map[string]any{"name": modelPool, "health-path": "/healthz", "max-conns": 360, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": w.slots, "kv-tokens": w.kvTokens, "kv-token-bytes": 18432}},
			map[string]any{"name": plainPool, "health-path": "/healthz", "max-conns": 100, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api-keys": []string{apiKey}, "priority": 1}},
	})
}

// gatewayProcess is a gateway that runs as a process of its own.
type gatewayProcess struct {
	name, ip, front, ready, control string
	port                            int
	settings                        string
	cmd                             *exec.Cmd
	exited                          chan struct{}
}

// freePorts returns free ports of an address.
func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// addGateways starts the first n gateways and waits until they are ready.
func (w *world) addGateways(n int, edit func(map[string]any)) error {
	for i := range n {
		g := &gatewayProcess{name: fmt.Sprintf("front-bq-a-%d", i+1), ip: fmt.Sprintf("127.0.77.%d", 11+i)}
		if err := g.choosePorts(); err != nil {
			return err
		}
		w.gateways = append(w.gateways, g)
	}
	for _, g := range w.gateways {
		if err := w.startNew(g, edit); err != nil {
			return err
		}
	}
	for _, g := range w.gateways {
		if err := g.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (g *gatewayProcess) choosePorts() error {
	ports, err := freePorts(g.ip, 4)
	if err != nil {
		return err
	}
	g.front, g.ready = fmt.Sprintf("%s:%d", g.ip, ports[0]), fmt.Sprintf("%s:%d", g.ip, ports[1])
	g.control, g.port = fmt.Sprintf("%s:%d", g.ip, ports[2]), ports[3]
	return nil
}

// startNew writes the settings of a gateway and starts it.
func (w *world) startNew(g *gatewayProcess, edit func(map[string]any)) error {
	var seeds []string
	for _, one := range w.gateways[:min(3, len(w.gateways))] {
		seeds = append(seeds, one.control)
	}
	settings := map[string]any{
		"node": g.name, "role": "gateway", "class": "front", "serves": []string{"front", "control"}, "ip": g.ip, "zone": "bq-a", "region": "bq",
		"zones": map[string]string{"bq-a": "bq"}, "listen": map[string]string{"front": g.front, "ready": g.ready, "control": g.control},
		"port-range": []int{g.port, g.port}, "seeds": seeds, "bootstrap": true, "loss-counts": false,
		"limits":   map[string]any{"cpu-share": 0.304, "cores": 1, "memory-mb": 284, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0},
		"data-dir": nil, "discovery": "platform", "entry": "vip", "heartbeat-ms": heartbeat.Milliseconds(),
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		"tolerate":  map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{"stable-ms": 3000, "drain-ms": 2000, "grace-s": 8, "loss-slack-ms": 200, "config-ms": 2000, "back-ms": 250,
			"retry-ratio": 0.2, "retry-window-s": 10, "retry-slack": 54, "recover-s": 12, "pass-ms": 120, "cap-x": 2},
		"provider": map[string]any{"addr": w.store.Address(), "form": "log", "writes-per-s": 400, "reads-per-s": 2000, "parts": 16, "keep_s": 300},
	}
	if edit != nil {
		edit(settings)
	}
	text, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	g.settings = filepath.Join(w.dir, g.name+".json")
	if err := os.WriteFile(g.settings, text, 0o600); err != nil {
		return err
	}
	return w.start(g)
}

// start starts the process of a gateway as the deploy file does.
func (w *world) start(g *gatewayProcess) error {
	log, err := os.OpenFile(filepath.Join(w.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	g.cmd = exec.Command("target/jacinthfork-gateway")
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, "JACINTHFORK_SETTINGS=" + g.settings}
	g.cmd.Stdout, g.cmd.Stderr = log, log
	if err := g.cmd.Start(); err != nil {
		return err
	}
	g.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(g.cmd, g.exited)
	w.printf("%s started, pid %d", g.name, g.cmd.Process.Pid)
	return nil
}

func (g *gatewayProcess) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + g.ready + "/api/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (g *gatewayProcess) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if g.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", g.name, limit)
}

func (g *gatewayProcess) signal(s syscall.Signal) { _ = g.cmd.Process.Signal(s) }

func (g *gatewayProcess) running() bool {
	select {
	case <-g.exited:
		return false
	default:
		return true
	}
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	close(w.stopped)
	w.killGateways()
	for _, g := range w.gateways {
		<-g.exited
	}
	w.mu.Lock()
	for _, one := range w.workers {
		one.close()
	}
	w.mu.Unlock()
	w.store.Close()
	_ = os.RemoveAll(w.dir)
}

// killGateways kills all gateway processes.
func (w *world) killGateways() {
	for _, g := range w.gateways {
		g.signal(syscall.SIGKILL)
	}
}
