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

const examplesDir = "../../examples"

// expectedKind returns the kind that check must report for an example file.
func expectedKind(name string) string {
	switch {
	case strings.HasSuffix(name, ".json"):
		return "configuration record"
	case strings.HasPrefix(name, "sidecar-"):
		return "sidecar settings"
	}
	return strings.TrimSuffix(name, ".toml") + " settings"
}

// Guards against example files that the daemons reject.
func TestExamplesPassCheck(t *testing.T) {
	is := is.New(t)
	counts := make(map[string]int)
	err := filepath.WalkDir(examplesDir, func(file string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		code, out := runCheck(file)
		kind := expectedKind(entry.Name())
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

// If the claim settings differ between operator.toml and a sidecar's file, "jacinthfork settle" looks for a key
// in the wrong stream.
func TestExamplesUseEqualClaimSettings(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob(examplesDir + "/*/operator.toml")
	is.NoErr(err)
	for _, file := range files {
		tool := defaultToolSettings()
		is.NoErr(settings.Load(file, &tool))
		sidecars, err := filepath.Glob(filepath.Dir(file) + "/sidecar-*.toml")
		is.NoErr(err)
		is.Equal(len(sidecars), 2)
		for _, sidecarFile := range sidecars {
			s := sidecar.DefaultSettings()
			is.NoErr(settings.Load(sidecarFile, &s))
			is.Equal(s.Claims, tool.Claims)
		}
	}
}
