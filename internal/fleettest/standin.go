package fleettest

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
)

// StandinProgram is the program that runs every kind of stand-in.
const StandinProgram = "jacinthfork-standin"

// Standin is the process of a stand-in.
type Standin struct {
	*Process
	Address string
	// URL is the base URL without a trailing slash.
	URL string
}

// StartStandin starts a stand-in (log, instances, engine or service) on its own address, which Restart keeps.
// settings is the content of its settings file and may be empty.
func StartStandin(t testing.TB, kind, settings string) *Standin {
	t.Helper()
	address := FreeAddress(t, LoopbackIP(t))
	url := "http://" + address
	process := Start(t, Spec{
		Program:  StandinProgram,
		Name:     kind + " " + address,
		Args:     []string{kind, "--address", address, "--settings", WriteFile(t, kind+".toml", settings)},
		ReadyURL: url + "/inspect/counts",
	})
	return &Standin{process, address, url}
}

// Set changes settings of the running stand-in. changes is a JSON object such as {"outage":"hang"}.
func (s *Standin) Set(changes string) {
	s.t.Helper()
	Call(s.t, http.MethodPut, s.URL+"/inspect/settings", changes, nil)
}

// Counts decodes the counters of the stand-in into target.
func (s *Standin) Counts(target any) {
	s.t.Helper()
	Call(s.t, http.MethodGet, s.URL+"/inspect/counts", "", target)
}

// Call sends a request and decodes the JSON response into target unless target is nil. It fails the test if
// the status is not 2xx.
func Call(t testing.TB, method, url, body string, target any) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := callerClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	if response.StatusCode/100 != 2 {
		t.Fatalf("%s %s: %s: %s", method, url, response.Status, text)
	}
	if target == nil {
		return
	}
	if err := json.Unmarshal(text, target); err != nil {
		t.Fatalf("%s %s: %v: %s", method, url, err, text)
	}
}
