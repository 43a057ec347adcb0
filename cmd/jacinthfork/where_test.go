package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"jacinthfork.example/jacinthfork/gateway"
	"jacinthfork.example/jacinthfork/internal/daemon"
	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/platform"
	"jacinthfork.example/jacinthfork/platform/standin"
)

const (
	whereTestKey  = "key-of-org-1"
	whereTestHost = "api.example"
)

// testGateway is a gateway on a stand-in of the platform, with its operators' port.
type testGateway struct {
	*gateway.Gateway
	t         *testing.T
	operators string
	workers   []*standin.Worker
}

// newTestGateway starts a gateway before workers of a plain service and engines, and waits until it knows them.
func newTestGateway(t *testing.T) *testGateway {
	t.Helper()
	store := standin.NewStore()
	t.Cleanup(store.Close)
	route := func(name, prefix, backend string) map[string]any {
		return map[string]any{"name": name, "host": whereTestHost, "path-prefix": prefix, "mode": "idempotent", "timeout-ms": 3000, "slo-ms": 300,
			"priority": 1, "backend": backend, "attempts": 1, "public": false}
	}
	store.PutJSON(standin.OperatorTopic, "config", map[string]any{
		"version": 3, "routes": []any{route("plain-route", "/x/", "plain"), route("chat-route", "/chat/", "llm")},
		"backends": []any{
			map[string]any{"name": "plain", "health-path": "/healthz", "max-conns": 100, "protocol": "h1"},
			map[string]any{"name": "llm", "health-path": "/healthz", "max-conns": 100, "protocol": "h1", "engine": map[string]any{"slots": 64, "kv-tokens": 100000}},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 100000, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "org-1", "api-keys": []string{whereTestKey}, "priority": 2}},
	})
	g := &testGateway{t: t}
	for n, pool := range []string{"plain", "plain", "llm", "llm", "llm"} {
		w := standin.NewWorker(fmt.Sprintf("w-%d", n), pool, "zone-a")
		t.Cleanup(w.Crash)
		g.workers = append(g.workers, w)
		store.PutJSON(standin.InstanceTopic, w.ID, w.Entry("ready"))
	}
	s := gateway.DefaultSettings()
	s.Node, s.FailureDomain = "node-0", "zone-a"
	s.CallerAddress, s.ReadyAddress, s.PeerAddress = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	source := platform.NewStore(store.Address(), func(string, string) {})
	var err error
	g.Gateway, err = gateway.New(s, gateway.Dependencies{
		Protocol: platform.Protocol{}, Decoder: platform.Decoder{}, Source: source, Directory: source, Log: slog.New(slog.DiscardHandler), Counters: kernel.NewCounters(),
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	if err := g.Start(ctx); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cancel(); g.Close() })
	mux := http.NewServeMux()
	mux.Handle("/where", g.WhereHandler())
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	g.operators = server.Listener.Addr().String()
	for deadline := time.Now().Add(testTimeout); !g.Ready(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the gateway is not ready")
		}
	}
	return g
}

// where runs the command with the given standard input and returns its exit code and its output.
func where(t *testing.T, stdin string, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "stdin")
	if err := os.WriteFile(file, []byte(stdin), 0o600); err != nil {
		t.Fatal(err)
	}
	in, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer in.Close()
	before := os.Stdin
	os.Stdin = in
	defer func() { os.Stdin = before }()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var out, errs bytes.Buffer
	code = run(ctx, append([]string{"where"}, args...), output{&out, &errs})
	return code, out.String(), errs.String()
}

const whereRequest = "POST /chat/1?a=b HTTP/1.1\r\nHost: " + whereTestHost + "\r\nX-Request-Id: id-1\r\nApi-Key: " + whereTestKey +
	"\r\n" + standin.TokenCountHeader + ": 9100,20\r\n" + standin.PromptHeader + ": d0c0d0c0:9000,9e9e9e9e:100\r\nX-Deadline-Ms: 2000\r\nContent-Length: 12\r\n\r\nprompt text!"

// Guards against an answer to the text of a request that differs from where the request arrives, and against a key or a prompt
// in the output.
func TestWhereForetellsWhereTheRequestOfTheTextArrives(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t)
	// The first answer is for a prompt that no engine has, the second for one that an engine has.
	for _, rule := range []string{"first-of-order", "cached"} {
		code, text, errs := where(t, whereRequest, "--gateway", g.operators, "--request", "-", "--json")
		is.Equal(errs, "")
		is.Equal(code, daemon.ExitOK)
		for _, secret := range []string{whereTestKey, "d0c0d0c0", "9e9e9e9e", "prompt text"} {
			is.True(!strings.Contains(text, secret))
		}
		var results []struct {
			Gateway string
			Answer  gateway.WhereAnswer
		}
		is.NoErr(json.Unmarshal([]byte(text), &results))
		is.Equal(len(results), 1)
		a := results[0].Answer
		is.Equal(results[0].Gateway, g.operators)
		is.Equal(a.Outcome, gateway.OutcomeRun)
		is.Equal([]any{a.Node, a.Route, a.Pool, a.Organisation, a.Priority}, []any{"node-0", "chat-route", "llm", "org-1", 2})
		is.Equal(a.Instance.Rule, rule)
		is.Equal(len(a.Next), 2)
		is.Equal(a.Data.ConfigurationVersion, uint64(3))
		is.True(a.Data.InstancesAgeMillis >= 0 && a.Data.ConfigurationAgeMillis >= 0)
		for _, w := range g.workers {
			is.Equal(len(w.Arrivals()) > 0, rule == "cached" && w.ID == a.Instance.Instance) // a question reaches no instance
		}
		conn, err := net.Dial("tcp", g.CallerAddress())
		is.NoErr(err)
		_, err = conn.Write([]byte(whereRequest))
		is.NoErr(err)
		answer := make([]byte, 12)
		_, err = conn.Read(answer)
		is.NoErr(err)
		is.Equal(string(answer), "HTTP/1.1 200")
		conn.Close()
		for _, w := range g.workers {
			is.Equal(len(w.Arrivals()) > 0, w.ID == a.Instance.Instance)
		}
	}
	code, text, _ := where(t, whereRequest, "--gateway", g.operators, "--request", "-")
	is.Equal(code, daemon.ExitOK)
	for _, part := range []string{"node-0 (" + g.operators + "): runs at w-", "route chat-route, pool llm", "organisation org-1, priority 2", "chosen  w-",
		"has cached at least half of the prompt", "9100 tokens cached", "next    w-", "instances", "configuration 3"} {
		is.True(strings.Contains(text, part)) // part of the text
	}
	is.True(!strings.Contains(text, whereTestKey))
}

