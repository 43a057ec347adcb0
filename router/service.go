package router

import (
	"net/http"

	"jacinthfork.example/jacinthfork/dialect"
	"jacinthfork.example/jacinthfork/placement"
	"jacinthfork.example/jacinthfork/wire"
)

// repeatableMethods are idempotent by RFC 9110, section 9.2.2.
var repeatableMethods = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodOptions: true,
	http.MethodPut: true, http.MethodDelete: true, http.MethodTrace: true,
}

// ownHeaders are meant for the router and not passed on to plain services.
var ownHeaders = map[string]bool{
	headerOrganisation: true, headerChat: true, headerPlacement: true, headerTimeout: true,
	headerRequestID: true, headerLastEvent: true,
}

// serviceWork is the work of a plain call in tokens; plain services count requests.
const serviceWork = 1

// service parses a call of a plain service. An Idempotency-Key marks it as not repeatable.
func (r *Router) service(in *callerRequest) (*call, error) {
	c := r.newCall(in, in.http.PathValue("pool"))
	key := in.http.Header.Get(headerKey)
	c.repeatable = key == "" && repeatableMethods[in.http.Method]
	c.message.IdempotencyKey = key
	c.message.Path = servicePath(in.http)
	c.message.Headers = passedHeaders(in.http.Header)
	c.message.PromptTokens = serviceWork
	c.message.Fingerprint = fingerprintBody(in.organisation, c.pool+" "+in.http.Method+" "+c.message.Path, in.body)
	c.place = placement.Request{Organisation: in.organisation, Work: serviceWork, FailureDomain: r.settings.FailureDomain}
	if key != "" {
		c.place.KeyHash = placement.HashKey(in.organisation, key)
	}
	c.answer = &heldAnswer{
		callerWriter: newCallerWriter(in.w, r.settings.Callers.WriteTimeout),
		limit:        r.settings.Callers.HoldBytes,
	}
	return c, nil
}

// servicePath returns the path and query below /services/<pool>, escaped as the caller sent it.
func servicePath(h *http.Request) string {
	escaped := h.URL.EscapedPath()
	rest := escaped[len("/services/"):]
	for i := range len(rest) {
		if rest[i] == '/' {
			rest = rest[i:]
			break
		}
	}
	if h.URL.RawQuery != "" {
		rest += "?" + h.URL.RawQuery
	}
	return rest
}

func passedHeaders(h http.Header) []*wire.Header {
	var out []*wire.Header
	for _, field := range dialect.ForwardHeaders(h) {
		if !ownHeaders[field.Name] {
			out = append(out, &wire.Header{Name: field.Name, Value: field.Value})
		}
	}
	return out
}
