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

func newKey(t *testing.T) string {
	t.Helper()
	key, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	return key.String()
}

// The programs, the settings and the relays must work together before failure tests mean anything.
func TestFleetAnswers(t *testing.T) {
	parallel(t)
	is := is.New(t)
	f := StartFleet(t, FleetSpec{Routers: 2, Pools: []Pool{{Name: "llm", Kind: "engine", Count: 2}}})
	for _, stream := range []bool{true, false} {
		for _, r := range f.Routers {
			body := ChatBody("llm", "hello "+r.ID, stream)
			reply := r.Chat(t.Context(), body)
			content, whole := reply.Content()
			is.NoErr(reply.Err)
			is.True(whole)
			is.Equal(content, engine.Answer([]byte(body)))
		}
	}
}

// An action whose answer is lost between sidecar and service ran once, and a repeat through another
// router must not run it again.
func TestLostAnswerOfAnAction(t *testing.T) {
	parallel(t)
	is := is.New(t)
	f := StartFleet(t, FleetSpec{Routers: 2, Pools: []Pool{{
		Name: "ledger", Kind: "service", Count: 2, Settings: "fault = \"drop-after\"\nfault_body = \"lost\"",
	}}})
	key := newKey(t)
	for range 2 {
		for _, r := range f.Routers {
			reply := r.Act(t.Context(), "ledger", key, "lost")
			is.NoErr(reply.Err)
			is.Equal(reply.Verdict, verdict.Unknown)
		}
	}
	is.Equal(f.Executions(key), 1)
}

// Without the log an action cannot be claimed: it must be refused as not run, and chats go on.
func TestActionWithoutLog(t *testing.T) {
	parallel(t)
	is := is.New(t)
	f := StartFleet(t, FleetSpec{Routers: 1, Pools: []Pool{
		{Name: "llm", Kind: "engine", Count: 1},
		{Name: "ledger", Kind: "service", Count: 1},
	}})
	for _, b := range f.Backends {
		b.ToLog.Refuse()
		b.ToLog.Cut()
	}
	key := newKey(t)
	reply := f.Routers[0].Act(t.Context(), "ledger", key, "pay")
	is.NoErr(reply.Err)
	is.Equal(reply.Verdict, verdict.NotRun)
	is.Equal(f.Executions(key), 0)
	_, whole := f.Routers[0].Chat(t.Context(), ChatBody("llm", "a", true)).Content()
	is.True(whole)
	f.PoolBackends("ledger")[0].ToLog.Accept()
	waitAdvised(t, reply)
	reply = f.Routers[0].Act(t.Context(), "ledger", key, "pay")
	is.Equal(reply.Verdict, verdict.Ran)
	is.Equal(f.Executions(key), 1)
}

// waitAdvised waits as long as the Retry-After of a refusal asks, which must be there.
func waitAdvised(t *testing.T, refusal Reply) {
	t.Helper()
	seconds, err := strconv.Atoi(refusal.Header.Get("Retry-After"))
	if err != nil {
		t.Fatalf("a refusal without Retry-After: %v: %s", err, refusal.Body)
	}
	time.Sleep(time.Duration(seconds) * time.Second)
}
