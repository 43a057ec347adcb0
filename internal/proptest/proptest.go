// Package proptest runs rapid property tests with a fixed seed, so that CI runs are reproducible. For a long run
// with another seed, pass rapid's own flags, for example "go test ./claim -rapid.seed=7 -rapid.checks=100000".
package proptest

import (
	"flag"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"

	"pgregory.net/rapid"
)

// defaultSeed is used unless -rapid.seed is set on the command line.
const defaultSeed = "20261204"

// Check runs rapid.Check with defaultSeed, or with the seed given on the command line.
func Check(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	setSeed()
	rapid.Check(t, property)
}

// CheckMany is Check with a number of checks, unless the command line gives one. It must not run in parallel with other property
// tests.
func CheckMany(t *testing.T, checks int, property func(*rapid.T)) {
	t.Helper()
	const name = "rapid.checks"
	if !given(name) {
		before := flag.Lookup(name).Value.String()
		setFlag(name, strconv.Itoa(checks))
		defer setFlag(name, before)
	}
	Check(t, property)
}

// given reports whether the command line sets a flag. It does not ask package flag, where those that are set here count too.
func given(name string) bool {
	for _, arg := range os.Args[1:] {
		if strings.HasPrefix(strings.TrimLeft(arg, "-"), name) {
			return true
		}
	}
	return false
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// setSeed sets rapid's flags, once per process. With defaultSeed it also turns off rapid's failure files.
var setSeed = sync.OnceFunc(func() {
	if given("rapid.seed") {
		return
	}
	setFlag("rapid.seed", defaultSeed)
	setFlag("rapid.nofailfile", "true")
})
