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

// answer is one answer as a whole.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// variant is a router that breaks one promise. It stands between callers and a gateway and is asked for one request
// in ten only, so that the fleet still works.
type variant struct {
	name string
	// report is a part of what the soak must say.
	report string
	// serve answers a request; pass sends it to r.URL.Host, at first the gateway, and previous is the answer to
	// an earlier request.
	serve func(f *fleet, r *http.Request, pass func() answer, previous *answer) answer
}

// affectedSuffix ends the IDs of the requests that variants answer.
const affectedSuffix = "3"

var variants = []variant{
	{"repeats what may have run", "ran 2 times", func(_ *fleet, r *http.Request, pass func() answer, _ *answer) answer {
		if strings.HasPrefix(r.URL.Path, "/pay/") {
			pass()
		}
		return pass()
	}},
	{"refuses what has run", "was told that it had not", func(_ *fleet, _ *http.Request, pass func() answer, _ *answer) answer {
		pass()
		return answer{status: http.StatusServiceUnavailable}
	}},
	{"gives the answer of another caller", "want", func(_ *fleet, _ *http.Request, _ func() answer, previous *answer) answer {
		return *previous
	}},
	{"ends a cut answer as if it were whole", "want", func(_ *fleet, _ *http.Request, pass func() answer, _ *answer) answer {
		a := pass()
		a.body = a.body[:len(a.body)/2]
		return a
	}},
	{"answers for a worker", "without a signature", func(_ *fleet, _ *http.Request, pass func() answer, _ *answer) answer {
		a := pass()
		a.header.Del(standin.SignatureHeader)
		return a
	}},
	{"denies a caller", "was denied", func(*fleet, *http.Request, func() answer, *answer) answer {
		return answer{status: http.StatusUnauthorized}
	}},
	{"forgets a configuration", "went back from configuration", func(_ *fleet, r *http.Request, pass func() answer, _ *answer) answer {
		if strings.HasPrefix(r.URL.Path, "/v2/") {
			return answer{status: http.StatusNotFound}
		}
		return pass()
	}},
	{"sends to a worker that has left", "after its entry was removed", func(f *fleet, r *http.Request, pass func() answer, _ *answer) answer {
		if strings.HasPrefix(r.URL.Path, "/read/") {
			r.URL.Host = f.workers[0].Address()
		}
		return pass()
	}},
	{"does not recover", "after the faults only", func(*fleet, *http.Request, func() answer, *answer) answer {
		return answer{status: http.StatusBadGateway}
	}},
}

// interpose puts a variant before each gateway.
func (f *fleet) interpose(v variant) {
	for n := range f.places {
		gateway := f.places[n].Callers
		var previous atomic.Pointer[answer]
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			r.URL.Scheme, r.URL.Host, r.RequestURI = "http", gateway, ""
			pass := func() answer {
				r.Body = io.NopCloser(bytes.NewReader(body))
				return exchange(r)
			}
			before := previous.Load()
			var a answer
			if before != nil && strings.HasSuffix(standin.RequestID(r), affectedSuffix) {
				a = v.serve(f, r, pass, before)
			} else {
				a = pass()
			}
			if a.status == http.StatusOK {
				previous.Store(&a)
			}
			for name, values := range a.header {
				w.Header()[name] = values
			}
			w.Header().Del("Content-Length") // that of the body as it is now
			w.WriteHeader(a.status)
			_, _ = w.Write(a.body)
		}))
		f.t.Cleanup(server.Close)
		f.places[n].Callers = strings.TrimPrefix(server.URL, "http://")
	}
}

// exchange sends a request on and reads the whole answer. A broken one becomes a 502.
func exchange(r *http.Request) answer {
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return answer{status: http.StatusBadGateway}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{status: http.StatusBadGateway}
	}
	return answer{status: resp.StatusCode, header: resp.Header.Clone(), body: body}
}

// Guards against a soak that passes a router which breaks a promise: each variant must be caught, from what
// callers and workers see.
func TestBrokenRoutersAreCaught(t *testing.T) {
	for _, v := range variants {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			broken := soak(t, 1, 0, func(f *fleet) {
				f.configure()
				f.interpose(v)
			})
			if !strings.Contains(strings.Join(broken, "\n"), v.report) {
				t.Errorf("not found; the soak says %q", broken)
			}
		})
	}
}
