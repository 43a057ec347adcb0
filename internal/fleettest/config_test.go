package fleettest

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"jacinthfork.example/jacinthfork/config"
	"jacinthfork.example/jacinthfork/kernel"
)

// configDeadline is the time within which a configuration must be in force on every process (design, I7).
const configDeadline = 16 * time.Second

// revisionTracker tracks the configuration revision of each process and fails the test if one decreases.
type revisionTracker struct {
	mu      sync.Mutex
	highest map[string]uint64
}

// read returns the revision of a process, or 0 if it does not respond. A restarted process may begin at 0, so
// revisions are tracked for each incarnation.
func (r *revisionTracker) read(t *testing.T, url string) uint64 {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	if !answersOK(url+"/healthz") || ctx.Err() != nil {
		return 0
	}
	var status kernel.Status
	Call(t, http.MethodGet, url+"/debug/fleet", "", &status)
	r.mu.Lock()
	defer r.mu.Unlock()
	name := status.Instance + time.Unix(0, int64(status.Incarnation)).String()
	if status.ConfigRevision < r.highest[name] {
		t.Errorf("%s: revision %d after %d", status.Instance, status.ConfigRevision, r.highest[name])
	}
	r.highest[name] = max(r.highest[name], status.ConfigRevision)
	return status.ConfigRevision
}

// waitInForce waits until every process has the revision. It fails the test after configDeadline.
func (r *revisionTracker) waitInForce(t *testing.T, f *Fleet, want uint64) {
	t.Helper()
	start := time.Now()
	for _, url := range f.operatorURLs() {
		for r.read(t, url) < want {
			if time.Since(start) > configDeadline {
				t.Fatalf("%s: revision %d, want %d after %v", url, r.read(t, url), want, configDeadline)
			}
			time.Sleep(10 * pollInterval)
		}
	}
	t.Logf("revision %d in force after %v", want, time.Since(start))
}

func (f *Fleet) operatorURLs() []string {
	var urls []string
	for _, b := range f.Backends {
		urls = append(urls, b.OperatorURL)
	}
	for _, r := range f.Routers {
		urls = append(urls, r.OperatorURL)
	}
	return urls
}

func publish(t *testing.T, p *config.Publisher, base uint64, body string) uint64 {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	published, err := p.Publish(ctx, config.Change{
		Key:  config.Key{Kind: config.KindPool, Name: "llm", Schema: 1},
		Base: base, Author: "test", Body: []byte(body),
	})
	if err != nil || published.Outcome != config.PublishAccepted {
		t.Fatalf("publish: %+v: %v", published, err)
	}
	return published.Revision
}

// Guards against a configuration that does not reach every process within configDeadline, also one that
// starts or restarts while the log is down, and against a process that reverts to an earlier revision when
// others restart.
func TestConfigurationReachesEveryProcess(t *testing.T) {
	runParallel(t)
	is := is.New(t)
	llm := Pool{Name: "llm", Kind: "engine", Count: 2}
	f := StartFleet(t, FleetSpec{Routers: 2, Pools: []Pool{llm, {Name: "ledger", Kind: "service", Count: 2}}})
	publisher := config.NewPublisher(httplog(t, f.Log.Address))
	seen := &revisionTracker{highest: make(map[string]uint64)}
	first := publish(t, publisher, 0, `{"workload":"model","load_bound":1.5,"queue_seconds":2}`)
	seen.waitInForce(t, f, first)
	second := publish(t, publisher, first, `{"workload":"model","load_bound":2,"queue_seconds":2}`)
	is.True(second > first)
	seen.waitInForce(t, f, second)

	f.Log.Set(`{"outage":"refuse"}`)
	f.AddBackend(llm, "llm-3")
	f.AddRouter("router-3")
	seen.waitInForce(t, f, second)
	f.Routers[0].Restart()
	f.Backends[0].Sidecar.Restart()
	seen.waitInForce(t, f, second)
	f.wantChatsAnswered(t)

	f.Log.Set(`{"outage":"none"}`)
	f.Backends[1].Sidecar.Restart()
	third := publish(t, publisher, second, `{"workload":"model","load_bound":1.5,"queue_seconds":2}`)
	is.True(third > second)
	seen.waitInForce(t, f, third)
}
