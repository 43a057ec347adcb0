package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"jacinthfork.example/jacinthfork/config"
	"jacinthfork.example/jacinthfork/demo"
	"jacinthfork.example/jacinthfork/internal/daemon"
	"jacinthfork.example/jacinthfork/services"
	"jacinthfork.example/jacinthfork/standin/service"
)

// testLimit bounds the waits of a test. It is far above what they need.
const testLimit = 60 * time.Second

// world is a small fleet and the settings file of its operators.
type world struct {
	t        *testing.T
	fleet    *demo.Fleet
	settings string
}

func newWorld(t *testing.T, services int) *world {
	t.Helper()
	options := demo.DefaultOptions()
	options.Size = demo.Size{Routers: 2, Engines: 2, Services: services}
	fleet, err := demo.Start(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	if err := fleet.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	text := fmt.Sprintf("[log]\nuse = \"httplog\"\nhttplog.url = %q\n[instances]\nuse = \"httplist\"\nhttplist.url = %q\n",
		fleet.Log.URL(), fleet.List.URL())
	return &world{t, fleet, writeFile(t, "operator.toml", text)}
}

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// do runs the tool and returns its exit code and everything that it printed.
func (w *world) do(args ...string) (int, string) {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	var out bytes.Buffer
	code := run(ctx, append(args, "--settings", w.settings), output{&out, &out})
	return code, out.String()
}

// until runs the tool until it succeeds and its output has the text.
func (w *world) until(text string, args ...string) {
	w.t.Helper()
	for deadline := time.Now().Add(testLimit); time.Now().Before(deadline); {
		if code, out := w.do(args...); code == daemon.ExitOK && strings.Contains(out, text) {
			return
		}
	}
	w.t.Fatalf("%v does not print %q", args, text)
}

func (w *world) send(method, path, body string, headers map[string]string) *http.Response {
	w.t.Helper()
	request, err := http.NewRequest(method, "http://"+w.fleet.Routers[0].Address()+path, strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	request.Header.Set("Jacinthfork-Organisation", "cooperativa")
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		w.t.Fatal(err)
	}
	response.Body.Close()
	return response
}

func organisationRecord(base uint64, weight int) string {
	return fmt.Sprintf(`{"kind":"organisation","name":"cooperativa","schema":1,"base":%d,"author":"ana","body":{"weight":%d}}`, base, weight)
}

// A change must reach every node before --wait returns, a second change on the same base must be
// told apart from a failure, and a lost append answer must not show as either.
func TestPublish(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 0)
	file := writeFile(t, "record.json", organisationRecord(0, 2))
	settings := w.fleet.Log.Settings()
	settings.LoseAnswers = 1
	w.fleet.Log.SetSettings(settings)
	code, text := w.do("publish", file, "--wait")
	is.Equal(code, daemon.ExitOK) // text
	is.True(strings.Contains(text, "all 4 nodes have revision"))
	for _, r := range w.fleet.Routers {
		is.True(r.ConfigRevision() > 0)
	}
	code, text = w.do("publish", writeFile(t, "other.json", organisationRecord(0, 3)))
	is.Equal(code, exitConflict)
	is.True(strings.Contains(text, fmt.Sprintf("has revision %d", w.fleet.Routers[0].ConfigRevision())))
}

// The revision of an object must be known after its record has expired from the log.
func TestPublishAfterExpiry(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 0)
	code, _ := w.do("publish", writeFile(t, "record.json", organisationRecord(0, 2)), "--wait")
	is.Equal(code, daemon.ExitOK)
	revision := w.fleet.Routers[0].ConfigRevision()
	w.fleet.Log.Expire(config.Stream, revision+1)
	code, text := w.do("publish", writeFile(t, "other.json", organisationRecord(0, 3)))
	is.Equal(code, exitConflict) // text
	is.True(strings.Contains(text, fmt.Sprintf("has revision %d", revision)))
	code, _ = w.do("publish", writeFile(t, "next.json", organisationRecord(revision, 3)), "--wait")
	is.Equal(code, daemon.ExitOK)
}

// A node that can't be read must not count as one that has the revision.
func TestWaitNamesMissingNodes(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 0)
	w.fleet.List.Register(services.Instance{ID: "gone-1", Role: services.RoleRouter, OperatorAddress: "127.0.0.1:1", Region: "bq", FailureDomain: "bq-a"})
	code, text := w.do("publish", writeFile(t, "record.json", organisationRecord(0, 2)), "--wait", "--timeout", "3s")
	is.Equal(code, daemon.ExitFailure)
	is.True(strings.Contains(text, "gone-1"))
	code, text = w.do("status")
	is.Equal(code, daemon.ExitFailure)
	is.True(strings.Contains(text, "1 without status"))
	is.True(strings.Contains(text, "limon-01"))
}

// Operators must find a request in the journals, and its effect on the budgets, by its ID alone.
func TestExplainAndReport(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 0)
	body := `{"model":"limon-llm","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"hola"}]}`
	is.Equal(w.send("POST", "/v1/chat/completions", body, map[string]string{"X-Request-Id": "req-7"}).StatusCode, http.StatusOK)
	w.until("router-1 route: served=limon-", "explain", "req-7") // recorded after the last byte
	code, _ := w.do("explain", "req-8")
	is.Equal(code, daemon.ExitFailure)
	page := filepath.Join(t.TempDir(), "burn.html")
	code, text := w.do("report", "burn", "--json", "--html", page)
	is.Equal(code, daemon.ExitOK)
	is.True(strings.Contains(text, `"organisation": "cooperativa"`))
	html, err := os.ReadFile(page)
	is.NoErr(err)
	is.True(bytes.Contains(html, []byte("cooperativa")))
}

// A finding is an audit record: recording it must not let the action run again.
func TestSettleKeepsTheKeyClosed(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	plain := w.fleet.Services[0]
	plain.SetSettings(service.Settings{Fault: service.FaultDropAfter, FaultCount: 1})
	key := uuid.Must(uuid.NewV7()).String()
	order := func() string {
		return w.send("POST", "/services/pedidos/orders", "print", map[string]string{"Idempotency-Key": key}).Header.Get("Jacinthfork-Verdict")
	}
	settle := []string{"settle", key, "--pool", "pedidos", "--organisation", "cooperativa", "--path", "/orders"}
	finding := append(settle, "--executed", "yes", "--operator", "ana", "--note", "seen in the print room")
	code, _ := w.do(finding...)
	is.Equal(code, exitConflict) // no claim yet
	is.Equal(order(), "unknown")
	w.until("ended, verdict unknown", settle...) // no caller waits for the append of the outcome
	w.until("pedidos-1 claim: outcome unknown", "explain", key)
	code, text := w.do(finding...)
	is.Equal(code, daemon.ExitOK) // text
	is.True(strings.Contains(text, "settled by ana"))
	is.Equal(order(), "unknown")
	is.Equal(plain.Executions(key), 1)
}
