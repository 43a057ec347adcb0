// Package proptest runs rapid property tests with a fixed seed, so that CI gives the same verdict
// each time. For a long random run pass rapid's own flags, for example
// "go test ./claim -rapid.seed=7 -rapid.checks=100000".
package proptest

import (
	"flag"
	"sync"
	"testing"

	"pgregory.net/rapid"
)

// fixedSeed is used unless -rapid.seed is given on the command line.
const fixedSeed = "20261204"

// Check runs rapid.Check with the fixed seed.
func Check(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	fixSeed()
	rapid.Check(t, property)
}

var fixSeed = sync.OnceFunc(func() {
	given := false
	flag.Visit(func(f *flag.Flag) {
		if f.Name == "rapid.seed" {
			given = true
		}
	})
	if given {
		return
	}
	if err := flag.Set("rapid.seed", fixedSeed); err != nil {
		panic(err)
	}
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic(err)
	}
})
