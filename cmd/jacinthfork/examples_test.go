package main

import (
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"jacinthfork.example/jacinthfork/internal/daemon"
	"jacinthfork.example/jacinthfork/kernel/settings"
	"jacinthfork.example/jacinthfork/sidecar"
)

const examples = "../../examples"

// exampleKind is what check must take an example file for.
func exampleKind(name string) string {
	switch {
	case strings.HasSuffix(name, ".json"):
		return "configuration record"
	case strings.HasPrefix(name, "sidecar-"):
		return "sidecar settings"
	}
	return strings.TrimSuffix(name, ".toml") + " settings"
}

// An example that a daemon refuses costs every new operator the same search.
func TestExamplesPassCheck(t *testing.T) {
	is := is.New(t)
	counts := make(map[string]int)
	err := filepath.WalkDir(examples, func(file string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		code, out := check(file)
		kind := exampleKind(entry.Name())
		if code != daemon.ExitOK || !strings.Contains(out, "("+kind+")") {
			t.Errorf("%s is not %s: %s", file, kind, out)
		}
		counts[kind]++
		return nil
	})
	is.NoErr(err)
	is.Equal(counts["router settings"], 2)
	is.Equal(counts["sidecar settings"], 4)
	is.Equal(counts["operator settings"], 2)
	is.True(counts["configuration record"] >= 12)
}

// A layout that differs between files makes settle look for a key in the wrong stream.
func TestExamplesAgreeOnClaims(t *testing.T) {
	is := is.New(t)
	operators, err := filepath.Glob(examples + "/*/operator.toml")
	is.NoErr(err)
	for _, file := range operators {
		own := defaultOperatorSettings()
		is.NoErr(settings.Load(file, &own))
		sidecars, err := filepath.Glob(filepath.Dir(file) + "/sidecar-*.toml")
		is.NoErr(err)
		is.Equal(len(sidecars), 2)
		for _, other := range sidecars {
			s := sidecar.DefaultSettings()
			is.NoErr(settings.Load(other, &s))
			is.Equal(s.Claims, own.Claims)
		}
	}
}
