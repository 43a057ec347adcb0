package fleettest

import (
	"strconv"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"jacinthfork.example/jacinthfork/standin/engine"
	"jacinthfork.example/jacinthfork/verdict"
)

func newIdempotencyKey(t *testing.T) string {
	t.Helper()
	key, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	return key.String()
}

// Checks that programs, settings and relays work together without faults, which the failure tests rely on.
func TestFleetAnswersChats(t *testing.T) {
	runParallel(t)
	is := is.New(t)
	f := StartFleet(t, FleetSpec{Routers: 2, Pools: []Pool{{Name: "llm", Kind: "engine", Count: 2}}})
	for _, stream := range []bool{true, false} {
		for _, r := range f.Routers {
			body := ChatBody("llm", "hello "+r.ID, stream)
			reply := r.Chat(t.Context(), body)
			content, complete := reply.Content()
			is.NoErr(reply.Err)
			is.True(complete)
			is.Equal(content, engine.ExpectedContent([]byte(body)))
		}
	}
}

// Guards against an action that runs again after its response was lost between service and sidecar, when the
// caller repeats it through any router.
func TestActionWithLostAnswerRunsOnce(t *testing.T) {
	runParallel(t)
	is := is.New(t)
	f := StartFleet(t, FleetSpec{Routers: 2, Pools: []Pool{{
		Name: "ledger", Kind: "service", Count: 2, Settings: "fault = \"drop-after\"\nfault_body = \"lost\"",
	}}})
	key := newIdempotencyKey(t)
	for range 2 {
		for _, r := range f.Routers {
			reply := r.SendAction(t.Context(), "ledger", key, "lost")
			is.NoErr(reply.Err)
			is.Equal(reply.Verdict, verdict.Unknown)
		}
	}
	is.Equal(f.Executions(key), 1)
}

// Guards against an action that runs without a claim when the sidecar cannot reach the log. It must be
// refused as not-run and run once the log is reachable, and chats must be answered throughout.
func TestActionIsRefusedWithoutLog(t *testing.T) {
	runParallel(t)
	is := is.New(t)
	f := StartFleet(t, FleetSpec{Routers: 1, Pools: []Pool{
		{Name: "llm", Kind: "engine", Count: 1},
		{Name: "ledger", Kind: "service", Count: 1},
	}})
	for _, b := range f.Backends {
		b.LogRelay.Refuse()
		b.LogRelay.Cut()
	}
	key := newIdempotencyKey(t)
	reply := f.Routers[0].SendAction(t.Context(), "ledger", key, "pay")
	is.NoErr(reply.Err)
	is.Equal(reply.Verdict, verdict.NotRun)
	is.Equal(f.Executions(key), 0)
	_, complete := f.Routers[0].Chat(t.Context(), ChatBody("llm", "a", true)).Content()
	is.True(complete)
	f.PoolBackends("ledger")[0].LogRelay.Accept()
	waitRetryAfter(t, reply)
	reply = f.Routers[0].SendAction(t.Context(), "ledger", key, "pay")
	is.Equal(reply.Verdict, verdict.Ran)
	is.Equal(f.Executions(key), 1)
}

// waitRetryAfter waits for the time in the Retry-After header of a refusal. It fails the test if there is
// none.
func waitRetryAfter(t *testing.T, refusal Reply) {
	t.Helper()
	seconds, err := strconv.Atoi(refusal.Header.Get("Retry-After"))
	if err != nil {
		t.Fatalf("a refusal without Retry-After: %v: %s", err, refusal.Body)
	}
	time.Sleep(time.Duration(seconds) * time.Second)
}
