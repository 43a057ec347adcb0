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

// inForce is the time in which a configuration is in force on every process (design, I7).
const inForce = 16 * time.Second

// revisions follows the configuration revision of processes and notes when one goes down.
type revisions struct {
	mu   sync.Mutex
	high map[string]uint64
}

// read returns the revision of a process, 0 when it does not answer. A process that was restarted may
// begin at 0, so it is followed under the name of its incarnation.
func (r *revisions) read(t *testing.T, url string) uint64 {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), longEnough)
	defer cancel()
	if !answersOK(url+"/healthz") || ctx.Err() != nil {
		return 0
	}
	var status kernel.Status
	Call(t, http.MethodGet, url+"/debug/fleet", "", &status)
	r.mu.Lock()
	defer r.mu.Unlock()
	name := status.Instance + time.Unix(0, int64(status.Incarnation)).String()
	if status.ConfigRevision < r.high[name] {
		t.Errorf("%s: revision %d after %d", status.Instance, status.ConfigRevision, r.high[name])
	}
	r.high[name] = max(r.high[name], status.ConfigRevision)
	return status.ConfigRevision
}

// waitInForce waits until every process has the revision, and fails the test after the target.
func (r *revisions) waitInForce(t *testing.T, f *Fleet, want uint64) {
	t.Helper()
	begun := time.Now()
	for _, url := range f.operatorURLs() {
		for r.read(t, url) < want {
			if time.Since(begun) > inForce {
				t.Fatalf("%s: revision %d, want %d after %v", url, r.read(t, url), want, inForce)
			}
			time.Sleep(10 * pollInterval)
		}
	}
	t.Logf("revision %d in force after %v", want, time.Since(begun))
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
	ctx, cancel := context.WithTimeout(t.Context(), longEnough)
	defer cancel()
	published, err := p.Publish(ctx, config.Change{
		Key:  config.Key{Kind: config.KindPool, Name: "llm", Schema: 1},
		Base: base, Author: "test", Body: []byte(body),
	})
	if err != nil || published.Settlement != config.SettledAccepted {
		t.Fatalf("publish: %+v: %v", published, err)
	}
	return published.Revision
}

// A published record must be in force on every process in time, also on one that starts or restarts
// while the log is down, and no process may go back to an earlier one, whatever restarts around it.
func TestConfigurationInForce(t *testing.T) {
	parallel(t)
	is := is.New(t)
	llm := Pool{Name: "llm", Kind: "engine", Count: 2}
	f := StartFleet(t, FleetSpec{Routers: 2, Pools: []Pool{llm, {Name: "ledger", Kind: "service", Count: 2}}})
	publisher := config.NewPublisher(httplog(t, f.Log.Address))
	seen := &revisions{high: make(map[string]uint64)}
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
	f.wantAnswers(t)

	f.Log.Set(`{"outage":"none"}`)
	f.Backends[1].Sidecar.Restart()
	third := publish(t, publisher, second, `{"workload":"model","load_bound":1.5,"queue_seconds":2}`)
	is.True(third > second)
	seen.waitInForce(t, f, third)
}
