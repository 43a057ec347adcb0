// Package fleettest supports tests that run the programs as processes: it builds them, starts them on
// addresses in 127.0.0.0/8, pauses and kills them, and injects faults into the connections between them. Only
// test files import it. A package that uses it must call Main from its TestMain.
package fleettest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
)

const module = "jacinthfork.example/jacinthfork"

var programs = struct {
	sync.Mutex
	directory string
	// built holds the result of each build by path.
	built map[string]error
}{built: make(map[string]error)}

// Main runs the tests of a package, removes the built programs and exits.
func Main(m *testing.M) { os.Exit(runMain(m)) }

func runMain(m *testing.M) int {
	directory, err := os.MkdirTemp("", "fleettest-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(directory)
	programs.Lock()
	programs.directory = directory
	programs.Unlock()
	return m.Run()
}

// Build returns the path of a program, which is named by its directory in cmd. Each program is built once per
// test binary, with the race detector if the test binary has it.
func Build(t testing.TB, program string) string {
	t.Helper()
	return buildProgram(t, program, raceEnabled)
}

func buildProgram(t testing.TB, program string, race bool) string {
	t.Helper()
	programs.Lock()
	defer programs.Unlock()
	if programs.directory == "" {
		t.Fatal("fleettest: the package has no TestMain that calls fleettest.Main")
	}
	path := filepath.Join(programs.directory, program)
	if race {
		path += "-race"
	}
	err, known := programs.built[path]
	if !known {
		err = build(path, program, race)
		programs.built[path] = err
	}
	if err != nil {
		t.Fatal(err)
	}
	return path
}

func build(path, program string, race bool) error {
	args := []string{"build", "-o", path}
	if race {
		args = append(args, "-race")
	}
	args = append(args, module+"/cmd/"+program)
	output, err := exec.Command("go", args...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("go build %s: %w\n%s", program, err, output)
	}
	return nil
}
