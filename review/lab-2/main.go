// Command lab-2 plays the scripted cases of the second independent review: it starts gateway processes with the command of
// the deploy file, stand-ins for the platform's store, the workers and the consumers, and writes what it saw to a record.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
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

// Exit codes.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitCannot  = 2
	readyLimit  = 20 * time.Second
	smallMemory = 284
	smallFDs    = 4100
)

// lab is one run of a case.
type lab struct {
	program string
	folder  string
	trouble bool
	temp    string
	store   *standin.Store

	mu     sync.Mutex
	record *os.File
	start  time.Time
	ended  []func()
}

// errBroken says that the rule was broken.
var errBroken = errors.New("the rule was broken")

// cases are the functions that play a case. They return nil if the rule held and errBroken if it was broken.
var cases = map[string]func(*lab) error{}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("gateway", "target/jacinthfork-gateway", "the program of the deploy file")
	folder := flag.String("folder", "", "folder of the case, for record.txt")
	flag.Parse()
	os.Exit(run(*name, *program, *folder))
}

func run(name, program, folder string) int {
	play, ok := cases[name]
	if !ok || folder == "" {
		fmt.Fprintln(os.Stderr, "lab-2: unknown case", name)
		return exitCannot
	}
	l := &lab{program: program, folder: folder, trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
	var err error
	if l.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, "lab-2:", err)
		return exitCannot
	}
	if l.temp, err = os.MkdirTemp("", "lab-2-"); err != nil {
		fmt.Fprintln(os.Stderr, "lab-2:", err)
		return exitCannot
	}
	defer l.end()
	l.note("case %s, trouble %v", name, l.trouble)
	l.store = standin.NewStore()
	l.atEnd(l.store.Close)
	err = play(l)
	switch {
	case err == nil:
		l.note("verdict: the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		l.note("verdict: the rule was broken")
		return exitBroken
	}
	l.note("verdict: the case could not run: %v", err)
	return exitCannot
}

// note writes a line to the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(l.start).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = l.record.WriteString(line)
	fmt.Print(line)
}

func (l *lab) atEnd(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = append(l.ended, f)
}

// end ends what the case has started, the last one first.
func (l *lab) end() {
	for i := len(l.ended) - 1; i >= 0; i-- {
		l.ended[i]()
	}
	_ = os.RemoveAll(l.temp)
	_ = l.record.Close()
}

// gateway is a gateway process.
type gateway struct {
	l      *lab
	name   string
	config standin.RouterConfig
	file   string
	log    string
	cmd    *exec.Cmd
	exited chan struct{}
	state  string
}

// newGateway chooses the addresses and settings of a gateway on a machine of a small deployment.
func (l *lab) newGateway(name string, seeds ...string) (*gateway, error) {
	ip := loopback.NewIP()
	ports, err := freePorts(ip, 4)
	if err != nil {
		return nil, err
	}
	at := func(i int) string { return net.JoinHostPort(ip, strconv.Itoa(ports[i])) }
	g := &gateway{l: l, name: name, file: filepath.Join(l.temp, name+".json"), log: filepath.Join(l.temp, name+".log")}
	g.config = standin.RouterConfig{
		Name: name, CallerAddress: at(0), ReadyAddress: at(1), PeerAddress: at(2), MetricsAddress: at(3),
		StoreAddress: l.store.Address(), Seeds: seeds, GracePeriod: 8 * time.Second, RetryRatio: 0.2, RetrySlack: 52,
		MemoryMB: smallMemory, MaxFDs: smallFDs,
		Contracts: []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
	}
	return g, nil
}

func freePorts(ip string, n int) (ports []int, err error) {
	for range n {
		listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// startGateway starts a gateway on a new machine and waits until it is ready.
func (l *lab) startGateway(name string, seeds ...string) (*gateway, error) {
	g, err := l.newGateway(name, seeds...)
	if err != nil {
		return nil, err
	}
	return g, errors.Join(g.launch(), g.awaitReady())
}

// launch starts the process.
func (g *gateway) launch() error {
	environment, err := g.config.WriteSettings(g.file)
	if err != nil {
		return err
	}
	out, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(g.l.program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), environment}
	cmd.Stdout, cmd.Stderr = out, out
	if err := startOnLauncher(cmd); err != nil {
		return err
	}
	exited := make(chan struct{})
	g.cmd, g.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		g.state = cmd.ProcessState.String()
		_ = out.Close()
		close(exited)
	}()
	g.l.atEnd(g.kill)
	g.l.note("%s: started, consumers at %s", g.name, g.config.CallerAddress)
	return nil
}

func (g *gateway) awaitReady() error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(readyLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get(g.config.ReadyURL())
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", g.name, readyLimit)
}

func (g *gateway) running() bool {
	select {
	case <-g.exited:
		return false
	default:
		return true
	}
}

func (g *gateway) kill() {
	if g.running() {
		_ = g.cmd.Process.Kill()
	}
	<-g.exited
}

// memory returns the resident memory and its peak in bytes.
func (g *gateway) memory() (resident, peak int64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.cmd.Process.Pid))
	if err != nil {
		return 0, 0
	}
	field := func(name string) int64 {
		_, rest, _ := strings.Cut(string(text), name+":")
		var kilobytes int64
		_, _ = fmt.Sscan(rest, &kilobytes)
		return kilobytes << 10
	}
	return field("VmRSS"), field("VmHWM")
}

// logLines returns the lines of the process with a text, without those of served requests.
func (g *gateway) logLines(part string) (out []string) {
	text, _ := os.ReadFile(g.log)
	for line := range strings.Lines(string(text)) {
		if strings.Contains(line, part) && !strings.Contains(line, `"msg":"request served"`) {
			out = append(out, strings.TrimSpace(line))
		}
	}
	return out
}

// heartbeat publishes a worker's entry now and at the interval of the platform, until the returned function is called. Nothing is
// published once that has returned.
func (l *lab) heartbeat(w *standin.Worker, state func() string) (stop func()) {
	var mu sync.Mutex
	stopped := false
	publish := func() bool {
		mu.Lock()
		defer mu.Unlock()
		if !stopped {
			l.store.Publish(w, state(), "")
		}
		return !stopped
	}
	publish()
	go func() {
		ticker := time.NewTicker(1200 * time.Millisecond)
		defer ticker.Stop()
		for range ticker.C {
			if !publish() {
				return
			}
		}
	}()
	return func() {
		mu.Lock()
		defer mu.Unlock()
		stopped = true
	}
}

func ready() string { return "ready" }

var (
	launcher sync.Once
	launches = make(chan func())
)

// startOnLauncher starts a process that ends with this one, from a thread that lives as long: the kernel ends it when that thread
// ends.
func startOnLauncher(cmd *exec.Cmd) error {
	launcher.Do(func() {
		go func() {
			runtime.LockOSThread()
			for launch := range launches {
				launch()
			}
		}()
	})
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	result := make(chan error, 1)
	launches <- func() { result <- cmd.Start() }
	return <-result
}
