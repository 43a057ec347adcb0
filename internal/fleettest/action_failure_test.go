package fleettest

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"jacinthfork.example/jacinthfork/standin/logservice"
	"jacinthfork.example/jacinthfork/standin/service"
	"jacinthfork.example/jacinthfork/verdict"
)

// actionTimeout is the deadline, in seconds, of actions whose sidecar may never respond.
const actionTimeout = "4"

// startAction sends an action with a deadline of actionTimeout in the background.
func startAction(t *testing.T, r *Router, key string) <-chan Reply {
	t.Helper()
	result := make(chan Reply, 1)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	go func() {
		header := http.Header{service.DefaultKeyHeader: {key}, "Jacinthfork-Timeout": {actionTimeout}}
		result <- r.Do(ctx, http.MethodPost, "/services/ledger/orders", "org", "pay", header)
	}()
	return result
}

// stopCase specifies how and when a sidecar is stopped during an action.
type stopCase struct {
	name string
	// claiming stops the sidecar while it appends the claim to the log instead of while the service executes.
	claiming bool
	kill     bool
}

// Guards against an action that runs twice, or gets a false verdict, when its sidecar is killed or paused
// while it claims or runs the action. The action is repeated through another router while the sidecar is
// stopped, and through both routers afterwards.
func TestActionRunsOnceWhenSidecarStops(t *testing.T) {
	t.Parallel()
	for _, c := range []stopCase{
		{"killed while claiming", true, true},
		{"paused while claiming", true, false},
		{"killed while running", false, true},
		{"paused while running", false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			runParallel(t)
			stopDuringAction(t, c)
		})
	}
}

func stopDuringAction(t *testing.T, c stopCase) {
	t.Helper()
	is := is.New(t)
	f := StartFleet(t, FleetSpec{Routers: 2, Pools: []Pool{{Name: "ledger", Kind: "service", Count: 2}}})
	for _, r := range f.Routers {
		is.Equal(r.SendAction(t.Context(), "ledger", newIdempotencyKey(t), "first").Verdict, verdict.Ran)
	}
	key := newIdempotencyKey(t)
	handler, first := f.beginAction(t, c, key)
	if c.kill {
		handler.Sidecar.Kill()
	} else {
		handler.Sidecar.Pause()
	}
	f.Log.Set(`{"append_delay":"0s"}`)
	repeat := <-startAction(t, f.Routers[1], key)
	f.checkVerdicts(t, key, repeat)
	if c.kill {
		handler.Sidecar.Restart()
	} else {
		handler.Sidecar.Resume()
	}
	reply := <-first
	t.Logf("first %v %s, repeat %v %s", reply.Verdict, reply.Body, repeat.Verdict, repeat.Body)
	f.checkVerdicts(t, key, repeat, reply)
	for _, r := range f.Routers {
		later := <-startAction(t, r, key)
		t.Logf("later %v %s", later.Verdict, later.Body)
		f.checkVerdicts(t, key, repeat, reply, later)
	}
}

// beginAction sends an action, waits until the point at which c stops the sidecar and returns the backend
// that handles the action.
func (f *Fleet) beginAction(t *testing.T, c stopCase, key string) (*Backend, <-chan Reply) {
	t.Helper()
	const delay = `"500ms"`
	if c.claiming {
		f.Log.Set(`{"append_delay":` + delay + `,"fault_prefix":"claims/"}`)
	} else {
		for _, b := range f.Backends {
			b.Server.Set(`{"delay_before":` + delay + `,"delay_after":` + delay + `}`)
		}
	}
	appends, sent, requests := f.appends(), make([]int64, len(f.Backends)), make([]int64, len(f.Backends))
	for i, b := range f.Backends {
		sent[i], requests[i] = b.LogRelay.Bytes(ToTarget), b.requests()
	}
	first := startAction(t, f.Routers[0], key)
	if c.claiming {
		waitFor(t, func() bool { return f.appends() > appends })
	}
	handler := 0
	waitFor(t, func() bool {
		for i, b := range f.Backends {
			if c.claiming && b.LogRelay.Bytes(ToTarget) > sent[i] || !c.claiming && b.requests() > requests[i] {
				handler = i
				return true
			}
		}
		return false
	})
	return f.Backends[handler], first
}

