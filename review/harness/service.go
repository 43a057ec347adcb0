package harness

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"jacinthfork.example/jacinthfork/platform/standin"
)

// Route is a route of the configuration.
type Route struct {
	Prefix, Mode string
	Attempts     int
	// Objective and Timeout default to 300 and 1,500 ms.
	Objective, Timeout time.Duration
}

// Configure writes a configuration whose routes all lead to the plain service Service.
func (s *Script) Configure(version int, routes ...Route) {
	var list []any
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": "r" + r.Prefix, "host": standin.Host, "path-prefix": r.Prefix, "mode": r.Mode, "backend": Service,
			"timeout-ms": cmp.Or(r.Timeout, 1500*time.Millisecond).Milliseconds(), "slo-ms": cmp.Or(r.Objective, 300*time.Millisecond).Milliseconds(), "priority": 2, "attempts": r.Attempts, "public": false,
		})
	}
	s.Store.PutJSON("keyed.op", "config", map[string]any{
		"version": version, "routes": list,
		"backends": []any{map[string]any{"name": Service, "health-path": "/healthz", "max-conns": 100}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": MaxBodyBytes, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []any{map[string]any{"name": "org-1", "api-keys": []string{standin.Key}}},
	})
	s.Note("configuration %d confirmed", version)
}

// Service is the name of the plain service.
const Service = "pedidos"

// Consumer sends requests over kept connections.
type Consumer struct {
	// Deadline is how long the consumer waits.
	Deadline  time.Duration
	script    *Script
	transport *http.Transport
}

// NewConsumer returns a consumer.
func (s *Script) NewConsumer() *Consumer {
	return &Consumer{Deadline: 1500 * time.Millisecond, script: s, transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}}
}

// Send sends a request to a gateway and records it with its answer.
func (c *Consumer) Send(g *Gateway, id, method, path, body string) standin.CallerResponse {
	ctx, cancel := context.WithTimeout(context.Background(), c.Deadline)
	defer cancel()
	begin := time.Now()
	resp := standin.CallerRequest{ID: id, Method: method, Path: path, Body: body, Timeout: c.Deadline}.Send(ctx, c.transport, g.Caller)
	c.script.Note("%s %s %s at %s: status %d, signed %t, error %v, %d ms", id, method, path, g.Name, resp.Status, resp.Signed, resp.Err, time.Since(begin).Milliseconds())
	return resp
}
