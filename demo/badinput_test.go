package demo

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"jacinthfork.example/jacinthfork/internal/httpcheck"
	"jacinthfork.example/jacinthfork/router"
)

// problemDocument holds the fields of a problem response that callers act on.
type problemDocument struct {
	Verdict   string `json:"verdict"`
	Reason    string `json:"reason"`
	RequestID string `json:"request_id"`
}

// Invalid requests must get a specific error with a verdict that is certain, must not reach a backend server,
// and must not affect other callers.
func TestInvalidRequestsAreRejectedWithVerdict(t *testing.T) {
	is := is.New(t)
	options := DefaultOptions()
	options.Size = Size{Routers: 1, Engines: 1, Services: 1}
	options.Router = func(s *router.Settings) { s.Callers.BodyTimeout = time.Second }
	fleet, err := Start(options)
	is.NoErr(err)
	defer fleet.Close()
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	is.NoErr(fleet.WaitReady(ctx))
	const chat, action = "/v1/chat/completions", "/services/" + ServicePool + "/orders"
	good := `{"model":"` + ModelPool + `","messages":[{"role":"user","content":"hi"}]}`
	for name, c := range map[string]struct {
		path, body string
		header     [2]string
		status     int
		reason     string
	}{
		"no organisation":    {chat, good, [2]string{"Jacinthfork-Organisation", ""}, 400, "missing-organisation"},
		"malformed JSON":     {chat, `{"model":`, [2]string{}, 400, "bad-request"},
		"no messages":        {chat, `{"model":"` + ModelPool + `"}`, [2]string{}, 400, "bad-request"},
		"no model":           {chat, `{"messages":[]}`, [2]string{}, 404, "unknown-pool"},
		"unknown model":      {chat, strings.Replace(good, ModelPool, "none", 1), [2]string{}, 404, "unknown-pool"},
		"unknown service":    {"/services/none/x", "", [2]string{}, 404, "unknown-pool"},
		"unknown endpoint":   {"/v2/chat", "", [2]string{}, 404, "unknown-pool"},
		"large body":         {chat, strings.Repeat("x", 9<<20), [2]string{}, 413, "too-large"},
		"large header":       {chat, good, [2]string{"X-Long", strings.Repeat("x", 80<<10)}, 413, "too-large"},
		"bad request id":     {chat, good, [2]string{"X-Request-Id", "a b"}, 400, "bad-request"},
		"bad timeout":        {chat, good, [2]string{"Jacinthfork-Timeout", "soon"}, 400, "bad-request"},
		"resume without id":  {chat, good, [2]string{"Last-Event-Id", "3"}, 400, "bad-request"},
		"key is not UUIDv7":  {action, "pay", [2]string{"Idempotency-Key", "0"}, 400, "key-invalid"},
		"key from year 2000": {action, "pay", [2]string{"Idempotency-Key", "00dc6acf-ac00-7000-8000-000000000000"}, 400, "key-expired"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+fleet.Routers[0].Address()+c.path, strings.NewReader(c.body))
			is.NoErr(err)
			req.Header.Set("Jacinthfork-Organisation", "org")
			if c.header[0] != "" {
				req.Header.Set(c.header[0], c.header[1])
			}
			resp, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			defer resp.Body.Close()
			var got problemDocument
			is.NoErr(json.NewDecoder(resp.Body).Decode(&got))
			is.Equal(resp.StatusCode, c.status)
			is.Equal(got.Reason, c.reason)
			is.True(got.RequestID != "")
			is.Equal(resp.Header.Get("Jacinthfork-Verdict"), got.Verdict)
			if c.reason != "key-expired" { // an expired key may have been used, so its verdict may be unknown
				is.Equal(got.Verdict, "not-run")
			}
		})
	}
	is.Equal(sendIncompleteBody(t, fleet.Routers[0].Address()), http.StatusBadRequest)
	is.Equal(fleet.Engines[0].Counters().Accepted, int64(0))
	is.Equal(fleet.Services[0].Counters().Requests, int64(0))
	result, err := fleet.Run(ctx, Workload{Chats: 2, Turns: 1, Actions: 1, Seed: 1})
	is.NoErr(err)
	is.Equal(result.WholeAnswers, result.Requests)
}

// sendIncompleteBody sends a request whose body is never completed and returns the response status.
func sendIncompleteBody(t *testing.T, address string) int {
	is := is.New(t)
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(conn.SetDeadline(time.Now().Add(runTimeout)))
	fmt.Fprint(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nJacinthfork-Organisation: org\r\nContent-Length: 100\r\n\r\n{")
	resp, err := http.ReadResponse(bufio.NewReader(httpcheck.NewReader(conn, nil)), nil)
	is.NoErr(err)
	defer resp.Body.Close()
	return resp.StatusCode
}