func (f *Fleet) appends() int64 {
	var counters logservice.Counters
	f.Log.Counts(&counters)
	return counters.Appends
}

func (b *Backend) requests() int64 {
	var counters service.Counters
	b.Server.Counts(&counters)
	return counters.Requests
}

// checkVerdicts fails the test if the action was executed more than once or a verdict is false: if any reply
// says ran, the action must have been executed, and if all of several replies say not-run, it must not.
func (f *Fleet) checkVerdicts(t *testing.T, key string, replies ...Reply) {
	t.Helper()
	executions := f.Executions(key)
	if executions > 1 {
		t.Fatalf("the action ran %d times", executions)
	}
	notRun := 0
	for _, r := range replies {
		if r.Err != nil {
			t.Errorf("no reply: %v", r.Err)
		}
		if r.Verdict == verdict.Ran && executions != 1 {
			t.Errorf("ran, but it was not executed: %s", r.Body)
		}
		if r.Verdict == verdict.NotRun {
			notRun++
		}
	}
	if len(replies) > 1 && notRun == len(replies) && executions > 0 {
		t.Errorf("%d replies of not-run, but it was executed", notRun)
	}
}

// outageActions is the number of actions during one outage. It is large enough that the claims of some belong
// to a stream that was read before the outage, so that the sidecar tries to append them.
const outageActions = 16

// refusalLimit is the longest time in which an action must be refused when the log is down. It is above the
// timeout of one read of the log and far below the deadline of the action.
const refusalLimit = 10 * time.Second

// Guards against an outage of the log that affects more than actions. While the log refuses requests or
// hangs, chats must be answered and actions refused as not-run well before their deadline; after the outage
// the same actions must run. An append whose response is lost must neither fail its action nor make it run
// twice.
func TestLogOutageRefusesOnlyActions(t *testing.T) {
	runParallel(t)
	is := is.New(t)
	f := StartFleet(t, FleetSpec{Routers: 1, Pools: []Pool{
		{Name: "llm", Kind: "engine", Count: 2},
		{Name: "ledger", Kind: "service", Count: 2},
	}})
	router := f.Routers[0]
	is.Equal(router.SendAction(t.Context(), "ledger", newIdempotencyKey(t), "first").Verdict, verdict.Ran)
	for _, outage := range []string{"refuse", "hang"} {
		f.Log.Set(`{"outage":"` + outage + `"}`)
		keys := make([]string, outageActions)
		replies := make([]chan Reply, outageActions)
		start := time.Now()
		for i := range keys {
			keys[i], replies[i] = newIdempotencyKey(t), make(chan Reply, 1)
			go func() { replies[i] <- router.SendAction(t.Context(), "ledger", keys[i], "pay") }()
		}
		var last Reply
		for i, key := range keys {
			reply := <-replies[i]
			t.Logf("%s: %v after %v: %s", outage, reply.Verdict, time.Since(start), reply.Body)
			is.Equal(reply.Verdict, verdict.NotRun)
			is.True(time.Since(start) < refusalLimit)
			is.Equal(f.Executions(key), 0)
			if last.Header == nil || reply.Header.Get("Retry-After") != "" {
				last = reply
			}
		}
		f.wantChatsAnswered(t)
		f.Log.Set(`{"outage":"none"}`)
		waitRetryAfter(t, last)
		for _, key := range append(keys, newIdempotencyKey(t)) {
			is.Equal(router.SendAction(t.Context(), "ledger", key, "pay").Verdict, verdict.Ran)
			is.Equal(f.Executions(key), 1)
		}
	}
	f.Log.Set(`{"lose_answers":3}`)
	key := newIdempotencyKey(t)
	for range 2 {
		is.Equal(router.SendAction(t.Context(), "ledger", key, "pay").Verdict, verdict.Ran)
		is.Equal(f.Executions(key), 1)
	}
}
