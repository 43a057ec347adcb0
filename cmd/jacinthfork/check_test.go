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

func check(file string) (int, string) {
	var out bytes.Buffer
	code := run(context.Background(), []string{"check", file}, output{&out, &out})
	return code, out.String()
}

// An operator who sees one fault at a time needs one deployment for each.
func TestCheckPrintsAllFaults(t *testing.T) {
	is := is.New(t)
	for text, faults := range map[string][]string{
		"pool = \"limon-llm\"\ncolour = 1\nexchange_interval = \"1h\"\n[log]\nuse = \"none\"\n[dialect]\nuse = \"chat\"\n[instances]\nuse = \"httplist\"\n": {
			"colour: unknown key", "instance: is required", "exchange_interval", "no plug-in named", "base_url", "instances.httplist.url"},
		"[placement]\ntoken_keys = []\n[callers]\ntimeout = 3\n": {"token_keys", "callers.timeout", "listen: is required", "log: is required"},
		"[claims]\nbucket = \"0s\"\n":                            {"claims.bucket", "instances: is required"},
	} {
		code, out := check(writeFile(t, "settings.toml", text))
		is.Equal(code, daemon.ExitUsage)
		for _, fault := range faults {
			if !strings.Contains(out, fault) {
				t.Errorf("%q is not in:\n%s", fault, out)
			}
		}
	}
}

// A record that no node would put in force must be refused before it is in the log.
func TestCheckRefusesRecords(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{
		`{"kind":"pool","name":"p","schema":1,"body":{"workload":"x","load_bound":0}}`,
		`{"kind":"pool","name":"p","schema":9,"body":{}}`,
		`{"kind":"pool","name":"p","schema":1,"colour":1,"body":{"workload":"model"}}`,
		`{"kind":"pool","name":"p","schema":1,"body":{"workload":"model"}} {}`,
		`{"kind":"pool","name":"p","schema":1,"delete":true,"body":{}}`,
	} {
		code, _ := check(writeFile(t, "record.json", text))
		is.Equal(code, daemon.ExitUsage) // text
	}
	code, _ := check(writeFile(t, "record.json", `{"kind":"pool","name":"p","schema":1,"body":{"workload":"model"}}`))
	is.Equal(code, daemon.ExitOK)
}

// A holder that may still run must never count as ended, because its key could still get an outcome.
func TestLivenessOfHolders(t *testing.T) {
	is := is.New(t)
	known := map[string]uint64{"a": 7, "silent": 0}
	is.Equal(liveness(known, "a", 7), claim.Alive)
	is.Equal(liveness(known, "a", 6), claim.Gone)
	is.Equal(liveness(known, "silent", 6), claim.Unsure)
	is.Equal(liveness(known, "unlisted", 6), claim.Gone)
	is.Equal(liveness(nil, "unlisted", 6), claim.Unsure)
}

// A script that takes an unknown outcome for a conflict, or for a success, publishes twice or never.
func TestSettlementsHaveTheirOwnExitCodes(t *testing.T) {
	is := is.New(t)
	var change config.Change
	is.Equal(codeOf(settled(change, config.Published{Settlement: config.SettledAccepted})), daemon.ExitOK)
	is.Equal(codeOf(settled(change, config.Published{Settlement: config.SettledConflict})), exitConflict)
	unknown := settled(change, config.Published{Settlement: config.SettledUnknown, Nonce: "n-1"})
	is.Equal(codeOf(unknown), daemon.ExitFailure)
	is.True(strings.Contains(unknown.Error(), "--nonce n-1"))
}
