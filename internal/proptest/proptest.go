// Package proptest runs rapid property tests with a fixed seed, so that CI runs are reproducible. For a long run
// with another seed, pass rapid's own flags, for example "go test ./claim -rapid.seed=7 -rapid.checks=100000".
package proptest

import (
	"flag"
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

// setSeed sets rapid's flags, once per process. With defaultSeed it also turns off rapid's failure files.
var setSeed = sync.OnceFunc(func() {
	given := false
	flag.Visit(func(f *flag.Flag) {
		if f.Name == "rapid.seed" {
			given = true
		}
	})
	if given {
		return
	}
	if err := flag.Set("rapid.seed", defaultSeed); err != nil {
		panic(err)
	}
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic(err)
	}
})
