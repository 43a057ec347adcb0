package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against lines that are missing or out of order in the merged log of several processes, and against
// stopping at a line that is not JSON.
func TestExplainLogsMergesFilesByTime(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "node-1.log")
	is.NoErr(os.WriteFile(file, []byte(strings.Join([]string{
		`  1.2 node-1 {"time":"2026-12-04T09:00:02Z","level":"INFO","msg":"request failed","node":"node-1","id":"r-1","status":503}`,
		`{"time":"2026-12-04T09:00:03Z","level":"INFO","msg":"request served","node":"node-1","id":"r-2"}`,
		`{"time":"2026-12-04T09:00:01Z","msg":"cut off by r-1`,
		`panic: r-1`,
	}, "\n")), 0o600))
	stdin := strings.NewReader(`{"time":"2026-12-04T09:00:01Z","level":"INFO","msg":"attempt failed","node":"node-2","id":"r-1","attempt":1}` + "\n")
	var printed bytes.Buffer
	is.NoErr(explainLogs([]string{file, "-"}, "r-1", false, stdin, output{stdout: &printed}))
	is.Equal(printed.String(), "2026-12-04T09:00:01Z node-2 attempt failed: id=\"r-1\" attempt=1\n"+
		"2026-12-04T09:00:02Z node-1 request failed: id=\"r-1\" status=503\n")
	is.True(explainLogs([]string{file}, "r-9", false, nil, output{stdout: &printed}) != nil)
	is.True(explainLogs([]string{"does-not-exist"}, "r-1", false, nil, output{stdout: &printed}) != nil)
}
