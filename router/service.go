package router

import (
	"net/http"

	"jacinthfork.example/jacinthfork/claim"
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
		if err := r.placeAction(c, key); err != nil {
			return nil, err
		}
	}
	c.answer = &heldAnswer{
		callerWriter: newCallerWriter(in.w, r.settings.Callers.WriteTimeout),
		limit:        r.settings.Callers.HoldBytes,
	}
	return c, nil
}

// placeAction sends all actions of one claim stream to one sidecar, which is then the stream's only
// writer. An invalid key is refused here.
func (r *Router) placeAction(c *call, key string) error {
	layout := claim.Layout{Pool: c.pool, Partitions: r.settings.Claims.Partitions, Bucket: r.settings.Claims.Bucket}
	stream, err := layout.Stream(claim.Action{
		Organisation: c.organisation, Method: c.message.GetMethod(), Path: c.message.GetPath(), Key: key, Body: c.body,
	})
	if err != nil {
		return err
	}
	c.place.KeyHash = placement.HashKey("", stream)
	return nil
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
