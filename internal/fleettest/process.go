package fleettest

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// readyLimit bounds the start of a process. It is far above what a loaded machine needs, so that it
// ends only tests that hang.
const readyLimit = time.Minute

const pollInterval = 5 * time.Millisecond

// Spec says how to start a process.
type Spec struct {
	// Program is the folder below cmd.
	Program string
	// Name is used in messages. Empty is Program.
	Name string
	Args []string
	// Env is added to the environment of the test.
	Env []string
	// ReadyURL is polled until it answers 200. Empty does not wait.
	ReadyURL string
}

// Process is a process that this test started.
type Process struct {
	Spec Spec

	t      testing.TB
	cmd    *exec.Cmd
	output *buffer
	ended  chan struct{}
}

// Start starts a process and waits until it is ready. The process is killed at the end of the test,
// and its output is logged when the test failed.
func Start(t testing.TB, spec Spec) *Process {
	t.Helper()
	p := Launch(t, spec)
	p.WaitReady()
	return p
}

// Launch is Start without the wait.
func Launch(t testing.TB, spec Spec) *Process {
	t.Helper()
	if spec.Name == "" {
		spec.Name = spec.Program
	}
	p := &Process{Spec: spec, t: t, output: new(buffer)}
	t.Cleanup(func() { p.cleanup() })
	p.launch()
	return p
}

func (p *Process) launch() {
	p.t.Helper()
	cmd := exec.Command(Build(p.t, p.Spec.Program), p.Spec.Args...)
	// Programs built with the race detector otherwise sleep for a second when they exit.
	cmd.Env = append(os.Environ(), "GORACE=atexit_sleep_ms=0")
	cmd.Env = append(cmd.Env, p.Spec.Env...)
	cmd.Stdout = p.output
	cmd.Stderr = p.output
	// The kernel kills the process when the test binary ends without cleanup, as after a timeout.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startOnLauncher(cmd); err != nil {
		p.t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	p.cmd, p.ended = cmd, ended
}

var (
	launcher     sync.Once
	launchOrders = make(chan func())
)

// startOnLauncher starts a process from a thread that lives as long as the test binary, because
// Pdeathsig acts at the end of the thread that started the process.
func startOnLauncher(cmd *exec.Cmd) error {
	launcher.Do(func() {
		go func() {
			runtime.LockOSThread()
			for order := range launchOrders {
				order()
			}
		}()
	})
	result := make(chan error, 1)
	launchOrders <- func() { result <- cmd.Start() }
	return <-result
}

func (p *Process) cleanup() {
	p.Kill()
	if p.t.Failed() {
		p.t.Logf("output of %s:\n%s", p.Spec.Name, p.output.String())
	}
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Output returns what the process has written to stdout and stderr, over all its starts.
func (p *Process) Output() string { return p.output.String() }

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// WaitReady waits until ReadyURL answers 200. It fails the test when the process ends before.
func (p *Process) WaitReady() {
	p.t.Helper()
	if p.Spec.ReadyURL == "" {
		return
	}
	deadline := time.Now().Add(readyLimit)
	for !answersOK(p.Spec.ReadyURL) {
		if !p.Running() || time.Now().After(deadline) {
			p.t.Fatalf("%s is not ready: %s", p.Spec.Name, p.output.String())
		}
		time.Sleep(pollInterval)
	}
}

func answersOK(url string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Kill ends the process with SIGKILL and waits for its end. It does nothing when the process has
// ended.
func (p *Process) Kill() {
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// Signal sends a signal; it fails the test when the process has ended.
func (p *Process) Signal(signal syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(signal); err != nil {
		p.t.Fatalf("%s: %v", p.Spec.Name, err)
	}
}

// ErrStillRunning is the error of Wait when the limit passed.
var ErrStillRunning = errors.New("process is still running")

// Wait waits for the end of the process and returns its exit status, or -1 when a signal ended it.
func (p *Process) Wait(limit time.Duration) (int, error) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-p.ended:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-timer.C:
		return 0, ErrStillRunning
	}
}

// Restart kills the process, starts it again with the same Spec and waits until it is ready.
func (p *Process) Restart() {
	p.t.Helper()
	p.Kill()
	p.launch()
	p.WaitReady()
}

// Pause stops the process with SIGSTOP and returns once it stands still.
func (p *Process) Pause() {
	p.t.Helper()
	p.Signal(syscall.SIGSTOP)
	p.waitState('T')
}

// Resume continues a paused process.
func (p *Process) Resume() {
	p.t.Helper()
	p.Signal(syscall.SIGCONT)
}

// waitState waits until /proc shows the state of the process.
func (p *Process) waitState(want byte) {
	p.t.Helper()
	for deadline := time.Now().Add(readyLimit); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if state, err := procState(p.PID()); err != nil {
			p.t.Fatalf("%s: %v", p.Spec.Name, err)
		} else if state == want {
			return
		}
	}
	p.t.Fatalf("%s does not reach state %c", p.Spec.Name, want)
}

// procState returns the letter after the program name, which is in parentheses.
func procState(pid int) (byte, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	_, rest, found := strings.Cut(string(text), ") ")
	if !found || rest == "" {
		return 0, fmt.Errorf("/proc/%d/stat is not understood", pid)
	}
	return rest[0], nil
}

// WriteFile writes a settings file into the test's temporary directory and returns its path.
func WriteFile(t testing.TB, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// maxOutput bounds the kept output of a process; the oldest half is dropped above it.
const maxOutput = 1 << 20

// buffer is a bytes.Buffer that a process writes while the test reads.
type buffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.text.Len()+len(p) > maxOutput {
		b.text.Next(b.text.Len() / 2)
	}
	return b.text.Write(p)
}

// String returns what was kept.
func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}
