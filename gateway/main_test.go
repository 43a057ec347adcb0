package gateway

import (
	"fmt"
	"os"
	runtimemetrics "runtime/metrics"
	"runtime/pprof"
	"sync"
	"testing"
	"time"
)

const (
	// maxTestBytes is the memory of the Go runtime above which the tests fail. The race detector takes a multiple of it.
	maxTestBytes = 128 << 20
	// memoryCheckInterval is the time between two checks of it.
	memoryCheckInterval = 50 * time.Millisecond
	// memoryExitCode is the exit code of a test binary that exceeded it.
	memoryExitCode = 3
)

// ending is locked by whoever ends the process, so that a run which passes meanwhile does not hide what watchMemory found.
var ending sync.Mutex

// TestMain guards against a test that takes memory without end, for which the kernel would kill any process of the machine:
// it ends the tests with the stacks of all goroutines, grouped.
func TestMain(m *testing.M) {
	go watchMemory()
	code := m.Run()
	ending.Lock()
	os.Exit(code)
}

func watchMemory() {
	for {
		if used := memoryInUse(); used > maxTestBytes {
			ending.Lock()
			fmt.Fprintf(os.Stderr, "FAIL: the tests take %d MB of memory, want at most %d\n", used>>20, maxTestBytes>>20)
			_ = pprof.Lookup("goroutine").WriteTo(os.Stderr, 1)
			os.Exit(memoryExitCode)
		}
		time.Sleep(memoryCheckInterval)
	}
}

// memoryInUse returns the bytes that the Go runtime has mapped and not returned.
func memoryInUse() uint64 {
	samples := []runtimemetrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	runtimemetrics.Read(samples)
	return samples[0].Value.Uint64() - samples[1].Value.Uint64()
}
