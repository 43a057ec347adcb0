package main

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"
	"jacinthfork.example/jacinthfork/claim"
	"jacinthfork.example/jacinthfork/config"
	"jacinthfork.example/jacinthfork/internal/daemon"
)

func runCheck(file string) (int, string) {
	var out bytes.Buffer
	code := run(context.Background(), []string{"check", file}, output{&out, &out})
	return code, out.String()
}

// If check stopped at the first error, an operator would need one deployment for each error in
// a file.
func TestCheckPrintsAllFaults(t *testing.T) {
	is := is.New(t)
	for text, wanted := range map[string][]string{
		"pool = \"limon-llm\"\ncolour = 1\nexchange_interval = \"1h\"\n[log]\nuse = \"none\"\n[dialect]\nuse = \"chat\"\n[instances]\nuse = \"httplist\"\n": {
			"colour: unknown key", "instance: is required", "exchange_interval", "no plug-in named", "base_url", "instances.httplist.url"},
		"[placement]\ntoken_keys = []\n[callers]\ntimeout = 3\n": {"token_keys", "callers.timeout", "listen: is required", "log: is required"},
		"[claims]\nbucket = \"0s\"\n":                            {"claims.bucket", "instances: is required"},
	} {
		code, out := runCheck(writeFile(t, "settings.toml", text))
		is.Equal(code, daemon.ExitUsage)
		for _, want := range wanted {
			if !strings.Contains(out, want) {
				t.Errorf("%q is not in:\n%s", want, out)
			}
		}
	}
}

// Guards against publishing a record that every node would reject: it must be rejected before it is appended
// to the log.
func TestCheckRejectsInvalidRecords(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{
		`{"kind":"pool","name":"p","schema":1,"body":{"workload":"x","load_bound":0}}`,
		`{"kind":"pool","name":"p","schema":9,"body":{}}`,
		`{"kind":"pool","name":"p","schema":1,"colour":1,"body":{"workload":"model"}}`,
		`{"kind":"pool","name":"p","schema":1,"body":{"workload":"model"}} {}`,
		`{"kind":"pool","name":"p","schema":1,"delete":true,"body":{}}`,
	} {
		code, _ := runCheck(writeFile(t, "record.json", text))
		is.Equal(code, daemon.ExitUsage) // every record in the list is invalid
	}
	code, _ := runCheck(writeFile(t, "record.json", `{"kind":"pool","name":"p","schema":1,"body":{"workload":"model"}}`))
	is.Equal(code, daemon.ExitOK)
}

// A claim holder that may still run must never count as ended, because it could still record an outcome for
// its key.
func TestHolderIsGoneOnlyIfUnlistedOrRestarted(t *testing.T) {
	is := is.New(t)
	known := map[string]uint64{"a": 7, "silent": 0}
	is.Equal(liveness(known, "a", 7), claim.LivenessAlive)
	is.Equal(liveness(known, "a", 6), claim.LivenessEnded)
	is.Equal(liveness(known, "silent", 6), claim.LivenessUnknown)
	is.Equal(liveness(known, "unlisted", 6), claim.LivenessEnded)
	is.Equal(liveness(nil, "unlisted", 6), claim.LivenessUnknown)
}

// A script that mistakes an unknown outcome for a conflict or a success publishes a change twice or not at all.
func TestPublishExitCodesDistinguishOutcomes(t *testing.T) {
	is := is.New(t)
	var change config.Change
	is.Equal(exitCode(publishError(change, config.PublishResult{Outcome: config.PublishAccepted})), daemon.ExitOK)
	is.Equal(exitCode(publishError(change, config.PublishResult{Outcome: config.PublishConflict})), exitConflict)
	unknown := publishError(change, config.PublishResult{Outcome: config.PublishUnknown, Nonce: "n-1"})
	is.Equal(exitCode(unknown), daemon.ExitFailure)
	is.True(strings.Contains(unknown.Error(), "--nonce n-1"))
}