// Guards against flags that are ignored, or do not override the text of a request.
func TestWhereAsksByFlags(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t)
	ask := func(stdin string, args ...string) gateway.WhereAnswer {
		t.Helper()
		code, text, errs := where(t, stdin, append([]string{"--gateway", g.operators, "--json"}, args...)...)
		is.Equal(errs, "")
		is.Equal(code, daemon.ExitOK)
		var results []struct{ Answer gateway.WhereAnswer }
		is.NoErr(json.Unmarshal([]byte(text), &results))
		return results[0].Answer
	}
	a := ask("", "--route", "plain-route", "--organisation", "org-1", "--priority", "0")
	is.Equal([]any{a.Pool, a.Organisation, a.Priority, a.Instance.Rule}, []any{"plain", "org-1", 0, "least-loaded"})
	is.Equal(len(a.Instance.TiedWith), 1)
	is.True(a.Random)
	a = ask("", "--host", whereTestHost, "--path", "/chat/2", "--key", whereTestKey, "--parts", "aa:5000,bb:100")
	is.Equal([]any{a.Route, a.Pool, a.Priority, a.Instance.Rule}, []any{"chat-route", "llm", 2, "first-of-order"})
	a = ask(whereRequest, "--request", "-", "--route", "plain-route", "--priority", "5")
	is.Equal([]any{a.Route, a.Pool, a.Priority}, []any{"plain-route", "plain", 5})
}

// Guards against errors that do not tell an operator what is wrong, and against a success although a gateway gave no answer.
func TestWhereErrorsAreClear(t *testing.T) {
	g := newTestGateway(t)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "{}") }))
	t.Cleanup(other.Close)
	at := []string{"--gateway", g.operators}
	for name, c := range map[string]struct {
		stdin string
		args  []string
		code  int
		says  string
	}{
		"no gateway":      {args: []string{"--route", "plain-route"}, code: daemon.ExitUsage, says: "--gateway is required"},
		"no request":      {args: at, code: daemon.ExitUsage, says: "--route, --host and --path, or --request is required"},
		"no text":         {args: append(at, "--request", "-"), code: daemon.ExitUsage, says: "the text is not an HTTP request"},
		"text without ID": {stdin: "GET /x/1 HTTP/1.1\nHost: h\n\n", args: append(at, "--request", "-"), code: daemon.ExitUsage, says: "the request has no id"},
		"cut text":        {stdin: strings.TrimSuffix(whereRequest, "text!"), args: append(at, "--request", "-"), code: daemon.ExitUsage, says: "the body of the request"},
		"no file":         {args: append(at, "--request", "does-not-exist"), code: daemon.ExitUsage, says: "does-not-exist"},
		"parts":           {args: append(at, "--route", "chat-route", "--parts", "aa"), code: daemon.ExitUsage, says: "ID:TOKENS"},
		"priority":        {args: append(at, "--route", "chat-route", "--organisation", "org-1", "--priority", "99"), code: daemon.ExitFailure, says: "the priority is 99"},
		"unknown route":   {args: append(at, "--route", "no-route"), code: daemon.ExitFailure, says: "unknown-route"},
		"no key":          {args: append(at, "--route", "plain-route"), code: daemon.ExitFailure, says: "not allowed: the route needs a known key"},
		"organisation":    {args: append(at, "--route", "plain-route", "--organisation", "org-9"), code: daemon.ExitFailure, says: `no organisation is named "org-9"`},
		"gateway away":    {args: []string{"--gateway", closed.Addr().String(), "--route", "plain-route"}, code: daemon.ExitFailure, says: "gateway away"},
		"callers' port":   {args: []string{"--gateway", g.CallerAddress(), "--route", "plain-route", "--organisation", "org-1"}, code: daemon.ExitFailure, says: "not allowed: "},
		"another program": {args: []string{"--gateway", other.Listener.Addr().String(), "--route", "plain-route"}, code: daemon.ExitFailure, says: "not allowed: "},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			code, _, errs := where(t, c.stdin, c.args...)
			is.Equal(code, c.code)
			if !strings.Contains(errs, c.says) {
				t.Errorf("the error is %q, want %q in it", errs, c.says)
			}
			is.True(!strings.Contains(errs, whereTestKey))
		})
	}
	t.Run("one of two", func(t *testing.T) {
		is := is.New(t)
		code, text, errs := where(t, "", "--gateway", closed.Addr().String(), "--gateway", g.operators, "--route", "plain-route", "--organisation", "org-1")
		is.Equal(code, daemon.ExitFailure)
		is.True(strings.Contains(text, "runs at w-"))
		is.True(strings.Contains(errs, "1 of 2 gateways gave no answer"))
	})
}
