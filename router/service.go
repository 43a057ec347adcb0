package router

import (
	"net/http"

	"jacinthfork.example/jacinthfork/claim"
	"jacinthfork.example/jacinthfork/dialect"
	"jacinthfork.example/jacinthfork/placement"
	"jacinthfork.example/jacinthfork/wire"
)

// idempotentMethods are the idempotent methods of RFC 9110, section 9.2.2.
var idempotentMethods = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodOptions: true,
	http.MethodPut: true, http.MethodDelete: true, http.MethodTrace: true,
}

// routerHeaders are consumed by the router and not forwarded to plain services.
var routerHeaders = map[string]bool{
	headerOrganisation: true, headerChat: true, headerPlacement: true, headerTimeout: true,
	headerRequestID: true, headerLastEvent: true,
}

// serviceWork is the work of a request to a plain service. The load of a plain service is its number of
// requests, so each counts 1.
const serviceWork = 1

// parseService parses a request to a plain service. A request with an Idempotency-Key is not repeatable: the
// router makes no further attempt after one that may have run, although a sidecar claims the key before it
// executes the request.
func (r *Router) parseService(in *callerRequest) (*call, error) {
	c := r.newCall(in, in.http.PathValue("pool"))
	key := in.http.Header.Get(headerIdempotencyKey)
	c.repeatable = key == "" && idempotentMethods[in.http.Method]
	c.template.IdempotencyKey = key
	c.template.Path = servicePath(in.http)
	c.template.Headers = forwardedHeaders(in.http.Header)
	c.template.PromptTokens = serviceWork
	c.template.Fingerprint = fingerprintCall(in.organisation, c.pool+" "+in.http.Method+" "+c.template.Path, in.body)
	c.placementReq = placement.Request{Organisation: in.organisation, Work: serviceWork, FailureDomain: r.settings.FailureDomain}
	if key != "" {
		if err := r.placeAction(c, key); err != nil {
			return nil, err
		}
	}
	c.response = &bufferedResponse{
		callerWriter: newCallerWriter(in.w, r.settings.Callers.WriteTimeout),
		bufferLimit:  r.settings.Callers.BufferBytes,
	}
	return c, nil
}

// placeAction sets the placement key of an action, which is a request with an Idempotency-Key. All actions of
// one claim stream, the log stream that records the claims of their keys, go to one sidecar, which is then the
// only writer of the stream. placeAction rejects an invalid key.
func (r *Router) placeAction(c *call, key string) error {
	layout := claim.Layout{Pool: c.pool, Partitions: r.settings.Claims.Partitions, Bucket: r.settings.Claims.Bucket}
	stream, err := layout.Stream(claim.Action{
		Organisation: c.organisation, Method: c.template.GetMethod(), Path: c.template.GetPath(), Key: key, Body: c.body,
	})
	if err != nil {
		return err
	}
	c.placementReq.KeyHash = placement.HashKey("", stream)
	return nil
}

// servicePath returns the path and query after /services/<pool>, escaped as the caller sent them.
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

func forwardedHeaders(h http.Header) []*wire.Header {
	var out []*wire.Header
	for _, field := range dialect.ForwardHeaders(h) {
		if !routerHeaders[field.Name] {
			out = append(out, &wire.Header{Name: field.Name, Value: field.Value})
		}
	}
	return out
}
