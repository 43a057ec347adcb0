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

// actTimeout is the deadline of actions whose sidecar may never answer.
const actTimeout = "4"

// act sends an action with a deadline of actTimeout in the background.
func act(t *testing.T, r *Router, key string) <-chan Reply {
	t.Helper()
	result := make(chan Reply, 1)
	ctx, cancel := context.WithTimeout(context.Background(), longEnough)
	t.Cleanup(cancel)
	go func() {
		header := http.Header{service.DefaultKeyHeader: {key}, "Jacinthfork-Timeout": {actTimeout}}
		result <- r.Do(ctx, http.MethodPost, "/services/ledger/orders", "org", "pay", header)
	}()
	return result
}

// stopCase is what happens to a sidecar during an action, and when.
type stopCase struct {
	name string
	// claiming stops it while it waits for the log, and otherwise while the service executes.
	claiming bool
	kill     bool
}

// A sidecar that is killed or paused while it claims or runs an action must not let the action run
// twice, and no verdict may be false, also when the action is repeated meanwhile and afterwards.
func TestSidecarStoppedDuringAction(t *testing.T) {
	t.Parallel()
	for _, c := range []stopCase{
		{"killed while claiming", true, true},
		{"paused while claiming", true, false},
		{"killed while running", false, true},
		{"paused while running", false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			parallel(t)
			stopDuringAction(t, c)
		})
	}
}

func stopDuringAction(t *testing.T, c stopCase) {
	t.Helper()
	is := is.New(t)
	f := StartFleet(t, FleetSpec{Routers: 2, Pools: []Pool{{Name: "ledger", Kind: "service", Count: 2}}})
	for _, r := range f.Routers {
		is.Equal(r.Act(t.Context(), "ledger", newKey(t), "first").Verdict, verdict.Ran)
	}
	key := newKey(t)
	holder, first := f.beginAction(t, c, key)
	if c.kill {
		holder.Sidecar.Kill()
	} else {
		holder.Sidecar.Pause()
	}
	f.Log.Set(`{"append_delay":"0s"}`)
	meanwhile := <-act(t, f.Routers[1], key)
	f.wantTrue(t, key, meanwhile)
	if c.kill {
		holder.Sidecar.Restart()
	} else {
		holder.Sidecar.Resume()
	}
	reply := <-first
	t.Logf("first %v %s, meanwhile %v %s", reply.Verdict, reply.Body, meanwhile.Verdict, meanwhile.Body)
	f.wantTrue(t, key, meanwhile, reply)
	for _, r := range f.Routers {
		later := <-act(t, r, key)
		t.Logf("later %v %s", later.Verdict, later.Body)
		f.wantTrue(t, key, meanwhile, reply, later)
	}
}

// beginAction sends an action and returns the backend that handles it once the point of the case is
// reached.
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
		sent[i], requests[i] = b.ToLog.Bytes(ToTarget), b.requests()
	}
	first := act(t, f.Routers[0], key)
	if c.claiming {
		waitFor(t, func() bool { return f.appends() > appends })
	}
	holder := 0
	waitFor(t, func() bool {
		for i, b := range f.Backends {
			if c.claiming && b.ToLog.Bytes(ToTarget) > sent[i] || !c.claiming && b.requests() > requests[i] {
				holder = i
				return true
			}
		}
		return false
	})
	return f.Backends[holder], first
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

// wantTrue fails the test when the action ran twice or when a reply is false: after ran it was
// executed, and if all replies are not-run it was not.
func (f *Fleet) wantTrue(t *testing.T, key string, replies ...Reply) {
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

// outageKeys is the number of actions in one outage. Some of them meet a stream that was read before
// the outage, so that their claim is sent.
const outageKeys = 16

// atOnce bounds a refusal for a log that is down. It is above the timeout of one read of the log,
// and far below the deadline of the action.
const atOnce = 10 * time.Second

// While the log refuses or hangs, chats must go on and actions must be refused as not run without
// waiting for their deadline; afterwards they must run. An append whose answer is lost must neither
// fail the action nor let it run twice.
func TestLogOutage(t *testing.T) {
	parallel(t)
	is := is.New(t)
	f := StartFleet(t, FleetSpec{Routers: 1, Pools: []Pool{
		{Name: "llm", Kind: "engine", Count: 2},
		{Name: "ledger", Kind: "service", Count: 2},
	}})
	router := f.Routers[0]
	is.Equal(router.Act(t.Context(), "ledger", newKey(t), "first").Verdict, verdict.Ran)
	for _, outage := range []string{"refuse", "hang"} {
		f.Log.Set(`{"outage":"` + outage + `"}`)
		keys := make([]string, outageKeys)
		replies := make([]chan Reply, outageKeys)
		begun := time.Now()
		for i := range keys {
			keys[i], replies[i] = newKey(t), make(chan Reply, 1)
			go func() { replies[i] <- router.Act(t.Context(), "ledger", keys[i], "pay") }()
		}
		var last Reply
		for i, key := range keys {
			reply := <-replies[i]
			t.Logf("%s: %v after %v: %s", outage, reply.Verdict, time.Since(begun), reply.Body)
			is.Equal(reply.Verdict, verdict.NotRun)
			is.True(time.Since(begun) < atOnce)
			is.Equal(f.Executions(key), 0)
			if last.Header == nil || reply.Header.Get("Retry-After") != "" {
				last = reply
			}
		}
		f.wantAnswers(t)
		f.Log.Set(`{"outage":"none"}`)
		waitAdvised(t, last)
		for _, key := range append(keys, newKey(t)) {
			is.Equal(router.Act(t.Context(), "ledger", key, "pay").Verdict, verdict.Ran)
			is.Equal(f.Executions(key), 1)
		}
	}
	f.Log.Set(`{"lose_answers":3}`)
	key := newKey(t)
	for range 2 {
		is.Equal(router.Act(t.Context(), "ledger", key, "pay").Verdict, verdict.Ran)
		is.Equal(f.Executions(key), 1)
	}
}
