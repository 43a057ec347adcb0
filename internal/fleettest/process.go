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
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// readyTimeout limits how long a process may take to start. It is far above the time needed on a loaded
// machine, so that only a hanging process exceeds it.
const readyTimeout = time.Minute

const pollInterval = 5 * time.Millisecond

// Spec specifies how to start a process.
type Spec struct {
	// Program is the name of the program's directory in cmd.
	Program string
	// Name identifies the process in messages. It defaults to Program.
	Name string
	Args []string
	// Env is appended to the environment of the test.
	Env []string
	// ReadyURL is polled until it returns status 200. If it is empty, the process counts as ready at once.
	ReadyURL string
	// WithoutRaceDetector builds the program without the race detector even if the test has it, for measurements of
	// memory.
	WithoutRaceDetector bool
}

// Process is a process that the test has started.
type Process struct {
	Spec Spec

	t      testing.TB
	cmd    *exec.Cmd
	output *buffer
	ended  chan struct{}
}

// Start starts a process and waits until it is ready. The process is killed at the end of the test, and its
// output is logged if the test failed.
func Start(t testing.TB, spec Spec) *Process {
	t.Helper()
	p := Launch(t, spec)
	p.WaitReady()
	return p
}

// Launch starts a process like Start but does not wait until it is ready.
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
	cmd := exec.Command(buildProgram(p.t, p.Spec.Program, raceEnabled && !p.Spec.WithoutRaceDetector), p.Spec.Args...)
	// By default a program built with the race detector sleeps for one second at exit.
	cmd.Env = append(os.Environ(), "GORACE=atexit_sleep_ms=0")
	cmd.Env = append(cmd.Env, p.Spec.Env...)
	cmd.Stdout = p.output
	cmd.Stderr = p.output
	// Pdeathsig kills the process if the test binary ends without cleanup, for instance after a timeout.
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
	launcher       sync.Once
	launchRequests = make(chan func())
)

// startOnLauncher starts a process from a thread that lives as long as the test binary, because the kernel
// sends Pdeathsig when the thread that started the process ends.
func startOnLauncher(cmd *exec.Cmd) error {
	launcher.Do(func() {
		go func() {
			runtime.LockOSThread()
			for launch := range launchRequests {
				launch()
			}
		}()
	})
	result := make(chan error, 1)
	launchRequests <- func() { result <- cmd.Start() }
	return <-result
}

func (p *Process) cleanup() {
	p.Kill()
	if p.t.Failed() {
		p.t.Logf("output of %s:\n%s", p.Spec.Name, p.output.String())
	}
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Output returns the captured stdout and stderr of the process, across restarts.
func (p *Process) Output() string { return p.output.String() }

// Running reports whether the process is still running.
func (p *Process) Running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// WaitReady waits until ReadyURL returns status 200. It fails the test if the process ends first.
func (p *Process) WaitReady() {
	p.t.Helper()
	if p.Spec.ReadyURL == "" {
		return
	}
	deadline := time.Now().Add(readyTimeout)
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
	response, err := callerClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Kill sends SIGKILL to the process and waits until it has ended. It has no effect on a process that has
// ended.
func (p *Process) Kill() {
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// Signal sends a signal to the process. It fails the test if the process has ended.
func (p *Process) Signal(signal syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(signal); err != nil {
		p.t.Fatalf("%s: %v", p.Spec.Name, err)
	}
}

// ErrStillRunning is returned by Wait if the process is still running after the limit.
var ErrStillRunning = errors.New("process is still running")

// Wait waits until the process ends and returns its exit status, or -1 if a signal ended it.
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

// Restart kills the process, starts it with the same Spec and waits until it is ready.
func (p *Process) Restart() {
	p.t.Helper()
	p.Kill()
	p.launch()
	p.WaitReady()
}

// Pause sends SIGSTOP and waits until the process is stopped.
func (p *Process) Pause() {
	p.t.Helper()
	p.Signal(syscall.SIGSTOP)
	p.waitState('T')
}

// Resume sends SIGCONT to a paused process.
func (p *Process) Resume() {
	p.t.Helper()
	p.Signal(syscall.SIGCONT)
}

// waitState waits until the state of the process in /proc is want.
func (p *Process) waitState(want byte) {
	p.t.Helper()
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if state, err := procState(p.PID()); err != nil {
			p.t.Fatalf("%s: %v", p.Spec.Name, err)
		} else if state == want {
			return
		}
	}
	p.t.Fatalf("%s did not reach state %c", p.Spec.Name, want)
}

// Memory returns the resident memory of the process and the highest that it has had, in bytes.
func (p *Process) Memory() (resident, peak int64) {
	p.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		p.t.Fatalf("%s: %v", p.Spec.Name, err)
	}
	return p.memoryField(text, "VmRSS"), p.memoryField(text, "VmHWM")
}

// Descriptors returns the number of open file descriptors of the process.
func (p *Process) Descriptors() int {
	p.t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.PID()))
	if err != nil {
		p.t.Fatalf("%s: %v", p.Spec.Name, err)
	}
	return len(entries)
}

// memoryField returns a field of /proc/PID/status that is given in KB, in bytes.
func (p *Process) memoryField(status []byte, name string) int64 {
	p.t.Helper()
	_, rest, found := strings.Cut(string(status), name+":")
	var kilobytes int64
	if _, err := fmt.Sscan(rest, &kilobytes); !found || err != nil {
		p.t.Fatalf("%s: no field %s in /proc/%d/status", p.Spec.Name, name, p.PID())
	}
	return kilobytes << 10
}

// schedulingFields are the fields of /proc/PID/status that tell a process that is stopped or short of processor time from one
// that has lost a signal: ShdPnd holds the signals that wait for it.
var schedulingFields = []string{"State", "SigPnd", "ShdPnd", "SigBlk", "SigCgt", "voluntary_ctxt_switches", "nonvoluntary_ctxt_switches"}

// SchedulingState describes whether the process runs, which signals wait for it, and the load of the machine.
func (p *Process) SchedulingState() string {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return err.Error()
	}
	var out []string
	for line := range strings.Lines(string(status)) {
		name, value, _ := strings.Cut(line, ":")
		if slices.Contains(schedulingFields, name) {
			out = append(out, name+" "+strings.TrimSpace(value))
		}
	}
	if load, err := os.ReadFile("/proc/loadavg"); err == nil {
		out = append(out, "load "+strings.TrimSpace(string(load)))
	}
	return strings.Join(out, ", ")
}

// procState returns the state letter from /proc/PID/stat, which follows the program name in parentheses.
func procState(pid int) (byte, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	_, rest, found := strings.Cut(string(text), ") ")
	if !found || rest == "" {
		return 0, fmt.Errorf("cannot parse /proc/%d/stat", pid)
	}
	return rest[0], nil
}

// WriteFile writes a file into a temporary directory of the test and returns its path.
func WriteFile(t testing.TB, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// maxOutput limits the captured output of a process in bytes. When it is exceeded, the oldest half is
// dropped.
const maxOutput = 1 << 20

// buffer is a bytes.Buffer that is safe for concurrent use and limited to maxOutput.
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

// String returns the retained output.
func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}
