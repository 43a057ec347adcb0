package soak

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"jacinthfork.example/jacinthfork/platform/standin"
)

// response is a complete HTTP response.
type response struct {
	status int
	header http.Header
	body   []byte
}

// faultyProxy is a proxy between callers and a gateway that violates one invariant. It alters only one
// request in ten, so that the fleet still works.
type faultyProxy struct {
	name string
	// report is a substring that the reported violations must contain.
	report string
	// serve answers a request. forward sends it to r.URL.Host, which is the gateway unless serve changes it,
	// and previous is the response to an earlier request.
	serve func(f *fleet, r *http.Request, forward func() response, previous *response) response
}

// affectedSuffix is the last digit of the IDs of the requests that a faulty proxy alters.
const affectedSuffix = "3"

var faultyProxies = []faultyProxy{
	{"repeats a non-idempotent request", "ran 2 times", func(_ *fleet, r *http.Request, forward func() response, _ *response) response {
		if strings.HasPrefix(r.URL.Path, "/pay/") {
			forward()
		}
		return forward()
	}},
	{"refuses a request that has run", "was told that it had not", func(_ *fleet, _ *http.Request, forward func() response, _ *response) response {
		forward()
		return response{status: http.StatusServiceUnavailable}
	}},
	{"returns the response to another request", "want", func(_ *fleet, _ *http.Request, _ func() response, previous *response) response {
		return *previous
	}},
	{"truncates a response without an error", "want", func(_ *fleet, _ *http.Request, forward func() response, _ *response) response {
		resp := forward()
		resp.body = resp.body[:len(resp.body)/2]
		return resp
	}},
	{"removes the signature of a response", "without a signature", func(_ *fleet, _ *http.Request, forward func() response, _ *response) response {
		resp := forward()
		resp.header.Del(standin.SignatureHeader)
		return resp
	}},
	{"rejects a caller", "was denied", func(*fleet, *http.Request, func() response, *response) response {
		return response{status: http.StatusUnauthorized}
	}},
	{"reverts to an older configuration", "went back from configuration", func(_ *fleet, r *http.Request, forward func() response, _ *response) response {
		if strings.HasPrefix(r.URL.Path, "/v2/") {
			return response{status: http.StatusNotFound}
		}
		return forward()
	}},
	{"sends to a withdrawn worker", "after its entry was removed", func(f *fleet, r *http.Request, forward func() response, _ *response) response {
		if strings.HasPrefix(r.URL.Path, "/read/") {
			r.URL.Host = f.workers[0].Address()
		}
		return forward()
	}},
	{"does not recover", "after the faults only", func(*fleet, *http.Request, func() response, *response) response {
		return response{status: http.StatusBadGateway}
	}},
}

// insertProxy puts a faulty proxy in front of each gateway.
func (f *fleet) insertProxy(proxy faultyProxy) {
	for n := range f.configs {
		gateway := f.configs[n].CallerAddress
		var previous atomic.Pointer[response]
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			r.URL.Scheme, r.URL.Host, r.RequestURI = "http", gateway, ""
			forward := func() response {
				r.Body = io.NopCloser(bytes.NewReader(body))
				return roundTrip(r)
			}
			earlier := previous.Load()
			var resp response
			if earlier != nil && strings.HasSuffix(standin.RequestID(r), affectedSuffix) {
				resp = proxy.serve(f, r, forward, earlier)
			} else {
				resp = forward()
			}
			if resp.status == http.StatusOK {
				previous.Store(&resp)
			}
			for name, values := range resp.header {
				w.Header()[name] = values
			}
			w.Header().Del("Content-Length") // serve may have changed the length of the body
			w.WriteHeader(resp.status)
			_, _ = w.Write(resp.body)
		}))
		f.t.Cleanup(server.Close)
		f.configs[n].CallerAddress = strings.TrimPrefix(server.URL, "http://")
	}
}

// roundTrip sends a request and reads the complete response. An error or a truncated response becomes a 502.
func roundTrip(r *http.Request) response {
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return response{status: http.StatusBadGateway}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return response{status: http.StatusBadGateway}
	}
	return response{status: resp.StatusCode, header: resp.Header.Clone(), body: body}
}

// Guards against a soak that passes with a router that violates an invariant: the violation of each faulty
// proxy must be reported from what callers and workers observe.
func TestFaultyProxiesAreDetected(t *testing.T) {
	for _, proxy := range faultyProxies {
		t.Run(proxy.name, func(t *testing.T) {
			t.Parallel()
			violations := runSoak(t, 1, 0, func(f *fleet) {
				f.configure()
				f.insertProxy(proxy)
			})
			if !strings.Contains(strings.Join(violations, "\n"), proxy.report) {
				t.Errorf("violation not reported; got %q", violations)
			}
		})
	}
}
