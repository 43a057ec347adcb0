// Package harness starts gateways as separate processes, before stand-ins of the platform's store, of workers and of
// consumers, for the scripts of the review.
package harness

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"jacinthfork.example/jacinthfork/internal/loopback"
	"jacinthfork.example/jacinthfork/platform/standin"
)

// Exit codes of a script.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// program is what the deploy file starts, seen from the root of the repository.
const program = "target/jacinthfork-gateway"

// MemoryMB is memory-mb in the settings, and MaxBodyBytes max-body-bytes in the configuration.
const (
	MemoryMB     = 284
	MaxBodyBytes = 4 << 20
)

// startTimeout bounds the start of a gateway, and pollInterval is the time between two questions whether it is ready.
const (
	startTimeout = 15 * time.Second
	pollInterval = 10 * time.Millisecond
)

// Script is one run of a script.
type Script struct {
	// Trouble is false if the run leaves the disruption out.
	Trouble  bool
	Store    *standin.Store
	Gateways []*Gateway
	// StoreAddress replaces the store's own address in the settings that are written from then on, if it is set.
	StoreAddress string

	folder  string
	started time.Time
	mu      sync.Mutex
	record  *os.File
}

// Gateway is one gateway process.
type Gateway struct {
	Name            string
	Caller, Control string
	ready, metrics  string
	seeds           []string
	cmd             *exec.Cmd
	ended           chan struct{}
}

// Start begins a run. The record goes to the file that the first argument of the program names.
func Start() *Script {
	// The kernel ends the gateways with the thread that started them.
	runtime.LockOSThread()
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: PROGRAM RECORD")
		os.Exit(NotRun)
	}
	s := &Script{Trouble: os.Getenv("TROUBLE") != "0", Store: standin.NewStore(), started: time.Now()}
	var err error
	if s.record, err = os.Create(os.Args[1]); err != nil {
		s.Fail(err)
	}
	if s.folder, err = os.MkdirTemp("", "review-"); err != nil {
		s.Fail(err)
	}
	if _, err := os.Stat(program); err != nil {
		s.Fail(err)
	}
	return s
}

// Note writes a line to the record.
func (s *Script) Note(format string, values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.record != nil {
		_, _ = fmt.Fprintf(s.record, "%8.3f %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, values...))
	}
}

// Fail ends the run because the case could not be run.
func (s *Script) Fail(err error) {
	fmt.Fprintln(os.Stderr, err)
	s.Note("not run: %v", err)
	s.end(NotRun)
}

// Finish ends the run with the finding, which is empty if the rule held.
func (s *Script) Finish(finding string) {
	if finding == "" {
		s.Note("the rule held")
		fmt.Println("the rule held")
		s.end(Held)
	}
	s.Note("the rule is broken: %s", finding)
	fmt.Println("the rule is broken:", finding)
	s.end(Broken)
}

// end stops all processes and exits.
func (s *Script) end(code int) {
	for _, g := range s.Gateways {
		_ = g.cmd.Process.Kill()
		<-g.ended
	}
	_ = os.RemoveAll(s.folder)
	os.Exit(code)
}

// Address returns a free address on an IP address of its own.
func Address() (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(loopback.NewIP(), "0"))
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// StartGateways starts gateways and waits until all are ready. The configuration and the entries of workers must be in the
// store before.
func (s *Script) StartGateways(count int) {
	var seeds []string
	for n := range count {
		g := &Gateway{Name: fmt.Sprintf("front-%d", n+1)}
		for _, address := range []*string{&g.Caller, &g.ready, &g.Control, &g.metrics} {
			var err error
			if *address, err = Address(); err != nil {
				s.Fail(err)
			}
		}
		if len(seeds) < 3 {
			seeds = append(seeds, g.Control)
		}
		s.Gateways = append(s.Gateways, g)
	}
	for _, g := range s.Gateways {
		g.seeds = seeds
		if err := s.launch(g); err != nil {
			s.Fail(err)
		}
	}
	for _, g := range s.Gateways {
		if err := g.awaitReady(); err != nil {
			s.Fail(err)
		}
		s.Note("%s is ready", g.Name)
	}
}

// WriteSettings writes the settings file of a gateway.
func (s *Script) WriteSettings(g *Gateway) error {
	ip, port, err := net.SplitHostPort(g.metrics)
	if err != nil {
		return err
	}
	firstPort, err := strconv.Atoi(port)
	if err != nil {
		return err
	}
	settings, err := json.Marshal(map[string]any{
		"node": g.Name, "role": "gateway", "class": "front", "serves": []string{"front", "control"}, "ip": ip,
		"zone": "zone-a", "region": "region-a", "zones": map[string]string{"zone-a": "region-a"},
		"listen":     map[string]string{"front": g.Caller, "ready": g.ready, "control": g.Control},
		"port-range": []int{firstPort, firstPort}, "seeds": g.seeds, "bootstrap": true,
		"limits": map[string]any{"cpu-share": 0.304, "cores": 1, "memory-mb": MemoryMB, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0},
		"bounds": map[string]any{
			"stable-ms": 3000, "drain-ms": 2000, "grace-s": 8, "config-ms": 2000, "retry-ratio": 0.2, "retry-window-s": 10,
			"retry-slack": 54, "recover-s": 12, "cap-x": 2,
		},
		"provider": map[string]any{"addr": cmp.Or(s.StoreAddress, s.Store.Address()), "form": "log"},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(s.settingsFile(g), settings, 0o600)
}

func (s *Script) settingsFile(g *Gateway) string { return filepath.Join(s.folder, g.Name+".json") }

func (s *Script) launch(g *Gateway) error {
	if err := s.WriteSettings(g); err != nil {
		return err
	}
	output, err := os.Create(filepath.Join(s.folder, g.Name+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	g.cmd = exec.Command(program)
	g.cmd.Env = append(os.Environ(), "JACINTHFORK_SETTINGS="+s.settingsFile(g))
	g.cmd.Stdout, g.cmd.Stderr = output, output
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return err
	}
	g.ended = make(chan struct{})
	go func() {
		_ = g.cmd.Wait()
		close(g.ended)
	}()
	return nil
}

func (g *Gateway) awaitReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if g.Ready() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", g.Name)
}

// Ready asks the gateway whether it is ready, on a connection that is kept.
func (g *Gateway) Ready() bool {
	resp, err := readiness.Get("http://" + g.ready + "/api/readyz")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

var readiness = &http.Client{Timeout: time.Second}

// Signal sends a signal to the gateway's process.
func (g *Gateway) Signal(signal syscall.Signal) { _ = g.cmd.Process.Signal(signal) }

// Restart starts a gateway whose process has ended, with the settings that it had.
func (s *Script) Restart(g *Gateway) error {
	<-g.ended
	return s.launch(g)
}

// MemoryMB returns the memory that the gateway's process takes, 0 if it does not run.
func (g *Gateway) MemoryMB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) < 2 || fields[0] != "VmRSS:" {
			continue
		}
		kilobytes, err := strconv.Atoi(fields[1])
		if err != nil {
			return 0
		}
		return kilobytes / 1024
	}
	return 0
}
